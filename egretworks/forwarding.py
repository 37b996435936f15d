"""Forward callers' requests: find the route and hold what the requests share."""

from __future__ import annotations

from collections.abc import Mapping

from egretworks.callertimeouts import CallerTimeouts
from egretworks.clock import Millis
from egretworks.edge import CallHead
from egretworks.exceptions import CallError, NoRoute, NotReady
from egretworks.forwardedcall import (
    NOT_READY_RETRY_AFTER_MS,
    AcceptedCall,
    ForwardedCall,
    ForwardHost,
)
from egretworks.httpport import HttpExchange
from egretworks.meshretrybudget import MeshRetryBudget
from egretworks.meshroutes import Splitter
from egretworks.plannedstop import PlannedStop
from egretworks.refusals import RecentRefusals, refusal_response
from egretworks.types import CallId, ServiceName

# Deadline of a request that states none.
DEFAULT_TIMEOUT_MS = 15_000.0
# Logged as the id of a request whose head could not be read.
UNKNOWN_CALL_ID = CallId("")


class Forwarder:
    """Forward the requests of this daemon's callers and hold the state that they share."""

    def __init__(self, host: ForwardHost) -> None:
        self.host = host
        self.splitter = Splitter(host.random.random())
        self.caller_timeouts = CallerTimeouts()
        self.refusals = RecentRefusals()
        self.budget_by_service: dict[ServiceName, MeshRetryBudget] = {}
        self.in_flight = 0
        # Set while the daemon stops.
        self.stop: PlannedStop | None = None

    def serve(self, exchange: HttpExchange) -> None:
        """Start forwarding the request of `exchange`, or answer it with an error."""
        id = UNKNOWN_CALL_ID
        try:
            head = self.host.edge.read_head(exchange.request)
            id = head.id
            call = self._begin(exchange, head)
        except CallError as error:
            self.record_rejection(error, id)
            after_ms = NOT_READY_RETRY_AFTER_MS if isinstance(error, NotReady) else 0.0
            exchange.respond(refusal_response(error, after_ms))
            return
        self.in_flight += 1
        exchange.on_disconnect = call.on_caller_gone
        call.start()

    def record_rejection(self, error: CallError, id: CallId = UNKNOWN_CALL_ID) -> None:
        """Count and log a request that is answered with `error` without being offered."""
        self.host.metrics.count(f"errors_{error.code.replace('.', '_')}")
        self.host.calls.failure("call_turned_away", id, code=error.code, reason=error.message)

    def budget(self, service: ServiceName) -> MeshRetryBudget:
        """Return the retry budget of `service`."""
        budget = self.budget_by_service.get(service)
        if budget is None:
            budget = MeshRetryBudget(self.host.retry_bounds, self.host.unspent_since)
            self.budget_by_service[service] = budget
        return budget

    def allows_calls(self, calls_by_service: Mapping[ServiceName, float]) -> bool:
        """Return whether the retry budgets allow the calls that local retries may make."""
        now, daemons = self.host.clock.now(), self.host.daemons()
        return all(
            self.budget(service).allows_calls(calls, daemons, now)
            for service, calls in calls_by_service.items()
        )

    def _begin(self, exchange: HttpExchange, head: CallHead) -> ForwardedCall:
        host = self.host
        request = exchange.request
        if host.config.config is None:
            raise NotReady("this daemon has no configuration yet")
        route = host.config.index.find(request.header(b"host"), request.path)
        if route is None:
            raise NoRoute(
                f"no route of configuration version {host.config.version} matches the request"
            )
        left_ms = DEFAULT_TIMEOUT_MS if head.left_ms is None else head.left_ms
        team = host.key_check.team_of(head.key, route)
        now, service = host.clock.now(), self.splitter.choose(route)
        call = AcceptedCall(head.id, route, service, now, left_ms, team)
        if self.stop is not None and self.stop.is_too_late(now, call.deadline):
            raise NotReady("this daemon stops before the request expires")
        call_share = host.running_requests.attribute(service, Millis(now + left_ms))
        self.budget(service).count_request(now, call_share)
        return ForwardedCall(self, exchange, call, call_share)
