"""Lead the orders of new versions: read them in the store, decide the stages, write the status."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from enum import Enum
from typing import TYPE_CHECKING

import eventlet
import msgspec

from egretworks.clock import Millis, seconds
from egretworks.exceptions import (
    ConfigInvalid,
    ObjectConflict,
    ObjectNotFound,
    PlatformError,
    WatchCompacted,
)
from egretworks.linkframes import RolloutEvidence, RolloutStage, RolloutStep
from egretworks.rollout import (
    RUNNING_STEPS,
    RolloutBounds,
    RolloutPlan,
    VersionTarget,
    targets_of,
)
from egretworks.rolloutorder import RolloutOrder, RolloutPhase
from egretworks.rolloutstate import Followed, RolloutHost, record_stage
from egretworks.storesync import LONG_POLL_MS, Store, Stored
from egretworks.types import InstanceId, ServiceName

if TYPE_CHECKING:
    from egretworks.rolloutcontrol import Rollouts

ROLLOUT_KIND = "rollouts"
# The store is asked for orders at most once in this time, since its calls are priced.
WATCH_INTERVAL_MS = 1_000
# A daemon that has just started has no links and would elect itself, so that all daemons of a
# starting mesh would ask the store.
START_MS = 1_500
# How often a daemon checks whether it has become the leader.
ELECTION_POLL_MS = 200
# Estimated time from the write of an order until its leader reads it.
NOTICE_MS = 500.0
# A leader that has sent no stage for this long is replaced; it sends two a second.
LEADER_SILENT_MS = 1_500.0
# An order that was taken, but of which no stage arrives for this long, has no leader.
NO_STAGE_MS = 1_500.0
# A new leader that doesn't know the age of such an order assumes this part of the duration.
UNKNOWN_AGE_PART = 0.5
WRITE_RETRY_MS = 400.0
# How often a leader decides; each time takes some milliseconds in a large mesh.
LEAD_MS = 100.0

STEP_BY_PHASE = {
    RolloutPhase.COMPLETED: RolloutStep.COMPLETED,
    RolloutPhase.ROLLED_BACK: RolloutStep.ROLLED_BACK,
}
PHASE_BY_STEP = {step: phase for phase, step in STEP_BY_PHASE.items()}

log = logging.getLogger(__name__)


class _StoredOrder(msgspec.Struct):
    """Hold an order as it was last read."""

    order: RolloutOrder
    # None if the object has to be read before its status can be written.
    revision: int | None
    seen_at: Millis


class WriteResult(Enum):
    """Tell what is known of the write of a status."""

    WRITTEN = "written"
    # Another write came first.
    CONFLICT = "conflict"
    # The store didn't answer.
    UNKNOWN = "unknown"


class RolloutLead:
    """Lead orders while this daemon is elected: read them, decide the stages, write the status."""

    def __init__(self, host: RolloutHost, rollouts: Rollouts) -> None:
        """Publish the stages through `rollouts`."""
        self.host = host
        self._rollouts = rollouts
        self._lead_at = Millis(0)
        self._ordered_by_service: dict[ServiceName, _StoredOrder] = {}
        self._plan_by_service: dict[ServiceName, RolloutPlan] = {}
        # Status writes under way, and when a failed one is repeated.
        self._writing: dict[ServiceName, RolloutPhase] = {}
        self._write_at: dict[ServiceName, Millis] = {}
        # Services whose status may be `completed` already, as the answer of the write was lost.
        self._maybe_completed: set[ServiceName] = set()
        self.store: Store | None = None

    def is_leader(self) -> bool:
        """Return whether this daemon is elected to lead.

        It is the elected watcher of the lowest data centre with a daemon that reaches the store; if
        none does, a running order still needs a leader.
        """
        own = self.host.rows.own
        reachable = self.host.links().reachable_rows()
        if not reachable and self.host.rows.size > 1:
            # This daemon is partitioned from the others, or its links are not up yet.
            return False
        rows = [row for row in (own, *reachable) if not row.leaving]
        able = [row for row in rows if row.store_reachable] or rows
        lowest = min(able, key=lambda row: (row.data_centre, row.id), default=None)
        return lowest is own

    def add_evidence(self, evidence: RolloutEvidence) -> bool:
        """Use evidence; return False if this daemon doesn't lead the order."""
        plan = self._plan_by_service.get(ServiceName(evidence.service))
        if plan is None:
            return False
        plan.add(evidence, self.host.clock.now())
        return True

    def yield_to(self, stage: RolloutStage) -> None:
        """Stop leading an order of which another daemon has sent a newer stage."""
        if stage.leader == self.host.rows.own.id:
            return
        self._maybe_completed.discard(ServiceName(stage.service))
        if self._plan_by_service.pop(ServiceName(stage.service), None) is not None:
            record_stage(
                self.host.timeline,
                "rollout_lead_lost",
                stage,
                detail=f"daemon {stage.leader} leads",
            )

    def on_list(self, objects: Iterable[Stored]) -> None:
        """Take all orders that are in the store."""
        objects = list(objects)
        for service in self._ordered_by_service.keys() - {stored.name for stored in objects}:
            self._on_deleted(service)
        self.on_objects(objects)

    def on_objects(self, objects: Iterable[Stored]) -> None:
        """Take orders that were read from the store."""
        for stored in objects:
            service = ServiceName(stored.name)
            if stored.deleted:
                self._on_deleted(service)
                continue
            try:
                order = self.host.edge.decode_order(stored.document, stored.status)
            except ConfigInvalid as error:
                self.host.timeline.record("rollout_ignored", target=service, detail=error.message)
                continue
            if order.service != service:
                detail = f"the order is for service {order.service!r}"
                self.host.timeline.record("rollout_ignored", target=service, detail=detail)
                continue
            self._set_ordered(service, order, stored.revision)

    def _set_ordered(self, service: ServiceName, order: RolloutOrder, revision: int) -> None:
        known = self._ordered_by_service.get(service)
        if known is not None and known.order.target_version == order.target_version:
            seen_at = known.seen_at
            if known.order.phase is not order.phase and order.phase is None:
                seen_at = self.host.clock.now()
        else:
            seen_at = self.host.clock.now()
            # The write that may have been applied was of another order.
            self._maybe_completed.discard(service)
        self._ordered_by_service[service] = _StoredOrder(order, revision, seen_at)

    def _on_deleted(self, service: ServiceName) -> None:
        self._ordered_by_service.pop(service, None)
        self._maybe_completed.discard(service)
        plan = self._plan_by_service.pop(service, None)
        if plan is not None:
            now = self.host.clock.now()
            self._publish(plan.end(RolloutStep.ROLLED_BACK, now, "the order was deleted"))

    def tick(self, now: Millis) -> None:
        """Take up due orders if this daemon is elected, and advance those that it leads."""
        if now < self._lead_at:
            return
        self._lead_at = Millis(now + LEAD_MS)
        if self.host.rows.own.leaving:
            self._plan_by_service.clear()
            return
        if not (self._ordered_by_service or self._rollouts.followed_by_service):
            return
        if self.is_leader():
            for service, ordered in list(self._ordered_by_service.items()):
                self._reconcile(service, ordered, now)
            for service, followed in list(self._rollouts.followed_by_service.items()):
                self._take_over_if_silent(service, followed, now)
        for service, plan in list(self._plan_by_service.items()):
            self._advance(service, plan, now)

    def _reconcile(self, service: ServiceName, ordered: _StoredOrder, now: Millis) -> None:
        """Reconcile an order with its status and newest stage, unless a write is under way."""
        if service in self._writing or now < self._write_at.get(service, now):
            return
        order = ordered.order
        followed = self._rollouts.followed_by_service.get(service)
        stage = followed.stage if followed is not None else None
        known = stage is not None and stage.target_version == order.target_version
        if order.phase in STEP_BY_PHASE:
            step = STEP_BY_PHASE[order.phase]
            if not known or stage.step is not step:
                self._adopt_final_status(service, ordered, step, now)
        elif known and stage.step in RUNNING_STEPS:
            return
        elif known and (order.phase is RolloutPhase.RUNNING or not self._is_newer(ordered, stage)):
            self._write(service, order.target_version, PHASE_BY_STEP[stage.step])
        elif order.phase is None:
            self._write(service, order.target_version, RolloutPhase.RUNNING)
        elif now - ordered.seen_at >= NO_STAGE_MS:
            # Another leader took it, but no stage of it has arrived.
            self._start(service, ordered, now, knows_age=False)

    @staticmethod
    def _is_newer(ordered: _StoredOrder, stage: RolloutStage) -> bool:
        return ordered.revision is not None and ordered.revision > stage.order

    def _adopt_final_status(
        self, service: ServiceName, ordered: _StoredOrder, step: RolloutStep, now: Millis
    ) -> None:
        """Follow the status of an order that has ended."""
        self._plan_by_service.pop(service, None)
        self._maybe_completed.discard(service)
        stage = self._first_stage(service, ordered, now)
        known = self._rollouts.followed_by_service.get(service)
        if known is not None and known.stage.target_version == stage.target_version:
            stage = msgspec.structs.replace(
                known.stage,
                epoch=known.stage.epoch + 1,
                number=1,
                leader=self.host.rows.own.id,
            )
        share = 1.0 if step is RolloutStep.COMPLETED else 0.0
        stage = msgspec.structs.replace(stage, step=step, share=share, quotas=[])
        self._publish(stage, reason="the status in the store")

    def _first_stage(
        self,
        service: ServiceName,
        ordered: _StoredOrder,
        now: Millis,
        *,
        age_ms: float | None = None,
    ) -> RolloutStage:
        known = self._rollouts.followed_by_service.get(service)
        own = self.host.rows.own
        target_version = ordered.order.target_version
        return RolloutStage(
            service,
            target_version,
            order=max(ordered.revision or 0, known.stage.order + 1 if known else 1),
            epoch=1,
            number=1,
            leader=own.id,
            step=RolloutStep.PROBE,
            age_ms=now - ordered.seen_at + NOTICE_MS if age_ms is None else age_ms,
            duration_ms=ordered.order.duration_ms,
            current_versions=sorted(self._current_versions(service) - {target_version}),
        )

    def _current_versions(self, service: ServiceName) -> frozenset[str]:
        """Return the versions that need no order, or are the result of the last one."""
        known = self._rollouts.followed_by_service.get(service)
        if known is None:
            return self._rollouts.first_versions(service)
        if known.stage.step is RolloutStep.COMPLETED:
            return frozenset((known.stage.target_version,))
        return known.current_versions

    def _start(
        self, service: ServiceName, ordered: _StoredOrder, now: Millis, *, knows_age: bool
    ) -> None:
        bounds = self.host.bounds()
        age_ms = None
        if not knows_age:
            age_ms = ordered.order.duration_ms * UNKNOWN_AGE_PART
            # The slack may have been used already.
            bounds = RolloutBounds(bounds.share, 0.0)
        stage = self._first_stage(service, ordered, now, age_ms=age_ms)
        versions = {target.version for target in self._targets(service)}
        is_current = ordered.order.target_version in self._current_versions(service)
        if is_current and versions <= {ordered.order.target_version}:
            # All targets have the version already, so there is nothing to compare it with.
            stage = msgspec.structs.replace(stage, step=RolloutStep.COMPLETED, share=1.0)
            self._publish(stage, reason="the version is the current one")
            return
        plan = RolloutPlan(stage, bounds, now)
        self._plan_by_service[service] = plan
        self._publish(stage, reason="the order in the store")

    def _take_over_if_silent(self, service: ServiceName, followed: Followed, now: Millis) -> None:
        """Take over an order whose leader can no longer lead or has stopped sending stages."""
        stage = followed.stage
        if stage.step not in RUNNING_STEPS or service in self._plan_by_service:
            return
        own = self.host.rows.own
        leader = self.host.rows.rows_by_id.get(InstanceId(stage.leader))
        unable = leader is not None and (
            leader.leaving or (own.store_reachable and not leader.store_reachable)
        )
        if not unable and now - followed.heard_at < LEADER_SILENT_MS:
            return
        stage = msgspec.structs.replace(
            self._rollouts.aged(followed), epoch=stage.epoch + 1, number=1, leader=own.id
        )
        self._plan_by_service[service] = RolloutPlan(stage, self.host.bounds(), now)
        why = "can't lead any more" if unable else "is silent"
        record_stage(
            self.host.timeline,
            "rollout_taken_over",
            stage,
            detail=f"daemon {followed.stage.leader} {why}",
        )
        self._publish(stage)
        # The former leader may be paused: with another revision its writes fail.
        ordered = self._ordered_by_service.get(service)
        if ordered is not None:
            ordered.revision = None
        self._write(service, stage.target_version, RolloutPhase.RUNNING)

    def _targets(self, service: ServiceName) -> list[VersionTarget]:
        return targets_of(service, self.host.rows.all_rows())

    def _advance(self, service: ServiceName, plan: RolloutPlan, now: Millis) -> None:
        targets = self._targets(service)
        completing = (
            self._writing.get(service) is RolloutPhase.COMPLETED or service in self._maybe_completed
        )
        stage = plan.advance(now, targets, may_go_back=not completing)
        if stage is not None:
            self._publish(stage, reason=plan.reason, plan=plan)
        if plan.stage.step is RolloutStep.ROLLED_BACK:
            self._plan_by_service.pop(service)
            self._write(service, plan.stage.target_version, RolloutPhase.ROLLED_BACK)
        elif plan.may_write(now, targets):
            self._write(service, plan.stage.target_version, RolloutPhase.COMPLETED)

    def _publish(
        self, stage: RolloutStage, *, reason: str = "", plan: RolloutPlan | None = None
    ) -> None:
        known = self._rollouts.followed_by_service.get(ServiceName(stage.service))
        before = None if known is None else (known.stage.order, known.stage.step)
        if not self._rollouts.follow(stage):
            return
        if reason and before != (stage.order, stage.step):
            facts = {"age_ms": round(stage.age_ms), "share": round(stage.share, 3)}
            if plan is not None:
                facts |= {"calls": plan.calls, "runs_new": plan.runs}
            record_stage(self.host.timeline, "rollout_decided", stage, detail=reason, facts=facts)
        self.host.links().send_stage(stage)

    # Status writes

    def _write(self, service: ServiceName, version: str, phase: RolloutPhase) -> None:
        """Write the status of the order for `version` in a green thread.

        Nothing is done while another write is under way or just after one that failed.
        """
        now = self.host.clock.now()
        if self.store is None or service in self._writing:
            return
        if now < self._write_at.get(service, now):
            return
        self._writing[service] = phase
        self.host.spawn(self._run_write, service, version, phase)

    def _run_write(self, service: ServiceName, version: str, phase: RolloutPhase) -> None:
        try:
            result = self._try_write(service, version, phase)
        except Exception as error:
            if not isinstance(error, PlatformError):
                log.error("unexpected error in the write of a status", exc_info=error)
            result = WriteResult.UNKNOWN
        now = self.host.clock.now()
        del self._writing[service]
        if result is not WriteResult.WRITTEN:
            self._write_at[service] = Millis(now + WRITE_RETRY_MS)
            self.host.timeline.record(
                "rollout_status_unwritten",
                target=service,
                detail=result.value,
                facts={"phase": phase.value},
            )
            if result is WriteResult.CONFLICT:
                self._maybe_completed.discard(service)
            elif phase is RolloutPhase.COMPLETED:
                self._maybe_completed.add(service)
            return
        self._on_written(service, phase, now)

    def _try_write(self, service: ServiceName, version: str, phase: RolloutPhase) -> WriteResult:
        ordered = self._ordered_by_service.get(service)
        if service in self._maybe_completed or ordered is None or ordered.revision is None:
            found = self._read_phase(service, version)
            if found is phase and found in STEP_BY_PHASE:
                return WriteResult.WRITTEN
            ordered = self._ordered_by_service.get(service)
        if (
            ordered is None
            or ordered.order.target_version != version
            or ordered.order.phase in STEP_BY_PHASE
        ):
            # Another order has come, or another daemon has ended this one.
            return WriteResult.CONFLICT
        status = self.host.edge.encode_order_status(phase, version)
        try:
            stored = self.store.replace_status(ROLLOUT_KIND, service, status, ordered.revision)
        except ObjectConflict:
            found = self._read_phase(service, version)
            # That another daemon has taken the order doesn't make this one its leader.
            ended = found is phase and found in STEP_BY_PHASE
            return WriteResult.WRITTEN if ended else WriteResult.CONFLICT
        except PlatformError:
            # The write may have been applied although its answer was lost.
            found = self._read_phase(service, version)
            return WriteResult.WRITTEN if found is phase else WriteResult.UNKNOWN
        order = msgspec.structs.replace(ordered.order, phase=phase)
        self._ordered_by_service[service] = _StoredOrder(order, stored.revision, ordered.seen_at)
        return WriteResult.WRITTEN

    def _read_phase(self, service: ServiceName, version: str) -> RolloutPhase | None:
        """Read the order again; return its phase if it is still for `version`."""
        try:
            self.on_objects([self.store.read(ROLLOUT_KIND, service)])
        except ObjectNotFound:
            self._on_deleted(service)
        ordered = self._ordered_by_service.get(service)
        if ordered is None or ordered.order.target_version != version:
            return None
        return ordered.order.phase

    def _on_written(self, service: ServiceName, phase: RolloutPhase, now: Millis) -> None:
        ordered = self._ordered_by_service[service]
        followed = self._rollouts.followed_by_service.get(service)
        version = ordered.order.target_version
        known = followed is not None and followed.stage.target_version == version
        self.host.timeline.record(
            "rollout_status_written",
            target=service,
            facts={"version": version, "phase": phase.value},
        )
        if phase is RolloutPhase.RUNNING:
            if not (known and followed.stage.step in RUNNING_STEPS):
                self._start(service, ordered, now, knows_age=True)
        elif phase is RolloutPhase.COMPLETED:
            self._maybe_completed.discard(service)
            plan = self._plan_by_service.pop(service, None)
            if plan is not None:
                stage = plan.end(RolloutStep.COMPLETED, now, "the status is written")
                self._publish(stage, reason=plan.reason, plan=plan)


class RolloutWatch:
    """Watch the orders in the store while this daemon is elected to lead."""

    def __init__(self, lead: RolloutLead, store: Store) -> None:
        self._lead = lead
        self._host = lead.host
        self._store = store
        self._revision: int | None = None
        self._era = 0
        lead.store = store

    def run(self) -> None:
        """Watch the orders whenever this daemon is elected; never returns."""
        eventlet.sleep(seconds(START_MS))
        while True:
            if not self._host.enabled() or not self._lead.is_leader():
                eventlet.sleep(seconds(ELECTION_POLL_MS))
                continue
            began = self._host.clock.now()
            try:
                self._poll()
            except WatchCompacted:
                self._revision = None
            except PlatformError as error:
                log.info("the orders of rollouts were not read: %s", error.message)
            except Exception as error:
                log.error("unexpected error in the watch of rollouts", exc_info=error)
                self._revision = None
            left_ms = WATCH_INTERVAL_MS - (self._host.clock.now() - began)
            # Also without time left, other green threads must run.
            eventlet.sleep(seconds(left_ms))

    def _poll(self) -> None:
        if self._store.era != self._era:
            # The store was restored from a copy, and may assign the same revisions again.
            self._era, self._revision = self._store.era, None
        if self._revision is None:
            snapshot = self._store.list(ROLLOUT_KIND)
            self._era = self._store.era
            self._lead.on_list(snapshot.objects)
        else:
            snapshot = self._store.watch(ROLLOUT_KIND, self._revision, LONG_POLL_MS)
            self._lead.on_objects(snapshot.objects)
        self._revision = snapshot.revision
