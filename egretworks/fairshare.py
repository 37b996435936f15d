"""Decide which teams have recently had more than their weighted share of a target's time."""

from __future__ import annotations

import math

import msgspec

from egretworks.clock import Millis

# Time constant of the exponential decay of admitted processing time. A refused caller returns after
# about a second, by which time the order should depend on what its team has had since.
DECAY_MS = 1_000.0
# A team is over its share from when it has had, by weight, more than the other active teams
# multiplied by this until it has had no more than its share. With one bound for both, a team with a
# standing queue alternates between the two states, and its queue delays the others meanwhile.
OVER_SHARE_FACTOR = 1.5
# Requests that a team may have had in addition. The share of a small team is often less than one
# request in `DECAY_MS`, so that each of its requests would put it over its share.
SPARE_REQUESTS = 2
# A team is forgotten once it has less processing time than this left and sends nothing.
FORGOTTEN_BELOW_MS = 1.0
# A team that has sent a request within this time competes for the target, also if all its requests
# are refused.
ACTIVE_MS = 1_000.0
# Interval at which forgotten teams are removed.
PRUNE_INTERVAL_MS = 1_000.0
# Bounds of the weights, which come from other daemons.
MIN_WEIGHT, MAX_WEIGHT = 1e-3, 1e9


class _TeamUsage(msgspec.Struct):
    """Hold what one team has had of the target's time."""

    priority: int
    weight: float
    seen_at: Millis
    # Admitted processing time, decayed until `FairShares._decayed_at`; an admission after that time
    # counts for correspondingly more.
    used_ms: float = 0.0
    # The longest expected processing time of its admitted requests.
    longest_ms: float = 0.0
    # Whether the team was over its share when it last sent or started a request.
    was_over: bool = False


class _Usage(msgspec.Struct):
    """Hold the sums over the active teams of one team priority."""

    used_ms: float = 0.0
    weight: float = 0.0


class FairShares:
    """Compare the admitted processing time of the teams at one target with their weighted shares.

    Teams are compared within their team priority, as that alone decides between two priorities.
    Requests without a team are not counted.
    """

    def __init__(self) -> None:
        self._usage_by_team: dict[str, _TeamUsage] = {}
        self._usage_by_priority: dict[int, _Usage] = {}
        self._decayed_at = Millis(0)

    def __len__(self) -> int:
        """Return the number of teams that are kept."""
        return len(self._usage_by_team)

    def record_arrival(self, team: str, priority: int, weight: float, now: Millis) -> None:
        """Count `team` among those that compete for the target."""
        if team:
            usage = self._find(team, priority, weight, now)
            usage.was_over = self._is_over(usage, now)

    def record_admission(
        self, team: str, priority: int, weight: float, processing_ms: float, now: Millis
    ) -> None:
        """Add the expected processing time of an admitted request of `team`."""
        if not team:
            return
        usage = self._find(team, priority, weight, now)
        used_ms = processing_ms / self._decay(now)
        usage.used_ms += used_ms
        usage.longest_ms = max(usage.longest_ms, processing_ms)
        self._usage_by_priority[priority].used_ms += used_ms
        usage.was_over = self._is_over(usage, now)

    def is_over(self, team: str, now: Millis) -> bool:
        """Return whether `team` has recently had clearly more than its share."""
        usage = self._usage_by_team.get(team)
        return usage is not None and self._is_over(usage, now)

    def _is_over(self, usage: _TeamUsage, now: Millis) -> bool:
        total = self._usage_by_priority[usage.priority]
        weight_of_others = total.weight - usage.weight
        if weight_of_others <= 0:
            return False
        # In a comparison with all teams, one with two thirds of the weight would never be over.
        due_ms = (total.used_ms - usage.used_ms) * usage.weight / weight_of_others
        if usage.was_over:
            return usage.used_ms > due_ms
        excess_ms = (usage.used_ms - due_ms * OVER_SHARE_FACTOR) * self._decay(now)
        return excess_ms > usage.longest_ms * SPARE_REQUESTS

    def _find(self, team: str, priority: int, weight: float, now: Millis) -> _TeamUsage:
        """Return the usage of `team`, which is new if the team had no recent work."""
        self._prune(now)
        weight = min(MAX_WEIGHT, max(MIN_WEIGHT, weight))
        usage = self._usage_by_team.get(team)
        if usage is None:
            usage = self._usage_by_team[team] = _TeamUsage(priority, weight, now)
            self._sum_up()
        elif (usage.priority, usage.weight) != (priority, weight):
            usage.priority, usage.weight = priority, weight
            self._sum_up()
        usage.seen_at = now
        return usage

    def _decay(self, now: Millis) -> float:
        return math.exp((self._decayed_at - now) / DECAY_MS)

    def _prune(self, now: Millis) -> None:
        """Remove the teams without recent work from time to time."""
        if now - self._decayed_at < PRUNE_INTERVAL_MS:
            return
        decay = self._decay(now)
        for usage in self._usage_by_team.values():
            usage.used_ms *= decay
        self._decayed_at = now
        self._usage_by_team = {
            team: usage
            for team, usage in self._usage_by_team.items()
            if usage.used_ms >= FORGOTTEN_BELOW_MS or now - usage.seen_at < ACTIVE_MS
        }
        self._sum_up()

    def _sum_up(self) -> None:
        """Compute the sums anew, which also keeps rounding errors from adding up."""
        self._usage_by_priority = {}
        for usage in self._usage_by_team.values():
            total = self._usage_by_priority.setdefault(usage.priority, _Usage())
            total.used_ms += usage.used_ms
            total.weight += usage.weight
