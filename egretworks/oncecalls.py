"""Carry once-only calls: claim the key, send the call and record its outcome."""

from __future__ import annotations

from typing import Protocol

import eventlet
import msgspec

from egretworks.blackboard import Blackboard
from egretworks.clock import Millis, seconds
from egretworks.dispatch import Call, RunAttempts
from egretworks.exceptions import (
    CallError,
    ObjectConflict,
    ObjectNotFound,
    OnceKeyMissing,
    OnceKeyReused,
    OnceRunning,
    OnceUnknown,
    OnceUnrecorded,
    OutcomeUnknown,
    PlatformError,
)
from egretworks.httpwire import Response
from egretworks.membership import LIVE_STATES
from egretworks.objects import ObjectStore
from egretworks.once import (
    MAX_KEY_LENGTH,
    Answer,
    Claim,
    Decision,
    Record,
    Settlement,
    Verdict,
    as_operation,
    fenced,
    fingerprint_of,
    full_key,
    settle_done,
    settle_not_run,
    settle_unknown,
    try_claim,
)
from egretworks.shards import Operation
from egretworks.shardwriter import ShardWriter
from egretworks.types import InstanceId, OnceKey, OnceState, ServiceName, WriterMark

KEY_HEADER = b"Idempotency-Key"
ONCE_HEADER = b"Egret-Once"
# Kind of the objects that hold the large bodies of recorded answers.
ANSWERS = "answers"
# A larger body is stored in an object of its own, to keep shards small.
MAX_INLINE_BYTES = 2_048
# The caller's answer is held back at most this long for its record to be written.
RECORD_WAIT_MS = 1_000
SETTLE_RETRY_MS = 500
SETTLE_TIMEOUT_MS = 5_000

LATER_HEADER = b"Egret-Later"


class LaterService(Protocol):
    """Store calls that are to be sent after their callers have been answered."""

    def accept(self, claim: Claim, call: Call) -> Response:
        """Store `call` and return the answer to its caller once the call is durable."""


class OnceCalls:
    """Carry the once-only calls of one daemon.

    `unsettled` counts the outcomes that are still being recorded in the background.
    """

    def __init__(self, board: Blackboard, store: ObjectStore, shard_writer: ShardWriter) -> None:
        self._board = board
        self._store = store
        self._shard_writer = shard_writer
        self.later: LaterService | None = None
        self.unsettled = 0

    def serve(self, call: Call, run_attempts: RunAttempts) -> Response:
        """Return the answer to `call`, from `run_attempts` or recorded from an earlier run."""
        key = _read_key(call)
        claim = self.new_claim(key, call)
        if self.later is not None and call.request.header(LATER_HEADER.lower()) == "true":
            return self.later.accept(claim, call)
        decision = self.record_claim(
            claim, lambda shard: try_claim(shard, claim), call.context.deadline
        )
        if decision.verdict is not Verdict.RUN:
            return self.answer_repeated(key, decision)
        self._record_event("once_claimed", call, key)
        return self.run(claim, call, run_attempts)

    def run(
        self, claim: Claim, call: Call, run_attempts: RunAttempts, *, queued: bool = False
    ) -> Response:
        """Send a call whose key is claimed, record the outcome and return the answer.

        A `queued` call that was not run is queued again. Raises `OnceUnknown` if the call may or
        may not have run.
        """
        key, mark = claim.key, claim.mark
        try:
            response = run_attempts()
        except CallError as error:
            if error.not_run:
                self._record_event("once_not_run", call, key, error.code)
                self.settle_in_background(
                    key, lambda shard: settle_not_run(shard, key, mark, queued=queued)
                )
                raise
            self._record_event("once_unknown", call, key, error.code)
            self.settle_in_background(key, lambda shard: settle_unknown(shard, key, mark))
            raise OnceUnknown(
                f"the call was sent and its outcome is unknown: {error.message}"
            ) from error
        self._record_event("once_done", call, key, str(response.status))
        self._record_done(claim, response)
        return _with_once_header(response, "ran")

    def new_claim(self, key: OnceKey, call: Call) -> Claim:
        """Return a claim on `key` for a new attempt at `call`."""
        request = call.request
        own = self._board.membership.own
        return Claim(
            key=key,
            fingerprint=fingerprint_of(request.method, request.url, request.body),
            owner=self._board.own_id,
            incarnation=own.incarnation,
            mark=WriterMark(f"{call.context.id}-{self._board.random.randrange(2**62):x}"),
            at_ms=self._board.clock.wall(),
        )

    def describe(self, service: str, key: str) -> Response:
        """Return an answer with the recorded state of `key` within `service`."""
        qualified_key = full_key(ServiceName(service), key)
        return _describe_record(qualified_key, self._shard_writer.record(qualified_key))

    def settle_in_background(self, key: OnceKey, settlement: Settlement) -> None:
        """Record an outcome in the background, retrying until it is durable."""
        self.unsettled += 1
        eventlet.spawn_n(self._settle_until_done, key, settlement)

    def record_claim(
        self,
        claim: Claim,
        operation: Operation,
        deadline: Millis,
        *,
        undo: Settlement | None = None,
    ) -> Decision:
        """Return the decision on a claim once it is durable, or raise `OnceUnrecorded`.

        A claim that may or may not have been recorded is undone in the background: by `undo`, or
        by its removal if that is None.
        """
        try:
            return self._shard_writer.apply(claim.key, operation, deadline)
        except OnceUnrecorded:
            undo = undo or (lambda shard: settle_not_run(shard, claim.key, claim.mark))
            self.settle_in_background(claim.key, lambda shard: fenced(shard, undo))
            raise

    def settle_if_orphaned(self, key: OnceKey, record: Record) -> bool:
        """Record an unknown outcome if the owner of `record` is gone, and return whether it is."""
        if not self._owner_is_gone(record):
            return False
        self._board.timeline.record("once_orphaned", key=key, detail=record.owner)
        self.settle_in_background(
            key, lambda shard: settle_unknown(shard, key, WriterMark(record.mark))
        )
        return True

    def _record_done(self, claim: Claim, response: Response) -> None:
        """Record the answer, and wait up to `RECORD_WAIT_MS` until it is durable.

        If the platform takes longer, the caller is answered and recording goes on in the
        background.
        """
        settled = eventlet.event.Event()

        def record() -> None:
            answer = self._store_answer(claim.key, response)
            self._settle_until_done(
                claim.key, lambda shard: settle_done(shard, claim.key, claim.mark, answer)
            )
            settled.send()

        self.unsettled += 1
        eventlet.spawn_n(record)
        with eventlet.Timeout(seconds(RECORD_WAIT_MS), False):
            settled.wait()

    def _store_answer(self, key: OnceKey, response: Response) -> Answer:
        """Return the answer to record, after storing a large body in an object of its own."""
        content_type = response.header(b"content-type")
        if len(response.body) <= MAX_INLINE_BYTES:
            return Answer(response.status, content_type, response.body)
        while True:
            try:
                self._store.create(ANSWERS, key, response.body)
                break
            except ObjectConflict:
                break
            except PlatformError:
                eventlet.sleep(seconds(SETTLE_RETRY_MS))
        return Answer(response.status, content_type, apart=True)

    def _settle_until_done(self, key: OnceKey, settlement: Settlement) -> None:
        while True:
            deadline = Millis(self._board.clock.now() + SETTLE_TIMEOUT_MS)
            try:
                self._shard_writer.apply(key, as_operation(settlement), deadline)
                break
            except (OnceUnrecorded, PlatformError):
                eventlet.sleep(seconds(SETTLE_RETRY_MS))
        self.unsettled -= 1

    def answer_repeated(self, key: OnceKey, decision: Decision) -> Response:
        """Return the answer to a call that may not be sent because of the record of its key.

        Raises an error with the reason if there is no answer to give.
        """
        record = decision.record
        if decision.verdict is Verdict.FULL:
            raise OnceUnrecorded(
                "the shard of this key is full; records of answered calls expire after 24 hours"
            )
        if decision.verdict is Verdict.REUSED:
            raise OnceKeyReused("the key was already used for a different request")
        if decision.verdict is Verdict.DONE:
            return self._recorded_answer(key, record)
        if decision.verdict is Verdict.UNKNOWN:
            raise OnceUnknown("an earlier call with this key has an unknown outcome")
        if decision.verdict is Verdict.QUEUED:
            return queued_answer()
        if self.settle_if_orphaned(key, record):
            raise OnceUnknown(
                "the daemon that claimed the key is gone and the outcome of its call is unknown"
            )
        raise OnceRunning("an earlier call with this key has not ended yet")

    def _recorded_answer(self, key: OnceKey, record: Record) -> Response:
        answer = record.answer
        body = answer.body
        if answer.apart:
            try:
                body = self._store.read(ANSWERS, key).value
            except (ObjectNotFound, PlatformError) as error:
                raise OutcomeUnknown(f"the recorded answer can't be read: {error}") from error
        headers = [(b"Content-Type", answer.content_type.encode("latin-1"))]
        return _with_once_header(Response(answer.status, headers, body), "recorded")

    def _owner_is_gone(self, record: Record) -> bool:
        """Return whether the owner has left, failed or restarted since it claimed the key."""
        row = self._board.membership.rows_by_id.get(InstanceId(record.owner))
        return row is None or row.state not in LIVE_STATES or row.incarnation > record.incarnation

    def _record_event(self, kind: str, call: Call, key: OnceKey, detail: str = "") -> None:
        self._board.timeline.record(kind, call=call.context.id, key=key, detail=detail)


def queued_answer() -> Response:
    """Return the answer to a call that is queued for later."""
    return _with_once_header(
        Response(202, [(b"Content-Type", b"application/json")], b"{}"), "queued"
    )


def _describe_record(key: OnceKey, record: Record | None) -> Response:
    """Return an answer with the state of `key`, "absent" if it has no record."""
    state = record.state.value if record else "absent"
    body = msgspec.json.encode(
        {"key": key, "state": state, "status": record.answer.status if _has_answer(record) else 0}
    )
    return _with_once_header(Response(200, [(b"Content-Type", b"application/json")], body), state)


def _has_answer(record: Record | None) -> bool:
    return record is not None and record.state is OnceState.DONE and record.answer is not None


def _read_key(call: Call) -> OnceKey:
    key = call.request.header(KEY_HEADER.lower())
    if not key:
        raise OnceKeyMissing(f"route {call.route.name} requires the header {KEY_HEADER.decode()}")
    if len(key) > MAX_KEY_LENGTH or not key.isprintable():
        raise OnceKeyMissing(
            f"{KEY_HEADER.decode()} must be at most {MAX_KEY_LENGTH} printable characters"
        )
    return full_key(ServiceName(call.route.service), key)


def _with_once_header(response: Response, once: str) -> Response:
    headers = [(name, value) for name, value in response.headers if name != ONCE_HEADER]
    return msgspec.structs.replace(
        response, headers=[*headers, (ONCE_HEADER, once.encode("ascii"))]
    )
