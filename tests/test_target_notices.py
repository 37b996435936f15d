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
