"""Test that a document is rebuilt from its differences, and that they are small."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from platformwire import team_document

from egretworks.configdelta import apply_edits, digest, encode_edits, split
from egretworks.exceptions import PeerError

documents = st.lists(st.sampled_from([b"[a]", b"[b]", b",", b"[[c],", b"]", b"x"])).map(b"".join)


@given(documents, documents)
def test_any_document_is_rebuilt_from_any_base(before, after):
    base = split(before)
    pieces = apply_edits(base, encode_edits(base, split(after, base)))
    assert b"".join(pieces) == after
    assert pieces == split(after)


def rows(numbers):
    return (
        b"[" + b",".join(b'["r-%d","host-%d.example","/p/%d/"]' % (n, n, n) for n in numbers) + b"]"
    )


def test_a_changed_row_costs_little_whatever_the_size_of_the_document():
    base = split(rows(range(3_000)))
    numbers = [*range(1_000), 70_000, *range(1_001, 3_000)]
    assert len(encode_edits(base, split(rows(numbers), base))) < 100


# Guards against all keys of all teams on the way between daemons whenever one key changes.
def test_a_changed_key_costs_little_whatever_the_number_of_teams():
    def teams(changed_key):
        rows = [[f"t{n}", [f"key-{n}-a", f"key-{n}-b"], 1, 5, 5] for n in range(500)]
        rows[250][1][0] = changed_key
        return team_document(1, rows)

    base = split(teams("old"))
    assert len(encode_edits(base, split(teams("new"), base))) < 150


def test_pieces_that_did_not_change_are_shared_with_the_base():
    base = split(rows(range(10)))
    pieces = split(rows(range(1, 10)), base)
    assert all(any(piece is other for other in base) for piece in pieces[1:-1])


def test_digests_tell_documents_apart():
    assert digest(b"[1]") != digest(b"[2]")


@pytest.mark.parametrize("data", [b"", b"x", encode_edits((), (b"1]",))[:-6]])
def test_invalid_edits_are_rejected(data):
    with pytest.raises(PeerError):
        apply_edits((), data)


def test_edits_of_another_base_are_rejected():
    base = split(rows(range(10)))
    with pytest.raises(PeerError):
        apply_edits(base[:4], encode_edits(base, base))
