"""Define the pages that operators read, on the platform and on each daemon."""

from __future__ import annotations

import msgspec

from egretworks.objects import ObjectStore, load

# The kind of the objects that hold the data centres' statuses.
STATUS = "status"


class MemberStatus(msgspec.Struct, frozen=True):
    """Tell what is in force at one daemon."""

    id: str
    host: str
    operator_port: int
    state: str
    version: int
    targets: tuple[str, ...] = ()
    refused_version: int = 0
    refused_reason: str = ""


class CentreStatus(msgspec.Struct, frozen=True):
    """Tell what is in force in one data centre, as its aggregator sees it."""

    data_centre: str
    written_by: str
    written_at_ms: float
    daemons: int
    lowest_version: int
    highest_version: int
    members: tuple[MemberStatus, ...] = ()


class DaemonStatus(msgspec.Struct, frozen=True):
    """Tell how one daemon stands."""

    id: str
    data_centre: str
    version: int
    ticket: int
    digest: str
    ready: bool
    stopping: bool
    platform_reached: bool | None
    members: int
    calls_in_hand: int
    calls_waiting: int
    targets: tuple[str, ...] = ()
    refused_version: int = 0
    refused_reason: str = ""


class FleetMember(msgspec.Struct, frozen=True):
    """Tell what a daemon believes of another."""

    data_centre: str
    status: MemberStatus


class FleetPage(msgspec.Struct, frozen=True):
    """Carry a daemon's view of the whole fleet."""

    seen_by: str
    members: tuple[FleetMember, ...] = ()


def read_statuses(store: ObjectStore) -> list[CentreStatus]:
    """Return the status of every data centre that has written one."""
    return [load(item.value, CentreStatus) for item in store.list(STATUS).items]
