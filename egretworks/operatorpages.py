"""Define the status documents that daemons serve to operators and write to the platform."""

from __future__ import annotations

import msgspec

from egretworks.objects import ObjectStore, load

# Kind of the platform's objects that hold one `CentreStatus` each, named by data centre.
STATUS = "status"


class MemberStatus(msgspec.Struct, frozen=True):
    """Hold what is known of one daemon: its address, version in force, targets and refusal.

    `state` is the value of a `MemberState`. `refused_version` is the version that the daemon could
    not apply, or 0.
    """

    id: str
    host: str
    operator_port: int
    state: str
    version: int
    targets: tuple[str, ...] = ()
    refused_version: int = 0
    refused_reason: str = ""


class CentreStatus(msgspec.Struct, frozen=True):
    """Summarize one data centre, as the daemon that aggregates its reports sees it.

    `daemons` counts all its live daemons; `members` may name only some, lowest versions first.
    """

    data_centre: str
    written_by: str
    written_at_ms: float
    daemons: int
    lowest_version: int
    highest_version: int
    members: tuple[MemberStatus, ...] = ()


class DaemonStatus(msgspec.Struct, frozen=True):
    """Hold a daemon's own status: the configuration in force, its readiness, calls and targets."""

    id: str
    data_centre: str
    version: int
    ticket: int
    digest: str
    ready: bool
    stopping: bool
    # Whether the last watch or read as a watcher succeeded; None before the first one.
    platform_reached: bool | None
    members: int
    calls_in_hand: int
    calls_waiting: int
    targets: tuple[str, ...] = ()
    refused_version: int = 0
    refused_reason: str = ""


class FleetMember(msgspec.Struct, frozen=True):
    """Hold the data centre of one daemon, and what another daemon knows of it."""

    data_centre: str
    status: MemberStatus


class FleetPage(msgspec.Struct, frozen=True):
    """Hold the whole fleet as the daemon `seen_by` sees it."""

    seen_by: str
    members: tuple[FleetMember, ...] = ()


def read_statuses(store: ObjectStore) -> list[CentreStatus]:
    """Return the status of each data centre that has one on the platform."""
    return [load(item.value, CentreStatus) for item in store.list(STATUS).items]
