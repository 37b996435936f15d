"""Test that the daemons follow what targets state about themselves in their answers."""

import contextlib
import threading
import time

import pytest
from platformwire import edge
from processes import ask, wait_for

from egretworks.httpwire import Response

SPAN_S = 4.0


def state(target, *headers):
    """Let `target` add `headers` to all its answers."""
    target.answer = lambda id, body: target.response(id, body, headers=headers)


def press(sidecar, seconds, per_second, prefix):
    """Send requests at a steady rate, each from a thread of its own."""
    threads = []
    for number in range(int(seconds * per_second)):
        arguments = {"path": "/give/x", "id": f"{prefix}{number}", "method": "POST"}
        threads.append(threading.Thread(target=call_quietly, args=(sidecar, arguments)))
        threads[-1].start()
        time.sleep(1 / per_second)
    for thread in threads:
        thread.join()


def call_quietly(sidecar, arguments):
    with contextlib.suppress(OSError):
        sidecar.call(left_ms=400, **arguments)


# Guards against LIMIT: a target that named a limit got more than one and a half times as much.
def test_a_target_gets_no_more_requests_a_second_than_it_states(sidecars):
    portal, ledger = sidecars.start("portal", "ledger")
    per_second = 10
    state(ledger.target, f"Server-Limit: {per_second}.0")
    portal.call("/give/x", method="POST", id="first")
    callers = [
        threading.Thread(target=press, args=(daemon, 5.0, 20, daemon.id))
        for daemon in (portal, ledger)
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    times = ledger.target.run_times
    most = max(sum(start <= at <= start + SPAN_S for at in times) for start in times)
    assert per_second * SPAN_S * 0.5 <= most <= 1.5 * per_second * SPAN_S + 5
    state(ledger.target)
    wait_for(lambda: portal.call("/give/x", method="POST", id="end")[0] == 200, "an answer")
    runs = len(ledger.target.runs)
    for number in range(40):
        assert portal.call("/give/x", method="POST", id=f"free{number}")[0] == 200
    assert len(ledger.target.runs) == runs + 40


@pytest.mark.parametrize("value", ["-1", "nan", "inf", "1e999", "many", "", "3, 4"])
def test_a_limit_that_is_no_number_is_ignored_with_its_reason(value):
    notice = edge().read_notice(Response(200, [(b"server-limit", value.encode())], b""))
    assert notice.limit_per_s is None
    assert notice.invalid_limit


def test_two_different_limits_are_ignored_and_equal_ones_hold():
    headers = [(b"Server-Limit", b"4.5"), (b"Server-Limit", b"4.5")]
    assert edge().read_notice(Response(200, headers, b"")).limit_per_s == 4.5
    assert edge().read_notice(Response(200, [*headers, (b"Server-Limit", b"9")], b"")).invalid_limit


def test_a_limit_does_not_bind_the_next_life_of_a_target(sidecars):
    portal, ledger = sidecars.start("portal", "ledger")
    state(ledger.target, "Server-Limit: 0")
    portal.call("/give/x", method="POST", id="first")
    state(ledger.target)
    ledger.target.born += 1_000
    assert ledger.target.heartbeat(ledger) == 200
    time.sleep(0.3)
    for number in range(20):
        assert portal.call("/give/x", method="POST", id=f"next{number}")[0] == 200
    status, _, body = ask(ledger.ports["metrics"], "GET", "/metrics")
    assert status == 200 and b"egret_gate_refused" not in body


DRAIN_S = 2.0


def call_for(sidecar, seconds, prefix):
    """Send one request after the other for `seconds`."""
    ends_at, number = time.monotonic() + seconds, 0
    while time.monotonic() < ends_at:
        number += 1
        sidecar.call("/give/x", method="POST", id=f"{prefix}{number}", left_ms=400)
        time.sleep(0.02)


# Guards against DRAIN: a target that had said only in its answers that it leaves got requests later
# than the drain time after one had been passed on.
def test_a_target_that_states_in_an_answer_that_it_leaves_gets_nothing_after_its_drain(sidecars):
    portal, ledger = sidecars.start("portal", "ledger")
    state(ledger.target, "Server-Leaving: 1")
    assert portal.call("/give/x", method="POST", id="first")[0] == 200
    passed_on_at = time.monotonic()
    for daemon in (portal, ledger):
        call_for(daemon, 1.5 * DRAIN_S, daemon.id)
        # Its heartbeats may still say otherwise.
        ledger.target.heartbeat(ledger)
    assert max(ledger.target.run_times) <= passed_on_at + DRAIN_S


# Guards against DRAIN: the daemon beside the target was restarted and had forgotten.
def test_a_restarted_daemon_sends_nothing_to_a_target_that_had_stated_that_it_leaves(sidecars):
    portal, ledger = sidecars.start("portal", "ledger")
    state(ledger.target, "Server-Leaving: 1")
    assert portal.call("/give/x", method="POST", id="first")[0] == 200
    time.sleep(DRAIN_S)
    runs = len(ledger.target.runs)
    ledger.kill()
    ledger.start()
    wait_for(ledger.ready, "the daemon to be ready again")
    wait_for(lambda: len(portal.events("link_up")) >= 2, "the link to the daemon")
    assert ledger.target.heartbeat(ledger) == 200
    call_for(portal, 1.0, "after")
    assert len(ledger.target.runs) == runs


def test_a_later_life_of_the_target_is_served_again(sidecars):
    portal, ledger = sidecars.start("portal", "ledger")
    state(ledger.target, "Server-Leaving: 1")
    assert portal.call("/give/x", method="POST", id="first")[0] == 200
    state(ledger.target)
    ledger.target.born += 1_000
    assert ledger.target.heartbeat(ledger) == 200

    def served():
        return portal.call("/give/x", method="POST", id=f"t{time.monotonic()}")[0] == 200

    wait_for(served, "the next life of the target to be served")


def test_only_the_value_1_states_that_a_target_leaves():
    for value, leaving in ((b"1", True), (b" 1 ", True), (b"0", False), (b"", False)):
        notice = edge().read_notice(Response(200, [(b"Server-leaving", value)], b""))
        assert notice.leaving is leaving
