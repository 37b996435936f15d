"""Find the versions that services started with, and judge the answers of new ones."""

from __future__ import annotations

import math
import statistics
from collections.abc import Iterable

import msgspec

from egretworks.clock import Millis
from egretworks.linkframes import RouteEvidence
from egretworks.rows import DaemonRow
from egretworks.types import ServiceName

# Failures that are expected even if the old version has none: a share of the answers, and a number.
EXPECTED_FAILURE_SHARE = 0.01
EXPECTED_FAILURES = 2.5
# A version fails if its failures exceed the expected ones by this many standard deviations.
FAILURE_DEVIATIONS = 3.0
# A version is bad if its answers take this many times as long. Targets of one version differ by
# 1.7 times, and a cold one takes twice its time.
SLOW_FACTOR = 2.5
MIN_SLOW_ANSWERS = 10
# A target with fewer answers is left out of the comparison.
MIN_TARGET_ANSWERS = 2
MIN_OLD_ANSWERS = 5
# Typical standard deviation of the logarithm of a target's times.
TIME_DEVIATION = 0.5
SLOW_DEVIATIONS = 1.5
# Reports hold at most this many routes.
MAX_ROUTES = 32
# Versions whose first targets were started within this time of each other were there together.
FIRST_VERSIONS_MS = 3_000
# Losses within this time are one fault: a target that ends breaks all its connections at once.
LOSS_BURST_MS = 100.0
# Shorter times count as this one: their logarithms would outweigh all others.
MIN_TIME_MS = 0.5


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
                # No target of the first versions is left, so all remaining versions count as first.
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
        """`start`, from 0 to 1, is random, as otherwise daemons with few requests select none."""
        self._sum = start

    def select(self, share: float) -> bool:
        """Return whether the next request is selected."""
        self._sum += share
        if self._sum < 1.0:
            return False
        self._sum -= 1.0
        return True


class GateEvidence:
    """Count the requests and answers of the local target since the order."""

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
            if len(self._by_route) >= MAX_ROUTES - 1:
                # The last place is that of all further routes together.
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


class Counts(msgspec.Struct):
    """Sum answers, as `RouteEvidence` does."""

    answers: int = 0
    bad: int = 0
    log_ms: float = 0.0

    @property
    def timed(self) -> int:
        """Return the number of answers whose times count."""
        return self.answers - self.bad

    def minus(self, earlier: Counts) -> Counts:
        """Return what has been added since `earlier`."""
        return Counts(
            self.answers - earlier.answers, self.bad - earlier.bad, self.log_ms - earlier.log_ms
        )


# Counts by (whether the target is new, route, daemon, incarnation of the daemon).
_Key = tuple[bool, str, str, int]
EvidenceTable = dict[_Key, Counts]


def find_failing(table: EvidenceTable) -> str:
    """Return where the new version fails more often than the old one; empty if it doesn't."""
    counts_by_route: dict[bool, dict[str, Counts]] = {False: {}, True: {}}
    for (is_new, route, _, _), counts in table.items():
        total = counts_by_route[is_new].setdefault(route, Counts())
        total.answers += counts.answers
        total.bad += counts.bad
    old_all = _sum(counts_by_route[False].values())
    for route, new in counts_by_route[True].items():
        if _is_failing(new, counts_by_route[False].get(route, old_all)):
            return f"route {route}: {new.bad} of {new.answers} failed"
    new_all = _sum(counts_by_route[True].values())
    if _is_failing(new_all, old_all):
        return f"{new_all.bad} of {new_all.answers} failed"
    return ""


def find_slow(table: EvidenceTable) -> str:
    """Return where the new version takes far longer than the old one; empty if it doesn't."""
    logs_by_route: dict[str, list[float]] = {}
    answers_by_route: dict[str, int] = {}
    for (is_new, route, _, _), counts in table.items():
        if not is_new and counts.timed:
            logs_by_route.setdefault(route, []).append(counts.log_ms / counts.timed)
            answers_by_route[route] = answers_by_route.get(route, 0) + counts.timed
    old_log_by_route = {
        route: sum(logs) / len(logs)
        for route, logs in logs_by_route.items()
        if answers_by_route[route] >= MIN_OLD_ANSWERS
    }
    for route in (*old_log_by_route, None):
        reason = _slow_reason(table, old_log_by_route, route)
        if reason:
            return reason
    return ""


def _sum(counts: Iterable[Counts]) -> Counts:
    total = Counts()
    for each in counts:
        total.answers += each.answers
        total.bad += each.bad
    return total


def _is_failing(new: Counts, old: Counts) -> bool:
    expected = max(EXPECTED_FAILURE_SHARE, (old.bad + 0.5) / (old.answers + 10.0))
    mean = new.answers * expected
    deviation = math.sqrt(mean * max(0.0, 1.0 - expected))
    return new.bad > mean + FAILURE_DEVIATIONS * deviation + EXPECTED_FAILURES


def _slow_reason(table: EvidenceTable, old_log_by_route: dict[str, float], only: str | None) -> str:
    """Compare the times on the route `only`, or on all, by the median of the new targets."""
    answers_by_target: dict[tuple[str, int], int] = {}
    excess_by_target: dict[tuple[str, int], float] = {}
    for (is_new, route, daemon, incarnation), counts in table.items():
        if not is_new or route not in old_log_by_route or (only is not None and route != only):
            continue
        target = (daemon, incarnation)
        answers_by_target[target] = answers_by_target.get(target, 0) + counts.timed
        excess = counts.log_ms - counts.timed * old_log_by_route[route]
        excess_by_target[target] = excess_by_target.get(target, 0.0) + excess
    ratios = [
        excess_by_target[key] / count
        for key, count in answers_by_target.items()
        if count >= MIN_TARGET_ANSWERS
    ]
    answers = sum(answers_by_target.values())
    if answers < MIN_SLOW_ANSWERS or not ratios:
        return ""
    ratio = statistics.median(ratios)
    if ratio <= math.log(SLOW_FACTOR) + SLOW_DEVIATIONS * TIME_DEVIATION / math.sqrt(answers):
        return ""
    where = "all routes" if only is None else f"route {only}"
    return f"{where}: {math.exp(ratio):.1f} times as slow in {answers} answers"
