"""Measure what the hop through a daemon adds to a call, against the target called directly."""

from __future__ import annotations

from measure.convergence import TICKET
from measure.figures import Figure, summarize
from measure.meshes import call, processor_ms, put_in_force, running

RATES = (50, 150, 300)
RUNS = 5
SECONDS = 4
WORK_MS = 2


def measure() -> list[Figure]:
    """Return the times of calls, direct and through one daemon, at each rate."""
    figures = []
    with running(1, 1, work_ms=WORK_MS) as deployment:
        put_in_force(deployment, TICKET.format(number=0, timeout_ms=2000))
        instance = deployment.instances[0]
        deployment.await_status(instance, lambda status: len(status["targets"]) == 1)
        call([instance.port], "/ledger", 100, 2, 99)
        for rate in RATES:
            figures += _measure_rate(instance, rate)
    return figures


def _measure_rate(instance, rate: float) -> list[Figure]:
    direct, through, processor = [], [], []
    for run in range(RUNS):
        direct.append(call([instance.port + 3], "/ledger", rate, SECONDS, run))
        before = processor_ms(instance.daemon)
        through.append(call([instance.port], "/ledger", rate, SECONDS, run))
        processor.append((processor_ms(instance.daemon) - before) / through[-1]["sent"])
    name = f"hop.{rate}"
    figures = [summarize(f"{name}.processor_a_call", "ms", processor)]
    for percentile in ("p50_ms", "p99_ms", "p999_ms"):
        near = [totals[percentile] for totals in direct]
        far = [totals[percentile] for totals in through]
        added = [b - a for a, b in zip(near, far, strict=True)]
        figures.append(summarize(f"{name}.direct.{percentile[:-3]}", "ms", near))
        figures.append(summarize(f"{name}.through.{percentile[:-3]}", "ms", far))
        figures.append(summarize(f"{name}.added.{percentile[:-3]}", "ms", added))
    return figures
