"""Log what is decided about calls, within a bound that holds under any load."""

from __future__ import annotations

import zlib

import msgspec

from egretworks.clock import Clock, Millis
from egretworks.timeline import Timeline

# One call in so many is logged at every step, the same ones by every daemon.
SAMPLED_ONE_IN = 128
# Failures and refusals of one kind that a daemon logs: at once, and for good.
BURST_LINES = 40
LINES_A_SECOND = 10.0


class _Allowance(msgspec.Struct):
    lines: float
    at: Millis
    suppressed: int = 0


class LineLimit:
    """Allow so many lines of each kind, and count those that are suppressed."""

    def __init__(self) -> None:
        self._allowance_by_kind: dict[str, _Allowance] = {}

    def take(self, kind: str, now: Millis) -> int | None:
        """Return how many lines were suppressed before this one, or None to suppress it too."""
        allowance = self._allowance_by_kind.get(kind)
        if allowance is None:
            allowance = self._allowance_by_kind[kind] = _Allowance(BURST_LINES, now)
        earned = (now - allowance.at) / 1_000 * LINES_A_SECOND
        allowance.lines = min(BURST_LINES, allowance.lines + earned)
        allowance.at = now
        if allowance.lines < 1:
            allowance.suppressed += 1
            return None
        allowance.lines -= 1
        suppressed, allowance.suppressed = allowance.suppressed, 0
        return suppressed


def is_sampled(call: str) -> bool:
    """Return whether every step of `call` is logged."""
    return zlib.crc32(call.encode()) % SAMPLED_ONE_IN == 0


class CallLog:
    """Write the events of calls to `timeline`."""

    def __init__(self, timeline: Timeline, clock: Clock) -> None:
        self._timeline = timeline
        self._clock = clock
        self._limit = LineLimit()

    def step(self, kind: str, call: str, **facts: object) -> None:
        """Log an ordinary step of a call if the call is sampled."""
        if is_sampled(call):
            self._timeline.record(kind, call=call, facts=facts)

    def failure(self, kind: str, call: str, **facts: object) -> None:
        """Log a step that a caller may complain about, unless there are too many of its kind."""
        suppressed = self._limit.take(kind, self._clock.now())
        if suppressed is None and not is_sampled(call):
            return
        if suppressed:
            facts["suppressed_before"] = suppressed
        self._timeline.record(kind, call=call, facts=facts)
