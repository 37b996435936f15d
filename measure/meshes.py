"""Start a mesh of processes for a benchmark, and read its metrics and resource use."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import urllib.request
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "examples"))

from start import Deployment, Instance, get_json  # noqa: E402

CLOCK_TICK_MS = 1_000 / os.sysconf("SC_CLK_TCK")
BASE_PORT = 25_000


@contextmanager
def running(daemons: int, centres: int = 3, *, program: str = "", work_ms: float = 2) -> Iterator:
    """Run a mesh of `daemons` daemons in `centres` data centres, each daemon with one target.

    Yields the `Deployment`. `program` names a module to run in place of egretd.
    """
    document = {
        "base_port": BASE_PORT,
        "data_centres": [f"dc-{number}" for number in range(centres)],
        "targets": {"slots": 12, "connections": 130},
        "services": [{"name": "ledger", "targets": daemons, "work_ms": work_ms}],
    }
    with tempfile.TemporaryDirectory(prefix="egretworks-measure-") as folder:
        deployment = Deployment(document, Path(folder))
        if program:
            deployment.daemon_program = program
        try:
            deployment.start()
            yield deployment
        finally:
            deployment.stop()


def put_in_force(deployment: Deployment, text: str) -> int:
    """File and accept a ticket, wait until it is in force everywhere, and return its version."""
    path = deployment.folder / "ticket.toml"
    path.write_text(text, encoding="utf-8")
    number = deployment.ctl("file", str(path))["number"]
    version = deployment.ctl("accept", str(number))["version"]
    for instance in deployment.instances:
        deployment.await_status(instance, lambda s: s["version"] >= version and s["ready"])
    return version


def convergence_ms(deployment: Deployment, version: int) -> float:
    """Return the time from the acceptance of `version` until it is in force at the last daemon."""
    url = f"http://127.0.0.1:{deployment.platform_port}/v1/objects/changes/{version:012d}"
    accepted_at = get_json(url)["accepted_at_ms"]
    latest = 0.0
    for instance in deployment.instances:
        events = get_json(f"http://{instance.operator_address}/v1/events")["events"]
        times = [e["at_ms"] for e in events if e["kind"] == "in_force" and e["version"] >= version]
        latest = max(latest, min(times))
    return latest - accepted_at


def processor_ms(process: subprocess.Popen) -> float:
    """Return the user and system time that a process has used, in milliseconds."""
    fields = Path(f"/proc/{process.pid}/stat").read_text(encoding="ascii").rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * CLOCK_TICK_MS


def resident_mb(process: subprocess.Popen) -> float:
    """Return the resident memory of a process in megabytes."""
    status = Path(f"/proc/{process.pid}/status").read_text(encoding="ascii")
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1_024


def metric(instance: Instance, name: str) -> float:
    """Return the value of a metric of a daemon, 0 if the daemon does not have it."""
    with urllib.request.urlopen(f"http://{instance.operator_address}/metrics", timeout=5) as page:
        for line in page.read().decode().splitlines():
            if line.split(" ")[0] == name:
                return float(line.split(" ")[1])
    return 0.0


def call(ports: list[int], path: str, rate: float, seconds: float, seed: int) -> dict:
    """Run the stand-in of a caller, which sends `rate` calls per second, and return its totals."""
    done = subprocess.run(
        [
            *(sys.executable, "-m", "standins.caller", "--path", path, "--rate", str(rate)),
            *("--ports", ",".join(map(str, ports))),
            *("--seconds", str(seconds), "--seed", str(seed)),
        ],
        stdout=subprocess.PIPE,
        text=True,
        check=True,
        cwd=ROOT / "examples",
    )
    return json.loads(done.stdout)
