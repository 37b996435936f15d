"""Fold accepted changes into the state of the mesh, whole or not at all."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from egretworks.exceptions import ChangeRefused
from egretworks.resources import Route, Service, TicketBody, resource_digest
from egretworks.types import NO_VERSION, TicketNumber, Version, WriterMark


class Change(msgspec.Struct, frozen=True, omit_defaults=True):
    """Carry one accepted ticket at its place in the order of versions.

    A change with a reason in `void` holds the place of a ticket that was refused and alters
    nothing.
    """

    version: int
    ticket: int
    body: TicketBody
    digest: str
    writer: str = ""
    accepted_at_ms: float = 0.0
    void: str = ""


class MeshState(msgspec.Struct, frozen=True):
    """Hold the configuration at one version."""

    version: Version = NO_VERSION
    ticket: TicketNumber = TicketNumber(0)
    services_by_name: dict[str, Service] = {}
    routes_by_name: dict[str, Route] = {}
    digest: str = "0"


def apply_change(state: MeshState, change: Change) -> MeshState:
    """Return the state that follows `state`, or raise `ChangeRefused` and change nothing."""
    if change.version != state.version + 1:
        raise ChangeRefused(f"version {change.version} can't follow version {state.version}")
    if change.void:
        following = msgspec.structs.replace(state, version=Version(change.version))
    else:
        following = preview(state, change.body, TicketNumber(change.ticket))
    if following.digest != change.digest:
        raise ChangeRefused(
            f"version {change.version} leads to digest {following.digest}, not {change.digest}"
        )
    return following


def preview(state: MeshState, body: TicketBody, ticket: TicketNumber) -> MeshState:
    """Return the state that `body` would lead to, or raise `ChangeRefused`."""
    services = dict(state.services_by_name)
    routes = dict(state.routes_by_name)
    digest = int(state.digest, 16)
    digest ^= _remove(services, body.remove.services, "service")
    digest ^= _remove(routes, body.remove.routes, "route")
    digest ^= _put(services, body.services)
    digest ^= _put(routes, body.routes)
    _check_references(services, routes.values())
    return MeshState(
        version=Version(state.version + 1),
        ticket=ticket,
        services_by_name=services,
        routes_by_name=routes,
        digest=f"{digest:x}",
    )


def change_for(state: MeshState, number: TicketNumber, body: TicketBody) -> Change:
    """Return the change that puts ticket `number` in force after `state`."""
    following = preview(state, body, number)
    return Change(version=following.version, ticket=number, body=body, digest=following.digest)


def void_change(state: MeshState, number: TicketNumber, reason: str) -> Change:
    """Return the change that records after `state` that ticket `number` was refused."""
    return Change(
        version=state.version + 1,
        ticket=number,
        body=TicketBody(title="void"),
        digest=state.digest,
        void=reason,
    )


def stamped(change: Change, writer: WriterMark, accepted_at_ms: float) -> Change:
    """Return `change` with the mark of its writer and the time of its acceptance."""
    return msgspec.structs.replace(change, writer=writer, accepted_at_ms=accepted_at_ms)


def whole_digest(state: MeshState) -> str:
    """Return the digest of `state` worked out from all its resources."""
    digest = 0
    for resource in (*state.services_by_name.values(), *state.routes_by_name.values()):
        digest ^= resource_digest(resource)
    return f"{digest:x}"


def check_whole(state: MeshState) -> None:
    """Raise `ChangeRefused` unless `state` is complete and consistent."""
    if whole_digest(state) != state.digest:
        raise ChangeRefused(f"the state at version {state.version} doesn't match its digest")
    _check_references(state.services_by_name, state.routes_by_name.values())


def _remove(by_name: dict, names: Iterable[str], kind: str) -> int:
    digest = 0
    for name in names:
        resource = by_name.pop(name, None)
        if resource is None:
            raise ChangeRefused(f"{kind} {name!r} can't be removed: it isn't in force")
        digest ^= resource_digest(resource)
    return digest


def _put(by_name: dict, resources: Iterable[Service | Route]) -> int:
    digest = 0
    for resource in resources:
        previous = by_name.get(resource.name)
        if previous is not None:
            digest ^= resource_digest(previous)
        by_name[resource.name] = resource
        digest ^= resource_digest(resource)
    return digest


def _check_references(services: dict[str, Service], routes: Iterable[Route]) -> None:
    for route in routes:
        if route.service not in services:
            raise ChangeRefused(
                f"route {route.name!r} names service {route.service!r}, which isn't in force",
                next_step="put the service in the same ticket, or remove the route first",
            )
