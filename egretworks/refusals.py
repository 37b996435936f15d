"""Remember which targets have just refused requests of a route because they were busy."""

from __future__ import annotations

from egretworks.clock import Millis
from egretworks.types import RouteName

# After this time a refusal says little about the target, as each answer frees a slot.
MOST_REMEMBERED_MS = 40.0
# Expired entries are removed once the number of entries has reached this.
MANY_ENTRIES = 2_000


class RecentRefusals:
    """Hold, by target and route, the time until which the gate expects no free slot."""

    def __init__(self) -> None:
        self._until: dict[tuple[str, RouteName], Millis] = {}

    def note(self, place: str, route: RouteName, room_in_ms: float, now: Millis) -> None:
        """Record that `place` will have no free slot for `route` within `room_in_ms`.

        No refusal is remembered for longer than `MOST_REMEMBERED_MS`.
        """
        if len(self._until) >= MANY_ENTRIES:
            self._until = {key: until for key, until in self._until.items() if until > now}
        self._until[place, route] = Millis(now + min(room_in_ms, MOST_REMEMBERED_MS))

    def is_busy(self, place: str, route: RouteName, now: Millis) -> bool:
        """Return whether `place` would probably refuse a request of `route`."""
        return self._until.get((place, route), now) > now
