"""Estimate how long frames were on their way between two daemons, whose clocks differ."""

from __future__ import annotations

from egretworks.clock import Millis

# The shortest transit of the current and the previous window of this length is the reference. It
# is renewed because clocks of two machines drift apart.
WINDOW_MS = 30_000.0


class TransitEstimator:
    """Compare each transit with the shortest one seen lately.

    The difference of the sender's and the receiver's clock readings is the transit time plus an
    unknown offset of the clocks. What a difference exceeds the smallest one by was spent in queues:
    in send buffers, on a busy link or unread in the receiver's socket.
    """

    def __init__(self) -> None:
        self._window_ends_at = Millis(0)
        self._smallest = float("inf")
        self._previous_smallest = float("inf")

    def queued_ms(self, sent_at: Millis, received_at: Millis) -> float:
        """Return how long a frame was queued on its way, in milliseconds.

        `sent_at` is read from the sender's clock and `received_at` from the receiver's.
        """
        if received_at >= self._window_ends_at:
            self._window_ends_at = Millis(received_at + WINDOW_MS)
            self._previous_smallest, self._smallest = self._smallest, float("inf")
        difference = received_at - sent_at
        self._smallest = min(self._smallest, difference)
        return difference - min(self._smallest, self._previous_smallest)
