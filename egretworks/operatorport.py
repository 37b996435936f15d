"""Serve operators' pages, health probes and local targets' announcements over HTTP."""

from __future__ import annotations

import contextlib
import json
import logging
import socket
from collections.abc import Callable, Iterable
from urllib.parse import parse_qs

import eventlet
import msgspec
from eventlet import wsgi

from egretworks.announcing import read_announcement, record_announcement, remove_target
from egretworks.blackboard import Blackboard
from egretworks.controllers import Links
from egretworks.dispatch import Dispatcher
from egretworks.exceptions import BadRequest, EgretError
from egretworks.messages import target_label
from egretworks.metrics import Gauge, Metrics
from egretworks.operatorpages import DaemonStatus, FleetMember, FleetPage, MemberStatus
from egretworks.reporting import centre_status
from egretworks.timeline import EventPage
from egretworks.types import InstanceId, TargetId

MAX_BODY_BYTES = 65_536
MAX_CONNECTIONS = 64
KEEPALIVE_S = 30

log = logging.getLogger(__name__)


class Response(msgspec.Struct, frozen=True):
    """Hold the response to one request."""

    status: str
    body: bytes = b""
    content_type: str = "application/json"


class Request(msgspec.Struct, frozen=True):
    """Hold one request of an operator or target.

    `name` is the last segment of the path if the handler is registered for the part before it, or
    else empty.
    """

    method: str
    name: str
    query: dict[str, str]
    body: bytes


Handler = Callable[["OperatorPort", Request], Response]

# Handlers by method and path, filled by `handler`.
HANDLERS_BY_ENDPOINT: dict[tuple[str, str], Handler] = {}


def handler(method: str, path: str) -> Callable[[Handler], Handler]:
    """Register a function that handles `method` requests at `path` and at `path`/NAME."""

    def register(function: Handler) -> Handler:
        HANDLERS_BY_ENDPOINT[method, path] = function
        return function

    return register


class OperatorPort:
    """Listen on the operator port of the daemon's settings, and serve requests."""

    def __init__(
        self, board: Blackboard, links: Links, dispatcher: Dispatcher, metrics: Metrics
    ) -> None:
        self.board = board
        self.links = links
        self.dispatcher = dispatcher
        self.metrics = metrics
        instance = board.settings.instance
        self._listener = eventlet.listen(
            (instance.host, instance.operator_port), backlog=MAX_CONNECTIONS, reuse_port=False
        )

    def run(self) -> None:
        """Serve requests until the process ends."""
        wsgi.server(
            self._listener,
            self._serve,
            log=log,
            log_output=False,
            debug=False,
            keepalive=KEEPALIVE_S,
            socket_timeout=KEEPALIVE_S,
            custom_pool=eventlet.GreenPool(MAX_CONNECTIONS),
        )

    def close(self) -> None:
        """Stop accepting connections."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _serve(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Serve one request, as a WSGI application."""
        try:
            response = self._dispatch(environ)
        except EgretError as error:
            response = _error_response("400 Bad Request", error)
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
        ]
        start_response(response.status, headers)
        return [response.body]

    def _dispatch(self, environ: dict) -> Response:
        method = environ["REQUEST_METHOD"]
        full_path = environ["PATH_INFO"]
        path, name = full_path, ""
        if (method, path) not in HANDLERS_BY_ENDPOINT:
            path, _, name = full_path.rpartition("/")
        function = HANDLERS_BY_ENDPOINT.get((method, path))
        if function is None:
            return Response("404 Not Found", b'{"error": "operator.no_such_page"}')
        query = {k: v[0] for k, v in parse_qs(environ.get("QUERY_STRING", "")).items()}
        return function(self, Request(method, name, query, _read_body(environ)))


def _read_body(environ: dict) -> bytes:
    try:
        length = int(environ.get("CONTENT_LENGTH") or 0)
    except ValueError as error:
        raise BadRequest(
            f"Content-Length is not a number: {environ['CONTENT_LENGTH']!r}"
        ) from error
    if not 0 <= length <= MAX_BODY_BYTES:
        raise BadRequest(
            f"Content-Length is {length}, but must be from 0 to {MAX_BODY_BYTES} bytes"
        )
    return environ["wsgi.input"].read(length) if length else b""


def _json_response(document: msgspec.Struct, status: str = "200 OK") -> Response:
    return Response(status, msgspec.json.encode(document))


def _error_response(status: str, error: EgretError) -> Response:
    body = {"error": error.code, "message": error.message}
    return Response(status, json.dumps(body).encode())


@handler("GET", "/healthz")
def get_health(port: OperatorPort, request: Request) -> Response:
    """Report that the process runs."""
    return Response("200 OK", b"{}")


@handler("GET", "/readyz")
def get_ready(port: OperatorPort, request: Request) -> Response:
    """Report whether the daemon accepts calls, with status 200 or 503."""
    if port.board.ready and not port.board.stopping:
        return Response("200 OK", b'{"ready": true}')
    return Response("503 Service Unavailable", b'{"ready": false}')


@handler("GET", "/v1/status")
def get_status(port: OperatorPort, request: Request) -> Response:
    """Return the status of this daemon."""
    board = port.board
    refusal = board.in_force.refusal
    return _json_response(
        DaemonStatus(
            id=board.own_id,
            data_centre=board.data_centre,
            version=board.in_force.version,
            ticket=board.in_force.state.ticket,
            digest=board.in_force.state.digest,
            ready=board.ready,
            stopping=board.stopping,
            platform_reached=board.platform_reached,
            members=len(board.membership.live_members()),
            calls_in_hand=port.dispatcher.in_flight,
            calls_waiting=port.dispatcher.waiting(),
            targets=tuple(target_label(t.row) for t in board.local_targets_by_id.values()),
            refused_version=refusal.version if refusal else 0,
            refused_reason=refusal.reason if refusal else "",
        )
    )


@handler("GET", "/v1/fleet")
def get_fleet(port: OperatorPort, request: Request) -> Response:
    """Return all daemons in this daemon's member table, itself included."""
    board = port.board
    members = []
    for row in board.membership.rows_by_id.values():
        id = InstanceId(row.id)
        is_own = id == board.own_id
        version = board.in_force.version if is_own else board.membership.versions_by_id.get(id, 0)
        status = MemberStatus(
            id=row.id,
            host=row.host,
            operator_port=row.operator_port,
            state=row.state.value,
            version=version,
            targets=tuple(target_label(target) for target in row.targets),
        )
        members.append(FleetMember(row.data_centre, status))
    return _json_response(FleetPage(board.own_id, tuple(members)))


@handler("GET", "/v1/centre")
def get_centre(port: OperatorPort, request: Request) -> Response:
    """Return the status of the data centre, as this daemon would write it to the platform."""
    return _json_response(centre_status(port.board))


@handler("GET", "/v1/events")
def get_events(port: OperatorPort, request: Request) -> Response:
    """Return the recent events of this daemon, those with serials above `after` if it is given."""
    after = request.query.get("after", "0")
    if not after.isdigit():
        raise BadRequest(f"after must be a number, not {after!r}")
    return _json_response(EventPage(tuple(port.board.timeline.after(int(after)))))


@handler("GET", "/metrics")
def get_metrics(port: OperatorPort, request: Request) -> Response:
    """Return the metrics in Prometheus text format."""
    board = port.board
    gossip = port.links.gossip
    counts = port.metrics.counts
    counts["gossip_sent_bytes"] = gossip.sent_bytes
    counts["gossip_received_bytes"] = gossip.received_bytes
    counts["gossip_unreadable"] = gossip.unreadable
    gauges = [
        Gauge("version", "version in force", board.in_force.version),
        Gauge("members", "daemons believed alive", len(board.membership.live_members())),
        Gauge("calls_waiting", "calls that wait for a slot", port.dispatcher.waiting()),
    ]
    body = port.metrics.page(lambda: gauges)
    return Response("200 OK", body, "text/plain; version=0.0.4")


@handler("PUT", "/v1/targets")
def put_target(port: OperatorPort, request: Request) -> Response:
    """Record the announcement of the local target that the path names."""
    announcement = read_announcement(request.body)
    record_announcement(port.board, port.links, TargetId(request.name), announcement)
    return Response("200 OK", b"{}")


@handler("DELETE", "/v1/targets")
def delete_target(port: OperatorPort, request: Request) -> Response:
    """Remove the local target that the path names, at its own request."""
    remove_target(port.board, port.links, TargetId(request.name), "withdrew itself")
    return Response("200 OK", b"{}")
