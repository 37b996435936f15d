"""Define the state of an order that a daemon follows, and the parts of it that rollouts use."""

from __future__ import annotations

from collections.abc import Callable

import eventlet
import msgspec

from egretworks.clock import Clock, Millis
from egretworks.edge import Edge
from egretworks.linkframes import RolloutStage
from egretworks.metrics import Metrics
from egretworks.rollout import RolloutBounds
from egretworks.rolloutevidence import GateEvidence, ShareCounter
from egretworks.rolloutlinks import RolloutLinks
from egretworks.rows import RowTable
from egretworks.timeline import Timeline
from egretworks.types import RandomSource


class RolloutHost(msgspec.Struct, frozen=True):
    """Hold the parts of the daemon that rollouts use."""

    clock: Clock
    random: RandomSource
    timeline: Timeline
    metrics: Metrics
    edge: Edge
    rows: RowTable
    links: Callable[[], RolloutLinks]
    enabled: Callable[[], bool]
    bounds: Callable[[], RolloutBounds]
    # Returns the number of requests that run or wait at the local target.
    load: Callable[[], int]
    # Runs a function that calls the store in a green thread.
    spawn: Callable[..., object] = eventlet.spawn_n


class Followed(msgspec.Struct):
    """Hold what this daemon knows and counts of the newest order for a service."""

    stage: RolloutStage
    heard_at: Millis
    share: ShareCounter
    evidence: GateEvidence = msgspec.field(default_factory=GateEvidence)
    # The version of the local target that `evidence` is about; None before its first request.
    evidence_version: str | None = None
    calls: int = 0
    serial: int = 0
    report_at: Millis = Millis(0)
    # Gates that have used up their quota of this stage.
    exhausted: set[str] = msgspec.field(default_factory=set)
    current_versions: frozenset[str] = frozenset()
    quota_by_daemon: dict[str, int] = {}

    def allows_old(self, version: str) -> bool:
        """Return whether `version` is one from before the order."""
        if version == self.stage.target_version:
            return False
        return not version or not self.current_versions or version in self.current_versions


def record_stage(
    timeline: Timeline,
    kind: str,
    stage: RolloutStage,
    *,
    detail: str = "",
    facts: dict[str, object] | None = None,
) -> None:
    """Record an event about `stage`."""
    stage_facts = {"version": stage.target_version, "step": stage.step.name.lower()}
    timeline.record(kind, target=stage.service, detail=detail, facts=stage_facts | (facts or {}))
