"""Test that the dispatcher leaks no slot when a caller disconnects."""

from types import SimpleNamespace

import eventlet
import pytest

from egretworks.admission import OfferedTarget, ServicePool
from egretworks.blackboard import Signal
from egretworks.clock import Millis, SystemClock
from egretworks.dispatch import Dispatcher
from egretworks.exceptions import CallerGone
from egretworks.messages import TargetRow
from egretworks.metrics import Metrics
from egretworks.resources import Service
from egretworks.types import MemberState, WorkClass


class FirstChoice:
    """A random source that always chooses the first candidate."""

    def randrange(self, stop):
        return 0


def test_a_slot_granted_to_a_caller_that_has_just_disconnected_is_released():
    """Test that no slot leaks if the caller leaves after its admission, before its thread runs."""
    clock = SystemClock()
    board = SimpleNamespace(clock=clock, calls_queued=Signal())
    dispatcher = Dispatcher(board, None, Metrics())
    pool = ServicePool(Service(name="ledger"), FirstChoice())
    row = TargetRow("t0", "ledger", "127.0.0.1", 1, 1, 1)
    pool.set_targets([OfferedTarget(row, True, MemberState.ALIVE)], 1)
    now = clock.now()
    first = pool.acquire(WorkClass.SHORT, now)
    waiter = pool.enqueue(WorkClass.SHORT, now, Millis(now + 10_000))
    waiting = eventlet.spawn(dispatcher._wait_for_slot, pool, waiter)
    eventlet.sleep(0)
    pool.release(first)
    dispatcher._admit_waiting(pool)
    assert first.load.outstanding == 1
    eventlet.kill(waiting, CallerGone("gone"))
    with pytest.raises(CallerGone):
        waiting.wait()
    assert first.load.outstanding == 0
