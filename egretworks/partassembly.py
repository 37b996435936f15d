"""Assemble large frames from the parts that arrive on a link."""

from __future__ import annotations

from egretworks.bytebudget import ByteBudget
from egretworks.exceptions import PeerError
from egretworks.linkframes import (
    MAX_FRAME_BYTES,
    MAX_INTERLEAVED_BYTES,
    MAX_PARTIAL_FRAMES,
    FramePart,
)


class PartAssembler:
    """Hold the partly received frames of one link, within the bounds that its peer keeps."""

    def __init__(self, budget: ByteBudget) -> None:
        """Reserve what is held in `budget`."""
        self._budget = budget
        self._buffer_by_stream: dict[int, bytearray] = {}
        self.held_bytes = 0

    def add(self, part: FramePart) -> bytearray | None:
        """Return the encoded frame that `part` completes, or None.

        Raises `PeerError` if the peer exceeds a bound or no memory is left.
        """
        if part.aborted:
            self._discard(part.stream)
            return None
        if not part.data:
            raise PeerError("a part of a frame has no data")
        buffer = self._buffer_by_stream.get(part.stream)
        if buffer is None:
            if len(self._buffer_by_stream) >= MAX_PARTIAL_FRAMES:
                raise PeerError(f"more than {MAX_PARTIAL_FRAMES} frames are incomplete")
            buffer = self._buffer_by_stream[part.stream] = bytearray()
        if len(buffer) + len(part.data) > MAX_FRAME_BYTES:
            raise PeerError(f"frame in parts exceeds the limit of {MAX_FRAME_BYTES} bytes")
        if not self._budget.reserve(len(part.data)):
            raise PeerError(f"no memory is left for partial frames, {self.held_bytes} bytes held")
        self.held_bytes += len(part.data)
        buffer += part.data
        interleaved_bytes = self.held_bytes - max(map(len, self._buffer_by_stream.values()))
        if interleaved_bytes > MAX_INTERLEAVED_BYTES:
            raise PeerError(f"more than {MAX_INTERLEAVED_BYTES} bytes of frames are interleaved")
        if not part.last:
            return None
        self._discard(part.stream)
        return buffer

    def clear(self) -> None:
        """Discard all partly received frames."""
        for stream in list(self._buffer_by_stream):
            self._discard(stream)

    def _discard(self, stream: int) -> None:
        size = len(self._buffer_by_stream.pop(stream, b""))
        self.held_bytes -= size
        self._budget.release(size)
