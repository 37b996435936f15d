"""The load of uneven targets with few slots, for tests and trials; prints figures when run.

Usage: python tests/unevenload.py FACTOR SEEDS SCALE [MODULE.CONSTANT=VALUE...]
FACTOR multiplies the load, SEEDS are separated by commas, SCALE is the share of the targets.
"""

import importlib
import math
import sys
from collections import Counter

import pytest
from loadsim import Kind, Load, Mesh
from simdaemons import SlowMoments

from egretworks.linkframes import Refused

KINDS = (
    Kind("read", "boards", 140, 712, 4_744, 1, 0.5),
    Kind(
        *("submit", "boards", 180, 914, 5_716, 2, 1, 0),
        idempotent=False,
        calls="rules",
        calls_share=0.5,
    ),
    Kind("download", "archive", 110, 1_324, 7_900, 1, 0.5),
    Kind("history", "archive", 540, 2_112, 12_670, 1, 0.5),
    Kind("rules", "archive", 40, 259, 865, 0, 0, 0, 0),
)
# Requests a second on 78 targets.
RATES = {"read": 309.0, "submit": 112.0, "download": 32.5, "history": 61.7}
TARGETS = {"boards": 47, "archive": 31}
DATA_CENTRES = ("quay", "mill", "ridge")
SLOWNESS = (0.7, 0.9, 1.0, 1.2, 1.7)
SLOTS = 3
SWING = 0.55
PERIOD_MS = 13_000


class UnevenLoad:
    """Play the load on a share of the targets, and collect figures."""

    def __init__(
        self, monkeypatch, seed=1, *, factor=1.0, scale=1.0, swing=SWING, slow_share=0.05, cold=True
    ):
        self.mesh = mesh = Mesh(monkeypatch, KINDS, seed)
        self.refused_offers = Counter()
        self.idle_at_refusal = []
        number = 0
        for service, count in TARGETS.items():
            for _ in range(round(count * scale)):
                slowness = SLOWNESS[number % len(SLOWNESS)]
                mesh.add(DATA_CENTRES[number % 3], service, SLOTS, slowness)
                number += 1
        for daemon in mesh.daemons:
            daemon.target.resets = daemon.target.slowness == SLOWNESS[3]
            self._count_refusals(daemon)
        if slow_share:
            count = max(1, round(slow_share * number))
            mesh.slow_moments = SlowMoments(mesh.daemons, seed, count)
        mesh.link_planned()
        for kind, per_s in RATES.items():
            for index, data_centre in enumerate(DATA_CENTRES):
                rate = per_s * factor * scale / len(DATA_CENTRES)
                mesh.apply(Load(kind, data_centre, rate, swing, PERIOD_MS, 0.08 * index))
        if cold:
            for index in range(0, number, 8):
                at_ms = 500 + 8_000 * index / number
                mesh.time.call_later(at_ms, mesh.daemons[index].restart_target)

    def _count_refusals(self, daemon):
        plain = daemon.gate.refusal

        def refusal(offer, reason, retry_after_ms, **details):
            self.refused_offers[daemon.service, reason.name] += 1
            refused = plain(offer, reason, retry_after_ms, **details)
            assert isinstance(refused, Refused)
            return refused

        daemon.gate.refusal = refusal

    def play(self, period_ms=PERIOD_MS, *, drain_ms=6_000):
        """Make requests for `period_ms`, and let the last ones end."""
        self.mesh.load_ends_at = period_ms
        self.mesh.time.run_for(period_ms + drain_ms)
        return self

    def share_of_credit(self, *kinds):
        results = [self.mesh.result_by_kind[kind] for kind in kinds or RATES]
        return sum(r.credit for r in results) / sum(r.owed for r in results)

    def share_in_time(self, kind):
        result = self.mesh.result_by_kind[kind]
        return result.in_time / max(1, result.asked)

    def share_failed(self, kind):
        result = self.mesh.result_by_kind[kind]
        return result.failed / max(1, result.asked)

    def p99(self, kind):
        took = sorted(self.mesh.result_by_kind[kind].took_ms)
        return took[int(0.99 * len(took))] if took else math.nan

    def busiest(self, service):
        """Return the time worked by the busiest target of `service` as a multiple of the mean."""
        busy = [d.target.busy_ms for d in self.mesh.daemons if d.service == service]
        return max(busy) * len(busy) / sum(busy)

    def offers_by_request(self):
        """Return how many offers each request to a data centre's daemons took on average."""
        served = sum(sum(d.target.runs.values()) for d in self.mesh.daemons)
        return (served + sum(self.refused_offers.values())) / max(1, served)


def set_constant(setting):
    """Apply MODULE.CONSTANT=VALUE, for trials."""
    name, value = setting.split("=")
    module, constant = name.split(".")
    setattr(importlib.import_module(f"egretworks.{module}"), constant, float(value))


def main(factor, seeds, scale=1.0):
    rows = Counter()
    for seed in seeds:
        with pytest.MonkeyPatch.context() as monkeypatch:
            played = UnevenLoad(monkeypatch, seed, factor=factor, scale=scale).play()
        figures = Counter()
        figures["credit"] = played.share_of_credit()
        for kind in KINDS:
            result = played.mesh.result_by_kind[kind.name]
            asked = max(1, result.asked)
            figures[f"{kind.name} credit"] = result.credit / max(1, result.owed)
            figures[f"{kind.name} in time"] = result.in_time / asked
            figures[f"{kind.name} late"] = result.late / asked
            figures[f"{kind.name} refused"] = result.refused / asked
            figures[f"{kind.name} failed"] = result.failed / asked
            figures[f"{kind.name} p99"] = played.p99(kind.name)
        for service in TARGETS:
            figures[f"busiest {service}"] = played.busiest(service)
            targets = [d.target for d in played.mesh.daemons if d.service == service]
            capacity = len(targets) * SLOTS * PERIOD_MS
            figures[f"usage {service}"] = sum(t.busy_ms for t in targets) / capacity
            figures[f"resets {service}"] = sum(t.reset_count for t in targets)
        figures["offers"] = played.offers_by_request()
        for (service, reason), count in played.refused_offers.items():
            figures[f"{service} {reason}"] = count
        print(f"seed {seed} credit {figures['credit']:.4f}", flush=True)
        rows.update(figures)
    n = len(seeds)
    print(f"factor {factor}: credit {rows['credit'] / n:.4f}")
    for kind in KINDS:
        values = " ".join(
            f"{name} {rows[f'{kind.name} {name}'] / n:.3f}"
            for name in ("credit", "in time", "late", "refused", "failed")
        )
        print(f"  {kind.name:9} {values} p99 {rows[f'{kind.name} p99'] / n:.0f}")
    print(
        "  "
        + ", ".join(
            f"{name} {value / n:.2f}"
            for name, value in sorted(rows.items())
            if name.split()[0] in ("busiest", "usage", "resets", "offers", *TARGETS)
        )
    )


if __name__ == "__main__":
    for setting in sys.argv[4:]:
        set_constant(setting)
    main(float(sys.argv[1]), [int(seed) for seed in sys.argv[2].split(",")], float(sys.argv[3]))
