"""Gather the operations on each shard, so that one conditional update carries many."""

from __future__ import annotations

from typing import Any

import eventlet
import eventlet.event
import msgspec

from egretworks.clock import Clock, Millis, seconds
from egretworks.exceptions import OnceUnrecorded, PlatformError
from egretworks.once import Decision, Record, shard_of
from egretworks.shards import Operation, ShardStore
from egretworks.types import OnceKey


class _Pending(msgspec.Struct, eq=False):
    operation: Operation
    settled: eventlet.event.Event


class Keeper:
    """Apply operations to `shards`, one writer at a time for each shard."""

    def __init__(self, shards: ShardStore, clock: Clock) -> None:
        self._shards = shards
        self._clock = clock
        self._pending_by_shard: dict[int, list[_Pending]] = {}

    def apply(self, key: OnceKey, operation: Operation, deadline: Millis) -> Decision:
        """Apply `operation` to the shard of `key` and return its decision once it is durable.

        Raises `OnceUnrecorded` where that isn't known by `deadline`; the operation may have taken
        effect all the same.
        """
        pending = _Pending(operation, eventlet.event.Event())
        shard = shard_of(key)
        queue = self._pending_by_shard.get(shard)
        if queue is None:
            self._pending_by_shard[shard] = [pending]
            eventlet.spawn_n(self._write_all, shard)
        else:
            queue.append(pending)
        return self._await(pending, deadline)

    def record(self, key: OnceKey) -> Record | None:
        """Return what the platform has recorded of `key`, or raise `OnceUnrecorded`."""
        try:
            return self._shards.record(key)
        except PlatformError as error:
            raise OnceUnrecorded(f"the record can't be read: {error}") from error

    def _await(self, pending: _Pending, deadline: Millis) -> Decision:
        left_ms = deadline - self._clock.now()
        with eventlet.Timeout(seconds(left_ms), False):
            outcome = pending.settled.wait()
            if isinstance(outcome, PlatformError):
                raise OnceUnrecorded(f"the call can't be recorded: {outcome}") from outcome
            return outcome
        raise OnceUnrecorded("the call couldn't be recorded in time")

    def _write_all(self, shard: int) -> None:
        """Write for as long as operations come, each time all that have come."""
        while self._pending_by_shard[shard]:
            group = self._pending_by_shard[shard]
            self._pending_by_shard[shard] = []
            outcomes = self._write_group(shard, group)
            for pending, outcome in zip(group, outcomes, strict=True):
                pending.settled.send(outcome)
        del self._pending_by_shard[shard]

    def _write_group(self, shard: int, group: list[_Pending]) -> list[Any]:
        try:
            return self._shards.update(shard, [pending.operation for pending in group])
        except PlatformError as error:
            return [error] * len(group)
