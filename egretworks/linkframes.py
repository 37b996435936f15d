"""Define the messages on a link between two daemons, and cut a stream of bytes into them."""

from __future__ import annotations

from enum import IntEnum

import msgspec

from egretworks.exceptions import PeerError
from egretworks.httpwire import Headers
from egretworks.rows import DaemonRow

LENGTH_BYTES = 4
# A request's or answer's largest body and its headers fit.
MAX_FRAME_BYTES = 80_000_000


class RefusalReason(IntEnum):
    """Tell why a request wasn't handed to a target."""

    BUSY = 1
    EXPIRED = 2
    NOT_SERVING = 3
    NO_CONNECTION = 4
    DECLINED = 5
    CANCELLED = 6


class LossReason(IntEnum):
    """Tell why nobody knows what became of a request that a target got."""

    BROKEN = 1
    TIMED_OUT = 2
    NOT_WHOLE = 3
    LINK_LOST = 4


class GateReport(msgspec.Struct, frozen=True, array_like=True):
    """Tell how busy a target is."""

    slots: int
    # Requests at the target and waiting for it.
    load: int
    # Mean time that the target takes for a request, in milliseconds.
    work_ms: float
    # Share of recent requests that the target failed or declined, in percent.
    failing_percent: int = 0


class Hello(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Open a link: both ends say who they are and what they know."""

    row: DaemonRow
    config_version: int
    rows: list[DaemonRow]


class Offer(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Offer a request to the target beside the receiving daemon."""

    serial: int
    call: str
    route: str
    service: str
    caller: str
    method: str
    url: bytes
    headers: Headers
    body: bytes
    left_ms: float
    objective_left_ms: float
    priority: int
    idempotent: bool


class Answered(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Carry the target's whole answer."""

    serial: int
    status: int
    headers: Headers
    body: bytes
    report: GateReport


class Refused(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """State that the target hasn't run the request and won't."""

    serial: int
    reason: RefusalReason
    # When there may be room, in milliseconds.
    wait_ms: float
    # Whether the request reached the target, which then declined it.
    arrived: bool
    report: GateReport


class Lost(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """State that the target got the request and its answer didn't come whole."""

    serial: int
    reason: LossReason
    report: GateReport


class Cancel(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """Take an offer back, as its caller has gone."""

    serial: int


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """Ask for a sign of life."""

    config_version: int


class Pong(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """Answer a ping."""

    config_version: int
    report: GateReport


class Rows(msgspec.Struct, array_like=True, frozen=True, tag=9):
    """Pass changed rows on."""

    rows: list[DaemonRow]


class ConfigAsked(msgspec.Struct, array_like=True, frozen=True, tag=10):
    """Ask for the configuration in force at the other end."""


class ConfigCopy(msgspec.Struct, array_like=True, frozen=True, tag=11):
    """Carry a configuration as its operator wrote it."""

    version: int
    document: bytes


class FatesAsked(msgspec.Struct, array_like=True, frozen=True, tag=12):
    """Ask what became of offers that were open when an earlier link broke."""

    serials: list[int]


Outcome = Answered | Refused | Lost
Frame = (
    Hello
    | Offer
    | Answered
    | Refused
    | Lost
    | Cancel
    | Ping
    | Pong
    | Rows
    | ConfigAsked
    | ConfigCopy
    | FatesAsked
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Return `frame` with its length before it."""
    payload = _encoder.encode(frame)
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


class FrameReader:
    """Cut received bytes into frames."""

    def __init__(self) -> None:
        self._bytes = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Return the frames that `data` completes, or raise `PeerError`."""
        self._bytes += data
        frames = []
        start = 0
        while len(self._bytes) - start >= LENGTH_BYTES:
            length = int.from_bytes(self._bytes[start : start + LENGTH_BYTES], "big")
            if length > MAX_FRAME_BYTES:
                raise PeerError(f"a frame of {length} bytes is announced")
            end = start + LENGTH_BYTES + length
            if end > len(self._bytes):
                break
            frames.append(self._decode(start + LENGTH_BYTES, end))
            start = end
        del self._bytes[:start]
        return frames

    def _decode(self, start: int, end: int) -> Frame:
        try:
            return _decoder.decode(bytes(memoryview(self._bytes)[start:end]))
        except msgspec.MsgspecError as error:
            raise PeerError(f"a frame can't be read: {error}") from error
