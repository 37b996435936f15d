"""Test that retries are told from first attempts by the time they have left."""

import random

from egretworks.callertimeouts import MIN_FIRST_ATTEMPT_SHARE, WINDOW_MS, CallerTimeouts


def test_first_attempts_with_similar_timeouts_have_not_waited():
    caller_timeouts = CallerTimeouts()
    source = random.Random(1)
    for number in range(500):
        left_ms = 1_200 * source.uniform(0.85, 1)
        assert caller_timeouts.waited_ms("view", left_ms, number * 10.0) == 0


def test_a_retry_has_waited_about_as_long_as_its_time_left_is_shorter():
    caller_timeouts = CallerTimeouts()
    for number in range(50):
        caller_timeouts.waited_ms("view", 1_200 - number % 10, float(number))
    assert 450 < caller_timeouts.waited_ms("view", 600, 60.0) < 600
    # Timeouts are tracked by route.
    assert caller_timeouts.waited_ms("give", 600, 60.0) == 0


def test_shorter_timeouts_count_as_first_attempts_after_two_windows():
    caller_timeouts = CallerTimeouts()
    caller_timeouts.waited_ms("view", 2_000, 0.0)
    assert caller_timeouts.waited_ms("view", 1_000, 1.0) > 0
    now = 0.0
    for _ in range(3):
        now += WINDOW_MS + 1
        caller_timeouts.waited_ms("view", 1_000, now)
    assert caller_timeouts.waited_ms("view", 1_000 * MIN_FIRST_ATTEMPT_SHARE + 1, now) == 0
