"""Test the order between teams at a gate: shares of the target's time, priorities and refusals."""

import math

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from loadsim import Kind, Mesh
from teamload import ROUTE, WORK_MS, TeamLoad, TeamPlay

from egretworks.calllog import CallLog
from egretworks.fairshare import SPARE_REQUESTS, FairShares
from egretworks.gatequeue import (
    LATE_REFUSED_MS,
    OVERLOADED_AFTER_MS,
    OVERLOADED_WAIT_SHARE,
    GateQueue,
    QueueEntry,
)
from egretworks.linkframes import Offer, Refused

SMALL_TEAMS = tuple(f"team-{number}" for number in range(70))
LARGE_TEAM = "large"


class TeamBlindQueue(GateQueue):
    """A queue as it is without teams."""

    def enter(self, entry, now):
        entry.team, entry.team_priority = "", 0
        return super().enter(entry, now)


# A team that sends ten times its share took slots in the order of arrival, so that every other team
# waited longer.
def test_a_team_at_ten_times_its_share_hardly_delays_the_others():
    share = 0.8 / len(SMALL_TEAMS)
    others = [TeamLoad(name, share) for name in SMALL_TEAMS]
    loads = [*others, TeamLoad(LARGE_TEAM, 10 * share)]
    without = TeamPlay(others, slots=10).run(60)
    present = TeamPlay(loads, slots=10).run(60)
    blind = TeamPlay(loads, slots=10, queue_type=TeamBlindQueue).run(60)
    print(
        f"others: {without.mean_ms(*SMALL_TEAMS):.1f} ms without the large team,"
        f" {present.mean_ms(*SMALL_TEAMS):.1f} with it, {blind.mean_ms(*SMALL_TEAMS):.1f} if the"
        f" order is by arrival; served {without.served(*SMALL_TEAMS):.4f},"
        f" {present.served(*SMALL_TEAMS):.4f}; the large team {present.served(LARGE_TEAM):.3f}"
    )
    assert present.mean_ms(*SMALL_TEAMS) < 1.1 * without.mean_ms(*SMALL_TEAMS)
    assert present.quantile_ms(0.95, *SMALL_TEAMS) < 1.1 * without.quantile_ms(0.95, *SMALL_TEAMS)
    assert blind.mean_ms(*SMALL_TEAMS) > 1.1 * without.mean_ms(*SMALL_TEAMS)
    assert present.served(*SMALL_TEAMS) > without.served(*SMALL_TEAMS) - 0.005
    # What the others leave is 0.2 of the target, of which the large team asks for 0.114.
    assert present.served(LARGE_TEAM) > 0.75


# With equal shares instead of contracted rates, a team that rightly sends a quarter of the demand
# would come after all others whenever the target is full.
@pytest.mark.parametrize("slots", [3, 10])
def test_a_large_team_within_its_weight_is_served_as_often_as_the_others(slots):
    loads = [TeamLoad(name, 1.125 / len(SMALL_TEAMS)) for name in SMALL_TEAMS]
    loads.append(TeamLoad(LARGE_TEAM, 0.375, weight=len(SMALL_TEAMS) / 3))
    results = TeamPlay(loads, slots).run(40)
    all_served = results.served(*SMALL_TEAMS, LARGE_TEAM)
    worst = min(results.served(name) for name in SMALL_TEAMS)
    print(f"all {all_served:.3f}, large {results.served(LARGE_TEAM):.3f}, worst {worst:.3f}")
    assert results.served(LARGE_TEAM) > 0.9 * all_served
    assert worst > all_served / 4


# Two teams that both send more than the target can do share it by their weights.
def test_teams_that_send_too_much_share_the_target_by_weight():
    loads = [TeamLoad("a", 1.5, weight=3.0), TeamLoad("b", 1.5, weight=1.0)]
    results = TeamPlay(loads, slots=6).run(40)
    ratio = results.served("a") / results.served("b")
    print(f"ratio {ratio:.2f}")
    assert 2.0 < ratio < 4.0


def entry(team="", team_priority=0, weight=1.0, priority=1, arrived=0.0, objective=500.0):
    return QueueEntry(
        *(ROUTE, priority, arrived, arrived + objective, arrived + 2_000.0),
        *(team, team_priority, weight),
    )


def busy_queue(slots=1, work_ms=100.0):
    queue = GateQueue(slots)
    for _ in range(20):
        queue.processing_times.record(ROUTE, work_ms)
    for _ in range(slots):
        assert queue.enter(entry(), 0.0).run
    return queue


def admitted(queue, now):
    queue.release_slot()
    return queue.admit(now)


def overuse(queue, team, now, **fields):
    """Let `team` run requests until it is over its share, beside another team."""
    other = entry("other", arrived=now, **fields)
    queue.enter(other, now)
    queue.withdraw(other)
    for _ in range(8):
        assert queue.enter(entry(team, arrived=now, **fields), now).wait
        assert admitted(queue, now).team == team
    assert queue.is_over_share(team, now)


# A route's priority is set by the service, which must not let a team overtake a more urgent one.
def test_the_priority_of_teams_goes_before_that_of_routes():
    queue = busy_queue(slots=4)
    lower = entry("b", team_priority=1, priority=0, objective=300.0)
    higher = entry("a", team_priority=0, priority=2)
    assert queue.enter(lower, 0.0).wait
    assert queue.enter(higher, 0.0).wait
    assert admitted(queue, 1.0) is higher


# A call that a running request makes carries no team; if it waited for all teams, the slot of the
# calling target would be kept for as long.
def test_a_request_without_a_team_has_the_highest_priority_of_teams():
    queue = busy_queue(slots=4)
    assert queue.enter(entry("b", team_priority=1, priority=0), 0.0).wait
    call = entry(priority=2)
    assert queue.enter(call, 0.0).wait
    assert admitted(queue, 1.0) is call


def test_a_team_over_its_share_comes_after_a_less_urgent_route_of_another():
    queue = busy_queue(slots=4)
    overuse(queue, "large", 0.0)
    large, small = entry("large", priority=0), entry("small", priority=2)
    assert queue.enter(large, 1.0).wait
    assert queue.enter(small, 1.0).wait
    assert admitted(queue, 2.0) is small
    assert admitted(queue, 2.0) is large


# Under a limit of requests a second, slots are free while requests wait; a new one of a team over
# its share took the next permitted start.
def test_a_new_request_of_a_team_over_its_share_does_not_overtake_waiting_ones():
    queue = busy_queue(slots=20)
    overuse(queue, "large", 0.0)
    queue.release_slot()
    queue.rate_limit.set_rate(20.0, 0.0)
    # It is late, and so would be overtaken by a request in time of a team within its share.
    small = entry("small", objective=10.0)
    assert queue.enter(small, 0.0).wait
    assert not queue.enter(entry("large", arrived=60.0), 60.0).run
    assert queue.admit(60.0) is small


# The wait rule for standing queues refused requests of every team once one kept the queue full.
def test_a_standing_queue_of_one_team_refuses_no_request_of_another():
    queue = busy_queue()
    overuse(queue, "large", 0.0)
    assert queue.enter(entry("large"), 0.0).wait
    now = OVERLOADED_AFTER_MS + 10.0
    refused = queue.enter(entry("large", arrived=now), now)
    assert not refused.wait and refused.retry_after_ms > 0
    small = entry("small", arrived=now)
    assert queue.enter(small, now).wait
    assert small.latest_start - now > 500.0 * OVERLOADED_WAIT_SHARE
    assert queue.retry_after_ms(entry("small", arrived=now), now) == 0


# The same rule, for a queue of less urgent teams.
def test_a_standing_queue_of_lower_teams_refuses_no_request_of_a_higher_one():
    queue = busy_queue()
    assert queue.enter(entry("low", team_priority=2, priority=0), 0.0).wait
    now = OVERLOADED_AFTER_MS + 10.0
    assert not queue.enter(entry("low", 2, priority=0, arrived=now), now).wait
    high = entry("high", 1, priority=3, arrived=now)
    assert queue.enter(high, now).wait
    assert high.latest_start - now > 500.0 * OVERLOADED_WAIT_SHARE


# Late requests of a team over its share wait in vain, which says nothing about those of the others.
def test_late_requests_of_other_teams_wait_after_one_of_a_large_team_has_waited_in_vain():
    queue = busy_queue(slots=2)
    overuse(queue, "large", 0.0)
    late = entry("large", arrived=0.0, objective=10.0)
    assert queue.enter(late, 0.0).wait
    expired_at = late.latest_start + 1
    overuse(queue, "large", expired_at - 1)
    assert late in queue.remove_expired(expired_at)
    now = expired_at + LATE_REFUSED_MS / 2
    small, large = entry("small", objective=10.0), entry("large", objective=10.0)
    small.arrived = large.arrived = now
    assert queue.enter(small, now).wait
    assert not queue.enter(large, now).wait or large.latest_start < small.latest_start


# Each daemon sees hundreds of teams in a day, most of which send a request now and then.
def test_teams_without_recent_work_are_forgotten():
    shares = FairShares()
    now, most = 0.0, 0
    for number in range(5_000):
        now += 10.0
        shares.record_arrival(f"team-{number}", 0, 1.0, now)
        shares.record_admission(f"team-{number}", 0, 1.0, WORK_MS, now)
        most = max(most, len(shares))
    print(f"at most {most} teams kept")
    assert most < 600
    now += 60_000.0
    shares.record_arrival("last", 0, 1.0, now)
    assert len(shares) == 1


# A team whose share is below a request a second was over it after each of its requests.
def test_a_small_team_is_not_over_its_share_by_a_few_requests():
    shares = FairShares()
    for _ in range(200):
        shares.record_admission("large", 0, 1_000.0, WORK_MS, 0.0)
    for _ in range(SPARE_REQUESTS):
        shares.record_admission("small", 0, 1.0, WORK_MS, 0.0)
    assert not shares.is_over("small", 0.0)
    for _ in range(SPARE_REQUESTS):
        shares.record_admission("small", 0, 1.0, WORK_MS, 0.0)
    assert shares.is_over("small", 0.0)
    assert not shares.is_over("large", 0.0)


def test_a_team_alone_is_never_over_its_share():
    shares = FairShares()
    for number in range(500):
        shares.record_admission("only", 0, 1.0, WORK_MS, number * 5.0)
        assert not shares.is_over("only", number * 5.0)


# With one bound, a team with a standing queue alternates between over and not over.
def test_a_team_stays_over_its_share_until_it_is_within_it():
    shares = FairShares()
    for _ in range(10):
        shares.record_admission("small", 0, 1.0, WORK_MS, 0.0)
    for _ in range(17):
        shares.record_admission("large", 0, 1.0, WORK_MS, 0.0)
    # 17 requests are 1.5 times 10 and two spare ones.
    assert not shares.is_over("large", 0.0)
    for _ in range(23):
        shares.record_admission("large", 0, 1.0, WORK_MS, 0.0)
    assert shares.is_over("large", 0.0)
    for _ in range(20):
        shares.record_admission("small", 0, 1.0, WORK_MS, 0.0)
    # 40 against 30 requests: not clearly more, but still more.
    assert shares.is_over("large", 0.0)
    for _ in range(10):
        shares.record_admission("small", 0, 1.0, WORK_MS, 0.0)
    assert not shares.is_over("large", 0.0)


# A team that holds most of the weight was never over its share, so its queue delayed the others.
def test_a_team_with_most_of_the_weight_can_be_over_its_share():
    loads = [TeamLoad(LARGE_TEAM, 2.1, weight=0.7), TeamLoad("small", 0.25, weight=0.3)]
    results = TeamPlay(loads, slots=10).run(40)
    print(f"small {results.served('small'):.3f}, large {results.served(LARGE_TEAM):.3f}")
    assert results.served("small") > 0.9


# A higher team that uses little of its weight makes every lower team look as if it were over.
def test_shares_are_compared_within_a_priority_of_teams():
    shares = FairShares()
    shares.record_admission("high", 0, 10_000.0, WORK_MS, 0.0)
    for _ in range(20):
        shares.record_admission("low-1", 1, 1.0, WORK_MS, 0.0)
        shares.record_admission("low-2", 1, 1.0, WORK_MS, 0.0)
    assert not shares.is_over("low-1", 0.0)


# A new configuration changes the limits of teams that are at work.
def test_a_changed_weight_holds_at_once():
    shares = FairShares()
    for _ in range(20):
        shares.record_admission("a", 0, 1.0, WORK_MS, 0.0)
        shares.record_arrival("b", 0, 1.0, 0.0)
        shares.record_admission("b", 0, 1.0, WORK_MS / 10, 0.0)
    assert shares.is_over("a", 0.0)
    shares.record_arrival("a", 0, 1_000.0, 0.0)
    assert not shares.is_over("a", 0.0)


# Weights come from other daemons, which may be of another build.
@pytest.mark.parametrize("weight", [0.0, -1.0, math.nan, math.inf])
def test_an_unusable_weight_is_replaced(weight):
    shares = FairShares()
    for _ in range(20):
        shares.record_admission("a", 0, weight, WORK_MS, 0.0)
        shares.record_admission("b", 0, 1.0, WORK_MS, 0.0)
    assert shares.is_over("a", 0.0) != shares.is_over("b", 0.0)


class EarlierQueue(GateQueue):
    """The order and the rule for standing queues as they were before there were teams."""

    def _sort_key(self, entry, now):
        late = self._is_late(entry, now) and not entry.only_attempt
        return (entry.priority, late, entry.objective_at)

    def _is_next(self, entry, now):
        if entry.entered_late:
            return not self._waiting
        return all(waiting.entered_late for waiting in self._waiting)

    def retry_after_ms(self, entry, now):
        return (now - self._waiting_since.get(entry.priority, now)) * 4.0

    def _is_overloaded(self, entry, now):
        if all(w.priority > entry.priority or w.entered_late for w in self._waiting):
            self._waiting_since[entry.priority] = now
        return now - self._waiting_since.setdefault(entry.priority, now) > OVERLOADED_AFTER_MS

    def remove_expired(self, now):
        expired = [entry for entry in self._waiting if now > entry.latest_start]
        for entry in expired:
            self._waiting.remove(entry)
            if entry.entered_late:
                self.late_refused_until = now + LATE_REFUSED_MS
        return expired

    late_refused_until = 0.0

    def _refuses_late(self, entry, now):
        return entry.arrived < self.late_refused_until


ENTER, RELEASE, EXPIRE, LIMIT = "enter", "release", "expire", "limit"
STEPS = st.lists(
    st.tuples(
        st.sampled_from([ENTER, ENTER, ENTER, RELEASE, EXPIRE, LIMIT]),
        *(st.floats(0, 120), st.integers(0, 2), st.floats(-100, 800), st.floats(1, 2_000)),
    ),
    max_size=80,
)


# Deployments without teams must not change in anything.
@given(STEPS, st.integers(1, 3))
def test_without_teams_every_decision_is_as_before(steps, slots):
    now = 0.0
    queues = (GateQueue(slots), EarlierQueue(slots))
    number_of = {}
    running = 0
    for number, (step, wait_ms, priority, objective, left) in enumerate(steps):
        now += wait_ms
        outcomes = []
        for queue in queues:
            if step == ENTER:
                request = QueueEntry(ROUTE, priority, now, now + objective, now + left)
                number_of[request] = number
                decision = queue.enter(request, now)
                outcomes.append((decision, request.latest_start, queue.load))
            elif step == RELEASE and running:
                queue.processing_times.record(ROUTE, left / 10)
                outcomes.append(number_of.get(admitted(queue, now)))
            elif step == EXPIRE:
                expired = queue.remove_expired(now)
                retry_after_ms = [queue.retry_after_ms(request, now) for request in expired]
                outcomes.append(([number_of[request] for request in expired], retry_after_ms))
            elif step == LIMIT:
                queue.rate_limit.set_rate(left / 50, now)
        assert not outcomes or outcomes[0] == outcomes[1]
        running = queues[0].running


class RecordingTimeline:
    def __init__(self):
        self.refusals = []

    def record(self, kind, call="", facts=None, **_):
        if kind == "gate_refused":
            self.refusals.append(facts)


# An operator who sees refusals must be able to tell whose load caused them.
def test_refusals_name_the_team_and_count_those_of_teams_over_their_share(monkeypatch):
    mesh = Mesh(monkeypatch, [Kind(ROUTE, "svc", WORK_MS, 500.0, 2_000.0)])
    mesh.add("zone", "svc", slots=1)
    gate = mesh.daemons[0].gate
    timeline = RecordingTimeline()
    gate.host = msgspec.structs.replace(gate.host, calls=CallLog(timeline, mesh.clock))
    outcomes = []

    def offer(number, team):
        call = f"c{number}"
        mesh.kind_by_id[call] = ROUTE
        headers = [(b"x-egret-attempt-id", call.encode())]
        gate.offer(
            Offer(
                *(number, call, ROUTE, "svc", "caller", "GET", b"/", headers, b""),
                *(2_000.0, 500.0, 1, True),
                team=team,
            ),
            outcomes.append,
        )

    for number in range(20):
        offer(8 * number, "small")
        for more in range(1, 8):
            offer(8 * number + more, "large")
        mesh.time.run_for(200.0)
    offer(200, "")
    refused = [outcome for outcome in outcomes if isinstance(outcome, Refused)]
    assert 0 < len(timeline.refusals) <= len(refused)
    over = [facts for facts in timeline.refusals if facts.get("over_share")]
    assert over and {facts["team"] for facts in over} == {"large"}
    assert gate.host.metrics.counts["gate_over_share_refusals"] >= len(over)
    # Lines about requests without a team are as they were.
    gate.stopping = True
    offer(201, "")
    assert "team" not in timeline.refusals[-1] and "over_share" not in timeline.refusals[-1]
