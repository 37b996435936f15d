"""Test that a response whose status no protocol defines is never taken for an answer."""

import pytest
from rawserver import RawServer

from egretworks.clock import SystemClock
from egretworks.exceptions import OutcomeUnknown, PlatformUnavailable
from egretworks.messagereader import MessageLimits
from egretworks.responsereader import ResponseReader
from egretworks.storehttp import StoreHttpClient
from egretworks.types import Endpoint
from egretworks.upstream import Upstream

# RFC 9110, 15: valid are 100 to 599. Nobody asks a target to switch protocols.
UNDEFINED = ["000", "001", "099", "600", "700", "999"]
UNEXPECTED = [*UNDEFINED, "101"]


def response_of(status, id="a1"):
    return (
        f"HTTP/1.1 {status} Odd\r\nX-Egret-Attempt-Id: {id}\r\nX-Egret-Stamp: s\r\n"
        "Content-Length: 5\r\n\r\nwrong"
    ).encode()


# Guards against a status such as 000 that counts as interim, so that the request waits for
# another response, and against one such as 600 that is passed on to the caller.
@pytest.mark.parametrize("method", ["GET", "POST", "HEAD"])
@pytest.mark.parametrize("status", UNEXPECTED)
def test_a_response_with_an_undefined_status_is_unusable(status, method):
    reader = ResponseReader(method, MessageLimits(1_000, 1_000))
    with pytest.raises(OutcomeUnknown):
        reader.feed(response_of(status))
    assert reader.response is None


# Guards against a target that keeps a request waiting, and the daemon busy, with interim responses.
def test_interim_responses_without_end_are_unusable():
    reader = ResponseReader("GET", MessageLimits(1_000, 1_000))
    with pytest.raises(OutcomeUnknown):
        for _ in range(1_000):
            reader.feed(b"HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n")


def test_a_few_interim_responses_are_skipped():
    reader = ResponseReader("GET", MessageLimits(1_000, 1_000))
    reader.feed(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n")
    reader.feed(b"HTTP/1.1 204 No Content\r\n\r\n")
    assert reader.response.status == 204


def served(status):
    """Return a server that answers each request with `status`."""

    def serve(sock):
        while sock.recv(65_536):
            sock.sendall(response_of(status))

    return RawServer(serve)


# The caller of `meshd` gets 502, not the bytes: what was sent may have run.
@pytest.mark.parametrize("status", ["000", "600", "101"])
def test_the_callers_of_a_daemon_get_502_and_once_only_requests_run_once(sidecars, status):
    portal, ledger = sidecars.start("portal", "ledger")
    ledger.target.answer = lambda id, body: response_of(status, id)
    got, _, body = portal.call("/give/x", method="POST", id="once", left_ms=1_000)
    assert got == 502
    assert b"wrong" not in body
    assert ledger.target.runs.count("once") == 1


@pytest.mark.parametrize("status", UNEXPECTED)
def test_the_store_client_takes_no_undefined_status_for_a_success(status):
    server = served(status)
    try:
        with pytest.raises(PlatformUnavailable):
            StoreHttpClient(Endpoint("127.0.0.1", server.port)).request("GET", "/objects/x", 500)
    finally:
        server.close()


@pytest.mark.parametrize("status", ["000", "600", "101"])
def test_the_target_client_of_egretd_takes_no_undefined_status_for_an_answer(status):
    server = served(status)
    clock, address = SystemClock(), ("127.0.0.1", server.port)
    upstream = Upstream(clock, connect_ms=500, max_body_bytes=1_000)
    try:
        with pytest.raises(OutcomeUnknown):
            upstream.exchange(address, "GET", b"GET / HTTP/1.1\r\n\r\n", clock.now() + 400, "a1")
    finally:
        server.close()
