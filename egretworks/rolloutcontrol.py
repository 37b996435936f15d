"""Roll out new versions of services: connect the decisions to the links, the gate and callers.

One daemon leads: it watches the orders in the store, sums the reports of all daemons and sends
each next stage. All daemons follow the newest stage that they have received. See
docs/design/ROLLOUTS.md.
"""

from __future__ import annotations

import msgspec

from egretworks.clock import Millis
from egretworks.linkframes import (
    ROLLOUT_PROTOCOL,
    RolloutEvidence,
    RolloutStage,
    RolloutStep,
)
from egretworks.rollout import BOUNDED_STEPS, RUNNING_STEPS, report_interval_ms, stage_key
from egretworks.rolloutevidence import FirstVersions, GateEvidence, ShareCounter
from egretworks.rolloutlead import RolloutLead
from egretworks.rolloutlinks import (
    CallVersions,
    NoRollouts,
    RolloutPeer,
    VersionedDestination,
    VersionedTarget,
)
from egretworks.rolloutstate import Followed, RolloutHost, record_stage
from egretworks.types import InstanceId, ServiceName

# Services of which the newest stage is kept.
MAX_SERVICES = 512


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


class Rollouts(NoRollouts):
    """Follow the stages of all orders, and lead orders while this daemon is elected."""

    def __init__(self, host: RolloutHost) -> None:
        self.host = host
        self._first = FirstVersions()
        self._first_outdated = True
        self.followed_by_service: dict[ServiceName, Followed] = {}
        self.lead = RolloutLead(host, self)

    # Requests of callers

    def begin_call(self, service: ServiceName) -> CallVersions | None:
        """Count a request for `service`, and return to which versions it may go."""
        if not self.host.enabled():
            return None
        followed = self.followed_by_service.get(service)
        selected = False
        if followed is not None and followed.stage.step in RUNNING_STEPS:
            followed.calls += 1
            selected = followed.share.select(followed.stage.share)
        return SelectedVersions(self, service, selected=selected)

    def allowed(
        self, service: ServiceName, destinations: list[VersionedDestination], *, to_new: bool
    ) -> list[VersionedDestination]:
        """Return those of `destinations` whose version may get a request now."""
        followed = self.followed_by_service.get(service)
        if followed is None:
            first = self.first_versions(service)
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
        followed = self.followed_by_service.get(service)
        if followed is not None and followed.stage.step in BOUNDED_STEPS:
            followed.exhausted.add(daemon)

    # The gate of the local target

    def admits(self, target: VersionedTarget) -> bool:
        """Return whether the local target may be sent another request."""
        if not self.host.enabled():
            return True
        followed = self.followed_by_service.get(target.service)
        if followed is None:
            return self._is_first(target.version, self.first_versions(target.service))
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
        followed = self.followed_by_service.get(target.service)
        if followed is None or not self.host.enabled():
            return True
        self._follow_version(target, followed)
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
        followed = self.followed_by_service.get(target.service)
        if self._counts(target, followed):
            followed.evidence.record(route, took_ms, failed=failed)
            if failed:
                self._count_bad(target, followed)

    def on_lost(self, target: VersionedTarget, route: str, took_ms: float) -> None:
        """Count a request of which the local target gave no whole answer."""
        followed = self.followed_by_service.get(target.service)
        now = self.host.clock.now()
        if self._counts(target, followed) and followed.evidence.record_lost(route, took_ms, now):
            self._count_bad(target, followed)

    @staticmethod
    def _counts(target: VersionedTarget, followed: Followed | None) -> bool:
        """Return whether answers of `target` are evidence."""
        if followed is None or followed.stage.step not in RUNNING_STEPS:
            return False
        return followed.evidence_version == target.version

    @staticmethod
    def _follow_version(target: VersionedTarget, followed: Followed) -> None:
        """Reset the evidence if the local target now has another version."""
        if followed.evidence_version != target.version:
            followed.evidence_version = target.version
            followed.evidence = GateEvidence()

    def _count_bad(self, target: VersionedTarget, followed: Followed) -> None:
        is_new = target.version == followed.stage.target_version
        self._count("bad", is_new=is_new, followed=followed)

    def _count(self, what: str, *, is_new: bool, followed: Followed) -> None:
        if followed.stage.step in RUNNING_STEPS:
            self.host.metrics.count(f"rollout_{what}_{'new' if is_new else 'current'}")

    def _quota(self, followed: Followed) -> int:
        own = self.host.rows.own
        for quota in followed.stage.quotas:
            if (quota.daemon, quota.incarnation) == (own.id, own.incarnation):
                return quota.allowed
        return 0

    # Versions that need no order

    def on_rows_changed(self) -> None:
        """Follow changed rows, also that of this daemon."""
        self._first_outdated = True

    def first_versions(self, service: ServiceName) -> frozenset[str]:
        """Return the versions that `service` started with."""
        if self._first_outdated:
            self._first_outdated = False
            self._first.update(self.host.rows.all_rows())
        return self._first.of(service)

    @staticmethod
    def _is_first(version: str, first: frozenset[str]) -> bool:
        return not version or not first or version in first

    # Frames of other daemons

    def on_link(self, peer: RolloutPeer) -> None:
        """Send the newest stages to a daemon to which a link has been opened."""
        if peer.peer_protocol < ROLLOUT_PROTOCOL:
            return
        for followed in self.followed_by_service.values():
            peer.send_frame(self.aged(followed))

    def on_stage(self, stage: RolloutStage, *, near: bool) -> None:
        """Follow a stage that a peer has sent, unless a newer one is known."""
        if self.host.enabled() and self.follow(stage):
            self.host.links().pass_on_stage(stage, from_near=near)

    def on_evidence(self, evidence: RolloutEvidence) -> None:
        """Use evidence if this daemon leads, or send it on."""
        if self.lead.add_evidence(evidence):
            return
        followed = self.followed_by_service.get(ServiceName(evidence.service))
        if followed is not None and followed.stage.leader != self.host.rows.own.id:
            leader = InstanceId(followed.stage.leader)
            self.host.links().send_evidence(evidence, leader, forward=True)

    def steps(self) -> dict[ServiceName, RolloutStep]:
        """Return the step of the newest order of each service."""
        return {
            service: followed.stage.step for service, followed in self.followed_by_service.items()
        }

    def follow(self, stage: RolloutStage) -> bool:
        """Follow `stage`; return False if it is not newer than the known one."""
        service = ServiceName(stage.service)
        known = self.followed_by_service.get(service)
        if known is None and len(self.followed_by_service) >= MAX_SERVICES:
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
            followed = Followed(stage, now, ShareCounter(start))
            self.followed_by_service[service] = followed
        followed.stage, followed.heard_at = stage, now
        followed.exhausted.clear()
        followed.current_versions = frozenset(stage.current_versions)
        followed.quota_by_daemon = {quota.daemon: quota.allowed for quota in stage.quotas}
        self.lead.yield_to(stage)
        if not is_same_step:
            facts = {"order": stage.order, "epoch": stage.epoch, "leader": stage.leader}
            record_stage(self.host.timeline, "rollout_stage", stage, facts=facts)
        return True

    def aged(self, followed: Followed) -> RolloutStage:
        """Return the stage with its present age."""
        age_ms = followed.stage.age_ms + self.host.clock.now() - followed.heard_at
        return msgspec.structs.replace(followed.stage, age_ms=age_ms)

    # Periodic work

    def tick(self, now: Millis) -> None:
        """Report to the leaders, and advance the orders that this daemon leads."""
        if not self.host.enabled():
            return
        for service, followed in list(self.followed_by_service.items()):
            if followed.stage.step in RUNNING_STEPS and now >= followed.report_at:
                followed.report_at = Millis(now + report_interval_ms(followed.stage.step))
                self._report(service, followed)
        self.lead.tick(now)

    def _report(self, service: ServiceName, followed: Followed) -> None:
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
