"""Decide from heartbeats which target stands beside the daemon and whether it takes requests."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from egretworks.clock import Millis
from egretworks.edge import Departure, Heartbeat
from egretworks.types import Endpoint, ServiceName, TargetId, TargetState

# A leaving target gets what is on its way for this part of the time that the contract allows.
DRAIN_SHARE = 0.5


class TargetView(msgspec.Struct):
    """Hold what is known of one incarnation of the target."""

    id: TargetId
    born: int
    service: ServiceName
    endpoint: Endpoint
    slots: int
    sequence: int = 0
    # A health check or heartbeat has shown that this incarnation is there.
    confirmed: bool = False
    # Requests may no longer be handed over after this time.
    closes_at: Millis | None = None
    # The target has left, ended or can't be reached.
    gone: bool = False

    def takes(self, now: Millis) -> bool:
        """Return whether requests may be handed to the target."""
        if self.gone or not self.confirmed:
            return False
        return self.closes_at is None or now < self.closes_at

    @property
    def serving(self) -> bool:
        """Return whether other daemons should send requests for the target."""
        return self.confirmed and not self.gone and self.closes_at is None


class TargetBook:
    """Follow the target beside the daemon through its incarnations."""

    def __init__(self, drain_ms: Callable[[], float]) -> None:
        """Follow a target that may get requests for what `drain_ms` returns once it is leaving."""
        self._drain_ms = drain_ms
        self.current: TargetView | None = None

    def heartbeat(self, beat: Heartbeat, now: Millis) -> bool:
        """Take in a heartbeat; return whether it changed anything."""
        view = self.current
        if view is None or self._is_other(beat.id, beat.born):
            if view is not None and beat.born < view.born:
                # An earlier incarnation's heartbeat was held up on its way.
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
            # It was out of reach and is back.
            view.gone = False
        self._follow_state(beat, now)
        return before != (view.serving, view.slots, view.gone)

    def depart(self, departure: Departure, now: Millis) -> bool:
        """Take in that a target leaves; return whether it changed anything."""
        view = self.current
        if view is None or view.id != departure.id:
            return False
        if departure.born is not None and departure.born != view.born:
            return False
        return self._begin_to_close(now)

    def confirm(self, id: TargetId) -> bool:
        """Note that target `id` is healthy at the address; return whether that is news."""
        view = self.current
        if view is None or view.id != id or view.confirmed:
            return False
        view.confirmed = True
        return True

    def lose(self) -> bool:
        """Note that the target can't be reached; return whether that is news."""
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
        if self.current.closes_at is not None:
            return False
        self.current.closes_at = Millis(now + self._drain_ms() * DRAIN_SHARE)
        return True
