"""Prove which row of a daemon holds, and who reads the store."""

import msgspec

from egretworks.rows import DaemonRow, RowTable, watches_store
from egretworks.storekeeper import decode_row, encode_row


def row(id, incarnation=10, serial=0, **changes):
    made = DaemonRow(id, "dc", "10.0.0.1", 7000, incarnation, serial)
    return msgspec.structs.replace(made, **changes)


def test_the_newest_row_holds_in_whatever_order_they_come():
    rows = [row("b"), row("b", serial=3), row("b", incarnation=20), row("b", serial=9)]
    for order in (rows, rows[::-1]):
        table = RowTable(row("a"))
        table.merge(order)
        assert table.rows_by_id["b"].incarnation == 20


def test_only_news_is_returned():
    table = RowTable(row("a"))
    assert table.merge([row("b", serial=2)]) == [row("b", serial=2)]
    assert table.merge([row("b", serial=2), row("b", serial=1)]) == []


def test_a_row_from_an_earlier_life_is_outlived_even_if_the_clock_went_back():
    table = RowTable(row("a", incarnation=50))
    assert table.merge([row("a", incarnation=90, serial=7)]) == []
    assert table.own.supersedes(row("a", incarnation=90, serial=7))


def test_one_daemon_of_a_data_centre_reads_the_store():
    rows = [row(id) for id in "abc"]
    watching = [
        own.id for own in rows if watches_store(own, [other for other in rows if other != own])
    ]
    assert watching == ["a"]


def test_the_next_reads_the_store_where_the_first_cannot():
    assert watches_store(row("b"), [row("a", reads_store=False), row("c")])
    assert watches_store(row("b"), [row("a", leaving=True)])
    assert watches_store(row("b"), [row("a", data_centre="far")])
    assert not watches_store(row("b", reads_store=False), [])


def test_a_row_survives_the_store_and_another_writers_document_is_none():
    assert decode_row(encode_row(row("b", serial=4))) == row("b", serial=4)
    for document in (b"null", b"{}", b'{"row":[1,2]}', b'{"row":"x"}', b"\xff"):
        assert decode_row(document) is None
