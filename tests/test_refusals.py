"""Prove that refusals are remembered for a moment, by target and route."""

from egretworks.refusals import MANY_ENTRIES, MOST_REMEMBERED_MS, RecentRefusals


def test_a_target_is_busy_for_the_route_until_there_may_be_room():
    refusals = RecentRefusals()
    assert not refusals.is_busy("d1", "view", 0.0)
    refusals.note("d1", "view", 15.0, 100.0)
    assert refusals.is_busy("d1", "view", 110.0)
    assert not refusals.is_busy("d1", "view", 116.0)
    assert not refusals.is_busy("d1", "give", 110.0)
    assert not refusals.is_busy("d2", "view", 110.0)


def test_no_refusal_is_remembered_for_long():
    refusals = RecentRefusals()
    refusals.note("d1", "view", 5_000.0, 0.0)
    assert not refusals.is_busy("d1", "view", MOST_REMEMBERED_MS)


def test_what_is_remembered_is_bounded():
    refusals = RecentRefusals()
    for number in range(MANY_ENTRIES * 3):
        refusals.note(f"d{number}", "view", MOST_REMEMBERED_MS, float(number))
    assert len(refusals._until) <= MANY_ENTRIES + 1
