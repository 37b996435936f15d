"""Queue once-only calls on the platform and send them from one elected daemon."""

from __future__ import annotations

import eventlet
import msgspec

from egretworks.blackboard import Blackboard
from egretworks.clock import Millis, seconds
from egretworks.deadlines import CallContext
from egretworks.dispatch import Call, Dispatcher
from egretworks.exceptions import (
    CallError,
    ObjectConflict,
    ObjectNotFound,
    OnceUnrecorded,
    PlatformError,
)
from egretworks.httpwire import HOP_HEADERS, Headers, Request, Response
from egretworks.membership import rendezvous
from egretworks.objects import ObjectStore, dump, load
from egretworks.once import Claim, Verdict, claim, settle_not_run, take
from egretworks.oncecalls import OnceCalls, queued_answer
from egretworks.shards import LATER
from egretworks.types import CallId, OnceKey

MAX_AT_A_TIME = 8
LOOK_EVERY_MS = 1_000
# An entry whose key still has no record after this time belongs to a call that was refused, and is
# deleted.
UNRECORDED_RETENTION_MS = 60_000


class LaterEntry(msgspec.Struct, frozen=True):
    """Hold the stored request of a queued call."""

    key: str
    method: str
    url: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    call: str
    depth: int
    at_ms: float


class LaterCalls:
    """Accept calls for later, and send queued calls while this daemon is the elected sender.

    Rendezvous hashing over the living daemons elects the sender. Two daemons that differ about the
    members may both send: the claim on the key lets only one of them run the call.
    """

    def __init__(
        self, board: Blackboard, store: ObjectStore, once: OnceCalls, dispatcher: Dispatcher
    ) -> None:
        self._board = board
        self._store = store
        self._once = once
        self._dispatcher = dispatcher
        self._in_hand: set[str] = set()

    def accept(self, asked: Claim, call: Call) -> Response:
        """Store `call` and queue its key on the platform, and return once both are durable."""
        try:
            self._store.create(LATER, asked.key, dump(_entry(asked, call)))
        except ObjectConflict:
            pass
        except PlatformError as error:
            raise OnceUnrecorded(f"the call can't be queued: {error}") from error
        decision = self._once.record_claim(
            asked, lambda shard: claim(shard, asked, queue=True), call.context.deadline
        )
        if decision.verdict is not Verdict.QUEUED:
            return self._once.answer_repeated(asked.key, decision)
        self._board.timeline.record("once_queued", call=call.context.id, key=asked.key)
        return queued_answer()

    def run(self) -> None:
        """Poll for queued calls until the daemon stops, while this daemon is the elected sender."""
        while not self._board.stopping:
            eventlet.sleep(seconds(LOOK_EVERY_MS * (0.75 + 0.5 * self._board.random.random())))
            if self._board.ready and self._is_sender():
                self._look()

    def _is_sender(self) -> bool:
        living = [row.id for row in self._board.membership.living()]
        return rendezvous(living, LATER, 1) == [self._board.own_id]

    def _look(self) -> None:
        try:
            kept = self._store.list(LATER)
        except PlatformError:
            return
        # In a fixed order, calls that can't be settled would take all slots at each poll and starve
        # the others.
        items = list(kept.items)
        self._board.random.shuffle(items)
        for item in items:
            if len(self._in_hand) >= MAX_AT_A_TIME:
                return
            if item.name not in self._in_hand:
                self._in_hand.add(item.name)
                eventlet.spawn_n(self._send_kept, item.name, load(item.value, LaterEntry))

    def _send_kept(self, name: str, entry: LaterEntry) -> None:
        try:
            self._send(entry)
        except (CallError, PlatformError) as error:
            self._board.timeline.record(
                "once_later_failed", call=entry.call, key=entry.key, detail=error.code
            )
        finally:
            self._in_hand.discard(name)

    def _send(self, entry: LaterEntry) -> None:
        key = OnceKey(entry.key)
        call = self._call(entry)
        asked = self._once.new_claim(key, call)
        decision = self._once.record_claim(
            asked,
            lambda shard: take(shard, asked),
            call.context.deadline,
            taken_back=lambda shard: settle_not_run(shard, key, asked.mark, queued=True),
        )
        if decision.verdict is Verdict.RUN:
            self._board.timeline.record("once_claimed", call=entry.call, key=key)
            self._once.run(asked, call, lambda: self._dispatcher.run_attempts(call), queued=True)
            self._forget(key)
        elif decision.verdict is Verdict.DONE:
            self._forget(key)
        elif decision.verdict is Verdict.RUNNING:
            self._once.give_up_if_orphaned(key, decision.record)
        elif decision.record is None and self._is_old(entry):
            self._forget(key)

    def _call(self, entry: LaterEntry) -> Call:
        headers: Headers = list(entry.headers)
        request = Request(entry.method, entry.url, headers, entry.body, keep_alive=True)
        route = self._dispatcher.route_of(request)
        deadline = Millis(self._board.clock.now() + route.timeout_ms)
        return Call(request, route, CallContext(CallId(entry.call), entry.depth, deadline))

    def _is_old(self, entry: LaterEntry) -> bool:
        return self._board.clock.wall() - entry.at_ms > UNRECORDED_RETENTION_MS

    def _forget(self, key: OnceKey) -> None:
        try:
            stored = self._store.read(LATER, key)
            self._store.delete(LATER, key, stored.etag)
        except (ObjectNotFound, ObjectConflict):
            return


def _entry(asked: Claim, call: Call) -> LaterEntry:
    request = call.request
    kept = tuple((n, v) for n, v in request.headers if n not in HOP_HEADERS)
    return LaterEntry(
        key=asked.key,
        method=request.method,
        url=request.url,
        headers=kept,
        body=request.body,
        call=call.context.id,
        depth=call.context.depth,
        at_ms=asked.at_ms,
    )
