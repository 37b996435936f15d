"""Test that frames decode however the stream is split, and that invalid bytes are rejected."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from egretworks.exceptions import PeerError
from egretworks.linkframes import (
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
FRAMES = [
    Hello(ROW, 3, [ROW]),
    Offer(7, "id", "r", "s", "c", "PUT", b"/x", [(b"a", b"\xff")], b"\0body", 9.5, 1.0, 0, True),
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
