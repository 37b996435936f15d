"""Test how egretd's call port drains."""

import contextlib
import socket
import time

import eventlet
import pytest
from eventlet.green import socket as green_socket
from hubtools import run_hub

from egretworks.callport import LINGER_MS, CallPort
from egretworks.clock import SystemClock
from egretworks.config import CallSettings
from egretworks.httpwire import Response

REQUEST = b"GET /x HTTP/1.1\r\nHost: pool.example\r\n\r\n"
DRAIN_MS = 2_000


@pytest.fixture
def port():
    port = CallPort(
        "127.0.0.1", 0, CallSettings(), SystemClock(), lambda _: Response(200, [], b"x")
    )
    port.open()
    port.acceptor = eventlet.spawn(port.run)
    yield port
    port.drain(0)


def read(sock):
    """Run the hub until `sock` has bytes or its end, and return them."""
    received = []

    def arrived():
        with contextlib.suppress(BlockingIOError):
            received.append(sock.recv(65_536))
        return received

    run_hub(arrived)
    return received[0]


def hold_up_hub(for_s, then):
    """Block the hub while it handles an event, so that timers come due before it reads again."""
    ours, theirs = green_socket.socketpair()

    def block():
        theirs.recv(1)
        time.sleep(for_s)
        then()

    blocker = eventlet.spawn(block)
    eventlet.sleep(0)
    ours.sendall(b"x")
    blocker.wait()


# Guards against a drain that takes a connection for idle whose request has arrived, but has not
# been read yet, as the daemon was held up for a moment.
def test_a_drain_serves_a_request_that_has_arrived_unread(port):
    with socket.create_connection(port.address) as sock:
        sock.setblocking(False)
        sock.sendall(REQUEST)
        assert read(sock).startswith(b"HTTP/1.1 200")
        drain = eventlet.spawn(port.drain, DRAIN_MS)
        eventlet.sleep(0)
        hold_up_hub(LINGER_MS / 1_000 + 0.02, then=lambda: sock.sendall(REQUEST))
        assert read(sock).startswith(b"HTTP/1.1 200")
        assert read(sock) == b""
        drain.wait()


# Guards against a green thread that goes on waiting on the closed socket: the next socket with its
# number could not be read.
def test_a_drain_ends_the_thread_that_accepts_connections(port):
    eventlet.sleep(0)
    port.drain(0)
    with eventlet.Timeout(1):
        port.acceptor.wait()


def test_a_drain_closes_an_idle_connection_without_waiting_for_its_end(port):
    with socket.create_connection(port.address) as sock:
        sock.setblocking(False)
        sock.sendall(REQUEST)
        assert read(sock).startswith(b"HTTP/1.1 200")
        started = time.monotonic()
        port.drain(DRAIN_MS)
        assert time.monotonic() - started < DRAIN_MS / 2_000
        assert read(sock) == b""
