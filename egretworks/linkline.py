"""Let the links of a daemon take turns in sending parts of large frames over the same line."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from egretworks.bytebudget import ByteBudget
from egretworks.clock import Clock
from egretworks.linepacer import LinePacer
from egretworks.streams import Timer, call_later

# Shortest delay that the event loop's timers keep.
MIN_TIMER_MS = 1.0


class PartSource(Protocol):
    """Send parts of the large frames of one link."""

    @property
    def queued_bytes(self) -> int:
        """Return the bytes of large frames that wait to be sent in parts."""

    @property
    def urgent(self) -> bool:
        """Return whether rows or a configuration wait, which go before offers and outcomes."""

    def send_part(self, max_bytes: int) -> bool:
        """Send one part, and return whether another one can be sent at once."""


class LinkLine:
    """Share the machine's network line among the links of a daemon.

    Links with a part to send take turns (round robin) at the rate of the pacer; those with rows or
    a configuration to send go first.
    """

    def __init__(
        self,
        pacer: LinePacer,
        clock: Clock,
        budget: ByteBudget,
        schedule: Callable[[float, Callable[[], None]], Timer] = call_later,
    ) -> None:
        """Let links reserve the large frames that they send or receive in `budget`."""
        self._pacer = pacer
        self._clock = clock
        self._schedule = schedule
        self._links: set[PartSource] = set()
        # In the order of their turns.
        self._ready: dict[PartSource, None] = {}
        self._timer: Timer | None = None
        self._sending = False
        self.budget = budget

    @property
    def queued_bytes(self) -> int:
        """Return the bytes of large frames that wait on all links."""
        return sum(link.queued_bytes for link in self._links)

    def add(self, link: PartSource) -> None:
        """Add an open link."""
        self._links.add(link)

    def remove(self, link: PartSource) -> None:
        """Remove a link that has been closed."""
        self._links.discard(link)
        self._ready.pop(link, None)

    def charge(self, size: int) -> None:
        """Count bytes that a link has written."""
        self._pacer.charge(size, self._clock.now())

    def wake(self, link: PartSource) -> None:
        """Schedule `link`, which has a part to send and whose connection accepts data."""
        if link.queued_bytes:
            self._ready.setdefault(link)
            self._send_parts()

    def _send_parts(self, *, waited: bool = False) -> None:
        if self._sending or self._timer is not None:
            return
        self._sending = True
        wait_ms = 0.0
        try:
            while self._ready:
                # Small frames that were sent meanwhile do not delay a part that has waited.
                wait_ms = 0.0 if waited else self._pacer.wait_ms(self._clock.now())
                if wait_ms:
                    break
                waited = False
                link = next(
                    (ready for ready in self._ready if ready.urgent), next(iter(self._ready))
                )
                del self._ready[link]
                if link.send_part(self._pacer.part_bytes):
                    self._ready[link] = None
        finally:
            self._sending = False
            if self._ready:
                self._timer = self._schedule(max(MIN_TIMER_MS, wait_ms), self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._send_parts(waited=True)
