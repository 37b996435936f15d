"""Decide how a new version of a service is brought in: stages, evidence, verdict and bounds.

See docs/design/ROLLOUTS.md. Nothing here does I/O; times are milliseconds of the caller's clock.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

import msgspec

from egretworks.clock import MILLIS_PER_SECOND, Millis
from egretworks.linkframes import (
    GateQuota,
    RolloutEvidence,
    RolloutStage,
    RolloutStep,
    RouteEvidence,
)
from egretworks.rows import DaemonRow
from egretworks.types import InstanceId, ServiceName

# Share of the requests for the new version until its first answers are known.
PROBE_SHARE = 0.02
PROBE_MS = 1_000.0
MAX_PROBE_MS = 2_500.0
PROBE_ANSWERS = 5
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
# Time until the answers of a trial are judged: a trial lasts for less than a second at full rate.
TRIAL_MS = 1_200.0
MIN_TRIAL_MS = 600.0
# A version that can't be moved to by this part of the duration is rolled back.
GIVE_UP_AT = 0.85
# A canary has this part of the new targets, and at least so many: one alone may be a slow machine,
# and each of many gets too little load to show how the version works under load.
CANARY_PART = 0.2
MIN_CANARIES = 2
# New targets need this part of the old ones' slots before all requests move to them.
MIN_SLOTS_PART = 0.8
# A daemon that hasn't reported for this long is not waited for.
SILENT_MS = 1_500.0
# Longest wait for all reporting daemons to follow the move.
FOLLOW_MS = 1_000.0
# The status is written this long before the deadline, even if an old gate isn't known to be empty.
WRITE_BEFORE_MS = 1_000.0
# A new leader moves nothing before it has had reports for this long.
LEARNING_MS = 1_000.0
# Recent answers are judged over this time too, so that earlier good ones hide no later fault.
RECENT_MS = 3_000.0
SNAPSHOT_MS = 250.0
# Failures that are always expected, as a share of the answers and as a number.
EXPECTED_FAILURE_SHARE = 0.01
EXPECTED_FAILURES = 2.0
# Failures beyond the expected ones by so many standard deviations are the version's.
FAILURE_DEVIATIONS = 3.0
# A version is bad if its answers take this many times as long. Targets of one version differ by
# 1.7 times, and a cold one takes twice its time.
SLOW_FACTOR = 2.5
MIN_SLOW_ANSWERS = 8
MIN_OLD_ANSWERS = 5
# Typical standard deviation of the logarithm of a target's times.
TIME_DEVIATION = 0.5
SLOW_DEVIATIONS = 1.5
# Shortest time between stages that differ in their quotas only, and longest without any stage.
QUOTA_MS = 300.0
REPEAT_MS = 500.0
# Reports hold at most this many routes, and stages this many quotas.
MAX_ROUTES = 32
MAX_QUOTAS = 128
# Versions whose first targets were started within this time of each other were there together.
FIRST_VERSIONS_MS = 3_000
# Losses within this time are one fault: a target that ends breaks all its connections at once.
LOSS_BURST_MS = 100.0

# Shorter times count as this one: their logarithms would outweigh all others.
MIN_TIME_MS = 0.5

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


class FirstVersions:
    """Find the versions of each service that were there first, which need no order.

    These are the versions whose first targets were started about when the first target of the
    service was. So a daemon that has been restarted finds the same ones as the others, as far as
    the first targets have not been replaced.
    """

    def __init__(self) -> None:
        self._born_by_service: dict[ServiceName, dict[str, int]] = {}
        self._present_by_service: dict[ServiceName, set[str]] = {}

    def update(self, rows: Iterable[DaemonRow]) -> None:
        """Take the rows of all daemons."""
        self._present_by_service = {}
        for row in rows:
            target = row.target
            if target is None or target.leaving or not target.version:
                continue
            born = self._born_by_service.setdefault(target.service, {})
            born[target.version] = min(target.born, born.get(target.version, target.born))
            self._present_by_service.setdefault(target.service, set()).add(target.version)
        for service, born in self._born_by_service.items():
            present = self._present_by_service.get(service)
            if present and not present & _earliest(born):
                # The first version is gone: what is left is used, as without a version.
                self._born_by_service[service] = {version: born[version] for version in present}

    def of(self, service: ServiceName) -> frozenset[str]:
        """Return the versions of `service` that were there first; empty if none is known."""
        return _earliest(self._born_by_service.get(service, {}))


def _earliest(born: dict[str, int]) -> frozenset[str]:
    latest = min(born.values(), default=0) + FIRST_VERSIONS_MS
    return frozenset(version for version, first in born.items() if first <= latest)


class ShareCounter:
    """Select a share of the requests, evenly over time."""

    def __init__(self, start: float) -> None:
        """`start`, from 0 to 1, is random: else daemons with few requests would select none."""
        self._sum = start

    def select(self, share: float) -> bool:
        """Return whether the next request is selected."""
        self._sum += share
        if self._sum < 1.0:
            return False
        self._sum -= 1.0
        return True


class GateEvidence:
    """Count what the local target runs and answers while an order runs."""

    def __init__(self) -> None:
        self.runs = 0
        self._by_route: dict[str, RouteEvidence] = {}
        self._lost_at: Millis | None = None

    @property
    def routes(self) -> list[RouteEvidence]:
        """Return the counts by route."""
        return list(self._by_route.values())

    def record(self, route: str, took_ms: float, *, failed: bool) -> None:
        """Count an answer and the time that the target took for it."""
        known = self._by_route.get(route)
        if known is None:
            if len(self._by_route) >= MAX_ROUTES:
                route = ""
            known = self._by_route.get(route, RouteEvidence(route))
        self._by_route[route] = RouteEvidence(
            route,
            known.answers + 1,
            known.bad + failed,
            known.log_ms + (0.0 if failed else math.log(max(took_ms, MIN_TIME_MS))),
        )

    def record_lost(self, route: str, took_ms: float, now: Millis) -> bool:
        """Count a request without an answer, unless it was lost together with another one."""
        together = self._lost_at is not None and now - self._lost_at < LOSS_BURST_MS
        self._lost_at = now
        if not together:
            self.record(route, took_ms, failed=True)
        return not together


class _Counts(msgspec.Struct):
    answers: int = 0
    bad: int = 0
    log_ms: float = 0.0

    @property
    def timed(self) -> int:
        """Return the number of answers whose times count."""
        return self.answers - self.bad

    def minus(self, earlier: _Counts) -> _Counts:
        return _Counts(
            self.answers - earlier.answers, self.bad - earlier.bad, self.log_ms - earlier.log_ms
        )


# Counts by (whether the target is new, route, daemon, incarnation of the daemon).
_Key = tuple[bool, str, str, int]
_Table = dict[_Key, _Counts]


def judge(table: _Table) -> str:
    """Return why the new version is bad as its answers show, or an empty string."""
    old_logs, old_counts, new_counts = {}, {}, {}
    for (is_new, route, _, _), counts in table.items():
        sums = new_counts if is_new else old_counts
        total = sums.setdefault(route, _Counts())
        total.answers += counts.answers
        total.bad += counts.bad
        if not is_new and counts.timed:
            old_logs.setdefault(route, []).append(counts.log_ms / counts.timed)
    old_all = _sum(old_counts.values())
    for route, counts in new_counts.items():
        old = old_counts.get(route, old_all)
        if _is_failing(counts, old):
            return f"route {route}: {counts.bad} of {counts.answers} failed"
    new_all = _sum(new_counts.values())
    if _is_failing(new_all, old_all):
        return f"{new_all.bad} of {new_all.answers} failed"
    old_log_by_route = {
        route: sum(logs) / len(logs)
        for route, logs in old_logs.items()
        if old_counts[route].timed >= MIN_OLD_ANSWERS
    }
    for route in (*old_log_by_route, None):
        reason = _slow_reason(table, old_log_by_route, route)
        if reason:
            return reason
    return ""


def _sum(counts: Iterable[_Counts]) -> _Counts:
    total = _Counts()
    for each in counts:
        total.answers += each.answers
        total.bad += each.bad
    return total


def _is_failing(new: _Counts, old: _Counts) -> bool:
    expected = max(EXPECTED_FAILURE_SHARE, (old.bad + 0.5) / (old.answers + 10.0))
    mean = new.answers * expected
    deviation = math.sqrt(mean * max(0.0, 1.0 - expected))
    return new.bad > mean + FAILURE_DEVIATIONS * deviation + EXPECTED_FAILURES


def _slow_reason(table: _Table, old_log_by_route: dict[str, float], only: str | None) -> str:
    """Compare the times on the route `only`, or on all; each new target counts the same."""
    answers_by_target: dict[tuple[str, int], int] = {}
    excess_by_target: dict[tuple[str, int], float] = {}
    for (is_new, route, daemon, incarnation), counts in table.items():
        if not is_new or route not in old_log_by_route or (only is not None and route != only):
            continue
        target = (daemon, incarnation)
        answers_by_target[target] = answers_by_target.get(target, 0) + counts.timed
        excess = counts.log_ms - counts.timed * old_log_by_route[route]
        excess_by_target[target] = excess_by_target.get(target, 0.0) + excess
    ratios = [excess_by_target[key] / count for key, count in answers_by_target.items() if count]
    answers = sum(answers_by_target.values())
    if answers < MIN_SLOW_ANSWERS:
        return ""
    ratio = sum(ratios) / len(ratios)
    if ratio <= math.log(SLOW_FACTOR) + SLOW_DEVIATIONS * TIME_DEVIATION / math.sqrt(answers):
        return ""
    where = "all routes" if only is None else f"route {only}"
    return f"{where}: {math.exp(ratio):.1f} times as slow in {answers} answers"


class RolloutPlan:
    """Lead one order: sum the reports of the daemons and decide each next stage."""

    def __init__(self, stage: RolloutStage, bounds: RolloutBounds, now: Millis) -> None:
        """Continue from `stage`, whose age is that at `now`."""
        self.stage = stage
        self._bounds = bounds
        self._started_at = Millis(now - stage.age_ms)
        self._leads_since = now
        self._step_since = now
        self._stage_at = now
        self._reports: dict[tuple[str, int], RolloutEvidence] = {}
        self._reported_at: dict[tuple[str, int], Millis] = {}
        self._allowed = {(quota.daemon, quota.incarnation): quota.allowed for quota in stage.quotas}
        self._snapshots: deque[tuple[Millis, _Table]] = deque()
        # What the last change of the step was decided by.
        self.reason = ""

    @property
    def calls(self) -> int:
        """Return how many requests of the service the daemons have reported since the order."""
        return sum(report.calls for report in self._reports.values())

    @property
    def runs(self) -> int:
        """Return how many requests new targets have run, as far as is reported."""
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
        verdict = self._verdict(now) if may_go_back else ""
        if verdict:
            step, self.reason = RolloutStep.ROLLED_BACK, verdict
        else:
            step = self._next_step(now, new, old, may_go_back=may_go_back)
        if step is not self.stage.step:
            self._step_since = now
            return self._issue(now, step, new)
        if now - self._stage_at >= REPEAT_MS:
            return self._issue(now, step, new)
        if step in BOUNDED_STEPS and now - self._stage_at >= QUOTA_MS:
            return self._issue(now, step, new)
        return None

    def may_write(self, now: Millis, targets: list[VersionTarget]) -> bool:
        """Return whether the old targets may stop, so that `completed` may be written."""
        if self.stage.step is not RolloutStep.CLOSED:
            return False
        if self._age(now) >= self.stage.duration_ms - WRITE_BEFORE_MS:
            return True
        for target in targets:
            if target.version == self.stage.target_version:
                continue
            report = self._reports.get((target.daemon, target.incarnation))
            if report is None or report.step < RolloutStep.CLOSED or report.load > 0:
                return False
        return True

    def end(self, step: RolloutStep, now: Millis, reason: str) -> RolloutStage:
        """Return the stage of an order that has ended."""
        self.reason = reason
        return self._issue(now, step, [])

    def _age(self, now: Millis) -> float:
        return now - self._started_at

    def _verdict(self, now: Millis) -> str:
        table: _Table = {
            (report.is_new, route.route, *key): _Counts(route.answers, route.bad, route.log_ms)
            for key, report in self._reports.items()
            if report.has_target
            for route in report.routes
        }
        if not self._snapshots or now - self._snapshots[-1][0] >= SNAPSHOT_MS:
            self._snapshots.append((now, table))
        while len(self._snapshots) > 1 and now - self._snapshots[1][0] >= RECENT_MS:
            self._snapshots.popleft()
        verdict = judge(table)
        if verdict:
            return verdict
        earlier = self._snapshots[0][1]
        # The old version is compared over the whole time: it may get nothing any more.
        recent = {
            key: counts.minus(earlier[key]) if key[0] and key in earlier else counts
            for key, counts in table.items()
        }
        return judge(recent)

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
            if age_ms >= duration_ms * TRIAL_AT and now - self._leads_since >= LEARNING_MS:
                self.reason = f"{answers} answers of the new version are good"
                return RolloutStep.TRIAL
        elif step is RolloutStep.TRIAL:
            has_slots = _slots(new) >= _slots(old) * MIN_SLOTS_PART
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
            self._grant(step, new)
        self._stage_at = now
        self.stage = msgspec.structs.replace(
            self.stage,
            number=self.stage.number + 1,
            step=step,
            age_ms=self._age(now),
            share=self._share(now, step),
            quotas=[GateQuota(*key, allowed) for key, allowed in self._allowed.items()],
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

    def _grant(self, step: RolloutStep, new: list[VersionTarget]) -> None:
        """Divide what the version may get until now among the gates of the new targets.

        What a gate has been granted stays its own, as it may have been used: so the sum holds
        whatever becomes of the gate, the leader or the links.
        """
        trial = step is RolloutStep.TRIAL
        share = self._bounds.share * (TRIAL_SHARE_PART if trial else CANARY_SHARE_PART)
        slack = self._bounds.slack * (TRIAL_SLACK_PART if trial else CANARY_SLACK_PART)
        free = int(self.calls * share + slack) - sum(self._allowed.values())
        gates = new if trial else self._canaries(new)
        keys = [(target.daemon, target.incarnation) for target in gates]
        keys = [key for key in keys if key in self._allowed or len(self._allowed) < MAX_QUOTAS]
        while free > 0 and keys:
            # One at a time to the gate that has most need.
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
    # At full load, a bad version has to be noticed within a few hundred requests.
    return 500.0 if step in (RolloutStep.PROBE, RolloutStep.CANARY) else MILLIS_PER_SECOND / 5
