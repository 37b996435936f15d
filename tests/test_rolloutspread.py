"""Test the messages of a rollout, and how seldom the store is called for it."""

import json
import random

import eventlet
import pytest
from fleets import make_fleet
from hubtools import run_hub_for
from linkpipes import Daemons, FakeClock, FakeTimeline
from platformwire import edge, platform_store
from rolloutsim import SimPeer
from simulation import Simulation

from egretworks import rolloutlead
from egretworks.clock import SystemClock
from egretworks.exceptions import ConfigInvalid, PlatformUnavailable
from egretworks.linkframes import (
    FrameReader,
    GateQuota,
    RolloutEvidence,
    RolloutStage,
    RolloutStep,
    RouteEvidence,
    encode_frame,
)
from egretworks.linkplan import LinkPurpose, is_relay, plan_links
from egretworks.linkset import LinkSet
from egretworks.metrics import Metrics
from egretworks.rollout import RolloutBounds
from egretworks.rolloutcontrol import Rollouts
from egretworks.rolloutlead import RolloutWatch
from egretworks.rolloutlinks import NoRollouts
from egretworks.rolloutorder import RolloutPhase
from egretworks.rolloutstate import RolloutHost
from egretworks.rows import RowTable
from egretworks.storesync import Snapshot

STAGE = RolloutStage(
    *("ledger", "v2", 7, 1, 1, "d00000", RolloutStep.CANARY, 900.0, 12_000.0, 0.05),
    [GateQuota("d00001", 1, 25)],
    ["v1"],
)
EVIDENCE = RolloutEvidence(
    *("ledger", 7, "d00001", 1, 3, RolloutStep.CANARY, 12, True, True, 9, 1),
    [RouteEvidence("view", 8, 1, 29.5)],
)
WIRE_ORDER = {"service": "ledger", "targetVersion": "v2", "durationS": 12}


class FleetLinks(LinkSet):
    """The links of one daemon of a fleet, as planned when all was well."""

    def __init__(self, fleet, row, rows):
        self.fleet, self.table = fleet, RowTable(row)
        self.table.merge(other for other in rows if other.id != row.id)
        others = self.table.rows_by_id.values()
        self.purpose_by_id = plan_links(row, others, ("ledger",), lambda id: False)
        self.peers_by_id = {}
        self.frames = 0
        self.rollouts = Rollouts(
            RolloutHost(
                *(FakeClock(), random.Random(1), FakeTimeline(), Metrics(), edge(), self.table),
                lambda: self,
                lambda: True,
                lambda: RolloutBounds(0.1, 50.0),
                lambda: 0,
                lambda *_: None,
            )
        )
        self._host = self

    @property
    def rows(self):
        return self.table

    def receive(self, sender, frame):
        self.frames += 1
        if isinstance(frame, RolloutStage):
            near = sender.table.own.data_centre == self.table.own.data_centre
            self.rollouts.on_stage(frame, near=near)
        else:
            self.rollouts.on_evidence(frame)

    def relay_peers(self):
        relays = (id for id, p in self.purpose_by_id.items() if p is LinkPurpose.RELAY)
        return [self.peers_by_id[id] for id in relays]

    def _peers_by_id(self):
        return self.peers_by_id

    def _is_relay(self):
        return is_relay(self.table.own, self._near_rows(), lambda id: False)


class Fleet:
    def __init__(self, daemons, data_centres):
        self.time = Simulation()
        rows = make_fleet(daemons, data_centres)
        self.links_by_id = {row.id: FleetLinks(self, row, rows) for row in rows}
        for id, links in self.links_by_id.items():
            for peer_id in links.purpose_by_id:
                peer = self.links_by_id[peer_id]
                links.peers_by_id[peer_id] = SimPeer(self, links, peer)
                peer.peers_by_id.setdefault(id, SimPeer(self, peer, links))


SIZES = [(12, 1), (59, 4), (78, 3), (300, 5)]


# Guards against daemons elsewhere that never hear of a stage, and against stages and reports that
# take the whole of a narrow line.
@pytest.mark.parametrize(("daemons", "data_centres"), SIZES)
def test_stages_reach_all_daemons_and_all_evidence_reaches_the_leader(daemons, data_centres):
    fleet = Fleet(daemons, data_centres)
    leader = fleet.links_by_id["d00000"]
    leader.rollouts.follow(STAGE)
    leader.send_stage(STAGE)
    fleet.time.run_for(100)
    steps = [links.rollouts.steps() for links in fleet.links_by_id.values()]
    assert steps == [{"ledger": RolloutStep.CANARY}] * daemons
    assert sum(links.frames for links in fleet.links_by_id.values()) < 4 * daemons
    received = set()
    leader.rollouts.lead.add_evidence = lambda evidence: not received.add(evidence.daemon)
    for id, links in fleet.links_by_id.items():
        evidence = RolloutEvidence("ledger", 7, id, 1, 1, RolloutStep.CANARY, 1)
        if links is not leader:
            links.send_evidence(evidence, "d00000", forward=False)
    fleet.time.run_for(100)
    assert received == fleet.links_by_id.keys() - {"d00000"}
    assert sum(links.frames for links in fleet.links_by_id.values()) < 10 * daemons


# Guards against a daemon that is linked after a stage was sent, and that doesn't follow it.
def test_a_daemon_gets_the_newest_stage_with_a_new_link(monkeypatch):
    given = []

    class GivingRollouts(NoRollouts):
        def on_link(self, peer):
            peer.send_frame(STAGE)

        def on_stage(self, stage, *, near):
            given.append((stage, near))

    daemons = Daemons(monkeypatch, rollouts=GivingRollouts())
    assert given == [(STAGE, True)] * 2
    assert daemons.link.peer_protocol == 4


@pytest.mark.parametrize("frame", (STAGE, EVIDENCE))
def test_the_frames_of_a_rollout_are_read_as_they_were_sent(frame):
    assert FrameReader().feed(encode_frame(frame)) == [frame]


class CountingStore:
    """Count the calls; each watch lasts for `watch_ms`."""

    era = 0

    def __init__(self, watch_ms=0, failures=0):
        self.watch_ms, self.failures, self.calls = watch_ms, failures, []

    def list(self, kind, *, allow_stale=False):
        return self._answer("list", kind)

    def watch(self, kind, revision, wait_ms):
        eventlet.sleep(self.watch_ms / 1_000)
        return self._answer("watch", kind)

    def _answer(self, call, kind):
        self.calls.append((call, kind))
        if self.failures:
            self.failures -= 1
            raise PlatformUnavailable("away")
        return Snapshot(1, ())


class FakeLead:
    def __init__(self, *, enabled=True, leads=True):
        self.host = RolloutHost(
            *(SystemClock(), random.Random(1), FakeTimeline(), Metrics(), edge(), None),
            *(lambda: None, lambda: enabled, lambda: None, lambda: 0),
        )
        self.is_leader = lambda: leads
        self.on_list = self.on_objects = lambda objects: None


def watch_for(lead, store, ms):
    thread = eventlet.spawn(RolloutWatch(lead, store).run)
    run_hub_for(ms)
    thread.kill()
    return [call for call, _ in store.calls]


# Guards against calls of the store, which are priced, by daemons that don't lead or where no
# settings call for them.
def test_only_the_leader_asks_the_store_and_only_if_the_settings_call_for_it(monkeypatch):
    assert watch_for(FakeLead(), CountingStore(), 60) == []
    monkeypatch.setattr(rolloutlead, "START_MS", 0)
    monkeypatch.setattr(rolloutlead, "ELECTION_POLL_MS", 5)
    assert watch_for(FakeLead(enabled=False), CountingStore(), 60) == []
    assert watch_for(FakeLead(leads=False), CountingStore(), 60) == []


# Guards against a daemon that is cut off and takes orders by itself.
def test_a_daemon_without_any_link_leads_nothing():
    fleet = Fleet(12, 1)
    alone = fleet.links_by_id["d00000"]
    alone.reachable_rows = lambda: [alone.table.rows_by_id["d00001"]]
    assert alone.rollouts.lead.is_leader()
    alone.reachable_rows = list
    assert not alone.rollouts.lead.is_leader()


# Guards against more than one call a second, also while the store fails or answers at once.
@pytest.mark.parametrize("failures", (0, 2))
def test_the_store_is_asked_once_in_each_interval(monkeypatch, failures):
    monkeypatch.setattr(rolloutlead, "START_MS", 0)
    monkeypatch.setattr(rolloutlead, "WATCH_INTERVAL_MS", 100)
    calls = watch_for(FakeLead(), CountingStore(failures=failures), 350)
    assert 2 <= len(calls) <= 4
    assert calls[0] == "list"
    assert calls[failures + 1 :] == ["watch"] * (len(calls) - failures - 1)


def test_an_order_and_its_status_are_decoded():
    document = json.dumps(WIRE_ORDER).encode()
    order = edge().decode_order(document, b"null")
    assert (order.service, order.target_version, order.duration_ms) == ("ledger", "v2", 12_000.0)
    assert order.phase is None
    for phase in RolloutPhase:
        status = edge().encode_order_status(phase, "v2")
        assert json.loads(status) == {"phase": phase.value, "targetVersion": "v2"}
        assert edge().decode_order(document, status).phase is phase


# Guards against an order that is taken for one that has ended: its status is that of an earlier
# one, or was written by someone else.
@pytest.mark.parametrize(
    "status",
    (b"", b"{}", b"[]", b'{"phase": "completed", "targetVersion": "v1"}', b'{"phase": "odd"}'),
)
def test_a_status_of_another_order_says_nothing(status):
    assert edge().decode_order(json.dumps(WIRE_ORDER).encode(), status).phase is None


@pytest.mark.parametrize(
    "changes", ({"service": ""}, {"targetVersion": 2}, {"durationS": 0}, {"durationS": None})
)
def test_a_malformed_order_is_refused(changes):
    with pytest.raises(ConfigInvalid):
        edge().decode_order(json.dumps(WIRE_ORDER | changes).encode(), b"null")


# Guards against a status that is written to a wrong path, or over a newer one.
def test_a_status_is_written_with_the_revision_that_it_replaces():
    store, requests = platform_store(), []

    class Answer:
        data = b'{"metadata": {"name": "ledger", "rev": 8}, "status": {"phase": "running"}}'

    def request(method, path, timeout_ms, **options):
        requests.append((method, path, json.loads(options["body"])))
        return Answer()

    store._http.request = request
    stored = store.replace_status("rollouts", "ledger", b'{"phase": "running"}', 7)
    body = {"metadata": {"name": "ledger", "rev": 7}, "status": {"phase": "running"}}
    assert requests == [("PUT", "/objects/rollouts/ledger/status", body)]
    assert (stored.revision, stored.status) == (8, b'{"phase": "running"}')
