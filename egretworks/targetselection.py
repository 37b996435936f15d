"""Select the target that is expected to answer a request soonest."""

from __future__ import annotations

from collections.abc import Collection, Iterable

import msgspec

from egretworks.types import RandomSource

# Cost added for a target in another data centre, as a multiple of its mean processing time, because
# traffic between data centres is expensive.
FAR_COST_FACTOR = 1.8
# Up to this share of the expected time is added at random, so that daemons with the same
# information spread their requests over targets that are almost equal.
COST_JITTER = 0.15
# Each percent of failures raises the estimated processing time by this share.
COST_PER_FAILING_PERCENT = 0.04
# Share by which the estimated processing time rises when all slots of a target are in use; it rises
# with the square of the used share of the slots.
FULL_SLOTS_COST = 0.25
# With at most this many slots at a target, whether one is free changes many times within the second
# between two reports of its load.
FEW_SLOTS = 4


# Assumed mean processing time if no target of the service has reported one.
UNKNOWN_WORK_MS = 60.0


class TargetEstimate(msgspec.Struct):
    """Hold what the offering daemon knows about the load of a target."""

    # Requests that run or wait.
    load: int
    slots: int
    # Mean processing time of a request, in milliseconds; 0 if it has not been reported.
    work_ms: float
    failing_percent: int
    # Whether the target is in the data centre of this daemon.
    near: bool
    # Whether the target's daemon has left a ping unanswered for too long.
    suspect: bool
    # Mean round-trip time to the target's daemon, in milliseconds.
    delay_ms: float = 0.0


def expected_ms(estimate: TargetEstimate) -> float:
    """Return the expected time until the target has answered one more request, in milliseconds."""
    slots = max(1, estimate.slots)
    queued = max(0, estimate.load + 1 - slots)
    # A target slows down when its last slots fill up.
    usage = min(1.0, estimate.load / slots)
    work_ms = estimate.work_ms * (1.0 + estimate.failing_percent * COST_PER_FAILING_PERCENT)
    return estimate.delay_ms + work_ms * (1.0 + queued / slots + FULL_SLOTS_COST * usage * usage)


def assume_unknown_work(estimates: Collection[TargetEstimate]) -> None:
    """Set the processing times that are unknown to the mean of the others.

    A target that has just started seems neither fast nor slow until it has answered a request.
    """
    known = [estimate.work_ms for estimate in estimates if estimate.work_ms]
    if len(known) == len(estimates):
        return
    mean_ms = sum(known) / len(known) if known else UNKNOWN_WORK_MS
    for estimate in estimates:
        if not estimate.work_ms:
            estimate.work_ms = mean_ms if estimate.slots <= FEW_SLOTS else UNKNOWN_WORK_MS


def select_target(
    estimates: Iterable[TargetEstimate], random: RandomSource, *, avoid_far: bool = True
) -> int | None:
    """Return the index of the best of `estimates`, or None if it is empty.

    A target whose daemon is suspect is selected only if all daemons are; with `avoid_far`, one in
    another data centre only if it is much better than those in this one.
    """
    best = None
    best_rank = (True, 0.0)
    for index, estimate in enumerate(estimates):
        cost_ms = expected_ms(estimate) * (1.0 + COST_JITTER * random.random())
        if avoid_far and not estimate.near:
            cost_ms += FAR_COST_FACTOR * estimate.work_ms
        rank = (estimate.suspect, cost_ms)
        if best is None or rank < best_rank:
            best, best_rank = index, rank
    return best
