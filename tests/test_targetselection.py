"""Test which target is selected for a request."""

import random

import msgspec

from egretworks.targetselection import (
    FEW_SLOTS,
    UNKNOWN_WORK_MS,
    TargetEstimate,
    assume_unknown_work,
    select_target,
)

FREE = TargetEstimate(load=0, slots=10, work_ms=100.0, failing_percent=0, near=True, suspect=False)


def chosen(*estimates, tries=200):
    source = random.Random(4)
    return {select_target(estimates, source) for _ in range(tries)}


def changed(**changes):
    return msgspec.structs.replace(FREE, **changes)


def test_no_targets_give_none():
    assert select_target([], random.Random(1)) is None


def test_equal_targets_share_the_requests():
    assert chosen(FREE, FREE, FREE) == {0, 1, 2}


def test_a_free_far_target_is_preferred_to_a_full_near_one():
    assert chosen(changed(load=40), changed(near=False)) == {1}


def test_a_near_target_is_preferred_while_it_has_free_slots():
    assert chosen(changed(near=False), changed(load=3)) == {1}


def test_a_fast_target_is_preferred_to_a_slow_one():
    assert chosen(changed(work_ms=300.0), FREE) == {1}


def test_a_failing_target_is_avoided():
    assert chosen(changed(failing_percent=50), FREE) == {1}


def test_a_suspect_daemon_is_the_last_choice():
    assert chosen(changed(suspect=True), changed(load=50, near=False)) == {1}
    assert chosen(changed(suspect=True)) == {0}


# A target that has just started has reported no processing time. A default that is lower than the
# others' times would draw the requests of all daemons to it while it is still cold.
def test_a_target_without_measurements_counts_as_fast_as_the_mean_of_the_others():
    few = {"slots": FEW_SLOTS}
    estimates = [
        changed(work_ms=200.0, **few),
        changed(work_ms=300.0, **few),
        changed(work_ms=0.0, **few),
    ]
    assume_unknown_work(estimates)
    assert [estimate.work_ms for estimate in estimates] == [200.0, 300.0, 250.0]


def test_without_any_measurement_all_targets_count_as_equally_fast():
    estimates = [changed(work_ms=0.0, slots=FEW_SLOTS), changed(work_ms=0.0)]
    assume_unknown_work(estimates)
    assert [estimate.work_ms for estimate in estimates] == [UNKNOWN_WORK_MS] * 2
