"""Prove that planned stops cut no request and that leaving targets get no new work."""

import json
import signal
import subprocess
import sys
import time

from faultproxy import Fault
from processes import LEDGER_TICKET, PAYOUT_TICKET, ROOT, ask_json, wait_for

# What "after a few seconds" is taken to mean, from a target's word to its last new call.
LEAVING_BOUND_S = 5


class Load:
    """Run the callers' stand-in beside a test, for `seconds` or until it is stopped."""

    def __init__(self, daemons, path="/ledger", rate=120, seconds=6, method="GET", seed=1):
        ports = ",".join(str(daemon.call_port) for daemon in daemons)
        self.popen = subprocess.Popen(
            [
                *(sys.executable, "-m", "standins.caller", "--ports", ports, "--path", path),
                *("--rate", str(rate), "--seconds", str(seconds), "--method", method),
                *("--seed", str(seed), "--timeout-ms", "5000"),
            ],
            stdout=subprocess.PIPE,
            text=True,
            cwd=ROOT / "examples",
        )

    def stop(self):
        """End the load and return its totals."""
        self.popen.send_signal(signal.SIGTERM)
        return self.totals()

    def totals(self):
        return json.loads(self.popen.communicate(timeout=60)[0])


def assert_all_answered(totals):
    assert totals["ok"] == totals["sent"], totals["results"]


def start(mesh, daemons=3, ticket=LEDGER_TICKET, service="ledger", **options):
    started = mesh.start_daemons(daemons)
    for index, daemon in enumerate(started):
        mesh.start_target(f"t{index}", service, daemon, **options)
    mesh.put_in_force(ticket)
    mesh.await_targets(daemons)
    return started


def test_daemons_stopped_one_after_another_twice_cut_no_request(mesh):
    daemons = start(mesh)
    load = Load(daemons, seconds=120)
    for _ in range(2):
        for daemon in daemons:
            daemon.signal(signal.SIGTERM)
            daemon.signal(signal.SIGTERM)
            assert daemon.wait() == 0
            daemon.start()
            wait_for(lambda d=daemon: (d.status() or {}).get("ready"), "the daemon to be back")
            mesh.await_targets(3)
    assert_all_answered(load.stop())


def test_idle_connections_hold_no_stop_up(mesh):
    daemons = start(mesh)
    load = Load(daemons, seconds=60)
    for daemon in daemons[:2]:
        daemon.signal(signal.SIGTERM)
        started = time.monotonic()
        assert daemon.wait() == 0
        # Half of the time that connections in use would get.
        assert time.monotonic() - started < 7.5
        daemon.start()
        wait_for(lambda d=daemon: (d.status() or {}).get("ready"), "the daemon to be back")
        mesh.await_targets(3)
    assert_all_answered(load.stop())


def test_targets_stopped_one_after_another_cut_no_request(mesh):
    daemons = start(mesh, work_ms=20)
    load = Load(daemons, seconds=120)
    for target in mesh.targets:
        target.signal(signal.SIGTERM)
        assert target.wait() == 0
        target.start()
        wait_for(target.counts, "the target to be back")
        mesh.await_targets(3)
    assert_all_answered(load.stop())


def test_a_stop_while_the_platform_hangs_cuts_no_request(mesh):
    proxy = mesh.proxy(mesh.platform.port)
    daemons = mesh.start_daemons(3, platform_port=proxy.port)
    for index, daemon in enumerate(daemons):
        mesh.start_target(f"t{index}", "ledger", daemon)
    mesh.put_in_force(LEDGER_TICKET)
    mesh.await_targets(3)
    proxy.set(Fault.FREEZE)
    load = Load(daemons, seconds=5)
    time.sleep(1)
    daemons[0].signal(signal.SIGTERM)
    assert daemons[0].wait() == 0
    assert_all_answered(load.totals())


def test_once_only_calls_survive_planned_stops(mesh):
    daemons = start(mesh, ticket=PAYOUT_TICKET, service="payout-desk")
    load = Load(daemons, path="/payouts", rate=20, seconds=8, method="POST")
    for daemon in daemons[:2]:
        daemon.signal(signal.SIGTERM)
        assert daemon.wait() == 0
        daemon.start()
        wait_for(lambda d=daemon: (d.status() or {}).get("ready"), "the daemon to be back")
    assert_all_answered(load.totals())
    runs = [n for target in mesh.targets for n in target.runs().values()]
    assert max(runs) == 1


def test_a_leaving_target_gets_no_new_work_while_the_platform_is_down(mesh):
    daemons = start(mesh)
    mesh.platform.kill()
    assert_left_alone(mesh, daemons, mesh.targets[0])


def test_a_leaving_target_gets_no_new_work_while_its_daemon_is_frozen(mesh):
    daemons = start(mesh)
    daemons[0].signal(signal.SIGSTOP)
    assert_left_alone(mesh, daemons[1:], mesh.targets[0])


def test_a_leaving_target_gets_no_new_work_when_the_bearer_of_the_news_is_killed(mesh):
    daemons = start(mesh)
    ask_json(mesh.targets[0].port, "/admin/leave", "PUT", b"")
    daemons[0].kill()
    assert_left_alone(mesh, daemons[1:], mesh.targets[0])


def assert_left_alone(mesh, daemons, target):
    """Let `target` say that it leaves; after the bound, calls are served and none is tried there.

    The target counts each call that reaches it after its word as shed.
    """
    ask_json(target.port, "/admin/leave", "PUT", b"")
    load = Load(daemons, seconds=LEAVING_BOUND_S, rate=60)
    assert_all_answered(load.totals())
    shed = target.counts()["shed"]
    assert_all_answered(Load(daemons, seconds=2, rate=60, seed=2).totals())
    assert target.counts()["shed"] == shed
