"""Test that a planned stop of a daemon cuts off no request that it has accepted."""

import signal
import socket
import threading
import time

import pytest
from hubtools import run_hub, run_hub_for
from platformwire import config_document
from processes import wait_for

from egretworks.bytebudget import ByteBudget
from egretworks.clock import SystemClock
from egretworks.httpport import LAST_REQUEST_MS, HttpPort
from egretworks.httpwire import Response
from egretworks.meshroutes import CallerLimits
from egretworks.types import Endpoint

REQUEST = b"GET /x HTTP/1.1\r\nHost: pool.example\r\n\r\n"
LARGE_ANSWER_BYTES = 12_000_000


@pytest.fixture
def port():
    """Provide a port that answers each request with its path."""
    port = HttpPort(
        Endpoint("127.0.0.1", 0),
        SystemClock(),
        CallerLimits,
        lambda exchange: exchange.respond(Response(200, [], exchange.request.url)),
        ByteBudget(1_000_000),
        lambda error: None,
    )
    yield port
    port.stop_listening()


def connect(port):
    sock = socket.create_connection(("127.0.0.1", port.port))
    sock.settimeout(0.01)
    return sock


def read_answer(sock):
    """Run the hub until an answer or the end of the connection arrives, and return it."""
    received = []

    def arrived():
        try:
            received.append(sock.recv(65_536))
        except TimeoutError:
            return False
        return True

    run_hub(arrived)
    return received[0]


def stop(port):
    port.closing = True
    port.stop_listening()
    port.close_idle()


# Guards against requests that are cut off because their connection was still in the backlog when
# the port closed.
def test_a_connection_in_the_backlog_when_the_port_closes_is_served(port):
    socks = [connect(port) for _ in range(5)]
    for sock in socks[:3]:
        sock.sendall(REQUEST)
    stop(port)
    for sock in socks[3:]:
        sock.sendall(REQUEST)
    for sock in socks:
        assert read_answer(sock).startswith(b"HTTP/1.1 200")
    run_hub(lambda: not port.busy)


def test_a_request_that_has_arrived_on_an_idle_connection_is_served(port):
    sock = connect(port)
    sock.sendall(REQUEST)
    assert read_answer(sock).startswith(b"HTTP/1.1 200")
    time.sleep(LAST_REQUEST_MS / 1_000 + 0.05)
    sock.sendall(REQUEST)
    stop(port)
    assert read_answer(sock).startswith(b"HTTP/1.1 200")
    assert sock.recv(1) == b""


def test_pipelined_requests_are_all_answered_before_the_connection_closes(port):
    sock = connect(port)
    sock.sendall(REQUEST * 3)
    stop(port)
    answers = b""
    while received := read_answer(sock):
        answers += received
    assert answers.count(b"HTTP/1.1 200") == 3
    assert answers.count(b"Connection: close") == 1


def test_a_half_read_request_is_waited_for(port):
    sock = connect(port)
    sock.sendall(REQUEST[:20])
    run_hub_for(10)
    stop(port)
    run_hub_for(LAST_REQUEST_MS + 50)
    port.close_idle()
    assert port.busy
    sock.sendall(REQUEST[20:])
    assert read_answer(sock).startswith(b"HTTP/1.1 200")
    run_hub(lambda: not port.busy)


def test_an_idle_connection_holds_the_stop_up_for_a_moment_only(port):
    sock = connect(port)
    stop(port)
    assert port.busy
    run_hub_for(LAST_REQUEST_MS + 20)
    port.close_idle()
    assert not port.busy
    assert sock.recv(1) == b""


def read_all(sock):
    """Return the bytes that are received until the peer closes the connection."""
    received = bytearray()
    while data := sock.recv(1_000_000):
        received += data
    return bytes(received)


def large_answers(sidecars):
    """Start two daemons and let the target of the second give large answers."""
    portal, ledger = sidecars.start("portal", "ledger")
    rows = [["give", "pool.example", "/give/", "non_idempotent", 9000, 300, 0, "ledger", 2, None]]
    sidecars.platform.configure(config_document(2, rows))
    wait_for(lambda: '"version": 2' in "".join(portal.events("config_in_force")), "version 2")
    wait_for(lambda: '"version": 2' in "".join(ledger.events("config_in_force")), "version 2")
    body = b"x" * LARGE_ANSWER_BYTES
    ledger.target.answer = lambda id, _: ledger.target.response(id, body)
    return portal, ledger


def send_request(sidecar, id="a"):
    sock = socket.create_connection(("127.0.0.1", sidecar.ports["calls"]), timeout=20)
    sock.sendall(
        b"POST /give/x HTTP/1.1\r\nHost: pool.example\r\nX-Egret-Attempt-Id: %s\r\n"
        b"X-Egret-Deadline-Ms: 9000\r\nContent-Length: 0\r\n\r\n" % id.encode()
    )
    return sock


# Guards against a stop that takes an answer for delivered once it is written to the connection.
def test_an_answer_that_its_caller_reads_slowly_is_delivered_whole(sidecars):
    portal, ledger = large_answers(sidecars)
    with send_request(portal) as sock:
        wait_for(lambda: ledger.target.runs, "the request to run")
        time.sleep(0.5)
        portal.signal(signal.SIGTERM)
        time.sleep(3.5)
        answer = read_all(sock)
    assert len(answer) > LARGE_ANSWER_BYTES
    assert portal.wait() == 0


# Guards against the same at the link to the daemon of the caller, which is held up meanwhile.
def test_an_answer_on_a_full_link_reaches_the_callers_daemon(sidecars):
    portal, ledger = large_answers(sidecars)
    ledger.target.work_ms = 300
    with send_request(portal) as sock:
        wait_for(lambda: ledger.target.runs, "the request to run")
        portal.signal(signal.SIGSTOP)
        ledger.signal(signal.SIGTERM)
        resume = threading.Timer(3.5, portal.signal, [signal.SIGCONT])
        resume.start()
        answer = bytearray(sock.recv(1_000_000))
        while len(answer) < LARGE_ANSWER_BYTES and (data := sock.recv(1_000_000)):
            answer += data
    assert answer.startswith(b"HTTP/1.1 200")
    assert len(answer) > LARGE_ANSWER_BYTES


# Guards against a second signal that ends the drain, or starts another one beside it.
def test_a_second_signal_cuts_nothing_off(sidecars):
    portal, ledger = large_answers(sidecars)
    ledger.target.work_ms = 1_000
    with send_request(portal) as running:
        wait_for(lambda: ledger.target.runs, "the request to run")
        portal.signal(signal.SIGTERM)
        time.sleep(0.2)
        with send_request(portal, "b") as accepted:
            portal.signal(signal.SIGTERM)
            assert len(read_all(running)) > LARGE_ANSWER_BYTES
            assert len(read_all(accepted)) > LARGE_ANSWER_BYTES
    assert portal.wait() == 0


def send_late(sidecar, begun_s, whole_s, left_ms):
    """Stop `sidecar`; send a request whose first and last bytes come so long after the signal."""
    sidecar.signal(signal.SIGTERM)
    time.sleep(begun_s)
    sock = socket.create_connection(("127.0.0.1", sidecar.ports["calls"]), timeout=20)
    sock.sendall(
        b"POST /give/x HTTP/1.1\r\nHost: pool.example\r\nX-Egret-Attempt-Id: late\r\n"
        b"X-Egret-Deadline-Ms: %d\r\nContent-Length: 4\r\n\r\n" % left_ms
    )
    time.sleep(whole_s - begun_s)
    sock.sendall(b"gift")
    return sock


# Guards against a request that is taken late in the grace, passed on and cut off at its end: its
# caller learns nothing, and must not send it again if it may run only once.
def test_a_request_that_is_whole_late_in_the_grace_is_refused_and_has_not_run(sidecars):
    portal, ledger = large_answers(sidecars)
    ledger.target.work_ms = 2_500
    with send_late(portal, 1.8, 4.2, left_ms=8_000) as sock:
        answer = read_all(sock).lower()
    assert answer.startswith(b"http/1.1 503")
    assert b"connection: close" in answer
    assert b"retry-after: " in answer
    assert portal.wait() == 0
    assert ledger.target.runs == []


# Guards against the refusal of what can still be served: a late request that expires within the
# grace, and one before its middle, which may run until its end.
@pytest.mark.parametrize(("whole_s", "left_ms", "work_ms"), ((4.2, 900, 50), (2.6, 8_000, 1_500)))
def test_a_request_that_ends_within_the_grace_is_served(sidecars, whole_s, left_ms, work_ms):
    portal, ledger = large_answers(sidecars)
    ledger.target.work_ms = work_ms
    with send_late(portal, 1.8, whole_s, left_ms) as sock:
        answer = read_all(sock)
    assert answer.startswith(b"HTTP/1.1 200")
    assert portal.wait() == 0
    assert ledger.target.runs == ["late"]
