"""Implement the outbound end of a link, which offers requests to another daemon."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from egretworks.clock import MILLIS_PER_SECOND, Millis
from egretworks.exceptions import PeerError
from egretworks.gateinterface import CancelCallback, Reply
from egretworks.linkcoding import CompressedCoding, PlainCoding
from egretworks.linkframes import (
    DELTA_PROTOCOL,
    PARTS_PROTOCOL,
    Answered,
    Cancel,
    Frame,
    GateReport,
    Hello,
    LossReason,
    Lost,
    Offer,
    Outcome,
    OutcomeQuery,
    Ping,
    Pong,
    RefusalReason,
    Refused,
)
from egretworks.linkhost import LinkHost
from egretworks.linkplan import LinkPurpose
from egretworks.linkstream import LinkStream
from egretworks.rows import DaemonRow
from egretworks.streams import Stream, connect
from egretworks.targetselection import TargetEstimate
from egretworks.types import NO_VERSION, InstanceId

CONNECT_TIMEOUT_MS = 600
# A peer that sends nothing for this long while requests are in flight is pinged.
BUSY_PING_MS = 150
# Interval between pings, by purpose of the link; the pong also carries the peer's configuration
# version and digest of rows, and its target's load.
PING_MS_BY_PURPOSE = {
    LinkPurpose.NEAR: 1_000,
    LinkPurpose.RELAY: 1_000,
    LinkPurpose.POOL: 1_000,
    LinkPurpose.SERVICE: 2_000,
}
# All links of a daemon together send at most this many pings a second while nothing is in flight:
# each of many links is pinged less often, so that control takes no more of a larger mesh.
MAX_PINGS_PER_S = 25.0
# Weight of the newest round trip in the moving average of the delay.
DELAY_GAIN = 0.5
# A daemon that sends nothing for this long after a ping is suspect: it gets no offers while another
# daemon can accept them.
SUSPECT_MS = 300
# A link that stays silent this long after a ping is closed, because a connection may stop carrying
# data without an error.
BROKEN_MS = 1_500
# The pause before a reconnect grows by this much with each failure, up to the maximum.
RECONNECT_MS = 250
MAX_RECONNECT_MS = 1_500
# Backpressure: a peer that stops reading gets no more offers once this much is unsent.
MAX_UNSENT_BYTES = 4_000_000
# Suggested delay before a request is retried for which the queue of the link had no memory.
QUEUE_MEMORY_WAIT_MS = 100.0
# If a broken link is not up again within this time, its non-idempotent requests are lost as well.
RESOLVE_TIMEOUT_MS = 700
# Used until the peer has sent its first report.
UNKNOWN_REPORT = GateReport(slots=0, load=0, work_ms=0.0)


def ping_stretch(purposes: Iterable[LinkPurpose]) -> float:
    """Return the factor for the ping intervals of a daemon that has links of these purposes."""
    pings_per_s = sum(MILLIS_PER_SECOND / PING_MS_BY_PURPOSE[purpose] for purpose in purposes)
    return max(1.0, pings_per_s / MAX_PINGS_PER_S)


class _Request(msgspec.Struct, frozen=True):
    reply: Reply
    idempotent: bool


class OutboundLink:
    """Offer requests to another daemon's target over one persistent connection.

    Each request in flight gets exactly one outcome, unless it is cancelled. When the link breaks,
    requests that have not been sent completely are refused and idempotent ones are lost at once.
    The outcomes of the others are queried after a reconnect; if the link is not up again within
    `RESOLVE_TIMEOUT_MS`, they are lost too.
    """

    def __init__(
        self, host: LinkHost, row: DaemonRow, purpose: LinkPurpose = LinkPurpose.NEAR
    ) -> None:
        self._host = host
        self.row = row
        self.purpose = purpose
        # Factor for the ping interval; see `ping_stretch`.
        self.ping_stretch = 1.0
        # True if the peer is in the data centre of this daemon.
        self.near = row.data_centre == host.rows.own.data_centre
        self._stream: LinkStream | None = None
        self._cancel_connect: Callable[[], None] | None = None
        # True once the peer has answered with its `Hello`.
        self._ready = False
        self._serial = 0
        self._in_flight_by_serial: dict[int, _Request] = {}
        # Non-idempotent requests that were in flight when the link broke.
        self._unresolved_by_serial: dict[int, _Request] = {}
        self._resolve_until = Millis(0)
        self._report = UNKNOWN_REPORT
        # Load that other daemons put on the target, as of the last report.
        self._load_of_others = 0
        self._last_received_at = Millis(0)
        # When the unanswered ping or this daemon's `Hello` was sent; None if no reply is awaited.
        self._awaiting_since: Millis | None = None
        self._last_ping_at = Millis(0)
        # Moving average of the round-trip time.
        self._delay_ms = 0.0
        self._reconnect_at = Millis(0)
        self._failures = 0
        # See `ConfigPeer`.
        self.peer_version = NO_VERSION
        self.reads_deltas = False
        # See `QuotaPeer` and `RolloutPeer`.
        self.peer_protocol = 0

    @property
    def name(self) -> InstanceId:
        """Return the id of the peer daemon."""
        return self.row.id

    @property
    def version(self) -> str:
        """Return the version of the peer's target; empty if it is unknown."""
        target = self.row.target
        return target.version if target is not None else ""

    @property
    def usable(self) -> bool:
        """Return whether the link is up and its send buffer has room for offers."""
        return self._ready and self._stream.unsent_bytes < MAX_UNSENT_BYTES

    @property
    def failed(self) -> bool:
        """Return whether the link is down and the last attempt to open it has failed."""
        return not self._ready and self._failures > 0

    @property
    def idle(self) -> bool:
        """Return whether no request over this link awaits its outcome."""
        return not self._in_flight_by_serial and not self._unresolved_by_serial

    def offer(self, offer: Offer, reply: Reply) -> CancelCallback:
        """Send a request to the peer; `reply` gets the outcome. Returns a function to cancel it."""
        self._serial += 1
        serial = self._serial
        self._in_flight_by_serial[serial] = _Request(reply, offer.idempotent)
        sent_at = self._host.clock.now()
        if not self._send(msgspec.structs.replace(offer, serial=serial, sent_at=sent_at)):
            del self._in_flight_by_serial[serial]
            reply(Refused(serial, RefusalReason.BUSY, QUEUE_MEMORY_WAIT_MS, False, self._report))

        def cancel() -> None:
            self._unresolved_by_serial.pop(serial, None)
            if self._in_flight_by_serial.pop(serial, None) is not None:
                self._send_cancel(serial)

        return cancel

    def estimate(self, now: Millis) -> TargetEstimate:
        """Return this daemon's current estimate of the target's load and delay."""
        report = self._report
        target = self.row.target
        suspect = self._awaiting_since is not None and now - self._awaiting_since > SUSPECT_MS
        return TargetEstimate(
            self._load_of_others + len(self._in_flight_by_serial),
            report.slots or (target.slots if target else 1),
            report.work_ms,
            report.failing_percent,
            self.near,
            suspect,
            self._delay_ms,
        )

    def send_frame(self, frame: Frame) -> None:
        """Send `frame` if the link is up."""
        if self._ready:
            self._send(frame)

    def tick(self, now: Millis) -> None:
        """Reconnect, ping the peer or time the link out, as needed at `now`."""
        if self._unresolved_by_serial and now > self._resolve_until:
            self._lose_unresolved()
        if self._stream is None:
            if self._cancel_connect is None and now >= self._reconnect_at:
                self._cancel_connect = connect(
                    self.row.endpoint, CONNECT_TIMEOUT_MS, self._on_connected
                )
            return
        if self._awaiting_since is not None:
            if now - self._awaiting_since > BROKEN_MS:
                self._break(f"no reply from the peer within {BROKEN_MS} ms")
        elif self._ready and self._needs_ping(now):
            self._awaiting_since = self._last_ping_at = now
            host = self._host
            sent_at, rows = host.clock.now(), host.rows
            self._send(Ping(host.config.version, sent_at, rows.members, rows.digest))

    def excuse_silence(self, paused_ms: float) -> None:
        """Add the time for which this daemon was paused to the time that the peer has to reply."""
        if self._awaiting_since is not None:
            self._awaiting_since = Millis(self._awaiting_since + paused_ms)

    def _needs_ping(self, now: Millis) -> bool:
        """Return whether a busy peer is silent, or the last ping is older than the interval."""
        silent = bool(self._in_flight_by_serial) and now - self._last_received_at > BUSY_PING_MS
        interval_ms = PING_MS_BY_PURPOSE[self.purpose] * self.ping_stretch
        return silent or now - self._last_ping_at > interval_ms

    def reconnect_soon(self) -> None:
        """Reset the backoff, so that a closed link reconnects at the next tick.

        Called when the peer has a new incarnation, which means that it has just started.
        """
        self._failures = 0
        self._reconnect_at = Millis(0)

    def close(self) -> None:
        """Close the link; requests in flight end as lost."""
        if self._cancel_connect is not None:
            self._cancel_connect()
            self._cancel_connect = None
        self._break("closed by this daemon")
        self._lose_unresolved()

    def on_data(self, data: bytes) -> None:
        """Process bytes received from the peer."""
        now = self._host.clock.now()
        self._last_received_at = now
        self._awaiting_since = None
        stream = self._stream
        try:
            for frame in stream.receive(data):
                self._handle(frame)
                if self._stream is not stream:
                    return
        except PeerError as error:
            self._break(error.message)

    def on_end(self, *, clean: bool) -> None:
        """Handle the end of the connection."""
        self._break("closed by the peer" if clean else "connection lost")

    def _on_connected(self, stream: Stream | None) -> None:
        self._cancel_connect = None
        now = self._host.clock.now()
        if stream is None:
            self._back_off(now)
            return
        coding = PlainCoding() if self.near else CompressedCoding()
        host = self._host
        self._stream = LinkStream(stream, host.metrics, host.timeline, host.line, coding)
        self._stream.peer = self.row.id
        self._last_received_at = now
        # The peer's `Hello` is awaited with the same timeouts as a pong.
        self._awaiting_since = now
        self._stream.start(self)
        self._send(host.hello(self.row.id))

    def _back_off(self, now: Millis) -> None:
        self._failures += 1
        pause_ms = min(MAX_RECONNECT_MS, RECONNECT_MS * self._failures)
        self._reconnect_at = Millis(now + pause_ms)

    def _send(self, frame: Frame) -> bool:
        """Send `frame` if connected; return False if there is no memory for a large offer."""
        return self._stream is None or self._stream.send(frame)

    def _send_cancel(self, serial: int) -> None:
        """Cancel an offer at the peer, unless the peer has not received all of it."""
        if self._stream is not None and not self._stream.drop(serial):
            self._stream.send(Cancel(serial))

    def _handle(self, frame: Frame) -> None:
        if isinstance(frame, Answered | Refused | Lost):
            self._finish(frame)
        elif isinstance(frame, Pong):
            round_trip_ms = self._host.clock.now() - self._last_ping_at
            self._delay_ms += (round_trip_ms - self._delay_ms) * DELAY_GAIN
            self._update_report(frame.report)
            self._host.receive_proof(frame)
            self._host.compare_state(frame, self)
        elif isinstance(frame, Hello):
            self._handle_hello(frame)
        else:
            self._host.handle_state(frame, self, self.row.id)

    def _handle_hello(self, hello: Hello) -> None:
        self._host.receive_rows([hello.row, *hello.rows])
        if hello.row.id != self.row.id:
            # The address has been reassigned to another daemon.
            self._break(f"daemon {hello.row.id} answered at this address")
            return
        self._ready = True
        self._failures = 0
        self.peer_protocol = hello.protocol
        self.reads_deltas = hello.protocol >= DELTA_PROTOCOL
        self._stream.reads_parts = hello.protocol >= PARTS_PROTOCOL
        self._host.timeline.record("link_up", target=self.row.id, detail=self.purpose.value)
        self._query_outcomes()
        self._host.compare_state(hello, self)
        self._host.rollouts.on_link(self)

    def _finish(self, outcome: Outcome) -> None:
        request = self._in_flight_by_serial.pop(outcome.serial, None)
        self._update_report(outcome.report)
        if request is not None:
            request.reply(outcome)

    def _update_report(self, report: GateReport) -> None:
        self._report = report
        self._load_of_others = max(0, report.load - len(self._in_flight_by_serial))

    def _break(self, reason: str) -> None:
        stream, self._stream = self._stream, None
        if stream is None:
            return
        # Their last parts have not been written, so the peer has certainly not received them.
        unsent = stream.queued_serials
        stream.close()
        now = self._host.clock.now()
        self._awaiting_since = None
        if not self._ready:
            self._back_off(now)
        else:
            self._ready = False
            self._reconnect_at = now
            self._record_down(reason)
        requests, self._in_flight_by_serial = self._in_flight_by_serial, {}
        for serial, request in requests.items():
            if serial in unsent:
                request.reply(Refused(serial, RefusalReason.CANCELLED, 0.0, False, self._report))
            elif request.idempotent:
                request.reply(Lost(serial, LossReason.LINK_LOST, self._report))
            else:
                self._unresolved_by_serial[serial] = request
                self._resolve_until = Millis(now + RESOLVE_TIMEOUT_MS)

    def _record_down(self, reason: str) -> None:
        unresolved = sum(not request.idempotent for request in self._in_flight_by_serial.values())
        self._host.timeline.record(
            "link_down",
            target=self.row.id,
            detail=reason,
            facts={"open": len(self._in_flight_by_serial), "to_ask_about": unresolved},
        )

    def _lose_unresolved(self) -> None:
        """Report the unresolved requests as lost."""
        requests, self._unresolved_by_serial = self._unresolved_by_serial, {}
        for serial, request in requests.items():
            request.reply(Lost(serial, LossReason.LINK_LOST, self._report))

    def _query_outcomes(self) -> None:
        """Put the unresolved requests back in flight and query the peer for their outcomes."""
        if self._unresolved_by_serial:
            requests, self._unresolved_by_serial = self._unresolved_by_serial, {}
            self._in_flight_by_serial.update(requests)
            self._send(OutcomeQuery(list(requests)))
