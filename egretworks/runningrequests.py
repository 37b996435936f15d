"""Estimate which calls of the local target are made in retries, and how many a run makes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

import msgspec

from egretworks.clock import Millis
from egretworks.types import RouteName, ServiceName

# A target states its own deadline in its calls, which it measures from when the request reached it.
DEADLINE_TOLERANCE_MS = 50.0
# The counts of a route are halved at this number of runs, so that they follow changes.
MAX_COUNTED_RUNS = 1_000
# The counts of the routes that were first seen longest ago are dropped beyond this number.
MAX_COUNTED_ROUTES = 2_000


class RunningRequest(msgspec.Struct, eq=False, frozen=True):
    """A request that runs at the local target."""

    route: RouteName
    deadline: Millis
    # Probability that the request is a retry.
    retry_share: float


class _RouteCounts(msgspec.Struct):
    runs: float = 0.0
    calls_by_service: Counter[ServiceName] = msgspec.field(default_factory=Counter)


class RunningRequests:
    """Hold the requests that run at the local target and attribute its calls to them.

    A call that a target makes while it runs a retry is one more call than the caller's request
    needed. Nothing in a call names the request that it belongs to, but a call expires with that
    request. So each request from the target's machine is attributed in equal parts to the running
    requests that expire no earlier; if there are none, it is a caller's own.
    """

    def __init__(self) -> None:
        self._running: set[RunningRequest] = set()
        self._counts_by_route: dict[RouteName, _RouteCounts] = {}

    def start(self, request: RunningRequest) -> None:
        """Add a request that starts."""
        self._running.add(request)
        counts = self._counts_of(request.route)
        counts.runs += 1
        if counts.runs >= MAX_COUNTED_RUNS:
            counts.runs /= 2
            for service in counts.calls_by_service:
                counts.calls_by_service[service] /= 2

    def end(self, request: RunningRequest) -> None:
        """Remove a request that has ended."""
        self._running.discard(request)

    def attribute(self, service: ServiceName, deadline: Millis) -> float:
        """Return the probability that a request for `service` is a call made in a retry."""
        latest = deadline - DEADLINE_TOLERANCE_MS
        possible = [running for running in self._running if running.deadline >= latest]
        for running in possible:
            counts = self._counts_of(running.route)
            counts.calls_by_service[service] += 1 / len(possible)
        return sum(running.retry_share for running in possible) / max(1, len(possible))

    def expected_calls(self, route: RouteName) -> Mapping[ServiceName, float]:
        """Return how many calls the running retries and one more, on `route`, make altogether.

        That is an estimate by service, as if none of them had made its calls yet.
        """
        calls_by_service: Counter[ServiceName] = Counter()
        weights = [(running.route, running.retry_share) for running in self._running]
        for name, weight in [*weights, (route, 1.0)]:
            counts = self._counts_by_route.get(name)
            if counts is None or not weight:
                continue
            for service, calls in counts.calls_by_service.items():
                calls_by_service[service] += weight * calls / max(1.0, counts.runs)
        return calls_by_service

    def _counts_of(self, route: RouteName) -> _RouteCounts:
        counts = self._counts_by_route.get(route)
        if counts is None:
            if len(self._counts_by_route) >= MAX_COUNTED_ROUTES:
                del self._counts_by_route[next(iter(self._counts_by_route))]
            counts = self._counts_by_route[route] = _RouteCounts()
        return counts
