"""Measure the latency that a hop through a daemon adds to a call made to the target directly."""

from __future__ import annotations

from measure.convergence import TICKET
from measure.figures import Figure, summarize
from measure.meshes import call, processor_ms, put_in_force, running

# Calls per second.
RATES = (50, 150, 300)
RUNS = 5
RUN_SECONDS = 4
WORK_MS = 2


def measure() -> list[Figure]:
    """Return the latencies of calls to the target directly and through one daemon, at each rate."""
    figures = []
    with running(1, 1, work_ms=WORK_MS) as deployment:
        put_in_force(deployment, TICKET.format(number=0, timeout_ms=2000))
        instance = deployment.instances[0]
        deployment.await_status(instance, lambda status: len(status["targets"]) == 1)
        # Warm up; the totals are discarded.
        call([instance.port], "/ledger", 100, 2, 99)
        for rate in RATES:
            figures += _measure_rate(instance, rate)
    return figures


def _measure_rate(instance, rate: float) -> list[Figure]:
    """Return the latencies and the daemon's processor time per call at `rate` calls per second."""
    direct_totals, hop_totals, processor = [], [], []
    for run in range(RUNS):
        # The target listens on the last of the four ports of its instance.
        direct_totals.append(call([instance.port + 3], "/ledger", rate, RUN_SECONDS, run))
        before = processor_ms(instance.daemon)
        hop_totals.append(call([instance.port], "/ledger", rate, RUN_SECONDS, run))
        processor.append((processor_ms(instance.daemon) - before) / hop_totals[-1]["sent"])
    name = f"hop.{rate}"
    figures = [summarize(f"{name}.processor_a_call", "ms", processor)]
    for percentile in ("p50_ms", "p99_ms", "p999_ms"):
        direct = [totals[percentile] for totals in direct_totals]
        through = [totals[percentile] for totals in hop_totals]
        added = [b - a for a, b in zip(direct, through, strict=True)]
        figures.append(summarize(f"{name}.direct.{percentile[:-3]}", "ms", direct))
        figures.append(summarize(f"{name}.through.{percentile[:-3]}", "ms", through))
        figures.append(summarize(f"{name}.added.{percentile[:-3]}", "ms", added))
    return figures
