"""Decide when a call may go to a target of its service, and when it is refused."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import msgspec

from egretworks.balancing import BALANCERS_BY_NAME, Candidate
from egretworks.clock import Millis
from egretworks.loads import TargetLoad
from egretworks.messages import TargetRow
from egretworks.resources import Service
from egretworks.types import MemberState, RandomSource, TargetId, TargetState, WorkClass


class Offered(msgspec.Struct, frozen=True):
    """Describe a target that the mesh offers for a service."""

    row: TargetRow
    near: bool
    vouched: MemberState


class Entry(msgspec.Struct):
    """Hold a place at a target for one call."""

    offered: Offered
    load: TargetLoad
    work: WorkClass


class Waiter(msgspec.Struct, eq=False):
    """Hold the place of a call that waits for room."""

    work: WorkClass
    expires_at: Millis
    entry: Entry | None = None


class ServicePool:
    """Share the targets of one service among this daemon's calls."""

    def __init__(self, service: Service, random: RandomSource) -> None:
        self.service = service
        self._random = random
        self._offered: list[Offered] = []
        self._loads_by_id: dict[TargetId, TargetLoad] = {}
        self._waiting_by_work: dict[WorkClass, deque[Waiter]] = {
            WorkClass.SHORT: deque(),
            WorkClass.LONG: deque(),
        }

    def offer(self, offered: Iterable[Offered], callers: int) -> None:
        """Take over which targets there are; ones that are leaving get no new calls.

        The `callers` daemons of the mesh share a target's connections evenly.
        """
        self._offered = [o for o in offered if o.row.state is TargetState.READY]
        kept = {TargetId(o.row.id) for o in self._offered}
        for o in self._offered:
            slots = min(o.row.slots, max(1, o.row.connections // callers))
            load = self._loads_by_id.setdefault(TargetId(o.row.id), TargetLoad(slots))
            load.slots = slots
        for id in [id for id, load in self._loads_by_id.items() if id not in kept]:
            if not self._loads_by_id[id].outstanding:
                del self._loads_by_id[id]

    def enter(
        self, work: WorkClass, now: Millis, tried: frozenset[TargetId] = frozenset()
    ) -> Entry | None:
        """Take a place at the best target with room, one not in `tried` if there is any."""
        open_now = [o for o in self._offered if self._has_room(o, work, now)]
        if not open_now:
            return None
        # A daemon under suspicion may hide that its target is leaving.
        open_now = _prefer(open_now, lambda o: o.vouched is MemberState.ALIVE)
        open_now = _prefer(open_now, lambda o: TargetId(o.row.id) not in tried)
        candidates = [self._candidate(o, now) for o in open_now]
        chosen = BALANCERS_BY_NAME[self.service.balance](candidates, self._random)
        offered = next(o for o in open_now if o.row.id == chosen.id)
        load = self._loads_by_id[chosen.id]
        load.enter(work)
        return Entry(offered, load, work)

    def wait(self, work: WorkClass, now: Millis, deadline: Millis) -> Waiter | None:
        """Queue a call, or return None where the queue is full or time is up."""
        limits = self.service.limits
        queue = self._waiting_by_work[work]
        expires_at = Millis(min(deadline, now + limits.queue_ms))
        if len(queue) >= limits.queue or expires_at <= now:
            return None
        waiter = Waiter(work, expires_at)
        queue.append(waiter)
        return waiter

    def give_up(self, waiter: Waiter) -> None:
        """Take a call that no longer waits out of the queue."""
        if waiter in self._waiting_by_work[waiter.work]:
            self._waiting_by_work[waiter.work].remove(waiter)

    def leave(self, entry: Entry) -> None:
        """Give back the place of a call that ended."""
        entry.load.leave(entry.work)

    def admit_waiting(self, now: Millis) -> list[Waiter]:
        """Give places to waiting calls, short work first, and return those that got one."""
        admitted: list[Waiter] = []
        for work in (WorkClass.SHORT, WorkClass.LONG):
            queue = self._waiting_by_work[work]
            while queue:
                if queue[0].expires_at <= now:
                    queue.popleft()
                    continue
                entry = self.enter(work, now)
                if entry is None:
                    break
                waiter = queue.popleft()
                waiter.entry = entry
                admitted.append(waiter)
        return admitted

    def has_targets(self) -> bool:
        """Return whether any target is offered at all."""
        return bool(self._offered)

    def waiting(self) -> int:
        """Return how many calls wait."""
        return sum(len(queue) for queue in self._waiting_by_work.values())

    def _has_room(self, offered: Offered, work: WorkClass, now: Millis) -> bool:
        load = self._loads_by_id[TargetId(offered.row.id)]
        return load.has_room(work, self.service.limits.long_percent, now)

    def _candidate(self, offered: Offered, now: Millis) -> Candidate:
        load = self._loads_by_id[TargetId(offered.row.id)]
        return Candidate(
            id=TargetId(offered.row.id),
            near=offered.near,
            outstanding=load.outstanding,
            limit=load.limit,
            latency_ms=load.latency_ms(now),
        )


def _prefer(offered: list[Offered], wanted) -> list[Offered]:
    """Return those that are `wanted`, or all where none is."""
    return [o for o in offered if wanted(o)] or offered
