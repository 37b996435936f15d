"""Test a call's path from an accepted ticket through routing to a target, with daemons failing."""

import json

from processes import LEDGER_TICKET, wait_for


def test_a_ticket_comes_into_force_and_calls_are_routed_by_it(mesh):
    daemons = mesh.start_daemons(3, data_centres=("zg-trnje", "zg-dubrava"))
    for daemon in daemons:
        mesh.start_target(f"t-{daemon.id}", "ledger", daemon)
    number = mesh.ctl("file", mesh.ticket_file(LEDGER_TICKET), "--json")["number"]
    assert number == 1
    version = mesh.ctl("accept", 1, "--json")["version"]
    mesh.await_version(version)
    mesh.await_targets(3)

    for daemon in daemons:
        status, _, body = daemon.call("/ledger/balance?of=7")
        assert status == 200
        assert json.loads(body)["query"] == "of=7"
    rollout = mesh.ctl("show", 1, "--json")
    assert rollout["ticket"]["state"] == "accepted"
    assert rollout["in_force"] == rollout["daemons"] == 3


def test_calls_succeed_while_any_one_daemon_is_down(mesh):
    daemons = mesh.start_daemons(3)
    for daemon in daemons:
        mesh.start_target(f"t-{daemon.id}", "ledger", daemon)
    mesh.put_in_force(LEDGER_TICKET)
    mesh.await_targets(3)
    for victim in daemons:
        victim.kill()
        others = [daemon for daemon in daemons if daemon is not victim]
        answers = [daemon.call("/ledger/x")[0] for daemon in others for _ in range(20)]
        assert answers == [200] * 40
        victim.start()
        wait_for(lambda d=victim: (d.status() or {}).get("ready"), f"{victim.id} to be ready again")
        mesh.await_targets(3)


def test_a_request_without_a_route_is_refused_as_not_run(mesh):
    (daemon,) = mesh.start_daemons(1)
    mesh.put_in_force(LEDGER_TICKET)
    status, headers, body = daemon.call("/elsewhere")
    assert status == 404
    assert headers["Egret-Not-Run"] == "true"
    assert json.loads(body)["error"] == "call.no_route"


def test_a_chain_of_calls_runs_eleven_hops_and_no_more_within_one_deadline(mesh):
    daemons = mesh.start_daemons(4)
    for daemon in daemons:
        next_hop = f"127.0.0.1:{daemon.call_port}/ledger/on"
        mesh.start_target(f"t-{daemon.id}", "ledger", daemon, calls=next_hop, work_ms=1)
    mesh.put_in_force(LEDGER_TICKET.replace("match =", "timeout_ms = 20000\nmatch ="))
    mesh.await_targets(4)
    headers = {"Egret-Call-Id": "deep", "Egret-Deadline-Ms": "15000"}
    status, answer, _ = daemons[0].call("/ledger/x", headers=headers, timeout=30)
    # The call that the eleventh target makes is refused for its depth. Each target along the chain
    # then answers 502 itself, so the status comes from a target and not from a daemon.
    assert status == 502
    assert "Egret-Error" not in answer
    assert sum(target.runs().get("deep", 0) for target in mesh.targets) == 11
