"""Bring in new versions of services: connect the decisions to the store, links, gate and callers.

One daemon leads: it watches the orders in the store, sums the reports of all daemons and sends
each next stage. All daemons follow the newest stage that they have received. See
docs/design/ROLLOUTS.md.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from enum import Enum

import eventlet
import msgspec

from egretworks.clock import Clock, Millis, seconds
from egretworks.edge import Edge
from egretworks.exceptions import ConfigInvalid, ObjectConflict, PlatformError, WatchCompacted
from egretworks.linkframes import (
    ROLLOUT_PROTOCOL,
    RolloutEvidence,
    RolloutStage,
    RolloutStep,
)
from egretworks.metrics import Metrics
from egretworks.rollout import (
    BOUNDED_STEPS,
    RUNNING_STEPS,
    FirstVersions,
    GateEvidence,
    RolloutBounds,
    RolloutPlan,
    ShareCounter,
    VersionTarget,
    report_interval_ms,
    stage_key,
    targets_of,
)
from egretworks.rolloutlinks import (
    CallVersions,
    NoRollouts,
    RolloutLinks,
    RolloutPeer,
    VersionedDestination,
    VersionedTarget,
)
from egretworks.rolloutorder import RolloutOrder, RolloutPhase
from egretworks.rows import RowTable
from egretworks.storesync import LONG_POLL_MS, Store, Stored
from egretworks.timeline import Timeline
from egretworks.types import InstanceId, RandomSource, ServiceName

ROLLOUT_KIND = "rollouts"
# The store is asked for orders at most once in this time: its calls are priced.
WATCH_INTERVAL_MS = 1_000
# How often a daemon checks whether it has become the leader.
ELECTION_POLL_MS = 200
# Time that an order has probably been in the store before its leader has noticed it.
NOTICE_MS = 500.0
# A leader that has sent no stage for this long is replaced; it sends two a second.
LEADER_SILENT_MS = 1_500.0
# An order that is taken, but of which no stage has been received, has no leader after this time.
NO_STAGE_MS = 1_500.0
# The same order is taken up in the middle by a leader that doesn't know when it was given.
UNKNOWN_AGE_PART = 0.5
WRITE_RETRY_MS = 400.0
# How often a leader decides; each time takes some milliseconds in a large mesh.
LEAD_MS = 100.0
# Services of which the newest stage is kept.
MAX_SERVICES = 512

STEP_BY_PHASE = {
    RolloutPhase.COMPLETED: RolloutStep.COMPLETED,
    RolloutPhase.ROLLED_BACK: RolloutStep.ROLLED_BACK,
}
PHASE_BY_STEP = {step: phase for phase, step in STEP_BY_PHASE.items()}

log = logging.getLogger(__name__)


class RolloutHost(msgspec.Struct, frozen=True):
    """Hold the parts of the daemon that rollouts use."""

    clock: Clock
    random: RandomSource
    timeline: Timeline
    metrics: Metrics
    edge: Edge
    rows: RowTable
    links: Callable[[], RolloutLinks]
    enabled: Callable[[], bool]
    bounds: Callable[[], RolloutBounds]
    # Returns the number of requests that run or wait at the local target.
    load: Callable[[], int]
    # Runs a function that calls the store in a green thread.
    spawn: Callable[..., object] = eventlet.spawn_n


class SelectedVersions:
    """Select the versions to which one request may be offered."""

    def __init__(self, rollouts: Rollouts, service: ServiceName, *, selected: bool) -> None:
        """`selected` requests belong to the share for a new version."""
        self._rollouts = rollouts
        self._service = service
        self._selected = selected

    def allowed(
        self, destinations: list[VersionedDestination], *, first: bool
    ) -> list[VersionedDestination]:
        """Return those of `destinations` to which the request may be offered.

        Only the `first` offer of a request goes to an unproved version.
        """
        return self._rollouts.allowed(self._service, destinations, to_new=self._selected and first)


class _Ordered(msgspec.Struct):
    """An order as it was last read."""

    order: RolloutOrder
    # None if the object has to be read before its status can be written.
    revision: int | None
    seen_at: Millis


class _Followed(msgspec.Struct):
    """What this daemon knows and counts of the newest order for a service."""

    stage: RolloutStage
    heard_at: Millis
    share: ShareCounter
    evidence: GateEvidence = msgspec.field(default_factory=GateEvidence)
    calls: int = 0
    serial: int = 0
    report_at: Millis = Millis(0)
    # Gates that have used up their quota of this stage.
    exhausted: set[str] = msgspec.field(default_factory=set)
    current_versions: frozenset[str] = frozenset()
    quota_by_daemon: dict[str, int] = {}

    def allows_old(self, version: str) -> bool:
        """Return whether `version` is one from before the order."""
        if version == self.stage.target_version:
            return False
        return not version or not self.current_versions or version in self.current_versions


class WriteResult(Enum):
    """What is known of the write of a status."""

    WRITTEN = "written"
    # Another write came first.
    CONFLICT = "conflict"
    # The store didn't answer.
    UNKNOWN = "unknown"


class Rollouts(NoRollouts):
    """Follow the stages of all orders, and lead orders while this daemon is elected."""

    def __init__(self, host: RolloutHost) -> None:
        self.host = host
        self._first = FirstVersions()
        self._first_outdated = True
        self._lead_at = Millis(0)
        self._followed_by_service: dict[ServiceName, _Followed] = {}
        self._ordered_by_service: dict[ServiceName, _Ordered] = {}
        self._plan_by_service: dict[ServiceName, RolloutPlan] = {}
        # Status writes under way, and when a failed one is repeated.
        self._writing: dict[ServiceName, RolloutPhase] = {}
        self._write_at: dict[ServiceName, Millis] = {}
        # Services whose status may be `completed` already, as the answer of the write was lost.
        self._maybe_completed: set[ServiceName] = set()
        self.store: Store | None = None

    # Requests of callers

    def begin_call(self, service: ServiceName) -> CallVersions | None:
        """Count a request for `service`, and return to which versions it may go."""
        if not self.host.enabled():
            return None
        followed = self._followed_by_service.get(service)
        selected = False
        if followed is not None and followed.stage.step in RUNNING_STEPS:
            followed.calls += 1
            selected = followed.share.select(followed.stage.share)
        return SelectedVersions(self, service, selected=selected)

    def allowed(
        self, service: ServiceName, destinations: list[VersionedDestination], *, to_new: bool
    ) -> list[VersionedDestination]:
        """Return those of `destinations` whose version may get a request now."""
        followed = self._followed_by_service.get(service)
        if followed is None:
            first = self._first_versions(service)
            return [each for each in destinations if self._is_first(each.version, first)]
        stage = followed.stage
        new = [each for each in destinations if each.version == stage.target_version]
        old = [each for each in destinations if followed.allows_old(each.version)]
        if stage.step in BOUNDED_STEPS:
            usable = [
                each
                for each in new
                if followed.quota_by_daemon.get(each.name) and each.name not in followed.exhausted
            ]
            return usable if to_new and usable else old
        if stage.step is RolloutStep.MOVED:
            return new or old
        return old if stage.step is RolloutStep.ROLLED_BACK else new

    def on_not_serving(self, service: ServiceName, daemon: InstanceId) -> None:
        """Offer nothing more to the gate of `daemon` before the next stage: its quota is used."""
        followed = self._followed_by_service.get(service)
        if followed is not None and followed.stage.step in BOUNDED_STEPS:
            followed.exhausted.add(daemon)

    # The gate of the local target

    def admits(self, target: VersionedTarget) -> bool:
        """Return whether the local target may get another request."""
        if not self.host.enabled():
            return True
        followed = self._followed_by_service.get(target.service)
        if followed is None:
            return self._is_first(target.version, self._first_versions(target.service))
        step, is_new = followed.stage.step, target.version == followed.stage.target_version
        if is_new and step in BOUNDED_STEPS:
            return followed.evidence.runs < self._quota(followed)
        if is_new:
            return step is not RolloutStep.ROLLED_BACK
        if step in (RolloutStep.CLOSED, RolloutStep.COMPLETED):
            return False
        return followed.allows_old(target.version)

    def take(self, target: VersionedTarget) -> bool:
        """Count a request that is sent to the local target; return False if it may not be sent.

        One that was admitted to an old target's queue runs there, whatever has changed meanwhile.
        """
        followed = self._followed_by_service.get(target.service)
        if followed is None or not self.host.enabled():
            return True
        is_new = target.version == followed.stage.target_version
        if is_new and not self.admits(target):
            return False
        followed.evidence.runs += 1
        self._count("runs", is_new=is_new, followed=followed)
        return True

    def on_answer(
        self, target: VersionedTarget, route: str, took_ms: float, *, failed: bool
    ) -> None:
        """Count an answer of the local target."""
        followed = self._followed_by_service.get(target.service)
        if followed is not None and followed.stage.step in RUNNING_STEPS:
            followed.evidence.record(route, took_ms, failed=failed)
            if failed:
                self._count_bad(target, followed)

    def on_lost(self, target: VersionedTarget, route: str, took_ms: float) -> None:
        """Count a request of which the local target gave no whole answer."""
        followed = self._followed_by_service.get(target.service)
        if followed is not None and followed.stage.step in RUNNING_STEPS:
            followed.evidence.record_lost(route, took_ms, self.host.clock.now())
            self._count_bad(target, followed)

    def _count_bad(self, target: VersionedTarget, followed: _Followed) -> None:
        is_new = target.version == followed.stage.target_version
        self._count("bad", is_new=is_new, followed=followed)

    def _count(self, what: str, *, is_new: bool, followed: _Followed) -> None:
        if followed.stage.step in RUNNING_STEPS:
            self.host.metrics.count(f"rollout_{what}_{'new' if is_new else 'current'}")

    def _quota(self, followed: _Followed) -> int:
        own = self.host.rows.own
        for quota in followed.stage.quotas:
            if (quota.daemon, quota.incarnation) == (own.id, own.incarnation):
                return quota.allowed
        return 0

    # Versions that need no order

    def on_rows_changed(self) -> None:
        """Follow changed rows, also that of this daemon."""
        self._first_outdated = True

    def _first_versions(self, service: ServiceName) -> frozenset[str]:
        if self._first_outdated:
            self._first_outdated = False
            self._first.update(self.host.rows.all_rows())
        return self._first.of(service)

    @staticmethod
    def _is_first(version: str, first: frozenset[str]) -> bool:
        return not version or not first or version in first

    # Frames of other daemons

    def on_link(self, peer: RolloutPeer) -> None:
        """Give the newest stages to a daemon to which a link has been opened."""
        if peer.protocol < ROLLOUT_PROTOCOL:
            return
        for followed in self._followed_by_service.values():
            peer.send_frame(self._aged(followed))

    def on_stage(self, stage: RolloutStage, *, near: bool) -> None:
        """Follow a stage that a peer has sent, unless a newer one is known."""
        if self.host.enabled() and self._follow(stage):
            self.host.links().pass_on_stage(stage, from_near=near)

    def on_evidence(self, evidence: RolloutEvidence) -> None:
        """Use evidence if this daemon leads, or send it on."""
        service = ServiceName(evidence.service)
        plan = self._plan_by_service.get(service)
        if plan is not None:
            plan.add(evidence, self.host.clock.now())
            return
        followed = self._followed_by_service.get(service)
        if followed is not None and followed.stage.leader != self.host.rows.own.id:
            leader = InstanceId(followed.stage.leader)
            self.host.links().send_evidence(evidence, leader, forward=True)

    def steps(self) -> dict[ServiceName, RolloutStep]:
        """Return the step of the newest order of each service."""
        return {
            service: followed.stage.step for service, followed in self._followed_by_service.items()
        }

    def _follow(self, stage: RolloutStage) -> bool:
        """Follow `stage`; return False if it is not newer than the known one."""
        service = ServiceName(stage.service)
        known = self._followed_by_service.get(service)
        if known is None and len(self._followed_by_service) >= MAX_SERVICES:
            return False
        if known is not None and stage_key(stage) <= stage_key(known.stage):
            return False
        now = self.host.clock.now()
        is_same_order = known is not None and known.stage.order == stage.order
        is_same_step = is_same_order and known.stage.step is stage.step
        if is_same_order:
            followed = known
        else:
            start = self.host.random.random()
            followed = _Followed(stage, now, ShareCounter(start))
            self._followed_by_service[service] = followed
        followed.stage, followed.heard_at = stage, now
        followed.exhausted.clear()
        followed.current_versions = frozenset(stage.current_versions)
        followed.quota_by_daemon = {quota.daemon: quota.allowed for quota in stage.quotas}
        own_id = self.host.rows.own.id
        if stage.leader != own_id and self._plan_by_service.pop(service, None) is not None:
            self._record("rollout_lead_lost", stage, detail=f"daemon {stage.leader} leads")
        if not is_same_step:
            self._record_step(stage)
        return True

    def _aged(self, followed: _Followed) -> RolloutStage:
        """Return the stage with its present age."""
        age_ms = followed.stage.age_ms + self.host.clock.now() - followed.heard_at
        return msgspec.structs.replace(followed.stage, age_ms=age_ms)

    # Work that is due from time to time

    def tick(self, now: Millis) -> None:
        """Report to the leaders, and lead what this daemon leads."""
        if not self.host.enabled():
            return
        for service, followed in list(self._followed_by_service.items()):
            if followed.stage.step in RUNNING_STEPS and now >= followed.report_at:
                followed.report_at = Millis(now + report_interval_ms(followed.stage.step))
                self._report(service, followed)
        if now >= self._lead_at:
            self._lead_at = Millis(now + LEAD_MS)
            self._lead(now)

    def _report(self, service: ServiceName, followed: _Followed) -> None:
        own = self.host.rows.own
        target = own.target
        has_target = target is not None and target.service == service
        if not has_target and not followed.calls:
            return
        followed.serial += 1
        stage = followed.stage
        evidence = RolloutEvidence(
            *(service, stage.order, own.id, own.incarnation, followed.serial),
            *(stage.step, followed.calls, has_target),
            is_new=has_target and target.version == stage.target_version,
            runs=followed.evidence.runs,
            load=self.host.load() if has_target else 0,
            routes=followed.evidence.routes,
        )
        if stage.leader == own.id:
            self.on_evidence(evidence)
        else:
            leader = InstanceId(stage.leader)
            self.host.links().send_evidence(evidence, leader, forward=False)

    # The lead

    def is_leader(self) -> bool:
        """Return whether this daemon is elected to lead.

        It is the elected watcher of the lowest data centre with a daemon that reaches the store; if
        none does, a running order still needs a leader.
        """
        own = self.host.rows.own
        rows = [row for row in (own, *self.host.links().reachable_rows()) if not row.leaving]
        able = [row for row in rows if row.store_reachable] or rows
        lowest = min(able, key=lambda row: (row.data_centre, row.id), default=None)
        return lowest is own

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
        self._ordered_by_service[service] = _Ordered(order, revision, seen_at)

    def _on_deleted(self, service: ServiceName) -> None:
        self._ordered_by_service.pop(service, None)
        plan = self._plan_by_service.pop(service, None)
        if plan is not None:
            now = self.host.clock.now()
            self._publish(plan.end(RolloutStep.ROLLED_BACK, now, "the order was deleted"))

    def _lead(self, now: Millis) -> None:
        if self.host.rows.own.leaving:
            self._plan_by_service.clear()
            return
        if not (self._ordered_by_service or self._followed_by_service):
            return
        if self.is_leader():
            for service, ordered in list(self._ordered_by_service.items()):
                self._consider(service, ordered, now)
            for service, followed in list(self._followed_by_service.items()):
                self._take_over_if_silent(service, followed, now)
        for service, plan in list(self._plan_by_service.items()):
            self._advance(service, plan, now)

    def _consider(self, service: ServiceName, ordered: _Ordered, now: Millis) -> None:
        """Do what an order and its status call for, unless a write is under way."""
        if service in self._writing or now < self._write_at.get(service, now):
            return
        order = ordered.order
        followed = self._followed_by_service.get(service)
        stage = followed.stage if followed is not None else None
        known = stage is not None and stage.target_version == order.target_version
        if order.phase in STEP_BY_PHASE:
            step = STEP_BY_PHASE[order.phase]
            if not known or stage.step is not step:
                self._adopt_end(service, ordered, step, now)
        elif known and stage.step in RUNNING_STEPS:
            return
        elif known and (order.phase is RolloutPhase.RUNNING or not self._is_newer(ordered, stage)):
            self._write(service, PHASE_BY_STEP[stage.step])
        elif order.phase is None:
            self._write(service, RolloutPhase.RUNNING)
        elif now - ordered.seen_at >= NO_STAGE_MS:
            # Another leader had taken it, and nobody has heard of its stages.
            self._start(service, ordered, now, knows_age=False)

    @staticmethod
    def _is_newer(ordered: _Ordered, stage: RolloutStage) -> bool:
        return ordered.revision is not None and ordered.revision > stage.order

    def _adopt_end(
        self, service: ServiceName, ordered: _Ordered, step: RolloutStep, now: Millis
    ) -> None:
        """Follow a status that says that the order has ended."""
        self._plan_by_service.pop(service, None)
        self._maybe_completed.discard(service)
        stage = self._first_stage(service, ordered, now)
        known = self._followed_by_service.get(service)
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
        self, service: ServiceName, ordered: _Ordered, now: Millis, *, age_ms: float | None = None
    ) -> RolloutStage:
        known = self._followed_by_service.get(service)
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
        known = self._followed_by_service.get(service)
        if known is None:
            return self._first_versions(service)
        if known.stage.step is RolloutStep.COMPLETED:
            return frozenset((known.stage.target_version,))
        return known.current_versions

    def _start(
        self, service: ServiceName, ordered: _Ordered, now: Millis, *, knows_age: bool
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

    def _take_over_if_silent(self, service: ServiceName, followed: _Followed, now: Millis) -> None:
        """Lead an order whose leader sends no stages any more."""
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
            self._aged(followed), epoch=stage.epoch + 1, number=1, leader=own.id
        )
        self._plan_by_service[service] = RolloutPlan(stage, self.host.bounds(), now)
        why = "can't lead any more" if unable else "is silent"
        self._record("rollout_taken_over", stage, detail=f"daemon {followed.stage.leader} {why}")
        self._publish(stage)
        # The former leader may be paused: with another revision its writes fail.
        ordered = self._ordered_by_service.get(service)
        if ordered is not None:
            ordered.revision = None
        self._write(service, RolloutPhase.RUNNING)

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
            self._write(service, RolloutPhase.ROLLED_BACK)
        elif plan.may_write(now, targets):
            self._write(service, RolloutPhase.COMPLETED)

    def _publish(
        self, stage: RolloutStage, *, reason: str = "", plan: RolloutPlan | None = None
    ) -> None:
        known = self._followed_by_service.get(ServiceName(stage.service))
        before = None if known is None else (known.stage.order, known.stage.step)
        if not self._follow(stage):
            return
        if reason and before != (stage.order, stage.step):
            facts = {"age_ms": round(stage.age_ms), "share": round(stage.share, 3)}
            if plan is not None:
                facts |= {"calls": plan.calls, "runs_new": plan.runs}
            self._record("rollout_decided", stage, detail=reason, facts=facts)
        self.host.links().send_stage(stage)

    def _record_step(self, stage: RolloutStage) -> None:
        facts = {"order": stage.order, "epoch": stage.epoch, "leader": stage.leader}
        self._record("rollout_stage", stage, facts=facts)

    def _record(
        self,
        kind: str,
        stage: RolloutStage,
        *,
        detail: str = "",
        facts: dict[str, object] | None = None,
    ) -> None:
        stage_facts = {"version": stage.target_version, "step": stage.step.name.lower()}
        self.host.timeline.record(
            kind, target=stage.service, detail=detail, facts=stage_facts | (facts or {})
        )

    # Status writes

    def _write(self, service: ServiceName, phase: RolloutPhase) -> None:
        """Write a status in a green thread, unless a write is under way or was tried just now."""
        now = self.host.clock.now()
        if self.store is None or service in self._writing:
            return
        if now < self._write_at.get(service, now):
            return
        self._writing[service] = phase
        self.host.spawn(self._run_write, service, phase)

    def _run_write(self, service: ServiceName, phase: RolloutPhase) -> None:
        try:
            result = self._try_write(service, phase)
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

    def _try_write(self, service: ServiceName, phase: RolloutPhase) -> WriteResult:
        ordered = self._ordered_by_service.get(service)
        followed = self._followed_by_service.get(service)
        if ordered is not None:
            version = ordered.order.target_version
        elif followed is not None:
            version = followed.stage.target_version
        else:
            return WriteResult.CONFLICT
        if service in self._maybe_completed or ordered is None or ordered.revision is None:
            found = self._read_phase(service, version)
            if found is phase and found in STEP_BY_PHASE:
                return WriteResult.WRITTEN
            ordered = self._ordered_by_service[service]
        if ordered.order.target_version != version or ordered.order.phase in STEP_BY_PHASE:
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
            # The write may have taken effect although its answer was lost.
            found = self._read_phase(service, version)
            return WriteResult.WRITTEN if found is phase else WriteResult.UNKNOWN
        order = msgspec.structs.replace(ordered.order, phase=phase)
        self._ordered_by_service[service] = _Ordered(order, stored.revision, ordered.seen_at)
        return WriteResult.WRITTEN

    def _read_phase(self, service: ServiceName, version: str) -> RolloutPhase | None:
        """Read the order again; return its phase if it is still for `version`."""
        self.on_objects([self.store.read(ROLLOUT_KIND, service)])
        order = self._ordered_by_service[service].order
        return order.phase if order.target_version == version else None

    def _on_written(self, service: ServiceName, phase: RolloutPhase, now: Millis) -> None:
        ordered = self._ordered_by_service[service]
        followed = self._followed_by_service.get(service)
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

    def __init__(self, rollouts: Rollouts, store: Store) -> None:
        self._rollouts = rollouts
        self._host = rollouts.host
        self._store = store
        self._revision: int | None = None
        self._era = 0
        rollouts.store = store

    def run(self) -> None:
        """Watch the orders whenever this daemon is elected; never returns."""
        while True:
            if not self._host.enabled() or not self._rollouts.is_leader():
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
            # The store has come back from a copy, and may give revisions out again.
            self._era, self._revision = self._store.era, None
        if self._revision is None:
            snapshot = self._store.list(ROLLOUT_KIND)
            self._era = self._store.era
            self._rollouts.on_list(snapshot.objects)
        else:
            snapshot = self._store.watch(ROLLOUT_KIND, self._revision, LONG_POLL_MS)
            self._rollouts.on_objects(snapshot.objects)
        self._revision = snapshot.revision
