"""Prove which target takes requests, whatever order its announcements come in."""

from egretworks.edge import Departure, Heartbeat
from egretworks.targetbook import TargetBook
from egretworks.types import Endpoint, TargetState

DRAIN_MS = 2_000


def beat(id="t1", born=100, sequence=1, state=TargetState.READY, slots=8):
    return Heartbeat(id, born, sequence, "ledger", Endpoint("10.0.0.1", 80), slots, state, 0.0)


def book_with(*announcements):
    book = TargetBook(lambda: DRAIN_MS)
    for announcement in announcements:
        book.heartbeat(announcement, 0.0)
    return book


def test_a_target_takes_nothing_until_it_is_confirmed():
    book = book_with(beat())
    assert not book.current.takes(0.0)
    assert book.confirm("t1")
    assert book.current.takes(0.0)
    assert not book.confirm("t1")


def test_another_targets_health_confirms_nothing():
    book = book_with(beat())
    assert not book.confirm("t2")
    assert not book.current.takes(0.0)


def test_a_leaving_target_takes_requests_for_part_of_the_time_allowed_and_none_after():
    book = book_with(beat())
    book.confirm("t1")
    assert book.heartbeat(beat(sequence=2, state=TargetState.LEAVING), 1_000.0)
    assert not book.current.serving
    assert book.current.takes(1_500.0)
    assert not book.current.takes(1_000.0 + DRAIN_MS)


def test_a_late_ready_heartbeat_doesnt_bring_a_leaving_target_back():
    book = book_with(beat(sequence=5))
    book.confirm("t1")
    book.heartbeat(beat(sequence=7, state=TargetState.LEAVING), 0.0)
    assert not book.heartbeat(beat(sequence=6), 10.0)
    assert not book.current.serving


def test_a_departure_without_notice_closes_and_a_wrong_incarnations_doesnt():
    book = book_with(beat())
    book.confirm("t1")
    assert not book.depart(Departure("t1", born=99), 0.0)
    assert not book.depart(Departure("t2", born=None), 0.0)
    assert book.depart(Departure("t1", born=100), 0.0)
    assert not book.current.takes(float(DRAIN_MS))


def test_a_dead_incarnations_late_heartbeat_changes_nothing():
    book = book_with(beat(born=200))
    book.confirm("t1")
    assert not book.heartbeat(beat(id="t0", born=100, sequence=50), 0.0)
    assert book.current.id == "t1"


def test_the_same_id_started_anew_counts_from_the_start():
    book = book_with(beat(born=100, sequence=90))
    book.confirm("t1")
    book.heartbeat(beat(born=100, sequence=91, state=TargetState.LEAVING), 0.0)
    assert book.heartbeat(beat(born=300, sequence=1), 5_000.0)
    assert not book.current.confirmed
    book.confirm("t1")
    assert book.current.takes(9_000.0)


def test_a_target_out_of_reach_is_back_with_its_next_heartbeat():
    book = book_with(beat())
    book.confirm("t1")
    assert book.lose()
    assert not book.current.takes(0.0)
    assert book.heartbeat(beat(sequence=2), 0.0)
    assert book.current.takes(0.0)
