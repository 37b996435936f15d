import random

from egretworks.admission import Offered, ServicePool
from egretworks.clock import Millis
from egretworks.messages import TargetRow
from egretworks.resources import Limits, Service
from egretworks.types import MemberState, TargetId, TargetState, WorkClass

NOW = Millis(0)


def a_pool(*rows, callers=1, limits=None, vouched=MemberState.ALIVE):
    pool = ServicePool(Service(name="ledger", limits=limits or Limits()), random.Random(1))
    pool.offer([Offered(row, True, vouched) for row in rows], callers)
    return pool


def a_target(id="t0", slots=12, connections=130, state=TargetState.READY):
    return TargetRow(id, "ledger", "127.0.0.1", 1, slots, connections, state)


def warm(pool, rounds=60):
    """Let the pool learn that its targets answer, up to their limits."""
    for _ in range(rounds):
        entries = []
        while entry := pool.enter(WorkClass.SHORT, NOW):
            entries.append(entry)
        for entry in entries:
            pool.leave(entry)
            entry.load.succeeded(WorkClass.SHORT, 1.0, NOW)


def room(pool, work=WorkClass.SHORT):
    count = 0
    while pool.enter(work, NOW):
        count += 1
    return count


def test_a_daemon_alone_uses_all_slots_of_a_target_once_it_is_warm():
    pool = a_pool(a_target())
    assert room(a_pool(a_target())) < 12
    warm(pool)
    assert room(pool) == 12


def test_daemons_that_share_a_target_stay_within_its_connections_together():
    callers = 13
    pool = a_pool(a_target(), callers=callers)
    warm(pool)
    assert room(pool) * callers <= 130


def test_a_target_with_fewer_connections_than_daemons_is_still_used():
    assert room(a_pool(a_target(), callers=24_000)) == 1


def test_long_work_leaves_slots_for_short_work():
    pool = a_pool(a_target(), limits=Limits(long_percent=50))
    warm(pool)
    assert room(pool, WorkClass.LONG) == 6
    assert room(pool) == 6


def test_a_leaving_target_and_one_under_suspicion_are_passed_over():
    pool = a_pool(a_target("gone", state=TargetState.LEAVING), a_target("here"))
    assert pool.enter(WorkClass.SHORT, NOW).offered.row.id == "here"
    suspect = Offered(a_target("odd"), True, MemberState.SUSPECT)
    sound = Offered(a_target("sound"), True, MemberState.ALIVE)
    pool.offer([suspect, sound], 1)
    assert pool.enter(WorkClass.SHORT, NOW).offered.row.id == "sound"


def test_a_retry_goes_to_a_target_not_tried_before():
    pool = a_pool(a_target("a"), a_target("b"))
    first = pool.enter(WorkClass.SHORT, NOW).offered.row.id
    again = pool.enter(WorkClass.SHORT, NOW, frozenset({TargetId(first)})).offered.row.id
    assert {first, again} == {"a", "b"}


def test_waiting_short_work_is_admitted_before_long_work_that_came_first():
    pool = a_pool(a_target(slots=1))
    held = pool.enter(WorkClass.SHORT, NOW)
    long = pool.wait(WorkClass.LONG, NOW, Millis(1_000))
    short = pool.wait(WorkClass.SHORT, NOW, Millis(1_000))
    pool.leave(held)
    assert pool.admit_waiting(NOW) == [short]
    assert long.entry is None


def test_a_full_queue_and_a_deadline_that_has_passed_are_refused():
    pool = a_pool(a_target(), limits=Limits(queue=1))
    assert pool.wait(WorkClass.SHORT, NOW, Millis(1_000)) is not None
    assert pool.wait(WorkClass.SHORT, NOW, Millis(1_000)) is None
    assert pool.wait(WorkClass.LONG, NOW, NOW) is None
