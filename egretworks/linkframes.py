"""Define the frames that daemons exchange over a link, and their length-prefixed encoding."""

from __future__ import annotations

from enum import IntEnum

import msgspec

from egretworks.decoding import DECODE_ERRORS
from egretworks.exceptions import PeerError
from egretworks.httpwire import Headers
from egretworks.rows import DaemonRow
from egretworks.types import Probability

LENGTH_BYTES = 4
# Version of this build's frames, the first that has `ConfigDelta` and `RowsRequest`, the first
# that reads `QuotaRequest`, `QuotaGrant` and `FramePart`, and the first that reads `RolloutStage`
# and `RolloutEvidence`.
LINK_PROTOCOL = 4
DELTA_PROTOCOL = 2
PARTS_PROTOCOL = 4
ROLLOUT_PROTOCOL = 4
# Large enough for a request or response with the largest permitted body and headers.
MAX_FRAME_BYTES = 80_000_000
# Largest encoded frame that is sent whole to a peer that reads parts: 26 ms at 5 Mbit/s.
MAX_WHOLE_BYTES = 16_384
# Frames of which a peer may have sent some parts but not all, and their size without the largest.
# An end of a link that exceeds this is disconnected.
MAX_PARTIAL_FRAMES = 16
MAX_INTERLEAVED_BYTES = 4_000_000


class RefusalReason(IntEnum):
    """Reasons why a target did not run a request; it is safe to send the request elsewhere."""

    # Its expected wait in the queue is too long, or body memory is full.
    BUSY = 1
    # It waited in the queue, or on its way to this daemon, until it was too late to start it.
    EXPIRED = 2
    # The target or the daemon does not accept requests for the service.
    NOT_SERVING = 3
    # No connection to the target could be opened.
    NO_CONNECTION = 4
    # The target received the request and answered that it has not run it.
    DECLINED = 5
    # The link broke before the request was received or while it was queued.
    CANCELLED = 6
    # It is a retry, and the calls that the target would make in it exceed the retry budget.
    RETRY_BUDGET = 7


class LossReason(IntEnum):
    """Reasons why the outcome of a request that may have reached a target is unknown."""

    # The connection to the target broke, or its response was malformed or too large.
    BROKEN = 1
    # The target did not answer by the deadline.
    TIMED_OUT = 2
    # The response is not signed by the target, or its body was encoded on the way.
    NOT_WHOLE = 3
    # The link between the daemons broke.
    LINK_LOST = 4


class GateReport(msgspec.Struct, frozen=True, array_like=True):
    """Report the capacity and load of a daemon's own target."""

    slots: int
    # Requests running at the target plus those queued for it.
    load: int
    # Mean service time of the target, in milliseconds.
    work_ms: float
    # Percentage of recent requests that the target failed or declined.
    failing_percent: int = 0


class Hello(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Open a link: each end sends its own row and its configuration version."""

    row: DaemonRow
    config_version: int
    # The row of the peer as the sender knows it; all known rows if the peer is of an older build.
    rows: list[DaemonRow]
    # When the frame was sent, by the sender's clock; None from an older build.
    sent_at: float | None = None
    # The `LINK_PROTOCOL` of the sender.
    protocol: int = 1
    # Digest of the daemons that the sender knows; 0 from an older build.
    members: int = 0
    # Digest of the rows that the sender knows; 0 from an older build.
    rows_digest: int = 0


class Offer(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Offer a request to the target of the receiving daemon."""

    # Unique among the offers that one run of the sending daemon makes to the receiving one.
    serial: int
    # The id of the call that the request belongs to.
    call: str
    route: str
    service: str
    caller: str
    method: str
    url: bytes
    headers: Headers
    body: bytes
    # Milliseconds left until the deadline of the call.
    left_ms: float
    # Milliseconds left until the latency objective of the route.
    objective_left_ms: float
    # 0 is the highest priority.
    priority: int
    idempotent: bool
    # When the frame was sent, by the sender's clock; None from an older build.
    sent_at: float | None = None
    # Whether another target has received the request already; False from an older build.
    retry: bool = False
    # Probability that a target makes the request in a retry, see `RunningRequests`.
    call_share: Probability = 0.0
    # The team of the caller; empty if it has none.
    team: str = ""
    # The priority of the team, which goes before that of the route.
    team_priority: int = 0
    # The weight of the team in the fair share of the target's time.
    team_weight: float = 1.0
    # Whether the request may wait for a slot; if not, it is refused unless one is free.
    may_wait: bool = True

    @property
    def retry_share(self) -> float:
        """Return the probability that the request is a retry, or a call made in one."""
        return 1.0 if self.retry else self.call_share


class Answered(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Return the target's complete response."""

    serial: int
    status: int
    headers: Headers
    body: bytes
    report: GateReport


class Refused(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Report that the target has not run the request and will not run it."""

    serial: int
    reason: RefusalReason
    # Suggested delay before another attempt, in milliseconds.
    retry_after_ms: float
    # True if the request reached the target and the target declined it.
    reached_target: bool
    report: GateReport


class Lost(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Report that the request may have run but no complete response was received."""

    serial: int
    reason: LossReason
    report: GateReport


class Cancel(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """Cancel an offer whose outcome is no longer needed."""

    serial: int


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """Check that the peer is alive."""

    config_version: int
    # When the frame was sent, by the sender's clock; None from an older build.
    sent_at: float | None = None
    # Digest of the daemons that the sender knows; 0 from an older build.
    members: int = 0
    # Digest of the rows that the sender knows; 0 from an older build.
    rows_digest: int = 0


class Pong(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """Answer a ping."""

    config_version: int
    report: GateReport
    # Digest of the daemons that the sender knows; 0 from an older build.
    members: int = 0
    # Digest of the rows that the sender knows; 0 from an older build.
    rows_digest: int = 0
    # `sent_at` of the ping that is answered; None from an older build.
    ping_sent_at: float | None = None
    # How long ago `config_version` was certainly the newest one in the store; None if unknown.
    proof_age_ms: float | None = None


class Rows(msgspec.Struct, array_like=True, frozen=True, tag=9):
    """Propagate changed rows, or answer a request with all rows."""

    rows: list[DaemonRow]


class RowsRequest(msgspec.Struct, array_like=True, frozen=True, tag=14):
    """Request the rows that the peer knows and the sender does not, or all."""

    # The sender's digest of each bucket of rows; empty from an older build, which gets all rows.
    bucket_digests: list[int] = []


class ConfigRequest(msgspec.Struct, array_like=True, frozen=True, tag=10):
    """Request the configuration in force at the peer."""

    # The version in force at the sender, to which the peer may send the differences; 0 for none.
    known_version: int = 0


class ConfigCopy(msgspec.Struct, array_like=True, frozen=True, tag=11):
    """Carry a configuration document exactly as the operator wrote it."""

    version: int
    document: bytes


class ConfigDelta(msgspec.Struct, array_like=True, frozen=True, tag=13):
    """Carry a configuration document as its differences from an earlier one."""

    version: int
    # The version of the earlier document; 0 for an empty one.
    base_version: int
    # Digest of the whole document, as the bases of two daemons might differ.
    digest: int
    edits: bytes


class OutcomeQuery(msgspec.Struct, array_like=True, frozen=True, tag=12):
    """Query the outcomes of offers that were in flight when an earlier link broke."""

    serials: list[int]


class TeamTokens(msgspec.Struct, array_like=True, frozen=True):
    """Count quota tokens of a team, each of which is spent on one request."""

    team: str
    tokens: float
    # Of returned tokens: how long ago they came into the pool.
    age_ms: float = 0.0


class TeamGrant(msgspec.Struct, array_like=True, frozen=True):
    """Hand out quota tokens of a team; fewer than requested if it is over its quota."""

    team: str
    tokens: int
    # When the team will probably have tokens again, if fewer were granted.
    retry_after_ms: float = 0.0
    # How long ago the oldest of the tokens came into the pool.
    age_ms: float = 0.0


class QuotaRequest(msgspec.Struct, array_like=True, frozen=True, tag=15):
    """Deposit quota tokens in a pool that the receiver keeps, and withdraw some."""

    serial: int
    pool: int
    # Time for which the sender deposits its share of the rates of all teams.
    minted_ms: float
    wanted: list[TeamTokens] = []
    # Tokens of requests that have certainly not run.
    returned: list[TeamTokens] = []
    # The number of daemons that the sender shares the rates with.
    daemons: int = 0
    # Whether the pool is to begin with tokens: the sender's first request at its first start.
    fill: bool = False
    # When the frame was sent, by the sender's clock.
    sent_at: float | None = None


class QuotaGrant(msgspec.Struct, array_like=True, frozen=True, tag=16):
    """Answer a `QuotaRequest` that wants tokens."""

    serial: int
    granted: list[TeamGrant]


class FramePart(msgspec.Struct, array_like=True, frozen=True, tag=17):
    """Carry a part of a large encoded frame, so that other frames can be sent in between."""

    # Number of the frame among those that this end has sent in parts.
    stream: int
    last: bool
    data: bytes
    # The rest of the frame is not sent, and what was received of it is discarded.
    aborted: bool = False


class RolloutStep(IntEnum):
    """Steps of an order to move a service to a new version, in the order in which they follow."""

    # A few requests go to the new version.
    PROBE = 1
    # A share of the requests goes there.
    CANARY = 2
    # All requests go there, until what remains of the permitted number is used up.
    TRIAL = 3
    # All requests go there; the old targets still take what is on its way to them.
    MOVED = 4
    # The old targets take nothing more.
    CLOSED = 5
    COMPLETED = 6
    # No request goes to the new version.
    ROLLED_BACK = 7


class GateQuota(msgspec.Struct, frozen=True, array_like=True):
    """Permit the gate beside a new target a number of requests since the order.

    It holds for one run of the daemon, as the next one has forgotten what it has used.
    """

    daemon: str
    incarnation: int
    allowed: int


class RolloutStage(msgspec.Struct, array_like=True, frozen=True, tag=18):
    """Tell the daemons how far the order for a service is, and what they do at this step."""

    service: str
    target_version: str
    # Number of the order: the revision at which it was taken. Later orders have higher ones.
    order: int
    # Incremented when another daemon takes over the lead.
    epoch: int
    # Incremented with each stage within an epoch.
    number: int
    # The daemon that leads.
    leader: str
    step: RolloutStep
    # Milliseconds since the order was noticed, when the frame was sent.
    age_ms: float
    duration_ms: float
    # Share of the requests that are offered to the new version.
    share: Probability = 0.0
    # What each gate of the new version may run before all requests move to it.
    quotas: list[GateQuota] = []
    # The versions before the order; empty if they are unknown, which are then all others.
    current_versions: list[str] = []


class RouteEvidence(msgspec.Struct, frozen=True, array_like=True):
    """Count the answers of a target on a route since the order."""

    route: str
    answers: int = 0
    # Those among them that failed or were lost.
    bad: int = 0
    # Sum of the natural logarithms of the times of the others, in milliseconds.
    log_ms: float = 0.0


class RolloutEvidence(msgspec.Struct, array_like=True, frozen=True, tag=19):
    """Report what a daemon has seen of a service since the order, to the daemon that leads."""

    service: str
    order: int
    daemon: str
    incarnation: int
    # Incremented with each report of this run of the daemon.
    serial: int
    # The step that the sender follows.
    step: RolloutStep
    # Requests for the service that came from its callers.
    calls: int
    # Whether its target is one of the service, and of the new version.
    has_target: bool = False
    is_new: bool = False
    # Requests that the target has been sent, and those running or waiting there.
    runs: int = 0
    load: int = 0
    routes: list[RouteEvidence] = []


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
    | ConfigRequest
    | ConfigCopy
    | OutcomeQuery
    | ConfigDelta
    | RowsRequest
    | QuotaRequest
    | QuotaGrant
    | FramePart
    | RolloutStage
    | RolloutEvidence
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Return `frame` encoded, with its length as a prefix."""
    payload = _encoder.encode(frame)
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


def decode_frame(payload: bytes | bytearray) -> Frame:
    """Return the frame encoded in `payload`, or raise `PeerError`."""
    try:
        return _decoder.decode(payload)
    except DECODE_ERRORS as error:
        raise PeerError(f"cannot decode frame: {error}") from error


class FrameReader:
    """Split a received byte stream into frames, buffering an incomplete one."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Return the frames that `data` completes.

        Raises `PeerError` for a frame that is too long or cannot be decoded.
        """
        self._buffer += data
        frames = []
        start = 0
        while len(self._buffer) - start >= LENGTH_BYTES:
            length = int.from_bytes(self._buffer[start : start + LENGTH_BYTES], "big")
            if length > MAX_FRAME_BYTES:
                raise PeerError(f"frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}")
            end = start + LENGTH_BYTES + length
            if end > len(self._buffer):
                break
            frames.append(decode_frame(bytes(memoryview(self._buffer)[start + LENGTH_BYTES : end])))
            start = end
        del self._buffer[:start]
        return frames
