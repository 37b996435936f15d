"""Send requests to the local target over a pool of keep-alive connections."""

from __future__ import annotations

import logging
import re
from collections.abc import Callable
from enum import Enum

import msgspec

from egretworks.bytebudget import ByteBudget
from egretworks.clock import Clock, Millis
from egretworks.exceptions import OutcomeUnknown
from egretworks.httpwire import Response
from egretworks.messagereader import MessageLimits
from egretworks.responsereader import MAX_RESPONSE_HEAD_BYTES, ResponseReader
from egretworks.streams import Stream, call_later, connect
from egretworks.types import Endpoint

CONNECT_TIMEOUT_MS = 400
# One answer may take this share of the memory for answers, so that one that never ends leaves room
# for the others.
MAX_ANSWER_SHARE = 0.5
# An idle connection is not reused when less than this is left of the target's idle timeout, because
# the target could close it while a request is on its way.
KEEP_ALIVE_MARGIN_MS = 600
# An idle connection is reused within this time if the target states no idle timeout.
DEFAULT_IDLE_MS = 4_000

log = logging.getLogger(__name__)

_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")


class ExchangeFailure(Enum):
    """Reason why an exchange ended without a complete answer."""

    NO_CONNECTION = "no_connection"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"


DoneCallback = Callable[[Response | ExchangeFailure], None]


class Exchange(msgspec.Struct, frozen=True):
    """Describe a request to a target and what to do with its answer."""

    method: str
    # The encoded request.
    data: bytes
    timeout_ms: float
    # Returns whether an answer belongs to this request; other answers are skipped.
    is_own_answer: Callable[[Response], bool]
    on_done: DoneCallback


class TargetConnections:
    """Hold the idle connections to the target at `endpoint`.

    Each connection carries one exchange at a time and is idle in between.
    """

    def __init__(self, endpoint: Endpoint, clock: Clock, body_budget: ByteBudget) -> None:
        """Buffer answers that are still arriving within `body_budget`."""
        self.endpoint = endpoint
        self._clock = clock
        self.body_budget = body_budget
        self._idle: list[_Connection] = []

    def send(self, exchange: Exchange) -> Callable[[], None]:
        """Start `exchange` and return a callback that aborts it.

        `exchange.on_done` is not called for an aborted exchange.
        """
        connection = self._take_idle()
        if connection is not None:
            connection.begin(exchange)
            return connection.abort
        pending_exchange = _PendingExchange(self, exchange)
        return pending_exchange.abort

    def close(self) -> None:
        """Close the idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.stream.close()

    def _take_idle(self) -> _Connection | None:
        now = self._clock.now()
        while self._idle:
            connection = self._idle.pop()
            if now < connection.usable_until:
                return connection
            connection.stream.close()
        return None

    def _return_to_idle(self, connection: _Connection, response: Response) -> None:
        stated = _KEEP_ALIVE_TIMEOUT.search(response.header(b"keep-alive"))
        idle_ms = int(stated[1]) * 1_000 - KEEP_ALIVE_MARGIN_MS if stated else DEFAULT_IDLE_MS
        connection.usable_until = Millis(self._clock.now() + idle_ms)
        self._idle.append(connection)

    def _discard(self, connection: _Connection) -> None:
        if connection in self._idle:
            self._idle.remove(connection)
        connection.stream.close()


class _PendingExchange:
    """An exchange that waits for its new connection."""

    def __init__(self, pool: TargetConnections, exchange: Exchange) -> None:
        self._pool = pool
        self._exchange = exchange
        self._connection: _Connection | None = None
        self._stop_connecting = connect(pool.endpoint, CONNECT_TIMEOUT_MS, self._on_connected)

    def abort(self) -> None:
        """Stop connecting, or abort the exchange if it has started."""
        if self._connection is None:
            self._stop_connecting()
        else:
            self._connection.abort()

    def _on_connected(self, stream: Stream | None) -> None:
        if stream is None:
            self._exchange.on_done(ExchangeFailure.NO_CONNECTION)
            return
        self._connection = _Connection(self._pool, stream)
        self._connection.begin(self._exchange)


class _Connection:
    """A connection that carries one exchange after another."""

    def __init__(self, pool: TargetConnections, stream: Stream) -> None:
        self._pool = pool
        self.stream = stream
        self.usable_until = Millis(0)
        self._exchange: Exchange | None = None
        self._reader: ResponseReader | None = None
        self._timer = None
        # Memory that this connection has reserved for the answer.
        self._reserved_bytes = 0
        stream.start(self)

    def begin(self, exchange: Exchange) -> None:
        self._exchange = exchange
        max_body_bytes = int(self._pool.body_budget.limit * MAX_ANSWER_SHARE)
        limits = MessageLimits(MAX_RESPONSE_HEAD_BYTES, max_body_bytes, self._reserve)
        self._reader = ResponseReader(exchange.method, limits, exchange.is_own_answer)
        self._timer = call_later(exchange.timeout_ms, self._fail, ExchangeFailure.TIMED_OUT)
        self.stream.write(exchange.data)

    def abort(self) -> None:
        """Close the connection, which makes the target stop processing the request."""
        if self._exchange is not None:
            self._end_exchange()
            self.stream.close()

    def on_data(self, data: bytes) -> None:
        if self._exchange is None:
            # Bytes on an idle connection belong to no request, so it cannot be used again.
            self._pool._discard(self)
            return
        reader = self._reader
        try:
            reader.feed(data)
        except OutcomeUnknown as error:
            log.warning("answer of the target at %s given up: %s", self._pool.endpoint, error)
            self._fail(ExchangeFailure.BROKEN)
            return
        if reader.response is not None:
            self._finish(reader.response)

    def on_end(self, *, clean: bool) -> None:
        if self._exchange is None:
            self._pool._discard(self)
            return
        if clean:
            self._reader.feed_eof()
        if self._reader.response is not None:
            self._finish(self._reader.response)
        else:
            self._fail(ExchangeFailure.BROKEN)

    def _finish(self, response: Response) -> None:
        on_done = self._end_exchange()
        # A target may answer before it has read the whole request. On a reused connection the rest
        # of that request would be sent ahead of the next one.
        if response.keep_alive and not self.stream.unsent_bytes and not self.stream.closed:
            self._pool._return_to_idle(self, response)
        else:
            self.stream.close()
        on_done(response)

    def _fail(self, failure: ExchangeFailure) -> None:
        on_done = self._end_exchange()
        self.stream.close()
        on_done(failure)

    def _reserve(self, size: int) -> bool:
        reserved = self._pool.body_budget.reserve(size)
        if reserved:
            self._reserved_bytes += size
        return reserved

    def _end_exchange(self) -> DoneCallback | None:
        """Reset the state of the exchange and return its callback, or None if there is none."""
        self._pool.body_budget.release(self._reserved_bytes)
        self._reserved_bytes = 0
        if self._reader is not None:
            self._reader.close()
        exchange, self._exchange, self._reader = self._exchange, None, None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        return exchange.on_done if exchange else None
