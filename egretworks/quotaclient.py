"""Get quota tokens for callers' requests from the pools, over links to the daemons that keep them.

Requests that wait for tokens of one pool are sent in one frame; those that arrive before its answer
are sent in the next. Without an answer the next daemon in rank is asked, and then this daemon's own
share is used.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from enum import Enum
from itertools import count
from typing import Protocol

import msgspec

from egretworks.clock import MILLIS_PER_SECOND, Clock, Millis
from egretworks.exceptions import NotReady, OverQuota
from egretworks.linkframes import (
    PARTS_PROTOCOL,
    Frame,
    QuotaGrant,
    QuotaRequest,
    TeamGrant,
    TeamTokens,
)
from egretworks.metrics import Metrics
from egretworks.quotapool import GRANT_TIMEOUT_MS, MAX_TRANSIT_MS, QuotaBounds, QuotaPools
from egretworks.quotashare import POOLS, QuotaShare, pool_of, rank_keepers, shard_count
from egretworks.rows import RowTable
from egretworks.teams import MeshTeam
from egretworks.types import InstanceId, RandomSource

# Interval at which minted time is deposited without a request. With the delay of a timer it must
# stay below `quotashare.MAX_MINTED_MS`.
DEPOSIT_MS = 380
# The same while tokens wait to be returned, since they expire.
RETURN_MS = 200
# A daemon that did not answer in time is not asked again for this long.
# Meanwhile its pool fills at the next one; a return at once would lose what that has.
AVOIDED_MS = 2_000
# The same for a daemon to which the link was not up in time; it may be up soon.
CONNECTING_AVOIDED_MS = 500
# A request is sent to this many daemons before this daemon's own share is used.
# Each costs `GRANT_TIMEOUT_MS` of the time that the caller has.
MAX_ATTEMPTS = 2
# Retry times are extended randomly by up to this share, so that callers that are refused together
# don't retry together.
RETRY_AFTER_JITTER = 0.25
MIN_RETRY_AFTER_MS = 30.0
# This many teams, those that have used most tokens, have a gauge each; the others are summed.
TOP_TEAMS = 5


class QuotaPeer(Protocol):
    """The end of a link to another daemon."""

    # The `LINK_PROTOCOL` of the peer; 0 until it is known.
    peer_protocol: int

    @property
    def usable(self) -> bool:
        """Return whether the link is up."""

    @property
    def failed(self) -> bool:
        """Return whether the link is down and could not be opened again."""

    def send_frame(self, frame: Frame) -> None:
        """Send `frame` if the link is up."""


class QuotaHost(msgspec.Struct, frozen=True):
    """Hold the parts of the daemon that the quota client uses."""

    clock: Clock
    random: RandomSource
    metrics: Metrics
    rows: RowTable
    # Returns the teams in force; None if the configuration defines none.
    teams: Callable[[], Mapping[str, MeshTeam] | None]
    bounds: Callable[[], QuotaBounds]
    # Returns the link to a daemon, or None.
    link: Callable[[InstanceId], QuotaPeer | None]
    # Whether this daemon has certainly not run before.
    first_start: bool


class TicketState(Enum):
    """Tell whether a request waits for a token, has one, or no longer needs one."""

    WAITING = "waiting"
    GRANTED = "granted"
    ENDED = "ended"


class QuotaTicket:
    """Hold a caller's request while it waits for a token, and the token that it got.

    `decide` is called once, unless the ticket is cancelled before: with None if the request has a
    token, else with the error to answer and the milliseconds after which the caller should retry.
    """

    def __init__(
        self, team: MeshTeam, decide: Callable[[OverQuota | NotReady | None, float], None]
    ) -> None:
        self.team = team
        self.decide = decide
        self.state = TicketState.WAITING
        self.pool = 0
        self.asked_at = Millis(0)
        # Number of daemons that were asked for the token and did not answer.
        self.attempts = 0
        # Earliest time at which the token can have come into the pool.
        self.minted_at = Millis(0)


class _Pending(msgspec.Struct):
    """Hold a request to a pool that is not answered yet."""

    serial: int
    keeper: InstanceId
    sent_at: Millis
    tickets: list[QuotaTicket]


class _Pool:
    """Hold the state of this daemon as a client of one pool."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.waiting: list[QuotaTicket] = []
        self.pending: _Pending | None = None
        self.returned: list[QuotaTicket] = []
        self.sent_at = Millis(0)
        self.ranked: list[InstanceId] = []

    @property
    def deposit_ms(self) -> float:
        """Return the interval at which this daemon deposits without a request."""
        return RETURN_MS if self.returned else DEPOSIT_MS


class QuotaClient:
    """Decide which callers' requests are within the quotas of their teams."""

    def __init__(self, host: QuotaHost) -> None:
        self._host = host
        self._own_id = host.rows.own.id
        self._share = QuotaShare(first_start=host.first_start)
        self._pools = [_Pool(number) for number in range(POOLS)]
        # The pools that this daemon keeps, and those it uses for its own share when no other daemon
        # answers.
        self._kept = QuotaPools(self.limited_teams, host.bounds)
        self._local = QuotaPools(self.limited_teams, host.bounds)
        self._avoided_until_by_id: dict[InstanceId, Millis] = {}
        self._serials = count(1)
        self._ranked_ids: frozenset[InstanceId] = frozenset()
        self._updated_at: Millis | None = None
        self._ticked_at = host.clock.now()
        self._teams: Mapping[str, MeshTeam] | None = None
        self._limited: dict[str, MeshTeam] = {}
        self._granted_by_team: Counter[str] = Counter()

    def limited_teams(self) -> Mapping[str, MeshTeam]:
        """Return the teams in force that have a quota; the same object until they change."""
        teams = self._host.teams()
        if teams is not self._teams:
            self._teams = teams
            limited = (team for team in (teams or {}).values() if team.limited)
            self._limited = {team.name: team for team in limited}
            for name in self._granted_by_team.keys() - self._limited.keys():
                del self._granted_by_team[name]
        return self._limited

    @property
    def in_use(self) -> bool:
        """Return whether the configuration in force has teams with a quota."""
        return bool(self.limited_teams())

    def submit(self, ticket: QuotaTicket) -> None:
        """Get a token for the request of `ticket`."""
        now = self._host.clock.now()
        if self._updated_at is None:
            self._update(now)
        pool = self._pools[pool_of(ticket.team, self._own_id)]
        ticket.pool, ticket.asked_at = pool.number, now
        pool.waiting.append(ticket)
        if pool.pending is None:
            self._send_waiting(pool, now)

    def end(self, ticket: QuotaTicket, *, not_run: bool = False) -> None:
        """End a request, which no longer waits for a token; give its token back if `not_run`."""
        if ticket.state is TicketState.GRANTED and not_run:
            self._pools[ticket.pool].returned.append(ticket)
        ticket.state = TicketState.ENDED

    def handle(self, frame: QuotaRequest | QuotaGrant, link: QuotaPeer, peer: InstanceId) -> None:
        """Serve the request of another daemon, or take its grant."""
        now = self._host.clock.now()
        if isinstance(frame, QuotaGrant):
            self._on_grant(frame, peer, now)
        elif peer and 0 <= frame.pool < POOLS:
            grant = self._kept.handle(frame, peer, self._share.daemons, now)
            if frame.wanted:
                link.send_frame(grant)

    def tick(self, now: Millis) -> None:
        """Time out requests to pools, and make the deposits that are due at `now`."""
        in_use = self.in_use
        if in_use and (self._updated_at is None or now - self._updated_at >= DEPOSIT_MS):
            self._update(now)
        paused = now - self._ticked_at >= GRANT_TIMEOUT_MS
        self._ticked_at = now
        for pool in self._pools:
            pending = pool.pending
            if pending is not None:
                if now - pending.sent_at >= GRANT_TIMEOUT_MS:
                    self._time_out(pool, now, avoid=not paused)
            elif pool.waiting or (in_use and now - pool.sent_at >= pool.deposit_ms):
                self._send_waiting(pool, now)

    def uses(self) -> Iterator[tuple[str, int]]:
        """Yield the number of tokens used by each of the top teams, and by the `others`."""
        top = self._granted_by_team.most_common(TOP_TEAMS)
        yield from top
        others = self._granted_by_team.total() - sum(number for _, number in top)
        if others:
            yield "others", others

    def _update(self, now: Millis) -> None:
        """Update the share and the ranks of keepers from the rows."""
        rows = self._host.rows
        self._share.update(rows.own, rows.all_rows(), now, rows.listed)
        self._updated_at = now
        if self._share.ids != self._ranked_ids:
            self._ranked_ids = self._share.ids
            for pool in self._pools:
                pool.ranked = rank_keepers(self._ranked_ids, pool.number)

    def _send_waiting(self, pool: _Pool, now: Millis) -> None:
        """Deposit in `pool`, and ask for the tokens of all requests that wait."""
        tickets = [ticket for ticket in pool.waiting if ticket.state is TicketState.WAITING]
        pool.waiting = tickets
        keeper = self._keeper(pool, now)
        if keeper is None:
            return
        pool.waiting = []
        pool.sent_at = now
        transit_ms = 0.0 if keeper == self._own_id else MAX_TRANSIT_MS
        request = self._make_request(pool, tickets, now, transit_ms)
        if keeper == self._own_id:
            grant = self._kept.handle(request, keeper, self._share.daemons, now)
            self._settle(tickets, grant, now, now)
            return
        if tickets:
            pool.pending = _Pending(request.serial, keeper, now, tickets)
        self._host.link(keeper).send_frame(request)

    def _keeper(self, pool: _Pool, now: Millis) -> InstanceId | None:
        """Return the first daemon in rank that works, or None to wait until its link is up."""
        for id in pool.ranked:
            if id == self._own_id:
                return id
            if self._avoided_until_by_id.get(id, now) > now:
                continue
            link = self._host.link(id)
            if link is None or link.failed or 0 < link.peer_protocol < PARTS_PROTOCOL:
                continue
            if link.usable:
                return id
            oldest = min((ticket.asked_at for ticket in pool.waiting), default=now)
            if now - oldest < GRANT_TIMEOUT_MS:
                return None
            self._avoided_until_by_id[id] = Millis(now + CONNECTING_AVOIDED_MS)
        return self._own_id

    def _make_request(
        self, pool: _Pool, tickets: Iterable[QuotaTicket], now: Millis, transit_ms: float
    ) -> QuotaRequest:
        """Return the request for `pool`, which may be on its way for `transit_ms`.

        It adds `transit_ms` to the age of returned tokens, so the transfer extends no lifetime.
        """
        wanted = Counter(ticket.team.name for ticket in tickets)
        returned, pool.returned = pool.returned, []
        return QuotaRequest(
            next(self._serials),
            pool.number,
            round(self._share.mint(pool.number, now), 3),
            [TeamTokens(team, number) for team, number in wanted.items()],
            [
                TeamTokens(ticket.team.name, 1, now - ticket.minted_at + transit_ms)
                for ticket in returned
            ],
            self._share.daemons,
            self._share.take_fill(pool.number),
            now,
        )

    def _on_grant(self, grant: QuotaGrant, peer: InstanceId, now: Millis) -> None:
        for pool in self._pools:
            pending = pool.pending
            if pending is not None and (pending.serial, pending.keeper) == (grant.serial, peer):
                break
        else:
            # The request has been timed out, and its tokens are lost.
            return
        if now - pending.sent_at >= GRANT_TIMEOUT_MS:
            self._time_out(pool, now, avoid=now - self._ticked_at < GRANT_TIMEOUT_MS)
            return
        pool.pending = None
        self._settle(pending.tickets, grant, pending.sent_at, now)
        if pool.waiting and pool.pending is None:
            self._send_waiting(pool, now)

    def _time_out(self, pool: _Pool, now: Millis, *, avoid: bool) -> None:
        """Abandon the pending request, and ask the next daemon or use this daemon's own share.

        `avoid` is false if this daemon was paused, as the other one may have answered in time.
        """
        pending, pool.pending = pool.pending, None
        if avoid:
            self._avoided_until_by_id[pending.keeper] = Millis(now + AVOIDED_MS)
        self._host.metrics.count("quota_pool_timeouts")
        again, given_up = [], []
        for ticket in pending.tickets:
            if ticket.state is TicketState.WAITING:
                ticket.attempts += 1
                (again if ticket.attempts < MAX_ATTEMPTS else given_up).append(ticket)
        pool.waiting = again + pool.waiting
        if given_up:
            self._use_local_share(pool, given_up, now)
        if pool.pending is None:
            self._send_waiting(pool, now)

    def _use_local_share(self, pool: _Pool, tickets: list[QuotaTicket], now: Millis) -> None:
        request = self._make_request(pool, tickets, now, 0.0)
        grant = self._local.handle(request, self._own_id, self._share.daemons, now)
        tokens_only = [
            TeamGrant(each.team, each.tokens, 0.0, each.age_ms) for each in grant.granted
        ]
        self._settle(tickets, QuotaGrant(0, tokens_only), now, now, reached=False)

    def _settle(
        self,
        tickets: Collection[QuotaTicket],
        grant: QuotaGrant,
        sent_at: Millis,
        now: Millis,
        *,
        reached: bool = True,
    ) -> None:
        """Grant or refuse the waiting requests; return tokens of those that have ended.

        `reached` is false if no pool answered, so that it isn't known whether teams are over quota.
        """
        grant_by_team = {each.team: each for each in grant.granted}
        left_by_team = {each.team: each.tokens for each in grant.granted}
        refused_by_team: Counter[str] = Counter()
        # Requests that still wait come first, and get the tokens of those that have ended.
        for ticket in sorted(tickets, key=lambda each: each.state is not TicketState.WAITING):
            name = ticket.team.name
            granted = grant_by_team.get(name)
            if granted is not None and left_by_team[name] > 0:
                left_by_team[name] -= 1
                ticket.minted_at = Millis(sent_at - granted.age_ms)
                self._grant(ticket)
            elif ticket.state is TicketState.WAITING:
                known = reached and granted is not None and self._share.minting
                place = refused_by_team[name]
                refused_by_team[name] += 1
                self._refuse(ticket, granted if known else None, place)

    def _grant(self, ticket: QuotaTicket) -> None:
        if ticket.state is not TicketState.WAITING:
            # The caller has left meanwhile.
            self._pools[ticket.pool].returned.append(ticket)
            return
        ticket.state = TicketState.GRANTED
        self._granted_by_team[ticket.team.name] += 1
        self._host.metrics.count("quota_granted")
        ticket.decide(None, 0.0)

    def _refuse(self, ticket: QuotaTicket, granted: TeamGrant | None, place: int) -> None:
        """Refuse a request; `place` counts those of its team that were refused before it.

        `granted` is None if it isn't known whether the team is over its quota.
        """
        ticket.state = TicketState.ENDED
        if granted is None:
            self._host.metrics.count("quota_unknown")
            ticket.decide(NotReady("no pool of quota tokens answered"), 0.0)
            return
        self._host.metrics.count("quota_refused")
        rate = ticket.team.rate_per_s / shard_count(ticket.team)
        after_ms = granted.retry_after_ms + place * MILLIS_PER_SECOND / rate
        after_ms = min(after_ms, self._host.bounds().window_ms)
        after_ms *= 1 + RETRY_AFTER_JITTER * self._host.random.random()
        message = f"team {ticket.team.name} is over its quota of {ticket.team.rate_per_s:g}/s"
        ticket.decide(OverQuota(message), max(MIN_RETRY_AFTER_MS, after_ms))
