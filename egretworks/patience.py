"""Estimate how long callers have been waiting already when a request of theirs arrives."""

from __future__ import annotations

import msgspec

from egretworks.clock import Millis
from egretworks.types import RouteName

# The most patient callers of a route are looked for over this time.
WINDOW_MS = 20_000
# Callers of one route differ in their patience by less than this share.
LEAST_PATIENCE_SHARE = 0.82
# The patience of a usual caller, as a share of the most patient one's.
USUAL_PATIENCE_SHARE = 0.92


class _Window(msgspec.Struct):
    begins: Millis
    most_ms: float = 0.0
    most_before_ms: float = 0.0


class CallerPatience:
    """Tell requests that come back after a refusal from new ones, by the time that they have left.

    A caller that comes back says how much of its time is left; that is less than all callers of
    the route have at first.
    """

    def __init__(self) -> None:
        self._window_by_route: dict[RouteName, _Window] = {}

    def waited_ms(self, route: RouteName, left_ms: float, now: Millis) -> float:
        """Return how long the caller of a request on `route` has probably waited already."""
        window = self._window_by_route.get(route)
        if window is None:
            window = self._window_by_route[route] = _Window(now)
        if now - window.begins > WINDOW_MS:
            window.begins, window.most_before_ms, window.most_ms = now, window.most_ms, 0.0
        window.most_ms = max(window.most_ms, left_ms)
        most_ms = max(window.most_ms, window.most_before_ms)
        if left_ms >= most_ms * LEAST_PATIENCE_SHARE:
            return 0.0
        return most_ms * USUAL_PATIENCE_SHARE - left_ms
