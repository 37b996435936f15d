"""Requests whose head arrives in two parts are refused as too large, though they aren't."""

from __future__ import annotations

import socket
import time
from pathlib import Path

from standins import LIMITS, OUTBOUND, TROUBLE, Deployment, Machine, config, run_case

REQUESTS = 40
# The rule allows five, and one in 500.
ALLOWED = 5 + REQUESTS / 500
HEAD_BYTES = 10_000
# The second part of the head comes this much later.
SECOND_PART_AFTER_S = 0.2


def head(attempt: str) -> bytes:
    """Return a request of `HEAD_BYTES` bytes, all of them in its head."""
    lines = [
        "GET /look/1 HTTP/1.1",
        "Host: mesh.example",
        f"X-Egret-Attempt-Id: {attempt}",
        "X-Egret-Deadline-Ms: 1500",
        "Cookie: ",
    ]
    data = "\r\n".join(lines).encode()
    return data + b"c" * (HEAD_BYTES - len(data) - 4) + b"\r\n\r\n"


def send(deployment: Deployment, machine: Machine, attempt: str) -> int:
    """Send one request and return the status of its answer."""
    data = head(attempt)
    with socket.create_connection(machine.address(OUTBOUND), 3) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        split = len(data) - 1_000 if TROUBLE else len(data)
        deployment.record.write(f"sent     {attempt} {split} of {len(data)} bytes")
        sock.sendall(data[:split])
        if split < len(data):
            time.sleep(SECOND_PART_AFTER_S)
            sock.sendall(data[split:])
        answer = sock.recv(4_096)
    status = int(answer.split()[1])
    deployment.record.write(f"answered {attempt} {status}")
    return status


def play(deployment: Deployment) -> str:
    """Send requests within the limits and return how many were denied."""
    assert LIMITS["maxHeaderBytes"] > HEAD_BYTES
    routes = [["look", "mesh.example", "/look/", "idempotent", 1200, 200, 2, "holdings", 2]]
    deployment.store.put("config", "main", config(1, routes, ["holdings"]))
    for zone in ("cymru-a", "cymru-b", "cymru-c"):
        deployment.add(zone, "holdings")
    deployment.start()
    statuses = []
    for number in range(REQUESTS):
        machine = deployment.machines[number % len(deployment.machines)]
        statuses.append(send(deployment, machine, f"look-{number}"))
    denied = sum(status in (413, 431) for status in statuses)
    return f"{denied} of {REQUESTS} requests were denied" if denied > ALLOWED else ""


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
