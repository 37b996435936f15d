import random
from types import SimpleNamespace

import eventlet

from egretworks.later import MAX_AT_A_TIME, LaterCalls, LaterEntry
from egretworks.objects import ListedObject, ObjectList, dump

LOOKS = 40


class Store:
    """List kept calls that are never settled, as those with unknown outcomes are."""

    def __init__(self, count):
        entry = LaterEntry("k", "POST", b"/", (), b"", "c", 0, 0.0)
        value = dump(entry).decode()
        self.items = tuple(ListedObject(f"{n:03d}", "1", value) for n in range(count))

    def list(self, kind):
        return ObjectList(1, self.items)


def test_calls_that_cannot_be_settled_hold_up_no_others(monkeypatch):
    store = Store(MAX_AT_A_TIME * 3)
    later = LaterCalls(SimpleNamespace(random=random.Random(1)), store, None, None)
    tried = set()

    def send(name, entry):
        tried.add(name)
        later._in_hand.discard(name)

    monkeypatch.setattr(later, "_send_kept", send)
    for _ in range(LOOKS):
        later._look()
        eventlet.sleep(0)
    assert tried == {item.name for item in store.items}
