"""Select the target that is expected to answer a request soonest."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from egretworks.types import RandomSource

# Cost added for a target in another data centre, as a multiple of its mean processing time, because
# traffic between data centres is expensive.
FAR_COST_FACTOR = 1.8
# Up to this share of the cost is added at random, so that callers with the same information spread
# over targets that are almost equal.
COST_JITTER = 0.15
# Each percent of failures raises the estimated processing time by this share.
COST_PER_FAILING_PERCENT = 0.04
# Share by which the estimated processing time rises when all slots of a target are in use.
FULL_SLOTS_COST = 0.25


class Prospect(msgspec.Struct):
    """Hold what the offering daemon knows about the load of a target."""

    # Requests that run or wait.
    load: int
    slots: int
    # Mean processing time of a request.
    work_ms: float
    failing_percent: int
    # Whether the target is in the data centre of this daemon.
    near: bool
    # Whether the target's daemon has left a ping unanswered for too long.
    suspect: bool
    # Mean round-trip time to the target's daemon, in milliseconds.
    delay_ms: float = 0.0


def expected_ms(prospect: Prospect) -> float:
    """Return the expected time until the target has answered one more request, in milliseconds."""
    slots = max(1, prospect.slots)
    queued = max(0, prospect.load + 1 - slots)
    # A target slows down when its last slots fill up.
    usage = min(1.0, prospect.load / slots)
    work_ms = prospect.work_ms * (1.0 + prospect.failing_percent * COST_PER_FAILING_PERCENT)
    return prospect.delay_ms + work_ms * (1.0 + queued / slots + FULL_SLOTS_COST * usage * usage)


def pick(prospects: Iterable[Prospect], random: RandomSource) -> int | None:
    """Return the index of the best of `prospects`, or None if there are none.

    Any target whose daemon is not suspect is better than all whose daemon is.
    """
    best = None
    best_rank = (True, 0.0)
    for index, prospect in enumerate(prospects):
        cost_ms = expected_ms(prospect) * (1.0 + COST_JITTER * random.random())
        if not prospect.near:
            cost_ms += FAR_COST_FACTOR * prospect.work_ms
        rank = (prospect.suspect, cost_ms)
        if best is None or rank < best_rank:
            best, best_rank = index, rank
    return best
