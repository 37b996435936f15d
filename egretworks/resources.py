"""Define the resources that a ticket carries: services and routes."""

from __future__ import annotations

from typing import Annotated

import msgspec
import xxhash
from msgspec import Meta

from egretworks.types import Name, Repeat, WorkClass

Percent = Annotated[int, Meta(ge=0, le=100)]
TimeoutMs = Annotated[int, Meta(ge=1, le=600_000)]


class Resource(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Base every resource on one strict, immutable structure."""


class Limits(Resource):
    """Limit what one daemon lets wait for a service."""

    queue: Annotated[int, Meta(ge=0, le=10_000)] = 64
    queue_ms: TimeoutMs = 1_000
    long_percent: Percent = 50


class RetryPolicy(Resource):
    """Bound the attempts of one call and the share of attempts that are retries."""

    attempts: Annotated[int, Meta(ge=1, le=5)] = 3
    backoff_ms: TimeoutMs = 25
    budget_percent: Percent = 10


class Service(Resource):
    """Describe a service that targets announce themselves for."""

    name: Name
    balance: Name = "least_cost"
    limits: Limits = Limits()


class Match(Resource):
    """Select requests by host, path prefix and method."""

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
    """Name the resources that a ticket takes out of the mesh."""

    services: tuple[Name, ...] = ()
    routes: tuple[Name, ...] = ()


class TicketBody(Resource):
    """Carry the whole new state of everything that a ticket touches."""

    title: Annotated[str, Meta(min_length=1, max_length=200)]
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    remove: Removal = Removal()


_encoder = msgspec.msgpack.Encoder()


def resource_digest(resource: Service | Route) -> int:
    """Return a 128-bit digest of `resource` and its kind."""
    kind = type(resource).__name__.encode()
    return xxhash.xxh3_128_intdigest(kind + b"\0" + _encoder.encode(resource))
