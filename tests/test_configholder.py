"""Test that the newest valid configuration comes into force and its version never decreases."""

import json

import pytest
from hubtools import run_hub_for
from hypothesis import given
from hypothesis import strategies as st
from platformwire import config_document, edge

from egretworks.clock import SystemClock
from egretworks.configholder import ConfigHolder
from egretworks.linkframes import ConfigCopy, ConfigDelta, ConfigRequest
from egretworks.timeline import Timeline


def make_holder():
    return ConfigHolder(edge().decode_config, Timeline("t", SystemClock()), lambda: None)


class Peer:
    def __init__(self, peer_version=0, reads_deltas=True):
        self.frames = []
        self.peer_version = peer_version
        self.reads_deltas = reads_deltas

    def send_frame(self, frame):
        self.frames.append(frame)


@given(st.lists(st.integers(1, 40), min_size=1, max_size=30))
def test_the_version_in_force_never_decreases(versions):
    holder, highest = make_holder(), 0
    for version in versions:
        holder.apply(config_document(version), "test")
        highest = max(highest, version)
        assert holder.version == highest


def invalid_documents():
    valid = json.loads(config_document(9))
    yield config_document(9)[:-20]
    yield b"null"
    yield b"\xff\xfe"
    for key in ("version", "routes", "services"):
        yield json.dumps({k: v for k, v in valid.items() if k != key}).encode()
    columns = valid["routes"]["columns"]
    changes = {
        "host": "",
        "kind": "perhaps",
        "service": "unknown",
        "timeoutMs": "soon",
        "pathPrefix": "no/slash",
        "trafficSplit": [{"service": "ledger"}],
    }
    for column, value in changes.items():
        changed = json.loads(config_document(9))
        changed["routes"]["rows"][0][columns.index(column)] = value
        yield json.dumps(changed).encode()
    duplicate = json.loads(config_document(9))
    duplicate["routes"]["rows"].append(duplicate["routes"]["rows"][0])
    yield json.dumps(duplicate).encode()
    short = json.loads(config_document(9))
    short["routes"]["rows"][0].pop()
    yield json.dumps(short).encode()


@pytest.mark.parametrize("document", invalid_documents())
def test_an_invalid_configuration_changes_nothing(document):
    holder = make_holder()
    assert holder.apply(config_document(4), "test")
    assert not holder.apply(document, "test")
    assert holder.version == 4
    assert holder.index.find("pool.example", "/give/x") is not None


def test_a_newer_version_is_requested_from_the_peer():
    holder, peer = make_holder(), Peer()
    holder.on_peer_version(5, peer)
    run_hub_for(30)
    assert peer.frames == [ConfigRequest(known_version=0)]
    holder.apply_copy(ConfigCopy(5, config_document(5)), "p")
    assert holder.version == 5
    holder.on_peer_version(5, peer)
    run_hub_for(30)
    assert len(peer.frames) == 1


def test_a_peer_of_an_older_build_gets_the_document_unchanged():
    holder, peer = make_holder(), Peer(reads_deltas=False)
    holder.send_config(peer)
    assert peer.frames == []
    holder.apply(config_document(5), "test")
    holder.send_config(peer)
    assert peer.frames == [ConfigCopy(5, config_document(5))]


def send(sender, receiver, known_version=None):
    """Send the configuration from `sender` to `receiver`; return the receiver's own frames."""
    to_receiver, to_sender = Peer(peer_version=receiver.version), Peer()
    sender.send_config(to_receiver, known_version)
    for frame in to_receiver.frames:
        assert isinstance(frame, ConfigDelta)
        receiver.apply_delta(frame, to_sender, "p")
    return to_sender.frames


def with_versions(*versions):
    holder = make_holder()
    for version in versions:
        assert holder.apply(config_document(version), "test")
    return holder


@pytest.mark.parametrize("known", [(), (3,), (3, 4), (2,)])
def test_a_peer_gets_the_differences_from_what_it_has_or_the_whole(known):
    sender, receiver = with_versions(3, 4, 5), with_versions(*known)
    assert send(sender, receiver) == []
    assert receiver.version == 5
    copy = Peer(reads_deltas=False)
    receiver.send_config(copy)
    assert copy.frames == [ConfigCopy(5, config_document(5))]


def test_nothing_is_sent_to_a_peer_that_has_the_version():
    peer = Peer(peer_version=5)
    with_versions(5).send_config(peer)
    assert peer.frames == []


def test_differences_from_a_version_that_was_not_kept_lead_to_a_request_for_the_whole():
    sender, receiver = with_versions(3, 5), with_versions(4)
    requests = send(sender, receiver, known_version=3)
    assert requests == [ConfigRequest(known_version=0)]
    assert send(sender, receiver, requests[0].known_version) == []
    assert receiver.version == 5


def test_differences_from_another_document_of_the_same_version_are_not_applied():
    sender, receiver = with_versions(3, 5), make_holder()
    other = config_document(3).replace(b"/give/", b"/gave/")
    assert receiver.apply(other, "test")
    assert send(sender, receiver, known_version=3) == [ConfigRequest(known_version=0)]
    assert receiver.version == 3


def test_an_invalid_configuration_from_a_peer_changes_nothing():
    sender, receiver = with_versions(3), with_versions(3)
    sender._keep(config_document(9).replace(b"/give/", b"give"), 9)
    sender.config = with_versions(9).config
    send(sender, receiver)
    assert receiver.version == 3


@given(st.lists(st.integers(0, 9), min_size=1, max_size=6), st.integers(0, 3))
def test_routes_are_found_as_in_a_fresh_holder_whatever_versions_came_before(removed, bad_row):
    """Guards against a stale route or a skipped check where rows are reused between versions."""
    holder = make_holder()
    for version, row in enumerate(removed, 1):
        rows = [
            [
                f"r{n}",
                "h",
                f"/p{n}/",
                "idempotent",
                900 + version * (n == row),
                9,
                2,
                "portal",
                2,
                None,
            ]
            for n in range(10)
            if n != row or bad_row
        ]
        if bad_row == 1:
            rows.append(rows[row])
        document, fresh = config_document(version, rows), make_holder()
        assert holder.apply(document, "test") == fresh.apply(document, "test")
        for n in range(10):
            path = f"/p{n}/x"
            assert (fresh.version == 0) or holder.index.find("h", path) == fresh.index.find(
                "h", path
            )
