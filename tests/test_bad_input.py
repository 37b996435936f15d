"""Test that malformed, oversized and slow input on any port does not harm the daemon."""

import random
import socket

import pytest
from processes import LEDGER_TICKET, ask, wait_for

MAX_MEMORY_GROWTH_KB = 30_000


@pytest.fixture
def daemon(mesh):
    """Provide a daemon with one target, a small body limit and a short receive timeout."""
    (daemon,) = mesh.start_daemons(1, extra="[calls]\nmax_body_bytes = 100000\nreceive_ms = 700")
    mesh.start_target("t0", "ledger", daemon)
    mesh.put_in_force(LEDGER_TICKET.replace(', methods = ["GET"]', ""))
    mesh.await_targets(1)
    return daemon


def resident_memory_kb(process):
    with open(f"/proc/{process.popen.pid}/status") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmRSS"))


def send_and_read(port, data):
    """Send `data` and return what is received until the peer closes the connection."""
    with socket.create_connection(("127.0.0.1", port), timeout=20) as sock:
        answer = b""
        try:
            sock.sendall(data)
            while received := sock.recv(65_536):
                answer += received
        except ConnectionError:
            pass
        return answer


def test_malformed_and_oversized_requests_get_a_4xx_status_and_are_not_run(daemon):
    chunk = b"30d40\r\n" + b"x" * 200_000
    for status, data in (
        (400, b"nonsense\r\n\r\n"),
        (400, b"GET /ledger HTTP/1.1\r\nContent-Length: -1\r\n\r\n"),
        (400, b"GET /ledger HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx"),
        (400, b"GET /ledger HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"),
        (431, b"GET /ledger HTTP/1.1\r\nx: " + b"y" * 60_000 + b"\r\n\r\n"),
        (413, b"POST /ledger HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n"),
        (413, b"POST /ledger HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk),
        (400, b"GET /ledger HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n"),
    ):
        answer = send_and_read(daemon.call_port, data)
        assert answer.startswith(b"HTTP/1.1 %d " % status), (data[:80], answer[:200])
        assert b"Egret-Not-Run: true" in answer
    assert daemon.call("/ledger/x")[0] == 200


@pytest.mark.parametrize("value", ["soon", "-5", "nan", "inf"])
def test_an_invalid_deadline_is_refused(daemon, value):
    status, headers, _ = daemon.call("/ledger/x", headers={"Egret-Deadline-Ms": value})
    assert (status, headers["Egret-Not-Run"]) == (400, "true")


def test_a_call_nested_too_deeply_is_refused(daemon):
    assert daemon.call("/ledger/x", headers={"Egret-Depth": "10"})[0] == 200
    status, headers, _ = daemon.call("/ledger/x", headers={"Egret-Depth": "11"})
    assert (status, headers["Egret-Not-Run"]) == (400, "true")


def test_slow_senders_are_disconnected_and_block_no_other_caller(daemon):
    slow = []
    for _ in range(50):
        sock = socket.create_connection(("127.0.0.1", daemon.call_port), timeout=20)
        sock.sendall(b"GET /ledger HTTP/1.1\r\nx: ")
        slow.append(sock)
    assert daemon.call("/ledger/x")[0] == 200
    for sock in slow:
        assert sock.recv(65_536).startswith(b"HTTP/1.1 400 ")
        sock.close()


def test_trickling_headers_do_not_keep_a_connection_open(daemon):
    with socket.create_connection(("127.0.0.1", daemon.call_port), timeout=0.2) as sock:
        sock.sendall(b"GET /ledger HTTP/1.1\r\n")
        answer = b""

        def send_line():
            """Send one more header line and return whether the connection was closed."""
            nonlocal answer
            try:
                sock.sendall(b"x: y\r\n")
                answer += sock.recv(65_536)
            except TimeoutError:
                return False
            except OSError:
                return True
            return True

        wait_for(send_line, "the connection to be closed")
        assert answer == b"" or answer.startswith(b"HTTP/1.1 400 ")


def test_garbage_on_every_port_neither_stops_the_daemon_nor_grows_its_memory(mesh, daemon):
    rng = random.Random(5)
    before_kb = resident_memory_kb(daemon)
    with socket.socket(type=socket.SOCK_DGRAM) as udp:
        for size in range(0, 60_000, 100):
            udp.sendto(rng.randbytes(size), ("127.0.0.1", daemon.peer_port))
        udp.sendto(b"\x95\xa1p" + b"\xff" * 50, ("127.0.0.1", daemon.peer_port))
    for port in (daemon.call_port, daemon.operator_port, daemon.peer_port):
        for _ in range(20):
            send_and_close(port, rng.randbytes(50_000))
    status, _, body = ask(daemon.operator_port, "PUT", "/v1/targets/x", b"{}")
    assert (status, b"call.bad_request" in body) == (400, True)
    assert ask(daemon.operator_port, "PUT", "/v1/targets/x", b"y" * 70_000)[0] == 400
    assert ask(daemon.operator_port, "GET", "/nonsense")[0] == 404
    assert ask(daemon.operator_port, "GET", "/v1/events?after=x")[0] == 400
    assert daemon.call("/ledger/x")[0] == 200
    assert daemon.status()["members"] == 1
    assert resident_memory_kb(daemon) - before_kb < MAX_MEMORY_GROWTH_KB


def send_and_close(port, data):
    """Send `data` and close the connection without reading."""
    with socket.create_connection(("127.0.0.1", port), timeout=20) as sock:
        try:
            sock.sendall(data)
        except ConnectionError:
            return


def test_connections_above_the_limit_are_refused_as_not_run(mesh):
    (daemon,) = mesh.start_daemons(1, extra="[calls]\nmax_connections = 5")
    mesh.put_in_force(LEDGER_TICKET)
    idle = [socket.create_connection(("127.0.0.1", daemon.call_port)) for _ in range(5)]
    wait_for(lambda: b"call.not_ready" in send_and_read(daemon.call_port, b""), "the refusal")
    for sock in idle:
        sock.close()
    wait_for(lambda: daemon.call("/x")[0] in (404, 503), "connections to be accepted again")
