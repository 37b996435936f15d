"""Decide which requests a target gets, in which order, and which are refused early."""

from __future__ import annotations

import msgspec

from egretworks.clock import Millis

# Used until the first requests have shown how long the target takes.
FIRST_WORK_MS = 60.0
WORK_GAIN = 0.1
# Most requests take no longer than their usual time by this factor.
SAFE_WORK_FACTOR = 1.3
# Time that a target needs at least to do anything useful, as a part of its usual time.
LEAST_WORK_SHARE = 0.5
# A request that misses its objective may wait this much longer for a slot that gets free,
LATE_WAIT_MS = 40.0
# or this much if its caller has too little time left to come back after a refusal.
LAST_CHANCE_WAIT_MS = 150.0
LAST_CHANCE_LEFT_MS = 600.0
# A queue that hasn't been empty for this long gets more than its target can do. Waiting longer
# then only makes every answer late, so that
PRESSED_AFTER_MS = 150.0
# a request waits for this part of its objective at most.
PRESSED_WAIT_SHARE = 0.2


class QueueEntry(msgspec.Struct, eq=False):
    """Hold a request while it waits for a slot or has one."""

    route: str
    priority: int
    arrived: Millis
    objective_at: Millis
    expires_at: Millis
    # A start after this isn't worth waiting for; set when the request enters a queue.
    latest_start: Millis = Millis(0)

    @property
    def last_chance(self) -> bool:
        """Return whether the caller has too little time left to come back after a refusal."""
        return self.expires_at - self.arrived < LAST_CHANCE_LEFT_MS

    @property
    def only_chance(self) -> bool:
        """Return whether the caller never had the time to come back, as with a target's calls.

        Refusing such a call wastes what its target has done already.
        """
        return self.last_chance and self.objective_at > self.arrived


class WorkTimes:
    """Estimate how long the target takes for a request of a route."""

    def __init__(self) -> None:
        self._mean_by_route: dict[str, float] = {}
        self.mean = FIRST_WORK_MS
        self._seen = 0

    def of(self, route: str) -> float:
        """Return the usual time of a request on `route`, in milliseconds."""
        return self._mean_by_route.get(route, self.mean)

    def note(self, route: str, took_ms: float) -> None:
        """Learn from a request that has been answered."""
        self._seen += 1
        gain = max(WORK_GAIN, 1.0 / self._seen)
        self.mean += (took_ms - self.mean) * gain
        known = self._mean_by_route.get(route)
        self._mean_by_route[route] = (
            took_ms if known is None else known + (took_ms - known) * WORK_GAIN
        )


class Verdict(msgspec.Struct, frozen=True):
    """Tell whether a request may run now, has to wait or is refused."""

    run: bool = False
    wait: bool = False
    # For a refusal: when there may be room, in milliseconds.
    room_in_ms: float = 0.0


class GateQueue:
    """Hold the slots of one target and the requests that wait for one."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.work = WorkTimes()
        self._waiting: list[QueueEntry] = []
        self._running = 0
        # Since when requests at least as urgent as a priority have been waiting all the time.
        self._waiting_since: dict[int, Millis] = {}

    @property
    def load(self) -> int:
        """Return how many requests run or wait."""
        return self._running + len(self._waiting)

    @property
    def running(self) -> int:
        """Return how many requests run."""
        return self._running

    def enter(self, entry: QueueEntry, now: Millis) -> Verdict:
        """Take in a request, or refuse it where it can't be answered in time."""
        if self._running < self.slots and not self._waiting:
            self._running += 1
            return Verdict(run=True)
        entry.latest_start = self._latest_start(entry, now)
        late_ms = now + self._wait_of(entry, now) - entry.latest_start
        if late_ms > 0:
            return Verdict(room_in_ms=late_ms)
        self._waiting.append(entry)
        return Verdict(wait=True)

    def leave(self) -> None:
        """Free the slot of a request that has ended."""
        self._running -= 1

    def withdraw(self, entry: QueueEntry) -> bool:
        """Take a waiting request out; returns False where it doesn't wait."""
        if entry not in self._waiting:
            return False
        self._waiting.remove(entry)
        return True

    def admit(self, now: Millis) -> QueueEntry | None:
        """Return the request that gets the next free slot, or None."""
        if self._running >= self.slots or not self._waiting:
            return None
        entry = min(self._waiting, key=lambda waiting: self._rank(waiting, now))
        self._waiting.remove(entry)
        self._running += 1
        return entry

    def give_up(self, now: Millis) -> list[QueueEntry]:
        """Take out and return the requests that have waited as long as is worth it."""
        hopeless = [entry for entry in self._waiting if now > entry.latest_start]
        for entry in hopeless:
            self._waiting.remove(entry)
        return hopeless

    def drop_all(self) -> list[QueueEntry]:
        """Take out and return everything that waits."""
        dropped, self._waiting = self._waiting, []
        return dropped

    def _rank(self, entry: QueueEntry, now: Millis) -> tuple[int, bool, Millis]:
        """Order by urgency, then by objective; what will miss its own goes behind the rest.

        What has only one chance keeps its place.
        """
        finished_at = now + self.work.of(entry.route) * SAFE_WORK_FACTOR
        late = finished_at > entry.objective_at and not entry.only_chance
        return (entry.priority, late, entry.objective_at)

    def _wait_of(self, entry: QueueEntry, now: Millis) -> float:
        """Return how long `entry` would wait, in milliseconds."""
        rank = self._rank(entry, now)
        ahead_ms = self.work.mean
        for waiting in self._waiting:
            if self._rank(waiting, now) <= rank:
                ahead_ms += self.work.of(waiting.route)
        return ahead_ms / max(1, self.slots)

    def _is_pressed(self, priority: int, now: Millis) -> bool:
        """Return whether requests at least as urgent as `priority` have been waiting for long."""
        if all(waiting.priority > priority for waiting in self._waiting):
            self._waiting_since[priority] = now
        return now - self._waiting_since.setdefault(priority, now) > PRESSED_AFTER_MS

    def _latest_start(self, entry: QueueEntry, now: Millis) -> Millis:
        latest = self._latest_useful_start(entry)
        if self._is_pressed(entry.priority, now) and not entry.only_chance:
            left_ms = max(0.0, entry.objective_at - entry.arrived)
            return Millis(min(latest, entry.arrived + left_ms * PRESSED_WAIT_SHARE))
        return latest

    def _latest_useful_start(self, entry: QueueEntry) -> Millis:
        work_ms = self.work.of(entry.route)
        in_time = max(entry.arrived, entry.objective_at - work_ms * SAFE_WORK_FACTOR)
        late_ms = LAST_CHANCE_WAIT_MS if entry.last_chance else LATE_WAIT_MS
        return Millis(min(entry.expires_at - work_ms * LEAST_WORK_SHARE, in_time + late_ms))
