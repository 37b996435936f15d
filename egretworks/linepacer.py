"""Pace the parts of large frames at the rate of the machine's network line."""

from __future__ import annotations

from collections.abc import Callable

from egretworks.clock import Millis

BYTES_PER_MS_PER_MBPS = 125
# TCP and IP headers take 4% of full segments; the rest is left to traffic that is not of links.
LINE_SHARE = 0.92
# A part takes this long on the line: 4.6 KB at 5 Mbit/s.
PART_MS = 8
# Smaller parts would cost more processor time than they save waiting time, and larger ones save
# little: 16 KB cost less than 0.1 ms, and take 1.3 ms at 100 Mbit/s.
MIN_PART_BYTES = 4_096
MAX_PART_BYTES = 16_384
# Line time that may be caught up after a late timer. With one part more, a small frame waits for at
# most 28 ms.
BURST_MS = 20
# Small frames that fill the line hold parts up for at most this long, so that parts get a twelfth
# of the line even then, or if the stated rate is too low.
MAX_DEBT_MS = 100


class LinePacer:
    """Limit the rate of parts with a token bucket; other frames are counted but not delayed.

    `mbps` returns the rate of the line in Mbit/s; with 0 there is no limit.
    """

    def __init__(self, mbps: Callable[[], float]) -> None:
        self._mbps = mbps
        self._tokens = 0.0
        self._refilled_at: Millis | None = None

    @property
    def part_bytes(self) -> int:
        """Return the size of a part."""
        rate = self._bytes_per_ms
        if not rate:
            return MAX_PART_BYTES
        return int(min(MAX_PART_BYTES, max(MIN_PART_BYTES, rate * PART_MS)))

    def charge(self, size: int, now: Millis) -> None:
        """Count `size` bytes that are sent now."""
        self._refill(now)
        self._tokens = max(self._tokens - size, -MAX_DEBT_MS * self._bytes_per_ms)

    def wait_ms(self, now: Millis) -> float:
        """Return how long to wait before the next part is sent."""
        self._refill(now)
        return -self._tokens / self._bytes_per_ms if self._tokens < 0 else 0.0

    @property
    def _bytes_per_ms(self) -> float:
        return self._mbps() * BYTES_PER_MS_PER_MBPS * LINE_SHARE

    def _refill(self, now: Millis) -> None:
        rate = self._bytes_per_ms
        elapsed_ms = 0.0 if self._refilled_at is None else now - self._refilled_at
        self._refilled_at = now
        tokens = min(self._tokens + rate * elapsed_ms, BURST_MS * rate)
        self._tokens = max(tokens, -MAX_DEBT_MS * rate)
