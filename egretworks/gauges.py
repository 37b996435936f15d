"""Read the gauges of a daemon beside a target: its slots, its beliefs and what it has left."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

import msgspec

from egretworks.clock import Clock
from egretworks.configholder import ConfigHolder
from egretworks.forwarding import Forwarder
from egretworks.gate import Gate
from egretworks.heldbytes import HeldBytes
from egretworks.metrics import Gauge
from egretworks.rows import RowTable
from egretworks.types import ServiceName


class GaugeSources(msgspec.Struct, frozen=True):
    """Name the parts of a daemon that gauges are read from."""

    clock: Clock
    gate: Gate
    rows: RowTable
    config: ConfigHolder
    forwarder: Forwarder
    bodies: HeldBytes
    # Returns how many links to other daemons take offers.
    links_up: Callable[[], int]
    # Returns how many log lines were dropped since the start.
    lines_dropped: Callable[[], int]


def read_gauges(sources: GaugeSources) -> Iterable[Gauge]:
    """Yield the present value of every gauge."""
    queue = sources.gate.queue
    yield Gauge("gate_slots", "slots of the own target", queue.slots)
    yield Gauge("gate_running", "requests at the own target", queue.running)
    yield Gauge("gate_waiting", "requests waiting for the own target", queue.load - queue.running)
    yield Gauge("calls_in_hand", "requests of callers not answered yet", sources.forwarder.in_hand)
    yield Gauge("bodies_held_bytes", "bytes of request bodies in hand", sources.bodies.held)
    yield Gauge("config_version", "version in force, 0 for none", sources.config.version)
    yield Gauge("daemons_known", "daemons of the mesh, with this one", sources.rows.size)
    yield Gauge("links_up", "links to other daemons that take offers", sources.links_up())
    yield Gauge(
        "store_reachable", "whether this daemon reads the store", sources.rows.own.store_reachable
    )
    yield Gauge("log_lines_dropped", "log lines dropped since the start", sources.lines_dropped())
    for service, count in sorted(serving_targets(sources.rows).items()):
        yield Gauge("targets_serving", "targets believed to take requests", count, service)
    now = sources.clock.now()
    for service, budget in sorted(sources.forwarder.budget_by_service.items()):
        left = budget.left(sources.rows.size, now)
        yield Gauge("attempts_left", "further attempts that may be made now", left, service)


def serving_targets(rows: RowTable) -> Counter[ServiceName]:
    """Return how many targets of each known service take requests; 0 for one that has none."""
    count_by_service: Counter[ServiceName] = Counter()
    for row in rows.all_rows():
        if row.target is not None:
            count_by_service[row.target.service] += row.target.serving and not row.leaving
    return count_by_service
