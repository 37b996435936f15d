"""Define what a gate needs of its daemon, and what the ends of an offer need of each other."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

import msgspec

from egretworks.bytebudget import ByteBudget
from egretworks.calllog import CallLog
from egretworks.clock import Clock
from egretworks.edge import Edge
from egretworks.gatequeue import GateQueue, QueueEntry
from egretworks.httpwire import Response
from egretworks.linkframes import GateReport, Offer, Outcome, RefusalReason, Refused
from egretworks.metrics import Metrics
from egretworks.rolloutlinks import NO_ROLLOUTS, NoRollouts
from egretworks.runningrequests import RunningRequests
from egretworks.targetconnections import Exchange
from egretworks.targettracker import TargetIncarnation
from egretworks.timeline import Timeline
from egretworks.types import ServiceName

NOT_SERVING_RETRY_AFTER_MS = 250.0

Reply = Callable[[Outcome], None]
CancelCallback = Callable[[], None]


class GateHost(msgspec.Struct, frozen=True):
    """Hold the parts of the daemon that a gate uses."""

    clock: Clock
    edge: Edge
    metrics: Metrics
    timeline: Timeline
    calls: CallLog
    # Returns how long a leaving target may still be sent requests, in milliseconds.
    drain_ms: Callable[[], float]
    # Returns the health check path of a service, or None while it is unknown.
    health_path: Callable[[ServiceName], str | None]
    # Called after the target's row has changed.
    on_change: Callable[[], None]
    # Counts the body bytes of answers that are still arriving.
    answer_budget: ByteBudget
    # Returns whether the retry budgets allow the calls that retries are expected to make.
    allows_calls: Callable[[Mapping[ServiceName, float]], bool]
    # Tells which requests the version of the target may get, and counts its answers.
    rollouts: NoRollouts = NO_ROLLOUTS


class OfferHandle(Protocol):
    """Handle with which the offering side cancels or withdraws an offer."""

    def cancel(self) -> None:
        """Stop the request if possible; `reply` is not called afterwards.

        A request that is in flight and not idempotent runs to its end.
        """

    def withdraw(self) -> bool:
        """Remove the request from the queue; return False if it is not waiting there."""


class RefusedOffer:
    """Handle of an offer that was refused at once."""

    def cancel(self) -> None:
        """Do nothing."""

    def withdraw(self) -> bool:
        """Return False, as there is nothing to withdraw."""
        return False


class OfferTarget(Protocol):
    """What an offer tells about the target that it was sent to."""

    def on_unreachable(self, incarnation: TargetIncarnation) -> None:
        """Mark the target as gone after a connection to it could not be opened."""

    def on_wrong_target(self, incarnation: TargetIncarnation) -> None:
        """Mark the target as unconfirmed after another target answered at its address."""

    def apply_notice(self, incarnation: TargetIncarnation, response: Response) -> None:
        """Follow what the target states about itself in an answer; the last answer counts."""


class OfferGate(Protocol):
    """What an offer needs of the gate that it arrived at."""

    host: GateHost
    queue: GateQueue
    running_requests: RunningRequests

    @property
    def target(self) -> OfferTarget:
        """Return the target of the gate."""

    @property
    def running(self) -> int:
        """Return the number of requests in flight at the target."""

    def report(self) -> GateReport:
        """Return the current load of the target."""

    def send(self, exchange: Exchange) -> CancelCallback:
        """Start an exchange with the target and return a callback that aborts it."""

    def allows_retry(self, offer: Offer) -> bool:
        """Return whether `offer` is no retry, or the calls that it may make are within budget."""

    def refusal(
        self,
        offer: Offer,
        reason: RefusalReason,
        retry_after_ms: float,
        *,
        reached_target: bool = False,
    ) -> Refused:
        """Log a refusal of `offer` and return it."""

    def record_result(self, *, failed: bool) -> None:
        """Update the moving average of the target's failure rate."""

    def free_slot(self, queue: GateQueue) -> None:
        """Free the slot of a finished request and admit waiting ones."""

    def withdraw(self, entry: QueueEntry) -> bool:
        """Remove a waiting request; return False if it is not waiting any more."""
