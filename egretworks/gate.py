"""Send requests to the local target, limited to its slots and to the time while it is serving."""

from __future__ import annotations

from egretworks.clock import Millis
from egretworks.edge import Departure, Heartbeat, TargetNotice
from egretworks.gateinterface import (
    NOT_SERVING_RETRY_AFTER_MS,
    CancelCallback,
    GateHost,
    OfferHandle,
    RefusedOffer,
    Reply,
)
from egretworks.gatequeue import GateQueue, QueueEntry
from egretworks.linkframes import GateReport, Offer, RefusalReason, Refused
from egretworks.localtarget import LocalTarget
from egretworks.pendingoffer import PendingOffer
from egretworks.rows import TargetRow
from egretworks.runningrequests import RunningRequests
from egretworks.streams import call_later
from egretworks.targetconnections import Exchange, TargetConnections
from egretworks.targettracker import TargetIncarnation, TargetTracker
from egretworks.types import RouteName

# Interval at which waiting requests are checked for expiry and for free slots.
SWEEP_INTERVAL_MS = 25
# Refusals that depend on the order in which requests get slots.
SCHEDULING_REASONS = (RefusalReason.BUSY, RefusalReason.EXPIRED)
# Weight of the newest result in the moving average of the failure rate.
FAILURE_RATE_EWMA_GAIN = 0.05


class Gate:
    """Admit requests to the local target and send them.

    All requests to the target pass through its gate, so that the number in flight is limited
    to the target's slots. A new incarnation of the target gets a new queue and new connections.
    """

    def __init__(self, host: GateHost) -> None:
        self.host = host
        self._tracker = TargetTracker(host.drain_ms)
        self.queue = GateQueue(0)
        self.running_requests = RunningRequests()
        self._connections: TargetConnections | None = None
        self._pending_by_entry: dict[QueueEntry, PendingOffer] = {}
        self._failure_rate = 0.0
        self._sweep_scheduled = False
        self.target = LocalTarget(
            host, self._tracker, self.send, self._refuse_waiting, self._apply_limit
        )
        self.stopping = False

    @property
    def running(self) -> int:
        """Return the number of requests in flight at the target."""
        return self.queue.running

    def row(self) -> TargetRow | None:
        """Return the row that other daemons get about the target, or None if there is no target."""
        incarnation = self._tracker.current
        if incarnation is None:
            return None
        serving = incarnation.serving and not self.stopping
        return TargetRow(
            incarnation.id,
            incarnation.born,
            incarnation.service,
            incarnation.slots,
            serving,
            incarnation.drain_ends_at is not None,
            incarnation.version,
        )

    def report(self) -> GateReport:
        """Return the current load of the target."""
        queue = self.queue
        return GateReport(
            queue.usable_slots,
            queue.load,
            round(queue.processing_times.mean, 1) if queue.knows_processing_times else 0.0,
            round(self._failure_rate * 100),
        )

    def apply_announcement(self, announcement: Heartbeat | Departure) -> None:
        """Apply a heartbeat or departure of the target; the gate follows it from then on."""
        now = self.host.clock.now()
        before = self._tracker.current
        if isinstance(announcement, Heartbeat):
            changed = self._tracker.apply_heartbeat(announcement, now)
        else:
            changed = self._tracker.apply_departure(announcement, now)
        incarnation = self._tracker.current
        if incarnation is None:
            return
        if incarnation is not before:
            self._start_incarnation(incarnation)
            self.target.continue_leaving()
        self.queue.slots = incarnation.slots
        if changed:
            self.target.record_change()
        self.target.check_health_if_unconfirmed()

    def send(self, exchange: Exchange) -> CancelCallback:
        """Start an exchange with the target and return a callback that aborts it."""
        return self._connections.send(exchange)

    def offer(self, offer: Offer, reply: Reply) -> OfferHandle:
        """Run, queue or refuse `offer`, and return a handle that can cancel it.

        `reply` is called once with the outcome, possibly before this returns. It is not called if
        the offer is cancelled or withdrawn.
        """
        now = self.host.clock.now()
        incarnation = self._tracker.current
        if (
            incarnation is None
            or not incarnation.accepts_requests(now)
            or incarnation.service != offer.service
            or self.stopping
            or not self.host.rollouts.admits(incarnation)
        ):
            reply(self.refusal(offer, RefusalReason.NOT_SERVING, NOT_SERVING_RETRY_AFTER_MS))
            return RefusedOffer()
        if not self.allows_retry(offer):
            reply(self.refusal(offer, RefusalReason.RETRY_BUDGET, 0.0))
            return RefusedOffer()
        entry = QueueEntry(
            offer.route,
            offer.priority,
            now,
            Millis(now + offer.objective_left_ms),
            Millis(now + offer.left_ms),
            offer.team,
            offer.team_priority,
            offer.team_weight,
        )
        pending = PendingOffer(self, incarnation, offer, entry, reply)
        decision = self.queue.enter(entry, now, may_wait=offer.may_wait)
        if decision.run:
            pending.run()
        elif decision.wait:
            self._pending_by_entry[entry] = pending
            self._schedule_sweep()
        else:
            reply(self.refusal(offer, RefusalReason.BUSY, decision.retry_after_ms))
            return RefusedOffer()
        return pending

    def allows_retry(self, offer: Offer) -> bool:
        """Return whether `offer` is no retry, or the calls that it may make are within budget."""
        if not offer.retry:
            return True
        expected = self.running_requests.expected_calls(RouteName(offer.route))
        return self.host.allows_calls(expected)

    def refusal(
        self,
        offer: Offer,
        reason: RefusalReason,
        retry_after_ms: float,
        *,
        reached_target: bool = False,
    ) -> Refused:
        """Log a refusal of `offer` and return it; the target has not run the request and will not.

        `retry_after_ms` is the suggested delay before another attempt. `reached_target` tells
        whether the target received the request and declined it.
        """
        self.host.metrics.count(f"gate_refused_{reason.name.lower()}")
        incarnation = self._tracker.current
        over_share = self.queue.is_over_share(offer.team, self.host.clock.now())
        if over_share and reason in SCHEDULING_REASONS:
            self.host.metrics.count("gate_over_share_refusals")
        # Log lines of requests without a team have no team facts.
        team_facts = {"team": offer.team, "over_share": over_share} if offer.team else {}
        self.host.calls.failure(
            "gate_refused",
            offer.call,
            reason=reason.name.lower(),
            target=incarnation.id if incarnation else "",
            sequence=incarnation.sequence if incarnation else 0,
            arrived=reached_target,
            left_ms=offer.left_ms,
            objective_left_ms=offer.objective_left_ms,
            slots=self.queue.slots,
            load=self.queue.load,
            work_ms=round(self.queue.processing_times.mean_of(offer.route), 1),
            room_in_ms=round(retry_after_ms, 1),
            **team_facts,
        )
        return Refused(offer.serial, reason, retry_after_ms, reached_target, self.report())

    def _start_incarnation(self, incarnation: TargetIncarnation) -> None:
        """Switch to a new incarnation of the target; refuse the requests that wait for the old."""
        self._refuse_waiting()
        if self._connections is not None:
            self._connections.close()
        self._connections = TargetConnections(
            incarnation.endpoint, self.host.clock, self.host.answer_budget
        )
        self.queue = GateQueue(incarnation.slots)
        self._failure_rate = 0.0

    def _apply_limit(self, incarnation: TargetIncarnation, notice: TargetNotice) -> None:
        if notice.invalid_limit:
            self.host.calls.failure(
                "target_limit_ignored", "", target=incarnation.id, reason=notice.invalid_limit
            )
            return
        if self.queue.rate_limit.set_rate(notice.limit_per_s, self.host.clock.now()):
            self.host.timeline.record(
                "target_limit_changed",
                target=incarnation.id,
                facts={"per_s": notice.limit_per_s, "slots": self.queue.slots},
            )

    def _refuse_waiting(self) -> None:
        for entry in self.queue.remove_all():
            pending = self._pending_by_entry.pop(entry)
            pending.refuse(RefusalReason.NOT_SERVING, NOT_SERVING_RETRY_AFTER_MS)

    def record_result(self, *, failed: bool) -> None:
        """Update the moving average of the target's failure rate."""
        self._failure_rate += (failed - self._failure_rate) * FAILURE_RATE_EWMA_GAIN

    def free_slot(self, queue: GateQueue) -> None:
        """Free the slot of a finished request and admit waiting ones.

        `queue` may belong to an earlier incarnation; then nothing is admitted.
        """
        queue.release_slot()
        if queue is self.queue:
            self._admit_waiting()

    def withdraw(self, entry: QueueEntry) -> bool:
        """Remove a waiting request; return False if it is not waiting any more."""
        return self._pending_by_entry.pop(entry, None) is not None and self.queue.withdraw(entry)

    def _admit_waiting(self) -> None:
        now = self.host.clock.now()
        self._refuse_expired(now)
        incarnation = self._tracker.current
        if not incarnation.accepts_requests(now):
            self._refuse_waiting()
            return
        while (entry := self.queue.admit(now)) is not None:
            self._pending_by_entry.pop(entry).run()

    def _refuse_expired(self, now: Millis) -> None:
        for entry in self.queue.remove_expired(now):
            retry_after_ms = self.queue.retry_after_ms(entry, now)
            self._pending_by_entry.pop(entry).refuse(RefusalReason.EXPIRED, retry_after_ms)

    def _schedule_sweep(self) -> None:
        if not self._sweep_scheduled:
            self._sweep_scheduled = True
            call_later(SWEEP_INTERVAL_MS, self._sweep)

    def _sweep(self) -> None:
        self._sweep_scheduled = False
        if self._pending_by_entry:
            self._admit_waiting()
        if self._pending_by_entry:
            self._schedule_sweep()
