"""The state machine of idempotency keys: decide whether a once-only call may be sent.

The records are kept in shards. A shard is the value of one object on the platform, which the
daemons update by compare-and-swap, so that a daemon with a stale copy can't overwrite a newer one.
The functions here are pure: they take a shard and return the one to write in its place.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import msgspec
import xxhash

from egretworks.clock import Millis
from egretworks.types import InstanceId, OnceKey, OnceState, ServiceName, WriterMark

SHARD_COUNT = 16_384
# How long the answer to a call is kept for repeats of its key, counted from the claim.
DONE_RETENTION_MS = 24 * 3_600_000
# The platform stores values of up to a megabyte. A claim that would make its shard larger than
# this is refused.
MAX_SHARD_BYTES = 900_000
MAX_KEY_LENGTH = 200


class Answer(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold the recorded answer to a once-only call."""

    status: int
    content_type: str = ""
    body: bytes = b""
    # Whether the body is stored in an object of its own, because it is large.
    apart: bool = False


class Record(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold the state of one idempotency key.

    `mark` identifies the attempt that claimed or queued the key; an outcome is recorded only for
    the attempt whose mark the record holds. `owner` and `incarnation` are those of its daemon,
    `fingerprint` is the hash of its request, and `at_ms` the wall-clock time of the claim.
    """

    state: OnceState
    fingerprint: str
    owner: str
    incarnation: int
    mark: str
    at_ms: float
    answer: Answer | None = None


class Shard(msgspec.Struct, frozen=True):
    """Hold the records of all keys that hash to one shard."""

    records_by_key: dict[str, Record] = {}


# Record an outcome: return the changed shard, or the same object if there is nothing to change.
Settlement = Callable[[Shard], Shard]


class Verdict(Enum):
    """Say what to do with a call, according to the record of its key.

    `REUSED` means that the key belongs to a different request, and `FULL` that the shard has no
    space for another record. The others, except for `RUN`, are the state of the record; `UNKNOWN`
    is also the verdict on a queued call without a record.
    """

    RUN = "run"
    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    REUSED = "reused"
    FULL = "full"


class Decision(msgspec.Struct, frozen=True):
    """Hold a verdict, the record it is based on and the shard to write, None if unchanged."""

    verdict: Verdict
    record: Record | None = None
    shard: Shard | None = None


class Claim(msgspec.Struct, frozen=True):
    """Request the right to send the call with `key`, on behalf of the attempt with `mark`."""

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
    """Return `key` qualified by its service."""
    return OnceKey(f"{service}/{key}")


def shard_of(key: OnceKey) -> int:
    """Return the number of the shard that holds the record of `key`."""
    return xxhash.xxh3_64_intdigest(key.encode()) % SHARD_COUNT


def fingerprint_of(method: str, url: bytes, body: bytes) -> str:
    """Return a hash of a request, to detect a key that is reused for another request."""
    parts = method.encode() + b"\0" + url + b"\0" + body
    return f"{xxhash.xxh3_128_intdigest(parts):x}"


def try_claim(shard: Shard, claim: Claim, *, queue: bool = False) -> Decision:
    """Decide whether `claim` may send its call now or, with `queue`, have it queued for later."""
    record = shard.records_by_key.get(claim.key)
    wanted_state = OnceState.QUEUED if queue else OnceState.CLAIMED
    if record is None:
        return _add_claim(shard, claim, wanted_state)
    if record.mark == claim.mark and record.state is wanted_state:
        # This attempt's own write took effect, although its answer was lost.
        return Decision(Verdict.QUEUED if queue else Verdict.RUN, record)
    if record.fingerprint != claim.fingerprint:
        return Decision(Verdict.REUSED, record)
    return Decision(_VERDICTS_BY_STATE[record.state], record)


def try_claim_queued(shard: Shard, claim: Claim) -> Decision:
    """Decide whether `claim` may send a queued call, and claim it if so."""
    record = shard.records_by_key.get(claim.key)
    if record is not None and record.mark == claim.mark and record.state is OnceState.CLAIMED:
        return Decision(Verdict.RUN, record)
    if record is None:
        return Decision(Verdict.UNKNOWN)
    if record.state is not OnceState.QUEUED:
        return Decision(_VERDICTS_BY_STATE[record.state], record)
    return _add_claim(shard, claim, OnceState.CLAIMED)


def settle_done(shard: Shard, key: OnceKey, mark: WriterMark, answer: Answer) -> Shard:
    """Record the answer to the attempt with `mark`, also in place of an unknown outcome."""
    record = shard.records_by_key.get(key)
    if record is None or record.mark != mark or record.state is OnceState.DONE:
        return shard
    return _put(shard, key, msgspec.structs.replace(record, state=OnceState.DONE, answer=answer))


def settle_unknown(shard: Shard, key: OnceKey, mark: WriterMark) -> Shard:
    """Record that it is unknown whether the attempt with `mark` ran."""
    record = shard.records_by_key.get(key)
    if record is None or record.mark != mark or record.state is not OnceState.CLAIMED:
        return shard
    return _put(shard, key, msgspec.structs.replace(record, state=OnceState.UNKNOWN))


def settle_not_run(shard: Shard, key: OnceKey, mark: WriterMark, *, queued: bool = False) -> Shard:
    """Free the key of an attempt that certainly did not run; a `queued` call is queued again."""
    record = shard.records_by_key.get(key)
    if record is None or record.mark != mark or record.state is OnceState.DONE:
        return shard
    if queued:
        return _put(shard, key, msgspec.structs.replace(record, state=OnceState.QUEUED))
    records = dict(shard.records_by_key)
    del records[key]
    return Shard(records)


def as_operation(settlement: Settlement) -> Callable[[Shard], Decision]:
    """Return the shard operation that applies `settlement` and writes only a changed shard."""

    def operation(shard: Shard) -> Decision:
        updated = settlement(shard)
        return Decision(Verdict.DONE, shard=None if updated is shard else updated)

    return operation


def fenced(shard: Shard, settlement: Settlement) -> Shard:
    """Apply `settlement` and return a new shard even if it changes nothing.

    Writing it gives the object a new version. A claim that is still on its way to the platform
    was based on an older version and is then rejected when it arrives.
    """
    updated = settlement(shard)
    return Shard(dict(shard.records_by_key)) if updated is shard else updated


def prune(shard: Shard, now: Millis) -> Shard:
    """Drop answers older than `DONE_RETENTION_MS`; records that are not done stay."""
    kept = {
        key: record
        for key, record in shard.records_by_key.items()
        if record.state is not OnceState.DONE or now - record.at_ms < DONE_RETENTION_MS
    }
    return shard if len(kept) == len(shard.records_by_key) else Shard(kept)


def _add_claim(shard: Shard, claim: Claim, state: OnceState) -> Decision:
    pruned = prune(shard, claim.at_ms)
    record = Record(
        state=state,
        fingerprint=claim.fingerprint,
        owner=claim.owner,
        incarnation=claim.incarnation,
        mark=claim.mark,
        at_ms=claim.at_ms,
    )
    updated = _put(pruned, claim.key, record)
    if len(msgspec.json.encode(updated)) > MAX_SHARD_BYTES:
        return Decision(Verdict.FULL)
    verdict = Verdict.QUEUED if state is OnceState.QUEUED else Verdict.RUN
    return Decision(verdict, record, updated)


def _put(shard: Shard, key: OnceKey, record: Record) -> Shard:
    return Shard({**shard.records_by_key, key: record})
