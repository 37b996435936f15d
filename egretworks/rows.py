"""Keep what is known of the daemons of the mesh and the targets beside them."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from egretworks.types import DataCentre, Endpoint, InstanceId, ServiceName, TargetId


class TargetRow(msgspec.Struct, frozen=True, array_like=True):
    """Describe the target beside a daemon."""

    id: TargetId
    born: int
    service: ServiceName
    slots: int
    # Whether it takes new requests.
    serving: bool


class DaemonRow(msgspec.Struct, frozen=True, array_like=True):
    """Describe a daemon; of two rows of one daemon the one that `supersedes` the other holds."""

    id: InstanceId
    data_centre: DataCentre
    host: str
    port: int
    # Wall-clock milliseconds of the daemon's start, or more where an earlier life had more.
    incarnation: int
    # Increases with each change of the row within an incarnation.
    serial: int
    # The daemon is about to stop.
    leaving: bool = False
    # The daemon can read the platform's store.
    reads_store: bool = True
    target: TargetRow | None = None

    @property
    def endpoint(self) -> Endpoint:
        """Return where other daemons reach this one."""
        return Endpoint(self.host, self.port)

    def supersedes(self, other: DaemonRow) -> bool:
        """Return whether this row is newer than `other`."""
        return (self.incarnation, self.serial) > (other.incarnation, other.serial)


def watches_store(own: DaemonRow, reachable: Iterable[DaemonRow]) -> bool:
    """Return whether `own` is the daemon that reads the configuration for its data centre.

    `reachable` are the rows of the other daemons that it has links to. Two that both think so do
    no harm.
    """
    if not own.reads_store or own.leaving:
        return False
    return not any(
        row.id < own.id
        for row in reachable
        if row.data_centre == own.data_centre and row.reads_store and not row.leaving
    )


class RowTable:
    """Hold the newest row of each daemon."""

    def __init__(self, own: DaemonRow) -> None:
        self.own = own
        self.rows_by_id: dict[InstanceId, DaemonRow] = {}

    def merge(self, rows: Iterable[DaemonRow]) -> list[DaemonRow]:
        """Take in rows of other daemons and return those that are news.

        A row of this daemon from an earlier life raises the incarnation of its own row above it.
        """
        news = []
        for row in rows:
            if row.id == self.own.id:
                self._outlive(row)
                continue
            known = self.rows_by_id.get(row.id)
            if known is None or row.supersedes(known):
                self.rows_by_id[row.id] = row
                news.append(row)
        return news

    def change_own(self, **changes: object) -> DaemonRow:
        """Change fields of the own row, which gets the next serial."""
        self.own = msgspec.structs.replace(self.own, serial=self.own.serial + 1, **changes)
        return self.own

    @property
    def size(self) -> int:
        """Return how many daemons are known, with this one."""
        return 1 + len(self.rows_by_id)

    def forget(self, id: InstanceId) -> None:
        """Drop the row of a daemon that is gone for good."""
        self.rows_by_id.pop(id, None)

    def all_rows(self) -> list[DaemonRow]:
        """Return every row, the own one first."""
        return [self.own, *self.rows_by_id.values()]

    def _outlive(self, earlier: DaemonRow) -> None:
        if earlier.incarnation > self.own.incarnation:
            self.change_own(incarnation=earlier.incarnation + 1)
