"""Read the time in milliseconds."""

from __future__ import annotations

import time
from typing import NewType, Protocol

Millis = NewType("Millis", float)

MILLIS_PER_SECOND = 1000.0


class Clock(Protocol):
    """Tell the time to code that decides by it."""

    def now(self) -> Millis:
        """Return monotonic milliseconds, for durations."""

    def wall(self) -> Millis:
        """Return milliseconds since the Unix epoch, for records."""


class SystemClock:
    """Tell the time of this machine."""

    def now(self) -> Millis:
        """Return monotonic milliseconds, for durations."""
        return Millis(time.monotonic() * MILLIS_PER_SECOND)

    def wall(self) -> Millis:
        """Return milliseconds since the Unix epoch, for records."""
        return Millis(time.time() * MILLIS_PER_SECOND)


def seconds(duration: Millis | float) -> float:
    """Convert a duration in milliseconds to seconds, never below zero."""
    return max(0.0, duration) / MILLIS_PER_SECOND
