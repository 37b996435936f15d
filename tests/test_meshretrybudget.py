"""Test that the retries of all daemons together stay within the mesh-wide budget."""

from hypothesis import given
from hypothesis import strategies as st

from egretworks.meshretrybudget import MeshRetryBudget, RetryBounds

WINDOW_MS = 10_000.0


def test_a_daemon_without_requests_has_its_share_of_the_slack():
    budget = MeshRetryBudget(lambda: RetryBounds(0.2, WINDOW_MS, 60))
    granted = sum(budget.try_spend(10, 0.0) for _ in range(50))
    assert 0 < granted <= 6


def test_changed_bounds_apply_immediately():
    bounds = RetryBounds(0.2, WINDOW_MS, 60)
    budget = MeshRetryBudget(lambda: bounds)
    assert budget.try_spend(10, 0.0)
    bounds = RetryBounds(0.0, WINDOW_MS, 0)
    assert not budget.try_spend(10, 0.0)


def test_spent_budget_is_available_again_after_the_window():
    budget = MeshRetryBudget(lambda: RetryBounds(0.2, WINDOW_MS, 60))
    while budget.try_spend(10, 0.0):
        pass
    assert not budget.try_spend(10, WINDOW_MS - 600)
    assert budget.try_spend(10, WINDOW_MS + 600)


@given(
    st.lists(
        st.tuples(st.floats(0, 300), st.integers(0, 3), st.booleans()), min_size=1, max_size=300
    )
)
def test_every_window_of_all_daemons_keeps_to_the_ratio_and_the_slack(events):
    budgets = [MeshRetryBudget(lambda: RetryBounds(0.2, WINDOW_MS, 20)) for _ in range(4)]
    now, requests, retries = 0.0, [], []
    for gap, daemon, wants in events:
        now += gap
        budgets[daemon].count_request(now)
        requests.append(now)
        if wants and budgets[daemon].try_spend(len(budgets), now):
            retries.append(now)
    for end in retries:
        start = end - WINDOW_MS
        spent = sum(start < at <= end for at in retries)
        # The users' own check also counts the requests of the preceding window if these are more.
        # This bound counts both windows.
        counted = sum(start - WINDOW_MS < at <= end for at in requests)
        assert spent <= 0.2 * counted + 20


# Guards against a daemon that was paused and spends what requests of long ago had earned.
def test_what_was_earned_before_a_long_pause_is_not_spent_after_it():
    budget = MeshRetryBudget(lambda: RetryBounds(0.2, WINDOW_MS, 60))
    for _ in range(1_000):
        budget.count_request(0.0)
    after_pause = 3 * WINDOW_MS
    assert sum(budget.try_spend(10, after_pause) for _ in range(300)) <= 6
