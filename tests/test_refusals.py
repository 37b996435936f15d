"""Test that refusals are remembered briefly, and when refused callers are told to return."""

import random

from egretworks.refusals import (
    FEW_SLOTS_REMEMBERED_MS,
    MAX_REMEMBERED_MS,
    MAX_RETRY_AFTER_SHARE,
    MIN_RETRY_AFTER_MS,
    PRUNE_AT_ENTRIES,
    RETRY_AFTER_JITTER,
    RecentRefusals,
    retry_after_ms,
)


def test_a_target_is_busy_for_the_route_until_a_slot_may_be_free():
    refusals = RecentRefusals()
    assert not refusals.is_busy("d1", "view", 0.0)
    refusals.record("d1", "view", 15.0, 100.0)
    assert refusals.is_busy("d1", "view", 110.0)
    assert not refusals.is_busy("d1", "view", 116.0)
    assert not refusals.is_busy("d1", "give", 110.0)
    assert not refusals.is_busy("d2", "view", 110.0)


def test_no_refusal_is_remembered_for_long():
    refusals = RecentRefusals()
    refusals.record("d1", "view", 5_000.0, 0.0)
    assert not refusals.is_busy("d1", "view", MAX_REMEMBERED_MS)


# At few slots an answer is rare: a request that is offered again soon is refused again.
def test_a_refusal_of_a_target_with_few_slots_is_remembered_for_longer():
    refusals = RecentRefusals()
    refusals.record("d1", "view", 5_000.0, 0.0, few_slots=True)
    assert refusals.is_busy("d1", "view", MAX_REMEMBERED_MS)
    assert not refusals.is_busy("d1", "view", FEW_SLOTS_REMEMBERED_MS)


def test_the_number_of_entries_is_bounded():
    refusals = RecentRefusals()
    for number in range(PRUNE_AT_ENTRIES * 3):
        refusals.record(f"d{number}", "view", MAX_REMEMBERED_MS, float(number))
    assert len(refusals._busy_until) <= PRUNE_AT_ENTRIES + 1


def test_callers_refused_together_return_at_different_times_that_they_honour():
    source = random.Random(1)
    times = [retry_after_ms(5_000.0, 4_000.0, source) for _ in range(200)]
    assert max(times) <= 4_000.0 / 3
    assert min(times) >= 4_000.0 * MAX_RETRY_AFTER_SHARE * (1 - RETRY_AFTER_JITTER)
    assert max(times) - min(times) > 250


def test_a_caller_is_not_told_to_return_at_once():
    assert retry_after_ms(0.0, 4_000.0, random.Random(1)) == MIN_RETRY_AFTER_MS
