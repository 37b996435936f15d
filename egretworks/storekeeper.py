"""Follow the platform's store: the configuration, the other daemons, and this daemon's row."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import eventlet
import eventlet.event
import msgspec

from egretworks.clock import seconds
from egretworks.exceptions import (
    ObjectConflict,
    ObjectNotFound,
    PlatformError,
    WatchCompacted,
)
from egretworks.rows import DaemonRow
from egretworks.timeline import Timeline
from egretworks.types import RandomSource

CONFIG_KIND = "config"
CONFIG_NAME = "main"
ROW_KIND = "egret-daemons"
WATCH_WAIT_MS = 8_000
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

    def list(self, kind: str) -> Snapshot:
        """Return all objects of `kind`."""

    def watch(self, kind: str, revision: int, wait_ms: int) -> Snapshot:
        """Return what has changed after `revision`, or raise `WatchCompacted`."""

    def read(self, kind: str, name: str) -> Stored:
        """Return an object, or raise `ObjectNotFound`."""

    def create(self, kind: str, name: str, document: bytes) -> Stored:
        """Create an object, or raise `ObjectConflict` where it exists."""

    def replace(self, kind: str, name: str, document: bytes, revision: int) -> Stored:
        """Replace the object's `revision` alone, or raise `ObjectConflict`."""


class Follower:
    """Keep up with all objects of one kind; `take` gets each batch that changed."""

    def __init__(
        self,
        store: Store,
        kind: str,
        take: Callable[[tuple[Stored, ...]], None],
        timeline: Timeline,
        random: RandomSource,
    ) -> None:
        self._store = store
        self._kind = kind
        self._take = take
        self._timeline = timeline
        self._random = random
        self._revision: int | None = None
        self._reachable = True

    def run(self) -> None:
        """Follow the kind for good, in a green thread of its own."""
        pause_ms = RETRY_MS
        while True:
            try:
                self._turn()
                self._note_reachable()
                pause_ms = RETRY_MS
            except WatchCompacted:
                self._timeline.record("store_history_gone", detail=self._kind)
                self._revision = None
            except PlatformError as error:
                self._note_unreachable(error)
                eventlet.sleep(seconds(pause_ms * (1 + self._random.random())))
                pause_ms = min(RETRY_MOST_MS, pause_ms * 2)

    def _turn(self) -> None:
        if self._revision is None:
            snapshot = self._store.list(self._kind)
        else:
            snapshot = self._store.watch(self._kind, self._revision, WATCH_WAIT_MS)
        self._revision = snapshot.revision
        if snapshot.objects:
            self._take(snapshot.objects)
            eventlet.sleep(seconds(SETTLE_MS))

    def _note_reachable(self) -> None:
        if not self._reachable:
            self._reachable = True
            self._timeline.record("store_regained", detail=self._kind)

    def _note_unreachable(self, error: PlatformError) -> None:
        if self._reachable:
            self._reachable = False
            self._timeline.record("store_lost", detail=f"{self._kind}: {error.message}")


class RowKeeper:
    """Keep this daemon's row in the store, written when it changes."""

    def __init__(
        self,
        store: Store,
        own_row: Callable[[], DaemonRow],
        learn: Callable[[DaemonRow], None],
        timeline: Timeline,
        random: RandomSource,
    ) -> None:
        self._store = store
        self._own_row = own_row
        self._learn = learn
        self._timeline = timeline
        self._random = random
        self._changed = eventlet.event.Event()
        self._revision: int | None = None
        self._written: DaemonRow | None = None

    def wake(self) -> None:
        """Note that the row has changed."""
        if not self._changed.ready():
            self._changed.send()

    def run(self) -> None:
        """Write the row whenever it has changed, in a green thread of its own."""
        while True:
            try:
                while self._own_row() != self._written:
                    self._write(self._own_row())
                self._changed.wait()
                self._changed = eventlet.event.Event()
            except ObjectConflict:
                self._read_back()
            except PlatformError as error:
                self._timeline.record("row_unwritten", detail=error.message)
                eventlet.sleep(seconds(RETRY_MS * (1 + 3 * self._random.random())))

    def _write(self, row: DaemonRow) -> None:
        document = encode_row(row)
        if self._revision is None:
            stored = self._store.create(ROW_KIND, row.id, document)
        else:
            stored = self._store.replace(ROW_KIND, row.id, document, self._revision)
        self._revision = stored.revision
        self._written = row

    def _read_back(self) -> None:
        """Learn what stands in the store: an earlier life's row, or a write thought lost."""
        try:
            stored = self._store.read(ROW_KIND, self._own_row().id)
        except ObjectNotFound:
            self._revision = None
            return
        except PlatformError as error:
            self._timeline.record("row_unread", detail=error.message)
            eventlet.sleep(seconds(RETRY_MS * (1 + self._random.random())))
            return
        self._revision = stored.revision
        earlier = decode_row(stored.document)
        if earlier is not None:
            self._learn(earlier)


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
