"""Test that an unexpected error harms only the connection or the call in which it happens."""

import socket

import pytest
from hubtools import run_hub

from egretworks.streams import Listener, Stream, call_later
from egretworks.types import Endpoint


class FailingUser:
    """Raise an error at the bytes `bad`, and in `on_end` if `fails_at_end`."""

    def __init__(self, fails_at_end=False):
        self.received = []
        self.ends = []
        self.fails_at_end = fails_at_end

    def on_data(self, data):
        if data == b"bad":
            raise KeyError("unexpected")
        self.received.append(data)

    def on_end(self, *, clean):
        self.ends.append(clean)
        if self.fails_at_end:
            raise KeyError("unexpected")


def connected_stream(user):
    listening = socket.create_server(("127.0.0.1", 0))
    ours = socket.create_connection(listening.getsockname())
    theirs, _ = listening.accept()
    stream = Stream(ours)
    stream.start(user)
    return stream, theirs


@pytest.mark.parametrize("fails_at_end", [False, True])
def test_an_unexpected_error_ends_its_connection_and_no_other(fails_at_end, caplog):
    failing, sound = FailingUser(fails_at_end), FailingUser()
    stream, peer = connected_stream(failing)
    _, other_peer = connected_stream(sound)
    peer.sendall(b"bad")
    run_hub(lambda: failing.ends)
    assert stream.closed and failing.ends == [False]
    other_peer.sendall(b"good")
    run_hub(lambda: sound.received)
    assert "unexpected error in FailingUser.on_data" in caplog.text


def test_an_unexpected_error_of_a_timer_is_logged_and_others_run(caplog):
    called = []

    def fail():
        raise KeyError("unexpected")

    call_later(0, fail)
    call_later(1, called.append, "next")
    run_hub(lambda: called)
    assert "unexpected error in" in caplog.text


def test_a_listener_goes_on_after_an_unexpected_error_of_its_owner():
    streams = []

    def accept(stream):
        streams.append(stream)
        raise KeyError("unexpected")

    listener = Listener(Endpoint("127.0.0.1", 0), accept)
    peers = [socket.create_connection(("127.0.0.1", listener.port)) for _ in range(2)]
    run_hub(lambda: len(streams) == len(peers))
    listener.close()


# Guards against data that fills the socket, where later data can't pass it.
@pytest.mark.skipif(not hasattr(socket, "TCP_NOTSENT_LOWAT"), reason="not on this platform")
def test_a_socket_with_a_limit_accepts_little_more_than_its_peer_takes():
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
    listening.bind(("127.0.0.1", 0))
    listening.listen()
    data = bytes(2_000_000)
    accepted = []
    for limited in (False, True):
        ours = socket.create_connection(listening.getsockname())
        ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1_000_000)
        theirs, _ = listening.accept()
        stream = Stream(ours)
        if limited:
            stream.limit_unsent(16_384)
        stream.write(data)
        accepted.append(len(data) - stream.unsent_bytes)
        stream.close()
        theirs.close()
    listening.close()
    assert accepted[1] < 300_000 < accepted[0]
