"""Prove by a state machine what daemons believe of versions and of each other under faults.

Messages are held up, crossed, sent twice and lost; daemons are cut off, and start again with
nothing and with clocks that went back; the store answers some from before.
"""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from platformwire import config_document, edge

from egretworks.clock import SystemClock
from egretworks.configholder import ConfigHolder
from egretworks.linkframes import ConfigCopy
from egretworks.rows import DaemonRow, RowTable, TargetRow
from egretworks.timeline import Timeline

IDS = ("a", "b", "c", "d")
DAEMONS = st.sampled_from(IDS)


class Daemon:
    """Hold the beliefs of one life of a daemon."""

    def __init__(self, id, started_at):
        self.table = RowTable(DaemonRow(id, "dc", "10.0.0.1", 7000, started_at, 0))
        self.config = ConfigHolder(edge().decode_config, Timeline(id, SystemClock()), lambda: None)
        self.highest = 0


class MeshBeliefs(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.versions = [config_document(1)]
        self.daemons = {id: Daemon(id, 100) for id in IDS}
        self.messages = []
        self.cut = set()

    @rule(step=st.integers(1, 5))
    def the_operator_writes_a_version(self, step):
        newest = int(self.versions[-1].split(b'"version": "')[1][:8], 16)
        self.versions.append(config_document(newest + step))

    @rule(id=DAEMONS, behind=st.integers(0, 3))
    def a_daemon_reads_the_store_as_it_was(self, id, behind):
        document = self.versions[max(0, len(self.versions) - 1 - behind)]
        self.daemons[id].config.take(document, "store")

    @rule(id=DAEMONS, cut_short=st.integers(1, 200))
    def a_daemon_reads_a_broken_version(self, id, cut_short):
        before = self.daemons[id].config.version
        self.daemons[id].config.take(self.versions[-1][:-cut_short], "store")
        assert self.daemons[id].config.version == before

    @rule(id=DAEMONS, to=DAEMONS)
    def a_daemon_sends_what_it_knows(self, id, to):
        config = self.daemons[id].config
        copies = []
        if config.config is not None:
            config.answer(type("Peer", (), {"tell": lambda _, frame: copies.append(frame)})())
        self.messages.append((id, to, self.daemons[id].table.all_rows(), copies))

    @rule(data=st.data(), again=st.booleans())
    def a_message_arrives(self, data, again):
        if not self.messages:
            return
        number = data.draw(st.integers(0, len(self.messages) - 1))
        message = self.messages[number]
        if not again:
            del self.messages[number]
        if not self.cut & {message[0], message[1]}:
            self.receive(message)

    @rule(id=DAEMONS)
    def a_daemon_is_cut_off_or_back(self, id):
        self.cut ^= {id}

    @rule(id=DAEMONS, clock=st.integers(1, 300))
    def a_daemon_starts_again_with_nothing(self, id, clock):
        self.daemons[id] = Daemon(id, clock)

    @rule(id=DAEMONS, serving=st.booleans(), leaving=st.booleans())
    def a_daemons_row_changes(self, id, serving, leaving):
        target = TargetRow(f"t-{id}", 1, "ledger", 8, serving)
        self.daemons[id].table.change_own(target=target, leaving=leaving)

    @invariant()
    def no_daemon_goes_back_within_its_life(self):
        for daemon in self.daemons.values():
            assert daemon.config.version >= daemon.highest
            daemon.highest = daemon.config.version

    def teardown(self):
        """Once everything is in reach again, all agree on the newest of everything."""
        for daemon in self.daemons.values():
            daemon.config.take(self.versions[-1], "store")
        # A daemon whose clock went back learns from others that it has had a later life.
        for _ in range(3):
            for id in IDS:
                for to in IDS:
                    self.receive((id, to, self.daemons[id].table.all_rows(), []))
        for id, daemon in self.daemons.items():
            assert daemon.config.version == self.daemons["a"].config.version
            for other in IDS:
                if other != id:
                    assert self.daemons[other].table.rows_by_id[id] == daemon.table.own

    def receive(self, message):
        sender, to, rows, copies = message
        daemon = self.daemons[to]
        daemon.table.merge(rows)
        for copy in copies:
            daemon.config.take_copy(ConfigCopy(copy.version, copy.document), sender)


TestMeshBeliefs = MeshBeliefs.TestCase
