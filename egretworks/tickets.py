"""Read ticket files and check tickets; errors name the faulty field."""

from __future__ import annotations

import json
import tomllib
from collections import Counter
from collections.abc import Iterable
from pathlib import Path

import msgspec

from egretworks.balancing import BALANCERS_BY_NAME
from egretworks.exceptions import TicketInvalid
from egretworks.resources import Service, TicketBody
from egretworks.types import TicketState


class Ticket(msgspec.Struct, frozen=True):
    """Hold a ticket as it is stored on the platform."""

    number: int
    body: TicketBody
    # Mark of the write that filed the ticket.
    writer: str
    filed_at_ms: float
    state: TicketState = TicketState.FILED
    # Version of the ticket's change, or 0 if none is recorded yet.
    version: int = 0
    # Version in force when the acceptance began; the ticket's change has a higher one.
    accepting_after: int = 0
    # Why the ticket was refused.
    reason: str = ""


def read_ticket(path: Path) -> TicketBody:
    """Return the ticket in the file `path`, or raise `TicketInvalid`.

    The file is read as JSON if its name ends in `.json`, and as TOML otherwise.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise TicketInvalid(f"{path}: cannot be read: {error}") from error
    loads = json.loads if path.suffix == ".json" else tomllib.loads
    try:
        document = loads(text)
    except ValueError as error:
        raise TicketInvalid(f"{path}: {error}") from error
    try:
        return parse_body(document)
    except TicketInvalid as error:
        raise TicketInvalid(f"{path}: {error.message}", next_step=error.next_step) from error


def parse_body(document: object) -> TicketBody:
    """Convert `document` to a ticket body and check it, or raise `TicketInvalid`."""
    try:
        body = msgspec.convert(document, TicketBody)
    except msgspec.ValidationError as error:
        raise TicketInvalid(str(error)) from error
    check_body(body)
    return body


def check_body(body: TicketBody) -> None:
    """Raise `TicketInvalid` unless `body` names a resource, none twice, and has known policies."""
    _check_unique("services", [s.name for s in body.services] + list(body.remove.services))
    _check_unique("routes", [r.name for r in body.routes] + list(body.remove.routes))
    if not (body.services or body.routes or body.remove.services or body.remove.routes):
        raise TicketInvalid("the ticket changes nothing: it lists no services or routes")
    check_balancing_policies(body.services)


def check_balancing_policies(services: Iterable[Service]) -> None:
    """Raise `TicketInvalid` unless this build has the balancing policies of `services`."""
    for index, service in enumerate(services):
        if service.balance not in BALANCERS_BY_NAME:
            known = ", ".join(sorted(BALANCERS_BY_NAME))
            raise TicketInvalid(
                f"unknown balancing policy {service.balance!r} "
                f"- at `$.services[{index}].balance`",
                next_step=f"use one of: {known}",
            )


def _check_unique(kind: str, names: list[str]) -> None:
    repeated = [name for name, count in Counter(names).items() if count > 1]
    if repeated:
        raise TicketInvalid(f"{kind}: {repeated[0]!r} appears in the ticket more than once")
