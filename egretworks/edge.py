"""Define what the daemon needs to know of how callers, targets and the platform speak.

The adapter in the folder platform/ implements `Edge`; only there the names on the wire are known.
"""

from __future__ import annotations

from typing import Protocol

import msgspec

from egretworks.httpwire import Headers, Request, Response
from egretworks.meshroutes import MeshConfig
from egretworks.types import CallId, Endpoint, ServiceName, TargetId, TargetState


class CallHead(msgspec.Struct, frozen=True):
    """Hold what a caller says of its request."""

    id: CallId
    # None where the caller names no deadline.
    left_ms: float | None


class TargetHead(msgspec.Struct, frozen=True):
    """Hold what a target is told about a request."""

    id: CallId
    left_ms: int
    caller: ServiceName
    # Any other target at the address must decline the request.
    target: TargetId


class AnswerMarks(msgspec.Struct, frozen=True):
    """Hold what a target says of its answer."""

    # Empty where the answer names no request.
    id: str
    # Whether the target has signed the answer.
    signed: bool
    # The target states that it hasn't run the request and won't.
    not_run: bool
    # The body isn't the target's own: something on the way has encoded it.
    encoded: bool


class Heartbeat(msgspec.Struct, frozen=True):
    """Report the state of a target, as it announces it itself."""

    id: TargetId
    # Wall-clock milliseconds of the target's start, which tell its incarnations apart.
    born: int
    # Increases with each heartbeat of an incarnation.
    sequence: int
    service: ServiceName
    endpoint: Endpoint
    slots: int
    state: TargetState
    cold_left_ms: float


class Departure(msgspec.Struct, frozen=True):
    """Report that a target leaves without having announced it."""

    id: TargetId
    # None where the target doesn't say which incarnation leaves.
    born: int | None


class Edge(Protocol):
    """Translate between the platform's manner of speaking and the daemon's types."""

    def read_head(self, request: Request) -> CallHead:
        """Return what the caller says, or raise `BadRequest`."""

    def passed_headers(self, request: Request) -> Headers:
        """Return the caller's headers that a target gets as they are."""

    def target_headers(self, head: TargetHead) -> Headers:
        """Return the headers that the daemon itself sets for a target."""

    def read_marks(self, response: Response) -> AnswerMarks:
        """Return what a target says of its answer."""

    def health_request(self, path: str, host: str) -> bytes:
        """Return a health check's bytes."""

    def healthy_target(self, response: Response) -> TargetId | None:
        """Return which target says that it is healthy, or None."""

    def asks_readiness(self, request: Request) -> bool:
        """Return whether `request` asks if the daemon is ready."""

    def read_announcement(self, request: Request) -> Heartbeat | Departure:
        """Return what a target announces, or raise `BadRequest`."""

    def decode_config(self, document: bytes) -> MeshConfig:
        """Return the configuration in `document`, or raise `ConfigInvalid`."""
