"""Limit how many requests a second a target gets, as long as it states such a limit."""

from __future__ import annotations

from egretworks.clock import MILLIS_PER_SECOND, Millis

# The bucket holds what the limit allows in this time, and at least one request: a target that got
# less for a moment may get as much more after it.
BURST_MS = 1_000.0
# A target that states a lower limit still gets a request every two seconds: only an answer can
# tell that the limit has ended.
MIN_PER_SECOND = 0.5


class RateLimit:
    """Hold a token bucket with the rate that the target states; without a rate all may pass."""

    def __init__(self) -> None:
        self.per_second: float | None = None
        self._tokens = 0.0
        self._refilled_at = Millis(0)

    def set_rate(self, per_second: float | None, now: Millis) -> bool:
        """Set the rate that holds from `now` on, None for no limit; return whether it changed.

        A limit that begins starts without tokens, as the target has been getting more.
        """
        if per_second is not None:
            per_second = max(MIN_PER_SECOND, per_second)
        if per_second == self.per_second:
            return False
        if self.per_second is None:
            self._tokens = 0.0
        else:
            self._refill(now)
        self._refilled_at = now
        self.per_second = per_second
        return True

    def wait_ms(self, now: Millis, requests: int = 1) -> float:
        """Return how long it takes until `requests` requests may have passed."""
        if self.per_second is None:
            return 0.0
        self._refill(now)
        return max(0.0, (requests - self._tokens) / self.per_second * MILLIS_PER_SECOND)

    def try_take(self, now: Millis) -> bool:
        """Take a token for a request; return False if there is none."""
        if self.wait_ms(now) > 0:
            return False
        if self.per_second is not None:
            self._tokens -= 1
        return True

    def _refill(self, now: Millis) -> None:
        rate_per_ms = self.per_second / MILLIS_PER_SECOND
        size = max(1.0, rate_per_ms * BURST_MS)
        self._tokens = min(size, self._tokens + (now - self._refilled_at) * rate_per_ms)
        self._refilled_at = now
