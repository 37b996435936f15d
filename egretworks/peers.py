"""Send and serve requests between daemons over gRPC, with messages encoded as MessagePack."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import eventlet.asyncio
import msgspec
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler, Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server, Stream

from egretworks.clock import seconds
from egretworks.decoding import DECODE_ERRORS
from egretworks.exceptions import EgretError, PeerError, PeerRefused
from egretworks.types import Address

REQUEST_TIMEOUT_MS = 2_000
MAX_CHANNELS = 64
_SERVICE = "/egretworks.Peer/"


class MsgpackCodec(CodecBase):
    """The gRPC codec that encodes msgspec structs as MessagePack."""

    __content_subtype__ = "msgpack"

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return `message` as bytes."""
        return self._encoder.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return `data` as a `message_type`."""
        return msgspec.msgpack.decode(data, type=message_type)


class _Method(msgspec.Struct, frozen=True):
    """A method of the server: its message types and the function that answers it."""

    request: type
    reply: type
    answer: Callable[[Any], Any]


class PeerServer:
    """Serve the requests of other daemons on `host` and `port`."""

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._methods_by_name: dict[str, _Method] = {}
        self._server: Server | None = None

    def register(self, name: str, request: type, reply: type, answer: Callable[[Any], Any]) -> None:
        """Serve method `name` with `answer`, which runs in a green thread and may block."""
        self._methods_by_name[name] = _Method(request, reply, answer)

    def start(self) -> None:
        """Listen, or raise `OSError` if the port is taken."""
        self._server = Server([self], codec=MsgpackCodec())
        _run_awaitable(self._server.start(self._host, self._port))

    def stop(self) -> None:
        """Close the port and cancel the requests in flight."""
        if self._server is not None:
            self._server.close()

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by path; grpclib calls this."""
        return {
            _SERVICE
            + name: Handler(_handler(method), Cardinality.UNARY_UNARY, method.request, method.reply)
            for name, method in self._methods_by_name.items()
        }


def _handler(method: _Method) -> Callable[[Stream], Awaitable[None]]:
    async def handle(stream: Stream) -> None:
        request = await stream.recv_message()
        if request is None:
            raise GRPCError(Status.INVALID_ARGUMENT, "the request carries no message")
        try:
            reply = await _in_green_thread(method.answer, request)
        except EgretError as error:
            raise GRPCError(Status.FAILED_PRECONDITION, f"{error.code}: {error}") from error
        await stream.send_message(reply)

    return handle


async def _in_green_thread(function: Callable[[Any], Any], argument: Any) -> Any:
    """Run `function` in a green thread, as it may block and must not block the event loop."""
    future = asyncio.get_running_loop().create_future()

    def run() -> None:
        try:
            result = function(argument)
        except Exception as error:
            if not future.done():
                future.set_exception(error)
            return
        if not future.done():
            future.set_result(result)

    eventlet.spawn_n(run)
    return await future


class PeerClient:
    """Send requests to other daemons over cached channels.

    Up to `MAX_CHANNELS` are kept; the least recently used is closed first.
    """

    def __init__(self) -> None:
        self._channels_by_address: dict[Address, Channel] = {}

    def request(
        self,
        address: Address,
        name: str,
        message: Any,
        reply: type,
        *,
        timeout_ms: float = REQUEST_TIMEOUT_MS,
    ) -> Any:
        """Send `message` to method `name` at `address` and return the reply.

        Raises `PeerRefused` if the daemon answers with an error, and `PeerError` if the request or
        the connection fails.
        """
        return _run_awaitable(self._request(address, name, message, reply, timeout_ms))

    async def _request(
        self, address: Address, name: str, message: Any, reply: type, timeout_ms: float
    ) -> Any:
        channel = self._channel(address)
        method = UnaryUnaryMethod(channel, _SERVICE + name, type(message), reply)
        try:
            return await asyncio.wait_for(method(message), seconds(timeout_ms))
        except GRPCError as error:
            raise PeerRefused(
                f"{name} request to {address[0]}:{address[1]}: {error.message}"
            ) from error
        except (
            OSError,
            TimeoutError,
            ProtocolError,
            StreamTerminatedError,
            *DECODE_ERRORS,
        ) as error:
            self._close_channel(address)
            raise PeerError(
                f"{name} request to {address[0]}:{address[1]}: {error or type(error).__name__}"
            ) from error

    def close(self) -> None:
        """Close every channel."""
        for address in list(self._channels_by_address):
            self._close_channel(address)

    def _channel(self, address: Address) -> Channel:
        channel = self._channels_by_address.pop(address, None)
        if channel is None:
            channel = Channel(*address, codec=MsgpackCodec())
        self._channels_by_address[address] = channel
        while len(self._channels_by_address) > MAX_CHANNELS:
            self._close_channel(next(iter(self._channels_by_address)))
        return channel

    def _close_channel(self, address: Address) -> None:
        channel = self._channels_by_address.pop(address, None)
        if channel is not None:
            channel.close()


class _Outcome(msgspec.Struct, frozen=True):
    result: Any = None
    error: BaseException | None = None


async def _capture_outcome(awaitable: Awaitable[Any]) -> _Outcome:
    """Return the result or error of `awaitable`.

    The error is returned rather than raised, as eventlet also prints one that leaves a task.
    """
    try:
        return _Outcome(result=await awaitable)
    except Exception as error:
        return _Outcome(error=error)


def _run_awaitable(awaitable: Awaitable[Any]) -> Any:
    """Run `awaitable` in the event loop and block the green thread until it ends."""
    outcome = eventlet.asyncio.spawn_for_awaitable(_capture_outcome(awaitable)).wait()
    if outcome.error is not None:
        raise outcome.error
    return outcome.result
