"""Test how changed rows reach all daemons of a fleet, on simulated time."""

import random

import msgspec
import pytest
from fleets import make_fleet
from simulation import Simulation

from egretworks import membersync, rowrelay
from egretworks.linkframes import Rows, RowsRequest
from egretworks.linkplan import LinkPurpose, is_relay, plan_links
from egretworks.membersync import MemberSync
from egretworks.outboundlinks import PING_MS_BY_PURPOSE, ping_stretch
from egretworks.rowrelay import RowRelay
from egretworks.rows import RowTable

# The bound of the large fleets on a change to be in force everywhere.
WITHIN_MS = 3_000
NEAR_MS, FAR_MS = 1.0, 2.0
SERVICES = ("portal", "desk", "ledger")


class SimPeer:
    """The sending end of a link from `sender` to `receiver`."""

    def __init__(self, fleet, sender, receiver):
        self.fleet, self.sender, self.receiver = fleet, sender, receiver
        self.near = sender.row.data_centre == receiver.row.data_centre

    def send_frame(self, frame):
        self.fleet.send(self.sender, self.receiver, lambda: self.receiver.receive(frame, self))


class SimDaemon:
    """Hold the rows of one daemon, with its links as planned when all was well."""

    def __init__(self, fleet, row, rows):
        self.fleet = fleet
        self.table = RowTable(row)
        self.table.merge(other for other in rows if other.id != row.id)
        self.sync = MemberSync(self.table)
        self.relay = RowRelay(row.data_centre, self._is_relay, self)
        others = self.table.rows_by_id.values()
        self.purpose_by_id = plan_links(row, others, SERVICES, lambda id: False)
        self.ping_stretch = ping_stretch(self.purpose_by_id.values())
        self.peers_by_id = {}
        self.passes_own = False

    @property
    def row(self):
        return self.table.own

    def near_peers(self):
        return [peer for peer in self.peers_by_id.values() if peer.near]

    def relay_peers(self):
        relays = (id for id, p in self.purpose_by_id.items() if p is LinkPurpose.RELAY)
        return [self.peers_by_id[id] for id in relays]

    def change(self):
        row = self.table.change_own()
        for peer in self.peers_by_id.values():
            peer.send_frame(Rows([row]))

    def receive(self, frame, back):
        back = self.peers_by_id[back.sender.row.id]
        if isinstance(frame, Rows):
            changed = self.table.merge(frame.rows)
            if changed:
                self.relay.pass_on(changed)
        elif isinstance(frame, RowsRequest):
            back.send_frame(Rows(self.table.rows_that_differ(frame.bucket_digests)))

    def ping(self, id, purpose):
        peer = self.peers_by_id[id]
        digest, other = self.table.digest, peer.receiver

        def answer():
            other.sync.on_peer_digests(1, digest, other.peers_by_id[self.row.id])
            theirs = other.table.digest
            self.fleet.send(
                other, self, lambda: self.sync.on_peer_digests(1, theirs, self.peers_by_id[id])
            )

        self.fleet.send(self, other, answer)
        self.fleet.time.call_later(self.ping_interval_ms(purpose), self.ping, id, purpose)

    def ping_interval_ms(self, purpose):
        return PING_MS_BY_PURPOSE[purpose] * self.ping_stretch

    def _is_relay(self):
        near = [r for r in self.table.rows_by_id.values() if r.data_centre == self.row.data_centre]
        return is_relay(self.row, near, lambda id: False)


class Fleet:
    """Connect daemons by a network that may lose frames, and in which daemons may be deaf."""

    def __init__(self, monkeypatch, daemons, data_centres, seed=1):
        self.time = Simulation()
        monkeypatch.setattr(rowrelay, "call_later", self.time.call_later)
        monkeypatch.setattr(membersync, "call_later", self.time.call_later)
        self.random = random.Random(seed)
        self.loss = 0.0
        self.frozen = set()
        self.cut_off = None
        self.frames = 0
        rows = make_fleet(daemons, data_centres)
        self.daemons_by_id = {row.id: SimDaemon(self, row, rows) for row in rows}
        for daemon in self.daemons_by_id.values():
            for id in daemon.purpose_by_id:
                self._connect(daemon, self.daemons_by_id[id])
        for daemon in self.daemons_by_id.values():
            for id, purpose in daemon.purpose_by_id.items():
                delay_ms = self.random.random() * daemon.ping_interval_ms(purpose)
                self.time.call_later(delay_ms, daemon.ping, id, purpose)

    def send(self, sender, receiver, deliver):
        self.frames += 1
        sides = {sender.row.data_centre, receiver.row.data_centre}
        cut = self.cut_off in sides and len(sides) == 2
        if cut or self.random.random() < self.loss or sender.row.id in self.frozen:
            return

        def arrive():
            if receiver.row.id not in self.frozen:
                deliver()

        delay_ms = NEAR_MS if len(sides) == 1 else FAR_MS
        self.time.call_later(delay_ms * (1 + self.random.random()), arrive)

    def lacking(self, row):
        """Return the working daemons that do not have `row` yet."""
        return [
            daemon.row.id
            for daemon in self.daemons_by_id.values()
            if daemon.row.id not in self.frozen | {row.id}
            and daemon.table.rows_by_id[row.id].supersedes(row) is False
            and daemon.table.rows_by_id[row.id] != row
        ]

    def _connect(self, one, other):
        one.peers_by_id.setdefault(other.row.id, SimPeer(self, one, other))
        other.peers_by_id.setdefault(one.row.id, SimPeer(self, other, one))


SIZES = [(30, 3), (100, 5), (300, 5), (1_000, 20)]


@pytest.mark.parametrize(("daemons", "data_centres"), SIZES)
def test_a_changed_row_reaches_all_daemons_once_or_twice_within_its_bound(
    monkeypatch, daemons, data_centres
):
    fleet = Fleet(monkeypatch, daemons, data_centres)
    changed = fleet.daemons_by_id[f"d{daemons // 2:05}"]
    changed.change()
    # Before the first pings that could tell of a difference.
    fleet.time.run_for(100)
    assert fleet.lacking(changed.row) == []


# Guards against rows that go N times to each of N daemons when a service is replaced.
def test_frames_of_a_change_grow_no_faster_than_the_fleet(monkeypatch):
    frames = {}
    for daemons in (100, 300):
        fleet = Fleet(monkeypatch, daemons, 5)
        monkeypatch.setattr(SimDaemon, "ping", lambda *_: None)
        fleet.time.run_for(3_000)
        before = fleet.frames
        fleet.daemons_by_id[f"d{daemons - 1:05}"].change()
        fleet.time.run_for(200)
        frames[daemons] = fleet.frames - before
    assert frames[300] < 4 * frames[100]
    assert frames[300] < 3 * 300


@pytest.mark.parametrize(("daemons", "data_centres"), SIZES)
def test_rows_reach_all_within_their_bound_although_a_fifth_of_all_frames_is_lost(
    monkeypatch, daemons, data_centres
):
    fleet = Fleet(monkeypatch, daemons, data_centres, seed=7)
    fleet.loss = 0.2
    changed = [fleet.daemons_by_id[f"d{n:05}"] for n in range(5, daemons, daemons // 5)]
    for daemon in changed:
        daemon.change()
    fleet.time.run_for(WITHIN_MS)
    assert [fleet.lacking(daemon.row) for daemon in changed] == [[]] * len(changed)


def test_rows_reach_all_although_both_relays_of_a_data_centre_are_frozen(monkeypatch):
    fleet = Fleet(monkeypatch, 195, 5)
    fleet.frozen = {"d00000", "d00005"}
    changed = fleet.daemons_by_id["d00101"]
    changed.change()
    fleet.time.run_for(WITHIN_MS)
    assert fleet.lacking(changed.row) == []


def test_a_data_centre_that_was_cut_off_gets_what_it_missed(monkeypatch):
    fleet = Fleet(monkeypatch, 195, 5)
    fleet.cut_off = "dc2"
    changed = [fleet.daemons_by_id[f"d{n:05}"] for n in range(0, 195, 6)]
    for daemon in changed:
        daemon.change()
    fleet.time.run_for(2_000)
    fleet.cut_off = None
    fleet.time.run_for(WITHIN_MS)
    assert [fleet.lacking(daemon.row) for daemon in changed] == [[]] * len(changed)


def test_daemons_that_lost_all_rows_of_others_get_them_back_without_the_store(monkeypatch):
    fleet = Fleet(monkeypatch, 100, 5)
    for id in ("d00010", "d00011"):
        daemon = fleet.daemons_by_id[id]
        daemon.table = RowTable(msgspec.structs.replace(daemon.row, incarnation=2_000))
        daemon.sync = MemberSync(daemon.table)
    fleet.time.run_for(WITHIN_MS)
    for id in ("d00010", "d00011"):
        assert fleet.daemons_by_id[id].table.size == 100
