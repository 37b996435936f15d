"""Test that a revoked key stops working in time at every daemon, in touch with the store or not."""

import random
import signal
import time

import pytest
from linkpipes import FakeTimeline
from platformwire import edge, team_document
from processes import wait_for
from simulation import SimClock, Simulation

from egretworks.configholder import ConfigHolder
from egretworks.freshness import ConfigFreshness, RevocationBound
from egretworks.storeclients import StoreClients
from egretworks.storesync import ConfigProofs, Stored

REVOKE_MS = 5_000
TEAM = ["north", ["k1"], 0, None, None]
OTHER = ["south", ["k2"], 0, None, None]


class SimDaemon:
    """Read the store while it is the watcher, and ping the other daemons each second."""

    def __init__(self, mesh, number):
        self.mesh, self.number = mesh, number
        self.version = 1
        self.frozen_until = self.cut_until = 0.0
        self.freshness = ConfigFreshness(SimClock(mesh.time), lambda: self.version)
        self.bound = RevocationBound(lambda: REVOKE_MS)

    def accepts_key(self):
        """Return whether the key that version 2 takes away still works here."""
        return self.version < 2 and self.bound.allows(self.freshness.age_ms())

    def when_awake(self, call, *arguments):
        """Call at once, or when the freeze of this daemon ends."""
        wait_ms = self.frozen_until - self.mesh.time.now
        if wait_ms > 0:
            self.mesh.time.call_later(wait_ms, self.when_awake, call, *arguments)
        else:
            call(*arguments)

    def read_store(self):
        began = self.mesh.time.now
        if self.number == 0 and began >= self.cut_until:
            self.mesh.later(lambda: self.mesh.answer(self, began))
        self.mesh.time.call_later(1_000, self.when_awake, self.read_store)

    def on_read(self, began, version):
        self.version = max(self.version, version)
        self.freshness.prove(version, began)

    def ping(self):
        for peer in self.mesh.daemons:
            if peer is not self:
                self.mesh.later(lambda peer=peer: self.pinged(peer, self.mesh.time.now))
        self.mesh.time.call_later(1_000, self.when_awake, self.ping)

    def pinged(self, peer, sent_at):
        def answer():
            age_ms, version = peer.freshness.age_ms(), peer.version
            if age_ms is not None:
                self.mesh.later(lambda: self.when_awake(self.on_pong, sent_at - age_ms, version))

        if self.mesh.time.now >= max(self.cut_until, peer.cut_until):
            peer.when_awake(answer)

    def on_pong(self, at, version):
        # The document comes from the peer later, or never.
        if self.mesh.random.random() < 0.5:
            self.version = max(self.version, version)
        self.freshness.prove(version, at)


class SimMesh:
    """Daemons whose messages take up to seconds, that freeze and that are cut off."""

    def __init__(self, seed):
        self.time = Simulation()
        self.random = random.Random(seed)
        self.version = 1
        self.daemons = [SimDaemon(self, number) for number in range(9)]
        for daemon in self.daemons:
            daemon.read_store()
            daemon.ping()

    def later(self, call):
        slow = self.random.random() < 0.05
        self.time.call_later(self.random.uniform(0.3, 3_000 if slow else 20), call)

    def answer(self, daemon, began):
        version = self.version
        self.later(lambda: daemon.when_awake(daemon.on_read, began, version))

    def disturb(self):
        for daemon in self.random.sample(self.daemons, 4):
            until = self.time.now + self.random.uniform(500, 12_000)
            if self.random.random() < 0.5:
                daemon.frozen_until = until
            else:
                daemon.cut_until = until


# Guards against a daemon that serves a revoked key as it is cut off or was frozen, got an old proof
# from a peer that was, or took a proof of a version that it doesn't have.
@pytest.mark.parametrize("seed", range(20))
def test_no_daemon_accepts_a_revoked_key_after_the_bound(seed):
    mesh = SimMesh(seed)
    mesh.time.run_for(4_000)
    assert sum(daemon.accepts_key() for daemon in mesh.daemons) >= 8
    mesh.disturb()
    mesh.time.run_for(mesh.random.uniform(0, 3_000))
    mesh.version, revoked_at = 2, mesh.time.now
    while mesh.time.now < revoked_at + 20_000:
        mesh.time.run_for(50)
        if mesh.time.now > revoked_at + REVOKE_MS:
            assert not any(daemon.accepts_key() for daemon in mesh.daemons)


def proofs_of(clock, freshness):
    return ConfigProofs(freshness, lambda: 1, lambda: 3_000, clock)


@pytest.mark.parametrize(
    ("waited_ms", "took_ms", "age_ms"),
    [(0, 30, 30), (1_600, 1_605, 5), (1_600, 40, 40), (1_600, 4_600, 3_000)],
)
def test_a_watch_proves_what_it_lasted_for_and_one_cut_short_only_its_beginning(
    waited_ms, took_ms, age_ms
):
    time = Simulation()
    clock = SimClock(time)
    freshness = ConfigFreshness(clock, lambda: 1)
    proofs = proofs_of(clock, freshness)
    assert proofs.needed()
    began = proofs.now()
    time.run_for(took_ms)
    proofs.add(began, waited_ms)
    assert freshness.age_ms() == age_ms
    time.run_for(3_001)
    assert proofs.needed()


def store_clients(config):
    links = type("Links", (), {"send_config": lambda self: None})()
    return StoreClients(type("Host", (), {"config": config})(), links, None, None, None, None)


# Guards against keys that stop working, as no read proves anything any more, once another object
# beside the configuration has changed; and against proofs while the newest version is invalid.
def test_only_the_configuration_decides_whether_reads_prove_anything():
    config = ConfigHolder(edge().decode_config, FakeTimeline(), lambda: None)
    apply = store_clients(config)._apply_configs
    other = Stored("notes", 9, b"{}")
    assert not apply((other,))
    assert apply((Stored("main", 3, team_document(2, [TEAM])),))
    assert apply((other,))
    assert not apply((Stored("main", 10, b"{}"),))
    assert not apply((other,))


def keyed(daemon, key="k1"):
    return daemon.call("/give/x", method="POST", id=f"a{time.monotonic_ns()}", key=key)[0]


# Guards against daemons that go on with keys while the store is away, when one may be revoked, and
# against ones that then refuse what needs no key.
def test_keys_stop_working_while_the_store_is_away_and_work_again_after_it(sidecars):
    portal, ledger = sidecars.start("portal", "ledger")
    sidecars.platform.configure(team_document(2, [TEAM, OTHER]))
    wait_for(lambda: keyed(portal, "nobody's") == 401, "keys to be needed")
    assert keyed(portal) == 200
    assert ledger.target.headers[-1]["x-egret-tenant"] == "north"
    assert "authorization" not in ledger.target.headers[-1]
    sidecars.platform.signal(signal.SIGSTOP)
    away_since = time.monotonic()
    wait_for(lambda: keyed(portal) == 503, "the key to stop working")
    assert 3 <= time.monotonic() - away_since <= 5
    assert keyed(portal, "nobody's") == 503
    assert portal.call("/view/x")[0] == 200
    sidecars.platform.signal(signal.SIGCONT)
    wait_for(lambda: keyed(portal) == 200, "the key to work again")
    sidecars.platform.configure(team_document(3, [OTHER]))
    wait_for(lambda: keyed(portal) == 401, "the key to be revoked")
    for daemon in (portal, ledger):
        assert "k1" not in daemon.log.read_text()


# Guards against a daemon that was paused while a key was revoked and serves it when it wakes.
def test_a_paused_daemon_accepts_no_key_that_was_revoked_meanwhile(sidecars):
    portal, _ = sidecars.start("portal", "ledger")
    sidecars.platform.configure(team_document(2, [TEAM, OTHER]))
    wait_for(lambda: keyed(portal, "nobody's") == 401, "keys to be needed")
    portal.signal(signal.SIGSTOP)
    sidecars.platform.configure(team_document(3, [OTHER]))
    time.sleep(REVOKE_MS / 1_000 + 0.2)
    portal.signal(signal.SIGCONT)
    assert keyed(portal) in (401, 503)
    wait_for(lambda: keyed(portal, "k2") == 200, "the other key to work")
