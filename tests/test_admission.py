"""Test the admission of calls: the slots of shared targets, the queue and refusals."""

import random

from egretworks.admission import OfferedTarget, ServicePool
from egretworks.clock import Millis
from egretworks.messages import TargetRow
from egretworks.resources import Limits, Service
from egretworks.types import MemberState, TargetId, TargetState, WorkClass

NOW = Millis(0)


def make_pool(*rows, daemons=1, limits=None, daemon_state=MemberState.ALIVE):
    pool = ServicePool(Service(name="ledger", limits=limits or Limits()), random.Random(1))
    pool.set_targets([OfferedTarget(row, True, daemon_state) for row in rows], daemons)
    return pool


def make_target(id="t0", slots=12, connections=130, state=TargetState.READY):
    return TargetRow(id, "ledger", "127.0.0.1", 1, slots, connections, state)


def warm(pool, rounds=60):
    """Raise the limits of all targets to their maximum by successful calls."""
    for _ in range(rounds):
        slots = []
        while slot := pool.acquire(WorkClass.SHORT, NOW):
            slots.append(slot)
        for slot in slots:
            pool.release(slot)
            slot.load.record_success(WorkClass.SHORT, 1.0, NOW)


def acquire_all(pool, work=WorkClass.SHORT):
    count = 0
    while pool.acquire(work, NOW):
        count += 1
    return count


def test_a_single_daemon_uses_all_slots_of_a_target_once_it_is_warm():
    pool = make_pool(make_target())
    assert acquire_all(make_pool(make_target())) < 12
    warm(pool)
    assert acquire_all(pool) == 12


def test_daemons_that_share_a_target_stay_within_its_connections_together():
    daemons = 13
    pool = make_pool(make_target(), daemons=daemons)
    warm(pool)
    assert acquire_all(pool) * daemons <= 130


def test_a_target_with_fewer_connections_than_daemons_is_still_used():
    assert acquire_all(make_pool(make_target(), daemons=24_000)) == 1


def test_long_work_leaves_slots_for_short_work():
    pool = make_pool(make_target(), limits=Limits(long_percent=50))
    warm(pool)
    assert acquire_all(pool, WorkClass.LONG) == 6
    assert acquire_all(pool) == 6


def test_a_leaving_target_and_one_of_a_suspect_daemon_are_avoided():
    pool = make_pool(make_target("gone", state=TargetState.LEAVING), make_target("here"))
    assert pool.acquire(WorkClass.SHORT, NOW).target.row.id == "here"
    suspect = OfferedTarget(make_target("odd"), True, MemberState.SUSPECT)
    sound = OfferedTarget(make_target("sound"), True, MemberState.ALIVE)
    pool.set_targets([suspect, sound], 1)
    assert pool.acquire(WorkClass.SHORT, NOW).target.row.id == "sound"


def test_a_retry_goes_to_a_target_not_tried_before():
    pool = make_pool(make_target("a"), make_target("b"))
    first = pool.acquire(WorkClass.SHORT, NOW).target.row.id
    again = pool.acquire(WorkClass.SHORT, NOW, frozenset({TargetId(first)})).target.row.id
    assert {first, again} == {"a", "b"}


def test_queued_short_work_is_admitted_before_long_work_queued_earlier():
    pool = make_pool(make_target(slots=1))
    held = pool.acquire(WorkClass.SHORT, NOW)
    long = pool.enqueue(WorkClass.LONG, NOW, Millis(1_000))
    short = pool.enqueue(WorkClass.SHORT, NOW, Millis(1_000))
    pool.release(held)
    assert pool.admit_waiting(NOW) == [short]
    assert long.slot is None


def test_a_full_queue_and_an_expired_deadline_are_refused():
    pool = make_pool(make_target(), limits=Limits(queue=1))
    assert pool.enqueue(WorkClass.SHORT, NOW, Millis(1_000)) is not None
    assert pool.enqueue(WorkClass.SHORT, NOW, Millis(1_000)) is None
    assert pool.enqueue(WorkClass.LONG, NOW, NOW) is None
