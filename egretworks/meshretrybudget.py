"""Limit retries to this daemon's share of the mesh-wide retry budget."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import msgspec

from egretworks.clock import Millis

# Requests and retries are counted in buckets of this length.
BUCKET_MS = 500
# Share of the budget that a daemon uses. The rest covers the nested calls that retried requests
# make and the retries of members that have left.
USED_SHARE = 0.5


class RetryBounds(msgspec.Struct, frozen=True):
    """Limit the retries of the whole mesh to a `ratio` of its requests, plus `slack`.

    Both are counted within the last `window_ms`.
    """

    ratio: float
    window_ms: float
    slack: float


class _Bucket(msgspec.Struct):
    starts_at: Millis
    requests: int = 0
    retries: int = 0


class MeshRetryBudget:
    """Count the requests for one service and their retries within a sliding window.

    The mesh-wide budget is a ratio of all requests within the window plus a fixed slack. Each
    daemon limits itself to that ratio of its own requests plus an equal share of the slack, so
    the total holds without coordination.
    """

    def __init__(self, bounds: Callable[[], RetryBounds]) -> None:
        """Use the limits that `bounds` returns at each call; they may change."""
        self._bounds = bounds
        self._buckets: deque[_Bucket] = deque()
        # Since the start of the daemon: retries that it made, and calls that the local target has
        # probably made while it ran retries.
        self.retries_made = 0
        self.calls_of_retries = 0.0

    def count_request(self, now: Millis) -> None:
        """Count a request from a caller; retries by the daemon are counted by `try_spend`."""
        self._bucket(now).requests += 1

    def try_spend(self, daemons: int, now: Millis) -> bool:
        """Count a retry if this daemon, one of `daemons`, may make it; return whether it may."""
        if self.left(daemons, now) < 1:
            return False
        self._bucket(now).retries += 1
        self.retries_made += 1
        return True

    def left(self, daemons: int, now: Millis) -> float:
        """Return how many retries this daemon, one of `daemons`, may make now."""
        self._bucket(now)
        requests = sum(bucket.requests for bucket in self._buckets)
        retries = sum(bucket.retries for bucket in self._buckets)
        bounds = self._bounds()
        allowed = (bounds.ratio * requests + bounds.slack / max(1, daemons)) * USED_SHARE
        return allowed - retries

    def _bucket(self, now: Millis) -> _Bucket:
        """Drop the buckets that have left the window and return the current one."""
        while (
            self._buckets
            and self._buckets[0].starts_at <= now - self._bounds().window_ms - BUCKET_MS
        ):
            self._buckets.popleft()
        if not self._buckets or now >= self._buckets[-1].starts_at + BUCKET_MS:
            self._buckets.append(_Bucket(now))
        return self._buckets[-1]
