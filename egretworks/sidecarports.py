"""Open the ports of the daemon beside a target, and serve all but callers' requests and links."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from egretworks.bytebudget import ByteBudget
from egretworks.clock import Clock
from egretworks.config import SidecarSettings
from egretworks.configholder import ConfigHolder
from egretworks.edge import Departure, Edge, Heartbeat
from egretworks.exceptions import BadRequest, CallError, SettingsError
from egretworks.httpport import HttpExchange, HttpPort
from egretworks.httpwire import Response, error_response
from egretworks.meshroutes import CallerLimits
from egretworks.streams import Listener, Stream, call_later
from egretworks.timeline import Timeline
from egretworks.types import Endpoint, parse_endpoint

# Interval at which connections of the HTTP ports are checked for timeouts.
SWEEP_MS = 500
# Longest body on the ports that take no callers' requests; a heartbeat has less than 1 KB.
MAX_CONTROL_BODY_BYTES = 65_536


class PortHost(msgspec.Struct, frozen=True):
    """Hold the parts of the daemon that its ports use."""

    settings: SidecarSettings
    clock: Clock
    edge: Edge
    timeline: Timeline
    config: ConfigHolder
    # Returns whether the daemon is shutting down.
    is_stopping: Callable[[], bool]
    # Called with each request of a caller.
    serve_call: Callable[[HttpExchange], None]
    # Called with the error for which a request is rejected before it is complete.
    on_rejected: Callable[[CallError], None]
    # Called with each connection of another daemon.
    accept_link: Callable[[Stream], None]
    # Called with what the local target announces.
    on_announcement: Callable[[Heartbeat | Departure], None]
    # Returns the page of metrics.
    metrics_page: Callable[[], bytes]
    # Counts the bytes of callers' requests.
    body_budget: ByteBudget
    # Counts the bytes of requests on the other ports.
    control_budget: ByteBudget


class SidecarPorts:
    """Hold the ports for callers, other daemons, readiness checks, heartbeats and metrics."""

    def __init__(self, host: PortHost) -> None:
        """Open all ports, or raise `SettingsError`."""
        self._host = host
        settings = host.settings
        listen = settings.listen
        try:
            self._ready = self._open_control(parse_endpoint(listen.ready), self._serve_ready)
            self._announcements = self._open_control(
                parse_endpoint(listen.announcements), self._serve_announcement
            )
            self.calls = self._open(
                parse_endpoint(listen.calls),
                host.serve_call,
                lambda: host.config.limits,
                host.body_budget,
            )
            link_endpoint = Endpoint(settings.instance.host, listen.link_port)
            self._link_listener = Listener(link_endpoint, host.accept_link)
            self._metrics = self._open_control(
                Endpoint(settings.instance.host, listen.metrics_port), self._serve_metrics
            )
        except OSError as error:
            raise SettingsError(
                f"a port of instance {settings.instance.id!r} can't be opened: {error}"
            ) from error

    def start_sweeping(self) -> None:
        """Check the connections for timeouts from now on."""
        call_later(SWEEP_MS, self._sweep)

    def _sweep(self) -> None:
        call_later(SWEEP_MS, self._sweep)
        for port in (self.calls, self._announcements, self._ready, self._metrics):
            port.sweep()

    def _open_control(self, endpoint: Endpoint, serve: Callable[[HttpExchange], None]) -> HttpPort:
        """Open a port for short requests, which don't compete for memory with those of callers."""

        def limits() -> CallerLimits:
            in_force = self._host.config.limits
            return msgspec.structs.replace(in_force, max_body_bytes=MAX_CONTROL_BODY_BYTES)

        return self._open(endpoint, serve, limits, self._host.control_budget)

    def _open(
        self,
        endpoint: Endpoint,
        serve: Callable[[HttpExchange], None],
        limits: Callable[[], CallerLimits],
        budget: ByteBudget,
    ) -> HttpPort:
        host = self._host
        return HttpPort(endpoint, host.clock, limits, serve, budget, host.on_rejected)

    def _serve_ready(self, exchange: HttpExchange) -> None:
        host = self._host
        ready = host.config.config is not None and not host.is_stopping()
        is_check = host.edge.is_readiness_check(exchange.request)
        status = 404 if not is_check else 200 if ready else 503
        exchange.respond(Response(status, [], b""))

    def _serve_announcement(self, exchange: HttpExchange) -> None:
        host = self._host
        try:
            announcement = host.edge.read_announcement(exchange.request)
            if isinstance(announcement, Heartbeat):
                self._check_heartbeat(announcement)
        except BadRequest as error:
            host.timeline.record("announcement_refused", detail=error.message)
            exchange.respond(error_response(error))
            return
        host.on_announcement(announcement)
        exchange.respond(Response(200, [(b"Content-Type", b"application/json")], b"{}"))

    def _check_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Raise `BadRequest` for a target on another instance or of an undefined service."""
        if heartbeat.endpoint.host != self._host.settings.instance.host:
            raise BadRequest(
                f"target {heartbeat.id} at {heartbeat.endpoint} is not on this instance"
            )
        config = self._host.config.config
        if config is not None and heartbeat.service not in config.services_by_name:
            raise BadRequest(f"target {heartbeat.id}: service {heartbeat.service!r} is not defined")

    def _serve_metrics(self, exchange: HttpExchange) -> None:
        body = self._host.metrics_page()
        exchange.respond(Response(200, [(b"Content-Type", b"text/plain")], body))
