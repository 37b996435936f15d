"""Measure convergence time, gossip traffic and platform reads as the number of daemons grows.

Each size is also measured for the baseline, a mesh in which every daemon watches the platform.
"""

from __future__ import annotations

import time

from measure.figures import Figure, summarize
from measure.meshes import (
    convergence_ms,
    get_json,
    metric,
    processor_ms,
    put_in_force,
    resident_mb,
    running,
)

DAEMON_COUNTS = (6, 13, 26)
TICKETS = 8
IDLE_SECONDS = 8
TICKET = """
title = "measured {number}"
[[services]]
name = "ledger"
[[routes]]
name = "ledger-read"
service = "ledger"
repeat = "idempotent"
timeout_ms = {timeout_ms}
match = {{ path_prefix = "/ledger" }}
"""


def measure() -> list[Figure]:
    """Return the figures of the mesh and of the baseline at each size."""
    figures = []
    for count in DAEMON_COUNTS:
        figures += _measure_mesh(f"daemons.{count}.peers", count, "")
        figures += _measure_mesh(f"daemons.{count}.all_watch", count, "measure.all_watch")
    return figures


def _measure_mesh(name: str, count: int, program: str) -> list[Figure]:
    """Return the figures of a mesh of `count` daemons, idle and while tickets are put in force."""
    with running(count, program=program) as deployment:
        put_in_force(deployment, TICKET.format(number=0, timeout_ms=900))
        idle = _measure_idle(name, deployment)
        reads_before = _watch_reads(deployment)
        sent_before = [metric(i, "egret_gossip_sent_bytes_total") for i in deployment.instances]
        started = time.monotonic()
        times = []
        for number in range(1, TICKETS + 1):
            version = put_in_force(deployment, TICKET.format(number=number, timeout_ms=1000))
            times.append(convergence_ms(deployment, version))
        elapsed = time.monotonic() - started
        sent_after = [metric(i, "egret_gossip_sent_bytes_total") for i in deployment.instances]
        return [
            summarize(f"{name}.convergence", "ms", times),
            summarize(
                f"{name}.platform_reads_a_change",
                "reads",
                [_reads_per_change(_watch_reads(deployment) - reads_before, TICKETS)],
            ),
            summarize(
                f"{name}.datagrams_under_changes",
                "bytes/s",
                [(b - a) / elapsed for a, b in zip(sent_before, sent_after, strict=True)],
            ),
            *idle,
        ]


def _measure_idle(name: str, deployment) -> list[Figure]:
    """Measure processor time, memory and gossip traffic while nothing changes."""
    daemons = [instance.daemon for instance in deployment.instances]
    processor_before = [processor_ms(daemon) for daemon in daemons]
    sent_before = [metric(i, "egret_gossip_sent_bytes_total") for i in deployment.instances]
    time.sleep(IDLE_SECONDS)
    # Milliseconds per second, divided by 10, are percent of a core.
    core_percents = [
        (processor_ms(daemon) - start) / (IDLE_SECONDS * 10)
        for daemon, start in zip(daemons, processor_before, strict=True)
    ]
    sent_after = [metric(i, "egret_gossip_sent_bytes_total") for i in deployment.instances]
    return [
        summarize(f"{name}.rest.processor", "% of a core", core_percents),
        summarize(f"{name}.rest.memory", "MB", [resident_mb(daemon) for daemon in daemons]),
        summarize(
            f"{name}.rest.datagrams",
            "bytes/s",
            [(b - a) / IDLE_SECONDS for a, b in zip(sent_before, sent_after, strict=True)],
        ),
    ]


def _watch_reads(deployment) -> int:
    """Return how many watch requests the platform has served."""
    return get_json(f"http://127.0.0.1:{deployment.platform_port}/admin/counts")["watches"]


def _reads_per_change(reads: int, changes: int) -> float:
    return reads / changes
