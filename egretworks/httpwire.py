"""Read and write HTTP/1.1 messages, whole, through the httptools parser."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from http import HTTPStatus

import httptools
import msgspec

from egretworks.exceptions import (
    BadRequest,
    BodiesInHand,
    BodyTooLarge,
    CallError,
    HeadersTooLarge,
    OutcomeUnknown,
)

MAX_HEADER_BYTES = 32_768
RECEIVE_BYTES = 65_536

NOT_RUN_HEADER = b"Egret-Not-Run"
ERROR_HEADER = b"Egret-Error"

Headers = list[tuple[bytes, bytes]]

# These concern one connection and are not passed on.
HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)


class Request(msgspec.Struct):
    """Hold a whole request; header names are in lower case."""

    method: str
    url: bytes
    headers: Headers
    body: bytes
    keep_alive: bool
    # Entered while the answer is worked out, to end that when the caller goes away.
    presence: AbstractContextManager = nullcontext()

    def header(self, name: bytes) -> str:
        """Return the first header called `name` in lower case, or an empty text."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return ""

    @property
    def path(self) -> str:
        """Return the path with its query."""
        return self.url.decode("latin-1")


class Response(msgspec.Struct):
    """Hold a whole answer; header names are as the target wrote them."""

    status: int
    headers: Headers
    body: bytes
    keep_alive: bool = True

    def header(self, name: bytes) -> str:
        """Return the first header called `name`, whatever its case, or an empty text."""
        wanted = name.lower()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value.decode("latin-1")
        return ""


class RequestReader:
    """Assemble the requests of one connection, in bounded memory."""

    def __init__(
        self,
        max_body_bytes: int,
        max_header_bytes: int = MAX_HEADER_BYTES,
        take: Callable[[int], bool] = lambda size: True,
    ) -> None:
        """Read requests within the limits; `take` is asked for leave to hold bytes of a body."""
        self._max_body_bytes = max_body_bytes
        self._max_header_bytes = max_header_bytes
        self._take = take
        self._parser = httptools.HttpRequestParser(self)
        self._ready: deque[Request] = deque()
        self._start()

    @property
    def begun(self) -> bool:
        """Return whether part of a request has come."""
        return self._begun

    def feed(self, data: bytes) -> None:
        """Take in bytes, or raise a `CallError`."""
        unread = 0 if self._headers_done else len(data)
        self._begun = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise BadRequest("protocol upgrades aren't carried") from error
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, CallError):
                raise cause from None
            raise BadRequest(str(cause or error)) from error
        except httptools.HttpParserError as error:
            raise BadRequest(f"the request can't be read: {error}") from error
        if self._begun and not self._headers_done:
            # The parser holds a header that hasn't ended yet.
            self._count_header_bytes(unread)

    @property
    def expects_continue(self) -> bool:
        """Return, once a request, whether its caller waits for leave to send the body."""
        expects, self._expects_continue = self._expects_continue, False
        return expects

    def next(self) -> Request | None:
        """Return the next whole request, or None."""
        return self._ready.popleft() if self._ready else None

    def _start(self) -> None:
        self._url = b""
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        # The body's length, or None where it comes in chunks or there is none.
        self._announced: int | None = None
        self._header_bytes = 0
        self._headers_done = False
        self._begun = False
        self._expects_continue = False

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._max_header_bytes:
            raise HeadersTooLarge(f"the headers are over {self._max_header_bytes} bytes")

    # The parser calls these.

    def on_message_begin(self) -> None:
        """Note that part of a request has come."""
        self._begun = True

    def on_url(self, url: bytes) -> None:
        """Collect a part of the URL."""
        self._count_header_bytes(len(url))
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._count_header_bytes(len(name) + len(value))
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Refuse a body that is announced to be too large."""
        self._headers_done = True
        for name, value in self._headers:
            if name == b"content-length":
                self._announced = int(value)
                if self._announced > self._max_body_bytes:
                    raise BodyTooLarge(f"the body is over {self._max_body_bytes} bytes")
                self._hold(self._announced)
            if name == b"expect" and value.lower() == b"100-continue":
                self._expects_continue = True

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        self._body_bytes += len(data)
        if self._body_bytes > self._max_body_bytes:
            raise BodyTooLarge(f"the body is over {self._max_body_bytes} bytes")
        if self._announced is None:
            self._hold(len(data))
        self._body.append(data)

    def _hold(self, size: int) -> None:
        if size and not self._take(size):
            raise BodiesInHand("the bodies in hand leave no room for this one")

    def on_message_complete(self) -> None:
        """Make the request ready."""
        self._ready.append(
            Request(
                method=self._parser.get_method().decode("ascii"),
                url=self._url,
                headers=self._headers,
                body=b"".join(self._body),
                keep_alive=self._parser.should_keep_alive(),
            )
        )
        self._start()


class ResponseReader:
    """Assemble one answer, in bounded memory, and know whether it is whole."""

    def __init__(
        self,
        method: str,
        max_body_bytes: int,
        belongs: Callable[[Response], bool] = lambda response: True,
    ) -> None:
        """Read the answer to a request of `method`.

        `belongs` tells whether an answer belongs to the request; others are skipped.
        """
        self._without_body = method == "HEAD"
        self._max_body_bytes = max_body_bytes
        self._belongs = belongs
        self._skipped = False
        self._framed = False
        self._in_body = False
        self._parser = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._interim = False
        self.response: Response | None = None

    def feed(self, data: bytes) -> None:
        """Take in bytes, or raise `OutcomeUnknown` where they aren't an answer."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self.response is None:
                raise OutcomeUnknown(f"the answer can't be read: {error}") from error
            self.response.keep_alive = False

    def finish(self) -> None:
        """Note that the target has closed the connection, which ends an answer without a length."""
        if self.response is None and self._in_body and not self._framed:
            self._finish(keep_alive=False)

    def on_message_begin(self) -> None:
        """Give up a connection that brings more than the one answer."""
        self._framed = False
        if self.response is not None:
            self.response.keep_alive = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name, value))
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._framed = True

    def on_headers_complete(self) -> None:
        """End an answer that has no body."""
        self._in_body = True
        self._interim = self._parser.get_status_code() < 200
        if self._without_body and not self._interim:
            self._finish(keep_alive=False)

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        self._body_bytes += len(data)
        if self._body_bytes > self._max_body_bytes:
            raise OutcomeUnknown(f"the answer is over {self._max_body_bytes} bytes")
        self._body.append(data)

    def on_message_complete(self) -> None:
        """End an answer whose body is whole, or skip an interim one."""
        self._in_body = False
        if self._interim:
            self._headers = []
            return
        if self.response is None:
            self._finish(keep_alive=self._parser.should_keep_alive())

    def _finish(self, *, keep_alive: bool) -> None:
        response = Response(
            status=self._parser.get_status_code(),
            headers=self._headers,
            body=b"".join(self._body),
            keep_alive=keep_alive and not self._skipped,
        )
        # An extra answer's headers must not be added to this one's.
        self._headers = []
        if self._belongs(response):
            self.response = response
            return
        # A late answer to an earlier request; the connection isn't used after this one.
        self._skipped = True
        self._body = []
        self._body_bytes = 0


def encode_request(request: Request, host: str, extra: Headers) -> bytes:
    """Return `request` as bytes for a target, with the headers `extra` in place of the same."""
    replaced = {name.lower() for name, _ in extra}
    lines = [request.method.encode("ascii") + b" " + request.url + b" HTTP/1.1"]
    lines.append(b"Host: " + host.encode("ascii"))
    for name, value in request.headers:
        if name not in HOP_HEADERS and name != b"host" and name not in replaced:
            lines.append(name + b": " + value)
    lines += [name + b": " + value for name, value in extra]
    if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + request.body


def encode_response(response: Response, request: Request | None) -> bytes:
    """Return `response` as bytes for the caller."""
    lines = [b"HTTP/1.1 %d %s" % (response.status, _phrase(response.status))]
    head = request is not None and request.method == "HEAD"
    for name, value in response.headers:
        lowered = name.lower()
        if lowered not in HOP_HEADERS or (head and lowered == b"content-length"):
            lines.append(name + b": " + value)
    without_body = response.status in (204, 304) or head
    if not without_body:
        lines.append(b"Content-Length: %d" % len(response.body))
    if request is None or not request.keep_alive or not response.keep_alive:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + (b"" if without_body else response.body)


def error_response(error: CallError, extra: Headers | None = None) -> Response:
    """Return `error` as an answer, marked where the request was truly not run."""
    headers: Headers = [(b"Content-Type", b"application/json"), *(extra or [])]
    headers.append((ERROR_HEADER, error.code.encode("ascii")))
    if error.not_run:
        headers.append((NOT_RUN_HEADER, b"true"))
    if error.http_status == 503:
        headers.append((b"Retry-After", b"1"))
    body = {"error": error.code, "message": error.message, "not_run": error.not_run}
    return Response(error.http_status, headers, json.dumps(body).encode())


def _phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode("ascii")
    except ValueError:
        return b"Unknown"
