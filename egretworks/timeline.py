"""Keep the recent events of one process, so that a time line over all can be drawn."""

from __future__ import annotations

import logging
from collections import deque
from typing import Any

import msgspec

from egretworks.clock import Clock
from egretworks.types import InstanceId

KEPT_EVENTS = 4_096

log = logging.getLogger("egretworks.timeline")


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """Record what happened at one process, with what it concerned."""

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
    # What decided, by name; durations in milliseconds.
    facts: dict[str, Any] = {}


class EventPage(msgspec.Struct, frozen=True):
    """Carry a daemon's events."""

    events: tuple[Event, ...] = ()


class Timeline:
    """Collect the events of instance `instance`."""

    def __init__(self, instance: InstanceId, clock: Clock) -> None:
        self._instance = instance
        self._clock = clock
        self._events: deque[Event] = deque(maxlen=KEPT_EVENTS)
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
        """Return the events kept with a serial above `serial`."""
        return [event for event in self._events if event.serial > serial]


def merge(events: list[Event]) -> list[Event]:
    """Return the events of several processes in the order of their clocks."""
    return sorted(events, key=lambda event: (event.at_ms, event.instance, event.serial))
