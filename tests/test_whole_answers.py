"""Test that callers get complete answers to their own calls, and that "not run" marks are true."""

import json
import subprocess
import sys
import threading
import time

import pytest
from faultproxy import Fault
from processes import LEDGER_TICKET, ROOT, ask, wait_for
from scriptedtarget import NOT_RUN, ScriptedTarget, ok_response, path_of


@pytest.fixture
def scripted(mesh):
    """Provide a function that starts a daemon with a `ScriptedTarget` and returns both."""

    def start(answers, ticket=LEDGER_TICKET):
        (daemon,) = mesh.start_daemons(1)
        target = ScriptedTarget(answers)
        mesh.proxies.append(target)
        target.announce("t0", "ledger", daemon)
        mesh.put_in_force(ticket)
        mesh.await_targets(1)
        return daemon, target

    return start


def test_a_call_is_not_marked_not_run_after_an_attempt_that_may_have_run(scripted):
    daemon, target = scripted([lambda request: None, NOT_RUN, NOT_RUN])
    status, headers, _ = daemon.call("/ledger/x")
    assert len(target.requests) > 1
    assert (status, headers["Egret-Error"]) == (502, "call.outcome_unknown")
    assert "Egret-Not-Run" not in headers


def test_a_truncated_body_is_never_returned(scripted):
    truncated = ok_response(b"x" * 1_000)[:300]

    def send_truncated(request):
        return truncated

    ticket = LEDGER_TICKET.replace("match =", "timeout_ms = 600\nmatch =")
    daemon, _ = scripted(send_truncated, ticket)
    status, headers, body = daemon.call("/ledger/x")
    assert (status, headers["Egret-Error"]) == (504, "call.timeout")
    assert b"xxx" not in body


def test_a_body_without_a_length_is_not_treated_as_complete(scripted):
    daemon, target = scripted(
        lambda request: b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf a bo"
    )
    status, _, body = daemon.call("/ledger/x", headers={"Egret-Deadline-Ms": "500"})
    assert status in (502, 504)
    assert b"half a bo" not in body
    assert target.requests


def test_a_late_answer_never_reaches_a_later_call(scripted):
    def echo_path_after_delay(request):
        path = path_of(request)
        if "slow" in path:
            time.sleep(0.5)
        return ok_response(path.encode())

    daemon, _ = scripted(echo_path_after_delay)
    for number in range(10):
        status, _, _ = daemon.call(f"/ledger/slow{number}", headers={"Egret-Deadline-Ms": "100"})
        assert status == 504
        status, _, body = daemon.call(f"/ledger/quick{number}")
        assert (status, body) == (200, f"/ledger/quick{number}".encode())


def test_an_unsolicited_second_answer_never_reaches_a_later_call(scripted):
    def answer_twice(request):
        return ok_response(path_of(request).encode()) + ok_response(b"nobody asked")

    daemon, _ = scripted(answer_twice)
    for number in range(20):
        status, _, body = daemon.call(f"/ledger/{number}")
        assert (status, body) == (200, f"/ledger/{number}".encode())


def call_id_of(request):
    lines = request.split(b"\r\n")
    return next(line for line in lines if line.lower().startswith(b"egret-call-id:"))


# Guards against an earlier answer that a target sends again, late, on a connection in use again.
def test_a_second_copy_of_an_earlier_answer_is_not_the_answer_to_the_next_call(scripted):
    earlier = []

    def answer(request):
        own = ok_response(path_of(request).encode(), call_id_of(request))
        earlier.append(own)
        return own if len(earlier) == 1 else earlier[-2] + own

    daemon, _ = scripted(answer)
    for number in range(10):
        status, _, body = daemon.call(f"/ledger/{number}")
        assert (status, body) == (200, f"/ledger/{number}".encode())


# Guards against "not run" for a request that its target runs: an earlier refusal came once more.
def test_a_refusal_on_a_kept_connection_that_may_be_an_earlier_one_does_not_mean_not_run(scripted):
    ran = []

    def answer(request):
        if path_of(request) == "/ledger/first":
            return ok_response(b"first")
        ran.append(request)
        return NOT_RUN + ok_response(b"own")

    daemon, _ = scripted(answer)
    assert daemon.call("/ledger/first")[0] == 200
    status, headers, _ = daemon.call("/ledger/second")
    assert ran
    assert (status, headers.get("Egret-Not-Run")) == (502, None)


def test_an_interim_response_is_skipped(scripted):
    daemon, _ = scripted(
        lambda request: b"HTTP/1.1 100 Continue\r\n\r\n" + ok_response(b"the answer")
    )
    assert daemon.call("/ledger/x")[2] == b"the answer"


def test_a_chunked_answer_is_returned_complete(scripted):
    chunked = (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n"
    )
    daemon, _ = scripted(lambda request: chunked)
    assert daemon.call("/ledger/x")[2] == b"abcdefg"


def test_head_returns_the_headers_without_a_body(scripted):
    ticket = LEDGER_TICKET.replace('["GET"]', '["GET", "HEAD"]')
    daemon, _ = scripted(lambda request: b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", ticket)
    status, headers, body = daemon.call("/ledger/x", "HEAD")
    assert (status, headers["Content-Length"], body) == (200, "7", b"")


def test_hundreds_of_concurrent_calls_each_get_their_own_answer(mesh):
    daemons = mesh.start_daemons(2)
    for index, daemon in enumerate(daemons):
        target = mesh.start_target(f"t{index}", "ledger", daemon, slots=50, work_ms=2)
        target.set_behaviour(straggler_share=0.05, straggler_ms=150)
    mesh.put_in_force(LEDGER_TICKET)
    mesh.await_targets(2)
    ports = ",".join(str(daemon.call_port) for daemon in daemons)
    totals = call_at_rate(ports, "/ledger", 300, 3)
    assert totals["wrong"] == 0 and totals["cut"] == 0
    assert totals["ok"] >= 0.9 * totals["sent"]


def call_at_rate(ports, path, rate, seconds, *more):
    """Run the stand-in caller and return its totals."""
    done = subprocess.run(
        [
            *(sys.executable, "-m", "standins.caller", "--ports", ports, "--path", path),
            *("--rate", str(rate), "--seconds", str(seconds), *more),
        ],
        capture_output=True,
        text=True,
        cwd=ROOT / "examples",
        timeout=120,
    )
    return json.loads(done.stdout)


def test_no_call_refused_as_not_run_was_run_according_to_the_targets(mesh):
    daemons = mesh.start_daemons(2)
    proxies = []
    for index, daemon in enumerate(daemons):
        target = mesh.start_target(f"t{index}", "ledger", daemon, slots=4, work_ms=20)
        proxy = mesh.proxy(target.port)
        proxies.append(proxy)
        target.kill()
        target.arguments += ["--announce-port", str(proxy.port)]
        target.start()
        wait_for(target.counts, "the target")
    mesh.put_in_force(LEDGER_TICKET)
    mesh.await_targets(2)
    refused = set()
    answered = []

    def call(number):
        id = f"call-{number}"
        headers = {"Egret-Call-Id": id, "Egret-Deadline-Ms": "400"}
        daemon = daemons[number % 2]
        status, answer, _ = daemon.call(f"/ledger/{number}", headers=headers)
        answered.append(status)
        if answer.get("Egret-Not-Run") == "true":
            refused.add(id)

    # A target counts a run before its answer can be cut, so each fault hits work that has begun and
    # is counted.
    faults = [Fault.NONE, Fault.TRUNCATE, Fault.CUT, Fault.LOSE_ANSWERS, Fault.NONE]
    for index, fault in enumerate(faults):
        proxies[index % 2].set(fault, answer_bytes=40)
        threads = [threading.Thread(target=call, args=(index * 100 + n,)) for n in range(60)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        proxies[index % 2].set(Fault.NONE)
    ran = {id for target in mesh.targets for id in target.runs()}
    assert len(answered) == 300
    assert refused, "the load caused no refusal"
    assert not refused & ran


def test_a_call_whose_caller_disconnects_is_cancelled_at_the_target(scripted):
    cancelled = threading.Event()
    daemon, _ = scripted(lambda request: cancelled)
    with pytest.raises(TimeoutError):
        daemon.call("/ledger/x", timeout=0.3)
    assert cancelled.wait(20), "the daemon kept its connection to the target open"
    text = "egret_errors_call_caller_gone_total 1"
    wait_for(lambda: text in ask(daemon.operator_port, "GET", "/metrics")[2].decode(), text)
