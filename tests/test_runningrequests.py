"""Test which calls of a target are taken for calls made in retries."""

import pytest

from egretworks.runningrequests import MAX_COUNTED_RUNS, RunningRequest, RunningRequests


def test_a_call_is_part_of_a_retry_with_the_share_of_retries_among_the_running_requests():
    running = RunningRequests()
    assert running.attribute("ledger", 1_000.0) == 0
    retry = RunningRequest("view", 1_000.0, 1.0)
    running.start(retry)
    assert running.attribute("ledger", 900.0) == 1
    running.start(RunningRequest("view", 1_200.0, 0.0))
    assert running.attribute("ledger", 900.0) == 0.5
    running.end(retry)
    assert running.attribute("ledger", 900.0) == 0


# Guards against a caller's own request that is paid for as a call: it expires later than what runs.
def test_a_request_that_expires_later_than_all_that_run_is_no_call():
    running = RunningRequests()
    running.start(RunningRequest("view", 1_000.0, 1.0))
    assert running.attribute("ledger", 1_100.0) == 0
    assert running.expected_calls("view") == {}


def test_the_calls_of_a_run_are_counted_by_route_and_service():
    running = RunningRequests()
    for number in range(2 * MAX_COUNTED_RUNS):
        request = RunningRequest("view", 1_000.0, 0.0)
        running.start(request)
        running.attribute("ledger", 900.0)
        if number % 2:
            running.attribute("desk", 900.0)
        running.end(request)
    expected = running.expected_calls("view")
    assert expected["ledger"] == pytest.approx(1, rel=0.05)
    assert expected["desk"] == pytest.approx(0.5, rel=0.05)
    assert running.expected_calls("other") == {}


def test_the_calls_of_retries_that_run_already_are_expected_too():
    running = RunningRequests()
    request = RunningRequest("view", 1_000.0, 1.0)
    running.start(request)
    running.attribute("ledger", 900.0)
    assert running.expected_calls("view") == {"ledger": 2.0}
