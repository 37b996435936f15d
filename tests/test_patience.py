"""Prove that requests which come back are told from new ones by the time they have left."""

import random

from egretworks.patience import LEAST_PATIENCE_SHARE, WINDOW_MS, CallerPatience


def test_new_requests_of_callers_that_differ_a_little_have_not_waited():
    patience = CallerPatience()
    source = random.Random(1)
    for number in range(500):
        left_ms = 1_200 * source.uniform(0.85, 1)
        assert patience.waited_ms("view", left_ms, number * 10.0) == 0


def test_a_request_that_comes_back_has_waited_about_as_long_as_it_has_less_left():
    patience = CallerPatience()
    for number in range(50):
        patience.waited_ms("view", 1_200 - number % 10, float(number))
    assert 450 < patience.waited_ms("view", 600, 60.0) < 600
    # Another route's callers have another patience.
    assert patience.waited_ms("give", 600, 60.0) == 0


def test_callers_that_become_less_patient_are_new_again_after_a_while():
    patience = CallerPatience()
    patience.waited_ms("view", 2_000, 0.0)
    assert patience.waited_ms("view", 1_000, 1.0) > 0
    now = 0.0
    for _ in range(3):
        now += WINDOW_MS + 1
        patience.waited_ms("view", 1_000, now)
    assert patience.waited_ms("view", 1_000 * LEAST_PATIENCE_SHARE + 1, now) == 0
