"""HTTP server for callers: accept connections and answer the requests on each in turn."""

from __future__ import annotations

import contextlib
import logging
import socket
from collections.abc import Callable

import eventlet
from eventlet.green import socket as green_socket

from egretworks.clock import Clock, Millis, seconds
from egretworks.config import CallSettings
from egretworks.disconnects import DisconnectWatch
from egretworks.exceptions import BadRequest, CallError, NotReady
from egretworks.httpwire import (
    RECEIVE_BYTES,
    Request,
    Response,
    encode_response,
    error_response,
)
from egretworks.messagereader import MessageLimits
from egretworks.requestreader import RequestReader

BACKLOG = 1_024
MAX_HEADER_BYTES = 32_768
# During a drain, idle connections stay open for this long, since a request may be on its way.
LINGER_MS = 300
DRAIN_POLL_MS = 20

log = logging.getLogger(__name__)


class CallPort:
    """Serve callers on `host` and `port` with the handler `serve`, within the limits of `settings`.

    The port is bound at once; callers can connect after `open`.
    """

    def __init__(
        self,
        host: str,
        port: int,
        settings: CallSettings,
        clock: Clock,
        serve: Callable[[Request], Response],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._serve = serve
        self._listener = _bind(host, port)
        self._connections: set[_Connection] = set()
        self._stopping = False
        self._accepting = False

    @property
    def address(self) -> tuple[str, int]:
        """Return the host and port to which the port is bound."""
        return self._listener.getsockname()

    def open(self) -> None:
        """Start listening.

        Before that the port is bound but refuses connections, so that callers try another daemon.
        """
        # Accepted connections inherit this option: without it those in TIME_WAIT would keep a
        # restarted daemon from binding the port.
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.listen(BACKLOG)

    def run(self) -> None:
        """Accept connections until `drain` ends it."""
        self._accepting = True
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                if self._stopping:
                    self._listener.close()
                    return
                eventlet.sleep(seconds(DRAIN_POLL_MS))
                continue
            self._start_connection(sock)

    def drain(self, timeout_ms: float) -> None:
        """Stop accepting, let the requests in flight finish and close all connections.

        Idle connections stay open for `LINGER_MS`, since a request may be on its way. Connections
        that are still busy after `timeout_ms` are closed.
        """
        self._stopping = True
        self._accept_backlog()
        self._stop_listening()
        for connection in self._connections:
            connection.stopping = True
        with eventlet.Timeout(seconds(timeout_ms), False):
            eventlet.sleep(seconds(LINGER_MS))
            while self._connections:
                for connection in [c for c in self._connections if c.idle]:
                    connection.shut_down()
                eventlet.sleep(seconds(DRAIN_POLL_MS))
        for connection in list(self._connections):
            connection.close()

    def _stop_listening(self) -> None:
        """Refuse further connections, and wake `run`, which closes the socket.

        Closed here, its descriptor would stay registered, and the next socket with the same number
        could not be read.
        """
        if not self._accepting:
            self._listener.close()
            return
        # Raised if an earlier drain has done so.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)

    def _accept_backlog(self) -> None:
        """Accept the connections in the listen backlog; closing the socket would reset them."""
        self._listener.settimeout(0)
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                # The backlog is empty, or the socket never listened.
                return
            sock.settimeout(None)
            self._start_connection(sock)

    def _start_connection(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if len(self._connections) >= self._settings.max_connections:
            eventlet.spawn_n(_refuse, sock, NotReady("too many connections"))
            return
        connection = _Connection(sock, self._settings, self._clock, self._serve)
        connection.stopping = self._stopping
        self._connections.add(connection)
        eventlet.spawn_n(self._run_connection, connection)

    def _run_connection(self, connection: _Connection) -> None:
        try:
            connection.run()
        except OSError as error:
            log.debug("caller connection failed: %s", error)
        finally:
            connection.close()
            self._connections.discard(connection)


class _Connection:
    """Answer the requests on one connection of a caller, one at a time."""

    def __init__(
        self,
        sock: socket.socket,
        settings: CallSettings,
        clock: Clock,
        serve: Callable[[Request], Response],
    ) -> None:
        self._sock = sock
        self._settings = settings
        self._serve = serve
        self._reader = RequestReader(MessageLimits(MAX_HEADER_BYTES, settings.max_body_bytes))
        self._busy = False
        self._request_began_at: Millis | None = None
        self._clock = clock
        self.stopping = False

    @property
    def idle(self) -> bool:
        """Return whether no request is being served, is partly received or has arrived unread."""
        return not self._busy and not self._reader.has_more and not self._has_unread_bytes()

    def _has_unread_bytes(self) -> bool:
        with contextlib.suppress(OSError):
            return bool(self._sock.fd.recv(1, socket.MSG_PEEK))
        return False

    def run(self) -> None:
        """Answer requests until the caller closes the connection or the port drains."""
        while True:
            try:
                request = self._receive()
            except CallError as error:
                self._send(error_response(error), None)
                return
            if request is None:
                return
            self._busy = True
            request.cancel_on_disconnect = DisconnectWatch(self._sock)
            response = self._serve(request)
            if self.stopping:
                response.keep_alive = False
            self._send(response, request)
            self._busy = False
            if not request.keep_alive or not response.keep_alive:
                return

    def shut_down(self) -> None:
        """Shut the socket down, so that the green thread reading from it wakes and closes it.

        Closing the socket here could leave that green thread blocked in `recv`.
        """
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()
        self._reader.close()

    def _receive(self) -> Request | None:
        request = self._reader.next_request()
        self._request_began_at = None
        while request is None:
            data = self._read(self._wait_ms())
            if not data:
                return None
            self._reader.feed(data)
            request = self._reader.next_request()
        return request

    def _wait_ms(self) -> float:
        """Return how long to wait for data: until the idle limit or the limit of a whole request.

        The limit of a request does not restart with each part, so that a slow sender can't hold
        the connection open.
        """
        if not self._reader.has_more:
            return self._settings.idle_ms
        now = self._clock.now()
        if self._request_began_at is None:
            self._request_began_at = now
        return self._request_began_at + self._settings.receive_ms - now

    def _read(self, wait_ms: float) -> bytes:
        timeout = eventlet.Timeout(seconds(wait_ms))
        try:
            return self._sock.recv(RECEIVE_BYTES)
        except eventlet.Timeout as expired:
            if expired is not timeout:
                raise
            if self._reader.has_more:
                raise BadRequest("the request was not received completely in time") from None
            return b""
        finally:
            timeout.cancel()

    def _send(self, response: Response, request: Request | None) -> None:
        self._sock.sendall(encode_response(response, request))


def _refuse(sock: socket.socket, error: CallError) -> None:
    try:
        sock.sendall(encode_response(error_response(error), None))
    except OSError as failure:
        log.debug("an error answer could not be sent: %s", failure)
    finally:
        sock.close()


def _bind(host: str, port: int) -> socket.socket:
    """Return a socket bound to `port`, or raise `OSError` if another process holds it.

    Two processes that both set `SO_REUSEADDR` can bind the same port while neither listens, so it
    is set only if a plain bind fails, which is also the case while connections of an earlier
    process are in TIME_WAIT.
    """
    listener = green_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.bind((host, port))
    except OSError:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
    return listener
