"""Record the recent events of one process, to be merged into a timeline of all processes."""

from __future__ import annotations

import logging
from collections import deque
from typing import Any

import msgspec

from egretworks.clock import Clock
from egretworks.types import InstanceId

# The oldest events are discarded beyond this number.
MAX_KEPT_EVENTS = 4_096

log = logging.getLogger("egretworks.timeline")


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold one event at one process and what it refers to.

    `serial` counts the events of the process since its start. `at_ms` is the wall clock's time in
    milliseconds since the epoch. Fields that do not apply are 0 or empty.
    """

    at_ms: float
    instance: str
    serial: int
    kind: str
    ticket: int = 0
    version: int = 0
    target: str = ""
    call: str = ""
    key: str = ""
    detail: str = ""
    # The values that led to a decision, by name; durations are in milliseconds.
    facts: dict[str, Any] = {}


class EventPage(msgspec.Struct, frozen=True):
    """Hold the events that a daemon returns to a query."""

    events: tuple[Event, ...] = ()


class Timeline:
    """Hold the last `MAX_KEPT_EVENTS` events of the process `instance`."""

    def __init__(self, instance: InstanceId, clock: Clock) -> None:
        self._instance = instance
        self._clock = clock
        self._events: deque[Event] = deque(maxlen=MAX_KEPT_EVENTS)
        self._serial = 0

    def record(
        self,
        kind: str,
        *,
        ticket: int = 0,
        version: int = 0,
        target: str = "",
        call: str = "",
        key: str = "",
        detail: str = "",
        facts: dict[str, Any] | None = None,
    ) -> None:
        """Add an event and log it."""
        self._serial += 1
        event = Event(
            self._clock.wall(),
            self._instance,
            self._serial,
            kind,
            ticket=ticket,
            version=version,
            target=target,
            call=call,
            key=key,
            detail=detail,
            facts=facts or {},
        )
        self._events.append(event)
        log.info(kind, extra={"event": msgspec.to_builtins(event)})

    def after(self, serial: int) -> list[Event]:
        """Return the kept events whose serial is greater than `serial`."""
        return [event for event in self._events if event.serial > serial]


def merge(events: list[Event]) -> list[Event]:
    """Return the events of several processes, sorted by their wall clock times."""
    return sorted(events, key=lambda event: (event.at_ms, event.instance, event.serial))
