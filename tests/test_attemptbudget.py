"""Prove that the daemons' further attempts add up to less than the mesh's budget."""

from hypothesis import given
from hypothesis import strategies as st

from egretworks.attemptbudget import AttemptBounds, AttemptBudget

WINDOW_MS = 10_000.0


def test_a_quiet_daemon_has_its_part_of_the_slack():
    budget = AttemptBudget(lambda: AttemptBounds(0.2, WINDOW_MS, 60))
    granted = sum(budget.spend(10, 0.0) for _ in range(50))
    assert 0 < granted <= 6


def test_changed_bounds_hold_at_once():
    bounds = AttemptBounds(0.2, WINDOW_MS, 60)
    budget = AttemptBudget(lambda: bounds)
    assert budget.spend(10, 0.0)
    bounds = AttemptBounds(0.0, WINDOW_MS, 0)
    assert not budget.spend(10, 0.0)


def test_what_was_spent_comes_back_after_the_window():
    budget = AttemptBudget(lambda: AttemptBounds(0.2, WINDOW_MS, 60))
    while budget.spend(10, 0.0):
        pass
    assert not budget.spend(10, WINDOW_MS - 600)
    assert budget.spend(10, WINDOW_MS + 600)


@given(
    st.lists(
        st.tuples(st.floats(0, 300), st.integers(0, 3), st.booleans()), min_size=1, max_size=300
    )
)
def test_every_window_of_all_daemons_keeps_to_the_ratio_and_the_slack(events):
    budgets = [AttemptBudget(lambda: AttemptBounds(0.2, WINDOW_MS, 20)) for _ in range(4)]
    now, requests, extras = 0.0, [], []
    for gap, daemon, wants in events:
        now += gap
        budgets[daemon].count_request(now)
        requests.append(now)
        if wants and budgets[daemon].spend(len(budgets), now):
            extras.append(now)
    for end in extras:
        start = end - WINDOW_MS
        spent = sum(start < at <= end for at in extras)
        # The users count the requests of the window before as well, where they are more.
        counted = sum(start - WINDOW_MS < at <= end for at in requests)
        assert spent <= 0.2 * counted + 20
