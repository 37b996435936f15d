"""Test the estimate of how long frames were queued on their way between two clocks."""

from egretworks.clock import Millis
from egretworks.transit import WINDOW_MS, TransitEstimator

# The receiver's clock is this much ahead of the sender's.
OFFSET_MS = 7_000_000.0


def queued_ms(estimator, sent_at, transit_ms):
    return estimator.queued_ms(Millis(sent_at), Millis(sent_at + OFFSET_MS + transit_ms))


def test_only_the_time_beyond_the_shortest_transit_counts():
    estimator = TransitEstimator()
    assert queued_ms(estimator, 0, 2.0) == 0
    assert queued_ms(estimator, 100, 502.0) == 500
    assert queued_ms(estimator, 700, 1.0) == 0
    assert queued_ms(estimator, 800, 11.0) == 10


def test_the_reference_outlasts_a_window_and_is_renewed_after_two():
    estimator = TransitEstimator()
    queued_ms(estimator, 0, 1.0)
    assert queued_ms(estimator, WINDOW_MS + 10, 301.0) == 300
    # Clocks that drift apart look like a transit that grows for ever.
    assert queued_ms(estimator, 3 * WINDOW_MS, 301.0) == 0
