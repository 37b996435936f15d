"""Test that the member tables of daemons converge despite packet loss, pauses and restarts."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from egretworks.clock import Millis
from egretworks.memberrows import BUCKETS, pack_rows
from egretworks.membership import TOMBSTONE_RETENTION_MS, Membership
from egretworks.messages import MAX_DATAGRAM_BYTES, MemberRow, TargetRow, encode
from egretworks.types import InstanceId, MemberState, TargetState

STEP_MS = 100


def make_row(number, incarnation=1):
    return MemberRow(f"d{number}", "zg-trnje", "127.0.0.1", number, 9_000 + number, incarnation, 0)


class Network:
    """Pass datagrams between memberships without sockets.

    A daemon in `silent` neither runs nor receives anything, as if it was down, paused or cut off;
    other datagrams are lost with probability `loss`.
    """

    def __init__(self, count, seed=1):
        self.random = random.Random(seed)
        self.now = 0.0
        self.members = {n: Membership(make_row(n), random.Random(seed + n)) for n in range(count)}
        self.silent = set()
        self.loss = 0.0
        for member in self.members.values():
            member.merge([other.own for other in self.members.values()], Millis(0))

    def deliver(self, outgoing):
        waiting = list(outgoing)
        while waiting:
            item = waiting.pop()
            if item.port in self.silent or self.random.random() < self.loss:
                continue
            if item.port in self.members:
                receiver = self.members[item.port]
                waiting += receiver.handle(item.message, Millis(self.now))

    def run(self, duration_ms):
        for _ in range(int(duration_ms / STEP_MS)):
            self.now += STEP_MS
            for number, member in self.members.items():
                if number not in self.silent:
                    self.deliver(member.tick(Millis(self.now)))

    def states_of(self, number):
        """Return the states of daemon `number` in the tables of the others that are not silent.

        None stands for a table without it.
        """
        id = InstanceId(f"d{number}")
        return {
            member.rows_by_id[id].state if id in member.rows_by_id else None
            for other, member in self.members.items()
            if other != number and other not in self.silent
        }


def test_a_silent_daemon_is_declared_dead_by_all_and_later_dropped():
    network = Network(8)
    network.silent.add(3)
    network.run(15_000)
    assert network.states_of(3) == {MemberState.DEAD}
    network.run(TOMBSTONE_RETENTION_MS + 15_000)
    assert network.states_of(3) == {None}


def test_a_daemon_declared_dead_refutes_it():
    network = Network(8)
    network.silent.add(3)
    network.run(15_000)
    network.silent.clear()
    network.run(15_000)
    assert network.states_of(3) == {MemberState.ALIVE}


def test_packet_loss_alone_leaves_all_daemons_alive_in_the_end():
    network = Network(8)
    network.loss = 0.2
    network.run(30_000)
    network.loss = 0.0
    network.run(15_000)
    assert all(network.states_of(n) == {MemberState.ALIVE} for n in range(8))


def test_a_replaced_daemon_supersedes_the_row_of_its_predecessor():
    network = Network(4)
    network.silent.add(2)
    network.run(15_000)
    network.silent.clear()
    fresh = Membership(make_row(2, incarnation=2), random.Random(9))
    network.members[2] = fresh
    network.members[0].merge([fresh.own], Millis(network.now))
    fresh.merge(network.members[0].rows_by_id.values(), Millis(network.now))
    network.run(15_000)
    assert network.states_of(2) == {MemberState.ALIVE}


def test_a_leaving_target_is_known_to_all_within_a_second():
    network = Network(8)
    row = TargetRow("t1", "ledger", "127.0.0.1", 1, 12, 130)
    network.deliver(network.members[1].set_targets((row,)))
    network.run(3_000)
    leaving = TargetRow("t1", "ledger", "127.0.0.1", 1, 12, 130, TargetState.LEAVING)
    network.deliver(network.members[1].set_targets((leaving,)))
    network.run(1_000)
    for member in network.members.values():
        assert member.rows_by_id[InstanceId("d1")].targets == (leaving,)


def test_a_late_row_does_not_bring_back_a_daemon_that_left():
    network = Network(4)
    old = network.members[1].own
    network.deliver(network.members[1].leave())
    network.silent.add(1)
    network.run(1_000)
    network.members[0].merge([old], Millis(network.now))
    assert network.states_of(1) == {MemberState.LEFT}


def test_rows_are_split_into_datagrams_that_fit():
    rows = [make_row(number) for number in range(500)]
    groups = pack_rows(rows)
    assert [row for group in groups for row in group] == rows
    assert all(len(encode(group)) <= MAX_DATAGRAM_BYTES for group in groups)


def test_only_rows_of_differing_buckets_are_exchanged():
    first, second = Network(50).members[0], Network(50).members[1]
    assert first.rows_that_differ(second.digests()) == ()
    second.merge([make_row(77)], Millis(0))
    assert len(second.digests()) == BUCKETS
    missing = second.rows_that_differ(first.digests())
    assert "d77" in {row.id for row in missing}
    assert len(missing) < 10


class MembershipMachine(RuleBasedStateMachine):
    """Pause, resume and replace daemons with packet loss; once that ends, all must agree."""

    @initialize(seed=st.integers(0, 1_000))
    def start(self, seed):
        self.network = Network(5, seed)
        self.incarnation = 1

    @rule(number=st.integers(1, 4))
    def pause(self, number):
        self.network.silent.add(number)

    @rule(number=st.integers(1, 4))
    def resume(self, number):
        self.network.silent.discard(number)

    @rule(number=st.integers(1, 4))
    def replace(self, number):
        self.incarnation += 1
        row = make_row(number, self.incarnation)
        self.network.members[number] = Membership(row, random.Random(self.incarnation))
        self.network.silent.discard(number)
        now = Millis(self.network.now)
        self.network.members[0].merge([row], now)
        self.network.members[number].merge(self.network.members[0].rows_by_id.values(), now)

    @rule(duration_ms=st.sampled_from([500, 2_000, 6_000]), loss=st.sampled_from([0.0, 0.3]))
    def advance_time(self, duration_ms, loss):
        self.network.loss = loss
        self.network.run(duration_ms)
        self.network.loss = 0.0

    @rule()
    def all_agree_once_failures_end(self):
        self.network.silent.clear()
        # As the repair controller does, which also reconnects members that dropped each other.
        now = Millis(self.network.now)
        for member in self.network.members.values():
            for other in self.network.members.values():
                other.merge([member.own], now)
        self.network.run(15_000)
        for number in self.network.members:
            assert self.network.states_of(number) == {MemberState.ALIVE}

    @invariant()
    def every_daemon_considers_itself_alive(self):
        for member in getattr(self, "network", Network(0)).members.values():
            assert member.own.state is MemberState.ALIVE

    @invariant()
    def digests_match_the_rows(self):
        for member in getattr(self, "network", Network(0)).members.values():
            rebuilt = Membership(member.own, random.Random(0))
            rebuilt.rows_by_id.clear()
            rebuilt._digests = [0] * BUCKETS
            for row in member.rows_by_id.values():
                rebuilt._store(InstanceId(row.id), row)
            assert rebuilt.digests() == member.digests()


TestMembershipMachine = MembershipMachine.TestCase
TestMembershipMachine.settings = settings(max_examples=25, stateful_step_count=12)
