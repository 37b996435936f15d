"""Reconstruct what happened to one call from the log lines of all daemons."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from egretworks.decoding import DECODE_ERRORS
from egretworks.exceptions import CallNotLogged
from egretworks.timeline import Event, merge

# State events are included from this long before the call's first event: a change of state can
# influence calls for some time after it happened.
STATE_EVENTS_WINDOW_MS = 10_000
# Kinds of events about the state of a daemon or a target, as the daemon that logs the event sees
# it, and not about a single call.
STATE_EVENT_KINDS = frozenset(
    (
        "config_in_force",
        "config_refused",
        "config_older",
        "link_up",
        "link_down",
        "settings_reloaded",
        "started",
        "stopping",
        "stopped",
        "store_lost",
        "store_regained",
        "target_changed",
    )
)


class _Line(msgspec.Struct):
    event: Event | None = None


class CallTrace(msgspec.Struct, frozen=True):
    """Hold a call's events and the state events of the daemons and targets involved.

    `beliefs` holds the state events, from `STATE_EVENTS_WINDOW_MS` before the first event in
    `events` until the last one. Both are sorted by time; `events` is not empty.
    """

    call: str
    events: tuple[Event, ...]
    beliefs: tuple[Event, ...]


def read_events(lines: Iterable[str]) -> list[Event]:
    """Return the events in log `lines`, which may have a prefix; skip lines without an event."""
    decoder = msgspec.json.Decoder(_Line)
    events = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            event = decoder.decode(line[start:].encode()).event
        except DECODE_ERRORS:
            # A line of another program, or a truncated one.
            continue
        if event is not None:
            events.append(event)
    return events


def explain(call: str, events: Iterable[Event]) -> CallTrace:
    """Return the trace of `call`.

    Raises `CallNotLogged` if none of `events` belongs to `call`.
    """
    all_events = list(events)
    call_events = merge([event for event in all_events if event.call == call])
    if not call_events:
        raise CallNotLogged(
            f"no log line belongs to call {call!r}",
            next_step="pass the logs of all daemons; of calls without failures only one in 128 is "
            "logged",
        )
    involved = _involved(call_events)
    first, last = call_events[0].at_ms, call_events[-1].at_ms
    state_events = [
        event
        for event in all_events
        if event.kind in STATE_EVENT_KINDS
        and (event.instance in involved or event.target in involved)
        and first - STATE_EVENTS_WINDOW_MS <= event.at_ms <= last
    ]
    return CallTrace(call, tuple(call_events), tuple(merge(state_events)))


def _involved(events: list[Event]) -> set[str]:
    """Return the ids of the daemons and targets that the events of a call name."""
    involved = set()
    for event in events:
        involved.add(event.instance)
        if isinstance(target := event.facts.get("target"), str):
            involved.add(target)
        for attempt in event.facts.get("attempts", ()):
            involved.add(str(attempt.get("daemon")))
    return involved


def format_trace(trace: CallTrace) -> str:
    """Return `trace` as text, with times relative to the call's first event.

    A `*` marks the events of the call itself.
    """
    origin = trace.events[0].at_ms
    lines = [f"call {trace.call}"]
    for event in merge([*trace.beliefs, *trace.events]):
        mark = "*" if event.call == trace.call else " "
        lines.append(
            f"{mark} {event.at_ms - origin:+10.1f} ms  {event.instance}  {_describe(event)}"
        )
        for number, attempt in enumerate(event.facts.get("attempts", ()), 1):
            fields = ", ".join(f"{name}={value}" for name, value in attempt.items())
            lines.append(f"{'':24}attempt {number}: {fields}")
    return "\n".join(lines)


def _describe(event: Event) -> str:
    """Return the kind of `event` and its fields, without its time, instance and attempts."""
    parts = [event.kind]
    if event.version:
        parts.append(f"version={event.version}")
    if event.target:
        parts.append(f"target={event.target}")
    if event.detail:
        parts.append(event.detail)
    parts += [f"{name}={value}" for name, value in event.facts.items() if name != "attempts"]
    return " ".join(parts)
