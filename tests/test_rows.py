"""Test the merging of rows, the election of the store watcher, and rows as stored documents."""

import msgspec

from egretworks.rows import DaemonRow, RowTable, is_store_watcher
from egretworks.storesync import decode_row, encode_row


def row(id, incarnation=10, serial=0, **changes):
    made = DaemonRow(id, "dc", "10.0.0.1", 7000, incarnation, serial)
    return msgspec.structs.replace(made, **changes)


def test_the_newest_row_wins_whatever_the_order_of_arrival():
    rows = [row("b"), row("b", serial=3), row("b", incarnation=20), row("b", serial=9)]
    for order in (rows, rows[::-1]):
        table = RowTable(row("a"))
        table.merge(order)
        assert table.rows_by_id["b"].incarnation == 20


def test_merge_returns_only_new_and_newer_rows():
    table = RowTable(row("a"))
    assert table.merge([row("b", serial=2)]) == [row("b", serial=2)]
    assert table.merge([row("b", serial=2), row("b", serial=1)]) == []


def test_a_row_from_an_earlier_run_is_superseded_even_if_the_clock_went_back():
    table = RowTable(row("a", incarnation=50))
    assert table.merge([row("a", incarnation=90, serial=7)]) == []
    assert table.own.supersedes(row("a", incarnation=90, serial=7))


def test_one_daemon_of_a_data_centre_is_elected_store_watcher():
    rows = [row(id) for id in "abc"]
    watchers = [
        own.id for own in rows if is_store_watcher(own, [other for other in rows if other != own])
    ]
    assert watchers == ["a"]


def test_the_next_daemon_is_elected_if_the_first_cannot_watch():
    assert is_store_watcher(row("b"), [row("a", store_reachable=False), row("c")])
    assert is_store_watcher(row("b"), [row("a", leaving=True)])
    assert is_store_watcher(row("b"), [row("a", data_centre="far")])
    assert not is_store_watcher(row("b", store_reachable=False), [])


def test_a_row_round_trips_as_a_document_and_an_invalid_document_gives_none():
    assert decode_row(encode_row(row("b", serial=4))) == row("b", serial=4)
    for document in (b"null", b"{}", b'{"row":[1,2]}', b'{"row":"x"}', b"\xff"):
        assert decode_row(document) is None
