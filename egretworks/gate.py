"""Send requests to the local target, limited to its slots and to the time while it is serving."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec

from egretworks.bytebudget import ByteBudget
from egretworks.calllog import CallLog
from egretworks.clock import Clock, Millis
from egretworks.edge import Departure, Edge, Heartbeat, TargetNotice
from egretworks.gatequeue import GateQueue, QueueEntry
from egretworks.healthchecks import HealthChecks
from egretworks.httpwire import Response
from egretworks.linkframes import GateReport, Offer, RefusalReason, Refused
from egretworks.metrics import Metrics
from egretworks.pendingoffer import (
    NOT_SERVING_RETRY_AFTER_MS,
    CancelCallback,
    OfferHandle,
    PendingOffer,
    RefusedOffer,
    Reply,
)
from egretworks.rows import TargetRow
from egretworks.runningrequests import RunningRequests
from egretworks.streams import call_later
from egretworks.targetconnections import Exchange, TargetConnections
from egretworks.targettracker import TargetIncarnation, TargetTracker
from egretworks.timeline import Timeline
from egretworks.types import RouteName, ServiceName

# Interval at which waiting requests are checked for expiry and for free slots.
SWEEP_INTERVAL_MS = 25
# Weight of the newest result in the moving average of the failure rate.
FAILURE_RATE_EWMA_GAIN = 0.05


class GateHost(msgspec.Struct, frozen=True):
    """Hold the parts of the daemon that a gate uses."""

    clock: Clock
    edge: Edge
    metrics: Metrics
    timeline: Timeline
    calls: CallLog
    # Returns how long a leaving target may still be sent requests, in milliseconds.
    drain_ms: Callable[[], float]
    # Returns the health check path of a service, or None while it is unknown.
    health_path: Callable[[ServiceName], str | None]
    # Called after the target's row has changed.
    on_change: Callable[[], None]
    # Counts the body bytes of answers that are still arriving.
    answer_budget: ByteBudget
    # Returns whether the retry budgets allow the calls that retries are expected to make.
    allows_calls: Callable[[Mapping[ServiceName, float]], bool]


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
        self._health = HealthChecks(host, self._tracker, self.send, self._on_healthy)
        # The target as an earlier run of this daemon last described it to the others.
        self._earlier_target: TargetRow | None = None
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
            self._continue_leaving()
        self.queue.slots = incarnation.slots
        if changed:
            self._record_change()
        self.check_health_if_unconfirmed()

    def send(self, exchange: Exchange) -> CancelCallback:
        """Start an exchange with the target and return a callback that aborts it."""
        return self._connections.send(exchange)

    def check_health_if_unconfirmed(self) -> None:
        """Check the health of a target that is not confirmed yet.

        The path for the check may have become known with a new configuration.
        """
        self._health.check_if_unconfirmed()

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

    def _record_change(self) -> None:
        incarnation = self._tracker.current
        self.host.timeline.record(
            "target_changed",
            target=incarnation.id,
            detail=f"serving={incarnation.serving} slots={incarnation.slots}"
            f" gone={incarnation.gone} sequence={incarnation.sequence} born={incarnation.born}",
        )
        self.host.on_change()

    def _on_healthy(self, incarnation: TargetIncarnation, response: Response) -> None:
        """Apply the answer of a healthy target to a health check."""
        id = self.host.edge.healthy_target(response)
        if self._tracker.confirm(id):
            self._record_change()
        if id != incarnation.id:
            return
        self._apply_health_notice(incarnation, response)
        if incarnation.gone:
            incarnation.gone = False
            self._record_change()

    def on_unreachable(self, incarnation: TargetIncarnation) -> None:
        """Mark the target as gone after a connection to it could not be opened."""
        if incarnation is self._tracker.current and self._tracker.mark_unreachable():
            self._record_change()
            self._refuse_waiting()
            self._health.check_later()

    def on_wrong_target(self, incarnation: TargetIncarnation) -> None:
        """Mark the target as unconfirmed after another target answered at its address."""
        if incarnation is self._tracker.current and incarnation.confirmed:
            incarnation.confirmed = False
            self._record_change()

    def apply_notice(self, incarnation: TargetIncarnation, response: Response) -> None:
        """Follow what the target states about itself in an answer; the last answer counts."""
        if incarnation is not self._tracker.current:
            return
        notice = self.host.edge.read_notice(response)
        if notice.leaving:
            self._start_leaving()
        self._apply_limit(incarnation, notice)

    def _apply_health_notice(self, incarnation: TargetIncarnation, response: Response) -> None:
        """Follow what a health answer states; a limit that it does not state may still hold."""
        notice = self.host.edge.read_notice(response)
        if notice.leaving:
            self._start_leaving()
        if notice.limit_per_s is not None:
            self._apply_limit(incarnation, notice)

    def apply_earlier_target(self, earlier: TargetRow) -> None:
        """Follow what an earlier run of this daemon knew of the target."""
        self._earlier_target = earlier
        self._continue_leaving()

    def _continue_leaving(self) -> None:
        """Send the target nothing if an earlier run of this daemon knew that it leaves."""
        earlier, incarnation = self._earlier_target, self._tracker.current
        if earlier is None or incarnation is None or not earlier.leaving:
            return
        is_same = (earlier.id, earlier.born) == (incarnation.id, incarnation.born)
        if is_same and self._tracker.end_drain(self.host.clock.now()):
            self._record_change()

    def _start_leaving(self) -> None:
        if self._tracker.start_leaving(self.host.clock.now()):
            self._record_change()

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
            retry_after_ms = self.queue.retry_after_ms(entry.priority, now)
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
