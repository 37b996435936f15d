"""Serve HTTP/1.1 from callbacks of eventlet's hub, one request at a time on each connection."""

from __future__ import annotations

from collections.abc import Callable

from egretworks.bytebudget import ByteBudget
from egretworks.clock import Clock, Millis
from egretworks.exceptions import CallError, ReceiveTimeout
from egretworks.httpwire import Request, Response, encode_response, error_response
from egretworks.meshroutes import CallerLimits
from egretworks.messagereader import MessageLimits
from egretworks.requestreader import RequestReader
from egretworks.streams import Listener, Stream, call_later
from egretworks.types import Endpoint

# How long a caller has to read the response to a request that was rejected before it was complete.
LINGER_MS = 1_000
# Limits the requests of one connection that are answered in one callback of the hub.
MAX_STARTS_PER_CALLBACK = 16
# A caller that has connected, or has read an answer, may have sent a request that has not arrived
# yet: while the port closes, an idle connection is kept for this long.
LAST_REQUEST_MS = 300


class HttpExchange:
    """Hold one request until its response is sent."""

    def __init__(self, connection: _Connection, request: Request) -> None:
        self._connection = connection
        self.request = request
        # Called when the caller disconnects before the response is sent.
        self.on_disconnect: Callable[[], None] | None = None

    def respond(self, response: Response) -> None:
        """Send the response; does nothing if the caller has disconnected."""
        self._connection.respond(self, response)


class HttpPort:
    """Listen at `endpoint` and pass each request to `serve`.

    `limits` returns the limits in force; `body_budget` bounds the memory of all requests.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        clock: Clock,
        limits: Callable[[], CallerLimits],
        serve: Callable[[HttpExchange], None],
        body_budget: ByteBudget,
        on_rejected: Callable[[CallError], None],
    ) -> None:
        self._clock = clock
        self.body_budget = body_budget
        # Called with the error for which a request is rejected before it is complete.
        self.on_rejected = on_rejected
        self.limits = limits
        self.serve = serve
        self._connections: set[_Connection] = set()
        self._listener = Listener(endpoint, self._accept)
        # While true, the response to the last request received closes its connection.
        self.closing = False
        self.port = self._listener.port

    @property
    def busy(self) -> bool:
        """Return whether a request is in flight, arriving or expected, or an answer is not sent."""
        return any(not connection.quiet for connection in list(self._connections))

    def sweep(self) -> None:
        """Close the connections that have exceeded a timeout."""
        now = self._clock.now()
        limits = self.limits()
        for connection in list(self._connections):
            connection.check_timeout(now, limits)

    def stop_listening(self) -> None:
        """Close the listening socket, once all established connections are accepted."""
        self._listener.close()

    def close_idle(self) -> None:
        """Close the connections on which no request is in flight, arriving or expected."""
        for connection in list(self._connections):
            connection.read_arrived()
            if connection.quiet:
                connection.close()

    def now(self) -> Millis:
        """Return the current monotonic time."""
        return self._clock.now()

    def discard(self, connection: _Connection) -> None:
        """Remove a closed connection from the set of open ones."""
        self._connections.discard(connection)

    def _accept(self, stream: Stream) -> None:
        self._connections.add(_Connection(self, stream))


class _Connection:
    def __init__(self, port: HttpPort, stream: Stream) -> None:
        self._port = port
        self._stream = stream
        limits = port.limits()
        self._reader = RequestReader(
            MessageLimits(limits.max_header_bytes, limits.max_body_bytes, self._reserve)
        )
        # Memory that this connection has reserved for requests.
        self._reserved_bytes = 0
        # An error response was sent before the request was complete; further data is ignored.
        self._lingering = False
        self._exchange: HttpExchange | None = None
        # The next requests are being started.
        self._starting = False
        # Start of the interval to which the timeouts apply.
        self._waiting_since = port.now()
        stream.on_drained = self._start_next
        stream.start(self)

    @property
    def quiet(self) -> bool:
        """Return whether the connection can be closed without cutting anything off."""
        if self._stream.closed:
            return True
        if self._exchange is not None or self._stream.unsent_bytes:
            return False
        if self._lingering:
            return True
        idle_ms = self._port.now() - self._waiting_since
        return not self._reader.has_more and idle_ms >= LAST_REQUEST_MS

    def read_arrived(self) -> None:
        """Process the bytes that have arrived already."""
        self._stream.read_arrived()

    def respond(self, exchange: HttpExchange, response: Response) -> None:
        """Send the response to the request in flight and start the next pipelined request."""
        if exchange is not self._exchange:
            return
        self._exchange = None
        self._release(exchange.request.reserved_bytes)
        if self._port.closing and not self._reader.has_more:
            response.keep_alive = False
        self._stream.write(encode_response(response, exchange.request))
        self._waiting_since = self._port.now()
        if not (exchange.request.keep_alive and response.keep_alive):
            self._stream.close_when_sent()
            if self._stream.closed:
                self._discard()
            return
        self._start_next()

    def check_timeout(self, now: Millis, limits: CallerLimits) -> None:
        """Reject a request that takes too long to arrive; close a connection idle for too long.

        A connection that was closed once all was sent is discarded.
        """
        if self._stream.closed:
            self._discard()
        if self._exchange is not None:
            return
        # A request that waits for the response before it to be taken has not been late to arrive.
        arriving = self._reader.has_more and not self._stream.unsent_bytes
        if self._lingering:
            allowed_ms = LINGER_MS
        else:
            allowed_ms = limits.header_timeout_ms if arriving else limits.idle_timeout_ms
        if now - self._waiting_since <= allowed_ms:
            return
        if arriving and not self._lingering:
            self._reject(ReceiveTimeout(f"the request took longer than {allowed_ms} ms to arrive"))
        else:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        self._discard()
        self._stream.close()

    def on_data(self, data: bytes) -> None:
        """Parse data from the caller and start a request that is complete."""
        if self._lingering:
            return
        if not self._reader.has_more:
            self._waiting_since = self._port.now()
        self._reader.feed(data)
        self._start_next()

    def on_end(self, *, clean: bool) -> None:
        """Cancel the request in flight, since the caller has disconnected."""
        self._discard()
        exchange, self._exchange = self._exchange, None
        if exchange is not None and exchange.on_disconnect is not None:
            exchange.on_disconnect()

    def _start_next(self) -> None:
        """Start the next request that has arrived, once the response before it is sent.

        Nothing more is read until then, so that a caller that sends requests faster than it takes
        responses is blocked, and errors of a request are never the response to the one before it.
        """
        # `serve` may respond before it returns, which calls this again.
        if self._starting:
            return
        self._starting = True
        try:
            for _ in range(MAX_STARTS_PER_CALLBACK):
                if self._can_start():
                    self._start_one()
        finally:
            self._starting = False
        if self._can_start():
            # Other connections come first, however many requests have arrived on this one.
            call_later(0, self._start_next)
        if self._reader.has_unparsed:
            self._stream.pause_reading()
        else:
            self._stream.resume_reading()

    def _can_start(self) -> bool:
        if self._exchange is not None or self._lingering or self._stream.closed:
            return False
        return self._reader.has_unparsed and not self._stream.unsent_bytes

    def _start_one(self) -> None:
        try:
            request = self._reader.next_request()
        except CallError as error:
            self._reject(error)
            return
        if request is not None:
            self._exchange = HttpExchange(self, request)
            self._port.serve(self._exchange)
        elif self._reader.expects_continue:
            self._stream.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _reject(self, error: CallError) -> None:
        """Send an error response to an incomplete request and stop parsing.

        The connection stays open until the caller disconnects or `LINGER_MS` have passed: closing
        at once would reset it, and the caller could lose the response.
        """
        self._port.on_rejected(error)
        self._release(self._reserved_bytes)
        self._reader.close()
        self._lingering = True
        self._waiting_since = self._port.now()
        self._stream.write(encode_response(error_response(error), None))

    def _reserve(self, size: int) -> bool:
        reserved = self._port.body_budget.reserve(size)
        if reserved:
            self._reserved_bytes += size
        return reserved

    def _release(self, size: int) -> None:
        self._reserved_bytes -= size
        self._port.body_budget.release(size)

    def _discard(self) -> None:
        self._reader.close()
        self._release(self._reserved_bytes)
        self._port.discard(self)
