"""Decide which part of which large frame of a link is sent next."""

from __future__ import annotations

from heapq import heappop, heappush

import msgspec

from egretworks.bytebudget import ByteBudget
from egretworks.linkframes import MAX_INTERLEAVED_BYTES, MAX_PARTIAL_FRAMES, FramePart

# One link may hold this share of the memory for responses, so that a peer that stops reading leaves
# room for the others. A single frame may take more.
MAX_QUEUE_SHARE = 0.5
# Every fourth part belongs to the frame that has waited longest, so that a steady supply of smaller
# frames slows a large one down to a quarter of the link, but does not stop it.
OLDEST_FRAME_INTERVAL = 4


class QueuedPart(msgspec.Struct, frozen=True):
    """Hold a part to be sent, with the kind of the frame that it belongs to."""

    kind: str
    part: FramePart


class _QueuedFrame(msgspec.Struct, eq=False):
    kind: str
    payload: memoryview
    # Serial of the offer or outcome, None for other frames.
    serial: int | None
    stream: int
    sent_bytes: int = 0

    @property
    def unsent_bytes(self) -> int:
        return len(self.payload) - self.sent_bytes

    @property
    def rank(self) -> tuple[bool, int]:
        return self.serial is not None, self.unsent_bytes


class FrameQueue:
    """Hold the large frames of a link that have not been sent completely.

    Rows and configurations go before offers and outcomes, as a new version must be in force within
    2.5 s. Among each of these, the frame with the fewest unsent bytes goes first, which minimises
    the mean time to completion and the partial frames that the receiver holds.

    No more frames are started than the receiver accepts: `MAX_PARTIAL_FRAMES`, of which all but the
    largest have at most `MAX_INTERLEAVED_BYTES` together.
    """

    def __init__(self, budget: ByteBudget) -> None:
        """Reserve the size of each frame in `budget` until it has been sent or dropped."""
        self._budget = budget
        # In order of arrival, as streams are numbered.
        self._frames_by_stream: dict[int, _QueuedFrame] = {}
        self._started_by_stream: dict[int, _QueuedFrame] = {}
        # Heap of the rank and stream of frames that are not started, and of some that were dropped.
        self._unstarted: list[tuple[bool, int, int]] = []
        self._last_stream = 0
        self._parts = 0
        self._reserved_bytes = 0
        # Frames other than offers and outcomes.
        self._urgent_frames = 0
        # Bytes that `next_part` has not returned yet.
        self.waiting_bytes = 0

    def add(self, kind: str, payload: memoryview, serial: int | None = None) -> bool:
        """Add an encoded frame, or return False if there is no memory for it.

        `serial` is that of an offer or outcome, and None for other frames. One of these that waits
        already is not added again: a ping, which overtakes it, can make the peer request it again.
        """
        if serial is None and self._is_waiting(kind, payload):
            return True
        size = len(payload)
        max_bytes = self._budget.limit * MAX_QUEUE_SHARE
        if self._frames_by_stream and self._reserved_bytes + size > max_bytes:
            return False
        if not self._budget.reserve(size):
            return False
        self._reserved_bytes += size
        self._urgent_frames += serial is None
        self.waiting_bytes += size
        self._last_stream += 1
        frame = _QueuedFrame(kind, payload, serial, self._last_stream)
        self._frames_by_stream[frame.stream] = frame
        heappush(self._unstarted, (*frame.rank, frame.stream))
        return True

    def next_part(self, max_bytes: int) -> QueuedPart | None:
        """Return the next part, of at most `max_bytes`, or None if nothing waits."""
        frame = self._select()
        if frame is None:
            return None
        self._started_by_stream[frame.stream] = frame
        end = min(frame.sent_bytes + max_bytes, len(frame.payload))
        data = bytes(frame.payload[frame.sent_bytes : end])
        frame.sent_bytes = end
        self.waiting_bytes -= len(data)
        last = not frame.unsent_bytes
        if last:
            self._remove(frame)
        return QueuedPart(frame.kind, FramePart(frame.stream, last, data))

    def drop(self, serial: int) -> tuple[bool, FramePart | None]:
        """Drop the frame of an offer or outcome that has not been sent completely.

        Returns whether there was one, and the part that tells the receiver to discard what it has
        received of it, if it was started.
        """
        for frame in self._frames_by_stream.values():
            if frame.serial == serial:
                break
        else:
            return False, None
        self._remove(frame)
        if not frame.sent_bytes:
            return True, None
        return True, FramePart(frame.stream, True, b"", aborted=True)

    def clear(self) -> None:
        """Drop all frames."""
        for frame in list(self._frames_by_stream.values()):
            self._remove(frame)

    @property
    def serials(self) -> set[int]:
        """Return the serials of the offers or outcomes that have not been sent completely."""
        frames = self._frames_by_stream.values()
        return {frame.serial for frame in frames if frame.serial is not None}

    @property
    def urgent(self) -> bool:
        """Return whether a frame other than an offer or outcome waits."""
        return self._urgent_frames > 0

    def _is_waiting(self, kind: str, payload: memoryview) -> bool:
        return self.urgent and any(
            frame.serial is None and frame.kind == kind and frame.payload == payload
            for frame in self._frames_by_stream.values()
        )

    def _remove(self, frame: _QueuedFrame) -> None:
        del self._frames_by_stream[frame.stream]
        self._started_by_stream.pop(frame.stream, None)
        self.waiting_bytes -= frame.unsent_bytes
        self._reserved_bytes -= len(frame.payload)
        self._urgent_frames -= frame.serial is None
        self._budget.release(len(frame.payload))
        if not self._frames_by_stream:
            self._unstarted.clear()

    def _select(self) -> _QueuedFrame | None:
        if not self._frames_by_stream:
            return None
        self._parts += 1
        oldest = next(iter(self._frames_by_stream.values()))
        if self._parts % OLDEST_FRAME_INTERVAL == 0 and self._may_send(oldest):
            return oldest
        candidates = list(self._started_by_stream.values())
        unstarted = self._first_unstarted()
        if unstarted is not None and self._may_send(unstarted):
            candidates.append(unstarted)
        return min(candidates, key=lambda frame: (frame.rank, frame.stream))

    def _first_unstarted(self) -> _QueuedFrame | None:
        while self._unstarted:
            stream = self._unstarted[0][-1]
            frame = self._frames_by_stream.get(stream)
            if frame is not None and stream not in self._started_by_stream:
                return frame
            heappop(self._unstarted)
        return None

    def _may_send(self, frame: _QueuedFrame) -> bool:
        """Return whether `frame` is started or the receiver accepts one more."""
        if frame.stream in self._started_by_stream:
            return True
        sizes = [len(started.payload) for started in self._started_by_stream.values()]
        sizes.append(len(frame.payload))
        interleaved_bytes = sum(sizes) - max(sizes)
        return len(sizes) <= MAX_PARTIAL_FRAMES and interleaved_bytes <= MAX_INTERLEAVED_BYTES
