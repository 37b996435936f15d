"""Test that nothing happens twice while two processes act for each other at a hand-over."""

import signal
import threading
import time

import pytest
from linkpipes import FakeTimeline
from platformwire import config_document, edge
from processes import wait_for
from test_oncecalls import KEY_HEADERS, PAYOUT_TICKET, run_count

from egretworks.clock import Millis
from egretworks.configholder import ConfigHolder
from egretworks.once import Claim, Shard, Verdict, try_claim, try_claim_queued
from egretworks.types import InstanceId, OnceKey, WriterMark

KEY = OnceKey("payout-desk/k1")


def claim_of(daemon):
    return Claim(KEY, "f", InstanceId(daemon), 1, WriterMark(f"m-{daemon}"), Millis(0.0))


# Two daemons with different views of the mesh both take themselves for the sender of queued calls.
def test_of_two_elected_senders_one_gets_to_send_a_queued_call():
    queued = try_claim(Shard(), claim_of("d0"), queue=True).shard
    first = try_claim_queued(queued, claim_of("d1"))
    # The second one read the shard before the first wrote it: its write is refused, and it reads
    # what the first has written.
    second = try_claim_queued(first.shard, claim_of("d2"))
    assert (first.verdict, second.verdict) == (Verdict.RUN, Verdict.RUNNING)


# The sender is frozen, another takes over, and the first goes on while the second still acts.
def test_a_queued_call_runs_once_when_a_frozen_sender_comes_back(mesh):
    daemons = mesh.start_daemons(3)
    mesh.put_in_force(PAYOUT_TICKET)
    later = {**KEY_HEADERS, "Egret-Later": "true"}
    for number in range(3):
        frozen = daemons[number]
        target_daemon = daemons[(number + 1) % 3]
        headers = {**later, "Idempotency-Key": f"h{number}"}
        assert target_daemon.call("/payouts", "POST", b"30 EUR", headers)[0] == 202
        frozen.signal(signal.SIGSTOP)
        if number == 0:
            mesh.start_target("t0", "payout-desk", daemons[1], slots=8)
        time.sleep(1.5)
        frozen.signal(signal.SIGCONT)
    keys = [f"h{number}" for number in range(3)]
    wait_for(lambda: all(run_count(mesh, key) for key in keys), "the queued calls to be sent")
    time.sleep(2)
    assert [run_count(mesh, key) for key in keys] == [1, 1, 1]


# Two daemons of a data centre watch the store, and both send what they read to a third.
@pytest.mark.parametrize("order", [(1, 2, 2, 1), (2, 1, 1, 2), (1, 1, 2, 2)])
def test_versions_that_two_watchers_send_are_applied_once_and_never_go_back(order):
    applied = []
    holder = ConfigHolder(
        edge().decode_config, FakeTimeline(), lambda: applied.append(holder.version)
    )
    for version in order:
        holder.apply(config_document(version), "a watcher")
    assert applied == sorted(set(applied))
    assert holder.version == 2


# The watcher of the store is frozen while versions change, and comes back with what it held.
def test_no_daemon_goes_back_when_a_frozen_watcher_returns(sidecars):
    daemons = sidecars.start("portal", "ledger", "ledger")
    watcher = daemons[0]
    watcher.signal(signal.SIGSTOP)
    for version in (2, 3):
        sidecars.platform.configure(config_document(version))
        for daemon in daemons[1:]:
            wait_for_version(daemon, version)
    resume = threading.Timer(0.1, watcher.signal, [signal.SIGCONT])
    resume.start()
    wait_for_version(watcher, 3)
    sidecars.platform.configure(config_document(4))
    for daemon in daemons:
        wait_for_version(daemon, 4)
        versions = versions_of(daemon)
        assert versions == sorted(set(versions))


def wait_for_version(daemon, version):
    wait_for(lambda: versions_of(daemon)[-1:] == [version], f"{daemon.id} to have {version}")


def versions_of(daemon):
    """Return the versions that came into force at `daemon`, in order."""
    lines = daemon.events("config_in_force")
    return [int(line.split('"version": ')[1].split(",")[0].rstrip("}")) for line in lines]
