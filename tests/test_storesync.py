"""Test that the clients of the platform's store go on after any failure."""

import random

import eventlet
import pytest
from hubtools import run_hub

from egretworks import storesync
from egretworks.clock import SystemClock
from egretworks.rows import DaemonRow
from egretworks.storesync import ConfigWatch, PeerDiscovery, Snapshot, Stored, encode_row
from egretworks.timeline import Timeline

OWN = DaemonRow("d1", "dc", "127.0.0.1", 1, 1, 0)


class FaultyStore:
    """Raise an unexpected error for the first calls."""

    def __init__(self, failures):
        self.failures = failures

    def list(self, kind, *, allow_stale=False):
        self._fail()
        document = encode_row(OWN) if kind == storesync.ROW_KIND else b"{}"
        return Snapshot(1, (Stored("d1", 1, document),))

    def watch(self, kind, revision, wait_ms):
        eventlet.sleep(0.01)
        return Snapshot(revision, ())

    def create(self, kind, name, document):
        self._fail()

    def _fail(self):
        if self.failures:
            self.failures -= 1
            raise RecursionError("unexpected")


@pytest.fixture(autouse=True)
def short_pauses(monkeypatch):
    monkeypatch.setattr(storesync, "RETRY_MS", 2)


# Guards against a daemon that gets no version any more: the green thread that watches the store had
# ended at an error that nobody expected.
def test_the_watch_goes_on_after_an_unexpected_error(caplog):
    applied, reachable = [], []
    watch = ConfigWatch(
        FaultyStore(3),
        applied.append,
        lambda: True,
        reachable.append,
        Timeline("t", SystemClock()),
        random.Random(1),
    )
    thread = eventlet.spawn(watch.run)
    run_hub(lambda: applied and reachable == [False, True])
    thread.kill()
    assert "unexpected error in a call of the store" in caplog.text


def test_discovery_goes_on_after_an_unexpected_error():
    merged = []
    discovery = PeerDiscovery(
        FaultyStore(3), lambda: OWN, merged.append, Timeline("t", SystemClock()), random.Random(1)
    )
    thread = eventlet.spawn(discovery.run)
    run_hub(lambda: merged)
    thread.kill()
