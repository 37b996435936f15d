"""Track the local target from its heartbeats: its incarnation and whether it accepts requests."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from egretworks.clock import Millis
from egretworks.edge import Departure, Heartbeat
from egretworks.types import Endpoint, ServiceName, TargetId, TargetState

# A leaving target is still sent requests for this share of the drain time that is allowed, so that
# requests already on their way reach it.
DRAIN_SHARE = 0.5


class TargetView(msgspec.Struct):
    """Hold the known state of one incarnation of the target."""

    id: TargetId
    # Wall-clock milliseconds of the target's start.
    born: int
    service: ServiceName
    endpoint: Endpoint
    slots: int
    # Number of the newest heartbeat; older ones are ignored.
    sequence: int = 0
    # A health check has shown that this target answers at the address.
    confirmed: bool = False
    # End of the drain: the target gets no requests from then on. None unless it is leaving.
    closes_at: Millis | None = None
    # The target cannot be reached: it has left, has ended or is cut off.
    gone: bool = False

    def takes(self, now: Millis) -> bool:
        """Return whether requests may be sent to the target; still true while it drains."""
        if self.gone or not self.confirmed:
            return False
        return self.closes_at is None or now < self.closes_at

    @property
    def serving(self) -> bool:
        """Return whether other daemons should offer requests for the target."""
        return self.confirmed and not self.gone and self.closes_at is None


class TargetBook:
    """Hold the state of the current incarnation of the local target."""

    def __init__(self, drain_ms: Callable[[], float]) -> None:
        """Use the drain time that `drain_ms` returns when the target starts to leave."""
        self._drain_ms = drain_ms
        self.current: TargetView | None = None

    def heartbeat(self, beat: Heartbeat, now: Millis) -> bool:
        """Apply a heartbeat; return whether it changed what other daemons need to know."""
        view = self.current
        if view is None or self._is_other(beat.id, beat.born):
            if view is not None and beat.born < view.born:
                # A delayed heartbeat of an earlier incarnation.
                return False
            self.current = view = TargetView(
                beat.id, beat.born, beat.service, beat.endpoint, beat.slots, beat.sequence
            )
            self._follow_state(beat, now)
            return True
        if beat.sequence <= view.sequence:
            return False
        view.sequence = beat.sequence
        before = (view.serving, view.slots, view.gone)
        view.slots = beat.slots
        if view.gone and view.closes_at is None:
            # The target was unreachable and is back.
            view.gone = False
        self._follow_state(beat, now)
        return before != (view.serving, view.slots, view.gone)

    def depart(self, departure: Departure, now: Millis) -> bool:
        """Start the drain if `departure` names this incarnation; return whether it did."""
        view = self.current
        if view is None or view.id != departure.id:
            return False
        if departure.born is not None and departure.born != view.born:
            return False
        return self._begin_to_close(now)

    def confirm(self, id: TargetId) -> bool:
        """Mark the target as confirmed if its id is `id`; return whether that changed anything."""
        view = self.current
        if view is None or view.id != id or view.confirmed:
            return False
        view.confirmed = True
        return True

    def lose(self) -> bool:
        """Mark the target as unreachable; return whether that changed anything."""
        view = self.current
        if view is None or view.gone:
            return False
        view.gone = True
        return True

    def _is_other(self, id: TargetId, born: int) -> bool:
        return (self.current.id, self.current.born) != (id, born)

    def _follow_state(self, beat: Heartbeat, now: Millis) -> None:
        if beat.state is TargetState.LEAVING:
            self._begin_to_close(now)

    def _begin_to_close(self, now: Millis) -> bool:
        """Set the end of the drain; return False if it was set before."""
        if self.current.closes_at is not None:
            return False
        self.current.closes_at = Millis(now + self._drain_ms() * DRAIN_SHARE)
        return True
