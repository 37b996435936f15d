"""Measure convergence, control bytes and platform calls over growing numbers of daemons.

The baseline in the same run is a mesh in which each daemon watches the platform itself.
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
REST_SECONDS = 8
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
    """Return the figures of both meshes at each size."""
    figures = []
    for count in DAEMON_COUNTS:
        figures += _measure_mesh(f"daemons.{count}.peers", count, "")
        figures += _measure_mesh(f"daemons.{count}.all_watch", count, "measure.all_watch")
    return figures


def _measure_mesh(name: str, count: int, program: str) -> list[Figure]:
    with running(count, program=program) as deployment:
        put_in_force(deployment, TICKET.format(number=0, timeout_ms=900))
        rest = _at_rest(name, deployment)
        reads = _reads(deployment)
        sent = [metric(i, "egret_gossip_sent_bytes_total") for i in deployment.instances]
        started = time.monotonic()
        times = []
        for number in range(1, TICKETS + 1):
            version = put_in_force(deployment, TICKET.format(number=number, timeout_ms=1000))
            times.append(convergence_ms(deployment, version))
        took = time.monotonic() - started
        after = [metric(i, "egret_gossip_sent_bytes_total") for i in deployment.instances]
        return [
            summarize(f"{name}.convergence", "ms", times),
            summarize(
                f"{name}.platform_reads_a_change",
                "reads",
                [_changes_reads(_reads(deployment) - reads, TICKETS)],
            ),
            summarize(
                f"{name}.datagrams_under_changes",
                "bytes/s",
                [(b - a) / took for a, b in zip(sent, after, strict=True)],
            ),
            *rest,
        ]


def _at_rest(name: str, deployment) -> list[Figure]:
    """Measure processor time, memory and datagrams while nothing changes."""
    daemons = [instance.daemon for instance in deployment.instances]
    before = [processor_ms(daemon) for daemon in daemons]
    sent = [metric(i, "egret_gossip_sent_bytes_total") for i in deployment.instances]
    time.sleep(REST_SECONDS)
    used = [
        (processor_ms(daemon) - start) / (REST_SECONDS * 10)
        for daemon, start in zip(daemons, before, strict=True)
    ]
    now = [metric(i, "egret_gossip_sent_bytes_total") for i in deployment.instances]
    return [
        summarize(f"{name}.rest.processor", "% of a core", used),
        summarize(f"{name}.rest.memory", "MB", [resident_mb(daemon) for daemon in daemons]),
        summarize(
            f"{name}.rest.datagrams",
            "bytes/s",
            [(b - a) / REST_SECONDS for a, b in zip(sent, now, strict=True)],
        ),
    ]


def _reads(deployment) -> int:
    return get_json(f"http://127.0.0.1:{deployment.platform_port}/admin/counts")["watches"]


def _changes_reads(reads: int, changes: int) -> float:
    return reads / changes
