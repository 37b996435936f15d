"""Prove that the newest valid configuration is in force and never an older one again."""

import json

import pytest
from hubtools import rest
from hypothesis import given
from hypothesis import strategies as st
from platformwire import config_document, edge

from egretworks.clock import SystemClock
from egretworks.configholder import ConfigHolder
from egretworks.linkframes import ConfigAsked, ConfigCopy
from egretworks.timeline import Timeline


def holder():
    return ConfigHolder(edge().decode_config, Timeline("t", SystemClock()), lambda: None)


class Peer:
    def __init__(self):
        self.frames = []

    def tell(self, frame):
        self.frames.append(frame)


@given(st.lists(st.integers(1, 40), min_size=1, max_size=30))
def test_the_version_in_force_never_falls(versions):
    held, highest = holder(), 0
    for version in versions:
        held.take(config_document(version), "test")
        highest = max(highest, version)
        assert held.version == highest


def broken_documents():
    whole = json.loads(config_document(9))
    yield config_document(9)[:-20]
    yield b"null"
    yield b"\xff\xfe"
    for key in ("version", "routes", "services"):
        yield json.dumps({k: v for k, v in whole.items() if k != key}).encode()
    columns = whole["routes"]["columns"]
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
    twice = json.loads(config_document(9))
    twice["routes"]["rows"].append(twice["routes"]["rows"][0])
    yield json.dumps(twice).encode()
    short = json.loads(config_document(9))
    short["routes"]["rows"][0].pop()
    yield json.dumps(short).encode()


@pytest.mark.parametrize("document", broken_documents())
def test_a_broken_configuration_changes_nothing(document):
    held = holder()
    assert held.take(config_document(4), "test")
    assert not held.take(document, "test")
    assert held.version == 4
    assert held.index.find("pool.example", "/give/x") is not None


def test_a_peer_with_a_newer_version_is_asked_for_it():
    held, peer = holder(), Peer()
    held.note_peer(5, peer)
    rest(30)
    assert peer.frames == [ConfigAsked()]
    held.take_copy(ConfigCopy(5, config_document(5)), "p")
    assert held.version == 5
    held.note_peer(5, peer)
    rest(30)
    assert len(peer.frames) == 1


def test_a_peer_that_asks_gets_the_document_as_it_was_written():
    held, peer = holder(), Peer()
    held.answer(peer)
    assert peer.frames == []
    held.take(config_document(5), "test")
    held.answer(peer)
    assert peer.frames == [ConfigCopy(5, config_document(5))]
