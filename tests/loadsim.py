"""Play loads on whole meshes: real forwarders and gates, with simulated targets, links and time."""

import math
import random
from bisect import bisect_left
from collections import Counter, defaultdict

import msgspec
from platformwire import edge
from simdaemons import SimDaemon, SimExchange, SimLink
from simulation import SimClock, Simulation

from egretworks import forwardedcall, gate, healthchecks
from egretworks.httpwire import Request
from egretworks.linkplan import LinkPurpose, plan_links
from egretworks.meshroutes import MeshConfig, MeshRoute, MeshService, Share
from egretworks.types import Repeat, Version

HOST = "pool.example"
CLIENT_DELAY_MS = 8.0
# Callers wait as long as they are told, up to this share of the time that they have left.
MAX_HONOURED_SHARE = 1 / 3


class Kind(msgspec.Struct):
    """A kind of request."""

    name: str
    service: str
    work_ms: float
    objective_ms: float
    deadline_ms: float
    worth: float = 1.0
    late_worth: float = 0.3
    priority: int = 1
    retries: int = 2
    idempotent: bool = True
    work_spread: float = 0.3
    # A kind that this share of the runs of this one requests on their way, one request at a time.
    calls: str = ""
    calls_share: float = 0.0
    calls_times: int = 1


class Load(msgspec.Struct):
    """Requests a second of a kind from one data centre, as a wave."""

    kind: str
    data_centre: str
    per_s: float
    swing: float = 0.0
    period_ms: float = 13_000.0
    phase: float = 0.0

    def rate(self, now):
        wave = math.sin(2 * math.pi * (now / self.period_ms + self.phase))
        return self.per_s * (1 + self.swing * wave)


class Result(msgspec.Struct):
    """What became of the requests of a kind."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    refusals: int = 0
    # For the requests that were never served: the time for which the mesh held them.
    held_ms: float = 0.0
    credit: float = 0.0
    owed: float = 0.0
    # Times of the served requests.
    took_ms: list[float] = []


class RetryRecord:
    """Hold when requests for each service were sent, and when retries of them arrived.

    A call that a target makes in a retry is itself a retry at the service called, also when it
    arrives for the first time. It isn't counted as a request.
    """

    def __init__(self):
        self.requests_by_service = defaultdict(list)
        self.retries_by_service = defaultdict(list)
        self._retried_ids = set()
        self._arrived_ids = set()

    def add_request(self, service, id, now, for_retry):
        if for_retry:
            self._retried_ids.add(id)
        else:
            self.requests_by_service[service].append(now)

    def add_arrival(self, service, id, now):
        """Count an arrival at a target, and return whether it is a retry."""
        is_retry = id in self._arrived_ids or id in self._retried_ids
        self._arrived_ids.add(id)
        if is_retry:
            self.retries_by_service[service].append(now)
        return is_retry

    def worst_excess(self, service, ratio, slack, window_ms):
        """Return by how many retries the worst window exceeds `ratio` and `slack`.

        The requests of a window, of the one before it or of the one half a window before it count,
        whichever are most.
        """
        requests, retries = self.requests_by_service[service], self.retries_by_service[service]

        def within(times, start):
            return bisect_left(times, start + window_ms) - bisect_left(times, start)

        worst = -slack
        for start in retries:
            starts = (start, start - window_ms / 2, start - window_ms)
            allowed = ratio * max(within(requests, at) for at in starts) + slack
            worst = max(worst, within(retries, start) - allowed)
        return worst


def sum_of(results):
    """Return the sum of `results`."""
    total = Result()
    for result in results:
        for field in Result.__struct_fields__:
            setattr(total, field, getattr(total, field) + getattr(result, field))
    return total


class Mesh:
    """A mesh of daemons with targets, under open-loop load."""

    def __init__(self, monkeypatch, kinds, seed=1):
        self.time = Simulation()
        for module in (forwardedcall, gate, healthchecks):
            monkeypatch.setattr(module, "call_later", self.time.call_later)
        self.clock = SimClock(self.time)
        self.random = random.Random(seed)
        self.edge = edge()
        self.kinds = {kind.name: kind for kind in kinds}
        self.version = Version(1)
        self.daemons = []
        self.kind_by_id = {}
        self.result_by_kind = defaultdict(Result)
        self.arrivals = Counter()
        # No new requests are made from then on.
        self.load_ends_at = math.inf
        # See `SlowMoments`; None for none.
        self.slow_moments = None
        self.retry_record = RetryRecord()
        self._calls = 0
        self.config = MeshConfig(
            Version(1), (), {k.service: MeshService(k.service, "/h", 100) for k in kinds}
        )
        self.index = self
        self.teams = None
        self._routes = {
            f"/{kind.name}/": MeshRoute(
                *(kind.name, HOST, f"/{kind.name}/"),
                Repeat.IDEMPOTENT if kind.idempotent else Repeat.ONCE,
                *(kind.deadline_ms, kind.objective_ms, kind.priority, 3),
                (Share(kind.service, 1.0),),
            )
            for kind in kinds
        }

    def find(self, host, path):
        return self._routes[path]

    def add(self, data_centre, service, slots, slowness=1.0):
        self.daemons.append(
            SimDaemon(self, len(self.daemons), data_centre, service, slots, slowness)
        )

    def link_all(self):
        for own in self.daemons:
            own.links = [SimLink(self, own, peer) for peer in self.daemons if peer is not own]

    def link_planned(self):
        """Link daemons as they would plan it themselves."""
        rows = {daemon.id: daemon.row for daemon in self.daemons}
        services = {daemon.service for daemon in self.daemons}
        for own in self.daemons:
            others = [row for id, row in rows.items() if id != own.id]
            planned = plan_links(own.row, others, services, lambda id: False)
            own.links = [
                SimLink(self, own, peer)
                for peer in self.daemons
                if planned.get(peer.id) in (LinkPurpose.NEAR, LinkPurpose.SERVICE)
            ]

    def apply(self, load):
        peak = load.per_s * (1 + load.swing)

        def arrive():
            if self.time.now >= self.load_ends_at:
                return
            self.time.call_later(self.random.expovariate(peak) * 1_000, arrive)
            if self.random.random() * peak < load.rate(self.time.now):
                self._begin(load)

        self.time.call_later(self.random.expovariate(peak) * 1_000, arrive)

    def _begin(self, load):
        kind = self.kinds[load.kind]
        result = self.result_by_kind[kind.name]
        result.asked += 1
        result.owed += kind.worth
        self._try(kind, load.data_centre, self.time.now, kind.retries)

    def _try(self, kind, data_centre, began, retries, held_ms=0.0):
        local = [d for d in self.daemons if d.data_centre == data_centre]
        daemon = self.random.choice(local)
        left_ms = began + kind.deadline_ms - self.time.now
        sent_at = self.time.now

        def answered(response):
            self.time.call_later(CLIENT_DELAY_MS, receive, response)

        def receive(response):
            result = self.result_by_kind[kind.name]
            took_ms = self.time.now - began
            if response.status == 200:
                in_time = took_ms <= kind.objective_ms
                result.in_time += in_time
                result.late += not in_time
                result.credit += kind.worth if in_time else kind.late_worth
                result.took_ms.append(took_ms)
                return
            left_ms = kind.deadline_ms - took_ms
            held = held_ms + self.time.now - sent_at
            if response.status == 503:
                result.refusals += 1
            again = retries and (response.status == 503 or kind.idempotent)
            wait_ms = float(response.header(b"Retry-After") or 0) * 1_000
            wait_ms = min(wait_ms, left_ms * MAX_HONOURED_SHARE) + 5
            if again and left_ms - wait_ms > 50:
                self.time.call_later(
                    wait_ms, self._try, kind, data_centre, began, retries - 1, held
                )
            elif response.status == 503:
                result.refused += 1
                result.held_ms += held
            else:
                result.failed += 1

        self.time.call_later(CLIENT_DELAY_MS, self._send, daemon, kind, left_ms, answered)

    def send_nested(self, daemon, name, done, *, for_retry):
        """Send a call of the target of `daemon`, which it makes in a retry or a first run."""
        kind = self.kinds[name]
        result = self.result_by_kind[name]
        result.asked += 1
        sent_at = self.time.now

        def answered(response):
            ok = response.status == 200
            result.in_time += ok
            if ok:
                result.took_ms.append(self.time.now - sent_at)
            result.refused += response.status == 503
            result.failed += not ok and response.status != 503
            done(ok)

        self._send(daemon, kind, kind.deadline_ms, answered, for_retry)

    def _send(self, daemon, kind, left_ms, answered, for_retry=False):
        self._calls += 1
        id = f"c{self._calls}"
        self.kind_by_id[id] = kind.name
        self.retry_record.add_request(kind.service, id, self.time.now, for_retry)
        headers = [
            (b"host", HOST.encode()),
            (b"x-egret-attempt-id", id.encode()),
            (b"x-egret-deadline-ms", b"%d" % left_ms),
        ]
        request = Request("GET", f"/{kind.name}/".encode(), headers, b"", True)
        daemon.forwarder.serve(SimExchange(request, answered))

    @property
    def total(self):
        """Return the sum of the results of all kinds that callers request."""
        return sum_of(result for result in self.result_by_kind.values() if result.owed)
