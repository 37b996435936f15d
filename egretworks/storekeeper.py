"""Follow the platform's store: the configuration and the addresses of all daemons."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import eventlet
import msgspec

from egretworks.clock import seconds
from egretworks.exceptions import (
    ObjectConflict,
    PlatformError,
    WatchCompacted,
)
from egretworks.rows import DaemonRow
from egretworks.timeline import Timeline
from egretworks.types import RandomSource

CONFIG_KIND = "config"
CONFIG_NAME = "main"
ROW_KIND = "egret-daemons"
WATCH_WAIT_MS = 2_500
DUTY_POLL_MS = 150
# Mean pause between two looks at the rows of all daemons.
REPAIR_MS = 10_000
# Pauses after a failure, with as much again at random, so that daemons don't return together.
RETRY_MS = 250
RETRY_MOST_MS = 1_000
# Versions that follow each other faster are taken together.
SETTLE_MS = 60


class Stored(msgspec.Struct, frozen=True):
    """Hold an object of the store: its revision and its content, as written."""

    name: str
    revision: int
    document: bytes
    deleted: bool = False


class Snapshot(msgspec.Struct, frozen=True):
    """Hold objects of one kind and the store's revision that they show."""

    revision: int
    objects: tuple[Stored, ...]


class Store(Protocol):
    """Read and write objects of the platform's store; failures raise `PlatformError`s."""

    def list(self, kind: str, *, allow_stale: bool = False) -> Snapshot:
        """Return all objects of `kind`, as of some seconds ago if `allow_stale`."""

    def watch(self, kind: str, revision: int, wait_ms: int) -> Snapshot:
        """Return what has changed after `revision`, or raise `WatchCompacted`."""

    def read(self, kind: str, name: str) -> Stored:
        """Return an object, or raise `ObjectNotFound`."""

    def create(self, kind: str, name: str, document: bytes) -> Stored:
        """Create an object, or raise `ObjectConflict` where it exists."""

    def replace(self, kind: str, name: str, document: bytes, revision: int) -> Stored:
        """Replace the object's `revision` alone, or raise `ObjectConflict`."""


class ConfigWatch:
    """Keep up with the configuration in the store while that is this daemon's duty."""

    def __init__(
        self,
        store: Store,
        take: Callable[[tuple[Stored, ...]], None],
        on_duty: Callable[[], bool],
        note_reachable: Callable[[bool], None],
        timeline: Timeline,
        random: RandomSource,
    ) -> None:
        self._store = store
        self._take = take
        self._on_duty = on_duty
        self._note_reachable = note_reachable
        self._timeline = timeline
        self._random = random
        self._revision: int | None = None
        self._begun = False
        self._reachable = True

    def run(self) -> None:
        """Read the configuration once, then watch it whenever on duty; never returns."""
        pause_ms = RETRY_MS
        while True:
            if self._begun and self._reachable and not self._on_duty():
                eventlet.sleep(seconds(DUTY_POLL_MS))
                continue
            try:
                self._turn()
                self._begun = True
                self._note(reachable=True)
                pause_ms = RETRY_MS
            except WatchCompacted:
                self._timeline.record("store_history_gone", detail=CONFIG_KIND)
                self._revision = None
            except PlatformError as error:
                self._note(reachable=False, reason=error.message)
                eventlet.sleep(seconds(pause_ms * (1 + self._random.random())))
                pause_ms = min(RETRY_MOST_MS, pause_ms * 2)

    def _turn(self) -> None:
        if self._revision is None:
            snapshot = self._store.list(CONFIG_KIND)
        else:
            wait_ms = WATCH_WAIT_MS if self._reachable else 0
            snapshot = self._store.watch(CONFIG_KIND, self._revision, wait_ms)
        self._revision = snapshot.revision
        if snapshot.objects:
            self._take(snapshot.objects)
            eventlet.sleep(seconds(SETTLE_MS))

    def _note(self, *, reachable: bool, reason: str = "") -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        self._timeline.record("store_regained" if reachable else "store_lost", detail=reason)
        self._note_reachable(reachable)


class RowKeeper:
    """Keep this daemon's address in the store, and find the other daemons there."""

    def __init__(
        self,
        store: Store,
        own_row: Callable[[], DaemonRow],
        learn: Callable[[list[DaemonRow]], None],
        timeline: Timeline,
        random: RandomSource,
    ) -> None:
        self._store = store
        self._own_row = own_row
        self._learn = learn
        self._timeline = timeline
        self._random = random

    def run(self) -> None:
        """Announce this daemon and look for others, now and then again; never returns."""
        allow_stale = False
        while True:
            try:
                # Whoever lists after writing sees all that have written before.
                if not allow_stale:
                    self._announce()
                missing = self._find_others(allow_stale=allow_stale)
                allow_stale = not missing
                eventlet.sleep(seconds(REPAIR_MS * (0.5 + self._random.random())))
            except PlatformError as error:
                self._timeline.record("rows_unread", detail=error.message)
                eventlet.sleep(seconds(RETRY_MS * (1 + 3 * self._random.random())))

    def _announce(self) -> None:
        row = self._own_row()
        try:
            self._store.create(ROW_KIND, row.id, encode_row(row))
        except ObjectConflict:
            self._correct(row)

    def _correct(self, row: DaemonRow) -> None:
        """Replace what an earlier life of this daemon wrote, where its address has changed."""
        stored = self._store.read(ROW_KIND, row.id)
        earlier = decode_row(stored.document)
        if earlier is not None:
            self._learn([earlier])
            if (earlier.endpoint, earlier.data_centre) == (row.endpoint, row.data_centre):
                return
        self._store.replace(ROW_KIND, row.id, encode_row(self._own_row()), stored.revision)

    def _find_others(self, *, allow_stale: bool) -> bool:
        """Learn the rows in the store; return whether the own one is missing."""
        rows = []
        for stored in self._store.list(ROW_KIND, allow_stale=allow_stale).objects:
            row = decode_row(stored.document)
            if row is not None and row.id == stored.name:
                rows.append(row)
            else:
                self._timeline.record("row_ignored", target=stored.name)
        self._learn(rows)
        return all(row.id != self._own_row().id for row in rows)


def encode_row(row: DaemonRow) -> bytes:
    """Return `row` as the document of an object."""
    return msgspec.json.encode({"row": row})


class _RowDocument(msgspec.Struct):
    row: DaemonRow


def decode_row(document: bytes) -> DaemonRow | None:
    """Return the row in `document`, or None where another writer's document holds none."""
    try:
        return msgspec.json.decode(document, type=_RowDocument).row
    except msgspec.MsgspecError:
        return None
