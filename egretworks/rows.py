"""Hold the row table: one versioned row for each daemon of the mesh and its target."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated

import msgspec
import xxhash
from msgspec import Meta

from egretworks.types import DataCentre, Endpoint, InstanceId, Int64, ServiceName, TargetId

# A host name is no address: to look it up would block the event loop.
IPV4_PATTERN = r"^\d{1,3}(\.\d{1,3}){3}$"
# Leaves room for the incarnations that later runs add, within the 64 bits of a frame.
MAX_INCARNATION = 2**62


class TargetRow(msgspec.Struct, frozen=True, array_like=True):
    """Describe the target of a daemon."""

    id: TargetId
    # Wall-clock milliseconds of the target's start, which distinguish its incarnations.
    born: Int64
    service: ServiceName
    slots: Int64
    # True if the target accepts new requests.
    serving: bool
    # True once the target has announced, or stated in an answer, that it leaves.
    leaving: bool = False
    # Version of the target's software; empty from an older build.
    version: str = ""


class DaemonRow(msgspec.Struct, frozen=True, array_like=True):
    """Describe a daemon and its target.

    Only the daemon itself changes its row. Of two rows of one daemon, the one with the higher
    (`incarnation`, `serial`) is the newer.
    """

    id: InstanceId
    data_centre: DataCentre
    host: Annotated[str, Meta(pattern=IPV4_PATTERN)]
    port: Annotated[int, Meta(ge=1, le=65_535)]
    # Wall-clock milliseconds of the daemon's start, or one more than the incarnation of an earlier
    # run if that was higher, because the clock was set back.
    incarnation: Annotated[int, Meta(ge=0, le=MAX_INCARNATION)]
    # Incremented with each change of the row within an incarnation.
    serial: Annotated[int, Meta(ge=0, le=MAX_INCARNATION)]
    # True while the daemon shuts down.
    leaving: bool = False
    # True if the daemon can reach the platform's store.
    store_reachable: bool = True
    target: TargetRow | None = None

    @property
    def endpoint(self) -> Endpoint:
        """Return the address at which the daemon accepts links."""
        return Endpoint(self.host, self.port)

    def serves(self, service: ServiceName) -> bool:
        """Return whether the target is of `service` and accepts new requests."""
        target = self.target
        return (
            target is not None and target.serving and target.service == service and not self.leaving
        )

    def supersedes(self, other: DaemonRow) -> bool:
        """Return whether this row is newer than `other`."""
        return (self.incarnation, self.serial) > (other.incarnation, other.serial)


# Rows are compared between daemons by this many digests, so that a difference in one row does not
# make them exchange all.
DIGEST_BUCKETS = 16


def is_store_watcher(own: DaemonRow, reachable: Iterable[DaemonRow]) -> bool:
    """Return whether `own` is elected to watch the store on behalf of its data centre.

    The lowest id wins. `reachable` are the rows of the other daemons that `own` has links to.
    Daemons with different views may elect more than one watcher, which is harmless.
    """
    if not own.store_reachable or own.leaving:
        return False
    return not any(
        row.id < own.id
        for row in reachable
        if row.data_centre == own.data_centre and row.store_reachable and not row.leaving
    )


class RowTable:
    """Hold the newest known row of each daemon; `own` is that of this daemon."""

    def __init__(self, own: DaemonRow) -> None:
        self.own = own
        self.rows_by_id: dict[InstanceId, DaemonRow] = {}
        # Whether the rows in the store have been read since this daemon started.
        self.listed = False
        # The target of this daemon as an earlier run of the daemon last described it.
        self.earlier_target: TargetRow | None = None
        self._earlier_run: DaemonRow | None = None
        # None until it is computed for the present ids.
        self._members: int | None = None
        # The exclusive or of the digests of the rows in each bucket.
        self._digest_by_bucket = [0] * DIGEST_BUCKETS
        self._toggle_digest(own)

    def merge(self, rows: Iterable[DaemonRow]) -> list[DaemonRow]:
        """Merge rows and return those of other daemons that are new or newer than the known ones.

        A row of this daemon from an earlier run raises the incarnation of `own` above it.
        """
        changed = []
        for row in rows:
            if row.id == self.own.id:
                self._supersede_earlier_run(row)
                continue
            known = self.rows_by_id.get(row.id)
            if known is None:
                self._members = None
            if known is None or row.supersedes(known):
                if known is not None:
                    self._toggle_digest(known)
                self._toggle_digest(row)
                self.rows_by_id[row.id] = row
                changed.append(row)
        return changed

    def change_own(self, **changes: object) -> DaemonRow:
        """Change fields of this daemon's row, increment its serial and return it."""
        self._toggle_digest(self.own)
        self.own = msgspec.structs.replace(self.own, serial=self.own.serial + 1, **changes)
        self._toggle_digest(self.own)
        return self.own

    @property
    def size(self) -> int:
        """Return the number of known daemons, including this one."""
        return 1 + len(self.rows_by_id)

    @property
    def members(self) -> int:
        """Return a digest of the ids of the known daemons, including this one; never 0."""
        if self._members is None:
            ids = sorted([self.own.id, *self.rows_by_id])
            self._members = xxhash.xxh64_intdigest("\n".join(ids).encode()) or 1
        return self._members

    @property
    def digest(self) -> int:
        """Return a digest of all rows, which is the same at daemons with the same rows; never 0."""
        digest = 0
        for bucket_digest in self._digest_by_bucket:
            digest ^= bucket_digest
        return digest or 1

    def bucket_digests(self) -> list[int]:
        """Return the digest of each bucket of rows."""
        return list(self._digest_by_bucket)

    def rows_that_differ(self, bucket_digests: list[int]) -> list[DaemonRow]:
        """Return the rows of the buckets of which another daemon has another digest."""
        if len(bucket_digests) != DIGEST_BUCKETS:
            return self.all_rows()
        own = self._digest_by_bucket
        differ = {number for number, digest in enumerate(bucket_digests) if digest != own[number]}
        return [row for row in self.all_rows() if _bucket_of(row.id) in differ]

    def all_rows(self) -> list[DaemonRow]:
        """Return all rows, that of this daemon first."""
        return [self.own, *self.rows_by_id.values()]

    def _toggle_digest(self, row: DaemonRow) -> None:
        """Add the digest of `row` to that of its bucket, or take it out again."""
        version = f"{row.id}\0{row.incarnation}\0{row.serial}"
        self._digest_by_bucket[_bucket_of(row.id)] ^= xxhash.xxh64_intdigest(version.encode())

    def _supersede_earlier_run(self, earlier: DaemonRow) -> None:
        if earlier.incarnation != self.own.incarnation and (
            self._earlier_run is None or earlier.supersedes(self._earlier_run)
        ):
            self._earlier_run = earlier
            self.earlier_target = earlier.target
        if earlier.incarnation > self.own.incarnation:
            self.change_own(incarnation=earlier.incarnation + 1)


def _bucket_of(id: InstanceId) -> int:
    return xxhash.xxh64_intdigest(id.encode()) % DIGEST_BUCKETS
