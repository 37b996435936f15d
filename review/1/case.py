"""A client's request within the limits makes daemons exceed their memory."""

from __future__ import annotations

import contextlib
import signal
import threading
import time
from pathlib import Path

from standins import TROUBLE, Deployment, Machine, config, run_case, wait_for

MEMORY_MB = 150
BODY_BYTES = 36_000_000 if TROUBLE else 300
ROUNDS = 6
RESTART_DELAY_S = 1.0
# The rule allows a machine two ends, and one machine more.
MIN_ENDS = 3
MIN_MACHINES = 2


class MemoryLimit:
    """Kill a daemon that exceeds its memory and start it again, as the platform does."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self.ends = {machine.name: 0 for machine in deployment.machines}
        self.peaks = {machine.name: 0 for machine in deployment.machines}
        self._stopped = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop watching."""
        self._stopped = True
        self._thread.join()

    def _run(self) -> None:
        while not self._stopped:
            for machine in self._deployment.machines:
                self._check(machine)
            time.sleep(0.002)

    def _check(self, machine: Machine) -> None:
        used_mb = resident_mb(machine.popen.pid)
        self.peaks[machine.name] = max(self.peaks[machine.name], used_mb)
        if used_mb <= MEMORY_MB:
            return
        self._deployment.record.write(
            f"over     {machine.name} uses {used_mb:.0f} MB of {MEMORY_MB} MB and is killed"
        )
        machine.popen.send_signal(signal.SIGKILL)
        machine.popen.wait()
        self.ends[machine.name] += 1
        threading.Timer(RESTART_DELAY_S, machine.start).start()
        time.sleep(RESTART_DELAY_S + 0.1)


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB of 2**20 bytes; 0 if it has ended."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


def play(deployment: Deployment) -> str:
    """Send a few large requests, one at a time, and count the daemons that end."""
    routes = [["book", "mesh.example", "/book/", "non_idempotent", 1500, 250, 1, "scheduling", 2]]
    deployment.store.put("config", "main", config(1, routes, ["holdings", "scheduling"]))
    clients = [deployment.add("cymru-a", "holdings"), deployment.add("cymru-b", "holdings")]
    deployment.add("cymru-c", "scheduling")
    deployment.start()
    limit = MemoryLimit(deployment)
    body = bytes(BODY_BYTES)
    for number in range(ROUNDS):
        for machine in clients:
            wait_for(machine.ready, f"{machine.name} to be ready")
            deployment.request(
                machine, f"big-{number}-{machine.number}", "/book/1", "POST", body=body
            )
            time.sleep(2)
        time.sleep(3)
    limit.stop()
    deployment.record.write(f"ends     {limit.ends}, peaks in MB {limit.peaks}")
    often = [name for name, ends in limit.ends.items() if ends >= MIN_ENDS]
    if len(often) < MIN_MACHINES:
        return ""
    return f"daemons of {often} ended {MIN_ENDS} times or more: {limit.ends}"


if __name__ == "__main__":
    run_case(Path(__file__).parent, play, memory_mb=MEMORY_MB)
