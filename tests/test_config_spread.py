"""Test what a new version of a large configuration costs the link that spreads it."""

import pytest
from hubtools import run_hub_for
from linkpipes import Star
from platformwire import config_document, edge

from egretworks.clock import SystemClock
from egretworks.configholder import ConfigHolder
from egretworks.linkframes import ConfigRequest
from egretworks.timeline import Timeline

# The users' grown deployments: daemons of one data centre, routes, the smallest links (7 Mbit/s),
# and the time between two versions in a series of changes.
PEERS = 33
ROUTES = 1_132
LINK_BYTES_PER_MS = 875
CHANGE_INTERVAL_MS = 250


def make_holder():
    return ConfigHolder(edge().decode_config, Timeline("t", SystemClock()), lambda: None)


def large_document(version, timeout_ms=1_000):
    """Return a configuration in which the first route has `timeout_ms`."""
    rows = [
        [f"r-{n:07x}", f"h{n}.example", f"/p{n}/n/", "idempotent", 1000, 572, 2, "portal", 2, None]
        for n in range(ROUTES)
    ]
    rows[0][4] = timeout_ms
    return config_document(version, rows)


@pytest.fixture
def star(monkeypatch):
    star = Star(monkeypatch, PEERS, make_holder)
    for holder in star.configs:
        assert holder.apply(large_document(1), "test")
    # A ping tells the daemons which version the others have.
    star.clock.at += 2_000
    for link in star.links:
        link.tick(star.clock.now())
    star.deliver()
    return star


# Guards against CONFIG and GONE: whole copies filled the sender's link for seconds, and requests,
# cancels and later versions waited behind them.
def test_a_changed_route_reaches_a_data_centre_before_the_next_change(star):
    assert star.configs[0].apply(large_document(2, timeout_ms=700), "test")
    for link in star.links:
        star.configs[0].send_config(link)
    sent_bytes = star.deliver()
    assert [holder.version for holder in star.configs] == [2] * (PEERS + 1)
    assert star.configs[-1].index.find("h0.example", "/p0/n/x").timeout_ms == 700
    assert sent_bytes / LINK_BYTES_PER_MS < CHANGE_INTERVAL_MS


class Peer:
    def __init__(self):
        self.frames = []

    def send_frame(self, frame):
        self.frames.append(frame)


# Guards against CONFIG: a daemon that was behind asked one peer after the other for the same
# version while the first copy was on its way, which filled its own link.
def test_a_version_is_not_requested_again_while_a_copy_is_on_its_way():
    holder, peers = make_holder(), [Peer() for _ in range(4)]
    holder.apply(config_document(1), "test")
    for peer in peers:
        holder.on_peer_version(2, peer)
        run_hub_for(200)
    frames = [frame for peer in peers for frame in peer.frames]
    assert [type(frame) for frame in frames] == [ConfigRequest]
