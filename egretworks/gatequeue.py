"""Decide which requests a target gets, in which order, and which are refused early."""

from __future__ import annotations

import math

import msgspec

from egretworks.clock import MILLIS_PER_SECOND, Millis
from egretworks.fairshare import FairShares
from egretworks.ratelimit import RateLimit
from egretworks.targetselection import FEW_SLOTS

# Assumed processing time until the first requests have been measured.
INITIAL_PROCESSING_MS = 60.0
# Weight of the newest measurement in the moving averages of processing times.
PROCESSING_EWMA_GAIN = 0.1
# Most requests take no longer than the mean processing time multiplied by this.
PROCESSING_SAFETY_FACTOR = 1.3
# Minimum time in which a target can do anything useful, as a share of its mean processing time.
MIN_PROCESSING_SHARE = 0.5
# A waiting request may start this much later than it must to meet its objective, or than it arrived
# if that was too late already.
MAX_START_DELAY_MS = 40.0
# The same for a request whose caller has too little time left to retry after a refusal.
MAX_LAST_ATTEMPT_DELAY_MS = 150.0
# A caller with less time left than this cannot retry after a refusal.
LAST_ATTEMPT_LEFT_MS = 600.0
# A request that is too late for its objective waits for at most this share of the time it has left:
# it starts only if no request in time waits, and an answer that is late is better than none.
MAX_LATE_WAIT_SHARE = 0.4
# After a late request has waited in vain, others are refused at once for this long: the requests in
# time take all that the target can do.
LATE_REFUSED_MS = 1_000.0
# A queue that has not been empty for this long is a standing queue: it gets more requests than its
# target can process, and longer waits only make every answer late.
OVERLOADED_AFTER_MS = 150.0
# While there is a standing queue, a request waits for at most this share of the time that was left
# until its objective when it arrived.
OVERLOADED_WAIT_SHARE = 0.2
# The longer a queue has been standing, the longer it will probably stand. A caller that returns
# before its end takes the place of another, so it is asked to wait for this multiple of its age.
RETURN_AFTER_STANDING_FACTOR = 4.0


class QueueEntry(msgspec.Struct, eq=False):
    """Hold the route, priority and times of a request that waits for a slot or has one."""

    route: str
    # Lower is more urgent.
    priority: int
    arrived: Millis
    # When the latency objective of the route is missed; in the past for a late retry.
    objective_at: Millis
    # The deadline.
    expires_at: Millis
    # The team of the caller; empty if it has none.
    team: str = ""
    # Lower is more urgent; it goes before the priority of the route.
    team_priority: int = 0
    # The weight of the team in the fair share of the target's time.
    team_weight: float = 1.0
    # The request is refused if it has not started by then; set when it enters a queue.
    latest_start: Millis = Millis(0)
    # Whether it was too late for its objective when it entered the queue.
    entered_late: bool = False

    @property
    def last_attempt(self) -> bool:
        """Return whether the caller has too little time left to retry after a refusal."""
        return self.expires_at - self.arrived < LAST_ATTEMPT_LEFT_MS

    @property
    def only_attempt(self) -> bool:
        """Return whether the request is new and its deadline too short for any retry.

        That is typical of nested calls, which a target makes while it processes another request.
        Refusing one wastes the work that the calling target has done already.
        """
        return self.last_attempt and self.objective_at > self.arrived


class ProcessingTimes:
    """Estimate processing times by route with exponentially weighted moving averages."""

    def __init__(self) -> None:
        self._mean_by_route: dict[str, float] = {}
        self.mean = INITIAL_PROCESSING_MS
        self._samples = 0

    @property
    def measured(self) -> bool:
        """Return whether any request has been measured."""
        return self._samples > 0

    def mean_of(self, route: str) -> float:
        """Return the mean processing time on `route`, in milliseconds.

        A route without measurements gets the mean of all routes.
        """
        return self._mean_by_route.get(route, self.mean)

    def record(self, route: str, took_ms: float) -> None:
        """Add the processing time of an answered request."""
        self._samples += 1
        gain = max(PROCESSING_EWMA_GAIN, 1.0 / self._samples)
        self.mean += (took_ms - self.mean) * gain
        mean = self._mean_by_route.get(route)
        self._mean_by_route[route] = (
            took_ms if mean is None else mean + (took_ms - mean) * PROCESSING_EWMA_GAIN
        )


class AdmissionDecision(msgspec.Struct, frozen=True):
    """Result of an admission: the request runs now, waits or is refused."""

    run: bool = False
    wait: bool = False
    # For a refusal: after how many milliseconds the queue will probably have room for the request.
    retry_after_ms: float = 0.0


# The order of teams, lower first: the priority of the team, and whether it is over its share.
TeamOrder = tuple[int, bool]
# The order of requests regardless of their times: the same, and the priority of the route.
Rank = tuple[int, bool, int]


class GateQueue:
    """Count the used slots of one target and hold the requests that wait for one.

    The owner calls `admit` when a slot becomes free, and from time to time while requests wait, so
    that they wait only while all slots are in use or the target's rate limit is reached.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.rate_limit = RateLimit()
        self.processing_times = ProcessingTimes()
        self._waiting: list[QueueEntry] = []
        self._running = 0
        # By the order of teams: until when late requests of this order and higher ones are refused
        # at once.
        self._late_refused_until: dict[TeamOrder, Millis] = {}
        self._shares = FairShares()
        # By rank: since when there has always been a waiting request of this rank or a lower one.
        self._waiting_since: dict[Rank, Millis] = {}

    @property
    def load(self) -> int:
        """Return the number of requests that run or wait."""
        return self._running + len(self._waiting)

    @property
    def running(self) -> int:
        """Return the number of requests that run."""
        return self._running

    @property
    def knows_processing_times(self) -> bool:
        """Return whether the mean processing time may be relied on.

        At few slots it takes a target long to answer enough requests to correct a wrong guess.
        """
        return self.processing_times.measured or self.slots > FEW_SLOTS

    @property
    def usable_slots(self) -> int:
        """Return how many slots are in use on average when the target gets all that it allows."""
        per_second = self.rate_limit.per_second
        if per_second is None:
            return self.slots
        used = per_second * self.processing_times.mean / MILLIS_PER_SECOND
        return max(1, min(self.slots, math.ceil(used)))

    def enter(self, entry: QueueEntry, now: Millis, *, may_wait: bool = True) -> AdmissionDecision:
        """Run or queue `entry`, or refuse it if it would start too late or may not wait."""
        self._shares.record_arrival(entry.team, entry.team_priority, entry.team_weight, now)
        slot_free = self._running < self.slots
        entry.entered_late = self._is_late(entry, now) and not entry.only_attempt
        if slot_free and self._is_next(entry, now) and self.rate_limit.try_take(now):
            self._start(entry, now)
            return AdmissionDecision(run=True)
        if not may_wait:
            return AdmissionDecision()
        entry.latest_start = self._latest_start(entry, now)
        late_ms = now + self._expected_wait_ms(entry, now) - entry.latest_start
        if late_ms > 0:
            return AdmissionDecision(retry_after_ms=max(late_ms, self.retry_after_ms(entry, now)))
        self._waiting.append(entry)
        return AdmissionDecision(wait=True)

    def retry_after_ms(self, entry: QueueEntry, now: Millis) -> float:
        """Return after how many milliseconds the refused request `entry` should come back.

        It is 0 unless there is a standing queue of requests that come before or beside it.
        """
        standing_ms = now - self._waiting_since.get(self._rank(entry, now), now)
        return standing_ms * RETURN_AFTER_STANDING_FACTOR

    def is_over_share(self, team: str, now: Millis) -> bool:
        """Return whether `team` has recently had clearly more than its share of the target."""
        return self._shares.is_over(team, now)

    def release_slot(self) -> None:
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

        Returns None if no slot is free, nothing waits, or the target's rate limit is reached.
        """
        if self._running >= self.slots or not self._waiting:
            return None
        if not self.rate_limit.try_take(now):
            return None
        entry = min(self._waiting, key=lambda waiting: self._sort_key(waiting, now))
        self._waiting.remove(entry)
        self._start(entry, now)
        return entry

    def _start(self, entry: QueueEntry, now: Millis) -> None:
        """Give a free slot to `entry`."""
        self._running += 1
        processing_ms = self.processing_times.mean_of(entry.route)
        self._shares.record_admission(
            entry.team, entry.team_priority, entry.team_weight, processing_ms, now
        )

    def _is_next(self, entry: QueueEntry, now: Millis) -> bool:
        """Return whether a free slot goes to `entry`, as nothing waits that comes before it."""
        order = self._team_order(entry, now)
        for waiting in self._waiting:
            waiting_order = self._team_order(waiting, now)
            if waiting_order < order:
                return False
            if waiting_order == order and (entry.entered_late or not waiting.entered_late):
                return False
        return True

    def remove_expired(self, now: Millis) -> list[QueueEntry]:
        """Remove and return the waiting requests whose latest start has passed."""
        expired = [entry for entry in self._waiting if now > entry.latest_start]
        for entry in expired:
            self._waiting.remove(entry)
            if entry.entered_late:
                order = self._team_order(entry, now)
                self._late_refused_until[order] = Millis(now + LATE_REFUSED_MS)
        return expired

    def remove_all(self) -> list[QueueEntry]:
        """Remove and return all waiting requests."""
        removed, self._waiting = self._waiting, []
        return removed

    def _team_order(self, entry: QueueEntry, now: Millis) -> TeamOrder:
        return (entry.team_priority, self._shares.is_over(entry.team, now))

    def _rank(self, entry: QueueEntry, now: Millis) -> Rank:
        return (*self._team_order(entry, now), entry.priority)

    def _sort_key(self, entry: QueueEntry, now: Millis) -> tuple[Rank, bool, Millis]:
        """Return the sort key of `entry`: rank, then objective.

        Within a rank, requests that will probably miss their objective sort last, except those
        whose deadline is too short for a retry.
        """
        late = self._is_late(entry, now) and not entry.only_attempt
        return (self._rank(entry, now), late, entry.objective_at)

    def _is_late(self, entry: QueueEntry, now: Millis) -> bool:
        """Return whether `entry` will probably miss its objective if it starts now."""
        processing_ms = self.processing_times.mean_of(entry.route) * PROCESSING_SAFETY_FACTOR
        return now + processing_ms > entry.objective_at

    def _expected_wait_ms(self, entry: QueueEntry, now: Millis) -> float:
        """Return the expected wait of `entry` for a slot and its turn, in milliseconds."""
        key = self._sort_key(entry, now)
        ahead = [waiting for waiting in self._waiting if self._sort_key(waiting, now) <= key]
        turn_ms = self.rate_limit.wait_ms(now, len(ahead) + 1)
        if self._running < self.slots:
            return turn_ms
        backlog_ms = self.processing_times.mean
        backlog_ms += sum(self.processing_times.mean_of(waiting.route) for waiting in ahead)
        return max(turn_ms, backlog_ms / max(1, self.slots))

    def _is_overloaded(self, entry: QueueEntry, now: Millis) -> bool:
        """Return whether there is a standing queue of requests that come before or beside `entry`.

        Requests that entered late don't count, as those in time overtake them.
        """
        rank = self._rank(entry, now)
        if all(
            waiting.entered_late or self._rank(waiting, now) > rank for waiting in self._waiting
        ):
            self._waiting_since[rank] = now
        return now - self._waiting_since.setdefault(rank, now) > OVERLOADED_AFTER_MS

    def _latest_start(self, entry: QueueEntry, now: Millis) -> Millis:
        """Return the latest start of `entry`, which is earlier while there is a standing queue."""
        latest = self._latest_useful_start(entry, now)
        overloaded = self._is_overloaded(entry, now)
        if overloaded and not entry.only_attempt and not entry.entered_late:
            left_ms = max(0.0, entry.objective_at - entry.arrived)
            return Millis(min(latest, entry.arrived + left_ms * OVERLOADED_WAIT_SHARE))
        return latest

    def _refuses_late(self, entry: QueueEntry, now: Millis) -> bool:
        """Return whether `entry` is refused if late, as late ones have expired in the queue."""
        order = self._team_order(entry, now)
        return any(
            other <= order and entry.arrived < until
            for other, until in self._late_refused_until.items()
        )

    def _latest_useful_start(self, entry: QueueEntry, now: Millis) -> Millis:
        """Return the latest start that can still give the caller a useful answer."""
        processing_ms = self.processing_times.mean_of(entry.route)
        in_time = max(entry.arrived, entry.objective_at - processing_ms * PROCESSING_SAFETY_FACTOR)
        late_ms = MAX_LAST_ATTEMPT_DELAY_MS if entry.last_attempt else MAX_START_DELAY_MS
        if entry.entered_late and not self._refuses_late(entry, now):
            left_ms = entry.expires_at - entry.arrived - processing_ms
            late_ms = max(late_ms, left_ms * MAX_LATE_WAIT_SHARE)
        return Millis(
            min(entry.expires_at - processing_ms * MIN_PROCESSING_SHARE, in_time + late_ms)
        )
