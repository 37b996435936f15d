"""Test that graceful shutdowns interrupt no request and that leaving targets get no new work."""

import json
import signal
import socket
import subprocess
import sys
import time

from faultproxy import Fault
from processes import LEDGER_TICKET, PAYOUT_TICKET, ROOT, ask_json, wait_for

# The requirement says that a leaving target gets no new calls "after a few seconds". The tests take
# this as 5 s from the announcement.
MAX_LEAVING_S = 5


class Load:
    """Background load from the stand-in caller, for `seconds` or until `stop` is called."""

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
        """Stop sending and return the totals."""
        self.popen.send_signal(signal.SIGTERM)
        return self.totals()

    def totals(self):
        """Wait for the load to end and return its totals."""
        return json.loads(self.popen.communicate(timeout=60)[0])


def assert_all_answered(totals):
    """Check that every request got status 200 and the answer to itself."""
    assert totals["ok"] == totals["sent"], totals["results"]


def start_mesh(mesh, count=3, ticket=LEDGER_TICKET, service="ledger", **options):
    """Start `count` daemons with a target each, put `ticket` in force and return the daemons."""
    daemons = mesh.start_daemons(count)
    for index, daemon in enumerate(daemons):
        mesh.start_target(f"t{index}", service, daemon, **options)
    mesh.put_in_force(ticket)
    mesh.await_targets(count)
    return daemons


def test_a_rolling_restart_of_daemons_interrupts_no_request(mesh):
    daemons = start_mesh(mesh)
    load = Load(daemons, seconds=120)
    for _ in range(2):
        for daemon in daemons:
            daemon.signal(signal.SIGTERM)
            daemon.signal(signal.SIGTERM)
            assert daemon.wait() == 0
            daemon.start()
            wait_for(
                lambda d=daemon: (d.status() or {}).get("ready"), "the daemon to be ready again"
            )
            mesh.await_targets(3)
    assert_all_answered(load.stop())


def test_idle_connections_do_not_delay_a_shutdown(mesh):
    daemons = start_mesh(mesh)
    load = Load(daemons, seconds=60)
    for daemon in daemons[:2]:
        daemon.signal(signal.SIGTERM)
        stopped_at = time.monotonic()
        assert daemon.wait() == 0
        # Half of the default `drain_ms`, the time that connections in use get to finish.
        assert time.monotonic() - stopped_at < 7.5
        daemon.start()
        wait_for(lambda d=daemon: (d.status() or {}).get("ready"), "the daemon to be ready again")
        mesh.await_targets(3)
    assert_all_answered(load.stop())


def test_a_rolling_restart_of_targets_interrupts_no_request(mesh):
    daemons = start_mesh(mesh, work_ms=20)
    load = Load(daemons, seconds=120)
    for target in mesh.targets:
        target.signal(signal.SIGTERM)
        assert target.wait() == 0
        target.start()
        wait_for(target.counts, "the target to answer again")
        mesh.await_targets(3)
    assert_all_answered(load.stop())


def test_a_shutdown_while_the_platform_hangs_interrupts_no_request(mesh):
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


def test_once_only_calls_run_once_across_graceful_shutdowns(mesh):
    daemons = start_mesh(mesh, ticket=PAYOUT_TICKET, service="payout-desk")
    load = Load(daemons, path="/payouts", rate=20, seconds=8, method="POST")
    for daemon in daemons[:2]:
        daemon.signal(signal.SIGTERM)
        assert daemon.wait() == 0
        daemon.start()
        wait_for(lambda d=daemon: (d.status() or {}).get("ready"), "the daemon to be ready again")
    assert_all_answered(load.totals())
    runs = [n for target in mesh.targets for n in target.runs().values()]
    assert max(runs) == 1


def test_a_leaving_target_gets_no_new_work_while_the_platform_is_down(mesh):
    daemons = start_mesh(mesh)
    mesh.platform.kill()
    assert_gets_no_new_work(mesh, daemons, mesh.targets[0])


def test_a_leaving_target_gets_no_new_work_while_its_daemon_is_frozen(mesh):
    daemons = start_mesh(mesh)
    daemons[0].signal(signal.SIGSTOP)
    assert_gets_no_new_work(mesh, daemons[1:], mesh.targets[0])


def test_a_leaving_target_gets_no_new_work_when_its_daemon_is_killed(mesh):
    daemons = start_mesh(mesh)
    ask_json(mesh.targets[0].port, "/admin/leave", "PUT", b"")
    daemons[0].kill()
    assert_gets_no_new_work(mesh, daemons[1:], mesh.targets[0])


def assert_gets_no_new_work(mesh, daemons, target):
    """Make `target` leave; check that all calls succeed, and none is sent to it after the limit.

    The limit is `MAX_LEAVING_S`. A target refuses every call that arrives after it began to leave,
    and counts it as shed.
    """
    ask_json(target.port, "/admin/leave", "PUT", b"")
    load = Load(daemons, seconds=MAX_LEAVING_S, rate=60)
    assert_all_answered(load.totals())
    shed = target.counts()["shed"]
    assert_all_answered(Load(daemons, seconds=2, rate=60, seed=2).totals())
    assert target.counts()["shed"] == shed


# Guards against a request that is taken late in the drain and cut off at its end.
def test_a_request_that_is_whole_late_in_the_drain_is_refused_and_has_not_run(mesh):
    (daemon,) = mesh.start_daemons(1, extra="[calls]\ndrain_ms = 4000\n")
    target = mesh.start_target("t0", "ledger", daemon, work_ms=3_000)
    mesh.put_in_force(LEDGER_TICKET)
    mesh.await_targets(1)
    with socket.create_connection(("127.0.0.1", daemon.call_port), timeout=10) as sock:
        sock.sendall(b"GET /ledger/late HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n")
        time.sleep(0.2)
        daemon.signal(signal.SIGTERM)
        time.sleep(3.2)
        sock.sendall(b"gift")
        answer = sock.recv(65_536)
    assert answer.startswith(b"HTTP/1.1 503")
    assert daemon.wait() == 0
    assert target.runs() == {}
