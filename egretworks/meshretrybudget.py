"""Limit retries to this daemon's share of the mesh-wide retry budget."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import msgspec

from egretworks.clock import Millis

# Requests are counted in buckets of this length.
BUCKET_MS = 500
# Share of the ratio that a request earns at once, and share of it up to which what was earned
# within a window is kept for later. The rest covers retries that reach their target after the
# window in which they were paid for.
EARNED_SHARE = 0.75
KEPT_SHARE = 0.2
# Share of the slack up to which it is kept. The rest is earned again within each window.
KEPT_SLACK_SHARE = 0.5
# The calls of a retry may be this many times those of the average run.
CALLS_MARGIN = 2.0


class RetryBounds(msgspec.Struct, frozen=True):
    """Limit the retries of the whole mesh to a `ratio` of its requests, plus `slack`.

    Both are counted within the last `window_ms`.
    """

    ratio: float
    window_ms: float
    slack: float


class _Bucket(msgspec.Struct):
    starts_at: Millis
    requests: float = 0.0


class MeshRetryBudget:
    """Hold the tokens of this daemon for retries of one service.

    The mesh-wide budget is a ratio of all requests within a window plus a fixed slack. Requests and
    time earn tokens, and retries spend them. What is kept at the start of a window and what is
    earned within it are together at most the ratio of the requests of this window or the one
    before, whichever are more, and an equal share of the slack. So the total holds without
    coordination.
    """

    def __init__(self, bounds: Callable[[], RetryBounds], unspent_since: Millis) -> None:
        """Use the limits that `bounds` returns at each call; they may change.

        `unspent_since` is since when the daemon has certainly spent nothing, also in earlier runs.
        """
        self._bounds = bounds
        self._buckets: deque[_Bucket] = deque()
        self._tokens = 0.0
        self._earned_until = unspent_since
        # Since the start of the daemon: retries that it made, and calls that the local target has
        # probably made while it ran retries.
        self.retries_made = 0
        self.calls_of_retries = 0.0

    def count_request(self, now: Millis, retry_share: float = 0.0) -> None:
        """Count a request from a caller, or a call of the local target.

        `retry_share` is the probability that it is a call made in a retry. Such a call is a retry
        itself. It is paid for but never refused, as the run that makes it would be wasted; so
        retries start only while there are tokens for their calls.
        """
        self._bucket(now).requests += 1.0 - retry_share
        self._tokens += self._bounds().ratio * EARNED_SHARE * (1.0 - retry_share)
        self._tokens -= min(1.0, retry_share * CALLS_MARGIN)
        self.calls_of_retries += retry_share

    def try_spend(self, daemons: int, now: Millis) -> bool:
        """Spend a token if this daemon, one of `daemons`, has one; return whether it has."""
        if self.left(daemons, now) < 1:
            return False
        self._tokens -= 1
        self.retries_made += 1
        return True

    def allows_calls(self, calls: float, daemons: int, now: Millis) -> bool:
        """Return whether there are tokens for `calls` that retries are expected to make."""
        return self.left(daemons, now) >= calls * CALLS_MARGIN

    def left(self, daemons: int, now: Millis) -> float:
        """Return how many tokens this daemon, one of `daemons`, has; below 0 if it owes some."""
        bounds = self._bounds()
        self._bucket(now)
        slack = bounds.slack / max(1, daemons)
        slack_per_ms = slack * (1.0 - KEPT_SLACK_SHARE) / bounds.window_ms
        self._tokens += (now - self._earned_until) * slack_per_ms
        self._earned_until = now
        requests = sum(bucket.requests for bucket in self._buckets)
        kept = bounds.ratio * KEPT_SHARE * requests + slack * KEPT_SLACK_SHARE
        self._tokens = max(-kept, min(kept, self._tokens))
        return self._tokens

    def _bucket(self, now: Millis) -> _Bucket:
        """Drop the buckets that have left the window and return the current one."""
        while self._buckets and self._buckets[0].starts_at <= now - self._bounds().window_ms:
            self._buckets.popleft()
        if not self._buckets or now >= self._buckets[-1].starts_at + BUCKET_MS:
            self._buckets.append(_Bucket(now))
        return self._buckets[-1]
