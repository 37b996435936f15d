"""Test how the outcomes of requests are resolved after their link breaks, without sockets."""

import pytest
from hubtools import run_hub_for
from linkpipes import Daemons

from egretworks.linkframes import Answered, LossReason, Lost, RefusalReason, Refused
from egretworks.outboundlinks import RESOLVE_TIMEOUT_MS, SUSPECT_MS
from egretworks.rows import DaemonRow, TargetRow

# The users' largest deployment and its smallest links (7 Mbit/s).
DAEMONS = 89
LINK_BYTES_PER_MS = 875


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
    daemons.serving = daemons.make_host("d2")
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


# Guards against GONE: a request reached its target 1.7 s after its caller had left, as it had been
# queued on a full link meanwhile and was taken for new.
def test_an_offer_whose_time_ran_out_on_a_full_link_is_not_run(daemons):
    daemons.offer(idempotent=True, left_ms=300.0)
    daemons.clock.at += 2_000
    daemons.pipe.deliver()
    assert daemons.gate.offers == []
    assert [outcome.reason for outcome in daemons.outcomes] == [RefusalReason.EXPIRED]


# Guards against GONE: a caller may leave early, and the cancel is queued behind the offer.
def test_an_offer_queued_for_long_on_its_way_is_refused_so_that_it_can_go_elsewhere(daemons):
    daemons.offer(idempotent=True, left_ms=30_000.0)
    daemons.clock.at += 450
    daemons.pipe.deliver()
    assert daemons.gate.offers == []
    assert [outcome.reason for outcome in daemons.outcomes] == [RefusalReason.EXPIRED]


# Guards against large requests that are refused by every target behind a slow link.
def test_the_transfer_of_an_offers_own_body_does_not_count_as_queueing(daemons):
    daemons.offer(left_ms=30_000.0, body=bytes(1_000_000))
    daemons.clock.at += 1_200
    daemons.pipe.deliver()
    assert len(daemons.gate.offers) == 1


# Guards against GONE: a target worked on after the deadline, which had been set from the arrival.
def test_the_time_that_an_offer_was_queued_on_its_way_is_taken_off_its_time_left(daemons):
    daemons.offer(left_ms=1_000.0)
    daemons.clock.at += 200
    daemons.pipe.deliver()
    offer = daemons.gate.offers[0].offer
    assert (offer.left_ms, offer.objective_left_ms) == (800.0, 100.0)


def daemon_rows():
    return [
        DaemonRow(
            *(f"sidecar-zg-susedgrad-{n}", "zg-susedgrad", f"10.128.7.{n}", 7_600),
            incarnation=1_785_300_051_264,
            serial=7,
            target=TargetRow(f"i-{n:010x}", 1_785_300_051_264, "deno59c", 12, True),
        )
        for n in range(DAEMONS)
    ]


# Guards against CONFIG and GONE: a daemon that had just started exchanged all rows with each peer;
# that filled its link, which was given up as silent and opened again, with all rows again.
def test_a_started_daemon_opens_its_links_before_its_peers_suspect_it(monkeypatch):
    daemons = Daemons(monkeypatch, daemon_rows())
    # The peers of a daemon that is started again know its row, and send it back.
    daemons.reconnect()
    # Each pair of daemons has two links, one in each direction.
    sent_bytes = daemons.pipe.sent_bytes * 2 * (DAEMONS - 1)
    assert sent_bytes / LINK_BYTES_PER_MS < SUSPECT_MS


def test_a_daemon_that_does_not_know_all_members_gets_their_rows_from_one_peer(daemons):
    daemons.serving.rows.merge(daemon_rows())
    daemons.reconnect()
    run_hub_for(300)
    daemons.pipe.deliver()
    assert daemons.calling.rows.size == DAEMONS + 2
    sent_bytes = daemons.pipe.sent_bytes
    run_hub_for(300)
    daemons.pipe.deliver()
    assert daemons.pipe.sent_bytes == sent_bytes
