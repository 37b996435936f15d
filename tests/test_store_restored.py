"""Test what holds when the platform's store comes back from a copy that is some seconds old."""

import random

import eventlet
import pytest
from hubtools import run_hub
from platformwire import config_document
from processes import ask_json, wait_for

from egretworks import storesync
from egretworks.clock import SystemClock
from egretworks.exceptions import WatchCompacted
from egretworks.storesync import ConfigWatch, Snapshot, Stored
from egretworks.timeline import Timeline


class RestoredStore:
    """Keep the versions of one object, and go back to a copy of an earlier state."""

    def __init__(self):
        self.era = 1
        self.history = []
        self.lists = 0

    def write(self, document):
        self.history.append(Stored("main", len(self.history) + 1, document))

    def restore(self, revision):
        """Go back to the state at `revision`."""
        del self.history[revision:]
        self.era += 1

    def list(self, kind, *, allow_stale=False):
        self.lists += 1
        return Snapshot(len(self.history), tuple(self.history[-1:]))

    def watch(self, kind, revision, wait_ms):
        eventlet.sleep(0.005)
        if revision > len(self.history):
            raise WatchCompacted("the store does not have this revision")
        return Snapshot(len(self.history), tuple(self.history[revision:]))


def watch_of(store, applied):
    return ConfigWatch(
        store,
        lambda objects: applied.extend(stored.document for stored in objects),
        lambda: True,
        lambda reachable: None,
        Timeline("t", SystemClock()),
        random.Random(1),
    )


@pytest.fixture(autouse=True)
def short_pauses(monkeypatch):
    monkeypatch.setattr(storesync, "BATCH_MS", 1)


# Guards against a version that is never in force: it was written at a revision that the store had
# given out before it went back, so a watch from there shows nothing.
@pytest.mark.parametrize("lost", (1, 2, 3))
def test_a_version_at_a_revision_that_was_given_out_before_is_applied(lost):
    store, applied = RestoredStore(), []
    for version in (1, 2, 3):
        store.write(b"v%d" % version)
    thread = eventlet.spawn(watch_of(store, applied).run)
    run_hub(lambda: applied)
    store.restore(len(store.history) - lost)
    for version in range(lost):
        store.write(b"new v%d" % version)
    run_hub(lambda: applied[-1] == store.history[-1].document)
    thread.kill()


# Guards against a watch that lists the store again and again although nothing has changed.
def test_a_store_that_came_back_is_listed_once():
    store, applied = RestoredStore(), []
    for version in (1, 2, 3):
        store.write(b"v%d" % version)
    thread = eventlet.spawn(watch_of(store, applied).run)
    run_hub(lambda: applied)
    store.restore(2)
    store.write(b"v4")
    run_hub(lambda: applied[-1] == b"v4")
    lists = store.lists
    store.write(b"v5")
    run_hub(lambda: applied[-1] == b"v5")
    thread.kill()
    assert (lists, store.lists) == (2, 2)


def versions_in_force(sidecars):
    """Return the version that each daemon has in force, as its log tells."""
    return [sidecar.events("config_in_force")[-1:] for sidecar in sidecars]


def all_at(sidecars, version):
    return all(
        events and f'"version": {version}' in events[0] for events in versions_in_force(sidecars)
    )


# Guards against a confirmed version that is undone, and a later one that is missed, by the daemons
# of a store that has lost both.
def test_a_confirmed_version_stays_in_force_and_the_next_one_follows(sidecars):
    sidecars.platform.configure(config_document(1))
    daemons = sidecars.start("portal", "ledger", "ledger", version=2)
    sidecars.platform.save()
    sidecars.platform.configure(config_document(5))
    wait_for(lambda: all_at(daemons, 5), "version 5 everywhere")
    sidecars.platform.restore()
    assert all_at(daemons, 5)
    sidecars.platform.configure(config_document(5))
    sidecars.platform.configure(config_document(6))
    wait_for(lambda: all_at(daemons, 6), "version 6 everywhere", timeout_s=5)


# Guards against daemons that nobody finds any more: their rows were lost with the state, and
# only the elected daemon looked for its own.
def test_the_rows_of_all_daemons_are_written_again(sidecars):
    sidecars.platform.configure(config_document(1))
    sidecars.platform.save()
    daemons = sidecars.start("portal", "ledger", "ledger")
    names = {daemon.id for daemon in daemons}

    def stored():
        page = ask_json(sidecars.platform.port, "/objects/egret-daemons")
        return {item["metadata"]["name"] for item in page["items"]}

    assert stored() == names
    sidecars.platform.restore()
    assert stored() == set()
    wait_for(lambda: stored() == names, "all rows in the store", timeout_s=10)
