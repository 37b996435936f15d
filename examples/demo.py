"""Run the Zagreb mesh for real, show a ticket coming into force and calls served, and judge it."""

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
    """Hold what the demo saw: a line and a verdict for each check."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.rows: list[tuple[str, str, bool]] = []

    def check(self, what: str, seen: str, held: bool) -> None:
        """Add a check with what was seen."""
        self.rows.append((what, seen, held))

    def run(self) -> None:
        """Take the mesh through a day's events."""
        first = self.put_in_force("1-services-and-routes.toml")
        self.await_targets()
        self.send_calls()
        self.put_in_force("2-march-weekend.toml")
        self.lose_a_daemon()
        self.show(first)

    def put_in_force(self, ticket: str) -> int:
        """File and accept a ticket, and measure until the last daemon has it."""
        path = EXAMPLES / "zagreb" / "tickets" / ticket
        number = self.deployment.ctl("file", str(path))["number"]
        accepted = self.deployment.ctl("accept", str(number))
        version = accepted["version"]
        for instance in self.deployment.instances:
            self.deployment.await_status(instance, lambda s: s["version"] >= version and s["ready"])
        took_ms = self._convergence_ms(version)
        held = took_ms <= CONVERGENCE_LIMIT_MS
        count = len(self.deployment.instances)
        self.check(
            f"ticket {number} in force", f"{count} daemons, the last after {took_ms:.0f} ms", held
        )
        return number

    def _convergence_ms(self, version: int) -> float:
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
        """Wait until every daemon knows every target."""
        wanted = len(self.deployment.instances)
        until = time.monotonic() + 30
        seen: list[int] = []
        while time.monotonic() < until:
            seen = [
                sum(len(m["status"]["targets"]) for m in page["members"])
                for page in (
                    get_json(f"http://{i.operator_address}/v1/fleet")
                    for i in self.deployment.instances
                )
                if page
            ]
            if seen == [wanted] * wanted:
                break
            time.sleep(0.1)
        self.check("targets announced", f"{min(seen)} known everywhere", min(seen) == wanted)

    def send_calls(self) -> None:
        """Send the four kinds of calls at once, to all daemons."""
        kinds = {
            "pool pages (through the ledger)": ("GET", "/pool", 25),
            "totals": ("GET", "/ledger", 60),
            "guest lists (long)": ("GET", "/guests", 5),
            "contributions (once only)": ("POST", "/contributions", 6),
            "payouts (once only)": ("POST", "/payouts", 4),
        }
        running = {
            what: self.caller(*kind, seed)
            for seed, (what, kind) in enumerate(kinds.items(), start=1)
        }
        for what, process in running.items():
            self.judge_calls(what, process)
        repeated = [
            key
            for instance in self.deployment.instances
            for key, runs in get_json(f"http://127.0.0.1:{instance.port + 3}/admin/runs").items()
            if runs > 1 and instance.service == "payout-desk"
        ]
        self.check("payouts run twice", str(len(repeated)), not repeated)

    def lose_a_daemon(self) -> None:
        """Kill a daemon under load and see the others serve on."""
        victim = self.deployment.instances[-1]
        process = self.caller("GET", "/ledger", 60, seed=9, without=victim)
        time.sleep(1)
        victim.daemon.kill()
        victim.daemon.wait()
        self.judge_calls(f"totals while {victim.id}'s daemon is killed", process)
        self.deployment.start_daemon(victim)
        status = self.deployment.await_status(victim, lambda s: s["ready"])
        self.check("the daemon is replaced", f"at version {status['version']}", True)

    def caller(self, method: str, path: str, rate: float, seed: int, without=None):
        """Start a process of callers and return it."""
        ports = [str(i.port) for i in self.deployment.instances if i is not without]
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

    def judge_calls(self, what: str, process: subprocess.Popen) -> None:
        """Wait for a process of callers and check that every call was answered."""
        totals = json.loads(process.communicate()[0])
        seen = f"{totals['ok']} of {totals['sent']} answered, p50 {totals['p50_ms']} ms"
        others = {k: v for k, v in totals["results"].items() if k != "ok"}
        self.check(what, f"{seen} {others or ''}".rstrip(), totals["ok"] == totals["sent"])

    def show(self, number: int) -> None:
        """Check that egretctl tells where the ticket stands."""
        standing = self.deployment.ctl("show", str(number))
        seen = f"in force at {standing['in_force']} of {standing['daemons']} daemons"
        self.check("egretctl show", seen, standing["in_force"] == len(self.deployment.instances))

    def report(self) -> bool:
        """Print the table and return whether every check held."""
        width = max(len(what) for what, _, _ in self.rows)
        for what, seen, held in self.rows:
            print(f"{'ok  ' if held else 'FAIL'}  {what.ljust(width)}  {seen}")
        return all(held for _, _, held in self.rows)


def main() -> None:
    """Run the demo and exit with 0 only if each check held."""
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
