"""Test that the retries of all daemons together stay within the mesh-wide budget."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from egretworks.meshretrybudget import CALLS_MARGIN, MeshRetryBudget, RetryBounds

WINDOW_MS = 10_000.0
SLACK = 62
SHARE_OF_SLACK = SLACK / 10


def budget_at(unspent_since=0.0, bounds=None):
    return MeshRetryBudget(lambda: bounds or RetryBounds(0.2, WINDOW_MS, SLACK), unspent_since)


def spend_all(budget, now):
    """Spend all tokens of a daemon that is one of ten, and return how many there were."""
    granted = 0
    while budget.try_spend(10, now):
        granted += 1
    return granted


def test_a_daemon_without_requests_has_its_share_of_the_slack():
    budget = budget_at(-WINDOW_MS)
    granted = spend_all(budget, 0.0)
    assert granted > 0
    granted += sum(spend_all(budget, now) for now in range(0, int(WINDOW_MS), 500))
    assert granted <= SHARE_OF_SLACK


def test_changed_bounds_apply_immediately():
    bounds = RetryBounds(0.2, WINDOW_MS, SLACK)
    budget = MeshRetryBudget(lambda: bounds, -WINDOW_MS)
    assert budget.try_spend(10, 0.0)
    bounds = RetryBounds(0.0, WINDOW_MS, 0)
    assert not budget.try_spend(10, 0.0)


def test_spent_slack_is_available_again_after_the_window():
    budget = budget_at()
    first = spend_all(budget, WINDOW_MS)
    assert first > 0
    assert spend_all(budget, WINDOW_MS + 500) == 0
    assert first + spend_all(budget, 2 * WINDOW_MS) <= SHARE_OF_SLACK
    assert spend_all(budget, 3 * WINDOW_MS) > 0


# Guards against daemons that start again and again and have the slack anew each time.
def test_four_starts_in_a_row_give_no_more_than_one_share_of_the_slack():
    granted = spend_all(budget_at(), WINDOW_MS)
    for start in range(4):
        began = WINDOW_MS + start * 1_250
        budget = budget_at(began)
        granted += sum(spend_all(budget, began + ms) for ms in (0, 600, 1_249))
    assert granted <= SHARE_OF_SLACK


# Guards against what requests before a start have earned being spent twice.
def test_a_daemon_that_starts_again_has_no_tokens():
    assert spend_all(budget_at(5_000.0), 5_000.0) == 0


def within(times, start):
    return sum(start <= at < start + WINDOW_MS for at in times)


def assert_within_budget(requests, retries):
    """Check every window against the ratio of 0.2 and a slack of 20."""
    for start in retries:
        counted = max(within(requests, start), within(requests, start - WINDOW_MS))
        assert within(retries, start) <= 0.2 * counted + 20


EVENTS = st.lists(
    st.tuples(
        st.floats(0, 300),
        st.integers(0, 3),
        st.sampled_from(("request", "failing", "failing", "failing", "start")),
    ),
    min_size=1,
    max_size=400,
)


@given(EVENTS)
def test_every_window_of_all_daemons_keeps_to_the_ratio_and_the_slack(events):
    bounds = RetryBounds(0.2, WINDOW_MS, 20)
    budgets = [budget_at(-WINDOW_MS, bounds) for _ in range(4)]
    now, requests, retries = 0.0, [], []
    for gap, daemon, event in events:
        now += gap
        if event == "start":
            budgets[daemon] = budget_at(now, bounds)
            continue
        budgets[daemon].count_request(now)
        requests.append(now)
        while event == "failing" and budgets[daemon].try_spend(len(budgets), now):
            retries.append(now)
    assert_within_budget(requests, retries)


# The worst case: each retry makes as many calls as the budget allows for, at the end of its run.
@given(EVENTS, st.integers(1, 3))
def test_calls_in_retries_and_retries_of_calls_share_one_budget(events, calls_per_run):
    bounds = RetryBounds(0.2, WINDOW_MS, 20)
    budgets = [budget_at(-WINDOW_MS, bounds) for _ in range(4)]
    now, requests, retries = 0.0, [], []
    for gap, daemon, event in events:
        now += gap
        budget = budgets[daemon]
        if event == "start":
            budgets[daemon] = budget_at(now, bounds)
            continue
        budget.count_request(now)
        requests.append(now)
        if event == "failing" and budget.allows_calls(calls_per_run, len(budgets), now):
            # The run is one of several, so each of its calls is paid for in part only.
            for _ in range(calls_per_run):
                budget.count_request(now, 1 / CALLS_MARGIN)
                retries.append(now)
        elif event == "failing" and budget.try_spend(len(budgets), now):
            retries.append(now)
    assert_within_budget(requests, retries)


def test_calls_of_retries_leave_fewer_tokens_for_retries():
    budget, other = budget_at(), budget_at()
    for _ in range(100):
        budget.count_request(0.0)
        other.count_request(0.0)
    for _ in range(12):
        other.count_request(0.0, 0.5)
    assert spend_all(other, 0.0) < spend_all(budget, 0.0)
    assert not other.allows_calls(1.0, 10, 0.0)


# Guards against a daemon that pays for years for calls that it only supposes.
def test_what_a_daemon_owes_is_paid_back_within_two_windows():
    budget = budget_at()
    for _ in range(500):
        budget.count_request(0.0)
        budget.count_request(0.0, 1.0)
    assert budget.left(10, 0.0) < 0
    for step in range(200):
        budget.count_request(step * 100.0)
    assert budget.try_spend(10, 2 * WINDOW_MS)


# Guards against a daemon that was paused and spends what requests of long ago had earned.
def test_what_was_earned_before_a_long_pause_is_not_spent_after_it():
    budget = budget_at()
    for _ in range(1_000):
        budget.count_request(0.0)
    after_pause = 3 * WINDOW_MS
    assert sum(budget.try_spend(10, after_pause) for _ in range(300)) <= SHARE_OF_SLACK


@pytest.mark.parametrize("daemons", (1, 10, 2_000))
def test_the_total_holds_for_any_number_of_daemons(daemons):
    budgets = [budget_at(-WINDOW_MS) for _ in range(daemons)]
    for budget in budgets:
        budget.count_request(0.0)
    granted = sum(
        budget.try_spend(daemons, now) for now in (0.0, WINDOW_MS / 2) for budget in budgets
    )
    assert granted <= 0.2 * daemons + SLACK
