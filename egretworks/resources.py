"""Define services and routes, the resources of the mesh's configuration, and ticket bodies."""

from __future__ import annotations

from typing import Annotated

import msgspec
import xxhash
from msgspec import Meta

from egretworks.types import Name, Repeat, WorkClass

Percent = Annotated[int, Meta(ge=0, le=100)]
TimeoutMs = Annotated[int, Meta(ge=1, le=600_000)]


class Resource(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Base class of the resources: immutable, rejects unknown fields, omits defaults.

    Class names and encoded fields of services and routes go into the digest of the state.
    """


class Limits(Resource):
    """Limit the calls to one service at each daemon."""

    # Calls that may wait for a slot, and how long each may wait.
    queue: Annotated[int, Meta(ge=0, le=10_000)] = 64
    queue_ms: TimeoutMs = 1_000
    # Share of a target's slots that calls of `WorkClass.LONG` may take.
    long_percent: Percent = 50


class RetryPolicy(Resource):
    """Limit the attempts of a call, and a daemon's retries to a percentage of first attempts."""

    attempts: Annotated[int, Meta(ge=1, le=5)] = 3
    backoff_ms: TimeoutMs = 25
    budget_percent: Percent = 10


class Service(Resource):
    """Define the balancing policy and limits of a service; targets announce that they run it."""

    name: Name
    balance: Name = "least_cost"
    limits: Limits = Limits()


class Match(Resource):
    """Select requests by path prefix, host and method; an empty host or methods match any."""

    path_prefix: Annotated[str, Meta(pattern=r"^/", max_length=256)]
    host: Annotated[str, Meta(max_length=128)] = ""
    methods: tuple[Annotated[str, Meta(pattern=r"^[A-Z]+$")], ...] = ()


class Route(Resource):
    """Send the requests that `match` selects to `service`."""

    name: Name
    service: Name
    match: Match
    work: WorkClass = WorkClass.SHORT
    repeat: Repeat = Repeat.ONCE
    timeout_ms: TimeoutMs = 2_000
    retry: RetryPolicy = RetryPolicy()


class Removal(Resource):
    """Name the resources that a ticket removes from the mesh."""

    services: tuple[Name, ...] = ()
    routes: tuple[Name, ...] = ()


class TicketBody(Resource):
    """Hold the full definition of each resource that a ticket adds or replaces, and removals."""

    title: Annotated[str, Meta(min_length=1, max_length=200)]
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    remove: Removal = Removal()


_encoder = msgspec.msgpack.Encoder()


def resource_digest(resource: Service | Route) -> int:
    """Return a 128-bit digest of `resource` and the name of its class."""
    kind = type(resource).__name__.encode()
    return xxhash.xxh3_128_intdigest(kind + b"\0" + _encoder.encode(resource))
