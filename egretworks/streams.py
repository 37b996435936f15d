"""Carry bytes over TCP by callbacks from eventlet's hub, without a green thread a connection."""

from __future__ import annotations

import errno
import logging
import socket as socket_module
from collections.abc import Callable
from typing import Protocol

import eventlet
from eventlet import hubs

from egretworks.clock import Millis, seconds
from egretworks.types import Endpoint

# Green sockets switch threads in their calls, which callbacks of the hub must not do.
socket = eventlet.patcher.original("socket")

RECEIVE_BYTES = 65_536
BACKLOG = 1_024
# Connections taken in one turn, so that a storm of them doesn't hold up those that are open.
ACCEPTS_A_TURN = 64

log = logging.getLogger(__name__)


class StreamUser(Protocol):
    """Receive what happens on a stream."""

    def on_data(self, data: bytes) -> None:
        """Take in bytes that have arrived."""

    def on_end(self, *, clean: bool) -> None:
        """Note that the peer closed the stream (`clean`) or that it broke; called once."""


class Timer(Protocol):
    """Cancel a call that has been scheduled."""

    def cancel(self) -> None:
        """Cancel the call, if it hasn't been made."""


def after(delay_ms: float, call: Callable[..., None], *arguments: object) -> Timer:
    """Call `call` from the hub in `delay_ms` milliseconds."""
    return hubs.get_hub().schedule_call_global(seconds(Millis(delay_ms)), call, *arguments)


def _ignore(*_: object) -> None:
    """Take the hub's notes about closed descriptors, which streams close themselves."""


class Stream:
    """Read and write a connected socket for `user`."""

    def __init__(self, sock: socket_module.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket_module.IPPROTO_TCP, socket_module.TCP_NODELAY, 1)
        self._sock = sock
        self._hub = hubs.get_hub()
        self._reader = None
        self._writer = None
        self._unsent = bytearray()
        self._closing = False
        self.user: StreamUser | None = None
        self.closed = False

    def start(self, user: StreamUser) -> None:
        """Begin to read for `user`."""
        self.user = user
        self._reader = self._hub.add(
            self._hub.READ, self._sock.fileno(), self._on_readable, _ignore, _ignore
        )

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes the peer hasn't taken yet."""
        return len(self._unsent)

    def write(self, data: bytes) -> None:
        """Send `data`, at once as far as the peer takes it."""
        if self.closed or self._closing:
            return
        if self._unsent:
            self._unsent += data
            return
        try:
            sent = self._sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            # The user may be in the middle of a step: it is told from the hub.
            after(0, self._break)
            return
        if sent < len(data):
            self._unsent += memoryview(data)[sent:]
            self._await_room()

    def close(self) -> None:
        """Close the stream now, dropping what the peer hasn't taken; the user isn't told."""
        if self.closed:
            return
        self.closed = True
        for listener in (self._reader, self._writer):
            if listener is not None:
                self._hub.remove(listener)
        self._reader = self._writer = None
        self._sock.close()

    def close_when_sent(self) -> None:
        """Close the stream once the peer has taken everything."""
        if self._unsent:
            self._closing = True
        else:
            self.close()

    def _on_readable(self, _fileno: int) -> None:
        if self.closed:
            return
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._break()
            return
        if data:
            self.user.on_data(data)
        else:
            self._end(clean=True)

    def _await_room(self) -> None:
        if self._writer is None and not self.closed:
            self._writer = self._hub.add(
                self._hub.WRITE, self._sock.fileno(), self._on_writable, _ignore, _ignore
            )

    def _on_writable(self, _fileno: int) -> None:
        if self.closed:
            return
        try:
            sent = self._sock.send(self._unsent)
        except BlockingIOError:
            return
        except OSError:
            self._break()
            return
        del self._unsent[:sent]
        if self._unsent:
            return
        self._hub.remove(self._writer)
        self._writer = None
        if self._closing:
            self.close()

    def _break(self) -> None:
        self._end(clean=False)

    def _end(self, *, clean: bool) -> None:
        if self.closed:
            return
        self.close()
        self.user.on_end(clean=clean)


def connect(
    endpoint: Endpoint, timeout_ms: float, done: Callable[[Stream | None], None]
) -> Callable[[], None]:
    """Connect to `endpoint`; `done` gets the stream, or None where that failed.

    Returns a function that gives the attempt up; `done` isn't called after it.
    """
    return _Connecting(endpoint, timeout_ms, done).give_up


class _Connecting:
    def __init__(
        self, endpoint: Endpoint, timeout_ms: float, done: Callable[[Stream | None], None]
    ) -> None:
        self._done: Callable[[Stream | None], None] | None = done
        self._sock = socket.socket(socket_module.AF_INET, socket_module.SOCK_STREAM)
        self._sock.setblocking(False)
        self._hub = hubs.get_hub()
        self._writer = None
        self._timer = after(timeout_ms, self._finish, None)
        code = self._sock.connect_ex((endpoint.host, endpoint.port))
        if code not in (0, errno.EINPROGRESS):
            after(0, self._finish, None)
            return
        self._writer = self._hub.add(
            self._hub.WRITE, self._sock.fileno(), self._on_writable, _ignore, _ignore
        )

    def give_up(self) -> None:
        """Drop the attempt, unless it has ended."""
        if self._done is None:
            return
        self._done = None
        self._release()
        self._sock.close()

    def _on_writable(self, _fileno: int) -> None:
        if self._done is None:
            return
        code = self._sock.getsockopt(socket_module.SOL_SOCKET, socket_module.SO_ERROR)
        self._finish(self._sock if code == 0 else None)

    def _finish(self, sock: socket_module.socket | None) -> None:
        done, self._done = self._done, None
        if done is None:
            return
        self._release()
        if sock is None:
            self._sock.close()
            done(None)
        else:
            done(Stream(sock))

    def _release(self) -> None:
        self._timer.cancel()
        if self._writer is not None:
            self._hub.remove(self._writer)
            self._writer = None


class Listener:
    """Accept connections at `endpoint` and hand each to `accept`."""

    def __init__(self, endpoint: Endpoint, accept: Callable[[Stream], None]) -> None:
        self._accept = accept
        self._sock = socket.socket(socket_module.AF_INET, socket_module.SOCK_STREAM)
        self._sock.setsockopt(socket_module.SOL_SOCKET, socket_module.SO_REUSEADDR, 1)
        self._sock.bind((endpoint.host, endpoint.port))
        self._sock.listen(BACKLOG)
        self._sock.setblocking(False)
        self.port: int = self._sock.getsockname()[1]
        self._hub = hubs.get_hub()
        self._reader = self._hub.add(
            self._hub.READ, self._sock.fileno(), self._on_readable, _ignore, _ignore
        )

    def close(self) -> None:
        """Accept no more connections."""
        if self._reader is not None:
            self._hub.remove(self._reader)
            self._reader = None
            self._sock.close()

    def _on_readable(self, _fileno: int) -> None:
        for _ in range(ACCEPTS_A_TURN):
            if self._reader is None:
                return
            try:
                sock, _address = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                # The connection was reset before it was taken, or descriptors have run out.
                log.warning("a connection can't be accepted: %s", error)
                return
            self._accept(Stream(sock))
