"""Send HTTP requests to the platform's store over keep-alive connections."""

from __future__ import annotations

import http.client
import socket
from collections.abc import Callable, Mapping
from contextlib import AbstractContextManager, nullcontext

import msgspec
import urllib3
import urllib3.connection

from egretworks.clock import seconds
from egretworks.exceptions import (
    ObjectConflict,
    ObjectNotFound,
    PlatformError,
    PlatformUnavailable,
    ResponseTooLong,
    WatchCompacted,
)
from egretworks.types import Endpoint

MAX_IDLE_CONNECTIONS = 4
# A page of objects has some 1 MB, and the events of a watch some versions of the configuration.
MAX_RESPONSE_BYTES = 16_000_000
RECEIVE_BYTES = 65_536
# What is read line by line: status lines, headers, sizes of chunks and trailers.
MAX_LINES_BYTES = 262_144
# Time for a response to arrive after it has begun. The timeout of a request bounds only each wait
# for more of it.
TRANSFER_MS = 5_000

_ERROR_BY_STATUS = {
    404: ObjectNotFound,
    409: ObjectConflict,
    410: WatchCompacted,
    412: ObjectConflict,
    429: PlatformUnavailable,
}


# Returns a block that raises the exception once it has lasted for so many seconds.
LimitTime = Callable[[float, Exception], AbstractContextManager]


def no_time_limit(limit_s: float, error: Exception) -> AbstractContextManager:
    """Return a block that may last for any time."""
    return nullcontext()


class StoreResponse(msgspec.Struct, frozen=True):
    """Hold a complete response with a 2xx status."""

    headers: Mapping[str, str]
    data: bytes


class _LimitedLines:
    """Pass on what is read from `file`, up to `MAX_LINES_BYTES` in lines."""

    def __init__(self, file: socket.SocketIO) -> None:
        self._file = file
        self._lines_bytes = 0

    def readline(self, limit: int = -1) -> bytes:
        """Return a line, or raise `OSError` for a response that has too many."""
        line = self._file.readline(limit)
        self._lines_bytes += len(line)
        if self._lines_bytes > MAX_LINES_BYTES:
            raise OSError(f"a response has over {MAX_LINES_BYTES} bytes besides its body")
        return line

    def __getattr__(self, name: str) -> object:
        return getattr(self._file, name)


class _Response(http.client.HTTPResponse):
    """Read no lines without end: a timeout can't interrupt a loop that never has to wait."""

    def __init__(self, sock: socket.socket, *arguments: object, **options: object) -> None:
        super().__init__(sock, *arguments, **options)
        self.fp = _LimitedLines(self.fp)


class _Connection(urllib3.connection.HTTPConnection):
    response_class = _Response


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


class StoreHttpClient:
    """Send requests to the store at `endpoint`, over a pool of connections."""

    def __init__(
        self,
        endpoint: Endpoint,
        on_headers: Callable[[Mapping[str, str]], None] | None = None,
        limit_time: LimitTime = no_time_limit,
    ) -> None:
        """Pass the headers of each response, also of an error, to `on_headers`.

        `limit_time` bounds a whole request; a daemon passes `eventlet.Timeout`.
        """
        self._limit_time = limit_time
        self._on_headers = on_headers
        # No automatic retries: only the caller knows whether a request may be repeated.
        self._pool = _Pool(
            endpoint.host, endpoint.port, maxsize=MAX_IDLE_CONNECTIONS, block=False, retries=False
        )

    def request(
        self,
        method: str,
        path: str,
        timeout_ms: float,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> StoreResponse:
        """Return the response if its status is 2xx, or raise a `PlatformError`.

        No response, status 429 and statuses from 500 raise `PlatformUnavailable`, and a response
        without end `ResponseTooLong`.
        """
        too_long = ResponseTooLong(f"{method} {path}: the response took too long")
        try:
            with self._limit_time(seconds(timeout_ms + TRANSFER_MS), too_long):
                response = self._pool.request(
                    method,
                    path,
                    body=body,
                    headers=headers,
                    timeout=seconds(timeout_ms),
                    redirect=False,
                    preload_content=False,
                    decode_content=False,
                )
                data = _read_whole(response)
        except urllib3.exceptions.HTTPError as error:
            raise PlatformUnavailable(f"{method} {path}: {error}") from error
        if self._on_headers is not None:
            self._on_headers(response.headers)
        if 200 <= response.status < 300:
            return StoreResponse(response.headers, data)
        # A status below 200 is interim, and not the one that was asked for.
        unavailable = response.status >= 500 or response.status < 200
        kind = PlatformUnavailable if unavailable else PlatformError
        kind = _ERROR_BY_STATUS.get(response.status, kind)
        raise kind(f"{method} {path}: status {response.status}")


def _read_whole(response: urllib3.BaseHTTPResponse) -> bytes:
    """Return the body; its connection is used again only if it has been read to its end."""
    data = bytearray()
    try:
        while received := response.read(RECEIVE_BYTES):
            data += received
            if len(data) > MAX_RESPONSE_BYTES:
                raise ResponseTooLong(
                    f"a response of the store exceeds the limit of {MAX_RESPONSE_BYTES} bytes"
                )
    except BaseException:
        # Also at the timeout, which is raised wherever this waits.
        response.close()
        raise
    response.release_conn()
    return bytes(data)
