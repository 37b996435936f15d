"""Test how the outcomes of requests are resolved after their link breaks, without sockets."""

import pytest

from egretworks import outboundlinks
from egretworks.bytebudget import ByteBudget
from egretworks.calllog import CallLog
from egretworks.clock import Millis
from egretworks.inboundlinks import InboundLink
from egretworks.linkframes import (
    Answered,
    GateReport,
    LossReason,
    Lost,
    Offer,
    RefusalReason,
    Refused,
)
from egretworks.linkhost import LinkHost
from egretworks.metrics import Metrics
from egretworks.orphanedoffers import OrphanedOffers
from egretworks.outboundlinks import RESOLVE_TIMEOUT_MS, OutboundLink
from egretworks.rows import DaemonRow, RowTable

REPORT = GateReport(slots=4, load=0, work_ms=10.0)


class FakeClock:
    def __init__(self):
        self.at = 1_000.0

    def now(self):
        return Millis(self.at)

    def since_boot(self):
        return Millis(self.at)


class FakeTimeline:
    def record(self, kind, **facts):
        pass


class FakeConfig:
    version = 1

    def on_peer_version(self, version, peer):
        pass


class FakeGate:
    """Collect offers; the test answers them or marks them as still queued."""

    def __init__(self):
        self.offers = []

    def offer(self, offer, reply):
        handle = FakeOfferHandle(offer, reply)
        self.offers.append(handle)
        return handle

    def report(self):
        return REPORT

    def refusal(self, offer, reason, wait_ms):
        return Refused(offer.serial, reason, wait_ms, False, REPORT)


class FakeOfferHandle:
    def __init__(self, offer, reply):
        self.offer, self.reply = offer, reply
        self.queued = self.cancelled = False

    def cancel(self):
        self.cancelled = True

    def withdraw(self):
        return self.queued

    def answer(self):
        self.reply(Answered(self.offer.serial, 200, [], b"done", REPORT))


class Pipe:
    """Connect two stream ends; written bytes arrive when the test calls `deliver`."""

    def __init__(self):
        self.ends = [PipeEnd(self, 0), PipeEnd(self, 1)]
        self.undelivered = []

    def deliver(self):
        while self.undelivered:
            end, data = self.undelivered.pop(0)
            if not end.closed:
                end.user.on_data(data)

    def break_at(self, side):
        end = self.ends[side]
        end.closed = True
        end.user.on_end(clean=False)


class PipeEnd:
    unsent_bytes = 0

    def __init__(self, pipe, side):
        self.pipe, self.side, self.closed, self.user = pipe, side, False, None

    def start(self, user):
        self.user = user

    def write(self, data):
        if not self.closed:
            self.pipe.undelivered.append((self.pipe.ends[1 - self.side], data))

    def close(self):
        self.closed = True


class Daemons:
    """Set up the calling daemon d1, the serving daemon d2 and the link between them."""

    def __init__(self, monkeypatch):
        monkeypatch.setattr(outboundlinks, "connect", self._connect)
        self.clock = FakeClock()
        self.gate = FakeGate()
        self.calling, self.serving = self._host("d1"), self._host("d2")
        self.pipe = None
        self.link = OutboundLink(self.calling, self.serving.rows.own)
        self.outcomes = []
        self.reconnect()

    def reconnect(self):
        self.clock.at += 1
        self.link.tick(self.clock.now())
        self.pipe = Pipe()
        InboundLink(self.serving, self.pipe.ends[1])
        self.connected(self.pipe.ends[0])
        self.pipe.deliver()

    def offer(self, idempotent=False):
        offer = Offer(
            *(0, "c1", "give", "ledger", "portal", "POST", b"/give/x", [], b"gift"),
            left_ms=1_000.0,
            objective_left_ms=300.0,
            priority=0,
            idempotent=idempotent,
        )
        cancel = self.link.offer(offer, self.outcomes.append)
        return cancel

    def _connect(self, endpoint, timeout_ms, done):
        self.connected = done
        return lambda: None

    def _host(self, id):
        row = DaemonRow(id, "dc", "127.0.0.1", 1, incarnation=1, serial=0)
        return LinkHost(
            self.clock,
            FakeTimeline(),
            Metrics(),
            CallLog(FakeTimeline(), self.clock),
            RowTable(row),
            FakeConfig(),
            self.gate,
            ByteBudget(1_000),
            OrphanedOffers(self.clock),
            set(),
            lambda rows: None,
            lambda row: None,
        )


@pytest.fixture
def daemons(monkeypatch):
    return Daemons(monkeypatch)


def break_both(daemons):
    daemons.pipe.break_at(0)
    daemons.pipe.break_at(1)


def test_a_non_idempotent_request_answered_after_the_reconnect_is_delivered(daemons):
    daemons.offer()
    daemons.pipe.deliver()
    break_both(daemons)
    assert daemons.outcomes == []
    daemons.reconnect()
    daemons.gate.offers[0].answer()
    daemons.pipe.deliver()
    assert [outcome.body for outcome in daemons.outcomes] == [b"done"]
    assert len(daemons.gate.offers) == 1


def test_an_answer_given_while_the_link_was_down_is_delivered(daemons):
    daemons.offer()
    daemons.pipe.deliver()
    break_both(daemons)
    daemons.gate.offers[0].answer()
    daemons.reconnect()
    assert [type(outcome) for outcome in daemons.outcomes] == [Answered]


def test_a_request_still_queued_is_refused_and_can_go_elsewhere(daemons):
    daemons.offer()
    daemons.pipe.deliver()
    daemons.gate.offers[0].queued = True
    break_both(daemons)
    daemons.reconnect()
    assert [outcome.reason for outcome in daemons.outcomes] == [RefusalReason.CANCELLED]


def test_a_request_that_was_never_received_is_refused_and_cannot_arrive_later(daemons):
    daemons.offer()
    daemons.pipe.deliver()
    daemons.gate.offers[0].answer()
    daemons.pipe.deliver()
    daemons.offer()
    old_pipe, in_transit = daemons.pipe, daemons.pipe.undelivered
    daemons.pipe.break_at(0)
    daemons.reconnect()
    assert [type(outcome) for outcome in daemons.outcomes] == [Answered, Refused]
    # The serving end has not noticed the break, so the request could still arrive over the old
    # link after it was reported as never received.
    assert in_transit
    old_pipe.deliver()
    assert len(daemons.gate.offers) == 1


def test_an_answer_lost_in_transit_leaves_the_outcome_unknown(daemons):
    daemons.offer()
    daemons.pipe.deliver()
    daemons.gate.offers[0].answer()
    daemons.pipe.undelivered.clear()
    break_both(daemons)
    daemons.reconnect()
    assert [outcome.reason for outcome in daemons.outcomes] == [LossReason.LINK_LOST]


def test_a_restarted_serving_daemon_leaves_the_outcome_unknown(daemons):
    daemons.offer()
    daemons.pipe.deliver()
    break_both(daemons)
    daemons.serving = daemons._host("d2")
    daemons.reconnect()
    assert [type(outcome) for outcome in daemons.outcomes] == [Lost]


def test_a_request_is_lost_after_the_timeout_if_the_link_stays_down(daemons):
    daemons.offer()
    daemons.pipe.deliver()
    break_both(daemons)
    daemons.clock.at += RESOLVE_TIMEOUT_MS + 1
    daemons.link.tick(daemons.clock.now())
    assert [type(outcome) for outcome in daemons.outcomes] == [Lost]


def test_an_idempotent_request_is_lost_at_once_and_cancelled_at_the_gate(daemons):
    daemons.offer(idempotent=True)
    daemons.pipe.deliver()
    break_both(daemons)
    assert [type(outcome) for outcome in daemons.outcomes] == [Lost]
    assert daemons.gate.offers[0].cancelled


def test_a_request_cancelled_while_the_link_is_down_gets_no_outcome(daemons):
    cancel = daemons.offer()
    daemons.pipe.deliver()
    break_both(daemons)
    cancel()
    daemons.gate.offers[0].answer()
    daemons.reconnect()
    assert daemons.outcomes == []


def test_body_memory_is_reserved_until_the_request_ends(daemons):
    body_budget = daemons.serving.body_budget
    for _ in range(3):
        daemons.offer()
    cancel = daemons.offer()
    daemons.pipe.deliver()
    assert body_budget.reserved == 16
    daemons.gate.offers[0].answer()
    cancel()
    daemons.pipe.deliver()
    assert body_budget.reserved == 8
    daemons.gate.offers[1].queued = True
    break_both(daemons)
    assert body_budget.reserved == 4
    daemons.gate.offers[2].answer()
    assert body_budget.reserved == 0
