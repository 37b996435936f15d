"""Choose the target that should answer a request soonest."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from egretworks.types import RandomSource

# A target in another data centre looks slower by this many times its usual work, as the bytes
# between data centres are dear.
FAR_WORK_FACTOR = 1.8
# Spreads callers that know the same over targets that are almost alike.
SPREAD = 0.15
# Each percent of failures makes a target look this much slower.
FAILING_WEIGHT = 0.04
# A target whose slots are all taken looks this much slower than an idle one.
FILLED_WEIGHT = 0.25


class Prospect(msgspec.Struct):
    """Describe a target as its caller knows it."""

    load: int
    slots: int
    work_ms: float
    failing_percent: int
    near: bool
    # Its daemon hasn't answered for a while.
    suspect: bool
    # What the way to the target's daemon and back takes, in milliseconds.
    delay_ms: float = 0.0


def expected_ms(prospect: Prospect) -> float:
    """Return how long the target takes to answer one more request, in milliseconds."""
    slots = max(1, prospect.slots)
    queued = max(0, prospect.load + 1 - slots)
    # A target slows down when its last slots fill up.
    filled = min(1.0, prospect.load / slots)
    work_ms = prospect.work_ms * (1.0 + prospect.failing_percent * FAILING_WEIGHT)
    return prospect.delay_ms + work_ms * (1.0 + queued / slots + FILLED_WEIGHT * filled * filled)


def pick(prospects: Iterable[Prospect], random: RandomSource) -> int | None:
    """Return the index of the best of `prospects`, or None where there is none."""
    best = None
    best_rank = (True, 0.0)
    for index, prospect in enumerate(prospects):
        cost_ms = expected_ms(prospect) * (1.0 + SPREAD * random.random())
        if not prospect.near:
            cost_ms += FAR_WORK_FACTOR * prospect.work_ms
        rank = (prospect.suspect, cost_ms)
        if best is None or rank < best_rank:
            best, best_rank = index, rank
    return best
