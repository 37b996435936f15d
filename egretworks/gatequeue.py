"""Admission control of one target: the order of waiting requests and early refusals."""

from __future__ import annotations

import msgspec

from egretworks.clock import Millis

# Assumed processing time until the first requests have been measured.
FIRST_WORK_MS = 60.0
# Weight of the newest measurement in the moving averages of processing times.
WORK_GAIN = 0.1
# Most requests take less than the mean processing time multiplied by this.
SAFE_WORK_FACTOR = 1.3
# Minimum time in which a target can do anything useful, as a share of its mean processing time.
LEAST_WORK_SHARE = 0.5
# A request may start this much later than it must to meet its objective,
LATE_WAIT_MS = 40.0
# or this much later if its caller has too little time left to retry after a refusal,
LAST_CHANCE_WAIT_MS = 150.0
# which is less than this.
LAST_CHANCE_LEFT_MS = 600.0
# A queue that has not been empty for this long gets more requests than its target can process.
# Longer waits then only make every answer late (a standing queue),
PRESSED_AFTER_MS = 150.0
# so the wait is limited to this share of the objective.
PRESSED_WAIT_SHARE = 0.2


class QueueEntry(msgspec.Struct, eq=False):
    """Hold the priority and the times of a request that waits for a slot or has one."""

    route: str
    # 0 is the most urgent.
    priority: int
    arrived: Millis
    objective_at: Millis
    expires_at: Millis
    # The request is refused if it has not started by then; set when it enters a queue.
    latest_start: Millis = Millis(0)

    @property
    def last_chance(self) -> bool:
        """Return whether the caller has too little time left to retry after a refusal."""
        return self.expires_at - self.arrived < LAST_CHANCE_LEFT_MS

    @property
    def only_chance(self) -> bool:
        """Return whether the request is new and its deadline too short for any retry.

        Such requests are nested calls, made by a target while it processes another request.
        Refusing one wastes the work that its target has done already.
        """
        return self.last_chance and self.objective_at > self.arrived


class WorkTimes:
    """Estimate processing times by route with exponentially weighted moving averages."""

    def __init__(self) -> None:
        self._mean_by_route: dict[str, float] = {}
        self.mean = FIRST_WORK_MS
        self._seen = 0

    def of(self, route: str) -> float:
        """Return the mean processing time on `route`, in milliseconds.

        A route without measurements gets the mean of all routes.
        """
        return self._mean_by_route.get(route, self.mean)

    def note(self, route: str, took_ms: float) -> None:
        """Add the processing time of an answered request."""
        self._seen += 1
        gain = max(WORK_GAIN, 1.0 / self._seen)
        self.mean += (took_ms - self.mean) * gain
        known = self._mean_by_route.get(route)
        self._mean_by_route[route] = (
            took_ms if known is None else known + (took_ms - known) * WORK_GAIN
        )


class Verdict(msgspec.Struct, frozen=True):
    """Result of an admission: the request runs now, waits or is refused."""

    run: bool = False
    wait: bool = False
    # For a refusal: when a slot may be available, in milliseconds.
    room_in_ms: float = 0.0


class GateQueue:
    """Count the used slots of one target and hold the requests that wait for one.

    Requests wait only while all slots are in use.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.work = WorkTimes()
        self._waiting: list[QueueEntry] = []
        self._running = 0
        # By priority: since when there has always been a waiting request at least as urgent.
        self._waiting_since: dict[int, Millis] = {}

    @property
    def load(self) -> int:
        """Return the number of requests that run or wait."""
        return self._running + len(self._waiting)

    @property
    def running(self) -> int:
        """Return the number of requests that run."""
        return self._running

    def enter(self, entry: QueueEntry, now: Millis) -> Verdict:
        """Run or queue `entry`, or refuse it if it would start too late."""
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
        """Free the slot of a finished request."""
        self._running -= 1

    def withdraw(self, entry: QueueEntry) -> bool:
        """Remove a waiting request; return False if it is not waiting."""
        if entry not in self._waiting:
            return False
        self._waiting.remove(entry)
        return True

    def admit(self, now: Millis) -> QueueEntry | None:
        """Give a free slot to the first waiting request and return it.

        Returns None if no slot is free or nothing waits.
        """
        if self._running >= self.slots or not self._waiting:
            return None
        entry = min(self._waiting, key=lambda waiting: self._rank(waiting, now))
        self._waiting.remove(entry)
        self._running += 1
        return entry

    def give_up(self, now: Millis) -> list[QueueEntry]:
        """Remove and return the waiting requests whose latest useful start has passed."""
        hopeless = [entry for entry in self._waiting if now > entry.latest_start]
        for entry in hopeless:
            self._waiting.remove(entry)
        return hopeless

    def drop_all(self) -> list[QueueEntry]:
        """Remove and return all waiting requests."""
        dropped, self._waiting = self._waiting, []
        return dropped

    def _rank(self, entry: QueueEntry, now: Millis) -> tuple[int, bool, Millis]:
        """Return the sort key of `entry`: priority, then objective.

        Within a priority, requests that will probably miss their objective sort last, except
        those that are never retried.
        """
        finished_at = now + self.work.of(entry.route) * SAFE_WORK_FACTOR
        late = finished_at > entry.objective_at and not entry.only_chance
        return (entry.priority, late, entry.objective_at)

    def _wait_of(self, entry: QueueEntry, now: Millis) -> float:
        """Return the expected wait of `entry` for a slot, in milliseconds."""
        rank = self._rank(entry, now)
        ahead_ms = self.work.mean
        for waiting in self._waiting:
            if self._rank(waiting, now) <= rank:
                ahead_ms += self.work.of(waiting.route)
        return ahead_ms / max(1, self.slots)

    def _is_pressed(self, priority: int, now: Millis) -> bool:
        """Return whether there is a standing queue of requests at least as urgent as `priority`."""
        if all(waiting.priority > priority for waiting in self._waiting):
            self._waiting_since[priority] = now
        return now - self._waiting_since.setdefault(priority, now) > PRESSED_AFTER_MS

    def _latest_start(self, entry: QueueEntry, now: Millis) -> Millis:
        """Return the latest start of `entry`, which is earlier while there is a standing queue."""
        latest = self._latest_useful_start(entry)
        if self._is_pressed(entry.priority, now) and not entry.only_chance:
            left_ms = max(0.0, entry.objective_at - entry.arrived)
            return Millis(min(latest, entry.arrived + left_ms * PRESSED_WAIT_SHARE))
        return latest

    def _latest_useful_start(self, entry: QueueEntry) -> Millis:
        """Return the latest start that can still give the caller a useful answer."""
        work_ms = self.work.of(entry.route)
        in_time = max(entry.arrived, entry.objective_at - work_ms * SAFE_WORK_FACTOR)
        late_ms = LAST_CHANCE_WAIT_MS if entry.last_chance else LATE_WAIT_MS
        return Millis(min(entry.expires_at - work_ms * LEAST_WORK_SHARE, in_time + late_ms))
