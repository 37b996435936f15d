"""Answers without end, in chunks of two bytes, make daemons exceed their memory."""

from __future__ import annotations

import random
import socket
import threading
import time
from pathlib import Path

from standins import TROUBLE, Backend, Deployment, MemoryLimit, config, run_case

REQUESTS_PER_S = 60
LENGTH_S = 50
# The share of its answers that a faulty backend spoils, the largest of `garble` in the site file.
SPOILED_SHARE = 0.03
SEED = 31


class FaultyBackend(Backend):
    """A backend that spoils a small share of its answers."""

    random = random.Random(SEED)

    def answers_oddly(self, sock: socket.socket, attempt: str) -> bool:
        """Spoil some answers: send a body in chunks of two bytes until the caller closes."""
        if not TROUBLE or self.random.random() >= SPOILED_SHARE:
            return False
        self.machine.deployment.record.write(f"endless  answer to {attempt} by {self.id}")
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Egret-Attempt-Id: {attempt}",
            f"X-Egret-Stamp: {self.service}.{attempt}",
            "Transfer-Encoding: chunked",
        ]
        sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
        chunks = b"2\r\nab\r\n" * 9_000
        # Ends with an error once the daemon has closed the connection.
        while True:
            sock.sendall(chunks)


def play(deployment: Deployment) -> str:
    """Send requests at a steady rate and count the daemons that end."""
    routes = [["book", "mesh.example", "/book/", "non_idempotent", 1500, 250, 1, "scheduling", 2]]
    deployment.store.put("config", "main", config(1, routes, ["scheduling"]))
    # Half of the backends are faulty.
    for zone in ("cymru-a", "cymru-b"):
        deployment.add(zone, "scheduling", work_ms=66.0, kind=FaultyBackend)
    for zone in ("cymru-c", "cymru-a"):
        deployment.add(zone, "scheduling", work_ms=66.0)
    deployment.start()
    limit = MemoryLimit(deployment)
    until = time.monotonic() + LENGTH_S
    number = 0
    while time.monotonic() < until:
        time.sleep(1 / REQUESTS_PER_S)
        number += 1
        machine = deployment.machines[number % len(deployment.machines)]
        arguments = (machine, f"book-{number}", f"/book/{number}", "POST")
        threading.Thread(
            target=deployment.request, args=arguments, kwargs={"body": b"x"}, daemon=True
        ).start()
    time.sleep(2)
    limit.stop()
    return limit.broken()


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
