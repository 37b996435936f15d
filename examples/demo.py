"""Run the Zagreb mesh through tickets, calls and a daemon failure, and check each step."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from start import EXAMPLES, Deployment, get_json, load_deployment

CALL_SECONDS = 4
CONVERGENCE_LIMIT_MS = 9_000


class Demo:
    """The steps of the demo; `checks` holds the name, observed value and verdict of each check."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.checks: list[tuple[str, str, bool]] = []

    def add_check(self, name: str, observed: str, passed: bool) -> None:
        """Add the result of a check."""
        self.checks.append((name, observed, passed))

    def run(self) -> None:
        """Run all steps in order."""
        first = self.put_in_force("1-services-and-routes.toml")
        self.await_targets()
        self.send_calls()
        self.put_in_force("2-march-weekend.toml")
        self.kill_a_daemon()
        self.check_show(first)

    def put_in_force(self, ticket: str) -> int:
        """File and accept a ticket, wait until all daemons have it, and check how long that took.

        Return the ticket's number.
        """
        path = EXAMPLES / "zagreb" / "tickets" / ticket
        number = self.deployment.ctl("file", str(path))["number"]
        accepted = self.deployment.ctl("accept", str(number))
        version = accepted["version"]
        for instance in self.deployment.instances:
            self.deployment.await_status(instance, lambda s: s["version"] >= version and s["ready"])
        took_ms = self._convergence_ms(version)
        passed = took_ms <= CONVERGENCE_LIMIT_MS
        count = len(self.deployment.instances)
        self.add_check(
            f"ticket {number} in force", f"{count} daemons, the last after {took_ms:.0f} ms", passed
        )
        return number

    def _convergence_ms(self, version: int) -> float:
        """Return the time from the acceptance of `version` until the last daemon has it."""
        accepted_at = 0.0
        latest = 0.0
        url = f"http://127.0.0.1:{self.deployment.platform_port}/v1/objects/changes/{version:012d}"
        accepted_at = get_json(url)["accepted_at_ms"]
        for instance in self.deployment.instances:
            page = get_json(f"http://{instance.operator_address}/v1/events")
            times = [e["at_ms"] for e in page["events"] if e.get("version", 0) >= version]
            latest = max(latest, min(times))
        return latest - accepted_at

    def await_targets(self) -> None:
        """Wait up to 30 s until every daemon knows every target, and check that."""
        expected = len(self.deployment.instances)
        deadline = time.monotonic() + 30
        counts: list[int] = []
        while time.monotonic() < deadline:
            counts = [
                sum(len(m["status"]["targets"]) for m in page["members"])
                for page in (
                    get_json(f"http://{i.operator_address}/v1/fleet")
                    for i in self.deployment.instances
                )
                if page
            ]
            if counts == [expected] * expected:
                break
            time.sleep(0.1)
        self.add_check(
            "targets announced", f"{min(counts)} known everywhere", min(counts) == expected
        )

    def send_calls(self) -> None:
        """Send all kinds of calls concurrently to all daemons, and check the answers."""
        kinds = {
            "pool pages (through the ledger)": ("GET", "/pool", 25),
            "totals": ("GET", "/ledger", 60),
            "guest lists (long)": ("GET", "/guests", 5),
            "contributions (once only)": ("POST", "/contributions", 6),
            "payouts (once only)": ("POST", "/payouts", 4),
        }
        running = {
            name: self.start_caller(*kind, seed)
            for seed, (name, kind) in enumerate(kinds.items(), start=1)
        }
        for name, process in running.items():
            self.check_calls(name, process)
        repeated = [
            key
            for instance in self.deployment.instances
            # The target listens on the last of the four ports of its instance.
            for key, runs in get_json(f"http://127.0.0.1:{instance.port + 3}/admin/runs").items()
            if runs > 1 and instance.service == "payout-desk"
        ]
        self.add_check("payouts run twice", str(len(repeated)), not repeated)

    def kill_a_daemon(self) -> None:
        """Kill a daemon under load, check that the others serve all calls, and restart it."""
        victim = self.deployment.instances[-1]
        process = self.start_caller("GET", "/ledger", 60, seed=9, excluded=victim)
        time.sleep(1)
        victim.daemon.kill()
        victim.daemon.wait()
        self.check_calls(f"totals while {victim.id}'s daemon is killed", process)
        self.deployment.start_daemon(victim)
        status = self.deployment.await_status(victim, lambda s: s["ready"])
        self.add_check("the daemon is replaced", f"at version {status['version']}", True)

    def start_caller(self, method: str, path: str, rate: float, seed: int, excluded=None):
        """Start a stand-in caller that calls all instances but `excluded`; return its process."""
        ports = [str(i.port) for i in self.deployment.instances if i is not excluded]
        return subprocess.Popen(
            [
                *(sys.executable, "-m", "standins.caller", "--ports", ",".join(ports)),
                *("--method", method, "--path", path, "--rate", str(rate)),
                *("--seconds", str(CALL_SECONDS), "--seed", str(seed)),
            ],
            stdout=subprocess.PIPE,
            text=True,
            env={**os.environ, "PYTHONPATH": str(EXAMPLES)},
        )

    def check_calls(self, name: str, process: subprocess.Popen) -> None:
        """Wait for a stand-in caller to end and check that every call was answered."""
        totals = json.loads(process.communicate()[0])
        observed = f"{totals['ok']} of {totals['sent']} answered, p50 {totals['p50_ms']} ms"
        others = {k: v for k, v in totals["results"].items() if k != "ok"}
        self.add_check(name, f"{observed} {others or ''}".rstrip(), totals["ok"] == totals["sent"])

    def check_show(self, number: int) -> None:
        """Check that `egretctl show` reports the ticket in force at all daemons."""
        rollout = self.deployment.ctl("show", str(number))
        observed = f"in force at {rollout['in_force']} of {rollout['daemons']} daemons"
        self.add_check(
            "egretctl show", observed, rollout["in_force"] == len(self.deployment.instances)
        )

    def report(self) -> bool:
        """Print the table of checks and return whether all passed."""
        width = max(len(name) for name, _, _ in self.checks)
        for name, observed, passed in self.checks:
            print(f"{'ok  ' if passed else 'FAIL'}  {name.ljust(width)}  {observed}")
        return all(passed for _, _, passed in self.checks)


def main() -> None:
    """Run the demo; exit with status 0 only if all checks pass."""
    with tempfile.TemporaryDirectory(prefix="egretworks-") as folder:
        deployment = load_deployment("zagreb", Path(folder))
        demo = Demo(deployment)
        try:
            print("starting the Zagreb mesh: 13 daemons, 13 targets and the platform's stand-in")
            deployment.start()
            demo.run()
        finally:
            deployment.stop()
    sys.exit(0 if demo.report() else 1)


if __name__ == "__main__":
    main()
