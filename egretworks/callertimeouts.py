"""Estimate how long a caller has been waiting already when its request arrives."""

from __future__ import annotations

import msgspec

from egretworks.clock import Millis
from egretworks.types import RouteName

# The longest initial timeout of a route is tracked over windows of this length.
WINDOW_MS = 20_000
# A request with at least this share of the longest timeout left is a first attempt: the initial
# timeouts of the callers of one route differ by less.
MIN_FIRST_ATTEMPT_SHARE = 0.82
# Initial timeout of a typical caller, as a share of the longest one.
TYPICAL_TIMEOUT_SHARE = 0.92


class _Window(msgspec.Struct):
    """Hold the longest time left that was seen in the current window and in the one before."""

    starts_at: Millis
    longest_ms: float = 0.0
    previous_longest_ms: float = 0.0


class CallerTimeouts:
    """Tell retries of refused requests from first attempts by the time that they have left.

    A caller that retries states how much of its time is left, which is less than the initial
    timeout of any caller of the route.
    """

    def __init__(self) -> None:
        self._window_by_route: dict[RouteName, _Window] = {}

    def waited_ms(self, route: RouteName, left_ms: float, now: Millis) -> float:
        """Return the estimated time since the first attempt of a request on `route`.

        Returns 0 for a first attempt. `left_ms` is the time left that the caller states.
        """
        window = self._window_by_route.get(route)
        if window is None:
            window = self._window_by_route[route] = _Window(now)
        if now - window.starts_at > WINDOW_MS:
            window.starts_at, window.previous_longest_ms, window.longest_ms = (
                now,
                window.longest_ms,
                0.0,
            )
        window.longest_ms = max(window.longest_ms, left_ms)
        longest_ms = max(window.longest_ms, window.previous_longest_ms)
        if left_ms >= longest_ms * MIN_FIRST_ATTEMPT_SHARE:
            return 0.0
        return longest_ms * TYPICAL_TIMEOUT_SHARE - left_ms
