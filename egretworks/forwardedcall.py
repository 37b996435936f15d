"""Carry one caller's request: select a target, offer, retry and answer."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from egretworks.calllog import CallLog
from egretworks.clock import Clock, Millis
from egretworks.configholder import ConfigHolder
from egretworks.destinations import Destination
from egretworks.edge import Edge
from egretworks.exceptions import (
    AttemptTimeout,
    CallError,
    NotReady,
    OutcomeUnknown,
    Overloaded,
    OverQuota,
)
from egretworks.gateinterface import CancelCallback
from egretworks.httpport import HttpExchange
from egretworks.httpwire import Response, error_response
from egretworks.keycheck import KeyCheck
from egretworks.linkframes import (
    Answered,
    LossReason,
    Lost,
    Offer,
    Outcome,
    RefusalReason,
    Refused,
)
from egretworks.meshretrybudget import RetryBounds
from egretworks.meshroutes import MeshRoute
from egretworks.metrics import Metrics
from egretworks.quotaclient import QuotaClient, QuotaTicket
from egretworks.refusals import refusal_response, retry_after_ms
from egretworks.rolloutlinks import NO_ROLLOUTS, NoRollouts
from egretworks.runningrequests import RunningRequests
from egretworks.streams import call_later
from egretworks.targetselection import (
    FEW_SLOTS,
    TargetEstimate,
    assume_unknown_work,
    select_target,
)
from egretworks.teams import NO_TEAM, MeshTeam
from egretworks.types import CallId, RandomSource, Repeat, ServiceName

if TYPE_CHECKING:
    from egretworks.forwarding import Forwarder

# The target's daemon answers at the deadline. A request is failed this much later in case that
# daemon does not answer.
DEADLINE_GRACE_MS = 120
# A request that a gate refuses without sending it to its target is offered again until it has had
# this many offers. Such another offer costs no retry budget, as no target has received the request.
MAX_OFFERS = 10
# In services with few slots, up to this many offers search for a free slot before the request
# waits at a gate: a daemon's knowledge of a target's load is up to a second old, and at few slots
# it tells little about which of them are free.
MAX_SEARCH_OFFERS = 3
# After this many offers in its own data centre, a request goes wherever it is answered soonest: at
# a crest the targets of one data centre are full, while others have room.
MAX_NEAR_OFFERS = 6
# Another attempt with less time left than this cannot succeed.
MIN_ATTEMPT_MS = 20.0
# A gate sorts requests that will be late behind the rest. So a refusal of a request with less than
# this share of its objective left says nothing about other requests.
MIN_OBJECTIVE_LEFT_SHARE = 0.3
NOT_READY_RETRY_AFTER_MS = 250.0


class ForwardHost(msgspec.Struct, frozen=True):
    """Hold the parts of the daemon that forwarding uses."""

    clock: Clock
    random: RandomSource
    edge: Edge
    metrics: Metrics
    calls: CallLog
    config: ConfigHolder
    # Returns the destinations that accept requests for a service.
    destinations: Callable[[ServiceName], list[Destination]]
    # Returns how many daemons share the retry budget.
    daemons: Callable[[], int]
    # Returns the service of the local target, which is sent as the caller of all requests.
    own_service: Callable[[], ServiceName]
    retry_bounds: Callable[[], RetryBounds]
    # Since when this daemon has certainly spent no retry budget, also in earlier runs.
    unspent_since: Millis
    # Holds the requests that run at the local target.
    running_requests: RunningRequests
    # Decides which callers' keys are accepted.
    key_check: KeyCheck
    # Holds the teams to their quotas; None in tests without quotas.
    quota: QuotaClient | None = None
    # Tells which versions of a service a request may go to.
    rollouts: NoRollouts = NO_ROLLOUTS


class AcceptedCall(msgspec.Struct, frozen=True):
    """Hold a request that this daemon forwards, and when it came."""

    id: CallId
    route: MeshRoute
    service: ServiceName
    began: Millis
    # Milliseconds that the caller waits.
    left_ms: float
    # The team that holds the caller's key, or `NO_TEAM`.
    team: MeshTeam = NO_TEAM

    @property
    def deadline(self) -> Millis:
        """Return when the caller leaves or the route's timeout ends, whichever comes first."""
        return Millis(self.began + min(self.left_ms, self.route.timeout_ms))


class ForwardedCall:
    """Hold one request while it is forwarded.

    It ends once: with an answer, an error, a refusal or the caller's disconnect.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        exchange: HttpExchange,
        accepted: AcceptedCall,
        call_share: float,
    ) -> None:
        """`call_share` is the probability that the local target makes the request in a retry."""
        route, now = accepted.route, accepted.began
        self._forwarder = forwarder
        self._host = forwarder.host
        self._exchange = exchange
        self._id = accepted.id
        self._route = route
        self._service = accepted.service
        self._started = now
        self._initial_left_ms = accepted.left_ms
        self._deadline = accepted.deadline
        waited_ms = forwarder.caller_timeouts.waited_ms(route.name, accepted.left_ms, now)
        self._objective_at = Millis(now + route.objective_ms - waited_ms)
        self._idempotent = route.repeat is Repeat.IDEMPOTENT
        self._team = accepted.team
        self._headers = self._host.edge.forwarded_headers(
            exchange.request, keyed=self._host.config.teams is not None
        )
        self._versions = self._host.rollouts.begin_call(self._service)
        self._tried: list[Destination] = []
        # Destinations that were offered the request and had no free slot.
        self._searched: list[Destination] = []
        self._searching = False
        self._offers = 0
        # Counts all offers, also those that search for a free slot.
        self._offer_number = 0
        self._call_share = call_share
        # How many targets have received the request, as far as is known.
        self._attempt_count = 0
        self._may_have_run = False
        self._failed_answer: Answered | None = None
        # For the log: the estimate for each target tried and the outcome there.
        self._attempts: list[dict[str, object]] = []
        self._cancel_offer: CancelCallback | None = None
        self._ended = False
        # Holds the token of the request; None if its team has no quota.
        self._ticket: QuotaTicket | None = None
        if self._team.limited and self._host.quota is not None:
            self._ticket = QuotaTicket(self._team, self._on_quota_decided)
        self._timer = call_later(self._deadline - now + DEADLINE_GRACE_MS, self._on_deadline)

    def start(self) -> None:
        """Offer the request, once it has a token if its team has a quota."""
        if self._ticket is None:
            self.offer_next()
        else:
            self._host.quota.submit(self._ticket)

    def offer_next(self) -> None:
        """Offer the request to the best target that has not been tried yet."""
        now = self._host.clock.now()
        untried = self._untried()
        destinations = self._not_busy(untried) or untried
        estimates = [destination.estimate(now) for destination in destinations]
        assume_unknown_work(estimates)
        destinations, estimates = self._search_first(destinations, estimates)
        near_offers = sum(destination.near for destination in self._tried)
        index = select_target(estimates, self._host.random, avoid_far=near_offers < MAX_NEAR_OFFERS)
        if index is None or self._deadline - now < 1:
            self._refuse(
                NOT_READY_RETRY_AFTER_MS, "no serving target of the service, or no time left"
            )
            return
        destination = destinations[index]
        self._tried.append(destination)
        self._offers += not self._searching
        self._log_offer(destination, estimates[index], now)
        self._cancel_offer = None
        self._offer_number += 1
        number = self._offer_number
        cancel = destination.offer(self._make_offer(now), self._on_outcome)
        # The outcome may have arrived before `offer` returned, and may have led to another offer.
        if not self._ended and self._offer_number == number:
            self._cancel_offer = cancel

    def _search_first(
        self, destinations: list[Destination], estimates: list[TargetEstimate]
    ) -> tuple[list[Destination], list[TargetEstimate]]:
        """Return the destinations that probably have a free slot, or all if the search is over."""
        self._searching = False
        if len(self._searched) >= MAX_SEARCH_OFFERS:
            return destinations, estimates
        free = [
            (destination, estimate)
            for destination, estimate in zip(destinations, estimates, strict=True)
            if estimate.load < estimate.slots <= FEW_SLOTS and destination not in self._searched
        ]
        if not free:
            return destinations, estimates
        self._searching = True
        return [destination for destination, _ in free], [estimate for _, estimate in free]

    def on_caller_gone(self) -> None:
        """Cancel the request after its caller has disconnected."""
        if self._end(not_run=not self._tried):
            self._host.metrics.count("calls_abandoned")
            self._host.calls.step("call_abandoned", self._id, attempts=self._attempts)
            if self._cancel_offer is not None:
                self._cancel_offer()

    def _on_quota_decided(self, error: OverQuota | NotReady | None, after_ms: float) -> None:
        if error is None:
            self.offer_next()
        elif isinstance(error, NotReady):
            self._refuse(NOT_READY_RETRY_AFTER_MS, error.message, error)
        else:
            response = refusal_response(error, after_ms)
            facts = {"pool": self._ticket.pool, "retry_after_ms": round(after_ms)}
            self._finish("over_quota", error.message, response, **facts)

    def _make_offer(self, now: Millis) -> Offer:
        request = self._exchange.request
        return Offer(
            serial=0,
            call=self._id,
            route=self._route.name,
            service=self._service,
            caller=self._host.own_service(),
            method=request.method,
            url=request.url,
            headers=self._headers,
            body=request.body,
            left_ms=round(self._deadline - now, 1),
            objective_left_ms=round(self._objective_at - now, 1),
            priority=self._route.priority,
            idempotent=self._idempotent,
            retry=self._attempt_count > 0,
            call_share=self._call_share,
            team=self._team.name,
            team_priority=self._team.priority,
            team_weight=self._team.weight,
            may_wait=not self._searching,
        )

    def _on_outcome(self, outcome: Outcome) -> None:
        if self._ended:
            return
        self._log_outcome(outcome)
        if isinstance(outcome, Answered):
            self._on_answered(outcome)
        elif isinstance(outcome, Refused):
            self._on_refused(outcome)
        else:
            self._on_lost(outcome)

    def _on_answered(self, outcome: Answered) -> None:
        self._attempt_count += 1
        if outcome.status >= 500 and self._idempotent:
            self._may_have_run = True
            self._failed_answer = outcome
            if self._may_retry("failed"):
                self.offer_next()
                return
        self._deliver(outcome)

    def _on_refused(self, outcome: Refused) -> None:
        if self._searching and outcome.reason is RefusalReason.BUSY:
            # The request may still wait there if no free slot is found.
            self._searched.append(self._tried.pop())
            self.offer_next()
            return
        self._remember_busy(outcome)
        if outcome.reason is RefusalReason.NOT_SERVING:
            self._host.rollouts.on_not_serving(self._service, self._tried[-1].name)
        if outcome.reached_target:
            self._attempt_count += 1
            retry = self._may_retry("declined")
        else:
            retry = self._offers < MAX_OFFERS and not self._waited_late(outcome)
            retry = retry and outcome.reason is not RefusalReason.RETRY_BUDGET
            retry = retry and bool(self._not_busy(self._untried()))
        if retry:
            self.offer_next()
        else:
            self._refuse(outcome.retry_after_ms, outcome.reason.name.lower())

    def _waited_late(self, outcome: Refused) -> bool:
        """Return whether the request was late, waited at a gate and got no slot."""
        is_late = self._host.clock.now() > self._objective_at
        return is_late and outcome.reason is RefusalReason.EXPIRED

    def _on_lost(self, outcome: Lost) -> None:
        self._attempt_count += 1
        self._may_have_run = True
        timed_out = outcome.reason is LossReason.TIMED_OUT
        if self._idempotent and not timed_out and self._may_retry("lost"):
            self.offer_next()
            return
        error_class = AttemptTimeout if timed_out else OutcomeUnknown
        self._fail(error_class(f"the answer of the target was lost: {outcome.reason.name.lower()}"))

    def _may_retry(self, ended: str) -> bool:
        """Return whether the request may be sent to another target; if so, spend retry budget.

        `ended` tells for the metrics how the attempt before has ended.
        """
        now = self._host.clock.now()
        if self._attempt_count >= self._route.max_attempts or not self._untried():
            return False
        if self._deadline - now < MIN_ATTEMPT_MS:
            return False
        allowed = self._forwarder.budget(self._service).try_spend(self._host.daemons(), now)
        self._host.metrics.count("attempts_again" if allowed else "attempts_over_budget")
        if allowed:
            self._host.metrics.count(f"attempts_again_after_{ended}")
        return allowed

    def _untried(self) -> list[Destination]:
        destinations = self._host.destinations(self._service)
        if self._versions is not None:
            destinations = self._versions.allowed(destinations, first=not self._tried)
        return [destination for destination in destinations if destination not in self._tried]

    def _remember_busy(self, outcome: Refused) -> None:
        """Remember the refusal if other requests of the route would be refused too."""
        now = self._host.clock.now()
        in_time = self._objective_at - now >= self._route.objective_ms * MIN_OBJECTIVE_LEFT_SHARE
        if outcome.reason is RefusalReason.BUSY and in_time:
            self._forwarder.refusals.record(
                *(self._tried[-1].name, self._route.name, outcome.retry_after_ms, now),
                few_slots=outcome.report.slots <= FEW_SLOTS,
            )

    def _not_busy(self, destinations: list[Destination]) -> list[Destination]:
        """Return those of `destinations` that have not refused a request of the route just now."""
        now, refusals = self._host.clock.now(), self._forwarder.refusals
        route = self._route.name
        return [
            destination
            for destination in destinations
            if not refusals.is_busy(destination.name, route, now)
        ]

    def _on_deadline(self) -> None:
        if self._cancel_offer is not None:
            self._cancel_offer()
        if self._offer_number:
            self._fail(AttemptTimeout("no answer before the deadline"))
        else:
            self._refuse(NOT_READY_RETRY_AFTER_MS, "no quota token before the deadline")

    def _refuse(self, suggested_ms: float, reason: str, error: CallError | None = None) -> None:
        """Answer that the request was not run, unless an earlier attempt may have run it.

        `suggested_ms` is the delay before a retry that the gate suggests; it is adjusted to the
        time that the caller has left. `error` is answered, or `Overloaded` without one.
        """
        if self._failed_answer is not None:
            self._deliver(self._failed_answer)
            return
        if self._may_have_run:
            self._fail(OutcomeUnknown("an earlier attempt may have run"))
            return
        now = self._host.clock.now()
        left_ms = self._started + self._initial_left_ms - now
        after_ms = retry_after_ms(suggested_ms, left_ms, self._host.random)
        response = refusal_response(error or Overloaded(reason), after_ms)
        self._finish("refused", reason, response, not_run=True)

    def _fail(self, error: CallError) -> None:
        self._finish("failed", error.message, error_response(error))

    def _deliver(self, answer: Answered) -> None:
        response = Response(answer.status, answer.headers, answer.body)
        self._finish("answered", str(answer.status), response)

    def _finish(
        self, result: str, reason: str, response: Response, *, not_run: bool = False, **facts: int
    ) -> None:
        if not self._end(not_run=not_run):
            return
        host = self._host
        took_ms = host.clock.now() - self._started
        host.metrics.count(f"calls_{result}")
        host.metrics.observe("call", took_ms)
        failed = result != "answered" or response.status >= 500
        log = host.calls.failure if failed else host.calls.step
        log(
            f"call_{result}",
            self._id,
            status=response.status,
            reason=reason,
            route=self._route.name,
            service=self._service,
            team=self._team.name,
            version=host.config.version,
            took_ms=round(took_ms, 1),
            attempts=self._attempts,
            **facts,
        )
        self._exchange.respond(response)

    def _log_offer(self, destination: Destination, estimate: TargetEstimate, now: Millis) -> None:
        self._attempts.append(
            {
                "daemon": destination.name,
                "at_ms": round(now - self._started, 1),
                "load": estimate.load,
                "slots": estimate.slots,
                "work_ms": estimate.work_ms,
                "suspect": estimate.suspect,
                "near": estimate.near,
            }
        )

    def _log_outcome(self, outcome: Outcome) -> None:
        now = self._host.clock.now()
        attempt = self._attempts[-1]
        attempt["ended_ms"] = round(now - self._started, 1)
        if isinstance(outcome, Answered):
            attempt["outcome"] = str(outcome.status)
        else:
            attempt["outcome"] = f"{type(outcome).__name__.lower()} {outcome.reason.name.lower()}"

    def _end(self, *, not_run: bool) -> bool:
        """Mark the call as ended; return False if it had ended before.

        `not_run` tells that no target has run or will run the request, so that it needs no token.
        """
        if self._ended:
            return False
        self._ended = True
        if self._ticket is not None:
            self._host.quota.end(self._ticket, not_run=not_run)
        self._timer.cancel()
        self._forwarder.in_flight -= 1
        return True
