"""Define the interface for offering requests to a target, the local one or another daemon's."""

from __future__ import annotations

from typing import Protocol

from egretworks.clock import Millis
from egretworks.gate import Gate
from egretworks.gateinterface import CancelCallback, Reply
from egretworks.linkframes import Offer
from egretworks.targetselection import TargetEstimate
from egretworks.types import InstanceId


class Destination(Protocol):
    """One target to which requests can be offered."""

    # Whether the target is in the data centre of this daemon.
    near: bool

    def offer(self, offer: Offer, reply: Reply) -> CancelCallback:
        """Offer a request and return a callback that cancels it.

        `reply` is called once with the outcome, possibly before this returns, unless the offer is
        cancelled.
        """

    def estimate(self, now: Millis) -> TargetEstimate:
        """Return the current load estimate of the target."""

    @property
    def name(self) -> str:
        """Return the id of the daemon that serves the target."""

    @property
    def version(self) -> str:
        """Return the version of the target; empty if it is unknown."""


class LocalDestination:
    """The local target, behind this daemon's gate."""

    near = True

    def __init__(self, gate: Gate, name: InstanceId) -> None:
        self._gate = gate
        self.name = name

    @property
    def version(self) -> str:
        """Return the version of the target; empty if it is unknown."""
        row = self._gate.row()
        return row.version if row is not None else ""

    def offer(self, offer: Offer, reply: Reply) -> CancelCallback:
        """Offer a request to the gate and return a callback that cancels it."""
        return self._gate.offer(offer, reply).cancel

    def estimate(self, _now: Millis) -> TargetEstimate:
        """Return the current load estimate of the target."""
        report = self._gate.report()
        return TargetEstimate(
            report.load, report.slots, report.work_ms, report.failing_percent, True, False
        )
