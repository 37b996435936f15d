"""Test rollouts in a simulated mesh: good versions get in, bad ones stay within their bound."""

import random

import pytest
from rolloutsim import NEW, OLD, SERVICE, RolloutMesh, SimDaemon, SimPeer

from egretworks.linkframes import RolloutStep
from egretworks.rolloutevidence import GateEvidence

PAUSES = [("probe", 700), ("canary", 3_000), ("trial", 8_000)]


def fails_in_part(seed=5):
    source = random.Random(seed)
    return lambda route, age_ms, running: (source.random() < 0.3, None)


def fails_on_one_route(route, age_ms, running):
    return route == "give", None


def is_four_times_slower(route, age_ms, running):
    return False, 160.0


def turns_bad(seed=5):
    source = random.Random(seed)
    return lambda route, age_ms, running: (age_ms > 5_000 and source.random() < 0.3, None)


def hangs(route, age_ms, running):
    return False, 60_000.0


BAD = {
    "hangs": hangs,
    "fails in part": fails_in_part(),
    "fails on one route": fails_on_one_route,
    "is slow": is_four_times_slower,
    "turns bad": turns_bad(),
}


def step_of(mesh):
    return max(each.rollouts.steps().get(SERVICE, 0) for each in mesh.daemons)


def run_until(mesh, step):
    while step_of(mesh) < step:
        mesh.run_for(10)
        assert mesh.time.now < 60_000


def assert_completed(mesh):
    assert mesh.store.phase == "completed"
    assert mesh.completed_at - mesh.ordered_at <= mesh.duration_s * 1_000
    assert (mesh.stopped_running, mesh.sent_to_old_after_stop) == (0, 0)
    assert mesh.refused == 0


def assert_rolled_back(mesh):
    assert mesh.store.phase == "rolled_back"
    assert_bounded(mesh)


def assert_bounded(mesh):
    assert 0 < mesh.new_runs <= mesh.bound
    assert mesh.late_runs == 0


# Guards against a good version that isn't in force by its deadline, and against requests that are
# cut off, as the old targets stop at once when the status is written.
@pytest.mark.parametrize("duration_s", (12, 15))
@pytest.mark.parametrize("rate", (60, 500))
def test_a_good_version_is_completed_in_time_and_old_targets_are_idle_then(rate, duration_s):
    mesh = RolloutMesh(rate=rate, duration_s=duration_s)
    mesh.play()
    assert_completed(mesh)


# Guards against a bad version that gets more than its share and slack, or that is left in place.
@pytest.mark.parametrize("kind", BAD)
@pytest.mark.parametrize("rate", (60, 500))
def test_a_bad_version_stays_within_its_bound_and_is_rolled_back(rate, kind):
    mesh = RolloutMesh(rate=rate)
    mesh.play(BAD[kind])
    assert_rolled_back(mesh)


# Guards against the roll-back of a good version, because some targets are slow, cold or fail as
# often as the old ones do.
@pytest.mark.parametrize("seed", range(3))
def test_uneven_targets_and_failures_of_both_versions_roll_nothing_back(seed):
    mesh = RolloutMesh(seed=seed)
    mesh.background = 0.02
    source = random.Random(seed)
    for daemon in mesh.daemons:
        speed, is_new = source.uniform(0.5, 1.7), daemon.version == NEW
        daemon.slowness = lambda now, speed=speed, is_new=is_new: speed * (
            2.0 if is_new and now < 4_000 else 1.0
        )
    slowed = mesh.daemon("b00")
    slowed.slowness = lambda now: 2.5
    mesh.play()
    assert_completed(mesh)


# Guards against requests that are cut off because their old targets stop while they still run.
@pytest.mark.parametrize("old_took_ms", (400.0, 900.0))
def test_old_targets_stop_only_after_their_last_answers(old_took_ms):
    mesh = RolloutMesh(old=24, new=24)
    mesh.old_took_ms = old_took_ms
    mesh.play()
    assert_completed(mesh)


# Guards against gates that rely on the leader: all requests go to the new version, and nobody is
# left to stop them.
@pytest.mark.parametrize("rate", (60, 500))
@pytest.mark.parametrize("step", (RolloutStep.CANARY, RolloutStep.TRIAL))
def test_the_gates_keep_the_bound_when_nobody_leads_any_more(step, rate):
    mesh = RolloutMesh(rate=rate)
    mesh.run_for(2_000)
    mesh.order()
    run_until(mesh, step)
    for daemon in mesh.daemons:
        daemon.rollouts.lead.tick = lambda now: None
    mesh.run_for(14_500 - mesh.time.now)
    assert_bounded(mesh)
    assert mesh.refused == 0


# Guards against an order that stays where it was when the daemon that leads it dies.
@pytest.mark.parametrize(("step", "after_ms"), PAUSES)
def test_another_daemon_takes_the_lead_over_between_two_stages(step, after_ms):
    mesh = RolloutMesh()
    mesh.run_for(2_000)
    mesh.order()
    mesh.run_for(after_ms)
    mesh.daemon("a00").paused = True
    mesh.run_for(12_500 - after_ms)
    assert mesh.store.phase == "completed"
    assert mesh.completed_at - mesh.ordered_at <= 12_000


# Guards against a bad version that is free of its bound when the leader dies, with what its gates
# have used forgotten.
@pytest.mark.parametrize(("step", "after_ms"), PAUSES)
@pytest.mark.parametrize("kind", BAD)
def test_the_bound_holds_when_the_leader_dies(kind, step, after_ms):
    mesh = RolloutMesh()
    mesh.behaviour = BAD[kind]
    mesh.run_for(2_000)
    mesh.order()
    mesh.run_for(after_ms)
    mesh.daemon("a00").paused = True
    mesh.run_for(12_500 - after_ms)
    assert_rolled_back(mesh)


# Guards against a mesh without targets in force: nobody sends to the old ones, and the status that
# stops them is never written.
def test_the_order_is_completed_although_its_leader_dies_before_it_writes_so():
    mesh = RolloutMesh()
    mesh.run_for(2_000)
    mesh.order()
    run_until(mesh, RolloutStep.CLOSED)
    mesh.daemon("a00").paused = True
    mesh.run_for(2_000 + 12_500 - mesh.time.now)
    assert mesh.store.phase == "completed"
    assert mesh.completed_at - mesh.ordered_at <= 12_000
    assert (mesh.stopped_running, mesh.sent_to_old_after_stop) == (0, 0)


# Guards against a leader that was paused, and that overwrites what its successor has decided.
def test_a_leader_that_comes_back_obeys_its_successor():
    mesh = RolloutMesh()
    mesh.run_for(2_000)
    mesh.order()
    mesh.run_for(6_000)
    first = mesh.daemon("a00")
    first.paused = True
    mesh.behaviour = fails_in_part()
    mesh.run_for(3_500)
    assert step_of(mesh) == RolloutStep.ROLLED_BACK
    first.paused = False
    mesh.run_for(5_000)
    assert first.rollouts.steps() == {SERVICE: RolloutStep.ROLLED_BACK}
    assert_rolled_back(mesh)


# Guards against two leaders of which each gives the new version a share.
@pytest.mark.parametrize("kind", [None, *BAD])
def test_of_two_daemons_that_think_they_lead_one_does(kind):
    mesh = RolloutMesh()
    mesh.daemon("a01").unseen.add("a00")
    mesh.play(BAD[kind] if kind else None)
    if kind:
        assert_rolled_back(mesh)
    else:
        assert_completed(mesh)
    stages = {each.rollouts.followed_by_service[SERVICE].stage.leader for each in mesh.daemons}
    assert len(stages) == 1


# Guards against requests beyond the bound, or cut off, that come from a daemon which hears of each
# stage seconds after the others.
@pytest.mark.parametrize("lagging", ("a03", "b01"))
@pytest.mark.parametrize("kind", [None, *BAD])
def test_a_daemon_that_lags_behind_a_stage_breaks_no_bound(kind, lagging):
    mesh = RolloutMesh()
    mesh.daemon(lagging).slowed_links_ms = 2_000.0
    mesh.play(BAD[kind] if kind else None)
    if kind:
        mesh.run_for(2_500)
        assert_rolled_back(mesh)
    else:
        assert mesh.store.phase == "completed"
        assert mesh.completed_at - mesh.ordered_at <= 12_000
        assert (mesh.stopped_running, mesh.sent_to_old_after_stop) == (0, 0)


def set_reachable(mesh, reachable):
    mesh.store.mode = "up" if reachable else "away"
    for daemon in mesh.daemons:
        daemon.rows.change_own(store_reachable=reachable)


# Guards against a bad version that stays in place as long as the store is away.
@pytest.mark.parametrize("kind", BAD)
def test_a_bad_version_gets_nothing_more_although_the_store_is_away(kind):
    mesh = RolloutMesh()
    mesh.behaviour = BAD[kind]
    mesh.run_for(2_000)
    mesh.order()
    mesh.run_for(1_500)
    set_reachable(mesh, False)
    mesh.run_for(11_000)
    assert mesh.store.phase == "running"
    assert step_of(mesh) == RolloutStep.ROLLED_BACK
    assert_bounded(mesh)
    set_reachable(mesh, True)
    mesh.run_for(1_500)
    assert mesh.store.phase == "rolled_back"


# Guards against a good version that is forgotten because the store was away for some seconds.
def test_a_good_version_is_completed_after_the_store_has_come_back():
    mesh = RolloutMesh()
    mesh.run_for(2_000)
    mesh.order()
    mesh.run_for(1_500)
    set_reachable(mesh, False)
    mesh.run_for(9_000)
    set_reachable(mesh, True)
    mesh.run_for(2_000)
    assert_completed(mesh)


# Guards against a status that is written twice or never, as the answer of its write was lost.
@pytest.mark.parametrize("step", (None, RolloutStep.CANARY, RolloutStep.CLOSED))
def test_a_write_whose_answer_is_lost_is_read_back(step):
    mesh = RolloutMesh()
    mesh.run_for(2_000)
    if step is None:
        mesh.store.mode = "mute"
    mesh.order()
    if step is not None:
        run_until(mesh, step)
        mesh.store.mode = "mute"
    mesh.run_for(14_500 - mesh.time.now)
    assert_completed(mesh)
    assert len(mesh.store.writes) == 2


# Guards against traffic that moves, or messages that are sent, where there is one version only.
def test_with_one_version_and_no_order_nothing_changes():
    mesh = RolloutMesh(old=4, new=0)
    mesh.run_for(3_000)
    versions = mesh.daemon("a00").rollouts.begin_call(SERVICE)
    assert versions.allowed(mesh.daemons, first=True) == mesh.daemons
    assert all(each.rollouts.admits(each) for each in mesh.daemons)
    assert (mesh.refused, mesh.store.writes) == (0, [])
    assert all(not each.timeline.events for each in mesh.daemons)
    replaced = mesh.daemon("a01")
    own = replaced.rows.own
    replaced.rows.change_own(target=type(own.target)("t-9", 9_000, SERVICE, 4, True, False, OLD))
    replaced.rollouts.on_rows_changed()
    assert replaced.rollouts.admits(replaced)


# Guards against requests to targets of a new version that are started before its order is given,
# also by a daemon that is started after them.
def test_without_an_order_only_the_versions_that_were_there_first_get_requests():
    mesh = RolloutMesh()
    mesh.run_for(3_000)
    mesh.daemon("a02").restart()
    mesh.daemon("b02").restart()
    mesh.run_for(3_000)
    assert mesh.counts()[OLD] == len(mesh.runs) > 0
    assert not any(each.rollouts.admits(each) for each in mesh.daemons if each.version == NEW)


# Guards against versions that were all there at the start, of which one gets nothing.
def test_versions_that_were_started_together_all_get_requests():
    mesh = RolloutMesh(old=2, new=0)
    daemons = [SimDaemon(mesh, f"c{n}", version) for n, version in enumerate((OLD, NEW))]
    daemons[0].rows.merge([daemons[1].rows.own])
    versions = daemons[0].rollouts.begin_call(SERVICE)
    assert versions.allowed(daemons, first=True) == daemons


# Guards against a restarted daemon that sends to a version that was rolled back, or to one that has
# stopped.
@pytest.mark.parametrize(("kind", "left"), ((None, NEW), ("fails on one route", OLD)))
def test_a_restarted_daemon_keeps_to_the_version_that_is_in_force(kind, left):
    mesh = RolloutMesh()
    mesh.play(BAD[kind] if kind else None)
    restarted = mesh.daemon("a03")
    restarted.restart()
    mesh.run_for(100)
    allowed = restarted.rollouts.begin_call(SERVICE).allowed(mesh.daemons, first=True)
    assert {each.version for each in allowed} == {left}


# Guards against the same where all daemons have been restarted and only the store knows.
@pytest.mark.parametrize(("kind", "left"), ((None, NEW), ("fails on one route", OLD)))
def test_the_store_tells_restarted_daemons_which_version_is_in_force(kind, left):
    mesh = RolloutMesh()
    mesh.play(BAD[kind] if kind else None)
    writes = len(mesh.store.writes)
    for daemon in mesh.daemons:
        daemon.start()
    mesh.run_for(1_000)
    for daemon in mesh.daemons:
        allowed = daemon.rollouts.begin_call(SERVICE).allowed(mesh.daemons, first=True)
        assert {each.version for each in allowed} == {left}
    assert len(mesh.store.writes) == writes


# Guards against a bad version whose gates take their part again after a restart of their daemons.
def test_a_restarted_gate_gets_nothing_of_what_it_may_have_used():
    mesh = RolloutMesh()
    mesh.run_for(2_000)
    mesh.order()
    for _ in range(6):
        mesh.run_for(1_000)
        for number in range(4):
            mesh.daemon(f"b{number:02}").restart()
    mesh.behaviour = fails_in_part()
    mesh.run_for(6_500)
    assert_bounded(mesh)


# Guards against a version that gets all requests though none of its targets has answered, and
# against an order without an end where no target of the version is ever started.
@pytest.mark.parametrize("new", (0, 3))
def test_a_version_that_answers_nothing_is_rolled_back(new):
    mesh = RolloutMesh(new=new)
    for daemon in mesh.daemons:
        if daemon.version == NEW:
            daemon.rollouts.admits = lambda target: False
    mesh.play()
    assert (mesh.store.phase, mesh.new_runs, mesh.refused) == ("rolled_back", 0, 0)


# Guards against a version that is moved to unseen, as its targets are started late.
def test_targets_that_are_started_late_are_tried_as_long_as_there_is_time():
    mesh = RolloutMesh()
    late = [each for each in mesh.daemons if each.version == NEW]
    rows = {daemon.id: daemon.rows.own.target for daemon in late}

    def start(target_of):
        for daemon in late:
            row = daemon.rows.change_own(target=target_of(daemon))
            daemon.version = NEW if row.target else None
            for other in mesh.daemons:
                if other is not daemon:
                    other.rows.merge([row])
                other.rollouts.on_rows_changed()

    start(lambda daemon: None)
    mesh.run_for(2_000)
    mesh.order()
    mesh.run_for(7_600)
    start(lambda daemon: rows[daemon.id])
    mesh.behaviour = BAD["fails on one route"]
    mesh.run_for(5_000)
    assert_rolled_back(mesh)


# Guards against an order that is lost because its predecessor still runs.
def test_a_later_order_takes_the_place_of_a_running_one():
    mesh = RolloutMesh()
    mesh.run_for(2_000)
    mesh.order("v3")
    mesh.run_for(3_000)
    mesh.ordered_at = None
    mesh.order(NEW)
    mesh.run_for(12_500)
    assert_completed(mesh)


# Guards against an order that counts as completed since its predecessor was about to be: the new
# order is read between the decision to write the status and the write.
def test_the_status_of_an_order_is_not_written_to_the_next_one(monkeypatch):
    mesh = RolloutMesh()
    mesh.run_for(2_000)
    mesh.order()
    run_until(mesh, RolloutStep.CLOSED)
    lead = next(daemon.rollouts.lead for daemon in mesh.daemons if daemon.rollouts.lead.is_leader())
    writes, run_write = [], lead._run_write
    monkeypatch.setattr(lead, "_run_write", lambda *arguments: writes.append(arguments))
    while not writes:
        mesh.run_for(50)
    mesh.order("v3")
    lead.on_objects([mesh.store.read("rollouts", SERVICE)])
    run_write(*writes[0])
    assert mesh.store.phase != "completed"


# Guards against an order that starts anew each time that the same one is written.
def test_the_same_order_again_changes_nothing():
    mesh = RolloutMesh()
    mesh.run_for(2_000)
    mesh.order()
    mesh.run_for(4_000)
    status = mesh.store.status
    mesh.order()
    mesh.store.status = status
    mesh.run_for(8_500)
    assert_completed(mesh)
    assert mesh.steps()["trial"] > 7_000


# Guards against a version that is called bad because one target ended with all its requests.
def test_requests_that_are_lost_together_are_one_fault():
    evidence = GateEvidence()
    for number in range(8):
        evidence.record_lost("view", 30.0, 1_000.0 + number)
    evidence.record_lost("view", 30.0, 5_000.0)
    assert [route.bad for route in evidence.routes] == [2]


# Guards against frames that a daemon of an older build can't read, which would close its link.
def test_a_peer_of_an_older_build_gets_no_frames_of_a_rollout():
    mesh = RolloutMesh()
    mesh.play()
    sent = []
    peer = SimPeer(mesh, mesh.daemon("a00"), mesh.daemon("a01"), protocol=3)
    peer.send_frame = sent.append
    mesh.daemon("a00").rollouts.on_link(peer)
    assert sent == []
