"""Simulate the quotas of a mesh: real clients, shares and pools, with simulated links and time."""

import random
from bisect import bisect_left
from collections import Counter, defaultdict

from fleets import make_fleet
from simulation import SimClock, Simulation

from egretworks.linkframes import LINK_PROTOCOL, QuotaRequest
from egretworks.metrics import Metrics
from egretworks.quotaclient import QuotaClient, QuotaHost, QuotaTicket
from egretworks.quotapool import MAX_TRANSIT_MS, QuotaBounds
from egretworks.quotashare import pool_of, rank_keepers
from egretworks.rows import RowTable
from egretworks.teams import MeshTeam
from egretworks.transit import TransitEstimator

BOUNDS = QuotaBounds(5_000, 0.1, 20)
TICK_MS = 50
# A link on which nothing comes back is closed after about this time.
BROKEN_MS = 2_000


def make_teams(burst_share=1.0):
    """Return 71 teams of 1/s to 250/s."""
    rates = [250 ** (number / 70) for number in range(71)]
    teams = [MeshTeam(f"t{n}", (), 0, rate, rate * burst_share) for n, rate in enumerate(rates)]
    return {team.name: team for team in teams}


class SimLink:
    """One end of the link of a daemon to another one."""

    peer_protocol = LINK_PROTOCOL

    def __init__(self, own, peer):
        self.own, self.peer = own, peer
        self.transit = TransitEstimator()
        self.delay_ms = own.mesh.random.uniform(0.2, 2.5)
        self.back = None

    @property
    def usable(self):
        return not self.failed

    @property
    def failed(self):
        since = self.own.mesh.cut_since(self.own, self.peer)
        return since is not None and self.own.mesh.time.now - since > BROKEN_MS

    def send_frame(self, frame):
        if self.own.mesh.cut_since(self.own, self.peer, connected=True) is None:
            self.own.mesh.time.call_later(self.delay_ms, self.peer.receive, frame, self)


class SimDaemon:
    """A daemon that may be dead, frozen, or restarted."""

    def __init__(self, mesh, row):
        self.mesh, self.row, self.id = mesh, row, row.id
        self.links, self.unread = {}, []
        self.group = 0
        self.dead_since = self.frozen_since = None
        self.start(first_start=True)
        mesh.time.call_later(mesh.random.random() * TICK_MS, self.tick)

    def start(self, first_start, listed=True, rows=None):
        self.rows = RowTable(self.row)
        self.rows.merge(self.mesh.rows if rows is None else rows)
        self.rows.listed = listed
        self.client = QuotaClient(
            QuotaHost(
                *(SimClock(self.mesh.time), self.mesh.random, Metrics(), self.rows),
                lambda: self.mesh.teams,
                lambda: BOUNDS,
                self.link,
                first_start,
            )
        )

    def link(self, id):
        if id not in self.links and id in self.mesh.daemons:
            self.links[id] = SimLink(self, self.mesh.daemons[id])
        return self.links.get(id)

    def receive(self, frame, link):
        if self.frozen_since is not None:
            self.unread.append((frame, link))
        elif self.dead_since is None:
            now = self.mesh.time.now
            late = (
                isinstance(frame, QuotaRequest)
                and link.transit.queued_ms(frame.sent_at, now) > MAX_TRANSIT_MS
            )
            if not late:
                self.client.handle(frame, self.link(link.own.id), link.own.id)

    def tick(self):
        self.mesh.time.call_later(TICK_MS, self.tick)
        if self.dead_since is None and self.frozen_since is None:
            self.client.tick(self.mesh.time.now)

    def wake(self):
        self.frozen_since, unread, self.unread = None, self.unread, []
        for frame, link in unread:
            self.receive(frame, link)

    @property
    def working(self):
        return self.dead_since is None and self.frozen_since is None


class QuotaMesh:
    """Daemons with quota clients, and callers of the teams; records what passes."""

    def __init__(self, daemons, teams, seed=1):
        self.time, self.random, self.teams = Simulation(), random.Random(seed), teams
        self.rows = make_fleet(daemons, 3)
        self.daemons = {}
        for row in self.rows:
            self.daemons[row.id] = SimDaemon(self, row)
        self.all = list(self.daemons.values())
        self.passed, self.asked, self.refused = defaultdict(list), Counter(), defaultdict(list)
        self.unknown = Counter()

    def cut_since(self, one, other, connected=False):
        """Return since when nothing passes between two daemons, or None.

        With `connected`, what is sent to a frozen daemon waits there to be read.
        """
        if one.group != other.group:
            return self.cut_at
        return other.dead_since if connected else other.dead_since or other.frozen_since

    def cut_off(self, daemons, group=1):
        self.cut_at = self.time.now
        for daemon in daemons:
            daemon.group = group

    def keeper(self, team):
        """Return the daemon that keeps the pool of a team that is not split."""
        return self.daemons[rank_keepers(self.daemons, pool_of(self.teams[team], ""))[0]]

    def load(self, share, names=None, after=None):
        """Let teams send `share` of their limits, from now on; `after` gets each verdict."""
        for name in names or self.teams:
            self._arrive(name, self.teams[name].rate_per_s * share, self.loads, after)

    loads = 0

    def stop_load(self):
        self.loads += 1

    def _arrive(self, name, per_s, load, after):
        def arrive():
            if load == self.loads:
                self.request(name, after)
                self.time.call_later(self.random.expovariate(per_s) * 1_000, arrive)

        self.time.call_later(self.random.expovariate(per_s) * 1_000, arrive)

    def request(self, name, after=None, daemon=None):
        daemon = daemon or self.random.choice(self.all)
        if not daemon.working:
            return
        self.asked[name] += 1
        client = daemon.client

        def decide(error, after_ms):
            now = self.time.now
            if error is None:
                self.passed[name].append(now)
            elif error.http_status == 429:
                self.refused[name].append((now, after_ms))
            else:
                self.unknown[name] += 1
            if after is not None:
                after(client, ticket, error, after_ms)

        ticket = QuotaTicket(self.teams[name], decide)
        client.submit(ticket)

    def run_for(self, ms):
        self.time.run_for(ms)

    def forget(self):
        """Start the counts of requests anew; what has passed is kept."""
        self.asked.clear(), self.refused.clear(), self.unknown.clear()

    def refused_share(self, name=None):
        names = [name] if name else self.teams
        refused = sum(len(self.refused[each]) + self.unknown[each] for each in names)
        return refused / max(1, sum(self.asked[each] for each in names))

    def check_bound(self):
        """Check every window of every team; return the largest share of a bound that was used."""
        worst = 0.0
        for name, times in self.passed.items():
            team = self.teams[name]
            quota = team.rate_per_s * BOUNDS.window_ms / 1_000 + team.burst
            bound = quota * (1 + BOUNDS.overshoot) + BOUNDS.slack
            for first, start in enumerate(times):
                count = bisect_left(times, start + BOUNDS.window_ms) - first
                worst = max(worst, count / bound)
        assert worst <= 1.0, worst
        return worst
