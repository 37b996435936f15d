"""Test that what has left or was withdrawn stays so after restarts of daemons, in any order."""

import itertools
import time

import pytest
from platformwire import config_document
from processes import wait_for


def call_ids(sidecar, count, prefix):
    """Send requests and return the statuses."""
    return [
        sidecar.call("/give/x", method="POST", id=f"{prefix}{number}", left_ms=500)[0]
        for number in range(count)
    ]


def leave(ledger, how):
    target = ledger.target
    if how == "heartbeat":
        assert target.heartbeat(ledger, "draining") == 200
    else:
        target.answer = lambda id, body: target.response(id, body, headers=["Server-Leaving: 1"])


def restart(sidecar, others):
    links_before = {other: len(other.events("link_up")) for other in others}
    sidecar.kill()
    sidecar.start()
    wait_for(sidecar.ready, f"{sidecar.id} to be ready again")
    for other, before in links_before.items():
        wait_for(lambda o=other, b=before: len(o.events("link_up")) > b, f"{other.id}'s link")


ORDERS = [*itertools.permutations(("portal", "one")), ("portal",), ("one",)]


# Guards against a target that had left and is in use again: a late heartbeat of before, a row of an
# earlier run in the store or at a peer, and a target that still calls itself healthy.
@pytest.mark.parametrize("how", ["heartbeat", "answer"])
@pytest.mark.parametrize("order", ORDERS)
def test_a_target_that_has_left_gets_nothing_after_restarts(sidecars, how, order):
    portal, one, two = sidecars.start("portal", "ledger", "ledger")
    late_sequence = one.target.sequence
    leave(one, how)
    if how == "answer":
        # Nobody knows that the target leaves before it has answered once.
        wait_for(
            lambda: call_ids(portal, 8, "before") and one.target.runs, "an answer of the target"
        )
    else:
        call_ids(portal, 8, "before")
    time.sleep(1.2)
    runs = len(one.target.runs)
    by_name = {"portal": portal, "one": one}
    for name in order:
        restarted = by_name[name]
        restart(restarted, [other for other in (portal, one, two) if other is not restarted])
    # A heartbeat of before it left that was held up on its way; the health check succeeds.
    assert one.target.heartbeat(one, "ready", sequence=late_sequence) == 200
    two.target.heartbeat(two)
    time.sleep(0.3)
    assert set(call_ids(portal, 12, "after")) == {200}
    assert len(one.target.runs) == runs


# Guards against a withdrawn route that is served again by a daemon that was restarted.
@pytest.mark.parametrize("store_down", [False, True])
def test_a_withdrawn_route_stays_withdrawn_after_restarts(sidecars, store_down):
    daemons = sidecars.start("portal", "ledger", "ledger")
    rows = [["new", "pool.example", "/new/", "idempotent", 1000, 500, 0, "ledger", 2, None]]
    sidecars.platform.configure(config_document(2, rows))
    for daemon in daemons:
        wait_for(lambda daemon=daemon: daemon.call("/new/x")[0] == 200, "version 2")
    sidecars.platform.faults(outage=store_down)
    for daemon in daemons:
        restart(daemon, [other for other in daemons if other is not daemon])
        daemon.target.heartbeat(daemon)
        assert daemon.call("/give/x", method="POST", id=f"w-{daemon.id}")[0] == 404
    assert all(f"w-{daemon.id}" not in d.target.runs for daemon in daemons for d in daemons)
