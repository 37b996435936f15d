"""Hand requests to the target beside the daemon, within its slots and while it takes them."""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec

from egretworks.calllog import CallLog
from egretworks.clock import Clock, Millis
from egretworks.edge import Departure, Edge, Heartbeat, TargetHead
from egretworks.gatequeue import GateQueue, QueueEntry
from egretworks.httpwire import Response, encode_request
from egretworks.linkframes import (
    Answered,
    GateReport,
    LossReason,
    Lost,
    Offer,
    Outcome,
    RefusalReason,
    Refused,
)
from egretworks.metrics import Metrics
from egretworks.rows import TargetRow
from egretworks.streams import after
from egretworks.targetbook import TargetBook, TargetView
from egretworks.targetlink import Exchange, ExchangeFailure, TargetLink
from egretworks.timeline import Timeline
from egretworks.types import CallId, ServiceName

MAX_ANSWER_BYTES = 64_000_000
# A target that stops at the deadline has this long to say so.
ANSWER_GRACE_MS = 60
SWEEP_MS = 25
HEALTH_TIMEOUT_MS = 1_000
# Pauses between the health checks of a target that can't be reached; then heartbeats decide.
RECHECK_MS = (200, 400, 800, 1_600)
FAILING_GAIN = 0.05
NOT_SERVING_WAIT_MS = 250.0

Reply = Callable[[Outcome], None]
CancelCall = Callable[[], None]

log = logging.getLogger(__name__)


class GateHost(msgspec.Struct, frozen=True):
    """Hold what a gate needs of the daemon around it."""

    clock: Clock
    edge: Edge
    metrics: Metrics
    timeline: Timeline
    calls: CallLog
    drain_ms: float
    # Returns the path for health checks of a service, or None while none is known.
    health_path: Callable[[ServiceName], str | None]
    # Called when the target's row has changed.
    on_change: Callable[[], None]


class Gate:
    """Be the one way to the target beside the daemon."""

    def __init__(self, host: GateHost) -> None:
        self._host = host
        self._book = TargetBook(host.drain_ms)
        self._queue = GateQueue(0)
        self._link: TargetLink | None = None
        self._work_by_entry: dict[QueueEntry, _Work] = {}
        self._failing = 0.0
        self._sweeping = False
        self._checking = False
        self.stopping = False

    @property
    def running(self) -> int:
        """Return how many requests the target works at."""
        return self._queue.running

    def row(self) -> TargetRow | None:
        """Return what other daemons should know of the target."""
        view = self._book.current
        if view is None:
            return None
        serving = view.serving and not self.stopping
        return TargetRow(view.id, view.born, view.service, view.slots, serving)

    def report(self) -> GateReport:
        """Return how busy the target is."""
        queue = self._queue
        return GateReport(
            queue.slots, queue.load, round(queue.work.mean, 1), round(self._failing * 100)
        )

    def announce(self, announcement: Heartbeat | Departure) -> None:
        """Take in what the target says of itself; from then on the gate keeps to it."""
        now = self._host.clock.now()
        before = self._book.current
        if isinstance(announcement, Heartbeat):
            changed = self._book.heartbeat(announcement, now)
        else:
            changed = self._book.depart(announcement, now)
        view = self._book.current
        if view is None:
            return
        if view is not before:
            self._follow(view)
        self._queue.slots = view.slots
        if changed:
            self._record_change()
        self.check_unconfirmed()

    def check_unconfirmed(self) -> None:
        """Ask a target that no health check has confirmed yet, as its path may be known now."""
        view = self._book.current
        if view is not None and not view.confirmed and view.closes_at is None:
            self.check_health()

    def check_health(self, recheck: int = 0) -> None:
        """Ask the target whether it is healthy, unless that is being asked."""
        view = self._book.current
        if view is None or self._link is None or self._checking:
            return
        path = self._host.health_path(view.service)
        if path is None:
            return
        self._checking = True

        def done(outcome: Response | ExchangeFailure) -> None:
            self._checking = False
            self._on_health(view, outcome, recheck)

        data = self._host.edge.health_request(path, str(view.endpoint))
        self._host.metrics.count("health_checks")
        self._link.send(Exchange("GET", data, HEALTH_TIMEOUT_MS, lambda _: True, done))

    def offer(self, offer: Offer, reply: Reply) -> CancelCall:
        """Take `offer` and tell `reply` its outcome once; returns how to take the offer back."""
        now = self._host.clock.now()
        view = self._book.current
        if view is None or not view.takes(now) or view.service != offer.service or self.stopping:
            reply(self.refusal(offer, RefusalReason.NOT_SERVING, NOT_SERVING_WAIT_MS))
            return _nothing
        entry = QueueEntry(
            offer.route,
            offer.priority,
            now,
            Millis(now + offer.objective_left_ms),
            Millis(now + offer.left_ms),
        )
        work = _Work(self, view, offer, entry, reply)
        verdict = self._queue.enter(entry, now)
        if verdict.run:
            work.run()
        elif verdict.wait:
            self._work_by_entry[entry] = work
            self._sweep_soon()
        else:
            reply(self.refusal(offer, RefusalReason.BUSY, verdict.room_in_ms))
            return _nothing
        return work.cancel

    def refusal(
        self, offer: Offer, reason: RefusalReason, wait_ms: float, *, arrived: bool = False
    ) -> Refused:
        """Return the statement that `offer` hasn't run and won't."""
        self._host.metrics.count(f"gate_refused_{reason.name.lower()}")
        view = self._book.current
        self._host.calls.failure(
            "gate_refused",
            offer.call,
            reason=reason.name.lower(),
            target=view.id if view else "",
            sequence=view.sequence if view else 0,
            arrived=arrived,
            left_ms=offer.left_ms,
            objective_left_ms=offer.objective_left_ms,
            slots=self._queue.slots,
            load=self._queue.load,
            work_ms=round(self._queue.work.of(offer.route), 1),
            room_in_ms=round(wait_ms, 1),
        )
        return Refused(offer.serial, reason, wait_ms, arrived, self.report())

    def _follow(self, view: TargetView) -> None:
        """Begin to serve another incarnation of the target."""
        self._refuse_waiting()
        if self._link is not None:
            self._link.close()
        self._link = TargetLink(view.endpoint, self._host.clock, MAX_ANSWER_BYTES)
        self._queue = GateQueue(view.slots)
        self._failing = 0.0

    def _record_change(self) -> None:
        view = self._book.current
        self._host.timeline.record(
            "target_changed",
            target=view.id,
            detail=f"serving={view.serving} slots={view.slots} gone={view.gone}"
            f" sequence={view.sequence} born={view.born}",
        )
        self._host.on_change()

    def _on_health(
        self, view: TargetView, outcome: Response | ExchangeFailure, recheck: int
    ) -> None:
        if view is not self._book.current:
            return
        id = None
        if isinstance(outcome, Response):
            id = self._host.edge.healthy_target(outcome)
        if id is not None and self._book.confirm(id):
            self._record_change()
        if id == view.id and view.gone:
            view.gone = False
            self._record_change()
        if id is None and recheck < len(RECHECK_MS):
            after(RECHECK_MS[recheck], self.check_health, recheck + 1)

    def on_unreachable(self, view: TargetView) -> None:
        """Note that no connection to the target could be opened."""
        if view is self._book.current and self._book.lose():
            self._record_change()
            self._refuse_waiting()
            after(RECHECK_MS[0], self.check_health, 1)

    def on_other_target(self, view: TargetView) -> None:
        """Note that another target answered at the address."""
        if view is self._book.current and view.confirmed:
            view.confirmed = False
            self._record_change()

    def _refuse_waiting(self) -> None:
        for entry in self._queue.drop_all():
            work = self._work_by_entry.pop(entry)
            work.refuse(RefusalReason.NOT_SERVING, NOT_SERVING_WAIT_MS)

    def note_result(self, *, failed: bool) -> None:
        """Follow how often the target fails."""
        self._failing += (failed - self._failing) * FAILING_GAIN

    def free_slot(self, queue: GateQueue) -> None:
        """Give the slot of a request that has ended to the next one."""
        queue.leave()
        if queue is self._queue:
            self._admit()

    def withdraw(self, entry: QueueEntry) -> bool:
        """Take a waiting request out; returns False where it doesn't wait any more."""
        return self._work_by_entry.pop(entry, None) is not None and self._queue.withdraw(entry)

    def _admit(self) -> None:
        now = self._host.clock.now()
        self._give_up(now)
        view = self._book.current
        if not view.takes(now):
            self._refuse_waiting()
            return
        while (entry := self._queue.admit(now)) is not None:
            self._work_by_entry.pop(entry).run()

    def _give_up(self, now: Millis) -> None:
        for entry in self._queue.give_up(now):
            self._work_by_entry.pop(entry).refuse(RefusalReason.EXPIRED, 0.0)

    def _sweep_soon(self) -> None:
        if not self._sweeping:
            self._sweeping = True
            after(SWEEP_MS, self._sweep)

    def _sweep(self) -> None:
        self._sweeping = False
        if self._work_by_entry:
            self._admit()
        if self._work_by_entry:
            self._sweep_soon()


class _Work:
    """Carry one offer through the queue and the exchange with the target."""

    def __init__(
        self, gate: Gate, view: TargetView, offer: Offer, entry: QueueEntry, reply: Reply
    ) -> None:
        self._gate = gate
        self._host = gate._host
        self._view = view
        self._offer = offer
        self._entry = entry
        self._reply: Reply | None = reply
        self._queue: GateQueue | None = None
        self._started = Millis(0)
        self._break_off: CancelCall | None = None

    def run(self) -> None:
        """Hand the request to the target."""
        gate, offer = self._gate, self._offer
        self._queue = gate._queue
        self._started = self._host.clock.now()
        left_ms = max(1.0, self._entry.expires_at - self._started)
        head = TargetHead(
            CallId(offer.call), int(left_ms), ServiceName(offer.caller), self._view.id
        )
        host = next((value for name, value in offer.headers if name == b"host"), b"")
        data = encode_request(offer, host.decode("latin-1"), self._host.edge.target_headers(head))
        waited_ms = self._started - self._entry.arrived
        self._host.metrics.observe("gate_wait", waited_ms)
        self._host.calls.step(
            "gate_handed",
            offer.call,
            target=self._view.id,
            waited_ms=round(waited_ms, 1),
            left_ms=round(left_ms, 1),
            running=gate.running,
        )
        exchange = Exchange(
            offer.method, data, left_ms + ANSWER_GRACE_MS, self._belongs, self._on_done
        )
        self._break_off = gate._link.send(exchange)

    def refuse(self, reason: RefusalReason, wait_ms: float) -> None:
        """Tell that the request was never handed over."""
        self._tell(self._gate.refusal(self._offer, reason, wait_ms))

    def cancel(self) -> None:
        """Stop what can be stopped, as nobody waits for the outcome."""
        if self._reply is None:
            return
        self._reply = None
        if self._gate.withdraw(self._entry) or self._break_off is None:
            return
        if self._offer.idempotent:
            self._break_off()
            self._gate.free_slot(self._queue)

    def _belongs(self, response: Response) -> bool:
        # An answer that names no request may be another's.
        return self._host.edge.read_marks(response).id == self._offer.call

    def _on_done(self, outcome: Response | ExchangeFailure) -> None:
        gate = self._gate
        took_ms = self._host.clock.now() - self._started
        result = self._judge(outcome)
        if isinstance(result, Answered):
            gate.note_result(failed=result.status >= 500)
            self._queue.work.note(self._offer.route, took_ms)
            self._host.metrics.observe("target", took_ms)
        else:
            gate.note_result(failed=True)
        gate.free_slot(self._queue)
        self._tell(result)

    def _judge(self, outcome: Response | ExchangeFailure) -> Outcome:
        """Return what is certain about the request after its exchange with the target."""
        gate, offer = self._gate, self._offer
        if outcome is ExchangeFailure.NO_CONNECTION:
            gate.on_unreachable(self._view)
            return gate.refusal(offer, RefusalReason.NO_CONNECTION, NOT_SERVING_WAIT_MS)
        if isinstance(outcome, ExchangeFailure):
            timed_out = outcome is ExchangeFailure.TIMED_OUT
            return self._lost(LossReason.TIMED_OUT if timed_out else LossReason.BROKEN)
        marks = self._host.edge.read_marks(outcome)
        if marks.not_run or outcome.status == 421:
            if outcome.status == 421:
                gate.on_other_target(self._view)
            wait_ms = self._queue.work.mean
            return gate.refusal(offer, RefusalReason.DECLINED, wait_ms, arrived=True)
        if not marks.signed or marks.encoded:
            return self._lost(LossReason.NOT_WHOLE)
        return Answered(offer.serial, outcome.status, outcome.headers, outcome.body, gate.report())

    def _lost(self, reason: LossReason) -> Lost:
        self._host.metrics.count(f"gate_lost_{reason.name.lower()}")
        self._host.calls.failure(
            "gate_lost",
            self._offer.call,
            reason=reason.name.lower(),
            target=self._view.id,
            after_ms=round(self._host.clock.now() - self._started, 1),
        )
        return Lost(self._offer.serial, reason, self._gate.report())

    def _tell(self, outcome: Outcome) -> None:
        reply, self._reply = self._reply, None
        if reply is not None:
            reply(outcome)


def _nothing() -> None:
    """Cancel an offer that has ended."""
