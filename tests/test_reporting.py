"""Test that the status of a data centre is written, whoever else writes it."""

import random
from types import SimpleNamespace

import eventlet
from hubtools import run_hub

from egretworks import reporting
from egretworks.exceptions import ObjectConflict
from egretworks.objects import StoredObject, dump, load
from egretworks.operatorpages import CentreStatus

OLDER = CentreStatus("dc", "d1", 1.0, 2, 5, 5)
OWN = CentreStatus("dc", "d0", 2.0, 2, 6, 6)


class RacingStore:
    """Hold a status; another aggregator overwrites it before this one's first update."""

    def __init__(self):
        self.value = dump(OLDER)
        self.tag = 1
        self.races = 1

    def read(self, kind, name):
        return StoredObject(name, self.value, str(self.tag))

    def update(self, kind, name, value, etag):
        if self.races:
            self.races -= 1
            self.tag += 1
        if etag != str(self.tag):
            raise ObjectConflict("another update came first")
        self.value = value
        self.tag += 1


# An aggregator that is being replaced writes what it knows once more, after its successor has read.
# That older status stayed for as long as nothing else changed.
def test_a_status_that_loses_to_another_aggregator_is_written_again(monkeypatch):
    monkeypatch.setattr(reporting, "WRITE_EVERY_MS", 5)
    monkeypatch.setattr(reporting, "centre_status", lambda board: OWN)
    board = SimpleNamespace(
        stopping=False,
        random=random.Random(1),
        roles=SimpleNamespace(aggregator=lambda: "d0"),
        own_id="d0",
    )
    store = RacingStore()
    thread = eventlet.spawn(reporting.run_status, board, SimpleNamespace(store=store))
    run_hub(lambda: load(store.value, CentreStatus) == OWN, within_ms=1_000)
    thread.kill()
