"""HTTP client for targets, with a pool of keep-alive connections."""

from __future__ import annotations

import select
import socket
from collections import deque

import eventlet
import msgspec
from eventlet.green import socket as green_socket

from egretworks.clock import Clock, Millis, seconds
from egretworks.deadlines import CALL_HEADER
from egretworks.exceptions import AttemptTimeout, ConnectFailed, DeadlineExceeded, OutcomeUnknown
from egretworks.httpwire import RECEIVE_BYTES, Response
from egretworks.messagereader import MessageLimits
from egretworks.responsereader import MAX_RESPONSE_HEAD_BYTES, ResponseReader
from egretworks.types import Address, CallId

# Connections that have been idle for longer are closed.
MAX_IDLE_MS = 10_000


class TargetAnswer(msgspec.Struct, frozen=True):
    """Hold a complete answer, and whether it is certain to be the one to the request."""

    response: Response
    # False if it does not name the call and its connection has carried another answer before,
    # which a faulty target may have sent once more.
    certain: bool


class _IdleConnection:
    """Hold a connection that may be reused and since when it has been idle."""

    __slots__ = ("since", "sock")

    def __init__(self, sock: socket.socket, since: Millis) -> None:
        self.sock = sock
        self.since = since


class Upstream:
    """Send requests to targets and hold the idle connections to them, by address."""

    def __init__(self, clock: Clock, *, connect_ms: float, max_body_bytes: int) -> None:
        self._clock = clock
        self._connect_ms = connect_ms
        self._max_body_bytes = max_body_bytes
        self._idle_by_address: dict[Address, deque[_IdleConnection]] = {}

    def exchange(
        self,
        address: Address,
        method: str,
        data: bytes,
        deadline: Millis,
        call_id: CallId,
        *,
        new_connection: bool = False,
    ) -> TargetAnswer:
        """Send `data` and return the answer once it is complete; skip those to other calls.

        Raises `ConnectFailed` or `DeadlineExceeded` if nothing has been sent, and after that
        `OutcomeUnknown`, which at the deadline is an `AttemptTimeout`. With `new_connection` no
        idle connection is used, since the target may have closed it meanwhile.
        """
        sock = None if new_connection else self._take_idle(address)
        is_new = sock is None
        if is_new:
            sock = self._connect(address, deadline)
        reusable = False
        try:
            response = self._send_and_receive(sock, method, data, deadline, call_id)
            reusable = response.keep_alive
        finally:
            # After a failed exchange the late answer may still arrive on the connection, where it
            # would be taken for the answer to the next request.
            if reusable:
                self._put_idle(address, sock)
            else:
                sock.close()
        return TargetAnswer(response, is_new or _call_of(response) == call_id)

    def close_idle(self) -> None:
        """Close the connections that have been idle for longer than `MAX_IDLE_MS`."""
        now = self._clock.now()
        for address, idle in list(self._idle_by_address.items()):
            while idle and now - idle[0].since > MAX_IDLE_MS:
                idle.popleft().sock.close()
            if not idle:
                del self._idle_by_address[address]

    def _connect(self, address: Address, deadline: Millis) -> socket.socket:
        left_ms = deadline - self._clock.now()
        if left_ms <= 0:
            raise DeadlineExceeded("the deadline passed before a connection was opened")
        sock = green_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(seconds(min(left_ms, self._connect_ms)))
        try:
            sock.connect(address)
        except OSError as error:
            sock.close()
            raise ConnectFailed(
                f"can't connect to target {address[0]}:{address[1]}: {error}"
            ) from error
        sock.settimeout(None)
        return sock

    def _send_and_receive(
        self,
        sock: socket.socket,
        method: str,
        data: bytes,
        deadline: Millis,
        call_id: CallId,
    ) -> Response:
        reader = ResponseReader(
            method,
            MessageLimits(MAX_RESPONSE_HEAD_BYTES, self._max_body_bytes),
            lambda response: _call_of(response) in ("", call_id),
        )
        timeout = eventlet.Timeout(seconds(deadline - self._clock.now()))
        try:
            sock.sendall(data)
            while reader.response is None:
                received = sock.recv(RECEIVE_BYTES)
                if not received:
                    raise OutcomeUnknown(
                        "the target closed the connection before its answer was complete"
                    )
                reader.feed(received)
        except eventlet.Timeout as expired:
            if expired is not timeout:
                raise
            raise AttemptTimeout("the target did not answer before the deadline") from None
        except OSError as error:
            raise OutcomeUnknown(f"the connection to the target failed: {error}") from error
        finally:
            timeout.cancel()
            reader.close()
        return reader.response

    def _take_idle(self, address: Address) -> socket.socket | None:
        idle = self._idle_by_address.get(address)
        while idle:
            sock = idle.pop().sock
            if not _is_unusable(sock):
                return sock
            sock.close()
        return None

    def _put_idle(self, address: Address, sock: socket.socket) -> None:
        idle = self._idle_by_address.setdefault(address, deque())
        idle.append(_IdleConnection(sock, self._clock.now()))


def _call_of(response: Response) -> str:
    """Return the id of the call that the answer names, or an empty string."""
    return response.header(CALL_HEADER)


_poll = eventlet.patcher.original("select").poll


def _is_unusable(sock: socket.socket) -> bool:
    """Return whether an idle connection can't be reused: it was closed or has unexpected data."""
    poller = _poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))
