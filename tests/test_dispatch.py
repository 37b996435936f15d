from types import SimpleNamespace

import eventlet
import pytest

from egretworks.admission import Offered, ServicePool
from egretworks.blackboard import Signal
from egretworks.clock import Millis, SystemClock
from egretworks.dispatch import Dispatcher
from egretworks.exceptions import CallerGone
from egretworks.messages import TargetRow
from egretworks.metrics import Metrics
from egretworks.resources import Service
from egretworks.types import MemberState, WorkClass


class FirstChoice:
    """Stand in for the random source."""

    def randrange(self, stop):
        return 0


def test_a_place_granted_to_a_caller_that_has_just_left_is_given_back():
    clock = SystemClock()
    board = SimpleNamespace(clock=clock, calls_wait=Signal())
    dispatcher = Dispatcher(board, None, Metrics())
    pool = ServicePool(Service(name="ledger"), FirstChoice())
    row = TargetRow("t0", "ledger", "127.0.0.1", 1, 1, 1)
    pool.offer([Offered(row, True, MemberState.ALIVE)], 1)
    now = clock.now()
    first = pool.enter(WorkClass.SHORT, now)
    waiter = pool.wait(WorkClass.SHORT, now, Millis(now + 10_000))
    waiting = eventlet.spawn(dispatcher._wait, pool, waiter)
    eventlet.sleep(0)
    pool.leave(first)
    dispatcher._wake(pool)
    assert first.load.outstanding == 1
    eventlet.kill(waiting, CallerGone("gone"))
    with pytest.raises(CallerGone):
        waiting.wait()
    assert first.load.outstanding == 0
