"""Test the translation between the platform's wire formats and the daemon's types."""

import json
import platform
import subprocess
import sys

import pytest
from platformwire import ADAPTER, config_document, edge, heartbeat_body

from egretworks.edge import Departure, TargetHead
from egretworks.exceptions import BadRequest
from egretworks.httpwire import Request, Response
from egretworks.types import Endpoint, Repeat, TargetState

HEARTBEAT_URL = "/rpc?call=instances.heartbeat&of=i-7f"
DEPARTURE_URL = "/rpc?call=instances.deregister&of=i-7f"


def request(method="GET", url="/", headers=(), body=b""):
    lowered = [(name.lower().encode(), value.encode()) for name, value in headers]
    return Request(method, url.encode(), lowered, body, True)


def test_the_folder_does_not_shadow_the_standard_module_platform():
    root = str(ADAPTER.parent)
    code = f"import sys; sys.path.append({root!r}); import platform; print(platform.system())"
    for folder in (ADAPTER, ADAPTER.parent):
        done = subprocess.run(
            [sys.executable, "-c", code], cwd=folder, capture_output=True, text=True
        )
        assert done.stdout.strip() == platform.system(), done.stderr
    assert not (ADAPTER / "__init__.py").exists()


def test_the_head_of_a_request_and_its_forwarded_headers():
    headers = [
        ("Host", "h"),
        ("X-Egret-Attempt-Id", "a1"),
        ("X-Egret-Deadline-Ms", "1200"),
        ("X-Egret-Caller", "forged"),
        ("X-Egret-Expect-Instance", "forged"),
        ("Connection", "keep-alive, X-Hop"),
        ("X-Hop", "1"),
        ("X-Other", "stays"),
    ]
    head = edge().read_head(request(headers=headers))
    assert (head.id, head.left_ms) == ("a1", 1200.0)
    passed = {name for name, _ in edge().forwarded_headers(request(headers=headers), keyed=False)}
    assert passed == {b"host", b"x-egret-attempt-id", b"x-other"}


@pytest.mark.parametrize("value", ["soon", "-1", "nan", "inf", ""])
def test_an_invalid_deadline_is_a_bad_request(value):
    with pytest.raises(BadRequest):
        edge().read_head(request(headers=[("X-Egret-Deadline-Ms", value)]))


def test_the_daemon_sets_its_own_headers():
    headers = edge().target_headers(TargetHead("a1", 800, "portal", "i-7f"))
    assert headers == [
        (b"X-Egret-Deadline-Ms", b"800"),
        (b"X-Egret-Caller", b"portal"),
        (b"X-Egret-Expect-Instance", b"i-7f"),
    ]


def test_the_metadata_of_a_response():
    shed = Response(503, [(b"x-egret-not-run", b"1")], b"")
    assert edge().read_answer_metadata(shed).not_run
    complete = Response(200, [(b"X-Egret-Stamp", b"s"), (b"X-Egret-Attempt-Id", b"a1")], b"")
    metadata = edge().read_answer_metadata(complete)
    assert (metadata.id, metadata.signed, metadata.not_run, metadata.encoded) == (
        "a1",
        True,
        False,
        False,
    )
    assert edge().read_answer_metadata(Response(200, [(b"Content-Encoding", b"gzip")], b"")).encoded


def test_heartbeats_and_departures():
    beat = edge().read_announcement(
        request(
            "POST", HEARTBEAT_URL, body=heartbeat_body("10.0.0.9:80", state="draining", sequence=4)
        )
    )
    assert (beat.id, beat.endpoint) == ("i-7f", Endpoint("10.0.0.9", 80))
    assert (beat.state, beat.sequence, beat.born, beat.slots) == (TargetState.LEAVING, 4, 1_000, 12)
    assert edge().read_announcement(request("POST", DEPARTURE_URL)) == Departure("i-7f", None)
    body = b'{"born": 7}'
    assert edge().read_announcement(request("POST", DEPARTURE_URL, body=body)) == Departure(
        "i-7f", 7
    )


def malformed_heartbeats():
    complete = json.loads(heartbeat_body("10.0.0.9:80"))
    yield b""
    yield b"\xff"
    yield b"[]"
    for key in ("address", "info", "status"):
        yield json.dumps({k: v for k, v in complete.items() if k != key}).encode()
    for part, key, value in (
        ("status", "phase", "resting"),
        ("status", "sequence", "4"),
        ("info", "maxConcurrency", 0),
        ("info", "service", 3),
    ):
        malformed = json.loads(heartbeat_body("10.0.0.9:80"))
        malformed[part][key] = value
        yield json.dumps(malformed).encode()
    yield json.dumps({**complete, "address": "nowhere"}).encode()
    yield json.dumps({**complete, "born": "100"}).encode()
    yield json.dumps({**complete, "born": 1.5}).encode()


@pytest.mark.parametrize("body", malformed_heartbeats())
def test_a_malformed_heartbeat_is_a_bad_request(body):
    with pytest.raises(BadRequest):
        edge().read_announcement(request("POST", HEARTBEAT_URL, body=body))


def test_a_configuration_in_columns_is_decoded():
    split = [{"service": "ledger", "weight": 90}, {"service": "portal", "weight": 10}]
    rows = [["r", "H.example", "/a/", "idempotent", 1000, 500, 2, None, 3, split]]
    config = edge().decode_config(config_document(0x1C, rows))
    assert config.version == 0x1C
    route = config.routes[0]
    assert (route.host, route.repeat, route.max_attempts) == ("h.example", Repeat.IDEMPOTENT, 3)
    assert [(share.service, share.weight) for share in route.split] == [
        ("ledger", 90.0),
        ("portal", 10.0),
    ]
    assert config.services_by_name["ledger"].health_path == "/health"
    assert config.limits.idle_timeout_ms == 15_000


def test_only_a_get_of_the_readiness_path_is_a_readiness_check():
    assert edge().is_readiness_check(request(url="/readiness"))
    assert not edge().is_readiness_check(request(url="/other"))
    assert not edge().is_readiness_check(request("POST", "/readiness"))


# Guards against a malformed heartbeat of a known id whose number hides the target's own, so that
# its leaving has no effect.
@pytest.mark.parametrize(
    "table, field",
    [
        ("info", "service"),
        ("info", "version"),
        ("info", "zone"),
        ("info", "maxConcurrency"),
        ("status", "phase"),
        ("status", "sequence"),
        ("status", "coldLeftMs"),
    ],
)
@pytest.mark.parametrize("odd", [None, [1]])
def test_a_heartbeat_without_a_field_or_of_another_type_is_refused(table, field, odd):
    body = json.loads(heartbeat_body("127.0.0.1:8080"))
    del body[table][field]
    if odd is not None:
        body[table][field] = odd
    url = "/rpc?call=instances.heartbeat&of=i-1"
    with pytest.raises(BadRequest):
        edge().read_announcement(request("POST", url, body=json.dumps(body).encode()))
