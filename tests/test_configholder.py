"""Test that the newest valid configuration comes into force and its version never decreases."""

import json

import pytest
from hubtools import run_hub_for
from hypothesis import given
from hypothesis import strategies as st
from platformwire import config_document, edge

from egretworks.clock import SystemClock
from egretworks.configholder import ConfigHolder
from egretworks.linkframes import ConfigCopy, ConfigRequest
from egretworks.timeline import Timeline


def make_holder():
    return ConfigHolder(edge().decode_config, Timeline("t", SystemClock()), lambda: None)


class Peer:
    def __init__(self):
        self.frames = []

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
    assert peer.frames == [ConfigRequest()]
    holder.apply_copy(ConfigCopy(5, config_document(5)), "p")
    assert holder.version == 5
    holder.on_peer_version(5, peer)
    run_hub_for(30)
    assert len(peer.frames) == 1


def test_a_requesting_peer_gets_the_document_unchanged():
    holder, peer = make_holder(), Peer()
    holder.send_config(peer)
    assert peer.frames == []
    holder.apply(config_document(5), "test")
    holder.send_config(peer)
    assert peer.frames == [ConfigCopy(5, config_document(5))]
