"""Track which share of the requests that run at the local target are retries."""

from __future__ import annotations


class RunningRetries:
    """Count the requests that run at a target, and how many of them are retries.

    A call that a target makes while it runs a retry is one more call than the caller's request
    needed. Nothing in a call names the request that it belongs to, so each call is taken to be part
    of a retry with the share of retries among the requests that run at the time.
    """

    def __init__(self) -> None:
        self._running = 0
        self._retries = 0.0

    @property
    def share(self) -> float:
        """Return the share of retries among the running requests, 0 if none run."""
        return self._retries / self._running if self._running else 0.0

    def start(self, retry_share: float) -> None:
        """Add a request that starts; `retry_share` is the probability that it is a retry."""
        self._running += 1
        self._retries += retry_share

    def end(self, retry_share: float) -> None:
        """Remove a request that has ended."""
        self._running -= 1
        # Rounding errors must not add up while the target is never idle.
        self._retries = max(0.0, self._retries - retry_share) if self._running else 0.0
