"""Test that refusals are remembered briefly, by target and route."""

from egretworks.refusals import MAX_REMEMBERED_MS, PRUNE_AT_ENTRIES, RecentRefusals


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


def test_the_number_of_entries_is_bounded():
    refusals = RecentRefusals()
    for number in range(PRUNE_AT_ENTRIES * 3):
        refusals.record(f"d{number}", "view", MAX_REMEMBERED_MS, float(number))
    assert len(refusals._busy_until) <= PRUNE_AT_ENTRIES + 1
