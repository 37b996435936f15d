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
from egretworks.httpwire import HOP_BY_HOP_HEADERS, Headers, Request, Response
from egretworks.objects import ObjectStore, dump, load
from egretworks.once import Claim, Verdict, settle_not_run, try_claim, try_claim_queued
from egretworks.oncecalls import OnceCalls, queued_answer
from egretworks.rendezvous import rendezvous
from egretworks.shards import LATER
from egretworks.types import CallId, OnceKey

MAX_CONCURRENT_SENDS = 8
POLL_INTERVAL_MS = 1_000
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

    Rendezvous hashing over the live daemons elects the sender. Two daemons with different member
    tables may both act as the sender: the claim on the key lets only one of them send the call.
    """

    def __init__(
        self, board: Blackboard, store: ObjectStore, once: OnceCalls, dispatcher: Dispatcher
    ) -> None:
        self._board = board
        self._store = store
        self._once = once
        self._dispatcher = dispatcher
        self._in_flight: set[str] = set()

    def accept(self, claim: Claim, call: Call) -> Response:
        """Store `call` and queue its key on the platform, and return once both are durable."""
        try:
            self._store.create(LATER, claim.key, dump(_entry(claim, call)))
        except ObjectConflict:
            pass
        except PlatformError as error:
            raise OnceUnrecorded(f"the call can't be queued: {error}") from error
        decision = self._once.record_claim(
            claim, lambda shard: try_claim(shard, claim, queue=True), call.context.deadline
        )
        if decision.verdict is not Verdict.QUEUED:
            return self._once.answer_repeated(claim.key, decision)
        self._board.timeline.record("once_queued", call=call.context.id, key=claim.key)
        return queued_answer()

    def run(self) -> None:
        """Poll for queued calls until the daemon stops, while this daemon is the elected sender."""
        while not self._board.stopping:
            eventlet.sleep(seconds(POLL_INTERVAL_MS * (0.75 + 0.5 * self._board.random.random())))
            if self._board.ready and self._is_sender():
                self._poll()

    def _is_sender(self) -> bool:
        live_ids = [row.id for row in self._board.membership.live_members()]
        return rendezvous(live_ids, LATER, 1) == [self._board.own_id]

    def _poll(self) -> None:
        try:
            stored = self._store.list(LATER)
        except PlatformError:
            return
        # Calls that can't be settled come up at each poll. In a fixed order, enough of them at the
        # front would starve all others.
        items = list(stored.items)
        self._board.random.shuffle(items)
        for item in items:
            if len(self._in_flight) >= MAX_CONCURRENT_SENDS:
                return
            if item.name not in self._in_flight:
                self._in_flight.add(item.name)
                eventlet.spawn_n(self._send_queued, item.name, load(item.value, LaterEntry))

    def _send_queued(self, name: str, entry: LaterEntry) -> None:
        try:
            self._send(entry)
        except (CallError, PlatformError) as error:
            self._board.timeline.record(
                "once_later_failed", call=entry.call, key=entry.key, detail=error.code
            )
        finally:
            self._in_flight.discard(name)

    def _send(self, entry: LaterEntry) -> None:
        key = OnceKey(entry.key)
        call = self._call(entry)
        claim = self._once.new_claim(key, call)
        decision = self._once.record_claim(
            claim,
            lambda shard: try_claim_queued(shard, claim),
            call.context.deadline,
            undo=lambda shard: settle_not_run(shard, key, claim.mark, queued=True),
        )
        if decision.verdict is Verdict.RUN:
            self._board.timeline.record("once_claimed", call=entry.call, key=key)
            self._once.run(claim, call, lambda: self._dispatcher.run_attempts(call), queued=True)
            self._delete(key)
        elif decision.verdict is Verdict.DONE:
            self._delete(key)
        elif decision.verdict is Verdict.RUNNING:
            self._once.settle_if_orphaned(key, decision.record)
        elif decision.record is None and self._is_old(entry):
            self._delete(key)

    def _call(self, entry: LaterEntry) -> Call:
        headers: Headers = list(entry.headers)
        request = Request(entry.method, entry.url, headers, entry.body, keep_alive=True)
        route = self._dispatcher.route_of(request)
        deadline = Millis(self._board.clock.now() + route.timeout_ms)
        return Call(request, route, CallContext(CallId(entry.call), entry.depth, deadline))

    def _is_old(self, entry: LaterEntry) -> bool:
        return self._board.clock.wall() - entry.at_ms > UNRECORDED_RETENTION_MS

    def _delete(self, key: OnceKey) -> None:
        try:
            stored = self._store.read(LATER, key)
            self._store.delete(LATER, key, stored.etag)
        except (ObjectNotFound, ObjectConflict):
            return


def _entry(claim: Claim, call: Call) -> LaterEntry:
    request = call.request
    headers = tuple((n, v) for n, v in request.headers if n not in HOP_BY_HOP_HEADERS)
    return LaterEntry(
        key=claim.key,
        method=request.method,
        url=request.url,
        headers=headers,
        body=request.body,
        call=call.context.id,
        depth=call.context.depth,
        at_ms=claim.at_ms,
    )
