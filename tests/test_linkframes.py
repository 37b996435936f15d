"""Test that frames decode however the stream is split, and that invalid bytes are rejected."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from egretworks.exceptions import PeerError
from egretworks.linkframes import (
    LENGTH_BYTES,
    Answered,
    Cancel,
    FrameReader,
    GateReport,
    Hello,
    Offer,
    Ping,
    RefusalReason,
    Refused,
    encode_frame,
)
from egretworks.rows import DaemonRow, TargetRow

ROW = DaemonRow("a", "dc", "10.0.0.1", 7000, 5, 1, False, True, TargetRow("t", 1, "s", 8, True))
OFFER = Offer(
    *(7, "id", "r", "s", "c", "PUT", b"/x", [(b"a", b"\xff")], b"\0body", 9.5, 1.0, 0, True)
)
FRAMES = [
    Hello(ROW, 3, [ROW]),
    OFFER,
    Answered(7, 200, [(b"X-Y", b"z")], bytes(300), GateReport(8, 3, 41.5, 2)),
    Refused(8, RefusalReason.BUSY, 30.0, False, GateReport(8, 9, 41.5)),
    Cancel(9),
    Ping(12),
]


@given(st.lists(st.integers(1, 40), min_size=1, max_size=60))
def test_frames_round_trip_however_the_stream_is_split(sizes):
    data = b"".join(encode_frame(frame) for frame in FRAMES)
    reader, read, offset = FrameReader(), [], 0
    for size in [*sizes, len(data)]:
        read += reader.feed(data[offset : offset + size])
        offset += size
    assert read == FRAMES


@pytest.mark.parametrize(
    "data",
    [b"GET / HTTP/1.1\r\n\r\n", b"\x00\x00\x00\x03abc", b"\x00\x00\x00\x02\x91\x63"],
)
def test_invalid_bytes_are_rejected(data):
    with pytest.raises(PeerError):
        FrameReader().feed(data)


def older_offer(unknown):
    """Return the struct of an offer as builds had it that knew nothing of the fields `unknown`."""
    fields = [
        (
            (field.name, field.type, field.default)
            if field.default is not msgspec.NODEFAULT
            else (field.name, field.type)
        )
        for field in msgspec.structs.fields(Offer)
        if field.name not in unknown
    ]
    return msgspec.defstruct("OlderOffer", fields, array_like=True, frozen=True, tag=2)


TEAM_FIELDS = {"team": "t1", "team_priority": 1, "team_weight": 5.0}
SEARCH_FIELDS = {"may_wait": False}
RETRY_FIELDS = {"retry": True, "call_share": 0.5}


# Guards against daemons of two builds that close their links while an update is under way.
@pytest.mark.parametrize(
    "new_fields",
    [
        SEARCH_FIELDS,
        TEAM_FIELDS | SEARCH_FIELDS,
        RETRY_FIELDS | TEAM_FIELDS | SEARCH_FIELDS,
    ],
)
def test_offers_of_daemons_of_an_older_build_are_read_both_ways(new_fields):
    offer = msgspec.structs.replace(OFFER, **new_fields)
    older = older_offer(new_fields.keys())
    values = {name: getattr(offer, name) for name in older.__struct_fields__}
    assert msgspec.msgpack.decode(encode_frame(offer)[LENGTH_BYTES:], type=older) == older(**values)
    (read,) = FrameReader().feed(encode_frame(older(**values)))
    defaults = {name: getattr(OFFER, name) for name in new_fields}
    assert read == msgspec.structs.replace(offer, **defaults)


@pytest.mark.parametrize("share", (-0.1, 1.1, float("nan")))
def test_a_call_share_that_is_no_probability_closes_the_link(share):
    frame = encode_frame(msgspec.structs.replace(OFFER, call_share=share))
    with pytest.raises(PeerError):
        FrameReader().feed(frame)
