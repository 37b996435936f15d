"""Keep the attempts beyond the first within this daemon's part of the mesh's budget."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import msgspec

from egretworks.clock import Millis

BUCKET_MS = 500
# Left for the calls that repeated runs make, and for what members that are gone have spent.
SPENT_PART = 0.5


class AttemptBounds(msgspec.Struct, frozen=True):
    """Bound the further attempts that the whole mesh makes within `window_ms`."""

    ratio: float
    window_ms: float
    slack: float


class _Bucket(msgspec.Struct):
    begins: Millis
    requests: int = 0
    extras: int = 0


class AttemptBudget:
    """Count the requests for one service and the further attempts made for them.

    The budget of the whole mesh is a ratio of its requests within a window of time, and some slack
    besides. A daemon keeps to that ratio of its own requests and to its part of the slack, so that
    the sum holds without any daemon asking another.
    """

    def __init__(self, bounds: Callable[[], AttemptBounds]) -> None:
        """Keep to what `bounds` returns, which may change."""
        self._bounds = bounds
        self._buckets: deque[_Bucket] = deque()

    def count_request(self, now: Millis) -> None:
        """Count a request of a caller."""
        self._bucket(now).requests += 1

    def spend(self, daemons: int, now: Millis) -> bool:
        """Count a further attempt if one of `daemons` may make it; else return False."""
        if self.left(daemons, now) < 1:
            return False
        self._bucket(now).extras += 1
        return True

    def left(self, daemons: int, now: Millis) -> float:
        """Return how many further attempts one of `daemons` may make now."""
        self._bucket(now)
        requests = sum(bucket.requests for bucket in self._buckets)
        extras = sum(bucket.extras for bucket in self._buckets)
        bounds = self._bounds()
        allowed = (bounds.ratio * requests + bounds.slack / max(1, daemons)) * SPENT_PART
        return allowed - extras

    def _bucket(self, now: Millis) -> _Bucket:
        while (
            self._buckets and self._buckets[0].begins <= now - self._bounds().window_ms - BUCKET_MS
        ):
            self._buckets.popleft()
        if not self._buckets or now >= self._buckets[-1].begins + BUCKET_MS:
            self._buckets.append(_Bucket(now))
        return self._buckets[-1]
