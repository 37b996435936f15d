"""Apply accepted changes to the state of the mesh, atomically and in order of version."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from egretworks.exceptions import ChangeRefused
from egretworks.resources import Route, Service, TicketBody, resource_digest
from egretworks.types import NO_VERSION, TicketNumber, Version, WriterMark


class Change(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold one entry of the log of changes: an accepted ticket and its version.

    A change with a reason in `void` is a no-op: it takes the version of a ticket that was refused
    for that reason.
    """

    version: int
    ticket: int
    body: TicketBody
    # Digest of the state that the change leads to.
    digest: str
    # Mark of the write that appended the change.
    writer: str = ""
    accepted_at_ms: float = 0.0
    void: str = ""


class MeshState(msgspec.Struct, frozen=True):
    """Hold the configuration of the mesh at one version.

    `ticket` is the last ticket that was applied. `digest` is the XOR of the digests of all
    resources, in hexadecimal, so that a change updates it without a pass over all of them.
    """

    version: Version = NO_VERSION
    ticket: TicketNumber = TicketNumber(0)
    services_by_name: dict[str, Service] = {}
    routes_by_name: dict[str, Route] = {}
    digest: str = "0"


def apply_change(state: MeshState, change: Change) -> MeshState:
    """Return the state after `change`, or raise `ChangeRefused`; `state` is not modified.

    A void change only raises the version.
    """
    if change.version != state.version + 1:
        raise ChangeRefused(
            f"version {change.version} cannot be applied: the state is at version {state.version}"
        )
    if change.void:
        following = msgspec.structs.replace(state, version=Version(change.version))
    else:
        following = preview(state, change.body, TicketNumber(change.ticket))
    if following.digest != change.digest:
        raise ChangeRefused(
            f"version {change.version} leads to digest {following.digest}, "
            f"but the change gives {change.digest}"
        )
    return following


def preview(state: MeshState, body: TicketBody, ticket: TicketNumber) -> MeshState:
    """Return the state after applying `body` to `state`, or raise `ChangeRefused`."""
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
    """Return the change that applies ticket `number` to `state`, or raise `ChangeRefused`."""
    following = preview(state, body, number)
    return Change(version=following.version, ticket=number, body=body, digest=following.digest)


def void_change(state: MeshState, number: TicketNumber, reason: str) -> Change:
    """Return the no-op change after `state` that records why ticket `number` was refused."""
    return Change(
        version=state.version + 1,
        ticket=number,
        body=TicketBody(title="void"),
        digest=state.digest,
        void=reason,
    )


def with_origin(change: Change, writer: WriterMark, accepted_at_ms: float) -> Change:
    """Return `change` with the mark of its writer and the time of its acceptance."""
    return msgspec.structs.replace(change, writer=writer, accepted_at_ms=accepted_at_ms)


def compute_digest(state: MeshState) -> str:
    """Return the digest of `state`, computed from all its resources."""
    digest = 0
    for resource in (*state.services_by_name.values(), *state.routes_by_name.values()):
        digest ^= resource_digest(resource)
    return f"{digest:x}"


def check_state(state: MeshState) -> None:
    """Raise `ChangeRefused` unless the digest of `state` is right and its routes have services."""
    if compute_digest(state) != state.digest:
        raise ChangeRefused(
            f"the state at version {state.version} does not match its digest {state.digest}"
        )
    _check_references(state.services_by_name, state.routes_by_name.values())


def _remove(by_name: dict, names: Iterable[str], kind: str) -> int:
    """Remove resources from `by_name` and return the XOR of their digests."""
    digest = 0
    for name in names:
        resource = by_name.pop(name, None)
        if resource is None:
            raise ChangeRefused(f"{kind} {name!r} cannot be removed: it is not in force")
        digest ^= resource_digest(resource)
    return digest


def _put(by_name: dict, resources: Iterable[Service | Route]) -> int:
    """Add or replace resources in `by_name` and return the XOR of the old and new digests."""
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
                f"route {route.name!r} names service {route.service!r}, which is not in force",
                next_step="put the service in the same ticket, or remove the route first",
            )
