"""Answers without end, in chunks of two bytes, make daemons exceed their memory."""

from __future__ import annotations

import random
import socket
import threading
import time
from pathlib import Path

from standins import TROUBLE, Backend, Deployment, MemoryLimit, config, run_case

REQUESTS_PER_S = 60
LENGTH_S = 81
# The share of its answers that a faulty backend spoils, the largest of `garble` in the site file.
SPOILED_SHARE = 0.03
# A spell lasts no longer than `garble` there, and comes again after a pause.
SPELL_S = 5.0
PERIOD_S = 9.0
SEED = 31
CHUNK = b"2\r\nab\r\n"
# Of the smallest machines and of the requests `shop-payout` in the site file.
MEMORY_MB = 200
TIMEOUT_MS = 3_000
DEADLINE_MS = 6_000
WORK_MS = 430.0


class FaultyBackend(Backend):
    """A backend that spoils a small share of its answers."""

    random = random.Random(SEED)

    def answers_oddly(self, sock: socket.socket, attempt: str) -> bool:
        """Spoil some answers: send a body in small chunks until the caller closes."""
        in_spell = TROUBLE and self.machine.deployment.record.now() % PERIOD_S < SPELL_S
        if not in_spell or self.random.random() >= SPOILED_SHARE:
            return False
        self.machine.deployment.record.write(f"endless  answer to {attempt} by {self.id}")
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Egret-Attempt-Id: {attempt}",
            f"X-Egret-Stamp: {self.service}.{attempt}",
            "Transfer-Encoding: chunked",
        ]
        sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
        chunks = CHUNK * 200_000
        # Ends with an error once the daemon has closed the connection.
        while True:
            sock.sendall(chunks)


def play(deployment: Deployment) -> str:
    """Send requests at a steady rate and count the daemons that end."""
    route = [
        "pay",
        "mesh.example",
        "/pay/",
        "non_idempotent",
        TIMEOUT_MS,
        1687,
        1,
        "payout-desk",
        2,
    ]
    deployment.store.put("config", "main", config(1, [route], ["payout-desk"]))
    # Half of the backends are faulty.
    for zone in ("zg-trnje", "zg-dubrava"):
        deployment.add(zone, "payout-desk", work_ms=WORK_MS, kind=FaultyBackend)
    for zone in ("zg-susedgrad", "zg-trnje"):
        deployment.add(zone, "payout-desk", work_ms=WORK_MS)
    deployment.start()
    limit = MemoryLimit(deployment)
    until = time.monotonic() + LENGTH_S
    number = 0
    while time.monotonic() < until:
        time.sleep(1 / REQUESTS_PER_S)
        number += 1
        machine = deployment.machines[number % len(deployment.machines)]
        arguments = (machine, f"pay-{number}", f"/pay/{number}", "POST")
        options = {"body": b"x", "deadline_ms": DEADLINE_MS}
        threading.Thread(
            target=deployment.request, args=arguments, kwargs=options, daemon=True
        ).start()
    time.sleep(3)
    limit.stop()
    return limit.broken()


if __name__ == "__main__":
    run_case(Path(__file__).parent, play, memory_mb=MEMORY_MB)
