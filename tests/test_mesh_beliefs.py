"""Test with a state machine that versions and row tables converge under faults.

Messages are delayed, reordered, duplicated and lost. Daemons are partitioned, and restart without
state and with clocks that went back. The store answers some reads with an older version.
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
    """Hold the rows and the configuration of one run of a daemon."""

    def __init__(self, id, started_at):
        self.table = RowTable(DaemonRow(id, "dc", "10.0.0.1", 7000, started_at, 0))
        self.config = ConfigHolder(edge().decode_config, Timeline(id, SystemClock()), lambda: None)
        self.highest = 0


class Peer:
    """Collect the frames that are sent to a daemon."""

    def __init__(self, peer_version, reads_deltas):
        self.peer_version = peer_version
        self.reads_deltas = reads_deltas
        self.frames = []

    def send_frame(self, frame):
        self.frames.append(frame)


class MeshBeliefs(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.versions = [config_document(1)]
        self.daemons = {id: Daemon(id, 100) for id in IDS}
        self.messages = []
        self.partitioned = set()

    @rule(step=st.integers(1, 5))
    def the_operator_writes_a_version(self, step):
        newest = int(self.versions[-1].split(b'"version": "')[1][:8], 16)
        self.versions.append(config_document(newest + step))

    @rule(id=DAEMONS, behind=st.integers(0, 3))
    def a_daemon_reads_a_possibly_stale_version(self, id, behind):
        document = self.versions[max(0, len(self.versions) - 1 - behind)]
        self.daemons[id].config.apply(document, "store")

    @rule(id=DAEMONS, missing_bytes=st.integers(1, 200))
    def a_daemon_reads_a_truncated_version(self, id, missing_bytes):
        before = self.daemons[id].config.version
        self.daemons[id].config.apply(self.versions[-1][:-missing_bytes], "store")
        assert self.daemons[id].config.version == before

    @rule(id=DAEMONS, to=DAEMONS, reads_deltas=st.booleans())
    def a_daemon_sends_its_rows_and_configuration(self, id, to, reads_deltas):
        peer = Peer(self.daemons[to].config.version, reads_deltas)
        self.daemons[id].config.send_config(peer)
        self.messages.append((id, to, self.daemons[id].table.all_rows(), peer.frames))

    @rule(data=st.data(), duplicate=st.booleans())
    def a_message_arrives(self, data, duplicate):
        if not self.messages:
            return
        index = data.draw(st.integers(0, len(self.messages) - 1))
        message = self.messages[index]
        if not duplicate:
            del self.messages[index]
        if not self.partitioned & {message[0], message[1]}:
            self.receive(message)

    @rule(id=DAEMONS)
    def a_daemon_is_partitioned_or_reconnected(self, id):
        self.partitioned ^= {id}

    @rule(id=DAEMONS, clock=st.integers(1, 300))
    def a_daemon_restarts_without_state(self, id, clock):
        self.daemons[id] = Daemon(id, clock)

    @rule(id=DAEMONS, serving=st.booleans(), leaving=st.booleans())
    def a_daemons_row_changes(self, id, serving, leaving):
        target = TargetRow(f"t-{id}", 1, "ledger", 8, serving)
        self.daemons[id].table.change_own(target=target, leaving=leaving)

    @invariant()
    def no_version_decreases_within_a_run(self):
        for daemon in self.daemons.values():
            assert daemon.config.version >= daemon.highest
            daemon.highest = daemon.config.version
            document = Peer(0, reads_deltas=False)
            daemon.config.send_config(document)
            assert all(frame.document in self.versions for frame in document.frames)

    def teardown(self):
        """Check that all daemons agree on the newest version and rows once all can communicate."""
        for daemon in self.daemons.values():
            daemon.config.apply(self.versions[-1], "store")
        # More than one round, because a daemon whose clock went back must first learn from others
        # that an earlier run had a higher incarnation.
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
            if isinstance(copy, ConfigCopy):
                daemon.config.apply_copy(copy, sender)
            else:
                daemon.config.apply_delta(copy, Peer(0, reads_deltas=True), sender)


TestMeshBeliefs = MeshBeliefs.TestCase
