"""Test a gate's queue: order, early refusals, expiry, and a state machine over all of them."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from egretworks.gatequeue import (
    LATE_REFUSED_MS,
    MAX_LATE_WAIT_SHARE,
    MAX_START_DELAY_MS,
    OVERLOADED_AFTER_MS,
    GateQueue,
    QueueEntry,
)


def entry(priority=1, arrived=0.0, objective=500.0, expires=1_000.0, route="r"):
    return QueueEntry(route, priority, arrived, objective, expires)


def busy_queue(slots=2, work_ms=100.0):
    queue = GateQueue(slots)
    for _ in range(20):
        queue.processing_times.record("r", work_ms)
    for _ in range(slots):
        assert queue.enter(entry(), 0.0).run
    return queue


def test_requests_run_immediately_while_slots_are_free():
    queue = busy_queue(slots=3)
    assert queue.running == 3
    assert queue.enter(entry(), 0.0).wait


# A request that searches for a free slot must not end up in a queue, nor affect it.
def test_a_request_that_may_not_wait_runs_at_once_or_is_refused():
    queue = busy_queue(slots=2)
    decision = queue.enter(entry(), 0.0, may_wait=False)
    assert not decision.run
    assert not decision.wait
    assert queue.load == 2
    queue.release_slot()
    assert queue.enter(entry(), 1.0, may_wait=False).run


def test_waiting_requests_are_ordered_by_priority_then_objective():
    queue = busy_queue()
    urgent = entry(priority=0, arrived=2.0, objective=700.0)
    waiting = [entry(priority=2), entry(objective=600.0), entry(objective=450.0), urgent]
    for request in waiting:
        assert queue.enter(request, 2.0).wait
    order = []
    for _ in waiting:
        queue.release_slot()
        order.append(queue.admit(3.0))
    assert order == [urgent, waiting[2], waiting[1], waiting[0]]


def test_requests_that_can_meet_their_objective_precede_those_that_cannot():
    queue = busy_queue()
    late, fresh = entry(objective=182.0), entry(arrived=1.0)
    assert queue.enter(late, 0.0).wait
    assert queue.enter(fresh, 1.0).wait
    queue.release_slot()
    assert queue.admit(60.0) is fresh


def test_a_request_that_would_miss_its_objective_is_refused_with_a_retry_time():
    queue = busy_queue(slots=1)
    decisions = [queue.enter(entry(), 0.0) for _ in range(8)]
    refused = [decision for decision in decisions if not decision.wait]
    assert 0 < len(refused) < 8
    assert refused[0].retry_after_ms > 0


def test_waiting_requests_expire_after_their_latest_useful_start():
    queue = busy_queue()
    short, long = entry(objective=300.0, expires=400.0), entry(objective=300.0, expires=5_000.0)
    for request in (short, long):
        assert queue.enter(request, 0.0).wait
    assert queue.remove_expired(170.0) == []
    # Their deadlines have not passed, but they would miss their objective by too much,
    # and other requests can still meet theirs.
    assert set(map(id, queue.remove_expired(351.0))) == {id(short), id(long)}


def test_a_nested_call_waits_for_most_of_its_time():
    # Nested calls of a target have short deadlines. Refusing one wastes the work that the target
    # has done already.
    queue = busy_queue(slots=9, work_ms=15.0)
    call = entry(objective=60.0, expires=200.0)
    assert queue.enter(call, 0.0).wait
    assert queue.remove_expired(150.0) == []
    assert queue.remove_expired(195.0) == [call]


class GateMachine(RuleBasedStateMachine):
    """Enter, withdraw, finish and expire requests in any order."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.queue = GateQueue(3)
        self.running = 0
        self.waiting = []

    @rule(priority=st.integers(0, 2), objective=st.floats(1, 800), more=st.floats(1, 800))
    def enter(self, priority, objective, more):
        request = entry(priority, self.now, self.now + objective, self.now + objective + more)
        decision = self.queue.enter(request, self.now)
        assert decision.run + decision.wait <= 1
        if decision.run:
            self.running += 1
        elif decision.wait:
            self.waiting.append(request)
        else:
            assert decision.retry_after_ms >= 0

    @precondition(lambda self: self.running)
    @rule(took_ms=st.floats(1, 400))
    def finish(self, took_ms):
        self.queue.processing_times.record("r", took_ms)
        self.queue.release_slot()
        self.running -= 1
        admitted = self.queue.admit(self.now)
        assert (admitted is not None) == bool(self.waiting)
        if admitted is not None:
            assert admitted.priority == min(request.priority for request in self.waiting)
            self.waiting.remove(admitted)
            self.running += 1

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def withdraw(self, data):
        request = data.draw(st.sampled_from(self.waiting))
        assert self.queue.withdraw(request)
        assert not self.queue.withdraw(request)
        self.waiting.remove(request)

    @rule(ms=st.floats(0, 300))
    def pass_time(self, ms):
        self.now += ms
        for request in self.queue.remove_expired(self.now):
            self.waiting.remove(request)

    @invariant()
    def counts_agree(self):
        assert self.queue.running == self.running <= 3
        assert self.queue.load == self.running + len(self.waiting)
        assert not self.waiting or self.running == 3


TestGateMachine = GateMachine.TestCase


def arriving(at, priority=1):
    return entry(priority, arrived=at, objective=at + 500.0, expires=at + 1_000.0)


def test_a_standing_queue_limits_the_wait():
    queue = busy_queue(slots=1)
    # Without a standing queue a request may wait while it can still meet its objective.
    assert queue.enter(arriving(1.0), 1.0).wait
    later = OVERLOADED_AFTER_MS + 10.0
    refused = queue.enter(arriving(later), later)
    assert not refused.wait and refused.retry_after_ms > 0
    # No request at least as urgent as this one is waiting.
    assert queue.enter(arriving(later, priority=0), later).wait


def test_an_emptied_queue_allows_long_waits_again():
    queue = busy_queue(slots=1)
    assert queue.enter(arriving(1.0), 1.0).wait
    queue.release_slot()
    assert queue.admit(20.0) is not None
    later = OVERLOADED_AFTER_MS + 10.0
    assert queue.enter(arriving(later), later).wait
    assert queue.enter(arriving(later + 1), later + 1).wait


def test_a_nested_call_is_neither_deferred_nor_refused_under_overload():
    queue = busy_queue(slots=1)
    assert queue.enter(arriving(1.0), 1.0).wait
    later = OVERLOADED_AFTER_MS + 10.0
    # Its deadline leaves no time for a retry, and it will miss its objective.
    call = entry(arrived=later, objective=later + 60.0, expires=later + 400.0)
    assert queue.enter(call, later).wait
    queue.release_slot()
    assert queue.admit(later + 55.0) is call


def test_a_retry_past_its_objective_is_sorted_last():
    queue = busy_queue(slots=1)
    retry = entry(arrived=10.0, objective=5.0, expires=400.0)
    assert queue.enter(retry, 10.0).wait
    fresh = arriving(11.0)
    assert queue.enter(fresh, 11.0).wait
    queue.release_slot()
    assert queue.admit(12.0) is fresh


def test_a_late_request_waits_behind_those_in_time_and_makes_no_standing_queue():
    queue = busy_queue(slots=1)
    late = entry(arrived=300.0, objective=350.0, expires=2_000.0)
    assert queue.enter(late, 300.0).wait
    now = 300.0 + OVERLOADED_AFTER_MS + 50
    in_time = entry(arrived=now, objective=now + 400, expires=now + 1_000)
    assert queue.enter(in_time, now).wait
    assert in_time.latest_start - now > 200
    queue.release_slot()
    assert queue.admit(now) is in_time
    assert queue.remove_expired(now + 100) == []
    assert queue.remove_expired(1_300.0) == [late]


def test_a_late_request_that_cannot_start_within_its_share_of_the_time_left_is_refused_at_once():
    queue = busy_queue(slots=1)
    late = [entry(arrived=1.0, objective=50.0, expires=1_000.0) for _ in range(8)]
    decisions = [queue.enter(request, 1.0) for request in late]
    assert decisions[0].wait
    assert not decisions[-1].wait
    waiting = sum(decision.wait for decision in decisions)
    assert waiting * 100.0 <= 1_000.0 * MAX_LATE_WAIT_SHARE


# A slot that is kept free for requests in time serves nobody while late ones wait.
def test_a_late_request_gets_the_last_free_slot_if_none_in_time_waits():
    queue = busy_queue(slots=2)
    late = entry(arrived=300.0, objective=350.0, expires=3_000.0)
    assert queue.enter(late, 300.0).wait
    in_time = entry(arrived=310.0, objective=900.0, expires=2_000.0)
    assert queue.enter(in_time, 310.0).wait
    queue.release_slot()
    assert queue.admit(320.0) is in_time
    queue.release_slot()
    assert queue.admit(330.0) is late


# A crest that outlasts the time that late requests have left: to hold them is of no use to anybody.
def test_after_a_late_request_has_waited_in_vain_others_are_refused_at_once():
    queue = busy_queue(slots=2)
    late = entry(arrived=300.0, objective=350.0, expires=1_000.0)
    assert queue.enter(late, 300.0).wait
    expired_at = late.latest_start + 1
    assert queue.remove_expired(expired_at) == [late]
    other = entry(arrived=expired_at, objective=expired_at + 10, expires=expired_at + 1_000)
    decision = queue.enter(other, expired_at)
    assert decision.wait is False or other.latest_start - expired_at <= MAX_START_DELAY_MS
    later = expired_at + LATE_REFUSED_MS + 1
    again = entry(arrived=later, objective=later + 10, expires=later + 1_000)
    assert queue.enter(again, later).wait
    assert again.latest_start - later > MAX_START_DELAY_MS
