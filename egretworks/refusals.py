"""Remember which targets have just refused a route's requests for want of room."""

from __future__ import annotations

from egretworks.clock import Millis
from egretworks.types import RouteName

# A refusal says little about the target after this time, as each answer frees a slot.
MOST_REMEMBERED_MS = 40.0
# Entries that are over are dropped once there are so many.
MANY_ENTRIES = 2_000


class RecentRefusals:
    """Keep until when each target has no room for a route, as its gate has said."""

    def __init__(self) -> None:
        self._until: dict[tuple[str, RouteName], Millis] = {}

    def note(self, place: str, route: RouteName, room_in_ms: float, now: Millis) -> None:
        """Note that `place` has room for `route` in `room_in_ms` at the earliest."""
        if len(self._until) >= MANY_ENTRIES:
            self._until = {key: until for key, until in self._until.items() if until > now}
        self._until[place, route] = Millis(now + min(room_in_ms, MOST_REMEMBERED_MS))

    def is_busy(self, place: str, route: RouteName, now: Millis) -> bool:
        """Return whether an offer to `place` would be refused, as far as is known."""
        return self._until.get((place, route), now) > now
