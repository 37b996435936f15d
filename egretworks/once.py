"""Decide whether a call that may run only once may be sent, from what is recorded of its key.

A shard is the value of one object of the platform: the platform's conditional update of it is the
fence between daemons. The functions here take a shard and return the one to write in its place.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import msgspec
import xxhash

from egretworks.clock import Millis
from egretworks.types import InstanceId, OnceKey, OnceState, ServiceName, WriterMark

SHARDS = 16_384
DONE_RETENTION_MS = 24 * 3_600_000
# The platform holds values up to a megabyte; above this a shard takes no new keys.
MAX_SHARD_BYTES = 900_000
MAX_KEY_LENGTH = 200


class Answer(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold the answer that a once-only call got."""

    status: int
    content_type: str = ""
    body: bytes = b""
    # The body is kept in an object of its own where it is large.
    apart: bool = False


class Record(msgspec.Struct, frozen=True, omit_defaults=True):
    """Tell where one key stands; `mark` is that of the attempt that holds it."""

    state: OnceState
    fingerprint: str
    owner: str
    incarnation: int
    mark: str
    at_ms: float
    answer: Answer | None = None


class Shard(msgspec.Struct, frozen=True):
    """Hold the records of the keys that hash to one object."""

    records_by_key: dict[str, Record] = {}


Settlement = Callable[[Shard], Shard]


class Verdict(Enum):
    """Say what may be done with a call."""

    RUN = "run"
    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    REUSED = "reused"
    FULL = "full"


class Decision(msgspec.Struct, frozen=True):
    """Carry a verdict, the record it rests on and the shard to write, if it has to change."""

    verdict: Verdict
    record: Record | None = None
    shard: Shard | None = None


class Claim(msgspec.Struct, frozen=True):
    """Ask for the right to send the call with `key`, for the attempt with `mark`."""

    key: OnceKey
    fingerprint: str
    owner: InstanceId
    incarnation: int
    mark: WriterMark
    at_ms: Millis


_VERDICTS_BY_STATE = {
    OnceState.QUEUED: Verdict.QUEUED,
    OnceState.CLAIMED: Verdict.RUNNING,
    OnceState.DONE: Verdict.DONE,
    OnceState.UNKNOWN: Verdict.UNKNOWN,
}


def full_key(service: ServiceName, key: str) -> OnceKey:
    """Return the key of a call within its service."""
    return OnceKey(f"{service}/{key}")


def shard_of(key: OnceKey) -> int:
    """Return the number of the shard that records `key`."""
    return xxhash.xxh3_64_intdigest(key.encode()) % SHARDS


def fingerprint_of(method: str, url: bytes, body: bytes) -> str:
    """Return what tells one request from another that reuses its key."""
    parts = method.encode() + b"\0" + url + b"\0" + body
    return f"{xxhash.xxh3_128_intdigest(parts):x}"


def claim(shard: Shard, asked: Claim, *, queue: bool = False) -> Decision:
    """Decide whether `asked` may send its call now or, with `queue`, have it kept for later."""
    held = shard.records_by_key.get(asked.key)
    wanted = OnceState.QUEUED if queue else OnceState.CLAIMED
    if held is None:
        return _claimed(shard, asked, wanted)
    if held.mark == asked.mark and held.state is wanted:
        # The answer to an own write was lost, and the write took effect.
        return Decision(Verdict.QUEUED if queue else Verdict.RUN, held)
    if held.fingerprint != asked.fingerprint:
        return Decision(Verdict.REUSED, held)
    return Decision(_VERDICTS_BY_STATE[held.state], held)


def take(shard: Shard, asked: Claim) -> Decision:
    """Decide whether `asked` may send a call that was kept for later."""
    held = shard.records_by_key.get(asked.key)
    if held is not None and held.mark == asked.mark and held.state is OnceState.CLAIMED:
        return Decision(Verdict.RUN, held)
    if held is None:
        return Decision(Verdict.UNKNOWN)
    if held.state is not OnceState.QUEUED:
        return Decision(_VERDICTS_BY_STATE[held.state], held)
    return _claimed(shard, asked, OnceState.CLAIMED)


def settle_done(shard: Shard, key: OnceKey, mark: WriterMark, answer: Answer) -> Shard:
    """Record the answer that the attempt with `mark` got; it also clears an unknown outcome."""
    held = shard.records_by_key.get(key)
    if held is None or held.mark != mark or held.state is OnceState.DONE:
        return shard
    return _put(shard, key, msgspec.structs.replace(held, state=OnceState.DONE, answer=answer))


def settle_unknown(shard: Shard, key: OnceKey, mark: WriterMark) -> Shard:
    """Record that nobody knows whether the attempt with `mark` ran."""
    held = shard.records_by_key.get(key)
    if held is None or held.mark != mark or held.state is not OnceState.CLAIMED:
        return shard
    return _put(shard, key, msgspec.structs.replace(held, state=OnceState.UNKNOWN))


def settle_not_run(shard: Shard, key: OnceKey, mark: WriterMark, *, queued: bool = False) -> Shard:
    """Free the key of an attempt that certainly wasn't sent; a `queued` call waits again."""
    held = shard.records_by_key.get(key)
    if held is None or held.mark != mark or held.state is OnceState.DONE:
        return shard
    if queued:
        return _put(shard, key, msgspec.structs.replace(held, state=OnceState.QUEUED))
    records = dict(shard.records_by_key)
    del records[key]
    return Shard(records)


def settling(settlement: Settlement) -> Callable[[Shard], Decision]:
    """Return the operation on a shard that `settlement` amounts to."""

    def operation(shard: Shard) -> Decision:
        following = settlement(shard)
        return Decision(Verdict.DONE, shard=None if following is shard else following)

    return operation


def fenced(shard: Shard, settlement: Settlement) -> Shard:
    """Return a new shard even where `settlement` changes nothing.

    Writing it ends the version that a claim still on its way to the platform depends on.
    """
    following = settlement(shard)
    return Shard(dict(shard.records_by_key)) if following is shard else following


def prune(shard: Shard, now: Millis) -> Shard:
    """Drop answers that have been kept long enough; what isn't settled stays."""
    kept = {
        key: record
        for key, record in shard.records_by_key.items()
        if record.state is not OnceState.DONE or now - record.at_ms < DONE_RETENTION_MS
    }
    return shard if len(kept) == len(shard.records_by_key) else Shard(kept)


def _claimed(shard: Shard, asked: Claim, state: OnceState) -> Decision:
    pruned = prune(shard, asked.at_ms)
    record = Record(
        state=state,
        fingerprint=asked.fingerprint,
        owner=asked.owner,
        incarnation=asked.incarnation,
        mark=asked.mark,
        at_ms=asked.at_ms,
    )
    following = _put(pruned, asked.key, record)
    if len(msgspec.json.encode(following)) > MAX_SHARD_BYTES:
        return Decision(Verdict.FULL)
    verdict = Verdict.QUEUED if state is OnceState.QUEUED else Verdict.RUN
    return Decision(verdict, record, following)


def _put(shard: Shard, key: OnceKey, record: Record) -> Shard:
    return Shard({**shard.records_by_key, key: record})
