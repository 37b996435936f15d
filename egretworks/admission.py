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


class OfferedTarget(msgspec.Struct, frozen=True):
    """Describe a target that the mesh offers for a service.

    `near` tells whether it is in this daemon's data centre; `daemon_state` is the state of the
    daemon that publishes it.
    """

    row: TargetRow
    near: bool
    daemon_state: MemberState


class Slot(msgspec.Struct):
    """Hold the slot that one call occupies at a target."""

    target: OfferedTarget
    load: TargetLoad
    work: WorkClass


class Waiter(msgspec.Struct, eq=False):
    """Hold a call that is queued until `expires_at`; `slot` is set once it is admitted."""

    work: WorkClass
    expires_at: Millis
    slot: Slot | None = None


class ServicePool:
    """Admit this daemon's calls of one service to the targets of that service.

    Calls that find no free slot wait in one queue for each work class.
    """

    def __init__(self, service: Service, random: RandomSource) -> None:
        self.service = service
        self._random = random
        self._targets: list[OfferedTarget] = []
        self._loads_by_id: dict[TargetId, TargetLoad] = {}
        self._waiting_by_work: dict[WorkClass, deque[Waiter]] = {
            WorkClass.SHORT: deque(),
            WorkClass.LONG: deque(),
        }

    def set_targets(self, targets: Iterable[OfferedTarget], daemons: int) -> None:
        """Replace the set of targets; only those in state `READY` get new calls.

        The mesh has `daemons` daemons: each may use an equal share of a target's connections, and
        at least one.
        """
        self._targets = [t for t in targets if t.row.state is TargetState.READY]
        ready_ids = {TargetId(t.row.id) for t in self._targets}
        for t in self._targets:
            slots = min(t.row.slots, max(1, t.row.connections // daemons))
            load = self._loads_by_id.setdefault(TargetId(t.row.id), TargetLoad(slots))
            load.slots = slots
        for id in [id for id, load in self._loads_by_id.items() if id not in ready_ids]:
            if not self._loads_by_id[id].outstanding:
                del self._loads_by_id[id]

    def acquire(
        self, work: WorkClass, now: Millis, tried: frozenset[TargetId] = frozenset()
    ) -> Slot | None:
        """Acquire a slot and return it, or None if no target has one free.

        Prefers targets whose daemon is alive, then those not in `tried`; the balancer of the
        service chooses among the rest.
        """
        available = [t for t in self._targets if self._has_free_slot(t, work, now)]
        if not available:
            return None
        # What a suspect daemon published last may be stale: its target may be leaving already.
        available = _prefer(available, lambda t: t.daemon_state is MemberState.ALIVE)
        available = _prefer(available, lambda t: TargetId(t.row.id) not in tried)
        candidates = [self._candidate(t, now) for t in available]
        chosen = BALANCERS_BY_NAME[self.service.balance](candidates, self._random)
        target = next(t for t in available if t.row.id == chosen.id)
        load = self._loads_by_id[chosen.id]
        load.acquire(work)
        return Slot(target, load, work)

    def enqueue(self, work: WorkClass, now: Millis, deadline: Millis) -> Waiter | None:
        """Queue a call, or return None if the queue is full or no time is left to wait."""
        limits = self.service.limits
        queue = self._waiting_by_work[work]
        expires_at = Millis(min(deadline, now + limits.queue_ms))
        if len(queue) >= limits.queue or expires_at <= now:
            return None
        waiter = Waiter(work, expires_at)
        queue.append(waiter)
        return waiter

    def cancel(self, waiter: Waiter) -> None:
        """Remove `waiter` from the queue if it is still there."""
        if waiter in self._waiting_by_work[waiter.work]:
            self._waiting_by_work[waiter.work].remove(waiter)

    def release(self, slot: Slot) -> None:
        """Release the slot of a call that ended."""
        slot.load.release(slot.work)

    def admit_waiting(self, now: Millis) -> list[Waiter]:
        """Admit queued calls while slots are free, short work first, and return their waiters."""
        admitted: list[Waiter] = []
        for work in (WorkClass.SHORT, WorkClass.LONG):
            queue = self._waiting_by_work[work]
            while queue:
                if queue[0].expires_at <= now:
                    queue.popleft()
                    continue
                slot = self.acquire(work, now)
                if slot is None:
                    break
                waiter = queue.popleft()
                waiter.slot = slot
                admitted.append(waiter)
        return admitted

    def has_targets(self) -> bool:
        """Return whether the service has any target in state `READY`."""
        return bool(self._targets)

    def waiting(self) -> int:
        """Return the number of queued calls."""
        return sum(len(queue) for queue in self._waiting_by_work.values())

    def _has_free_slot(self, target: OfferedTarget, work: WorkClass, now: Millis) -> bool:
        load = self._loads_by_id[TargetId(target.row.id)]
        return load.has_free_slot(work, self.service.limits.long_percent, now)

    def _candidate(self, target: OfferedTarget, now: Millis) -> Candidate:
        load = self._loads_by_id[TargetId(target.row.id)]
        return Candidate(
            id=TargetId(target.row.id),
            near=target.near,
            outstanding=load.outstanding,
            limit=load.limit,
            latency_ms=load.latency_ms(now),
        )


def _prefer(targets: list[OfferedTarget], wanted) -> list[OfferedTarget]:
    """Return the targets for which `wanted` is true, or all if there are none."""
    return [t for t in targets if wanted(t)] or targets
