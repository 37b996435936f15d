"""Test that a rate limit holds in any span of time, and follows the rate as it changes."""

from bisect import bisect_right

import pytest
from hypothesis import given
from hypothesis import strategies as st

from egretworks.gatequeue import GateQueue, QueueEntry
from egretworks.ratelimit import BURST_MS, MIN_PER_SECOND, RateLimit

# What a target may get in a span of this length: one and a half times its limit, and 5 requests.
SPAN_MS = 4_000.0


def allowed_in_span(per_second):
    return 1.5 * per_second * SPAN_MS / 1_000 + 5


@given(
    st.floats(0, 2_000),
    st.lists(st.one_of(st.just(0.0), st.floats(0, 2_000)), min_size=1, max_size=200),
)
def test_no_span_gets_more_than_the_target_allows(per_second, pauses_ms):
    limit, now, passed = RateLimit(), 0.0, []
    limit.set_rate(per_second, now)
    for pause_ms in pauses_ms:
        now += pause_ms
        while limit.try_take(now):
            passed.append(now)
    for index, start in enumerate(passed):
        in_span = bisect_right(passed, start + SPAN_MS) - index
        assert in_span <= allowed_in_span(max(per_second, MIN_PER_SECOND))


def test_all_requests_pass_without_a_limit_and_after_it_has_ended():
    limit = RateLimit()
    assert all(limit.try_take(0.0) for _ in range(100))
    assert limit.set_rate(10.0, 0.0)
    assert not limit.set_rate(10.0, 5.0)
    assert not limit.try_take(5.0)
    assert limit.wait_ms(5.0) == pytest.approx(95.0)
    assert limit.set_rate(None, 10.0)
    assert all(limit.try_take(10.0) for _ in range(100))


def test_a_target_that_allows_nothing_still_gets_a_request_from_time_to_time():
    limit = RateLimit()
    limit.set_rate(0.0, 0.0)
    assert not limit.try_take(1_900.0)
    assert limit.try_take(2_100.0)


def make_queue(per_second, work_ms=100.0):
    queue = GateQueue(10)
    for _ in range(20):
        queue.processing_times.record("r", work_ms)
    queue.rate_limit.set_rate(per_second, 0.0)
    return queue


def entry(now):
    return QueueEntry("r", 1, now, now + 500.0, now + 1_000.0)


def test_requests_wait_for_their_turn_although_slots_are_free():
    queue = make_queue(per_second=20.0)
    assert queue.enter(entry(10.0), 10.0).wait
    assert queue.admit(30.0) is None
    assert queue.admit(51.0) is not None
    assert queue.running == 1


def test_a_request_whose_turn_comes_too_late_is_refused_at_once():
    queue = make_queue(per_second=20.0)
    decisions = [queue.enter(entry(10.0), 10.0) for _ in range(20)]
    waiting = sum(decision.wait for decision in decisions)
    assert 0 < waiting < 10
    assert decisions[-1].retry_after_ms > 0


def test_the_reported_slots_shrink_with_the_limit():
    assert make_queue(per_second=25.0).usable_slots == 3
    assert make_queue(per_second=None).usable_slots == 10


# Guards against a daemon that was paused and sends at once what the limit allowed meanwhile.
def test_a_pause_earns_no_more_than_a_burst():
    limit = RateLimit()
    limit.set_rate(20.0, 0.0)
    after_pause = 10_000.0
    passed = sum(limit.try_take(after_pause) for _ in range(300))
    assert passed <= 20.0 * BURST_MS / 1_000
