"""Test the limit of a team's requests over the whole mesh, in calm times and under failures."""

import msgspec
import pytest
from fleets import make_fleet
from quotasim import BOUNDS, QuotaMesh, make_teams

from egretworks.quotapool import MAX_LAG_MS, QuotaBounds, QuotaPools
from egretworks.quotashare import (
    LEAVING_COUNTED_MS,
    MAX_MINTED_MS,
    POOLS,
    QuotaShare,
    pool_of,
    rank_keepers,
    shard_count,
)
from egretworks.teams import MeshTeam

# The usual rate of a team is this share of its limit.
USUAL = 1 / 1.6
TEAMS = make_teams()
# Fewer teams of all sizes, for tests that play many times the usual load.
SOME_TEAMS = {name: team for number, (name, team) in enumerate(TEAMS.items()) if number % 6 == 4}


def started(daemons=59, teams=TEAMS, share=USUAL, seed=1):
    """Return a mesh two seconds after its start, with teams at `share` of their limits."""
    mesh = QuotaMesh(daemons, teams, seed)
    mesh.load(share)
    mesh.run_for(2_000)
    mesh.forget()
    return mesh


# Guards against refusing what is owed: at most 1 in 200 of the requests within the limits.
@pytest.mark.parametrize(("daemons", "run_ms"), [(59, 10_000), (300, 4_000)])
@pytest.mark.parametrize("burst_share", [0.2, 1.0])
def test_teams_within_their_limits_are_not_refused(daemons, run_ms, burst_share):
    mesh = started(daemons, make_teams(burst_share))
    mesh.run_for(run_ms)
    assert mesh.refused_share() <= 1 / 200
    mesh.check_bound()


# Guards against one team taking more than its quota when all daemons get its requests at once, and
# against refusing other teams for it.
@pytest.mark.parametrize("name", ["t10", "t40", "t70"])
def test_a_team_at_nine_times_its_usual_rate_gets_its_quota_and_no_more(name):
    mesh = started()
    mesh.load(9 * USUAL, [name])
    mesh.run_for(10_000)
    team = mesh.teams[name]
    served = sum(at > 7_000 for at in mesh.passed[name]) / 5
    assert served == pytest.approx(team.rate_per_s, rel=0.15, abs=2)
    mesh.check_bound()
    others = [other for other in mesh.teams if other != name]
    refused = sum(len(mesh.refused[other]) + mesh.unknown[other] for other in others)
    assert refused <= sum(mesh.asked[other] for other in others) / 200


# Guards against refusals for longer than a pool needs to be replaced.
def test_when_the_keeper_of_a_pool_dies_the_next_one_serves_within_two_seconds():
    mesh = started()
    keeper = mesh.keeper("t40")
    keeper.dead_since = mesh.time.now
    mesh.run_for(2_000)
    mesh.forget()
    mesh.run_for(5_000)
    assert mesh.refused_share() <= 1 / 200
    mesh.check_bound()


# Guards against a frozen keeper that hands out, when it wakes, what others have handed out since;
# the team was almost idle, which fills both pools, and uses all that it gets from just before then.
@pytest.mark.parametrize("frozen_ms", [400, 1_700, 9_000])
@pytest.mark.parametrize("name", ["t5", "t40", "t58"])
def test_a_keeper_that_froze_hands_nothing_out_twice(name, frozen_ms):
    mesh = started(teams=make_teams(burst_share=3.0), share=0.1)
    mesh.run_for(8_000)
    keeper = mesh.keeper(name)
    keeper.frozen_since = mesh.time.now
    mesh.run_for(frozen_ms)
    mesh.stop_load()
    mesh.load(9.0, [name])
    mesh.run_for(700)
    keeper.wake()
    mesh.run_for(6_000)
    mesh.check_bound()


# Guards against two parts of the mesh that each serve a team at its whole rate.
def test_a_third_of_the_daemons_that_is_cut_off_serves_a_third():
    mesh = started(teams=SOME_TEAMS, share=4.0)
    mesh.cut_off(mesh.all[::3])
    mesh.run_for(5_000)
    mesh.check_bound()
    mesh.forget()
    mesh.passed.clear()
    mesh.stop_load()
    mesh.load(USUAL)
    mesh.run_for(5_000)
    mesh.check_bound()
    assert mesh.refused_share() <= 0.05
    mesh.cut_off(mesh.all, group=0)
    mesh.stop_load()
    mesh.load(4.0)
    mesh.run_for(6_000)
    mesh.check_bound()


# Guards against double service by daemons that disagree on who keeps a pool: half of them don't
# see the others' choice, as their links to it have failed.
def test_two_daemons_that_keep_the_same_pool_hand_out_one_quota():
    mesh = started(teams=SOME_TEAMS, share=0.1)
    mesh.run_for(3_000)
    now = mesh.time.now
    for daemon in mesh.all[::2]:
        for pool in range(POOLS):
            first = rank_keepers(mesh.daemons, pool)[0]
            daemon.client._avoided_until_by_id[first] = now + 60_000
    mesh.run_for(3_000)
    mesh.stop_load()
    mesh.load(9.0)
    mesh.run_for(6_000)
    mesh.check_bound()


# Guards against daemons that each take themselves for the whole mesh after a restart of all.
def test_daemons_that_restart_without_knowing_each_other_hand_nothing_out():
    mesh = started(share=2.0)
    passed = sum(map(len, mesh.passed.values()))
    for daemon in mesh.all:
        daemon.start(first_start=False, listed=False, rows=())
    mesh.run_for(3_000)
    assert sum(map(len, mesh.passed.values())) == passed
    for daemon in mesh.all:
        daemon.rows.merge(mesh.rows)
        daemon.rows.listed = True
    mesh.run_for(5_000)
    assert sum(map(len, mesh.passed.values())) > passed
    mesh.check_bound()


# Guards against daemons of a new mesh that each mint by the few others that they know as yet, and
# that each add tokens for the first start.
@pytest.mark.parametrize(("gap_ms", "known_after_ms"), [(20, 300), (100, 1_000)])
def test_daemons_that_start_one_after_the_other_keep_the_bound(gap_ms, known_after_ms):
    mesh = QuotaMesh(59, {name: TEAMS[name] for name in ("t0", "t20", "t40", "t70")})
    started_daemons = []

    def start(number):
        daemon = mesh.all[number]
        daemon.dead_since = None
        daemon.start(first_start=True, rows=mesh.rows[: number + 1])
        started_daemons.append(daemon)
        for other in started_daemons:
            delay_ms = known_after_ms * mesh.random.random()
            mesh.time.call_later(delay_ms, other.rows.merge, [daemon.row])

    for number, daemon in enumerate(mesh.all):
        daemon.dead_since = -10_000
        mesh.time.call_later(number * gap_ms, start, number)
    mesh.load(9.0)
    mesh.run_for(59 * gap_ms + 6_000)
    assert mesh.passed["t70"]
    mesh.check_bound()


# Guards against minting for a daemon that leaves while others take over its part, and for one that
# is back before they count it again.
def test_a_leaving_daemon_is_counted_for_a_while_and_mints_nothing():
    own, *others = make_fleet(4, 1)
    share = QuotaShare(first_start=False)
    share.update(own, [own, *others], 0.0, listed=True)
    share.update(own, [own, *others], 1_000.0, listed=True)
    assert (share.mint(0, 1_000.0), share.mint(0, 1_100.0)) == (0, 100)
    assert share.mint(0, 9_000.0) == MAX_MINTED_MS
    left = msgspec.structs.replace(others[0], leaving=True)
    share.update(own, [own, left, *others[1:]], 10_000.0, listed=True)
    assert share.daemons == 4
    assert left.id not in share.ids
    share.update(own, [own, left, *others[1:]], 10_000.0 + LEAVING_COUNTED_MS, listed=True)
    assert share.daemons == 3
    own = msgspec.structs.replace(own, leaving=True)
    share.update(own, [own, left, *others[1:]], 21_000.0, listed=True)
    assert share.mint(0, 21_100.0) == 0.0


# Guards against a daemon that blames the keeper of each pool for its own pause.
def test_a_daemon_that_was_paused_avoids_no_keeper():
    mesh = started(12)
    mesh.stop_load()
    mesh.run_for(500)
    keeper = mesh.keeper("t40")
    daemon = next(each for each in mesh.all if each is not keeper)
    mesh.request("t40", daemon=daemon)
    daemon.frozen_since = mesh.time.now
    mesh.run_for(3_000)
    daemon_woke_at = mesh.time.now
    daemon.wake()
    mesh.run_for(200)
    assert not daemon.client._avoided_until_by_id
    assert mesh.passed["t40"][-1] > daemon_woke_at


# Guards against what was saved up under a higher limit being used under a lower one.
def test_a_lowered_limit_holds_at_once():
    mesh = started(share=0.1)
    mesh.run_for(2_000)
    mesh.stop_load()
    mesh.teams = {
        name: msgspec.structs.replace(team, rate_per_s=team.rate_per_s / 5, burst=team.burst / 5)
        for name, team in mesh.teams.items()
    }
    mesh.passed.clear()
    mesh.load(9.0)
    mesh.run_for(6_000)
    mesh.check_bound()


# Guards against charging a team for requests that have certainly not run, and against tokens that
# are renewed by being given back over and over.
def test_tokens_of_requests_that_did_not_run_are_given_back():
    mesh = started(share=0.0001)
    name, ran = "t40", []

    def refuse_most(client, ticket, error, after_ms):
        if error is None:
            not_run = mesh.random.random() < 0.8
            mesh.time.call_later(30, lambda: client.end(ticket, not_run=not_run))
            if not not_run:
                ran.append(mesh.time.now)

    mesh.load(4.0, [name], refuse_most)
    mesh.run_for(10_000)
    # Without returns at most the rate would pass, a fifth of which would run.
    assert len(ran) / 10 > 0.6 * mesh.teams[name].rate_per_s
    mesh.passed = {name: ran}
    mesh.check_bound()


# Guards against a token that is lost when its caller has left before it came.
def test_the_token_of_a_caller_that_left_is_not_used():
    mesh = started(share=0.0001)

    def leave(name):
        mesh.request(name)
        daemon = next(each for each in mesh.all if any(p.pending for p in each.client._pools))
        ticket = next(p.pending.tickets[0] for p in daemon.client._pools if p.pending)
        daemon.client.end(ticket)
        return daemon, ticket

    passed = len(mesh.passed["t40"])
    daemon, ticket = leave("t40")
    mesh.run_for(20)
    assert len(mesh.passed["t40"]) == passed
    assert daemon.client._pools[ticket.pool].returned == [ticket]


# Guards against a Retry-After that brings callers back in vain, or much too late.
def test_callers_that_return_after_the_time_they_are_told_get_a_token():
    mesh = started()
    name, outcomes, waits = "t30", [], []

    def come_back(client, ticket, error, after_ms):
        if error is not None:
            waits.append(after_ms)
            mesh.time.call_later(after_ms, mesh.request, name, again)

    def again(client, ticket, error, after_ms):
        outcomes.append(error is None)

    mesh.stop_load()
    for _ in range(60):
        mesh.request(name, come_back)
    mesh.run_for(8_000)
    assert len(outcomes) > 10
    assert sum(outcomes) / len(outcomes) > 0.8
    needed_ms = len(outcomes) / mesh.teams[name].rate_per_s * 1_000
    assert max(waits) <= min(needed_ms, BOUNDS.window_ms) * 1.6 + 100
    assert len(set(waits)) == len(waits)


def test_large_teams_are_split_evenly_over_pools_and_small_ones_are_not():
    big, small = MeshTeam("big", (), 0, 250.0, 100.0), MeshTeam("small", (), 0, 20.0, 5.0)
    daemons = [f"d{number}" for number in range(300)]
    assert (shard_count(big), shard_count(small)) == (3, 1)
    counts = [sum(pool_of(big, each) == pool for each in daemons) for pool in range(POOLS)]
    assert sorted(counts)[:-3] == [0] * (POOLS - 3)
    assert min(sorted(counts)[-3:]) > 70
    assert len({pool_of(small, each) for each in daemons}) == 1


# Guards against keeping so much that tokens on their way, which are not in a pool, break the bound.
def test_bounds_without_overshoot_keep_less():
    team = MeshTeam("north", (), 0, 10.0, 20.0)
    generous, strict = QuotaBounds(5_000, 0.1, 20), QuotaBounds(5_000, 0.0, 20)
    uncovered_ms = MAX_LAG_MS - 0.1 * 5_000
    assert generous.capacity(team) == pytest.approx(36 - 10 * uncovered_ms / 1_000)
    assert strict.capacity(team) == pytest.approx(36 - 10 * MAX_LAG_MS / 1_000)


# Guards against unbounded state for teams that are configured no longer.
def test_a_pool_forgets_removed_teams():
    mesh = started(12)
    mesh.stop_load()
    mesh.teams = {"t1": TEAMS["t1"]}
    mesh.run_for(500)
    kept = [stocks for each in mesh.all for stocks in each.client._kept._stocks_by_pool.values()]
    assert {name for stocks in kept for name in stocks} == {"t1"}
    assert isinstance(mesh.all[0].client._kept, QuotaPools)
