"""Prove that packed links carry the same bytes, in fewer, and that other bytes are refused."""

import os

import pytest
from hypothesis import given
from hypothesis import strategies as st

from egretworks.exceptions import PeerError
from egretworks.linkcoding import PACKED_MARK, PLAIN_MARK, PackedCoding, coding_of


@given(
    st.sampled_from([PLAIN_MARK, PACKED_MARK]),
    st.lists(st.binary(max_size=300), max_size=20),
    st.lists(st.integers(1, 50), min_size=1, max_size=50),
)
def test_messages_come_out_as_they_went_in_however_the_stream_is_cut(mark, messages, sizes):
    sender, receiver = coding_of(mark), coding_of(mark)
    data = b"".join(sender.pack(message) for message in messages)
    got, at = b"", 0
    for size in [*sizes, len(data)]:
        got += receiver.unpack(data[at : at + size])
        at += size
    assert got == b"".join(messages)


def test_each_message_is_whole_when_it_arrives():
    sender, receiver = PackedCoding(), PackedCoding()
    for _ in range(50):
        message = os.urandom(200)
        assert receiver.unpack(sender.pack(message)) == message


def test_headers_that_recur_cost_little():
    coding = PackedCoding()
    head = b"host: pool.example accept: */* user-agent: portal/1.2 x-egret-attempt-id: "
    sizes = [len(coding.pack(head + os.urandom(8).hex().encode())) for _ in range(20)]
    assert max(sizes[2:]) < len(head)


def test_other_bytes_are_refused():
    with pytest.raises(PeerError):
        coding_of(b"G")
    with pytest.raises(PeerError):
        PackedCoding().unpack(b"\xff" * 40)
