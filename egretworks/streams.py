"""Non-blocking TCP on callbacks of eventlet's hub, without a green thread for each connection."""

from __future__ import annotations

import contextlib
import errno
import logging
import socket as socket_module
from collections.abc import Callable
from functools import partial
from typing import Protocol

import eventlet
from eventlet import hubs

from egretworks.clock import Millis, seconds, seconds_since_boot
from egretworks.types import Endpoint

# The unpatched module: green sockets may switch threads, which a callback of the hub must not do.
socket = eventlet.patcher.original("socket")

RECEIVE_BYTES = 65_536
BACKLOG = 1_024
# Limits the connections accepted in one callback, so that a burst of new ones does not delay
# those already open.
MAX_ACCEPTS_PER_CALLBACK = 64

log = logging.getLogger(__name__)


class StreamUser(Protocol):
    """Receive the events of a stream."""

    def on_data(self, data: bytes) -> None:
        """Handle received bytes."""

    def on_end(self, *, clean: bool) -> None:
        """Handle the end of the stream; called at most once.

        `clean` is true if the peer closed the connection, false if the connection failed.
        """


class Timer(Protocol):
    """Handle of a scheduled call."""

    def cancel(self) -> None:
        """Cancel the call unless it has been made."""


def call_later(delay_ms: float, call: Callable[..., None], *arguments: object) -> Timer:
    """Schedule `call` in the hub, `delay_ms` milliseconds from now."""
    hub = hubs.get_hub()
    return hub.schedule_call_global(seconds(Millis(delay_ms)), _run_logged, call, *arguments)


def _run_logged(call: Callable[..., None], *arguments: object) -> bool:
    """Run a callback of the hub; log an unexpected error and return False if there is one.

    The hub prints such an error and goes on, but drops the connection's listeners without closing
    it.
    """
    try:
        call(*arguments)
    except Exception:
        log.exception("unexpected error in %s", getattr(call, "__qualname__", call))
        return False
    return True


def use_time_since_boot() -> None:
    """Let the hub count the time for which the machine was suspended.

    Called before anything is scheduled. Timers that became due meanwhile then run at once.
    """
    hubs.get_hub().clock = seconds_since_boot


def _ignore(*_: object) -> None:
    """Ignore the hub's notices of closed descriptors; streams close their own."""


class Stream:
    """Buffer writes to a connected socket and pass received bytes to `user`."""

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
        # Called when all buffered bytes have been sent.
        self.on_drained: Callable[[], None] | None = None
        self.closed = False

    def start(self, user: StreamUser) -> None:
        """Start reading and report events to `user`."""
        self.user = user
        self.resume_reading()

    def limit_unsent(self, size: int) -> None:
        """Let the socket accept data only while it holds less than about `size` unsent bytes.

        What it does not accept stays here, where it is counted. Without effect on a platform that
        lacks the option.
        """
        option = getattr(socket_module, "TCP_NOTSENT_LOWAT", None)
        if option is not None:
            with contextlib.suppress(OSError):
                self._sock.setsockopt(socket_module.IPPROTO_TCP, option, size)

    def pause_reading(self) -> None:
        """Leave further bytes to the socket, which blocks the peer; its end goes unnoticed."""
        if self._reader is not None:
            self._hub.remove(self._reader)
            self._reader = None

    def resume_reading(self) -> None:
        """Read again after a pause."""
        if self._reader is None and not self.closed:
            self._reader = self._hub.add(
                self._hub.READ, self._sock.fileno(), self._on_readable, _ignore, _ignore
            )

    @property
    def unsent_bytes(self) -> int:
        """Return the number of buffered bytes that the socket has not accepted yet."""
        return len(self._unsent)

    def write(self, data: bytes) -> None:
        """Send `data`, buffering what the socket does not accept at once."""
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
            # The caller of `write` may be changing its state, so report the failure from the hub.
            call_later(0, self._fail)
            return
        if sent < len(data):
            self._unsent += memoryview(data)[sent:]
            self._watch_writable()

    def read_arrived(self) -> None:
        """Process the bytes that have arrived already, before the hub reports them."""
        if self._reader is not None:
            self._on_readable(0)

    def close(self) -> None:
        """Close the stream at once and drop unsent bytes; `on_end` is not called."""
        if self.closed:
            return
        self.closed = True
        for listener in (self._reader, self._writer):
            if listener is not None:
                self._hub.remove(listener)
        self._reader = self._writer = None
        self._unsent = bytearray()
        self._sock.close()

    def close_when_sent(self) -> None:
        """Close the stream once all buffered bytes are sent; further writes are ignored."""
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
            self._fail()
            return
        if not data:
            self._end(clean=True)
        elif not _run_logged(self.user.on_data, data):
            self._end(clean=False)

    def _watch_writable(self) -> None:
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
            self._fail()
            return
        del self._unsent[:sent]
        if self._unsent:
            return
        self._hub.remove(self._writer)
        self._writer = None
        if self._closing:
            self.close()
        elif self.on_drained is not None:
            _run_logged(self.on_drained)

    def _fail(self) -> None:
        self._end(clean=False)

    def _end(self, *, clean: bool) -> None:
        if self.closed:
            return
        self.close()
        _run_logged(partial(self.user.on_end, clean=clean))


def connect(
    endpoint: Endpoint, timeout_ms: float, done: Callable[[Stream | None], None]
) -> Callable[[], None]:
    """Connect to `endpoint` and call `done` with the stream, or with None on failure.

    Returns a function that cancels the attempt; `done` is not called after that.
    """
    return _ConnectAttempt(endpoint, timeout_ms, done).cancel


class _ConnectAttempt:
    def __init__(
        self, endpoint: Endpoint, timeout_ms: float, done: Callable[[Stream | None], None]
    ) -> None:
        self._done: Callable[[Stream | None], None] | None = done
        self._sock = socket.socket(socket_module.AF_INET, socket_module.SOCK_STREAM)
        self._sock.setblocking(False)
        self._hub = hubs.get_hub()
        self._writer = None
        self._timer = call_later(timeout_ms, self._finish, None)
        try:
            code = self._sock.connect_ex((endpoint.host, endpoint.port))
        except (OSError, OverflowError) as error:
            log.warning("%s is no address to connect to: %s", endpoint, error)
            code = errno.EINVAL
        if code not in (0, errno.EINPROGRESS):
            call_later(0, self._finish, None)
            return
        self._writer = self._hub.add(
            self._hub.WRITE, self._sock.fileno(), self._on_writable, _ignore, _ignore
        )

    def cancel(self) -> None:
        """Cancel the attempt unless it has completed."""
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
            _run_logged(done, None)
        else:
            _run_logged(done, Stream(sock))

    def _release(self) -> None:
        self._timer.cancel()
        if self._writer is not None:
            self._hub.remove(self._writer)
            self._writer = None


class Listener:
    """Accept connections at `endpoint` and pass each to `accept`."""

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
        """Accept the connections that are established already, then close the listening socket."""
        if self._reader is None:
            return
        while self._accept_next():
            pass
        self._hub.remove(self._reader)
        self._reader = None
        self._sock.close()

    def _on_readable(self, _fileno: int) -> None:
        for _ in range(MAX_ACCEPTS_PER_CALLBACK):
            if self._reader is None or not self._accept_next():
                return

    def _accept_next(self) -> bool:
        """Accept one connection; return False if there is none."""
        try:
            sock, _address = self._sock.accept()
        except BlockingIOError:
            return False
        except OSError as error:
            # The connection was reset before accept, or the process is out of descriptors.
            log.warning("accepting a connection failed: %s", error)
            return False
        _run_logged(self._accept, Stream(sock))
        return True
