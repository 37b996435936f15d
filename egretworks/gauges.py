"""Read the gauges of a daemon: target load, membership, configuration and retry budgets."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

import msgspec

from egretworks.bytebudget import ByteBudget
from egretworks.clock import Clock
from egretworks.configholder import ConfigHolder
from egretworks.forwarding import Forwarder
from egretworks.freshness import ConfigFreshness
from egretworks.gate import Gate
from egretworks.linkframes import RolloutStep
from egretworks.metrics import Gauge
from egretworks.quotaclient import QuotaClient
from egretworks.rows import RowTable
from egretworks.types import ServiceName


class GaugeSources(msgspec.Struct, frozen=True):
    """Hold the parts of a daemon that gauges are read from."""

    clock: Clock
    gate: Gate
    rows: RowTable
    config: ConfigHolder
    forwarder: Forwarder
    body_budget: ByteBudget
    answer_budget: ByteBudget
    # Returns the number of links to other daemons that accept offers.
    links_up: Callable[[], int]
    freshness: ConfigFreshness
    # Returns the number of log lines dropped since the start.
    lines_dropped: Callable[[], int]
    # Returns the bytes of large frames that wait to be sent over links.
    link_queued_bytes: Callable[[], int]
    quota: QuotaClient
    # Returns the step of the newest order of each service.
    rollout_steps: Callable[[], Mapping[ServiceName, RolloutStep]]


def read_gauges(sources: GaugeSources) -> Iterable[Gauge]:
    """Yield the current value of every gauge."""
    queue = sources.gate.queue
    yield Gauge("gate_slots", "slots of the local target", queue.slots)
    yield Gauge("gate_running", "requests running at the local target", queue.running)
    yield Gauge("gate_waiting", "requests queued for the local target", queue.load - queue.running)
    yield Gauge(
        "calls_in_hand", "requests from callers not answered yet", sources.forwarder.in_flight
    )
    yield Gauge(
        "bodies_held_bytes", "bytes of callers' requests in memory", sources.body_budget.reserved
    )
    yield Gauge(
        "answers_held_bytes",
        "bytes of targets' answers that are arriving, and of large frames on links",
        sources.answer_budget.reserved,
    )
    yield Gauge(
        "config_version", "configuration version in force, 0 for none", sources.config.version
    )
    proof_age_ms = sources.freshness.age_ms()
    yield Gauge(
        "config_proof_age_ms",
        "time since that version was certainly the newest one in the store, -1 if unknown",
        -1.0 if proof_age_ms is None else proof_age_ms,
    )
    yield Gauge("daemons_known", "known daemons, including this one", sources.rows.size)
    yield Gauge("links_up", "links to other daemons that accept offers", sources.links_up())
    yield Gauge(
        "link_queue_bytes",
        "bytes of large frames that wait to be sent to other daemons",
        sources.link_queued_bytes(),
    )
    yield Gauge(
        "store_reachable",
        "whether this daemon can reach the store",
        sources.rows.own.store_reachable,
    )
    yield Gauge("log_lines_dropped", "log lines dropped since the start", sources.lines_dropped())
    for team, used in sources.quota.uses():
        yield Gauge("quota_tokens_used", "quota tokens used since the start", used, team, "team")
    for service, count in sorted(serving_targets(sources.rows).items()):
        yield Gauge("targets_serving", "targets known to accept requests", count, service)
    for service, step in sorted(sources.rollout_steps().items()):
        yield Gauge("rollout_step", "step of the newest order, 1 to 7", step, service)
    now = sources.clock.now()
    for service, budget in sorted(sources.forwarder.budget_by_service.items()):
        left = budget.left(sources.rows.size, now)
        yield Gauge("attempts_left", "attempts left in the retry budget", left, service)
        yield Gauge("retries_made", "retries made since the start", budget.retries_made, service)
        yield Gauge(
            "calls_of_retries",
            "calls that the local target has probably made while it ran retries, since the start",
            budget.calls_of_retries,
            service,
        )


def serving_targets(rows: RowTable) -> Counter[ServiceName]:
    """Return the number of targets that accept requests, by service; 0 if a service has none."""
    count_by_service: Counter[ServiceName] = Counter()
    for row in rows.all_rows():
        if row.target is not None:
            count_by_service[row.target.service] += row.target.serving and not row.leaving
    return count_by_service
