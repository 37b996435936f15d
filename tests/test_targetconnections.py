"""Test the connections to a target: keep-alive, abort, broken and unexpected answers."""

import socket
import struct
import threading
import time

import pytest
from hubtools import run_hub, run_hub_for
from rawserver import RawServer

from egretworks.bytebudget import ByteBudget
from egretworks.clock import SystemClock
from egretworks.httpwire import Response
from egretworks.targetconnections import Exchange, ExchangeFailure, TargetConnections
from egretworks.types import Endpoint

BODY_BUDGET = 2_000_000
STATUS = b"HTTP/1.1 200 OK\r\nX-Id: a1\r\n"
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


def ok_response(body, *headers, id=b"a1"):
    lines = [b"HTTP/1.1 200 OK", b"Content-Length: %d" % len(body), b"X-Id: " + id, *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def read_request(sock):
    data = b""
    while not data.endswith(b"\r\n\r\n"):
        received = sock.recv(65_536)
        if not received:
            raise OSError("closed")
        data += received
    return data


def answering(*answers, end=None):
    """Return a connection handler that sends one of `answers` per request, then calls `end`."""

    def handler(sock):
        for answer in answers:
            read_request(sock)
            sock.sendall(answer)
        if end is None:
            sock.recv(1)
        else:
            end(sock)

    return handler


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def read_until_closed(sock):
    while sock.recv(1_000):
        pass


def connect_to(server):
    endpoint = Endpoint("127.0.0.1", server.port)
    return TargetConnections(endpoint, SystemClock(), ByteBudget(BODY_BUDGET))


def send(connections, timeout_ms=1_000, method="GET", data=REQUEST, id="a1"):
    outcomes = []
    is_own_answer = lambda response: response.header(b"x-id") in ("", id)  # noqa: E731
    abort = connections.send(Exchange(method, data, timeout_ms, is_own_answer, outcomes.append))
    return outcomes, abort


def outcome_of(handler, **options):
    outcomes, _ = send(connect_to(RawServer(handler)), **options)
    run_hub(lambda: outcomes)
    return outcomes[0]


def test_a_connection_is_kept_for_the_next_exchange():
    server = RawServer(answering(ok_response(b"one"), ok_response(b"two")))
    connections = connect_to(server)
    for body in (b"one", b"two"):
        outcomes, _ = send(connections)
        run_hub(lambda got=outcomes: got)
        assert outcomes[0].body == body
    assert server.accepted == 1


def test_aborting_an_exchange_on_a_new_connection_leaves_no_listener_in_the_hub():
    # The abort callback closed the socket without its stream once the connection was established.
    # The next socket with the same file descriptor then met the old listener in the hub, which
    # broke the process.
    server = RawServer(answering(end=read_until_closed))
    connections = connect_to(server)
    outcomes, abort = send(connections)
    run_hub(lambda: server.accepted == 1)
    run_hub_for(30)
    abort()
    run_hub(lambda: server.ended == 1)
    again = RawServer(answering(ok_response(b"fine")))
    for _ in range(5):
        got, _ = send(connect_to(again))
        run_hub(lambda got=got: got)
        assert got[0].body == b"fine"
    assert outcomes == []


def test_an_abort_after_the_end_leaves_the_idle_connection_open():
    server = RawServer(answering(ok_response(b"one"), ok_response(b"two")))
    connections = connect_to(server)
    outcomes, abort = send(connections)
    run_hub(lambda: outcomes)
    abort()
    outcomes, _ = send(connections)
    run_hub(lambda: outcomes)
    assert (outcomes[0].body, server.accepted) == (b"two", 1)


def test_a_port_without_listener_is_no_connection():
    server = RawServer(answering())
    server.close()
    outcomes, _ = send(connect_to(server))
    run_hub(lambda: outcomes)
    assert outcomes == [ExchangeFailure.NO_CONNECTION]


def test_a_truncated_answer_is_broken():
    cut = ok_response(b"whole body")[:-3]
    assert outcome_of(answering(cut, end=lambda sock: None)) is ExchangeFailure.BROKEN


def test_malformed_bytes_are_broken():
    assert outcome_of(answering(b"what?\r\n\r\n")) is ExchangeFailure.BROKEN


def test_silence_times_out():
    assert outcome_of(answering(b""), timeout_ms=80) is ExchangeFailure.TIMED_OUT


def test_an_answer_without_length_ends_with_its_connection():
    unframed = b"HTTP/1.1 200 OK\r\nX-Id: a1\r\n\r\nall of it"
    outcome = outcome_of(answering(unframed, end=lambda sock: None))
    assert isinstance(outcome, Response)
    assert outcome.body == b"all of it"


def test_an_answer_without_length_that_is_reset_is_broken():
    unframed = b"HTTP/1.1 200 OK\r\nX-Id: a1\r\n\r\nnot all"

    def end(sock):
        time.sleep(0.05)
        reset(sock)

    assert outcome_of(answering(unframed, end=end)) is ExchangeFailure.BROKEN


def test_an_earlier_requests_late_answer_is_skipped():
    late = ok_response(b"another's", id=b"z9")
    outcome = outcome_of(answering(late + ok_response(b"own")))
    assert outcome.body == b"own"
    assert not outcome.keep_alive


def test_an_extra_answer_closes_the_connection():
    server = RawServer(answering(ok_response(b"one") + ok_response(b"extra"), ok_response(b"two")))
    connections = connect_to(server)
    for _ in range(2):
        outcomes, _ = send(connections)
        run_hub(lambda got=outcomes: got)
        assert outcomes[0].body == b"one"
    assert server.accepted == 2


def test_an_extra_answers_headers_stay_out_of_the_answer():
    extra = ok_response(b"ok", b"X-Stamp: other's")
    outcome = outcome_of(answering(ok_response(b"one", b"X-Stamp: own") + extra))
    assert [value for name, value in outcome.headers if name == b"X-Stamp"] == [b"own"]


def test_bytes_on_an_idle_connection_close_it():
    def end(sock):
        time.sleep(0.05)
        sock.sendall(ok_response(b"late extra"))
        sock.recv(1)

    server = RawServer(answering(ok_response(b"one"), end=end))
    connections = connect_to(server)
    outcomes, _ = send(connections)
    run_hub(lambda: outcomes)
    run_hub_for(120)
    outcomes, _ = send(connections)
    run_hub(lambda: outcomes)
    assert (outcomes[0].body, server.accepted) == (b"one", 2)


REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Egret-Not-Run: 1\r\nX-Id: z9\r\n"
    b"Content-Length: 4\r\n\r\nfull"
)
OWN = ok_response(b"own")
# What the target writes after the next request has arrived, with pauses of 30 ms between the parts.
REPEATED_REFUSALS = {
    "in one segment with the answer": [REFUSAL + OWN],
    "before the answer": [REFUSAL, OWN],
    "split in its head": [REFUSAL[:20], REFUSAL[20:] + OWN],
    "split in its body": [REFUSAL[:-2], REFUSAL[-2:], OWN],
    "split together with the answer": [REFUSAL[:-2], REFUSAL[-2:] + OWN[:30], OWN[30:]],
    "twice": [REFUSAL, REFUSAL, OWN],
}


# Guards against REFUSED and TWICE: a target wrote an earlier refusal once more, on a kept
# connection, and a request that it ran was taken for refused.
@pytest.mark.parametrize("timing", REPEATED_REFUSALS)
def test_an_earlier_refusal_again_is_not_taken_for_the_answer_to_the_next_request(timing):
    def handler(sock):
        read_request(sock)
        sock.sendall(REFUSAL)
        read_request(sock)
        for part in REPEATED_REFUSALS[timing]:
            sock.sendall(part)
            time.sleep(0.03)
        sock.recv(1)

    server = RawServer(handler)
    connections = connect_to(server)
    refused, _ = send(connections, id="z9")
    run_hub(lambda: refused)
    outcomes, _ = send(connections)
    run_hub(lambda: outcomes)
    assert (server.accepted, outcomes[0].body) == (1, b"own")
    # What else the target may send on that connection is nobody's answer.
    assert not outcomes[0].keep_alive


def test_an_earlier_refusal_again_after_a_pause_is_nobodys_answer():
    def handler(sock):
        read_request(sock)
        sock.sendall(REFUSAL)
        time.sleep(0.1)
        sock.sendall(REFUSAL)
        sock.recv(1)

    server = RawServer(handler)
    connections = connect_to(server)
    refused, _ = send(connections, id="z9")
    run_hub(lambda: refused)
    run_hub_for(200)
    assert connections._idle == []


STOPPED_HEAD = b"HTTP/1.1 200 OK\r\nX-Id: a1\r\nX-Egret-Stamp: s\r\nContent-Length: 5\r\n\r\n"


# Guards against MIXED and ORDER: a target stopped in its answer's head and closed, and the caller
# got a 200 with an empty body.
@pytest.mark.parametrize("end", ["closes", "resets"])
def test_an_answer_that_stops_anywhere_in_its_head_is_broken(end):
    lengths = iter(range(1, len(STOPPED_HEAD) + 1))

    def handler(sock):
        read_request(sock)
        sock.sendall(STOPPED_HEAD[: next(lengths)])
        if end == "resets":
            reset(sock)

    connections = connect_to(RawServer(handler))
    for _ in range(len(STOPPED_HEAD)):
        outcomes, _ = send(connections)
        run_hub(lambda got=outcomes: got)
        assert outcomes == [ExchangeFailure.BROKEN]


BODIES = {
    "with a length": b"Content-Length: 10\r\n\r\n0123456789",
    "in chunks": b"Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n",
}


@pytest.mark.parametrize("kind", BODIES)
def test_an_answer_that_stops_anywhere_in_its_body_is_broken(kind):
    whole = STATUS + BODIES[kind]
    lengths = iter(range(whole.index(b"\r\n\r\n"), len(whole)))

    def handler(sock):
        read_request(sock)
        sock.sendall(whole[: next(lengths)])

    connections = connect_to(RawServer(handler))
    for _ in range(len(whole) - whole.index(b"\r\n\r\n")):
        outcomes, _ = send(connections)
        run_hub(lambda got=outcomes: got)
        assert outcomes == [ExchangeFailure.BROKEN]


def test_a_connection_is_not_used_near_its_stated_idle_timeout():
    server = RawServer(
        answering(ok_response(b"one", b"Keep-Alive: timeout=1"), ok_response(b"two"))
    )
    connections = connect_to(server)
    outcomes, _ = send(connections)
    run_hub(lambda: outcomes)
    run_hub_for(450)
    outcomes, _ = send(connections)
    run_hub(lambda: outcomes)
    assert server.accepted == 2


def test_an_answer_before_the_whole_request_is_accepted_and_closes_the_connection():
    answer_read = threading.Event()

    def handler(sock):
        sock.recv(100)
        sock.sendall(ok_response(b"early"))
        # Closing with unread request bytes would reset the connection and drop the answer.
        answer_read.wait()

    server = RawServer(handler)
    connections = connect_to(server)
    size = 20_000_000
    data = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % size + bytes(size)
    outcomes, _ = send(connections, method="POST", data=data)
    run_hub(lambda: outcomes)
    answer_read.set()
    assert outcomes[0].body == b"early"
    assert connections._idle == []


def endless(head, repeated):
    """Return a connection handler that sends `head`, then `repeated` until the caller closes."""

    def handler(sock):
        read_request(sock)
        sock.sendall(head)
        while True:
            sock.sendall(repeated * 1_000)

    return handler


ENDLESS = {
    "body without a length": (STATUS + b"\r\n", b"x"),
    "body in chunks": (STATUS + b"Transfer-Encoding: chunked\r\n\r\n", b"4\r\nabcd\r\n"),
    "body of another's answer": (b"HTTP/1.1 200 OK\r\nX-Id: b2\r\n\r\n", b"x"),
    "headers": (STATUS, b"X-More: 1\r\n"),
    "one header": (STATUS + b"X-More: ", b"y"),
    "status line": (b"HTTP/1.1 200 ", b"O"),
}


# Guards against a daemon that runs out of memory over an answer that never ends.
@pytest.mark.parametrize("kind", ENDLESS)
def test_an_answer_that_never_ends_is_cut_off_and_leaves_its_memory(kind):
    server = RawServer(endless(*ENDLESS[kind]))
    connections = connect_to(server)
    outcomes, _ = send(connections, timeout_ms=60_000)
    run_hub(lambda: outcomes, within_ms=20_000)
    assert outcomes == [ExchangeFailure.BROKEN]
    assert connections.body_budget.reserved == 0
    # The connection was closed, which ends the server's handler.
    run_hub(lambda: server.ended)


def test_answers_share_the_memory_and_one_alone_does_not_take_all_of_it():
    server = RawServer(answering(ok_response(bytes(900_000)), ok_response(bytes(900_000))))
    connections = connect_to(server)
    assert connections.body_budget.reserve(1_200_000)
    outcomes, _ = send(connections)
    run_hub(lambda: outcomes)
    assert outcomes == [ExchangeFailure.BROKEN]
    connections.body_budget.release(1_200_000)
    outcomes, _ = send(connections)
    run_hub(lambda: outcomes)
    assert len(outcomes[0].body) == 900_000
    assert connections.body_budget.reserved == 0


def test_endless_bytes_after_a_complete_answer_close_the_connection():
    server = RawServer(endless(ok_response(b"done"), b"x"))
    connections = connect_to(server)
    outcomes, _ = send(connections)
    run_hub(lambda: outcomes)
    assert outcomes[0].body == b"done"
    run_hub(lambda: server.ended)
