"""Define the interface between the daemon and the platform's wire formats.

The adapter in the folder platform/ implements `Edge`. Only the adapter knows names on the wire.
"""

from __future__ import annotations

from typing import Protocol

import msgspec

from egretworks.httpwire import Headers, Request, Response
from egretworks.meshroutes import MeshConfig
from egretworks.rolloutorder import RolloutOrder, RolloutPhase
from egretworks.types import CallId, Endpoint, ServiceName, TargetId, TargetState, TeamName


class CallHead(msgspec.Struct, frozen=True):
    """Hold the id, deadline and key that a caller states for its request."""

    id: CallId
    # Milliseconds until the deadline; None if the caller states none.
    left_ms: float | None
    # The key of the caller's team; empty if there is none. Never logged.
    key: str = ""


class TargetHead(msgspec.Struct, frozen=True):
    """Hold the values that a target gets with a request."""

    id: CallId
    # Milliseconds until the deadline.
    left_ms: int
    # The service that makes the request.
    caller: ServiceName
    # The intended target; any other one at the address must decline the request.
    target: TargetId
    # The team of the caller; empty if the request has none.
    team: TeamName = TeamName("")


class AnswerMetadata(msgspec.Struct, frozen=True):
    """Hold what the headers of an answer state about it."""

    # Id of the request that is answered; empty if the answer states none.
    id: str
    # Whether the target has signed the answer.
    signed: bool
    # Whether the target states that it has not run the request and will not.
    not_run: bool
    # Whether something on the way has encoded the body, so that it is not the target's own.
    encoded: bool


class TargetNotice(msgspec.Struct, frozen=True):
    """Hold what a target's answer states about the target itself."""

    # How many requests a second the target takes, from all daemons together; None for no limit.
    limit_per_s: float | None = None
    # Why a stated limit can't be used; empty if it can or there is none.
    invalid_limit: str = ""
    # Whether the target is leaving.
    leaving: bool = False


class Heartbeat(msgspec.Struct, frozen=True):
    """Periodic report of a target about its own state."""

    id: TargetId
    # Wall-clock milliseconds of the target's start, which tell its incarnations apart.
    born: int
    # Increases with each heartbeat of one incarnation.
    sequence: int
    service: ServiceName
    endpoint: Endpoint
    slots: int
    state: TargetState
    cold_left_ms: float
    # Version of the target's software.
    version: str = ""


class Departure(msgspec.Struct, frozen=True):
    """Report that a target leaves; it may not have sent a heartbeat that announces this."""

    id: TargetId
    # None if the target does not state which incarnation leaves.
    born: int | None


class Edge(Protocol):
    """Translate between the platform's wire formats and the daemon's types."""

    def read_head(self, request: Request) -> CallHead:
        """Return the id, deadline and key of the request, or raise `BadRequest`."""

    def forwarded_headers(self, request: Request, *, keyed: bool) -> Headers:
        """Return the headers of the caller that are passed to a target unchanged.

        `keyed` tells whether requests carry keys of teams, which no target may see.
        """

    def target_headers(self, head: TargetHead) -> Headers:
        """Return the headers that the daemon adds for a target."""

    def read_answer_metadata(self, response: Response) -> AnswerMetadata:
        """Return what the headers of an answer state about it."""

    def read_notice(self, response: Response) -> TargetNotice:
        """Return what the target states about itself in an answer."""

    def health_request(self, path: str, host: str) -> bytes:
        """Return an encoded health check request for `path` on `host`."""

    def healthy_target(self, response: Response) -> TargetId | None:
        """Return the id of the target that reports itself healthy, or None."""

    def is_readiness_check(self, request: Request) -> bool:
        """Return whether `request` is a readiness check of the daemon."""

    def read_announcement(self, request: Request) -> Heartbeat | Departure:
        """Return the heartbeat or departure in `request`, or raise `BadRequest`."""

    def decode_config(self, document: bytes) -> MeshConfig:
        """Return the configuration in `document`, or raise `ConfigInvalid`."""

    def decode_order(self, document: bytes, status: bytes) -> RolloutOrder:
        """Return the order in `document` with its `status`, or raise `ConfigInvalid`."""

    def encode_order_status(self, phase: RolloutPhase, target_version: str) -> bytes:
        """Return the status of an order for `target_version`."""
