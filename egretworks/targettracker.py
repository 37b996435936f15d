"""Track the local target from its heartbeats: its incarnation and whether it accepts requests."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from egretworks.clock import Millis
from egretworks.edge import Departure, Heartbeat
from egretworks.types import Endpoint, ServiceName, TargetId, TargetState

# A leaving target is still sent requests for this share of the permitted drain time, so that
# requests already on their way to this daemon reach it.
DRAIN_SHARE = 0.5


class TargetIncarnation(msgspec.Struct):
    """Hold the known state of one incarnation of the target."""

    id: TargetId
    # Wall-clock milliseconds of the target's start.
    born: int
    service: ServiceName
    endpoint: Endpoint
    slots: int
    # Number of the newest heartbeat; older ones are ignored.
    sequence: int = 0
    # Version of the target's software.
    version: str = ""
    # A health check has shown that this target answers at the address.
    confirmed: bool = False
    # End of the drain: the target gets no requests from then on. None unless it is leaving.
    drain_ends_at: Millis | None = None
    # The target cannot be reached: it has left, has ended or is cut off.
    gone: bool = False

    def accepts_requests(self, now: Millis) -> bool:
        """Return whether requests may be sent to the target; still true while it drains."""
        if self.gone or not self.confirmed:
            return False
        return self.drain_ends_at is None or now < self.drain_ends_at

    @property
    def serving(self) -> bool:
        """Return whether other daemons should offer requests for the target."""
        return self.confirmed and not self.gone and self.drain_ends_at is None


class TargetTracker:
    """Hold the state of the current incarnation of the local target."""

    def __init__(self, drain_ms: Callable[[], float]) -> None:
        """Use the drain time that `drain_ms` returns when the target starts to leave."""
        self._drain_ms = drain_ms
        self.current: TargetIncarnation | None = None

    def apply_heartbeat(self, heartbeat: Heartbeat, now: Millis) -> bool:
        """Apply a heartbeat; return whether it changed what other daemons need to know."""
        incarnation = self.current
        if incarnation is None or self._is_other_incarnation(heartbeat.id, heartbeat.born):
            if incarnation is not None and heartbeat.born < incarnation.born:
                # A delayed heartbeat of an earlier incarnation.
                return False
            self.current = incarnation = TargetIncarnation(
                heartbeat.id,
                heartbeat.born,
                heartbeat.service,
                heartbeat.endpoint,
                heartbeat.slots,
                heartbeat.sequence,
                heartbeat.version,
            )
            self._apply_state(heartbeat, now)
            return True
        if heartbeat.sequence <= incarnation.sequence:
            # Leaving is final for an incarnation, however its heartbeats overtake each other.
            return heartbeat.state is TargetState.LEAVING and self._start_drain(now)
        incarnation.sequence = heartbeat.sequence
        before = (incarnation.serving, incarnation.slots, incarnation.gone)
        incarnation.slots = heartbeat.slots
        if incarnation.gone and incarnation.drain_ends_at is None:
            # The target was unreachable and is back.
            incarnation.gone = False
        self._apply_state(heartbeat, now)
        return before != (incarnation.serving, incarnation.slots, incarnation.gone)

    def apply_departure(self, departure: Departure, now: Millis) -> bool:
        """Start the drain if `departure` names this incarnation; return whether it did."""
        incarnation = self.current
        if incarnation is None or incarnation.id != departure.id:
            return False
        if departure.born is not None and departure.born != incarnation.born:
            return False
        return self._start_drain(now)

    def start_leaving(self, now: Millis) -> bool:
        """Start the drain of the current target; return False if it has started before."""
        return self._start_drain(now)

    def end_drain(self, now: Millis) -> bool:
        """End the drain of the current target at once; return False if it has ended before."""
        ends_at = self.current.drain_ends_at
        if ends_at is not None and ends_at <= now:
            return False
        self.current.drain_ends_at = now
        return True

    def confirm(self, id: TargetId) -> bool:
        """Mark the target as confirmed if its id is `id`; return whether that changed anything."""
        incarnation = self.current
        if incarnation is None or incarnation.id != id or incarnation.confirmed:
            return False
        incarnation.confirmed = True
        return True

    def mark_unreachable(self) -> bool:
        """Mark the target as unreachable; return whether that changed anything."""
        incarnation = self.current
        if incarnation is None or incarnation.gone:
            return False
        incarnation.gone = True
        return True

    def _is_other_incarnation(self, id: TargetId, born: int) -> bool:
        return (self.current.id, self.current.born) != (id, born)

    def _apply_state(self, heartbeat: Heartbeat, now: Millis) -> None:
        if heartbeat.state is TargetState.LEAVING:
            self._start_drain(now)

    def _start_drain(self, now: Millis) -> bool:
        """Set the end of the drain; return False if it was set before."""
        if self.current.drain_ends_at is not None:
            return False
        self.current.drain_ends_at = Millis(now + self._drain_ms() * DRAIN_SHARE)
        return True
