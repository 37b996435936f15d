"""Implement the inbound end of a link, which passes another daemon's offers to the gate."""

from __future__ import annotations

import logging

import msgspec

from egretworks import quotapool
from egretworks.clock import Millis
from egretworks.exceptions import PeerError
from egretworks.gateinterface import OfferHandle
from egretworks.linkframes import (
    DELTA_PROTOCOL,
    PARTS_PROTOCOL,
    Cancel,
    Frame,
    Hello,
    LossReason,
    Lost,
    Offer,
    Outcome,
    OutcomeQuery,
    Ping,
    Pong,
    QuotaRequest,
    RefusalReason,
    Refused,
)
from egretworks.linkhost import LinkHost
from egretworks.linkstream import LinkStream
from egretworks.orphanedoffers import PeerIncarnation
from egretworks.streams import Stream
from egretworks.transit import TransitEstimator
from egretworks.types import NO_VERSION, InstanceId

# Suggested delay before a request is retried that was refused because body memory was full.
BODY_MEMORY_WAIT_MS = 100.0

# An offer that was queued on its way for longer is logged.
LOGGED_TRANSIT_MS = 250.0
# An offer that was queued on its way for longer is refused: its caller may have left meanwhile, and
# the cancel is queued behind it. The caller's daemon knows, and offers it elsewhere if not.
MAX_TRANSIT_MS = 400.0
# The slowest link of an instance, 7 Mbit/s: the time that an offer's own body takes there is added.
SLOWEST_LINK_BYTES_PER_MS = 875

# Identifies the peer until its `Hello` has arrived.
UNKNOWN_PEER = PeerIncarnation(InstanceId(""), 0)

log = logging.getLogger(__name__)


class _InFlight(msgspec.Struct, frozen=True):
    offer: Offer
    handle: OfferHandle


class InboundLink:
    """Serve the offers of one other daemon and send back their outcomes.

    When the link ends, idempotent requests are cancelled. The outcomes of the others are kept for
    at least `orphanedoffers.RETENTION_MS`, so that the peer can query them over a new link.
    """

    def __init__(self, host: LinkHost, stream: Stream) -> None:
        self._host = host
        self._stream = LinkStream(stream, host.metrics, host.timeline, host.line)
        self._transit = TransitEstimator()
        self._in_flight_by_serial: dict[int, _InFlight] = {}
        self._peer_incarnation = UNKNOWN_PEER
        self._ended = False
        # See `ConfigPeer`.
        self.peer_version = NO_VERSION
        self.reads_deltas = False
        # See `RolloutPeer`.
        self.peer_protocol = 0
        # See `MemberPeer`.
        self.near = False
        host.inbound_links.add(self)
        self._stream.start(self)

    @property
    def peer(self) -> InstanceId:
        """Return the id of the peer daemon, empty until its `Hello` has arrived."""
        return self._peer_incarnation.id

    @property
    def unsent_bytes(self) -> int:
        """Return the number of bytes that wait to be sent, in the queue or the connection."""
        return self._stream.unsent_bytes

    def on_data(self, data: bytes) -> None:
        """Process bytes received from the peer."""
        try:
            for frame in self._stream.receive(data):
                self._handle(frame)
                if self._ended:
                    return
        except PeerError as error:
            log.warning("closing link from daemon %r: %s", self.peer, error)
            self.abort()

    def on_end(self, *, clean: bool) -> None:
        """Cancel idempotent requests; keep track of the others, which may run only once."""
        self._ended = True
        self._stream.close()
        self._host.inbound_links.discard(self)
        requests, self._in_flight_by_serial = self._in_flight_by_serial, {}
        for request in requests.values():
            if request.offer.idempotent:
                self._cancel(request)
            else:
                self._detach(request)

    def abort(self) -> None:
        """Close the link now and handle its requests as if the connection had been lost."""
        self.on_end(clean=False)

    def send_frame(self, frame: Frame) -> None:
        """Send `frame`, unless the peer has not sent the byte that selects the coding yet.

        A response is lost if there is no memory for it, as with a peer that stops reading.
        """
        if not self._stream.send(frame):
            self._host.metrics.count("link_answers_dropped")
            self._host.calls.failure(
                "answer_dropped", "", daemon=self.peer, unsent_bytes=self.unsent_bytes
            )
            self._stream.send(Lost(frame.serial, LossReason.BROKEN, frame.report))

    def close(self) -> None:
        """Close the link once all pending data has been sent."""
        self._stream.close_when_sent()

    def _handle(self, frame: Frame) -> None:
        if isinstance(frame, Offer):
            self._handle_offer(frame)
        elif isinstance(frame, Cancel):
            request = self._in_flight_by_serial.pop(frame.serial, None)
            if request is not None:
                self._cancel(request)
            else:
                # The request has been answered, but the response may not have been sent completely.
                self._stream.drop(frame.serial)
        elif isinstance(frame, Ping):
            self._handle_ping(frame)
        elif isinstance(frame, Hello):
            self._handle_hello(frame)
        elif isinstance(frame, OutcomeQuery):
            self._answer_outcome_query(frame.serials)
        elif (
            not isinstance(frame, QuotaRequest)
            or self._queued_ms(frame) <= quotapool.MAX_TRANSIT_MS
        ):
            self._host.handle_state(frame, self, self.peer)

    def _handle_ping(self, ping: Ping) -> None:
        self._queued_ms(ping)
        host, rows = self._host, self._host.rows
        self.send_frame(
            Pong(
                host.config.version,
                host.gate.report(),
                rows.members,
                rows.digest,
                ping.sent_at,
                host.proof_age_ms(),
            )
        )
        host.compare_state(ping, self)

    def _handle_hello(self, hello: Hello) -> None:
        host = self._host
        self._peer_incarnation = PeerIncarnation(hello.row.id, hello.row.incarnation)
        self._stream.peer = self.peer
        self.near = hello.row.data_centre == host.rows.own.data_centre
        self.reads_deltas = hello.protocol >= DELTA_PROTOCOL
        self._stream.reads_parts = hello.protocol >= PARTS_PROTOCOL
        self.peer_protocol = hello.protocol
        self._queued_ms(hello)
        self.send_frame(host.hello(self.peer, hello.protocol))
        host.receive_rows([hello.row, *hello.rows])
        host.compare_state(hello, self)
        host.rollouts.on_link(self)

    def _queued_ms(self, frame: Hello | Offer | Ping | QuotaRequest) -> float:
        """Return how long `frame` was queued on its way; 0 if an older build sent it.

        Each frame that is compared keeps the estimate of the shortest transit up to date.
        """
        if frame.sent_at is None:
            return 0.0
        return self._transit.queued_ms(Millis(frame.sent_at), self._host.clock.now())

    def _record_transit(self, offer: Offer, queued_ms: float) -> None:
        self._host.metrics.observe("link_queued", queued_ms)
        if queued_ms > LOGGED_TRANSIT_MS:
            self._host.calls.failure(
                "offer_delayed",
                offer.call,
                daemon=self.peer,
                queued_ms=round(queued_ms, 1),
                left_ms=offer.left_ms,
            )

    def _handle_offer(self, offer: Offer) -> None:
        """Pass an offer to the gate with the time that it has left after its way."""
        self._host.orphaned_offers.record_offer(self._peer_incarnation, offer.serial)
        queued_ms = self._queued_ms(offer)
        self._record_transit(offer, queued_ms)
        offer = msgspec.structs.replace(
            offer,
            left_ms=offer.left_ms - queued_ms,
            objective_left_ms=offer.objective_left_ms - queued_ms,
        )
        allowed_ms = MAX_TRANSIT_MS + len(offer.body) / SLOWEST_LINK_BYTES_PER_MS
        if queued_ms > allowed_ms or offer.left_ms <= 0:
            self.send_frame(self._host.gate.refusal(offer, RefusalReason.EXPIRED, 0.0))
            return
        self._offer_to_gate(offer)

    def _offer_to_gate(self, offer: Offer) -> None:
        body_budget, size = self._host.body_budget, len(offer.body)
        if not body_budget.reserve(size):
            self.send_frame(self._host.gate.refusal(offer, RefusalReason.BUSY, BODY_MEMORY_WAIT_MS))
            return
        # The gate may call `reply` before `offer` returns.
        finished = False

        def reply(outcome: Outcome) -> None:
            nonlocal finished
            finished = True
            body_budget.release(size)
            if self._ended:
                self._host.orphaned_offers.set_outcome(
                    self._peer_incarnation, offer.serial, outcome
                )
            else:
                self._in_flight_by_serial.pop(offer.serial, None)
                self.send_frame(outcome)

        handle = self._host.gate.offer(offer, reply)
        if not finished:
            self._in_flight_by_serial[offer.serial] = _InFlight(offer, handle)

    def _cancel(self, request: _InFlight) -> None:
        self._host.body_budget.release(len(request.offer.body))
        request.handle.cancel()

    def _detach(self, request: _InFlight) -> None:
        """Keep the outcome for the peer's query; withdraw and refuse a request still queued."""
        offer = request.offer
        self._host.orphaned_offers.add(self._peer_incarnation, offer.serial)
        if request.handle.withdraw():
            self._host.body_budget.release(len(offer.body))
            refusal = self._host.gate.refusal(offer, RefusalReason.CANCELLED, 0.0)
            self._host.orphaned_offers.set_outcome(self._peer_incarnation, offer.serial, refusal)

    def _answer_outcome_query(self, serials: list[int]) -> None:
        """Send the outcomes of offers that the peer sent over earlier links."""
        for other in list(self._host.inbound_links):
            if other is not self and other.peer == self.peer:
                # An offer that is reported as never received must not arrive later over an old
                # link whose break this end has not noticed yet.
                other.abort()
        orphaned_offers, report = self._host.orphaned_offers, self._host.gate.report()
        for serial in serials:
            if orphaned_offers.never_received(self._peer_incarnation, serial):
                self.send_frame(Refused(serial, RefusalReason.CANCELLED, 0.0, False, report))
            elif not orphaned_offers.request_outcome(
                self._peer_incarnation, serial, self.send_frame
            ):
                self.send_frame(Lost(serial, LossReason.LINK_LOST, report))
