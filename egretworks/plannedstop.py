"""Decide which requests a daemon may still begin while it stops."""

from __future__ import annotations

import msgspec

from egretworks.clock import Millis

# A request that arrives within this share of a stop's time has the rest of it to end. A later one
# is served only if its deadline comes first: it can't be told from one that would be cut off.
LAST_START_SHARE = 0.5


class PlannedStop(msgspec.Struct, frozen=True):
    """Hold the times of a planned stop, at whose end requests in flight are cut off."""

    last_start: Millis
    ends_at: Millis

    def is_too_late(self, began: Millis, deadline: Millis) -> bool:
        """Return whether a request that began at `began` might be cut off at the end."""
        return began > self.last_start and deadline > self.ends_at


def planned_stop(now: Millis, lasts_ms: float, reserved_ms: float = 0.0) -> PlannedStop:
    """Return a stop that begins now, `reserved_ms` of which are kept back at its end."""
    last_start = Millis(now + lasts_ms * LAST_START_SHARE)
    return PlannedStop(last_start, Millis(now + lasts_ms - reserved_ms))
