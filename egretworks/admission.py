"""Admission control: assign calls to targets of a service, or queue or refuse them."""

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
    """Describe a target that the mesh offers for a service.

    `near` tells whether it is in this daemon's data centre; `vouched` is the state of the daemon
    that announces it.
    """

    row: TargetRow
    near: bool
    vouched: MemberState


class Entry(msgspec.Struct):
    """Hold the slot that one call occupies at a target."""

    offered: Offered
    load: TargetLoad
    work: WorkClass


class Waiter(msgspec.Struct, eq=False):
    """Hold the queue position of a call; `entry` is set once it is admitted."""

    work: WorkClass
    expires_at: Millis
    entry: Entry | None = None


class ServicePool:
    """Admit this daemon's calls of one service to the targets of that service.

    Calls that find no free slot wait in one queue for each work class.
    """

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
        """Replace the set of targets; only those in state `READY` get new calls.

        Each of the `callers` daemons of the mesh may use an equal share of a target's connections,
        and at least one.
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
        """Acquire a slot and return it, or None if no target has one free.

        Prefers targets whose daemon is alive, then those not in `tried`; the balancer of the
        service chooses among the rest.
        """
        open_now = [o for o in self._offered if self._has_room(o, work, now)]
        if not open_now:
            return None
        # The announcements of a suspect daemon may be stale: its target may be leaving already.
        open_now = _prefer(open_now, lambda o: o.vouched is MemberState.ALIVE)
        open_now = _prefer(open_now, lambda o: TargetId(o.row.id) not in tried)
        candidates = [self._candidate(o, now) for o in open_now]
        chosen = BALANCERS_BY_NAME[self.service.balance](candidates, self._random)
        offered = next(o for o in open_now if o.row.id == chosen.id)
        load = self._loads_by_id[chosen.id]
        load.enter(work)
        return Entry(offered, load, work)

    def wait(self, work: WorkClass, now: Millis, deadline: Millis) -> Waiter | None:
        """Queue a call, or return None if the queue is full or no time is left to wait."""
        limits = self.service.limits
        queue = self._waiting_by_work[work]
        expires_at = Millis(min(deadline, now + limits.queue_ms))
        if len(queue) >= limits.queue or expires_at <= now:
            return None
        waiter = Waiter(work, expires_at)
        queue.append(waiter)
        return waiter

    def give_up(self, waiter: Waiter) -> None:
        """Remove `waiter` from the queue if it is still there."""
        if waiter in self._waiting_by_work[waiter.work]:
            self._waiting_by_work[waiter.work].remove(waiter)

    def leave(self, entry: Entry) -> None:
        """Release the slot of a call that ended."""
        entry.load.leave(entry.work)

    def admit_waiting(self, now: Millis) -> list[Waiter]:
        """Admit queued calls while slots are free, short work first, and return their waiters."""
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
        """Return whether the service has any target in state `READY`."""
        return bool(self._offered)

    def waiting(self) -> int:
        """Return the number of queued calls."""
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
    """Return the targets for which `wanted` is true, or all if there are none."""
    return [o for o in offered if wanted(o)] or offered
