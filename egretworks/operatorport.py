"""Answer operators, probes and the local target's announcements over HTTP."""

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


class Answer(msgspec.Struct, frozen=True):
    """Hold the answer to one request."""

    status: str
    body: bytes = b""
    content_type: str = "application/json"


class Asked(msgspec.Struct, frozen=True):
    """Hold one request of an operator or target."""

    method: str
    name: str
    query: dict[str, str]
    body: bytes


Handler = Callable[["OperatorPort", Asked], Answer]

HANDLERS_BY_PLACE: dict[tuple[str, str], Handler] = {}


def handler(method: str, place: str) -> Callable[[Handler], Handler]:
    """Register a function that answers `method` requests at `place`."""

    def register(function: Handler) -> Handler:
        HANDLERS_BY_PLACE[method, place] = function
        return function

    return register


class OperatorPort:
    """Serve operators on `host` and `port`."""

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
        """Serve until the process ends."""
        wsgi.server(
            self._listener,
            self._answer,
            log=log,
            log_output=False,
            debug=False,
            keepalive=KEEPALIVE_S,
            socket_timeout=KEEPALIVE_S,
            custom_pool=eventlet.GreenPool(MAX_CONNECTIONS),
        )

    def close(self) -> None:
        """Close the port."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _answer(self, environ: dict, start: Callable) -> Iterable[bytes]:
        try:
            answer = self._route(environ)
        except EgretError as error:
            answer = _error("400 Bad Request", error)
        headers = [
            ("Content-Type", answer.content_type),
            ("Content-Length", str(len(answer.body))),
        ]
        start(answer.status, headers)
        return [answer.body]

    def _route(self, environ: dict) -> Answer:
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        place, name = path, ""
        if (method, place) not in HANDLERS_BY_PLACE:
            place, _, name = path.rpartition("/")
        function = HANDLERS_BY_PLACE.get((method, place))
        if function is None:
            return Answer("404 Not Found", b'{"error": "operator.no_such_page"}')
        query = {k: v[0] for k, v in parse_qs(environ.get("QUERY_STRING", "")).items()}
        return function(self, Asked(method, name, query, _read_body(environ)))


def _read_body(environ: dict) -> bytes:
    try:
        length = int(environ.get("CONTENT_LENGTH") or 0)
    except ValueError as error:
        raise BadRequest("Content-Length isn't a number") from error
    if not 0 <= length <= MAX_BODY_BYTES:
        raise BadRequest(f"the body is over {MAX_BODY_BYTES} bytes")
    return environ["wsgi.input"].read(length) if length else b""


def _json(document: msgspec.Struct, status: str = "200 OK") -> Answer:
    return Answer(status, msgspec.json.encode(document))


def _error(status: str, error: EgretError) -> Answer:
    body = {"error": error.code, "message": error.message}
    return Answer(status, json.dumps(body).encode())


@handler("GET", "/healthz")
def get_health(port: OperatorPort, asked: Asked) -> Answer:
    """Answer that the process runs."""
    return Answer("200 OK", b"{}")


@handler("GET", "/readyz")
def get_ready(port: OperatorPort, asked: Asked) -> Answer:
    """Answer whether the daemon takes calls."""
    if port.board.ready and not port.board.stopping:
        return Answer("200 OK", b'{"ready": true}')
    return Answer("503 Service Unavailable", b'{"ready": false}')


@handler("GET", "/v1/status")
def get_status(port: OperatorPort, asked: Asked) -> Answer:
    """Answer how this daemon stands."""
    board = port.board
    refusal = board.in_force.refusal
    return _json(
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
def get_fleet(port: OperatorPort, asked: Asked) -> Answer:
    """Answer what this daemon believes of all others."""
    board = port.board
    members = []
    for row in board.membership.rows_by_id.values():
        id = InstanceId(row.id)
        own = id == board.own_id
        version = board.in_force.version if own else board.membership.versions_by_id.get(id, 0)
        status = MemberStatus(
            id=row.id,
            host=row.host,
            operator_port=row.operator_port,
            state=row.state.value,
            version=version,
            targets=tuple(target_label(target) for target in row.targets),
        )
        members.append(FleetMember(row.data_centre, status))
    return _json(FleetPage(board.own_id, tuple(members)))


@handler("GET", "/v1/centre")
def get_centre(port: OperatorPort, asked: Asked) -> Answer:
    """Answer the data centre's status as this daemon would write it."""
    return _json(centre_status(port.board))


@handler("GET", "/v1/events")
def get_events(port: OperatorPort, asked: Asked) -> Answer:
    """Answer the recent events of this daemon."""
    after = asked.query.get("after", "0")
    if not after.isdigit():
        raise BadRequest(f"after: {after!r} isn't a number")
    return _json(EventPage(tuple(port.board.timeline.after(int(after)))))


@handler("GET", "/metrics")
def get_metrics(port: OperatorPort, asked: Asked) -> Answer:
    """Answer the metrics as text."""
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
    return Answer("200 OK", body, "text/plain; version=0.0.4")


@handler("PUT", "/v1/targets")
def put_target(port: OperatorPort, asked: Asked) -> Answer:
    """Take in a target's announcement."""
    announcement = read_announcement(asked.body)
    record_announcement(port.board, port.links, TargetId(asked.name), announcement)
    return Answer("200 OK", b"{}")


@handler("DELETE", "/v1/targets")
def delete_target(port: OperatorPort, asked: Asked) -> Answer:
    """Take a target out that has stopped."""
    remove_target(port.board, port.links, TargetId(asked.name), "withdrew itself")
    return Answer("200 OK", b"{}")
