"""Test the records of once-only calls: claims, settled and unknown outcomes, and expiry."""

import hypothesis.strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, consumes, invariant, rule

from egretworks.clock import Millis
from egretworks.once import (
    DONE_RETENTION_MS,
    Answer,
    Claim,
    Shard,
    Verdict,
    prune,
    settle_done,
    settle_not_run,
    settle_unknown,
    try_claim,
    try_claim_queued,
)
from egretworks.types import InstanceId, OnceKey, OnceState, WriterMark

KEY = OnceKey("payout-desk/k1")


def make_claim(mark, key=KEY, fingerprint="f", at_ms=0.0):
    return Claim(key, fingerprint, InstanceId("d0"), 1, WriterMark(mark), Millis(at_ms))


def test_a_second_claim_on_a_key_finds_the_first_running():
    first = try_claim(Shard(), make_claim("m1"))
    assert first.verdict is Verdict.RUN
    assert try_claim(first.shard, make_claim("m2")).verdict is Verdict.RUNNING


def test_a_claim_whose_write_was_not_acknowledged_is_recognised_by_its_mark():
    first = try_claim(Shard(), make_claim("m1"))
    again = try_claim(first.shard, make_claim("m1"))
    assert again.verdict is Verdict.RUN
    assert again.shard is None


def test_a_key_reused_for_another_request_is_refused():
    first = try_claim(Shard(), make_claim("m1"))
    assert try_claim(first.shard, make_claim("m2", fingerprint="g")).verdict is Verdict.REUSED


def test_an_unknown_outcome_is_never_run_again_but_its_owner_may_still_settle_it():
    shard = try_claim(Shard(), make_claim("m1")).shard
    shard = settle_unknown(shard, KEY, WriterMark("m1"))
    assert try_claim(shard, make_claim("m2")).verdict is Verdict.UNKNOWN
    shard = settle_done(shard, KEY, WriterMark("m1"), Answer(200))
    assert try_claim(shard, make_claim("m3")).verdict is Verdict.DONE


def test_a_call_that_was_not_run_frees_its_key_or_is_queued_again():
    shard = try_claim(Shard(), make_claim("m1")).shard
    freed = settle_not_run(shard, KEY, WriterMark("m1"))
    assert try_claim(freed, make_claim("m2")).verdict is Verdict.RUN
    requeued = settle_not_run(shard, KEY, WriterMark("m1"), queued=True)
    assert try_claim_queued(requeued, make_claim("m3")).verdict is Verdict.RUN


def test_settled_answers_expire_and_unsettled_records_do_not():
    shard = try_claim(Shard(), make_claim("m1")).shard
    shard = try_claim(shard, make_claim("m2", key=OnceKey("payout-desk/k2"))).shard
    shard = settle_done(shard, KEY, WriterMark("m1"), Answer(200))
    assert list(prune(shard, Millis(DONE_RETENTION_MS)).records_by_key) == ["payout-desk/k2"]


class OnceMachine(RuleBasedStateMachine):
    """Model daemons that claim, send, settle, crash and lose answers, in any order.

    The platform accepts a write only for the version that it was based on. `runs` counts how often
    the target ran the call, which must never be more than once.
    """

    attempts = Bundle("attempts")
    claimed = Bundle("claimed")
    sent = Bundle("sent")

    def __init__(self):
        super().__init__()
        self.shard = Shard()
        self.version = 0
        self.runs = 0
        self.marks = 0

    def write(self, shard, version):
        """Write by compare-and-swap, as the platform does; return whether `version` was current."""
        if version != self.version:
            return False
        self.shard, self.version = shard, self.version + 1
        return True

    @rule(target=attempts, queue=st.booleans())
    def read(self, queue):
        """A daemon reads the shard for a request, which the caller may repeat at any daemon."""
        self.marks += 1
        return (f"m{self.marks}", queue, self.shard, self.version)

    @rule(target=claimed, attempt=consumes(attempts), lost=st.booleans())
    def write_claim(self, attempt, lost):
        """The daemon writes its claim; if the answer is lost, it looks for its mark."""
        mark, queue, shard, version = attempt
        decision = try_claim(shard, make_claim(mark), queue=queue)
        if decision.verdict is not Verdict.RUN or decision.shard is None:
            if decision.shard is not None:
                self.write(decision.shard, version)
            return None
        written = self.write(decision.shard, version)
        if lost:
            return mark if try_claim(self.shard, make_claim(mark)).verdict is Verdict.RUN else None
        return mark if written else None

    @rule(target=claimed)
    def claim_queued(self):
        """A daemon claims a queued call."""
        self.marks += 1
        mark = f"m{self.marks}"
        decision = try_claim_queued(self.shard, make_claim(mark))
        if decision.verdict is not Verdict.RUN:
            return None
        self.write(decision.shard, self.version)
        return mark

    @rule(target=sent, mark=consumes(claimed))
    def send(self, mark):
        """The daemon sends the call that it claimed, after any delay."""
        if mark is not None:
            self.runs += 1
        return mark

    @rule(mark=consumes(claimed), queued=st.booleans())
    def settle_unsent(self, mark, queued):
        """The daemon could not send the call, or gave up before sending it."""
        if mark is not None:
            self.shard = settle_not_run(self.shard, KEY, WriterMark(mark), queued=queued)
            self.version += 1

    @rule(mark=consumes(sent), known=st.booleans())
    def settle(self, mark, known):
        """The daemon records the answer, or an unknown outcome if there was none."""
        if mark is None:
            return
        if known:
            self.shard = settle_done(self.shard, KEY, WriterMark(mark), Answer(200))
        else:
            self.shard = settle_unknown(self.shard, KEY, WriterMark(mark))
        self.version += 1

    @rule()
    def orphan(self):
        """Another daemon concludes, rightly or wrongly, that the owner is gone."""
        record = self.shard.records_by_key.get(KEY)
        if record is not None and record.state is OnceState.CLAIMED:
            self.shard = settle_unknown(self.shard, KEY, WriterMark(record.mark))
            self.version += 1

    @invariant()
    def ran_at_most_once(self):
        assert self.runs <= 1

    @invariant()
    def a_done_record_means_that_the_call_ran(self):
        record = self.shard.records_by_key.get(KEY)
        if record is not None and record.state is OnceState.DONE:
            assert self.runs == 1


TestOnceMachine = OnceMachine.TestCase
