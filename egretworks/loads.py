"""Track the calls that this daemon has in flight at a target, and adapt their limit."""

from __future__ import annotations

import math

from egretworks.clock import Millis
from egretworks.types import WorkClass

# A target that is new to this daemon may be cold, so the limit starts at this share of its slots.
INITIAL_LIMIT_SHARE = 0.34
# A target that sheds load is assumed to be shared with other daemons: the limit is multiplied by
# this factor.
SHED_FACTOR = 0.8
# Weight of a new sample in the latency estimate, an EWMA, if it is lower than the estimate.
LATENCY_WEIGHT = 0.2
# The latency estimate decays with this half-life, so that a slow target is tried again.
LATENCY_HALF_LIFE_MS = 5_000
# A target that can't be reached, or refuses this daemon's only call to it, is ejected: it gets no
# calls for a time that doubles with each such failure in a row.
MIN_EJECTION_MS = 250
MAX_EJECTION_MS = 4_000


class TargetLoad:
    """Hold the concurrency limit, latency estimate and failures of one target.

    `limit` adapts to the target's answers; `slots`, this daemon's share of the target, is its upper
    bound. `outstanding` counts this daemon's calls in flight, `long_outstanding` those of long
    work.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.outstanding = 0
        self.long_outstanding = 0
        self.limit = max(1.0, slots * INITIAL_LIMIT_SHARE)
        self._has_shed = False
        self._latency_ms = 0.0
        self._measured_at = Millis(0)
        self._failures = 0
        self._ejected_until = Millis(0)

    def has_free_slot(self, work: WorkClass, long_percent: int, now: Millis) -> bool:
        """Return whether a call of class `work` may be sent now.

        Long work may take up to `long_percent` of the limit, and at least one slot.
        """
        limit = math.floor(min(self.limit, self.slots))
        if now < self._ejected_until or self.outstanding >= limit:
            return False
        if work is WorkClass.SHORT:
            return True
        return self.long_outstanding < max(1, math.floor(limit * long_percent / 100))

    def acquire(self, work: WorkClass) -> None:
        """Count a call of class `work` as in flight."""
        self.outstanding += 1
        self.long_outstanding += work is WorkClass.LONG

    def release(self, work: WorkClass) -> None:
        """Count a call of class `work` as ended."""
        self.outstanding -= 1
        self.long_outstanding -= work is WorkClass.LONG

    def record_success(self, work: WorkClass, took_ms: float, now: Millis) -> None:
        """Record an answer: raise the limit towards `slots` and update the latency estimate.

        The limit grows by one for each answer (slow start). After the first refusal it grows by the
        reciprocal of itself, which is about one for each round of `limit` answers.
        """
        self._failures = 0
        step = 1 / self.limit if self._has_shed else 1.0
        self.limit = min(float(self.slots), self.limit + step)
        if work is WorkClass.SHORT:
            self._record_latency(took_ms, now)

    def record_refusal(self, now: Millis) -> None:
        """Record that the target refused a call, because it is full or leaving: lower the limit."""
        self._has_shed = True
        self.limit = max(1.0, min(self.limit, self.outstanding) * SHED_FACTOR)
        if self.outstanding <= 1:
            # The target refused this daemon's only call in flight: the limit can't go any lower.
            self.record_failure(now)

    def record_failure(self, now: Millis) -> None:
        """Record that the target could not be reached: eject it with exponential backoff."""
        ejection = MIN_EJECTION_MS * 2**self._failures
        self._ejected_until = Millis(now + min(ejection, MAX_EJECTION_MS))
        self._failures = min(self._failures + 1, 8)

    def record_timeout(self, took_ms: float, now: Millis) -> None:
        """Record an attempt that timed out: its latency is at least `took_ms`."""
        self._record_latency(took_ms, now)

    def latency_ms(self, now: Millis) -> float:
        """Return the expected latency, at least 1 ms, which decays with the last sample's age."""
        age = now - self._measured_at
        return max(1.0, self._latency_ms * 0.5 ** (age / LATENCY_HALF_LIFE_MS))

    def _record_latency(self, took_ms: float, now: Millis) -> None:
        expected_ms = self.latency_ms(now)
        # A rise counts in full and a fall by its weight, so that one fast answer does not hide a
        # period of slow ones.
        self._latency_ms = max(took_ms, expected_ms + LATENCY_WEIGHT * (took_ms - expected_ms))
        if took_ms < expected_ms:
            self._latency_ms = expected_ms + LATENCY_WEIGHT * (took_ms - expected_ms)
        self._measured_at = now
