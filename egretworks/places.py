"""Define how requests are offered to a target, beside this daemon or beside another one."""

from __future__ import annotations

from typing import Protocol

from egretworks.clock import Millis
from egretworks.gate import Gate
from egretworks.gatework import CancelCall, Reply
from egretworks.linkframes import Offer
from egretworks.picking import Prospect
from egretworks.types import InstanceId


class Place(Protocol):
    """Offer requests to one target."""

    def offer(self, offer: Offer, reply: Reply) -> CancelCall:
        """Offer a request; `reply` gets the outcome."""

    def prospect(self, now: Millis) -> Prospect:
        """Return how the target stands."""

    @property
    def name(self) -> str:
        """Return the id of the daemon beside the target."""


class LocalPlace:
    """Offer requests to the target beside this daemon."""

    def __init__(self, gate: Gate, name: InstanceId) -> None:
        self._gate = gate
        self.name = name

    def offer(self, offer: Offer, reply: Reply) -> CancelCall:
        """Offer a request to the gate."""
        return self._gate.offer(offer, reply).cancel

    def prospect(self, _now: Millis) -> Prospect:
        """Return how the target stands."""
        report = self._gate.report()
        return Prospect(
            report.load, report.slots, report.work_ms, report.failing_percent, True, False
        )
