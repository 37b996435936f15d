"""Test that a paused daemon goes by what has run out meanwhile, not by what it believed."""

import signal
import threading
import time

import pytest
from linkpipes import Daemons
from sidecars import call_concurrently

from egretworks.outboundlinks import BROKEN_MS

# A run that starts this much after the deadline of its request was started without permission.
MAX_LATE_S = 0.5
LEFT_MS = 800


def run_times_by_id(target):
    return list(zip(target.runs, target.run_times, strict=True))


def press_while_paused(calling, paused, seconds):
    """Send requests to `calling`, pause the daemon `paused` meanwhile, and return the statuses."""
    statuses = {}

    def press():
        statuses.update(call_concurrently(calling, 16, left_ms=LEFT_MS))

    thread = threading.Thread(target=press)
    started = time.monotonic()
    thread.start()
    time.sleep(0.15)
    paused.signal(signal.SIGSTOP)
    time.sleep(seconds)
    paused.signal(signal.SIGCONT)
    thread.join()
    return statuses, started


# Guards against offers, queued requests and refusals that are taken up again after a pause as if no
# time had passed.
@pytest.mark.parametrize("seconds", [1, 3, 10])
@pytest.mark.parametrize("role", ["calling", "serving"])
def test_nothing_runs_twice_late_or_after_a_refusal_when_a_daemon_is_paused(
    sidecars, role, seconds
):
    portal, one, two = sidecars.start("portal", "ledger", "ledger")
    for ledger in (one, two):
        ledger.target.work_ms = 150
        ledger.target.slots = 2
        ledger.target.heartbeat(ledger)
    time.sleep(0.2)
    paused = portal if role == "calling" else one
    statuses, started = press_while_paused(portal, paused, seconds)
    time.sleep(0.3)
    runs = run_times_by_id(one.target) + run_times_by_id(two.target)
    ids = [id for id, _ in runs]
    assert len(ids) == len(set(ids))
    refused = {id for id, status in statuses.items() if status in (408, 421, 429, 503)}
    assert not refused & set(ids)
    latest = started + LEFT_MS / 1_000 + MAX_LATE_S
    if role == "serving":
        assert all(at <= latest for _, at in runs), sorted(at - started for _, at in runs)
    assert portal.call("/give/x", method="POST", id="after")[0] == 200


# Guards against links that are closed, with all in flight on them, because the daemon itself
# was paused: the replies have arrived and are read after the timers have run.
def test_a_pause_of_this_daemon_is_not_taken_for_silence_of_its_peers(monkeypatch):
    daemons = Daemons(monkeypatch)
    daemons.offer()
    daemons.pipe.deliver()
    daemons.clock.at += 1_100
    daemons.link.tick(daemons.clock.now())
    paused_ms = 2 * BROKEN_MS
    daemons.clock.at += paused_ms
    daemons.link.excuse_silence(paused_ms)
    daemons.link.tick(daemons.clock.now())
    daemons.pipe.deliver()
    daemons.gate.offers[0].answer()
    daemons.pipe.deliver()
    assert [outcome.status for outcome in daemons.outcomes] == [200]


def test_a_peer_that_stays_silent_after_a_pause_is_found_out(monkeypatch):
    daemons = Daemons(monkeypatch)
    daemons.clock.at += 1_100
    daemons.link.tick(daemons.clock.now())
    daemons.clock.at += 5_000
    daemons.link.excuse_silence(5_000)
    daemons.link.tick(daemons.clock.now())
    assert daemons.link.usable
    daemons.clock.at += BROKEN_MS + 1
    daemons.link.tick(daemons.clock.now())
    assert not daemons.link.usable
