"""Load balancing policies: choose a target for a call among those with a free slot."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from egretworks.types import RandomSource, TargetId

# Round trip to another data centre, added to the cost of the targets there.
CROSS_DATA_CENTRE_MS = 3.0


class Candidate(msgspec.Struct, frozen=True):
    """Describe a target with a free slot, as this daemon sees it.

    `near` tells whether it is in this daemon's data centre, `outstanding` counts this daemon's
    calls in flight there, `limit` bounds them, and `latency_ms` is the expected latency.
    """

    id: TargetId
    near: bool
    outstanding: int
    limit: float
    latency_ms: float


Balancer = Callable[[list[Candidate], RandomSource], Candidate]

BALANCERS_BY_NAME: dict[str, Balancer] = {}


def balancer(name: str) -> Callable[[Balancer], Balancer]:
    """Return a decorator that registers a policy as `name`, a value of `Service.balance`."""

    def register(function: Balancer) -> Balancer:
        BALANCERS_BY_NAME[name] = function
        return function

    return register


@balancer("least_cost")
def least_cost(candidates: list[Candidate], random: RandomSource) -> Candidate:
    """Choose the candidate with the lowest expected response time, ties at random."""
    costs = [_cost_ms(candidate) for candidate in candidates]
    least = min(costs)
    best = [c for c, cost in zip(candidates, costs, strict=True) if cost <= least]
    return best[random.randrange(len(best))]


@balancer("two_choices")
def two_choices(candidates: list[Candidate], random: RandomSource) -> Candidate:
    """Choose the cheaper of two candidates drawn at random."""
    return least_cost(random.sample(candidates, min(2, len(candidates))), random)


@balancer("random")
def random_choice(candidates: list[Candidate], random: RandomSource) -> Candidate:
    """Choose a candidate uniformly at random."""
    return candidates[random.randrange(len(candidates))]


def _cost_ms(candidate: Candidate) -> float:
    utilisation = (candidate.outstanding + 1) / candidate.limit
    cross_ms = 0.0 if candidate.near else CROSS_DATA_CENTRE_MS
    return candidate.latency_ms * (1 + utilisation) + cross_ms
