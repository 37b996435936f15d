"""Remember which targets have just refused requests of a route because they were busy."""

from __future__ import annotations

from egretworks.clock import Millis
from egretworks.types import RouteName

# After this time a refusal says little about the target, as each answer frees a slot.
MAX_REMEMBERED_MS = 40.0
# Expired entries are removed once the number of entries has reached this.
PRUNE_AT_ENTRIES = 2_000


class RecentRefusals:
    """Hold, by target and route, the time until which the gate expects no free slot."""

    def __init__(self) -> None:
        self._busy_until: dict[tuple[str, RouteName], Millis] = {}

    def record(self, daemon: str, route: RouteName, retry_after_ms: float, now: Millis) -> None:
        """Record that `daemon` expects no free slot for `route` within `retry_after_ms`.

        No refusal is remembered for longer than `MAX_REMEMBERED_MS`.
        """
        if len(self._busy_until) >= PRUNE_AT_ENTRIES:
            self._busy_until = {
                key: until for key, until in self._busy_until.items() if until > now
            }
        self._busy_until[daemon, route] = Millis(now + min(retry_after_ms, MAX_REMEMBERED_MS))

    def is_busy(self, daemon: str, route: RouteName, now: Millis) -> bool:
        """Return whether `daemon` would probably refuse a request of `route`."""
        return self._busy_until.get((daemon, route), now) > now
