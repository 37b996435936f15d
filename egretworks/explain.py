"""Tell the story of one call from the log lines of all daemons."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from egretworks.exceptions import CallNotLogged
from egretworks.timeline import Event, merge

# What a daemon believed may have decided a call for this long after it last changed.
BELIEF_SPAN_MS = 10_000
# Events that tell what a daemon believes or does, and not what becomes of one call.
BELIEF_KINDS = frozenset(
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


class Story(msgspec.Struct, frozen=True):
    """Hold a call's events, and what the daemons involved believed before them."""

    call: str
    events: tuple[Event, ...]
    beliefs: tuple[Event, ...]


def read_events(lines: Iterable[str]) -> list[Event]:
    """Return the events in log lines; whatever else stands in a line is passed over."""
    decoder = msgspec.json.Decoder(_Line)
    events = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            event = decoder.decode(line[start:].encode()).event
        except msgspec.MsgspecError:
            # Another program's line, or one that was cut.
            continue
        if event is not None:
            events.append(event)
    return events


def explain(call: str, events: Iterable[Event]) -> Story:
    """Return the story of `call`, or raise `CallNotLogged`."""
    known = list(events)
    own = merge([event for event in known if event.call == call])
    if not own:
        raise CallNotLogged(
            f"no line names call {call!r}",
            next_step="give the logs of all daemons; of ordinary calls one in 128 is logged",
        )
    involved = _involved(own)
    first, last = own[0].at_ms, own[-1].at_ms
    beliefs = [
        event
        for event in known
        if event.kind in BELIEF_KINDS
        and (event.instance in involved or event.target in involved)
        and first - BELIEF_SPAN_MS <= event.at_ms <= last
    ]
    return Story(call, tuple(own), tuple(merge(beliefs)))


def _involved(events: list[Event]) -> set[str]:
    """Return the daemons and targets that had to do with a call."""
    involved = set()
    for event in events:
        involved.add(event.instance)
        if isinstance(target := event.facts.get("target"), str):
            involved.add(target)
        for attempt in event.facts.get("attempts", ()):
            involved.add(str(attempt.get("daemon")))
    return involved


def story_text(story: Story) -> str:
    """Return the story for people: times count from the call's first line."""
    origin = story.events[0].at_ms
    lines = [f"call {story.call}"]
    for event in merge([*story.beliefs, *story.events]):
        mark = "*" if event.call == story.call else " "
        lines.append(f"{mark} {event.at_ms - origin:+10.1f} ms  {event.instance}  {_words(event)}")
        for number, attempt in enumerate(event.facts.get("attempts", ()), 1):
            words = ", ".join(f"{name}={value}" for name, value in attempt.items())
            lines.append(f"{'':24}attempt {number}: {words}")
    return "\n".join(lines)


def _words(event: Event) -> str:
    words = [event.kind]
    if event.version:
        words.append(f"version={event.version}")
    if event.target:
        words.append(f"target={event.target}")
    if event.detail:
        words.append(event.detail)
    words += [f"{name}={value}" for name, value in event.facts.items() if name != "attempts"]
    return " ".join(words)
