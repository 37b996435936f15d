"""Test which share of the requests at a target is taken for retries."""

from egretworks.runningretries import RunningRetries


def test_the_share_follows_the_requests_that_run():
    retries = RunningRetries()
    assert retries.share == 0
    retries.start(1.0)
    assert retries.share == 1
    retries.start(0.0)
    retries.start(0.5)
    assert retries.share == 0.5
    retries.end(1.0)
    assert retries.share == 0.25


# Guards against a target that counts as running retries for ever after sums of fractions.
def test_nothing_is_left_when_no_request_runs():
    retries = RunningRetries()
    for share in (0.1, 0.2, 0.3):
        retries.start(share)
    for share in (0.3, 0.1, 0.2):
        retries.end(share)
    retries.start(0.0)
    assert retries.share == 0
