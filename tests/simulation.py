"""Run events on simulated time."""

import heapq
import itertools

from egretworks.clock import Millis


class Simulation:
    """Run events in the order of their times."""

    def __init__(self):
        self.now = 0.0
        self._events = []
        self._order = itertools.count()

    def call_later(self, delay_ms, call, *arguments):
        event = [self.now + delay_ms, next(self._order), call, arguments]
        heapq.heappush(self._events, event)
        return CancellableEvent(event)

    def run_for(self, ms):
        until = self.now + ms
        while self._events and self._events[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self._events)
            if call is not None:
                call(*arguments)
        self.now = until


class CancellableEvent:
    def __init__(self, event):
        self._event = event

    def cancel(self):
        self._event[2] = None


class SimClock:
    """The clock of a simulation."""

    def __init__(self, simulation):
        self._simulation = simulation

    def now(self):
        return Millis(self._simulation.now)
