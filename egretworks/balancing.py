"""Choose one of the targets that have room for a call."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from egretworks.types import RandomSource, TargetId

# Cost of leaving the data centre, in milliseconds there and back.
CROSSING_MS = 3.0


class Candidate(msgspec.Struct, frozen=True):
    """Describe a target with room, as the choosing daemon sees it."""

    id: TargetId
    near: bool
    outstanding: int
    limit: float
    latency_ms: float


Balancer = Callable[[list[Candidate], RandomSource], Candidate]

BALANCERS_BY_NAME: dict[str, Balancer] = {}


def balancer(name: str) -> Callable[[Balancer], Balancer]:
    """Register a policy under `name`, for services to ask for."""

    def register(function: Balancer) -> Balancer:
        BALANCERS_BY_NAME[name] = function
        return function

    return register


@balancer("least_cost")
def least_cost(candidates: list[Candidate], random: RandomSource) -> Candidate:
    """Choose the candidate whose answer is expected soonest, any one of equals."""
    costs = [_expected_ms(candidate) for candidate in candidates]
    least = min(costs)
    best = [c for c, cost in zip(candidates, costs, strict=True) if cost <= least]
    return best[random.randrange(len(best))]


@balancer("two_choices")
def two_choices(candidates: list[Candidate], random: RandomSource) -> Candidate:
    """Choose the cheaper of two candidates drawn at random."""
    return least_cost(random.sample(candidates, min(2, len(candidates))), random)


@balancer("random")
def any_one(candidates: list[Candidate], random: RandomSource) -> Candidate:
    """Choose any candidate."""
    return candidates[random.randrange(len(candidates))]


def _expected_ms(candidate: Candidate) -> float:
    waiting = (candidate.outstanding + 1) / candidate.limit
    crossing = 0.0 if candidate.near else CROSSING_MS
    return candidate.latency_ms * (1 + waiting) + crossing
