"""Carry one call: match its route, acquire a slot at a target, attempt, retry and answer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol
from urllib.parse import unquote

import eventlet.event

from egretworks.admission import OfferedTarget, ServicePool, Slot, Waiter
from egretworks.blackboard import Blackboard, KnownTarget
from egretworks.clock import Millis, seconds
from egretworks.deadlines import CallContext, context_headers, read_context
from egretworks.exceptions import (
    AttemptTimeout,
    BadRequest,
    CallerGone,
    CallError,
    ConnectFailed,
    DeadlineExceeded,
    NoRoute,
    NotReady,
    OutcomeUnknown,
    Overloaded,
    TargetRefused,
)
from egretworks.httpwire import (
    NOT_RUN_HEADER,
    Request,
    Response,
    encode_request,
    error_response,
)
from egretworks.metrics import Metrics
from egretworks.plannedstop import PlannedStop
from egretworks.resources import Route
from egretworks.retry import RetryBudget, retry_delay_ms
from egretworks.routing import RouteTable
from egretworks.state import MeshState
from egretworks.types import Repeat, ServiceName, TargetId
from egretworks.upstream import Upstream

RunAttempts = Callable[[], Response]

# Path prefix, followed by SERVICE/KEY, at which callers query the state of a once-only call.
ONCE_PATH = "/.egret/once/"


class OnceService(Protocol):
    """Carry once-only calls and report their state."""

    def serve(self, call: Call, run_attempts: RunAttempts) -> Response:
        """Return the answer to `call`, which `run_attempts` sends if it may run."""

    def describe(self, service: str, key: str) -> Response:
        """Return an answer with the recorded state of `key` within `service`."""


class Call:
    """Hold a call in flight: its request, route, context and the targets tried so far."""

    def __init__(self, request: Request, route: Route, context: CallContext) -> None:
        self.request = request
        self.route = route
        self.context = context
        self.tried: frozenset[TargetId] = frozenset()
        self.attempts = 0


class Dispatcher:
    """Carry the calls of one daemon.

    Holds the route table of the configuration in force and, for each service, the pool that admits
    calls and the retry budget. `in_flight` counts the calls that have not been answered yet.
    """

    def __init__(self, board: Blackboard, upstream: Upstream, metrics: Metrics) -> None:
        self._board = board
        self._upstream = upstream
        self._metrics = metrics
        self._state: MeshState | None = None
        self._routes = RouteTable(())
        self._pools_by_service: dict[ServiceName, ServicePool] = {}
        self._budgets_by_service: dict[ServiceName, RetryBudget] = {}
        self._targets_by_service: dict[ServiceName, list[KnownTarget]] = {}
        self._admitted_by_waiter: dict[Waiter, eventlet.event.Event] = {}
        self._calls_started = 0
        self.in_flight = 0
        self.once: OnceService | None = None
        # Set while the daemon stops.
        self.stop: PlannedStop | None = None

    def serve(self, request: Request) -> Response:
        """Return the target's answer to `request`, or an error answer of this daemon."""
        started = self._board.clock.now()
        self.in_flight += 1
        try:
            response = self._serve(request, started)
            self._metrics.count("calls_answered")
        except CallError as error:
            self._metrics.count("calls_refused" if error.not_run else "calls_failed")
            self._metrics.count(f"errors_{error.code.replace('.', '_')}")
            response = error_response(error)
        finally:
            self.in_flight -= 1
        self._metrics.observe("call", self._board.clock.now() - started)
        return response

    def admit_waiting(self) -> None:
        """Admit queued calls of all services, after targets or limits may have changed."""
        for service in list(self._pools_by_service):
            self._admit_waiting(self._pool(service))

    def waiting(self) -> int:
        """Return the number of calls queued for a slot."""
        return sum(pool.waiting() for pool in self._pools_by_service.values())

    def _serve(self, request: Request, now: Millis) -> Response:
        board = self._board
        if request.path.startswith(ONCE_PATH):
            return self._describe_once(request.path.removeprefix(ONCE_PATH))
        if not board.ready:
            raise NotReady("this daemon has no configuration in force yet")
        route = self.route_of(request)
        self._calls_started += 1
        context = read_context(
            request,
            now,
            route.timeout_ms,
            board.settings.calls.max_depth,
            f"{board.own_id}-{board.membership.own.incarnation:x}-{self._calls_started:x}",
        )
        if self.stop is not None and self.stop.is_too_late(now, context.deadline):
            raise NotReady("this daemon stops before the call expires")
        call = Call(request, route, context)
        if route.repeat is Repeat.ONCE:
            # A once-only call is completed and recorded even if its caller disconnects, so
            # `request.cancel_on_disconnect` is not entered here.
            return self._once_service().serve(call, lambda: self.run_attempts(call))
        with request.cancel_on_disconnect:
            return self.run_attempts(call)

    def route_of(self, request: Request) -> Route:
        """Return the route in force that `request` matches, or raise `NoRoute`."""
        self._refresh_routes()
        route = self._routes.find(request.header(b"host"), request.path, request.method)
        if route is None:
            raise NoRoute(f"no route matches {request.method} {request.path[:100]}")
        return route

    def _once_service(self) -> OnceService:
        if self.once is None:
            raise NotReady("this daemon can't record once-only calls yet")
        return self.once

    def _describe_once(self, subpath: str) -> Response:
        service, _, key = subpath.partition("/")
        if not service or not key:
            raise BadRequest(
                f"the path must be {ONCE_PATH}SERVICE/KEY, not {ONCE_PATH}{subpath[:100]}"
            )
        return self._once_service().describe(service, unquote(key))

    def run_attempts(self, call: Call) -> Response:
        """Attempt `call` until it is answered, or raise the error of the last attempt allowed."""
        budget = self._budget(ServiceName(call.route.service))
        budget.earn(call.route.retry.budget_percent)
        attempt = 1
        may_have_run = False
        while True:
            self._metrics.count("attempts")
            try:
                return self._attempt(call)
            except CallError as error:
                may_have_run = may_have_run or not error.not_run
                delay = retry_delay_ms(
                    error,
                    attempt,
                    call.route.retry,
                    call.route.repeat,
                    budget,
                    self._board.clock.now(),
                    call.context.deadline,
                    self._board.random,
                )
                if delay is None:
                    raise _final_error(error, may_have_run) from error
            self._metrics.count("retries")
            eventlet.sleep(seconds(delay))
            attempt += 1

    def _attempt(self, call: Call) -> Response:
        pool = self._pool(ServiceName(call.route.service))
        slot = self._acquire(pool, call)
        call.tried |= {TargetId(slot.target.row.id)}
        call.attempts += 1
        started = self._board.clock.now()
        try:
            response = self._exchange(slot, call)
        except CallError as error:
            self._record_failure(slot, error, started)
            raise
        finally:
            pool.release(slot)
            self._admit_waiting(pool)
        took_ms = self._board.clock.now() - started
        slot.load.record_success(slot.work, took_ms, self._board.clock.now())
        self._metrics.observe("attempt", took_ms)
        return response

    def _exchange(self, slot: Slot, call: Call) -> Response:
        now = self._board.clock.now()
        if call.context.left_ms(now) <= 0:
            raise DeadlineExceeded("the deadline passed before the request was sent")
        row = slot.target.row
        data = encode_request(
            call.request,
            call.request.header(b"host") or row.service,
            context_headers(call.context, now),
        )
        # A further attempt has the same call id as the first, so that an answer to that one, sent
        # again, could not be told from its own.
        answer = self._upstream.exchange(
            (row.host, row.port),
            call.request.method,
            data,
            call.context.deadline,
            call.context.id,
            new_connection=call.route.repeat is Repeat.ONCE or call.attempts > 1,
        )
        response = answer.response
        if response.status == 503 and response.header(NOT_RUN_HEADER) == "true":
            if not answer.certain:
                raise OutcomeUnknown(f"target {row.id} sent a refusal that may be an earlier one")
            raise TargetRefused(f"target {row.id} refused the request without running it")
        return response

    def _record_failure(self, slot: Slot, error: CallError, started: Millis) -> None:
        now = self._board.clock.now()
        if isinstance(error, TargetRefused):
            slot.load.record_refusal(now)
        elif isinstance(error, ConnectFailed):
            slot.load.record_failure(now)
        elif isinstance(error, AttemptTimeout):
            slot.load.record_timeout(now - started, now)

    def _acquire(self, pool: ServicePool, call: Call) -> Slot:
        """Return a slot at a target, queueing while none is free.

        Raises `Overloaded` if the queue is full, the deadline has passed or no slot becomes free in
        time.
        """
        now = self._board.clock.now()
        slot = pool.acquire(call.route.work, now, call.tried)
        if slot is not None:
            return slot
        waiter = pool.enqueue(call.route.work, now, call.context.deadline)
        if waiter is None:
            raise Overloaded(
                f"service {pool.service.name}: the queue of {call.route.work.value} work is full "
                f"(limit {pool.service.limits.queue}) or the deadline has passed"
            )
        return self._wait_for_slot(pool, waiter)

    def _wait_for_slot(self, pool: ServicePool, waiter: Waiter) -> Slot:
        """Block until `waiter` is admitted, or raise `Overloaded` when it expires.

        If the caller disconnects meanwhile, a slot that was granted already is released.
        """
        admitted = eventlet.event.Event()
        self._admitted_by_waiter[waiter] = admitted
        self._board.calls_queued.set()
        left_ms = waiter.expires_at - self._board.clock.now()
        try:
            with eventlet.Timeout(seconds(left_ms), False):
                admitted.wait()
        except CallerGone:
            if waiter.slot is not None:
                pool.release(waiter.slot)
            raise
        finally:
            del self._admitted_by_waiter[waiter]
            if waiter.slot is None:
                pool.cancel(waiter)
        if waiter.slot is None:
            reason = (
                "no slot became free in time"
                if pool.has_targets()
                else "no target has announced itself, or all are leaving or gone"
            )
            raise Overloaded(f"service {pool.service.name}: {reason}")
        return waiter.slot

    def _admit_waiting(self, pool: ServicePool) -> None:
        """Admit queued calls of `pool` and wake the green threads that wait for them."""
        if not pool.waiting():
            return
        for waiter in pool.admit_waiting(self._board.clock.now()):
            admitted = self._admitted_by_waiter.get(waiter)
            if admitted is None:
                pool.release(waiter.slot)
            else:
                admitted.send()

    def _pool(self, service: ServiceName) -> ServicePool:
        """Return the pool of `service`, with new targets if the member table has changed."""
        pool = self._pools_by_service[service]
        known = self._board.targets_of(service)
        if self._targets_by_service.get(service) is not known:
            self._targets_by_service[service] = known
            daemons = len(self._board.membership.live_members())
            pool.set_targets([self._offered_target(target) for target in known], daemons)
        return pool

    def _offered_target(self, target: KnownTarget) -> OfferedTarget:
        near = target.member.data_centre == self._board.data_centre
        return OfferedTarget(target.row, near, target.member.state)

    def _budget(self, service: ServiceName) -> RetryBudget:
        return self._budgets_by_service.setdefault(service, RetryBudget())

    def _refresh_routes(self) -> None:
        """Rebuild the routes and update the pools if the configuration in force has changed."""
        state = self._board.in_force.state
        if state is self._state:
            return
        self._state = state
        self._routes = RouteTable(state.routes_by_name.values())
        for name, service in state.services_by_name.items():
            pool = self._pools_by_service.get(ServiceName(name))
            if pool is None:
                self._pools_by_service[ServiceName(name)] = ServicePool(service, self._board.random)
            else:
                pool.service = service


def _final_error(error: CallError, may_have_run: bool) -> CallError:
    """Return the error for the caller, given the `error` of the last attempt.

    That is `OutcomeUnknown` if the last attempt did not run the call but an earlier one may have.
    """
    if error.not_run and may_have_run:
        return OutcomeUnknown(
            f"an earlier attempt may have run; the last attempt failed: {error.message}"
        )
    return error
