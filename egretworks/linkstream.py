"""Send and receive the frames of a link over one connection, and count the bytes sent."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from egretworks.exceptions import PeerError
from egretworks.framequeue import FrameQueue
from egretworks.linkcoding import Coding, select_coding
from egretworks.linkframes import (
    LENGTH_BYTES,
    MAX_WHOLE_BYTES,
    Answered,
    Frame,
    FramePart,
    FrameReader,
    Hello,
    Lost,
    Offer,
    Refused,
    decode_frame,
    encode_frame,
)
from egretworks.linkline import LinkLine
from egretworks.metrics import Metrics
from egretworks.partassembly import PartAssembler
from egretworks.streams import Stream, StreamUser
from egretworks.timeline import Timeline
from egretworks.types import InstanceId

# A link with more unsent bytes is logged as backlogged: 7 Mbit/s carry this much in 150 ms.
BACKLOG_BYTES = 128_000
# Unsent bytes that the socket of a link may hold, 26 ms at 5 Mbit/s: small frames wait for them.
MAX_SOCKET_UNSENT_BYTES = 16_384


class LinkStream:
    """Hold one connection of a link with its coding and its incomplete frames.

    Small frames are written at once, in order. Large frames are sent in parts between them if the
    peer reads parts: each part is written, and encoded, once the connection has accepted all that
    was written before and the link has its turn on the daemon's line.
    """

    def __init__(
        self,
        stream: Stream,
        metrics: Metrics,
        timeline: Timeline,
        line: LinkLine,
        coding: Coding | None = None,
    ) -> None:
        """Use `coding`, or None on the inbound end, where the first byte received selects it."""
        self._stream = stream
        self._metrics = metrics
        self._timeline = timeline
        self._line = line
        self._coding = coding
        self._reader = FrameReader()
        self._assembler = PartAssembler(line.budget)
        self._queue = FrameQueue(line.budget)
        self._closing = False
        self._backlogged = False
        # Bytes sent over this connection, by kind of frame.
        self._sent_by_kind: Counter[str] = Counter()
        # For the log: the daemon at the other end, once it is known.
        self.peer = InstanceId("")
        # Whether the peer reads parts of frames, which its `Hello` tells.
        self.reads_parts = False

    @property
    def unsent_bytes(self) -> int:
        """Return the number of bytes that wait in the queue or that the socket has not accepted."""
        return self._stream.unsent_bytes + self._queue.waiting_bytes

    @property
    def queued_bytes(self) -> int:
        """Return the bytes of large frames that wait to be sent in parts."""
        return self._queue.waiting_bytes

    @property
    def urgent(self) -> bool:
        """Return whether rows or a configuration wait to be sent in parts."""
        return self._queue.urgent

    @property
    def queued_serials(self) -> set[int]:
        """Return the serials of the offers or outcomes that have not been sent completely."""
        return self._queue.serials

    def start(self, user: StreamUser) -> None:
        """Start reading and report events to `user`; an outbound end selects the coding."""
        self._line.add(self)
        self._stream.limit_unsent(MAX_SOCKET_UNSENT_BYTES)
        self._stream.on_drained = self._on_drained
        self._stream.start(user)
        if self._coding is not None:
            self._stream.write(self._coding.mark)

    def receive(self, data: bytes) -> Iterator[Frame]:
        """Yield the frames that `data` completes, or raise `PeerError` if it is invalid.

        What follows a frame is decoded once that frame has been handled.
        """
        if self._coding is None:
            self._coding = select_coding(data[:1])
            data = data[1:]
        for piece in self._coding.decode(data):
            for frame in self._reader.feed(piece):
                if not isinstance(frame, FramePart):
                    yield frame
                elif (payload := self._assembler.add(frame)) is not None:
                    yield _decode_assembled(payload)

    def send(self, frame: Frame) -> bool:
        """Send `frame`, unless the peer has not selected the coding yet or the link is closed.

        Returns False if it is a large offer or outcome for which the queue has no memory. Other
        large frames are few, and are sent whole in that case.
        """
        if self._coding is None or self._closing:
            return True
        data = encode_frame(frame)
        kind = type(frame).__name__.lower()
        if self.reads_parts and len(data) > MAX_WHOLE_BYTES and not isinstance(frame, Hello):
            serial = frame.serial if isinstance(frame, Offer | Answered | Refused | Lost) else None
            if self._queue.add(kind, memoryview(data)[LENGTH_BYTES:], serial):
                self._line.wake(self)
                self._record_backlog()
                return True
            if serial is not None:
                return False
        self._write(kind, data)
        self._record_backlog()
        return True

    def send_part(self, max_bytes: int) -> bool:
        """Send one part, and return whether another one can be sent at once."""
        if self._stream.unsent_bytes:
            return False
        queued = self._queue.next_part(max_bytes)
        if queued is None:
            return False
        self._write(queued.kind, encode_frame(queued.part))
        self._metrics.count("link_parts_sent")
        self._close_if_sent()
        return self._queue.waiting_bytes > 0 and not self._stream.unsent_bytes

    def drop(self, serial: int) -> bool:
        """Drop an offer or outcome, or return False if it has been sent completely.

        The peer is told to discard what it has received of it.
        """
        dropped, abort = self._queue.drop(serial)
        if abort is not None:
            self._write("framepart", encode_frame(abort))
        self._close_if_sent()
        return dropped

    def close(self) -> None:
        """Close the connection at once, and drop what has been sent or received in part.

        Later frames are dropped too, such as an outcome that was queried over this link.
        """
        self._closing = True
        self._line.remove(self)
        self._queue.clear()
        self._assembler.clear()
        self._stream.close()

    def close_when_sent(self) -> None:
        """Close the connection once all pending data has been sent; drop later frames."""
        self._closing = True
        self._close_if_sent()

    def _write(self, kind: str, frame: bytes) -> None:
        data = self._coding.encode(frame)
        self._sent_by_kind[kind] += len(data)
        self._metrics.count(f"link_sent_bytes_{kind}", len(data))
        self._line.charge(len(data))
        self._stream.write(data)

    def _on_drained(self) -> None:
        self._line.wake(self)

    def _close_if_sent(self) -> None:
        if self._closing and not self._queue.waiting_bytes:
            self._line.remove(self)
            self._stream.close_when_sent()

    def _record_backlog(self) -> None:
        """Log once when the link becomes backlogged, with what has been sent over it."""
        backlogged = self.unsent_bytes > BACKLOG_BYTES
        if backlogged and not self._backlogged:
            self._timeline.record(
                "link_backlogged",
                target=self.peer,
                facts={"unsent_bytes": self.unsent_bytes, "sent": dict(self._sent_by_kind)},
            )
        self._backlogged = backlogged


def _decode_assembled(payload: bytearray) -> Frame:
    frame = decode_frame(payload)
    if isinstance(frame, FramePart):
        raise PeerError("a frame in parts is itself a part")
    return frame
