"""Serve HTTP/1.1 on the hub's callbacks: one request after another on each connection."""

from __future__ import annotations

from collections.abc import Callable

from egretworks.clock import Clock, Millis
from egretworks.exceptions import CallError
from egretworks.heldbytes import HeldBytes
from egretworks.httpwire import (
    Request,
    RequestReader,
    Response,
    encode_response,
    error_response,
)
from egretworks.meshroutes import CallerLimits
from egretworks.streams import Listener, Stream
from egretworks.types import Endpoint

# A caller whose request isn't read to its end has this long to take the answer.
LINGER_MS = 1_000


class HttpExchange:
    """Hold one request until it is answered."""

    def __init__(self, connection: _Connection, request: Request) -> None:
        self._connection = connection
        self.request = request
        # Called when the caller closes its connection before the answer.
        self.on_gone: Callable[[], None] | None = None

    def answer(self, response: Response) -> None:
        """Send the answer; a caller that has gone gets nothing."""
        self._connection.answer(self, response)


class HttpPort:
    """Listen at `endpoint` and hand each request to `serve`."""

    def __init__(
        self,
        endpoint: Endpoint,
        clock: Clock,
        limits: Callable[[], CallerLimits],
        serve: Callable[[HttpExchange], None],
        bodies: HeldBytes,
        on_unreadable: Callable[[CallError], None],
    ) -> None:
        self._clock = clock
        self.bodies = bodies
        # Called with the reason for which a request isn't read to its end.
        self.on_unreadable = on_unreadable
        self.limits = limits
        self.serve = serve
        self._connections: set[_Connection] = set()
        self._listener = Listener(endpoint, self._accept)
        # Each answer ends its connection.
        self.closing = False
        self.port = self._listener.port

    @property
    def busy(self) -> bool:
        """Return whether a request is being answered or on its way in."""
        return any(connection.busy for connection in self._connections)

    def sweep(self) -> None:
        """Close the connections that take too long."""
        now = self._clock.now()
        limits = self.limits()
        for connection in list(self._connections):
            connection.check_time(now, limits)

    def stop_listening(self) -> None:
        """Accept no more connections."""
        self._listener.close()

    def close_idle(self) -> None:
        """Close the connections on which no request is in hand."""
        for connection in list(self._connections):
            if not connection.busy:
                connection.close()

    def now(self) -> Millis:
        """Return the clock's time."""
        return self._clock.now()

    def forget(self, connection: _Connection) -> None:
        """Drop a connection that has ended."""
        self._connections.discard(connection)

    def _accept(self, stream: Stream) -> None:
        self._connections.add(_Connection(self, stream))


class _Connection:
    def __init__(self, port: HttpPort, stream: Stream) -> None:
        self._port = port
        self._stream = stream
        limits = port.limits()
        self._reader = RequestReader(limits.max_body_bytes, limits.max_header_bytes, self._take)
        # Bytes of bodies that this connection's requests hold.
        self._held = 0
        # An answer to a request that isn't read further has been sent.
        self._lingering = False
        self._exchange: HttpExchange | None = None
        self._since = port.now()
        stream.start(self)

    @property
    def busy(self) -> bool:
        """Return whether a request is in hand or has begun to arrive."""
        return self._exchange is not None or (self._reader.begun and not self._lingering)

    def answer(self, exchange: HttpExchange, response: Response) -> None:
        """Send the answer to the request in hand and go on to the next."""
        if exchange is not self._exchange:
            return
        self._exchange = None
        self._give_back(len(exchange.request.body))
        if self._port.closing:
            response.keep_alive = False
        self._stream.write(encode_response(response, exchange.request))
        self._since = self._port.now()
        if not (exchange.request.keep_alive and response.keep_alive):
            self._forget()
            self._stream.close_when_sent()
            return
        self._begin_next()

    def check_time(self, now: Millis, limits: CallerLimits) -> None:
        """Close the connection if its caller is too slow or idle for long."""
        if self._exchange is not None:
            return
        if self._lingering:
            allowed_ms = LINGER_MS
        else:
            allowed_ms = limits.header_timeout_ms if self._reader.begun else limits.idle_timeout_ms
        if now - self._since > allowed_ms:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        self._forget()
        self._stream.close()

    def on_data(self, data: bytes) -> None:
        """Take in bytes from the caller."""
        if self._lingering:
            return
        if not self._reader.begun:
            self._since = self._port.now()
        try:
            self._reader.feed(data)
        except CallError as error:
            self._refuse(error)
            return
        if self._reader.expects_continue:
            self._stream.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if self._exchange is None:
            self._begin_next()

    def on_end(self, *, clean: bool) -> None:
        """Note that the caller has gone."""
        self._forget()
        exchange, self._exchange = self._exchange, None
        if exchange is not None and exchange.on_gone is not None:
            exchange.on_gone()

    def _begin_next(self) -> None:
        request = self._reader.next()
        if request is not None and not self._stream.closed:
            self._exchange = HttpExchange(self, request)
            self._port.serve(self._exchange)

    def _refuse(self, error: CallError) -> None:
        """Answer a request that isn't read further, and close once its caller has gone.

        Closing at once would reset the connection, and the answer could be lost with it.
        """
        exchange, self._exchange = self._exchange, None
        if exchange is not None and exchange.on_gone is not None:
            exchange.on_gone()
        self._port.on_unreadable(error)
        self._give_back(self._held)
        self._lingering = True
        self._since = self._port.now()
        self._stream.write(encode_response(error_response(error), None))

    def _take(self, size: int) -> bool:
        taken = self._port.bodies.take(size)
        if taken:
            self._held += size
        return taken

    def _give_back(self, size: int) -> None:
        self._held -= size
        self._port.bodies.give_back(size)

    def _forget(self) -> None:
        self._give_back(self._held)
        self._port.forget(self)
