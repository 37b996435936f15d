"""Test which requests a stopping daemon still begins."""

import pytest

from egretworks.plannedstop import planned_stop


@pytest.mark.parametrize(
    ("began", "deadline", "too_late"),
    (
        (1_000, 9_000, False),
        (4_000, 20_000, False),
        (4_001, 7_000, False),
        (4_001, 7_001, True),
        (6_999, 7_000, False),
        (9_000, 9_500, True),
    ),
)
def test_late_requests_begin_only_if_they_expire_before_the_end(began, deadline, too_late):
    assert planned_stop(1_000, 6_000).is_too_late(began, deadline) is too_late


def test_the_end_is_sooner_by_what_is_reserved():
    stop = planned_stop(0, 6_000, reserved_ms=700)
    assert stop.is_too_late(3_001, 5_301)
    assert not stop.is_too_late(3_001, 5_300)
