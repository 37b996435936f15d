"""Keep pools of quota tokens: take deposits of minted time, and hand out tokens.

A token expires once it has been in a pool for the time in which its team's rate fills the team's
capacity. So the tokens of a team in all pools together are never more than its capacity, also if
several daemons keep the same pool. `docs/design/QUOTA.md` derives the bound.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec

from egretworks.clock import MILLIS_PER_SECOND, Millis
from egretworks.linkframes import QuotaGrant, QuotaRequest, TeamGrant, TeamTokens
from egretworks.quotashare import MAX_MINTED_MS, pool_of
from egretworks.teams import MeshTeam
from egretworks.types import InstanceId

# A grant that arrives later than this after its request was sent is not used.
GRANT_TIMEOUT_MS = 150.0
# A request that was queued for longer on its way to the pool is dropped with its deposit.
MAX_TRANSIT_MS = 100.0
# Longest time from the minting of a token to the request that uses it, apart from time in pools.
MAX_LAG_MS = MAX_MINTED_MS + MAX_TRANSIT_MS + GRANT_TIMEOUT_MS
# Share of the slack that pools keep as tokens. The rest covers clocks of different speeds.
KEPT_SLACK_SHARE = 0.8
# At the first start a pool begins with this share of the capacity. Daemons that start one after the
# other each add their part of it by the number of daemons that they know; for 300 daemons these
# parts add up to 6.3 times the share.
FILLED_SHARE = 1 / 7
# Tokens of a team are kept in up to about this many slots by age; a slot expires as a whole.
SLOTS = 16
# Tolerance in tokens, as rounding errors would otherwise withhold a whole one.
EPSILON = 1e-6
# Time over which the rate of deposits is measured.
RATE_WINDOW_MS = 1_000.0

LimitedTeams = Callable[[], Mapping[str, MeshTeam]]


class QuotaBounds(msgspec.Struct, frozen=True):
    """Bound a team's requests in each window: its quota, plus a share of it and a fixed number."""

    window_ms: float
    overshoot: float
    slack: float

    def capacity(self, team: MeshTeam) -> float:
        """Return how many tokens of `team` may be kept; at least one, or no request could pass."""
        uncovered_ms = max(0.0, MAX_LAG_MS - self.overshoot * self.window_ms)
        kept = team.burst + KEPT_SLACK_SHARE * self.slack
        return max(1.0, kept - team.rate_per_s * uncovered_ms / MILLIS_PER_SECOND)

    def lifetime_ms(self, team: MeshTeam) -> float:
        """Return how long a token of `team` may be kept."""
        return self.capacity(team) / team.rate_per_s * MILLIS_PER_SECOND


class _Slot(msgspec.Struct):
    # When the oldest of the tokens came into the pool.
    since: Millis
    tokens: float


class TeamStock:
    """Hold the tokens of a team in one pool, by age."""

    def __init__(self, team: MeshTeam, bounds: QuotaBounds, now: Millis) -> None:
        self._slots: list[_Slot] = []
        self._tokens = 0.0
        # Tokens deposited until then are promised to callers that were refused.
        self._promised_until = now
        # Tokens deposited since the rate was last measured.
        self._measured_since = now
        self._measured_tokens = 0.0
        self._rate_per_ms = 0.0
        self.set_limit(team, bounds)

    def set_limit(self, team: MeshTeam, bounds: QuotaBounds) -> None:
        """Follow changed limits; tokens beyond the new capacity are dropped."""
        self._capacity = bounds.capacity(team)
        self._lifetime_ms = bounds.lifetime_ms(team)
        self._longest_wait_ms = bounds.window_ms
        self._drop_excess()

    def deposit(self, tokens: float, now: Millis) -> None:
        """Add newly minted tokens, and measure the rate of deposits."""
        self._measured_tokens += tokens
        if now - self._measured_since >= RATE_WINDOW_MS:
            self._rate_per_ms = self._measured_tokens / (now - self._measured_since)
            self._measured_since, self._measured_tokens = now, 0.0
        self.add(tokens, now)

    def add(self, tokens: float, now: Millis) -> None:
        """Add tokens that expire after the full lifetime."""
        slots = self._slots
        if slots and now - slots[-1].since < self._lifetime_ms / SLOTS:
            slots[-1].tokens += tokens
        else:
            self._expire(now)
            slots.append(_Slot(now, tokens))
        self._tokens += tokens
        if self._tokens > self._capacity:
            self._drop_excess()

    def put_back(self, tokens: float, minted_at: Millis, now: Millis) -> None:
        """Add returned tokens, which expire as if they had not been taken."""
        self._expire(now)
        if now - minted_at >= self._lifetime_ms:
            return
        older = [slot for slot in self._slots if slot.since <= minted_at]
        if older:
            older[-1].tokens += tokens
        else:
            self._slots.insert(0, _Slot(minted_at, tokens))
        self._tokens += tokens
        self._drop_excess()

    def take(self, wanted: int, now: Millis) -> tuple[int, float]:
        """Take up to `wanted` tokens, oldest first; return their number and the age of the oldest.

        The age is in milliseconds.
        """
        self._expire(now)
        granted = min(wanted, int(self._tokens + EPSILON))
        if granted <= 0:
            return 0, 0.0
        age_ms = now - self._slots[0].since
        self._remove(granted)
        return granted, age_ms

    def promise(self, refused: int, now: Millis) -> float:
        """Return after how many milliseconds the first of `refused` more requests gets a token.

        The others get theirs after it, at the rate at which tokens are deposited.
        """
        if self._rate_per_ms > 0:
            per_token_ms = 1 / self._rate_per_ms
        else:
            per_token_ms = self._lifetime_ms / self._capacity
        starts_at = max(now + (1 - self._tokens) * per_token_ms, self._promised_until)
        latest = now + self._longest_wait_ms
        self._promised_until = min(starts_at + refused * per_token_ms, latest)
        return min(starts_at, latest) - now

    def _expire(self, now: Millis) -> None:
        slots = self._slots
        while slots and now - slots[0].since >= self._lifetime_ms:
            self._tokens -= slots.pop(0).tokens
        if not slots:
            self._tokens = 0.0

    def _drop_excess(self) -> None:
        if self._tokens > self._capacity:
            self._remove(self._tokens - self._capacity)

    def _remove(self, tokens: float) -> None:
        """Remove the oldest tokens."""
        self._tokens = max(0.0, self._tokens - tokens)
        slots = self._slots
        while slots and slots[0].tokens <= tokens:
            tokens -= slots.pop(0).tokens
        if slots:
            slots[0].tokens -= tokens


class QuotaPools:
    """Keep the pools that other daemons, or this one, choose this daemon for.

    Requests from all daemons are served. Only deposited tokens are handed out, so the bound also
    holds while two daemons keep the same pool.
    """

    def __init__(self, limited_teams: LimitedTeams, bounds: Callable[[], QuotaBounds]) -> None:
        self._limited_teams = limited_teams
        self._bounds = bounds
        self._teams: Mapping[str, MeshTeam] = {}
        self._bounds_in_force = bounds()
        self._stocks_by_pool: dict[int, dict[str, TeamStock]] = {}
        # The teams whose tokens a daemon deposits in a pool.
        self._teams_by_pool_and_sender: dict[tuple[int, InstanceId], list[MeshTeam]] = {}

    def handle(
        self, request: QuotaRequest, sender: InstanceId, daemons: int, now: Millis
    ) -> QuotaGrant:
        """Take the deposit of `sender` and hand out what it wants and the pool has.

        `daemons` is the number of daemons that this one knows. A team that is unknown here is
        missing in the grant.
        """
        self._follow_limits()
        stocks = self._stocks_by_pool.setdefault(request.pool, {})
        self._take_deposit(request, stocks, sender, max(daemons, request.daemons, 1), now)
        for returned in request.returned:
            stock = self._stock(stocks, returned.team, now)
            if stock is not None:
                stock.put_back(returned.tokens, Millis(now - returned.age_ms), now)
        grants = [self._grant(stocks, wanted, now) for wanted in request.wanted]
        return QuotaGrant(request.serial, [grant for grant in grants if grant is not None])

    def _take_deposit(
        self,
        request: QuotaRequest,
        stocks: dict[str, TeamStock],
        sender: InstanceId,
        daemons: int,
        now: Millis,
    ) -> None:
        share = min(max(request.minted_ms, 0.0), MAX_MINTED_MS) / MILLIS_PER_SECOND / daemons
        if not share and not request.fill:
            return
        for team in self._teams_of(request.pool, sender):
            stock = self._stock(stocks, team.name, now)
            if request.fill:
                stock.add(self._bounds_in_force.capacity(team) * FILLED_SHARE / daemons, now)
            stock.deposit(team.rate_per_s * share, now)

    def _grant(
        self, stocks: dict[str, TeamStock], wanted: TeamTokens, now: Millis
    ) -> TeamGrant | None:
        stock = self._stock(stocks, wanted.team, now)
        if stock is None:
            return None
        granted, age_ms = stock.take(int(wanted.tokens), now)
        missing = int(wanted.tokens) - granted
        retry_after_ms = stock.promise(missing, now) if missing > 0 else 0.0
        return TeamGrant(wanted.team, granted, round(retry_after_ms, 1), round(age_ms + 0.05, 1))

    def _stock(self, stocks: dict[str, TeamStock], name: str, now: Millis) -> TeamStock | None:
        """Return the tokens of the team `name`, or None if it has no limit in force here."""
        stock = stocks.get(name)
        if stock is None:
            team = self._teams.get(name)
            if team is not None:
                stock = stocks[name] = TeamStock(team, self._bounds_in_force, now)
        return stock

    def _teams_of(self, pool: int, sender: InstanceId) -> list[MeshTeam]:
        key = pool, sender
        teams = self._teams_by_pool_and_sender.get(key)
        if teams is None:
            teams = [team for team in self._teams.values() if pool_of(team, sender) == pool]
            self._teams_by_pool_and_sender[key] = teams
        return teams

    def _follow_limits(self) -> None:
        """Follow changes of the teams and bounds in force."""
        teams, bounds = self._limited_teams(), self._bounds()
        if teams is self._teams and bounds == self._bounds_in_force:
            return
        self._teams, self._bounds_in_force = teams, bounds
        self._teams_by_pool_and_sender.clear()
        for stocks in self._stocks_by_pool.values():
            for name in list(stocks):
                if name in teams:
                    stocks[name].set_limit(teams[name], bounds)
                else:
                    del stocks[name]
