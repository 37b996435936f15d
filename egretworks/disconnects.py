"""Detect that a caller disconnects while its request is being processed."""

from __future__ import annotations

import socket
from types import TracebackType

import eventlet
from eventlet import hubs

from egretworks.exceptions import CallerGone


class DisconnectWatch:
    """Context manager that interrupts its block with `CallerGone` if the caller closes `sock`.

    The exception is raised in the green thread that entered the block.
    """

    def __init__(self, sock: eventlet.greenio.GreenSocket) -> None:
        self._sock = sock
        self._listener = None
        self._thread = None

    def __enter__(self) -> DisconnectWatch:
        """Start watching the connection."""
        hub = hubs.get_hub()
        self._thread = eventlet.getcurrent()
        self._listener = hub.add(
            hub.READ, self._sock.fileno(), self._on_readable, self._on_closed, None
        )
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop watching the connection."""
        self._thread = None
        self._stop_listening()

    def _on_readable(self, fileno: int) -> None:
        # One event is enough: it is either the end of the connection or the next pipelined request.
        self._stop_listening()
        try:
            gone = self._sock.fd.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return
        except OSError:
            gone = True
        if gone:
            hubs.get_hub().schedule_call_global(0, self._interrupt)

    def _on_closed(self, error: BaseException) -> None:
        hubs.get_hub().schedule_call_global(0, self._interrupt)

    def _interrupt(self) -> None:
        thread = self._thread
        if thread is not None:
            thread.throw(CallerGone("the caller closed its connection before the response"))

    def _stop_listening(self) -> None:
        if self._listener is not None:
            hubs.get_hub().remove(self._listener)
            self._listener = None
