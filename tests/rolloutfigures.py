"""Print how good and bad versions fare in the simulated mesh, over many seeds.

Run it as `PYTHONPATH=.:tests python tests/rolloutfigures.py`.
"""

import random
from collections import Counter

from rolloutsim import NEW, RolloutMesh

# Number of seeds by rate of requests a second.
SEEDS_BY_RATE = {60: 20, 500: 8}


def kinds(source):
    """Return the behaviours of versions by name; see `RolloutMesh.behaviour`."""
    return {
        "good": lambda route, age_ms, running: (False, None),
        "fails in 30%": lambda route, age_ms, running: (source.random() < 0.3, None),
        "fails on one route": lambda route, age_ms, running: (route == "give", None),
        "4 times slower": lambda route, age_ms, running: (False, 160.0),
        "3 times slower": lambda route, age_ms, running: (False, 120.0),
        "slow on one route": lambda route, age_ms, running: (
            False,
            160.0 if route == "give" else None,
        ),
        "fails from 5 s on": lambda route, age_ms, running: (
            age_ms > 5_000 and source.random() < 0.3,
            None,
        ),
        "fails from 8 s on": lambda route, age_ms, running: (
            age_ms > 8_000 and source.random() < 0.3,
            None,
        ),
        "fails from 9 s on": lambda route, age_ms, running: (
            age_ms > 9_000 and source.random() < 0.3,
            None,
        ),
        "slow from 9 s on": lambda route, age_ms, running: (
            False,
            160.0 if age_ms > 9_000 else None,
        ),
        "fails under load": lambda route, age_ms, running: (
            running >= 2 and source.random() < 0.5,
            None,
        ),
        "slow under load": lambda route, age_ms, running: (False, 160.0 if running >= 2 else None),
        "hangs": lambda route, age_ms, running: (False, 60_000.0),
    }


def make_uneven(mesh, source):
    """Give targets speeds of 0.5 to 1.7, a slow period of 5 s in 30 s, and cold new targets."""
    for daemon in mesh.daemons:
        speed, slow_from = source.uniform(0.5, 1.7), source.uniform(0, 30_000)
        cold_until = 4_000 if daemon.version == NEW else 0

        def slowness(now, speed=speed, slow_from=slow_from, cold_until=cold_until):
            period = 2.5 if slow_from <= now < slow_from + 5_000 else 1.0
            return speed * period * (2.0 if now < cold_until else 1.0)

        daemon.slowness = slowness


def print_kinds():
    """Print the phases, the runs of the new version against its bound, and the latest end."""
    for rate, seeds in SEEDS_BY_RATE.items():
        for name in kinds(None):
            phases, worst, over, late, latest = Counter(), 0.0, 0, 0, 0.0
            for seed in range(seeds):
                mesh = RolloutMesh(rate=rate, seed=seed, duration_s=12 + seed % 4)
                mesh.play(kinds(random.Random(seed))[name])
                phases[mesh.store.phase] += 1
                worst = max(worst, mesh.new_runs / mesh.bound)
                over += mesh.new_runs > mesh.bound
                late += mesh.late_runs > 0
                if mesh.completed_at is not None:
                    took_ms = mesh.completed_at - mesh.ordered_at
                    latest = max(latest, took_ms / mesh.duration_s / 1_000)
            print(
                f"{rate}/s {name}: {dict(phases)}, at most {worst:.2f} of the bound, {over} over"
                f" it, {late} sent to too late, completed after {latest:.2f} of the duration"
            )


def print_uneven():
    """Print how often good versions are rolled back where targets are uneven."""
    for rate, seeds in ((60, 60), (500, 20)):
        for targets in (3, 6, 15):
            for background in (0.0, 0.02):
                phases = Counter()
                for seed in range(seeds):
                    mesh = RolloutMesh(
                        rate=rate, seed=seed, old=targets, new=targets, duration_s=12 + seed % 4
                    )
                    mesh.background = background
                    make_uneven(mesh, random.Random(seed))
                    mesh.play()
                    phases[mesh.store.phase] += 1
                print(f"{rate}/s, {targets} uneven targets, {background:.0%} fail: {dict(phases)}")


if __name__ == "__main__":
    print_kinds()
    print_uneven()
