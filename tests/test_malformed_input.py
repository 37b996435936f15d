"""Test that malformed input at any door of the daemon harms only the message that brought it."""

import contextlib
import json

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from linkpipes import Daemons, FakeTimeline, Pipe, make_host
from mutations import mutated_bytes, mutated_json
from platformwire import config_document, edge, heartbeat_body, platform_store
from sidecars import SETTINGS

from egretworks.config import read_sidecar_settings
from egretworks.configholder import ConfigHolder
from egretworks.exceptions import (
    BadRequest,
    CallError,
    ConfigInvalid,
    PeerError,
    SettingsError,
)
from egretworks.httpwire import Request, encode_request
from egretworks.inboundlinks import InboundLink
from egretworks.linkframes import (
    Answered,
    Cancel,
    ConfigCopy,
    ConfigDelta,
    ConfigRequest,
    FramePart,
    FrameReader,
    GateReport,
    Offer,
    OutcomeQuery,
    Ping,
    Pong,
    RefusalReason,
    Refused,
    Rows,
    RowsRequest,
    encode_frame,
)
from egretworks.messagereader import MessageLimits
from egretworks.requestreader import RequestReader
from egretworks.rows import DaemonRow, TargetRow
from egretworks.storesync import decode_row, encode_row
from egretworks.streams import connect

CASES = 2_000
thorough = settings(
    max_examples=CASES,
    deadline=None,
    print_blob=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)

REQUEST = (
    b"POST /give/x?y=1 HTTP/1.1\r\nHost: pool.example\r\nX-Egret-Attempt-Id: a1\r\n"
    b"X-Egret-Deadline-Ms: 2000\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\ngift"
)
CHUNKED = (
    b"PUT /give/x HTTP/1.1\r\nHost: pool.example\r\nX-Egret-Attempt-Id: a2\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n4\r\ngift\r\n0\r\n\r\n"
)
REPORT = GateReport(slots=4, load=0, work_ms=10.0)
ROW = DaemonRow(
    "d9", "dc", "127.0.0.9", 7_600, 1, 1, target=TargetRow("i-9", 1_000, "ledger", 4, True)
)
OFFER = Offer(
    *(1, "c1", "give", "ledger", "portal", "POST", b"/give/x", [(b"host", b"x")], b"gift"),
    left_ms=900.0,
    objective_left_ms=300.0,
    priority=0,
    idempotent=False,
    sent_at=1_000.0,
)
FRAMES = (
    OFFER,
    Answered(1, 200, [(b"X-Egret-Stamp", b"s")], b"done", REPORT),
    Refused(1, RefusalReason.BUSY, 20.0, False, REPORT),
    Cancel(1),
    Ping(1, 1_000.0, 1, 1),
    Pong(1, REPORT, 1, 1),
    Rows([ROW]),
    RowsRequest([1] * 16),
    ConfigRequest(1),
    ConfigCopy(2, config_document(2)),
    ConfigDelta(2, 1, 1, b"x"),
    OutcomeQuery([1, 2]),
    FramePart(1, False, b"x" * 20),
    FramePart(2, True, encode_frame(OFFER)[4:]),
    FramePart(1, True, b"", True),
)


def read_all(reader):
    while (request := reader.next_request()) is not None:
        yield request


class ConfiguredDaemons(Daemons):
    """Two linked daemons that decode the configurations that they get."""

    def make_host(self, id):
        config = ConfigHolder(edge().decode_config, FakeTimeline(), lambda: None)
        config.apply(config_document(1), "test")
        return make_host(id, self.clock, self.gate, config)


# The call port, and the parts of it that the other HTTP ports share.
@thorough
@given(mutated_bytes([REQUEST, CHUNKED]), st.integers(1, 60))
def test_a_malformed_request_is_rejected_or_forwarded_as_it_came(data, step):
    reader, platform_edge = RequestReader(MessageLimits(2_000, 1_000)), edge()
    requests = []
    try:
        for start in range(0, len(data), step):
            reader.feed(data[start : start + step])
            requests += read_all(reader)
        for request in requests:
            head = platform_edge.read_head(request)
            assert head.left_ms is None or head.left_ms >= 0
            forwarded = platform_edge.forwarded_headers(request, keyed=True)
            offer = msgspec.structs.replace(OFFER, headers=forwarded, method=request.method)
            encode_frame(offer)
            host = request.header(b"host")
            assert encode_request(request, host, []).count(b"\r\n\r\n") >= 1
    except CallError:
        pass


@thorough
@given(
    mutated_json(heartbeat_body("127.0.0.1:8080")) | mutated_bytes(heartbeat_body("127.0.0.1:80"))
)
def test_a_malformed_heartbeat_is_refused_or_can_be_passed_on(body):
    request = (
        b"POST /rpc?call=instances.heartbeat&of=i-1 HTTP/1.1\r\nHost: x\r\n"
        b"Content-Length: %d\r\n\r\n" % len(body)
    ) + body
    reader = RequestReader(MessageLimits(32_768, 10_000))
    reader.feed(request)
    try:
        heartbeat = edge().read_announcement(reader.next_request())
    except BadRequest:
        return
    # What is accepted is spread to the other daemons.
    target = TargetRow(heartbeat.id, heartbeat.born, heartbeat.service, heartbeat.slots, True)
    encode_frame(Rows([msgspec.structs.replace(ROW, target=target)]))
    assert heartbeat.slots >= 1


@thorough
@given(mutated_json(config_document(3)) | mutated_bytes(config_document(3)))
def test_a_malformed_configuration_is_refused_or_can_be_used(document):
    try:
        config = edge().decode_config(document)
    except ConfigInvalid:
        return
    for route in config.routes:
        assert route.timeout_ms > 0
        encode_frame(msgspec.structs.replace(OFFER, priority=route.priority, route=route.name))
    encode_frame(Ping(config.version))


@thorough
@given(mutated_json(encode_row(ROW)) | mutated_bytes(encode_row(ROW)))
def test_a_malformed_row_in_the_store_is_ignored_or_can_be_linked(document):
    row = decode_row(document)
    if row is None:
        return
    encode_frame(Rows([row]))
    cancel = connect(row.endpoint, 100, lambda stream: None)
    cancel()


@thorough
@given(mutated_bytes([encode_frame(frame) for frame in FRAMES]), st.booleans())
def test_a_malformed_frame_closes_only_its_link(data, to_serving_end):
    with pytest.MonkeyPatch.context() as monkeypatch:
        daemons = ConfiguredDaemons(monkeypatch)
        end = daemons.pipe.ends[1 if to_serving_end else 0]
        end.user.on_data(data)
        if end.closed:
            daemons.pipe.break_at(0 if to_serving_end else 1)
        # Another daemon is served as before.
        pipe = Pipe()
        InboundLink(daemons.serving, pipe.ends[1])
        daemons.reconnect()
        daemons.offer()
        daemons.pipe.deliver()
        assert daemons.gate.offers


SETTINGS_TEXT = SETTINGS.format(
    id="n0",
    data_centre="dc",
    service="portal",
    calls=7001,
    ready=7002,
    announcements=7003,
    links=7004,
    metrics=7005,
    store=7006,
).encode()


@thorough
@given(mutated_bytes(SETTINGS_TEXT))
def test_malformed_settings_are_refused_with_a_reason(tmp_path, text):
    path = tmp_path / "settings.toml"
    path.write_bytes(text)
    try:
        read_sidecar_settings(path)
    except SettingsError as error:
        assert error.message


STORE_PAGE = json.dumps(
    {
        "atRev": 7,
        "items": [{"metadata": {"name": "main", "rev": 6}, "spec": {"version": "00000001"}}],
        "events": [{"object": {"metadata": {"name": "main", "rev": 6}}, "deleted": False}],
        "hasMore": False,
    }
).encode()


@thorough
@given(mutated_json(STORE_PAGE) | mutated_bytes(STORE_PAGE))
def test_a_malformed_answer_of_the_store_counts_as_a_failure_of_the_store(document):
    from egretworks.exceptions import PlatformUnavailable

    store = platform_store()
    store._call = lambda *arguments: document
    for read in (lambda: store.watch("config", 1, 0), lambda: store.read("config", "main")):
        with contextlib.suppress(PlatformUnavailable):
            read()


# Deeper than any decoder follows, and small enough for an object of the store.
DEEP = b"[" * 100_000 + b"]" * 100_000


def with_deep_field(document):
    """Return the JSON object `document` with one more field, which is nested deeply."""
    return b'{"deep": ' + DEEP + b"," + document.lstrip()[1:]


# Guards against a daemon that finds no other one, or that follows no configuration any more: one
# deeply nested object, left by another writer, made each read of its kind fail.
def test_a_deeply_nested_object_hides_no_other():
    odd = b'{"metadata": {"name": "odd", "rev": 7}, "spec": ' + DEEP + b"}"
    good = b'{"metadata": {"name": "d9", "rev": 8}, "spec": ' + encode_row(ROW) + b"}"
    store = platform_store()
    store._call = lambda *arguments: b'{"atRev": 9, "items": [' + odd + b"," + good + b"]}"
    snapshot = store.list("egret-daemons")
    assert [stored.name for stored in snapshot.objects] == ["odd", "d9"]
    assert [decode_row(stored.document) for stored in snapshot.objects] == [None, ROW]


def test_a_deeply_nested_row_is_ignored():
    assert decode_row(with_deep_field(encode_row(ROW))) is None


def test_a_deeply_nested_configuration_is_refused():
    with pytest.raises(ConfigInvalid):
        edge().decode_config(with_deep_field(config_document(3)))


def test_a_deeply_nested_heartbeat_is_refused():
    body = with_deep_field(heartbeat_body("127.0.0.1:8080"))
    path = b"/rpc?call=instances.heartbeat&of=i-1"
    with pytest.raises(BadRequest):
        edge().read_announcement(Request("POST", path, [], body, True))


def test_a_deeply_nested_frame_closes_its_link_only():
    payload = b"\x93\x0a\x01" + b"\x91" * 100_000 + b"\xc0"
    with pytest.raises(PeerError):
        FrameReader().feed(len(payload).to_bytes(4, "big") + payload)


@pytest.mark.parametrize("port", (0, -1, 65_536, 10**30))
def test_a_row_with_a_port_out_of_range_is_ignored(port):
    document = json.dumps({"row": ["d9", "dc", "127.0.0.9", port, 1, 1]}).encode()
    assert decode_row(document) is None


@pytest.mark.parametrize("number", ("1" + "0" * 30, "1e400", "1" * 5_000))
def test_a_row_with_a_number_too_large_is_ignored_and_hides_no_other(number):
    document = f'{{"row": ["d9", "dc", "127.0.0.9", 80, {number}, 1]}}'.encode()
    assert decode_row(document) is None
    store = platform_store()
    store._call = lambda *arguments: (
        b'{"atRev": 9, "items": [{"metadata": {"name": "odd", "rev": 7}, "spec": '
        + document
        + b"}]}"
    )
    assert [stored.document for stored in store.list("egret-daemons").objects] == [document]
