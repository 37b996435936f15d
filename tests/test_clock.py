"""Test that durations include the time for which the machine was suspended."""

import time

import pytest
from eventlet.hubs import get_hub

from egretworks.clock import SystemClock
from egretworks.edge import Heartbeat
from egretworks.streams import call_later, use_time_since_boot
from egretworks.targettracker import TargetTracker
from egretworks.types import Endpoint, TargetState

SUSPENDED_S = 5.0


@pytest.fixture
def suspend(monkeypatch):
    """Provide a function that lets the machine look as if it had been suspended just now."""

    def suspend():
        real = time.clock_gettime

        def with_suspension(id):
            return real(id) + (SUSPENDED_S if id == time.CLOCK_BOOTTIME else 0.0)

        monkeypatch.setattr(time, "clock_gettime", with_suspension)

    return suspend


# Guards against a suspended machine that takes up an offer, a drain or a limit as if no time had
# passed: the monotonic clock stands still meanwhile.
def test_the_clock_goes_on_while_the_machine_is_suspended(suspend):
    clock = SystemClock()
    before = clock.now()
    suspend()
    assert clock.now() - before >= SUSPENDED_S * 1_000


def test_a_drain_that_ran_out_during_a_suspension_has_ended(suspend):
    clock = SystemClock()
    tracker = TargetTracker(lambda: 2_000.0)
    tracker.apply_heartbeat(heartbeat(TargetState.READY, 1), clock.now())
    tracker.confirm("i-1")
    tracker.apply_heartbeat(heartbeat(TargetState.LEAVING, 2), clock.now())
    assert tracker.current.accepts_requests(clock.now())
    suspend()
    assert not tracker.current.accepts_requests(clock.now())


def heartbeat(state, sequence):
    endpoint = Endpoint("127.0.0.1", 1)
    return Heartbeat("i-1", 1, sequence, "ledger", endpoint, 4, state, 0.0)


def test_timers_that_became_due_during_a_suspension_run_at_once(suspend, monkeypatch):
    hub = get_hub()
    monkeypatch.setattr(hub, "clock", hub.clock)
    use_time_since_boot()
    called = []
    call_later(SUSPENDED_S * 1_000, called.append, "due")
    suspend()
    hub.prepare_timers()
    hub.fire_timers(hub.clock())
    assert called == ["due"]
