"""Test that queued calls which cannot be settled do not starve others."""

import random
from types import SimpleNamespace

import eventlet

from egretworks.later import MAX_CONCURRENT_SENDS, LaterCalls, LaterEntry
from egretworks.objects import ListedObject, ObjectList, dump

POLLS = 40


class Store:
    """A store whose queued calls are never settled, as if their outcomes were unknown."""

    def __init__(self, count):
        entry = LaterEntry("k", "POST", b"/", (), b"", "c", 0, 0.0)
        value = dump(entry).decode()
        self.items = tuple(ListedObject(f"{n:03d}", "1", value) for n in range(count))

    def list(self, kind):
        return ObjectList(1, self.items)


def test_calls_that_cannot_be_settled_do_not_starve_others(monkeypatch):
    """Test for a random order: in a fixed one the first calls would take all sends at each poll."""
    store = Store(MAX_CONCURRENT_SENDS * 3)
    later = LaterCalls(SimpleNamespace(random=random.Random(1)), store, None, None)
    tried = set()

    def send(name, entry):
        tried.add(name)
        later._in_flight.discard(name)

    monkeypatch.setattr(later, "_send_queued", send)
    for _ in range(POLLS):
        later._poll()
        eventlet.sleep(0)
    assert tried == {item.name for item in store.items}
