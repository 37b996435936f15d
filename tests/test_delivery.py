"""Test that the version in force never decreases and matches its state, whatever is offered."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from egretworks.delivery import MAX_KEPT_CHANGES, InForce, OfferResult
from egretworks.exceptions import ChangeRefused
from egretworks.messages import SyncReply
from egretworks.resources import Match, Removal, Route, Service, TicketBody
from egretworks.state import Change, MeshState, apply_change, change_for
from egretworks.statecoding import decode_state, encode_state
from egretworks.types import TicketNumber, Version


def make_history(length):
    """Return the `length` + 1 states and the `length` changes of a mesh that accepted tickets."""
    states, changes = [MeshState()], []
    for number in range(1, length + 1):
        body = TicketBody(
            title="t",
            services=(Service(name=f"s{number % 7}"),),
            routes=(
                Route(
                    name="r",
                    service=f"s{number % 7}",
                    match=Match(path_prefix=f"/v{number}"),
                ),
            ),
        )
        change = change_for(states[-1], TicketNumber(number), body)
        changes.append(change)
        states.append(apply_change(states[-1], change))
    return states, changes


STATES, CHANGES = make_history(12)


class InForceMachine(RuleBasedStateMachine):
    """Offer changes, states and replies of peers: out of order, repeated, corrupt and stale."""

    def __init__(self):
        super().__init__()
        self.subject = InForce()
        self.peer = InForce()
        self.highest = 0

    @rule(change=st.sampled_from(CHANGES))
    def offer_change(self, change):
        self.subject.offer(change)

    @rule(change=st.sampled_from(CHANGES))
    def offer_to_peer(self, change):
        self.peer.offer(change)

    @rule(state=st.sampled_from(STATES))
    def offer_state(self, state):
        self.subject.offer_state(state)

    @rule(state=st.sampled_from(STATES))
    def offer_state_to_peer(self, state):
        self.peer.offer_state(state)

    @rule()
    def pull(self):
        before = self.subject.version
        self.subject.offer_reply(self.peer.reply_after(before))
        assert self.subject.version == max(before, self.peer.version)

    @rule(after=st.integers(0, 12))
    def offer_stale_reply(self, after):
        self.subject.offer_reply(self.peer.reply_after(Version(after)))

    @precondition(lambda self: self.subject.version < 12)
    @rule()
    def offer_change_with_wrong_digest(self):
        next_change = CHANGES[self.subject.version]
        corrupt = Change(next_change.version, next_change.ticket, next_change.body, "bad")
        assert self.subject.offer(corrupt) is OfferResult.REFUSED
        assert self.subject.refusal.version == next_change.version

    @rule(cut=st.integers(1, 40))
    def offer_truncated_reply(self, cut):
        data = encode_state(STATES[12])
        self.subject.offer_reply(SyncReply(12, state=data[:-cut]))

    @invariant()
    def version_never_decreases_and_state_matches_it(self):
        assert self.subject.version >= self.highest
        self.highest = self.subject.version
        assert self.subject.state == STATES[self.subject.version]


TestInForceMachine = InForceMachine.TestCase


def test_a_state_truncated_anywhere_is_refused():
    data = encode_state(STATES[12])
    for cut in range(len(data)):
        with pytest.raises(ChangeRefused):
            decode_state(data[:cut])


def test_a_peer_further_behind_than_the_kept_changes_gets_the_whole_state():
    states, changes = make_history(MAX_KEPT_CHANGES + 10)
    ahead = InForce()
    for change in changes:
        ahead.offer(change)
    reply = ahead.reply_after(Version(3))
    assert reply.state and not reply.changes
    behind = InForce()
    assert behind.offer_reply(reply) is OfferResult.APPLIED
    assert behind.state == states[-1]


def test_a_change_with_an_unsupported_policy_is_refused_and_nothing_of_it_applies():
    body = TicketBody(
        title="t",
        services=(Service(name="ok"), Service(name="odd", balance="dice")),
        remove=Removal(),
    )
    subject = InForce()
    assert subject.offer(change_for(MeshState(), TicketNumber(5), body)) is OfferResult.REFUSED
    assert subject.state == MeshState()
    assert subject.refusal.ticket == 5
    assert "dice" in subject.refusal.reason
