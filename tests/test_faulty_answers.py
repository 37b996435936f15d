"""Test over both hops that faulty answers of a target reach no caller as its own whole answer."""

import threading
import time

import pytest

NOT_RUN = (
    "HTTP/1.1 503 Busy\r\nX-Egret-Not-Run: 1\r\nX-Egret-Attempt-Id: {id}\r\n"
    "Content-Length: 0\r\n\r\n"
)
COPY_KINDS = ("before", "with", "split", "after", "late")


class Repeater:
    """Answer a request and send an earlier answer once more, in the way that `kind` names."""

    def __init__(self, target, kind, earlier_is_refusal):
        self.target = target
        self.kind = kind
        self.earlier_is_refusal = earlier_is_refusal
        self.earlier = b""
        self.refused = set()

    def answer(self, id, body):
        own = self.target.response(id, id.encode())
        if self.earlier_is_refusal and id.startswith("refuse"):
            own = NOT_RUN.format(id=id).encode()
            self.refused.add(id)
        copy, self.earlier = self.earlier, own
        if self.kind == "before":
            return copy + own
        if self.kind == "after":
            return own + copy
        if self.kind == "with":
            return own + copy[: len(copy) // 2]
        if self.kind == "split":
            return copy[: len(copy) // 2]
        time.sleep(0.05)
        return copy + own


# Guards against a second copy of an answer, or of an earlier refusal, on a connection in use again.
@pytest.mark.parametrize("earlier_is_refusal", [False, True])
@pytest.mark.parametrize("kind", COPY_KINDS)
def test_a_repeated_answer_is_nobodys_answer(sidecars, kind, earlier_is_refusal):
    portal, ledger = sidecars.start("portal", "ledger")
    repeater = Repeater(ledger.target, kind, earlier_is_refusal)
    ledger.target.answer = repeater.answer
    for number in range(8):
        id = f"{'refuse' if number % 2 == 0 else 'run'}{number}"
        status, _, body = portal.call("/give/x", method="POST", id=id, left_ms=300)
        if status == 200:
            assert body == id.encode()
        elif status in (408, 421, 429, 503):
            assert id in repeater.refused
        assert ledger.target.runs.count(id) <= 1


# Guards against a 200 that looks whole though its target stopped in the middle of its head or body.
@pytest.mark.parametrize("framing", ["length", "chunked", "end of the connection"])
def test_an_answer_that_stops_at_any_byte_is_no_success(sidecars, framing):
    portal, ledger = sidecars.start("portal", "ledger")
    target = ledger.target

    def whole(id):
        head = f"HTTP/1.1 200 OK\r\nX-Egret-Attempt-Id: {id}\r\nX-Egret-Stamp: s\r\n"
        if framing == "length":
            return f"{head}Content-Length: 9\r\n\r\ngift pool".encode()
        if framing == "chunked":
            return f"{head}Transfer-Encoding: chunked\r\n\r\n9\r\ngift pool\r\n0\r\n\r\n".encode()
        return f"{head}Content-Length: 9\r\nConnection: close\r\n\r\ngift pool".encode()

    statuses = {}

    def call(length):
        id = f"s{length:03d}"
        statuses[length] = portal.call("/give/x", method="POST", id=id, left_ms=900)[0]

    def cut(id, body):
        return whole(id)[: int(id[1:])]

    original_run = target._run

    def run_and_close(sock, line, headers, body):
        original_run(sock, line, headers, body)
        return False

    target._run = run_and_close
    target.answer = cut
    lengths = range(len(whole("s000")))
    for start in range(0, len(lengths), 8):
        threads = [
            threading.Thread(target=call, args=(length,)) for length in lengths[start : start + 8]
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    assert len(statuses) == len(lengths)
    assert all(status in (502, 503, 504) for status in statuses.values()), statuses
    ran = {int(id[1:]) for id in target.runs}
    assert not [length for length, status in statuses.items() if status == 503 and length in ran]
