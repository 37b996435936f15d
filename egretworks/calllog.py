"""Log decisions about calls, at a rate that is limited under any load."""

from __future__ import annotations

import zlib

import msgspec

from egretworks.clock import Clock, Millis
from egretworks.timeline import Timeline

# Every step of one call in this many is logged. All daemons choose the same calls.
SAMPLED_ONE_IN = 128
# Token bucket for the failures and refusals of one kind: its size and its refill rate.
BURST_LINES = 40
LINES_PER_SECOND = 10.0


class _TokenBucket(msgspec.Struct):
    tokens: float
    refilled_at: Millis
    # Lines suppressed since the last one that was allowed.
    suppressed: int = 0


class LineRateLimit:
    """Limit the rate of lines of each kind with a token bucket, and count the suppressed lines."""

    def __init__(self) -> None:
        self._bucket_by_kind: dict[str, _TokenBucket] = {}

    def take(self, kind: str, now: Millis) -> int | None:
        """Take a token for a line of `kind` at `now`.

        Returns the number of lines suppressed since the last one allowed, or None if this line is
        suppressed too.
        """
        bucket = self._bucket_by_kind.get(kind)
        if bucket is None:
            bucket = self._bucket_by_kind[kind] = _TokenBucket(BURST_LINES, now)
        refill = (now - bucket.refilled_at) / 1_000 * LINES_PER_SECOND
        bucket.tokens = min(BURST_LINES, bucket.tokens + refill)
        bucket.refilled_at = now
        if bucket.tokens < 1:
            bucket.suppressed += 1
            return None
        bucket.tokens -= 1
        suppressed, bucket.suppressed = bucket.suppressed, 0
        return suppressed


def is_sampled(call: str) -> bool:
    """Return whether every step of `call` is logged."""
    return zlib.crc32(call.encode()) % SAMPLED_ONE_IN == 0


class CallLog:
    """Record steps of sampled calls in `timeline`, and failures of all calls up to a rate limit."""

    def __init__(self, timeline: Timeline, clock: Clock) -> None:
        self._timeline = timeline
        self._clock = clock
        self._limit = LineRateLimit()

    def step(self, kind: str, call: str, **facts: object) -> None:
        """Record a step of `call` if the call is sampled."""
        if is_sampled(call):
            self._timeline.record(kind, call=call, facts=facts)

    def failure(self, kind: str, call: str, **facts: object) -> None:
        """Record a failure or refusal if `call` is sampled or `kind` is within its rate limit.

        The fact `suppressed_before` counts the lines suppressed since the last line of `kind`.
        """
        suppressed = self._limit.take(kind, self._clock.now())
        if suppressed is None and not is_sampled(call):
            return
        if suppressed:
            facts["suppressed_before"] = suppressed
        self._timeline.record(kind, call=call, facts=facts)
