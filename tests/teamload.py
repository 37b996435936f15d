"""Play the load of several teams on one gate's queue, with simulated time."""

import math
import random
from collections import Counter, defaultdict

import msgspec
from simulation import Simulation

from egretworks.gate import SWEEP_INTERVAL_MS
from egretworks.gatequeue import GateQueue, QueueEntry

ROUTE = "r"
WORK_MS, WORK_SPREAD = 50.0, 0.3
OBJECTIVE_MS, DEADLINE_MS = 400.0, 2_000.0


class TeamLoad(msgspec.Struct, frozen=True):
    """Requests a second of a team, as a share of what the target can do."""

    name: str
    demand: float
    weight: float = 1.0
    priority: int = 0


class TeamResults:
    """Hold what became of the requests of each team."""

    def __init__(self):
        self.asked = Counter()
        # Milliseconds from the arrival of each answered request to its answer.
        self.times = defaultdict(list)

    def served(self, *teams):
        """Return the share of the requests of `teams` that was answered."""
        asked = sum(self.asked[team] for team in teams)
        return sum(len(self.times[team]) for team in teams) / asked

    def mean_ms(self, *teams):
        times = self._times(teams)
        return sum(times) / len(times)

    def quantile_ms(self, quantile, *teams):
        times = sorted(self._times(teams))
        return times[int(quantile * len(times))]

    def _times(self, teams):
        return [time for team in teams for time in self.times[team]]


class TeamPlay:
    """Offer requests of teams to one queue; a team's requests are the same in every play."""

    def __init__(self, loads, slots, queue_type=GateQueue, seed=1):
        self.time, self.queue, self.results = Simulation(), queue_type(slots), TeamResults()
        self._callbacks = {}
        per_ms = slots / (WORK_MS * math.exp(WORK_SPREAD**2 / 2))
        for load in loads:
            self._arrive(load, load.demand * per_ms, random.Random(f"{load.name} {seed}"))
        self._sweep()

    def run(self, seconds):
        self.time.run_for(seconds * 1_000)
        return self.results

    def _arrive(self, load, per_ms, source):
        def arrive():
            self._offer(load, WORK_MS * source.lognormvariate(0, WORK_SPREAD))
            self.time.call_later(source.expovariate(per_ms), arrive)

        self.time.call_later(source.expovariate(per_ms), arrive)

    def _offer(self, load, work_ms):
        now = self.time.now
        self.results.asked[load.name] += 1
        objective_at, expires_at = now + OBJECTIVE_MS, now + DEADLINE_MS
        team = (load.name, load.priority, load.weight)
        entry = QueueEntry(ROUTE, 1, now, objective_at, expires_at, *team)
        decision = self.queue.enter(entry, now)
        if decision.run:
            self._run(load, now, work_ms)
        elif decision.wait:
            self._callbacks[entry] = (load, now, work_ms)

    def _run(self, load, arrived, work_ms):
        def end():
            self.results.times[load.name].append(self.time.now - arrived)
            self.queue.processing_times.record(ROUTE, work_ms)
            self.queue.release_slot()
            self._admit()

        self.time.call_later(work_ms, end)

    def _admit(self):
        for entry in self.queue.remove_expired(self.time.now):
            del self._callbacks[entry]
        while (entry := self.queue.admit(self.time.now)) is not None:
            self._run(*self._callbacks.pop(entry))

    def _sweep(self):
        self._admit()
        self.time.call_later(SWEEP_INTERVAL_MS, self._sweep)
