"""Track what one daemon has outstanding at a target and what the target can take."""

from __future__ import annotations

import math

from egretworks.clock import Millis
from egretworks.types import WorkClass

# A target that is new to this daemon may be cold: it starts at this share of its slots.
START_SHARE = 0.34
# A target that sheds load is taken to be shared with other daemons.
SHED_FACTOR = 0.8
LATENCY_WEIGHT = 0.2
# What is known of a target's latency halves in this time, so that a slow one is tried again.
LATENCY_HALF_LIFE_MS = 5_000
FIRST_EJECTION_MS = 250
LONGEST_EJECTION_MS = 4_000


class TargetLoad:
    """Hold the limit, latency and failures of one target as this daemon sees them."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.outstanding = 0
        self.long_outstanding = 0
        self.limit = max(1.0, slots * START_SHARE)
        self._shed_before = False
        self._latency_ms = 0.0
        self._measured_at = Millis(0)
        self._failures = 0
        self._ejected_until = Millis(0)

    def has_room(self, work: WorkClass, long_percent: int, now: Millis) -> bool:
        """Return whether a call of class `work` may be sent now."""
        limit = math.floor(min(self.limit, self.slots))
        if now < self._ejected_until or self.outstanding >= limit:
            return False
        if work is WorkClass.SHORT:
            return True
        return self.long_outstanding < max(1, math.floor(limit * long_percent / 100))

    def enter(self, work: WorkClass) -> None:
        """Count a call that is being sent."""
        self.outstanding += 1
        self.long_outstanding += work is WorkClass.LONG

    def leave(self, work: WorkClass) -> None:
        """Count a call that ended."""
        self.outstanding -= 1
        self.long_outstanding -= work is WorkClass.LONG

    def succeeded(self, work: WorkClass, took_ms: float, now: Millis) -> None:
        """Learn from an answer: raise the limit towards the slots, note the latency."""
        self._failures = 0
        step = 1 / self.limit if self._shed_before else 1.0
        self.limit = min(float(self.slots), self.limit + step)
        if work is WorkClass.SHORT:
            self._note_latency(took_ms, now)

    def shed(self, now: Millis) -> None:
        """Learn that the target refused a call: it has no room, or it is leaving."""
        self._shed_before = True
        self.limit = max(1.0, min(self.limit, self.outstanding) * SHED_FACTOR)
        if self.outstanding <= 1:
            # It refuses even the only call that this daemon has there.
            self.failed(now)

    def failed(self, now: Millis) -> None:
        """Learn that the target couldn't be reached: leave it alone for a while."""
        ejection = FIRST_EJECTION_MS * 2**self._failures
        self._ejected_until = Millis(now + min(ejection, LONGEST_EJECTION_MS))
        self._failures = min(self._failures + 1, 8)

    def timed_out(self, took_ms: float, now: Millis) -> None:
        """Learn that an answer took longer than `took_ms`."""
        self._note_latency(took_ms, now)

    def latency_ms(self, now: Millis) -> float:
        """Return the expected latency, which fades with the age of what was measured."""
        age = now - self._measured_at
        return max(1.0, self._latency_ms * 0.5 ** (age / LATENCY_HALF_LIFE_MS))

    def _note_latency(self, took_ms: float, now: Millis) -> None:
        held = self.latency_ms(now)
        # A rise counts at once and a fall slowly, so that one fast answer hides no slow spell.
        self._latency_ms = max(took_ms, held + LATENCY_WEIGHT * (took_ms - held))
        if took_ms < held:
            self._latency_ms = held + LATENCY_WEIGHT * (took_ms - held)
        self._measured_at = now
