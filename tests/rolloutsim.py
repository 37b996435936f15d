"""Simulate a rollout: daemons with their rollouts, links, gates, callers and a store."""

import random
from collections import Counter

from platformwire import edge
from simulation import Simulation

from egretworks.clock import Millis
from egretworks.exceptions import ObjectConflict, PlatformUnavailable
from egretworks.linkframes import LINK_PROTOCOL
from egretworks.metrics import Metrics
from egretworks.rollout import RolloutBounds
from egretworks.rolloutcontrol import Rollouts
from egretworks.rolloutstate import RolloutHost
from egretworks.rows import DaemonRow, RowTable, TargetRow
from egretworks.storesync import Stored

SERVICE, OLD, NEW = "ledger", "v1", "v2"
BOUNDS = RolloutBounds(0.1, 50.0)
LINK_MS = 5.0
TICK_MS = 50.0
ROLLBACK_MS = 5_000.0
TIMEOUT_MS = 2_000.0


class SimStore:
    """Hold the order; `mode` is `up`, `away`, or `mute` if answers of writes are lost."""

    era = 0

    def __init__(self):
        self.mode = "up"
        self.revision = 0
        self.spec = self.status = None
        self.writes = []

    def order(self, version, duration_s):
        self.revision += 1
        self.spec = b'{"service": "%s", "targetVersion": "%s", "durationS": %d}' % (
            SERVICE.encode(),
            version.encode(),
            duration_s,
        )
        self.status = b"null"

    def read(self, kind, name):
        self._check("away")
        return Stored(name, self.revision, self.spec, False, self.status)

    def replace_status(self, kind, name, status, revision):
        self._check("away")
        if revision != self.revision:
            raise ObjectConflict("another revision")
        self.revision += 1
        self.status = status
        self.writes.append(status)
        if self.mode == "mute":
            self.mode = "up"
            raise PlatformUnavailable("timed out")
        return Stored(name, self.revision, self.spec, False, status)

    def _check(self, mode):
        if self.mode == mode:
            raise PlatformUnavailable("away")

    @property
    def phase(self):
        if self.status in (None, b"null"):
            return None
        return edge().decode_order(self.spec, self.status).phase.value


class SimTimeline:
    def __init__(self, time):
        self.time, self.events = time, []

    def record(self, kind, **facts):
        self.events.append((self.time.now, kind, facts))


class SimPeer:
    """A link from one daemon to another."""

    def __init__(self, mesh, sender, receiver, protocol=LINK_PROTOCOL):
        self.mesh, self.sender, self.receiver, self.peer_protocol = mesh, sender, receiver, protocol

    def send_frame(self, frame):
        self.mesh.time.call_later(LINK_MS, self.receiver.receive, self.sender, frame)


class SimDaemon:
    def __init__(self, mesh, id, version, centre="dc", born=1_000):
        self.mesh, self.id, self.version = mesh, id, version
        target = TargetRow(f"t-{id}", born, SERVICE, 4, True, False, version) if version else None
        row = DaemonRow(id, centre, "127.0.0.1", 1, 1, 0, target=target)
        self.rows = RowTable(row)
        self.paused = False
        self.running = 0
        self.slowed_links_ms = 0.0
        # Daemons that it takes for unreachable.
        self.unseen = set()
        # Returns by how much its target is slower at a time.
        self.slowness = lambda now: 1.0
        self.timeline = SimTimeline(mesh.time)
        self.metrics = Metrics()
        self.start()

    def start(self):
        """Start the daemon, also again without what it knew."""
        self.rollouts = Rollouts(
            RolloutHost(
                *(self, self.mesh.random, self.timeline, self.metrics, edge(), self.rows),
                lambda: self,
                lambda: True,
                lambda: BOUNDS,
                lambda: self.running,
                lambda function, *arguments: self.mesh.time.call_later(20.0, function, *arguments),
            )
        )
        self.rollouts.lead.store = self.mesh.store

    def restart(self):
        """Run the daemon again; it gets what its peers know when their links are up."""
        self.rows.change_own(incarnation=self.rows.own.incarnation + 1)
        for other in self._others():
            other.rows.merge([self.rows.own])
            other.rollouts.on_rows_changed()
        self.start()
        for other in self._others():
            other.rollouts.on_link(SimPeer(self.mesh, other, self))

    # The clock

    def now(self):
        return Millis(self.mesh.time.now)

    # RolloutLinks

    def reachable_rows(self):
        return [each.rows.own for each in self._others() if each.id not in self.unseen]

    def send_stage(self, frame):
        for other in self._others():
            SimPeer(self.mesh, self, other).send_frame(frame)

    def pass_on_stage(self, frame, *, from_near):
        pass

    def send_evidence(self, frame, leader, *, forward):
        for other in self._others():
            if other.id == leader:
                SimPeer(self.mesh, self, other).send_frame(frame)

    def _others(self):
        return [each for each in self.mesh.daemons if each is not self and not each.paused]

    def receive(self, sender, frame):
        """Handle a frame; those to a paused daemon wait in its sockets."""
        if self.paused:
            self.mesh.time.call_later(TICK_MS, self.receive, sender, frame)
        elif self.slowed_links_ms:
            self.mesh.time.call_later(self.slowed_links_ms, self._handle, frame)
        else:
            self._handle(frame)

    def _handle(self, frame):
        if type(frame).__name__ == "RolloutStage":
            self.rollouts.on_stage(frame, near=True)
        else:
            self.rollouts.on_evidence(frame)

    def tick(self):
        if not self.paused:
            self.rollouts.tick(self.now())

    # A destination and its target

    @property
    def name(self):
        return self.id

    service = SERVICE


class Run:
    """A request that a target has been sent."""

    def __init__(self, sent_at, version, bad):
        self.sent_at, self.version, self.bad = sent_at, version, bad


class RolloutMesh:
    """Daemons of which each has a target of the old or the new version."""

    def __init__(self, *, old=6, new=6, rate=60.0, duration_s=12, seed=1):
        self.time = Simulation()
        self.random = random.Random(seed)
        self.store = SimStore()
        self.rate, self.duration_s = rate, duration_s
        self.daemons = []
        for number in range(old):
            self.daemons.append(SimDaemon(self, f"a{number:02}", OLD))
        for number in range(new):
            self.daemons.append(SimDaemon(self, f"b{number:02}", NEW, born=1_000_000))
        for daemon in self.daemons:
            daemon.rows.merge(each.rows.own for each in self.daemons)
        self.runs, self.requests, self.refused = [], [], 0
        self.stopped_running = None
        self.completed_at = None
        # Returns (bad, time in ms) of an answer of the new version.
        self.behaviour = lambda route, age_ms, running: (False, None)
        self.old_took_ms = 40.0
        # Share of failures of any version.
        self.background = 0.0
        self.ordered_at = None
        self.sent_to_old_after_stop = 0
        self._tick()
        self._request()

    def daemon(self, id):
        return next(each for each in self.daemons if each.id == id)

    def order(self, version=NEW):
        """Give the order; a leader notices it within half a second."""
        self.store.order(version, self.duration_s)
        if self.ordered_at is None:
            self.ordered_at = self.time.now

    def run_for(self, ms):
        self.time.run_for(ms)

    def play(self, behaviour=None):
        """Run for two seconds, then an order until shortly after its deadline."""
        if behaviour is not None:
            self.behaviour = behaviour
        self.run_for(2_000)
        self.order()
        self.run_for(self.duration_s * 1_000 + 500)

    def _tick(self):
        self.time.call_later(TICK_MS, self._tick)
        for daemon in self.daemons:
            daemon.tick()
        if self.store.phase == "completed" and self.completed_at is None:
            self.completed_at = self.time.now
            old = [each for each in self.daemons if each.version == OLD]
            self.stopped_running = sum(each.running for each in old)
        if self.store.mode != "away" and self.store.spec and self.time.now % 500 < TICK_MS:
            for daemon in self.daemons:
                if not daemon.paused and daemon.rollouts.lead.is_leader():
                    daemon.rollouts.lead.on_objects([self.store.read("rollouts", SERVICE)])

    def _request(self):
        self.time.call_later(self.random.expovariate(self.rate) * 1_000, self._request)
        caller = self.random.choice([each for each in self.daemons if not each.paused])
        route = self.random.choices(("view", "give"), (0.8, 0.2))[0]
        versions = caller.rollouts.begin_call(SERVICE)
        self.requests.append(self.time.now)
        self._offer(caller, versions, route, self.time.now, [])

    def _offer(self, caller, versions, route, sent_at, tried):
        up = [each for each in self.daemons if not each.paused and each.version]
        allowed = versions.allowed(up, first=not tried) if versions else up
        untried = [each for each in allowed if each not in tried]
        if not untried or len(tried) >= 10:
            self.refused += 1
            return
        destination = min(
            self.random.sample(untried, min(2, len(untried))), key=lambda each: each.running
        )
        tried = [*tried, destination]
        self.time.call_later(
            LINK_MS, self._arrive, caller, versions, route, sent_at, tried, destination
        )

    def _arrive(self, caller, versions, route, sent_at, tried, destination):
        rollouts = destination.rollouts
        if not (rollouts.admits(destination) and rollouts.take(destination)):
            caller.rollouts.on_not_serving(SERVICE, destination.id)
            self._offer(caller, versions, route, sent_at, tried)
            return
        if self.completed_at is not None and destination.version == OLD:
            self.sent_to_old_after_stop += 1
        took_ms = None
        bad = self.random.random() < self.background
        if destination.version == NEW:
            age_ms = self.time.now - (self.ordered_at or 0)
            fails, took_ms = self.behaviour(route, age_ms, destination.running)
            bad = bad or fails
        if took_ms is None:
            took_ms = 40.0 if destination.version == NEW else self.old_took_ms
        took_ms *= self.random.lognormvariate(0, 0.4) * destination.slowness(self.time.now)
        destination.running += 1
        run = Run(sent_at, destination.version, bad)
        self.runs.append(run)
        run.bad = run.bad or took_ms > TIMEOUT_MS
        ends_in_ms = min(took_ms, TIMEOUT_MS)
        self.time.call_later(ends_in_ms, self._end, destination, route, took_ms, run)

    def _end(self, destination, route, took_ms, run):
        destination.running -= 1
        run.ended_at = self.time.now
        if took_ms > TIMEOUT_MS:
            destination.rollouts.on_lost(destination, route, TIMEOUT_MS)
        else:
            destination.rollouts.on_answer(destination, route, took_ms, failed=run.bad)

    # What is checked

    @property
    def new_runs(self):
        """Return how many requests the new version got between the order and its deadline."""
        return sum(run.version == NEW for run in self.runs)

    @property
    def bound(self):
        deadline = self.ordered_at + self.duration_s * 1_000
        requests = sum(self.ordered_at <= at <= deadline for at in self.requests)
        return BOUNDS.share * requests + BOUNDS.slack

    @property
    def late_runs(self):
        """Return how many requests the new version got too long after its 50th bad response."""
        bad = sorted(run.ended_at for run in self.runs if run.bad and hasattr(run, "ended_at"))
        if len(bad) < 50:
            return 0
        return sum(run.version == NEW and run.sent_at > bad[49] + ROLLBACK_MS for run in self.runs)

    def steps(self):
        """Return when each step was first decided, in ms since the order."""
        steps = {}
        for daemon in self.daemons:
            for at, kind, event in daemon.timeline.events:
                if kind == "rollout_decided":
                    step = event["facts"]["step"]
                    steps[step] = min(at - self.ordered_at, steps.get(step, 1e9))
        return steps

    def counts(self):
        """Return how many runs each version had."""
        return Counter(run.version for run in self.runs)
