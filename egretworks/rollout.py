"""Decide the stages of a rollout: judge the evidence and bound the requests to the new version.

See docs/design/ROLLOUTS.md. Nothing here does I/O; times are milliseconds of the caller's clock.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

import msgspec

from egretworks.clock import Millis
from egretworks.linkframes import (
    GateQuota,
    RolloutEvidence,
    RolloutStage,
    RolloutStep,
)
from egretworks.rolloutevidence import Counts, EvidenceTable, find_failing, find_slow
from egretworks.rows import DaemonRow
from egretworks.types import InstanceId, ServiceName

# Share of the requests for the new version until its first answers are known.
PROBE_SHARE = 0.02
# A probe lasts for at least this long, and ends with so many answers or after the longest time: a
# service with few requests must not use up its order's time.
PROBE_MS = 1_000.0
PROBE_ANSWERS = 5
MAX_PROBE_MS = 2_500.0
# Parts of the permitted share and slack that a canary uses. The rest is for the trial, and for
# requests that the counts of the daemons don't show yet.
CANARY_SHARE_PART = 0.5
CANARY_SLACK_PART = 0.5
TRIAL_SHARE_PART = 0.8
TRIAL_SLACK_PART = 0.8
# Highest share of the requests that is offered to a canary of a service with few requests.
MAX_CANARY_SHARE = 0.5
# Parts of an order's duration after which the trial and the move begin at the latest. A version
# that turns bad before the trial stays within the bound; the time after it is for the drain of the
# old targets, the takeover by another leader and the write of the status.
TRIAL_AT = 0.65
MOVE_AT = 0.75
# Intervals of the daemons' reports. At full load, a bad version has to be noticed within a few
# hundred requests.
CANARY_REPORT_MS = 500.0
FULL_LOAD_REPORT_MS = 200.0
# Time until the answers of a trial are judged: a trial lasts for less than a second at full rate.
TRIAL_MS = 1_200.0
MIN_TRIAL_MS = 600.0
# A version is rolled back if requests can't move to it by this part of the duration.
GIVE_UP_AT = 0.85
# Share and lowest number of the new targets that are canaries. With fewer, one slow machine could
# determine the median of their times; with more, each gets too little load to show how the version
# works under load.
CANARY_PART = 0.25
MIN_CANARIES = 4
# New targets need this part of the old ones' slots before all requests move to them.
MIN_SLOTS_PART = 0.8
# A daemon that hasn't reported for this long is not waited for.
SILENT_MS = 1_500.0
# Longest wait for all reporting daemons to follow the move.
FOLLOW_MS = 1_000.0
# The status is written no earlier than this before the deadline: until then, a version that turns
# bad after the move can be rolled back.
HOLD_BEFORE_MS = 2_000.0
# The status is written this long before the deadline, even if an old gate isn't known to be empty.
WRITE_BEFORE_MS = 1_000.0
# Shortest canary before a trial, also after another leader has taken over.
LEARNING_MS = 1_000.0
# All requests move to the new version only after this number of answers, or this share of the
# requests if that is fewer.
MIN_ANSWERS = 10
MIN_ANSWERS_SHARE = 0.02
# Answers within this time are also judged alone, so that earlier good ones hide no later fault.
RECENT_MS = 3_000.0
# The same while all requests go to the version: earlier answers say little about it at full load.
RECENT_AT_LOAD_MS = 800.0
# Shortest time between the snapshots from which recent answers are computed.
SNAPSHOT_MS = 200.0
# Shortest time between judgements before the trial; one takes 6 ms with 78 targets and 8 routes.
JUDGE_MS = 300.0
# A version is rolled back once its answers have been too slow for this long: cold targets and other
# short disturbances pass. While all requests go to it, waiting would cost too many of them.
SLOW_LASTS_MS = 1_500.0
SLOW_LASTS_AT_LOAD_MS = 200.0
# Shortest time between stages that differ in their quotas only, and longest without any stage.
QUOTA_MS = 300.0
REPEAT_MS = 500.0
# Stages hold at most this many quotas.
MAX_QUOTAS = 128

RUNNING_STEPS = frozenset(step for step in RolloutStep if step < RolloutStep.COMPLETED)
BOUNDED_STEPS = frozenset((RolloutStep.PROBE, RolloutStep.CANARY, RolloutStep.TRIAL))


class RolloutBounds(msgspec.Struct, frozen=True):
    """Hold how many requests an unproved version may get."""

    share: float
    slack: float


class VersionTarget(msgspec.Struct, frozen=True):
    """Hold a serving target of a service and the run of the daemon beside it."""

    daemon: InstanceId
    incarnation: int
    version: str
    slots: int


def stage_key(stage: RolloutStage) -> tuple[int, int, str, int]:
    """Return the key by which the newer of two stages of a service is the higher.

    Of two leaders that have taken over at once, the one with the higher id is followed.
    """
    return (stage.order, stage.epoch, stage.leader, stage.number)


def targets_of(service: ServiceName, rows: Iterable[DaemonRow]) -> list[VersionTarget]:
    """Return the serving targets of `service`."""
    return [
        VersionTarget(row.id, row.incarnation, row.target.version, row.target.slots)
        for row in rows
        if row.serves(service)
    ]


class RolloutPlan:
    """Lead one order: sum the reports of the daemons and decide each next stage."""

    def __init__(self, stage: RolloutStage, bounds: RolloutBounds, now: Millis) -> None:
        """Continue from `stage`, whose age is that at `now`."""
        self.stage = stage
        self._bounds = bounds
        self._started_at = Millis(now - stage.age_ms)
        self._step_since = now
        self._stage_at = now
        self._reports: dict[tuple[str, int], RolloutEvidence] = {}
        self._reported_at: dict[tuple[str, int], Millis] = {}
        self._allowed = {(quota.daemon, quota.incarnation): quota.allowed for quota in stage.quotas}
        self._snapshots: deque[tuple[Millis, EvidenceTable]] = deque()
        self._judged_at = Millis(now - JUDGE_MS)
        # Start of the present period in which answers are far slower than those of the old version.
        self._slow_since: Millis | None = None
        # Reason for the last change of the step.
        self.reason = ""

    @property
    def calls(self) -> int:
        """Return how many requests of the service the daemons have reported since the order."""
        return sum(report.calls for report in self._reports.values())

    @property
    def runs(self) -> int:
        """Return how many requests new targets have reported that they have run."""
        return sum(report.runs for report in self._reports.values() if report.is_new)

    def add(self, report: RolloutEvidence, now: Millis) -> None:
        """Take a report, unless it is of another order or older than the last of its daemon."""
        if report.order != self.stage.order:
            return
        key = (report.daemon, report.incarnation)
        known = self._reports.get(key)
        if known is None or report.serial > known.serial:
            self._reports[key] = report
            self._reported_at[key] = now

    def advance(
        self, now: Millis, targets: list[VersionTarget], *, may_go_back: bool = True
    ) -> RolloutStage | None:
        """Return the next stage if there is one, which becomes `stage`.

        `may_go_back` is False while the status `completed` may have been written.
        """
        if self.stage.step not in RUNNING_STEPS:
            return None
        new = [target for target in targets if target.version == self.stage.target_version]
        old = [target for target in targets if target.version != self.stage.target_version]
        verdict = self._verdict(now) if may_go_back and self._begin_judgement(now) else ""
        if verdict:
            step, self.reason = RolloutStep.ROLLED_BACK, verdict
        else:
            step = self._next_step(now, new, old, may_go_back=may_go_back)
        if step is not self.stage.step:
            self._step_since = now
            return self._issue(now, step, new)
        if now - self._stage_at >= REPEAT_MS:
            return self._issue(now, step, new)
        if step < RolloutStep.TRIAL and now - self._stage_at >= QUOTA_MS:
            return self._issue(now, step, new)
        return None

    def may_write(self, now: Millis, targets: list[VersionTarget]) -> bool:
        """Return whether the old targets may stop, so that `completed` may be written."""
        if self.stage.step is not RolloutStep.CLOSED:
            return False
        left_ms = self.stage.duration_ms - self._age(now)
        if left_ms > HOLD_BEFORE_MS:
            return False
        if left_ms <= WRITE_BEFORE_MS:
            return True
        if any(
            report.has_target and not report.is_new and report.load > 0
            for key, report in self._reports.items()
            if now - self._reported_at[key] < SILENT_MS
        ):
            return False
        for target in targets:
            if target.version == self.stage.target_version:
                continue
            report = self._reports.get((target.daemon, target.incarnation))
            if report is None or report.step < RolloutStep.CLOSED:
                return False
        return True

    def end(self, step: RolloutStep, now: Millis, reason: str) -> RolloutStage:
        """End the order at `step`, and return its last stage."""
        self.reason = reason
        return self._issue(now, step, [])

    def _age(self, now: Millis) -> float:
        return now - self._started_at

    def _verdict(self, now: Millis) -> str:
        table: EvidenceTable = {
            (report.is_new, route.route, *key): Counts(route.answers, route.bad, route.log_ms)
            for key, report in self._reports.items()
            if report.has_target
            for route in report.routes
        }
        if not self._snapshots or now - self._snapshots[-1][0] >= SNAPSHOT_MS:
            self._snapshots.append((now, table))
        while len(self._snapshots) > 1 and now - self._snapshots[1][0] >= RECENT_MS:
            self._snapshots.popleft()
        tables = [table, self._added_since(now - RECENT_MS, table)]
        if self.stage.step >= RolloutStep.TRIAL:
            tables.append(self._added_since(now - RECENT_AT_LOAD_MS, table))
        failing = next(filter(None, map(find_failing, tables)), "")
        if failing:
            return failing
        slow = next(filter(None, map(find_slow, tables)), "")
        if not slow:
            self._slow_since = None
            return ""
        if self._slow_since is None:
            self._slow_since = now
        lasts_ms = SLOW_LASTS_MS if self.stage.step < RolloutStep.TRIAL else SLOW_LASTS_AT_LOAD_MS
        return slow if now - self._slow_since >= lasts_ms else ""

    def _begin_judgement(self, now: Millis) -> bool:
        """Return whether a judgement is due, less often before the trial, and record it."""
        if self.stage.step < RolloutStep.TRIAL and now - self._judged_at < JUDGE_MS:
            return False
        self._judged_at = now
        return True

    def _added_since(self, at: float, table: EvidenceTable) -> EvidenceTable:
        """Return what has been added to `table` since about `at`.

        The old version is compared over the whole time: it may no longer get requests.
        """
        earlier = next(
            (taken for taken_at, taken in reversed(self._snapshots) if taken_at <= at),
            self._snapshots[0][1],
        )
        return {
            key: counts.minus(earlier[key]) if key[0] and key in earlier else counts
            for key, counts in table.items()
        }

    def _next_step(
        self,
        now: Millis,
        new: list[VersionTarget],
        old: list[VersionTarget],
        *,
        may_go_back: bool,
    ) -> RolloutStep:
        step, age_ms = self.stage.step, self._age(now)
        duration_ms = self.stage.duration_ms
        answers = sum(
            route.answers
            for report in self._reports.values()
            if report.is_new
            for route in report.routes
        )
        in_step_ms = now - self._step_since
        if step in BOUNDED_STEPS and not new and age_ms >= duration_ms * GIVE_UP_AT:
            self.reason = "no target of the new version serves"
            return RolloutStep.ROLLED_BACK if may_go_back else step
        if not new:
            if step not in BOUNDED_STEPS and may_go_back:
                self.reason = "no target of the new version serves any more"
                return RolloutStep.ROLLED_BACK
            return step
        if step is RolloutStep.PROBE:
            if (in_step_ms >= PROBE_MS and answers >= PROBE_ANSWERS) or age_ms >= MAX_PROBE_MS:
                self.reason = f"{answers} answers of the new version"
                return RolloutStep.CANARY
        elif step is RolloutStep.CANARY:
            if age_ms >= duration_ms * TRIAL_AT and in_step_ms >= LEARNING_MS:
                self.reason = f"{answers} answers of the new version are good"
                return RolloutStep.TRIAL
        elif step is RolloutStep.TRIAL:
            has_slots = _slots(new) >= _slots(old) * MIN_SLOTS_PART
            if answers < min(MIN_ANSWERS, self.calls * MIN_ANSWERS_SHARE):
                if age_ms < duration_ms * GIVE_UP_AT or not may_go_back:
                    return step
                self.reason = f"{answers} answers of the new version are too few"
                return RolloutStep.ROLLED_BACK
            is_late = age_ms >= duration_ms * MOVE_AT
            if in_step_ms >= (MIN_TRIAL_MS if is_late else TRIAL_MS) and (has_slots or is_late):
                self.reason = f"{answers} answers of the new version are good, also at full load"
                return RolloutStep.MOVED
        elif step is RolloutStep.MOVED:
            followed = self._all_follow(now, RolloutStep.MOVED)
            if followed or in_step_ms >= FOLLOW_MS:
                self.reason = "all daemons follow" if followed else "a daemon doesn't follow"
                return RolloutStep.CLOSED
        return step

    def _all_follow(self, now: Millis, step: RolloutStep) -> bool:
        """Return whether all daemons that report follow `step`."""
        recent = [
            report
            for key, report in self._reports.items()
            if now - self._reported_at[key] < SILENT_MS
        ]
        return bool(recent) and all(report.step >= step for report in recent)

    def _issue(self, now: Millis, step: RolloutStep, new: list[VersionTarget]) -> RolloutStage:
        if step in BOUNDED_STEPS:
            self._allocate_quotas(step, new)
            quotas = [GateQuota(*key, allowed) for key, allowed in self._allowed.items()]
        else:
            # Quotas are the largest part of a stage, and none of these steps needs them.
            quotas = []
        self._stage_at = now
        self.stage = msgspec.structs.replace(
            self.stage,
            number=self.stage.number + 1,
            step=step,
            age_ms=self._age(now),
            share=self._share(now, step),
            quotas=quotas,
        )
        return self.stage

    def _share(self, now: Millis, step: RolloutStep) -> float:
        if step is RolloutStep.PROBE:
            return PROBE_SHARE
        if step is not RolloutStep.CANARY:
            return 0.0 if step is RolloutStep.ROLLED_BACK else 1.0
        # The slack is spread over the time of the canary.
        canary_ms = max(1.0, self.stage.duration_ms * TRIAL_AT)
        expected = self.calls / max(1.0, self._age(now)) * canary_ms
        extra = self._bounds.slack * CANARY_SLACK_PART / max(1.0, expected)
        return min(MAX_CANARY_SHARE, self._bounds.share * CANARY_SHARE_PART + extra)

    def _allocate_quotas(self, step: RolloutStep, new: list[VersionTarget]) -> None:
        """Divide the requests that the version may have got by now among the gates of new targets.

        A quota is never withdrawn, as it may have been used. So the sum stays within the bound even
        if the gate, the leader or a link fails.
        """
        trial = step is RolloutStep.TRIAL
        share = self._bounds.share * (TRIAL_SHARE_PART if trial else CANARY_SHARE_PART)
        slack = self._bounds.slack * (TRIAL_SLACK_PART if trial else CANARY_SLACK_PART)
        free = int(self.calls * share + slack) - sum(self._allowed.values())
        gates = new if trial else self._canaries(new)
        keys = [(target.daemon, target.incarnation) for target in gates]
        keys = [key for key in keys if key in self._allowed or len(self._allowed) < MAX_QUOTAS]
        while free > 0 and keys:
            # One at a time, to the gate with the smallest unused quota.
            key = min(keys, key=self._unused)
            self._allowed[key] = self._allowed.get(key, 0) + 1
            free -= 1

    def _unused(self, key: tuple[str, int]) -> int:
        report = self._reports.get(key)
        return self._allowed.get(key, 0) - (report.runs if report is not None else 0)

    def _canaries(self, new: list[VersionTarget]) -> list[VersionTarget]:
        count = max(MIN_CANARIES, math.ceil(len(new) * CANARY_PART))
        # Those that are canaries already come first.
        ranked = sorted(
            new,
            key=lambda target: (
                (target.daemon, target.incarnation) not in self._allowed,
                target.daemon,
            ),
        )
        return ranked[:count]


def _slots(targets: list[VersionTarget]) -> int:
    return sum(target.slots for target in targets)


def report_interval_ms(step: RolloutStep) -> float:
    """Return how often daemons report while an order is at `step`."""
    is_canary = step in (RolloutStep.PROBE, RolloutStep.CANARY)
    return CANARY_REPORT_MS if is_canary else FULL_LOAD_REPORT_MS
