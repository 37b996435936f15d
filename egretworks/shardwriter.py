"""Batch the operations on each shard of once-only records into one conditional update."""

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
    """An operation and the event that receives its decision, or a `PlatformError`."""

    operation: Operation
    decided: eventlet.event.Event


class ShardWriter:
    """Apply operations to `shards`, with one update in flight for each shard.

    A shard has an entry in `_pending_by_shard` while a green thread writes it; operations that
    arrive meanwhile wait there for the next update.
    """

    def __init__(self, shards: ShardStore, clock: Clock) -> None:
        self._shards = shards
        self._clock = clock
        self._pending_by_shard: dict[int, list[_Pending]] = {}

    def apply(self, key: OnceKey, operation: Operation, deadline: Millis) -> Decision:
        """Apply `operation` to the shard of `key` and return its decision once it is durable.

        Raises `OnceUnrecorded` if the platform fails, or if that is not known by `deadline`. The
        operation may still have taken effect, or take effect later.
        """
        pending = _Pending(operation, eventlet.event.Event())
        shard = shard_of(key)
        waiting = self._pending_by_shard.get(shard)
        if waiting is None:
            self._pending_by_shard[shard] = [pending]
            eventlet.spawn_n(self._write_batches, shard)
        else:
            waiting.append(pending)
        return self._wait_for_decision(pending, deadline)

    def record(self, key: OnceKey) -> Record | None:
        """Return the platform's record of `key`, or raise `OnceUnrecorded` if it cannot be read."""
        try:
            return self._shards.record(key)
        except PlatformError as error:
            raise OnceUnrecorded(f"the record of the key can't be read: {error}") from error

    def _wait_for_decision(self, pending: _Pending, deadline: Millis) -> Decision:
        left_ms = deadline - self._clock.now()
        with eventlet.Timeout(seconds(left_ms), False):
            outcome = pending.decided.wait()
            if isinstance(outcome, PlatformError):
                raise OnceUnrecorded(f"the call can't be recorded: {outcome}") from outcome
            return outcome
        raise OnceUnrecorded("the call couldn't be recorded before its deadline")

    def _write_batches(self, shard: int) -> None:
        """Write the pending operations of `shard` in batches until none are left."""
        while self._pending_by_shard[shard]:
            batch = self._pending_by_shard[shard]
            self._pending_by_shard[shard] = []
            outcomes = self._write_batch(shard, batch)
            for pending, outcome in zip(batch, outcomes, strict=True):
                pending.decided.send(outcome)
        del self._pending_by_shard[shard]

    def _write_batch(self, shard: int, batch: list[_Pending]) -> list[Any]:
        try:
            return self._shards.update(shard, [pending.operation for pending in batch])
        except PlatformError as error:
            return [error] * len(batch)
