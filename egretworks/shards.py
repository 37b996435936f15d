"""Read and update the shards of once-only records on the platform, by compare-and-swap."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from egretworks.exceptions import (
    ObjectConflict,
    ObjectNotFound,
    PlatformError,
    PlatformUnavailable,
)
from egretworks.objects import ObjectStore, dump, load
from egretworks.once import Decision, Record, Shard, shard_of
from egretworks.types import ETag, OnceKey

# Kind of the objects that hold the shards.
ONCE = "once"
# Kind of the objects that hold the requests of queued calls.
LATER = "later"
MAX_ATTEMPTS = 20
RETRY_MS = 20
# Size of the cache of shards, from which the least recently used one is evicted.
MAX_CACHED_SHARDS = 64

Operation = Callable[[Shard], Decision]
Pause = Callable[[float], None]


class _CachedShard(msgspec.Struct, frozen=True):
    """A shard and the etag of its object, None if there is no object yet."""

    shard: Shard
    etag: ETag | None


class ShardStore:
    """Read and update shards on `store`, with a bounded cache of their last known versions.

    `pause` sleeps for a number of milliseconds between two attempts.
    """

    def __init__(self, store: ObjectStore, pause: Pause) -> None:
        self._store = store
        self._pause = pause
        self._cached_by_shard: dict[int, _CachedShard] = {}

    def record(self, key: OnceKey) -> Record | None:
        """Return the record of `key` on the platform, or None if it has none."""
        return self._read(shard_of(key)).shard.records_by_key.get(key)

    def update(self, shard: int, operations: list[Operation]) -> list[Decision]:
        """Apply `operations` in one conditional update and return their decisions.

        After a conflict with another writer, or a write whose answer was lost, they are applied
        again to a newly read shard. The marks in the shard then show whether the lost write took
        effect. Raises `PlatformError` if the shard can't be read, and the error of the last attempt
        to write it after `MAX_ATTEMPTS` attempts.
        """
        cached = self._cached_by_shard.get(shard)
        fresh = cached is None
        failure: PlatformError = ObjectConflict("other daemons kept updating the shard first")
        for attempt in range(MAX_ATTEMPTS):
            if cached is None:
                cached = self._read(shard)
                fresh = True
            decisions, updated = _apply(cached.shard, operations)
            if updated is cached.shard and fresh:
                return decisions
            # A decision that changes nothing is not checked by a write, so it must not be based on
            # a cached copy: the shard is read again.
            if updated is not cached.shard:
                try:
                    self._write(shard, updated, cached.etag)
                    return decisions
                except (ObjectConflict, PlatformUnavailable) as error:
                    failure = error
                    self._pause(RETRY_MS * attempt)
            cached = None
            self._cached_by_shard.pop(shard, None)
        raise failure

    def _read(self, shard: int) -> _CachedShard:
        try:
            stored = self._store.read(ONCE, _name(shard))
        except ObjectNotFound:
            return _CachedShard(Shard(), None)
        cached = _CachedShard(load(stored.value, Shard), stored.etag)
        self._cache(shard, cached)
        return cached

    def _cache(self, shard: int, cached: _CachedShard) -> None:
        self._cached_by_shard.pop(shard, None)
        self._cached_by_shard[shard] = cached
        while len(self._cached_by_shard) > MAX_CACHED_SHARDS:
            del self._cached_by_shard[next(iter(self._cached_by_shard))]

    def _write(self, shard: int, updated: Shard, etag: ETag | None) -> None:
        value = dump(updated)
        if etag is None:
            written = self._store.create(ONCE, _name(shard), value)
        else:
            written = self._store.update(ONCE, _name(shard), value, etag)
        self._cache(shard, _CachedShard(updated, written))


def _apply(shard: Shard, operations: list[Operation]) -> tuple[list[Decision], Shard]:
    decisions = []
    for operation in operations:
        decision = operation(shard)
        shard = shard if decision.shard is None else decision.shard
        decisions.append(decision)
    return decisions, shard


def _name(shard: int) -> str:
    return f"{shard:05d}"
