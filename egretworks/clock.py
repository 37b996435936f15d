"""Provide the time in milliseconds, by an interface that tests can replace."""

from __future__ import annotations

import time
from typing import NewType, Protocol

Millis = NewType("Millis", float)

MILLIS_PER_SECOND = 1000.0


class Clock(Protocol):
    """Interface of a clock, passed to code whose decisions depend on the time."""

    def now(self) -> Millis:
        """Return milliseconds since boot, for durations and deadlines; they never decrease."""

    def wall(self) -> Millis:
        """Return milliseconds since the Unix epoch, for timestamps in records."""


def seconds_since_boot() -> float:
    """Return the seconds since boot, with the time for which the machine was suspended.

    `time.monotonic` leaves that time out, so that what has expired meanwhile would still hold.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SystemClock:
    """Clock of the operating system."""

    def now(self) -> Millis:
        """Return milliseconds since boot, for durations and deadlines; they never decrease."""
        return Millis(seconds_since_boot() * MILLIS_PER_SECOND)

    def wall(self) -> Millis:
        """Return milliseconds since the Unix epoch, for timestamps in records."""
        return Millis(time.time() * MILLIS_PER_SECOND)


def seconds(duration: Millis | float) -> float:
    """Convert a duration in milliseconds to seconds; a negative one gives zero."""
    return max(0.0, duration) / MILLIS_PER_SECOND
