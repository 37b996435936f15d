"""Parse and encode complete HTTP/1.1 messages with the httptools parser."""

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
# An incomplete head may take this much more than one receive.
MAX_RESPONSE_HEAD_BYTES = 65_536
RECEIVE_BYTES = 65_536

NOT_RUN_HEADER = b"Egret-Not-Run"
ERROR_HEADER = b"Egret-Error"

Headers = list[tuple[bytes, bytes]]

# Headers that concern a single connection and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
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
    """Hold a complete request; header names are in lower case."""

    method: str
    url: bytes
    headers: Headers
    body: bytes
    keep_alive: bool
    # Entered while the request is processed; cancels the processing if the caller disconnects.
    cancel_on_disconnect: AbstractContextManager = nullcontext()

    def header(self, name: bytes) -> str:
        """Return the value of the first header `name` (in lower case), or an empty string."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return ""

    @property
    def path(self) -> str:
        """Return the path including the query string."""
        return self.url.decode("latin-1")


class Response(msgspec.Struct):
    """Hold a complete response; header names keep the case in which the target sent them."""

    status: int
    headers: Headers
    body: bytes
    keep_alive: bool = True

    def header(self, name: bytes) -> str:
        """Return the value of the first header `name` in any case, or an empty string."""
        wanted = name.lower()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value.decode("latin-1")
        return ""


class RequestReader:
    """Parse the requests of one connection incrementally, within limits on their size."""

    def __init__(
        self,
        max_body_bytes: int,
        max_header_bytes: int = MAX_HEADER_BYTES,
        reserve: Callable[[int], bool] = lambda size: True,
    ) -> None:
        """Parse requests within the limits.

        `reserve` is called with the number of body bytes to be buffered and returns whether they
        fit into memory.
        """
        self._max_body_bytes = max_body_bytes
        self._max_header_bytes = max_header_bytes
        self._reserve = reserve
        self._parser = httptools.HttpRequestParser(self)
        self._complete_requests: deque[Request] = deque()
        self._reset()

    @property
    def request_begun(self) -> bool:
        """Return whether part of a request has arrived that is not complete yet."""
        return self._begun

    @property
    def has_more(self) -> bool:
        """Return whether a further request has arrived, complete or in part."""
        return self._begun or bool(self._complete_requests)

    def feed(self, data: bytes) -> None:
        """Parse `data`, or raise a `CallError` for a request that must be rejected."""
        raw_header_bytes = 0 if self._headers_complete else len(data)
        self._begun = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise BadRequest("protocol upgrades are not supported") from error
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, CallError):
                raise cause from None
            raise BadRequest(str(cause or error)) from error
        except httptools.HttpParserError as error:
            raise BadRequest(f"malformed HTTP request: {error}") from error
        if self._begun and not self._headers_complete:
            # The parser buffers an incomplete header without a callback: count the raw bytes.
            self._count_header_bytes(raw_header_bytes)

    @property
    def expects_continue(self) -> bool:
        """Return whether the caller waits for `100 Continue`; true only once for each request."""
        expects, self._expects_continue = self._expects_continue, False
        return expects

    def next_request(self) -> Request | None:
        """Return the next complete request, or None."""
        return self._complete_requests.popleft() if self._complete_requests else None

    def _reset(self) -> None:
        self._url = b""
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        # The Content-Length, or None for a chunked body or no body.
        self._content_length: int | None = None
        self._header_bytes = 0
        self._headers_complete = False
        self._begun = False
        self._expects_continue = False

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._max_header_bytes:
            raise HeadersTooLarge(
                f"request headers exceed the limit of {self._max_header_bytes} bytes"
            )

    # Callbacks of the httptools parser.

    def on_message_begin(self) -> None:
        """Record that a request has begun to arrive."""
        self._begun = True

    def on_url(self, url: bytes) -> None:
        """Append a fragment of the URL."""
        self._count_header_bytes(len(url))
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._count_header_bytes(len(name) + len(value))
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Reject a body by its Content-Length and reserve memory for it before it arrives."""
        self._headers_complete = True
        for name, value in self._headers:
            if name == b"content-length":
                self._content_length = int(value)
                if self._content_length > self._max_body_bytes:
                    raise BodyTooLarge(
                        f"Content-Length {self._content_length} exceeds the limit of"
                        f" {self._max_body_bytes} bytes"
                    )
                self._reserve_body(self._content_length)
            if name == b"expect" and value.lower() == b"100-continue":
                self._expects_continue = True

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        self._body_bytes += len(data)
        if self._body_bytes > self._max_body_bytes:
            raise BodyTooLarge(f"request body exceeds the limit of {self._max_body_bytes} bytes")
        if self._content_length is None:
            self._reserve_body(len(data))
        self._body.append(data)

    def _reserve_body(self, size: int) -> None:
        if size and not self._reserve(size):
            raise BodiesInHand(f"not enough body memory to buffer {size} more bytes of a request")

    def on_message_complete(self) -> None:
        """Queue the complete request and reset the state for the next one."""
        self._complete_requests.append(
            Request(
                method=self._parser.get_method().decode("ascii"),
                url=self._url,
                headers=self._headers,
                body=b"".join(self._body),
                keep_alive=self._parser.should_keep_alive(),
            )
        )
        self._reset()


class ResponseReader:
    """Parse one response incrementally, within a size limit.

    `response` stays None until the response is complete.
    """

    def __init__(
        self,
        method: str,
        max_body_bytes: int,
        matches: Callable[[Response], bool] = lambda response: True,
        reserve: Callable[[int], bool] = lambda size: True,
    ) -> None:
        """Parse the response to a request of `method`.

        `matches` returns whether a response is the one to this request; others are skipped.
        `reserve` is called with the number of body bytes to be buffered and returns whether they
        fit into memory.
        """
        self._is_head = method == "HEAD"
        self._max_body_bytes = max_body_bytes
        self._matches = matches
        self._reserve = reserve
        # Bytes of an incomplete head, which the parser buffers.
        self._head_bytes = 0
        self._skipped = False
        self._length_known = False
        self._in_body = False
        self._parser = httptools.HttpResponseParser(self)
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._interim = False
        self.response: Response | None = None

    def feed(self, data: bytes) -> None:
        """Parse `data`, or raise `OutcomeUnknown` for a malformed or too large response."""
        raw_head_bytes = 0 if self._in_body else len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self.response is None:
                raise OutcomeUnknown(f"malformed HTTP response: {error}") from error
            self.response.keep_alive = False
        if self.response is None and not self._in_body:
            self._count_head_bytes(raw_head_bytes)

    def feed_eof(self) -> None:
        """Handle the end of the connection, which completes a response without a length."""
        if self.response is None and self._in_body and not self._length_known:
            self._complete(keep_alive=False)

    def _count_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > MAX_RESPONSE_HEAD_BYTES:
            raise OutcomeUnknown(
                f"response headers exceed the limit of {MAX_RESPONSE_HEAD_BYTES} bytes"
            )

    def on_message_begin(self) -> None:
        """Start a message; one after the complete response rules out reuse of the connection."""
        self._length_known = False
        if self.response is not None:
            self.response.keep_alive = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name, value))
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._length_known = True

    def on_headers_complete(self) -> None:
        """Complete the response to a HEAD request, which has no body."""
        self._in_body = True
        self._head_bytes = 0
        self._interim = self._parser.get_status_code() < 200
        if self._is_head and not self._interim:
            self._complete(keep_alive=False)

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        self._body_bytes += len(data)
        if self._body_bytes > self._max_body_bytes:
            raise OutcomeUnknown(f"response body exceeds the limit of {self._max_body_bytes} bytes")
        if not self._reserve(len(data)):
            raise OutcomeUnknown(f"not enough memory to buffer {len(data)} more bytes of a body")
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Complete the response, or skip an interim (1xx) one."""
        self._in_body = False
        if self._interim:
            self._headers = []
            return
        if self.response is None:
            self._complete(keep_alive=self._parser.should_keep_alive())

    def _complete(self, *, keep_alive: bool) -> None:
        response = Response(
            status=self._parser.get_status_code(),
            headers=self._headers,
            body=b"".join(self._body),
            keep_alive=keep_alive and not self._skipped,
        )
        # The headers of a further response must not be added to those of this one.
        self._headers = []
        if self._matches(response):
            self.response = response
            return
        # A late response to an earlier request: the connection is not reused after this exchange.
        self._skipped = True
        self._body = []
        self._body_bytes = 0


def encode_request(request: Request, host: str, extra: Headers) -> bytes:
    """Encode `request` for a target; headers in `extra` replace those of the same name."""
    replaced = {name.lower() for name, _ in extra}
    lines = [request.method.encode("ascii") + b" " + request.url + b" HTTP/1.1"]
    lines.append(b"Host: " + host.encode("latin-1"))
    for name, value in request.headers:
        if name not in HOP_BY_HOP_HEADERS and name != b"host" and name not in replaced:
            lines.append(name + b": " + value)
    lines += [name + b": " + value for name, value in extra]
    if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + request.body


def encode_response(response: Response, request: Request | None) -> bytes:
    """Encode `response` for the caller; `request` is None if it could not be parsed."""
    lines = [b"HTTP/1.1 %d %s" % (response.status, _reason_phrase(response.status))]
    is_head = request is not None and request.method == "HEAD"
    for name, value in response.headers:
        lowered = name.lower()
        if lowered not in HOP_BY_HOP_HEADERS or (is_head and lowered == b"content-length"):
            lines.append(name + b": " + value)
    without_body = response.status in (204, 304) or is_head
    if not without_body:
        lines.append(b"Content-Length: %d" % len(response.body))
    if request is None or not request.keep_alive or not response.keep_alive:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + (b"" if without_body else response.body)


def error_response(error: CallError, extra: Headers | None = None) -> Response:
    """Return the response for `error`, marked if the request is known not to have run."""
    headers: Headers = [(b"Content-Type", b"application/json"), *(extra or [])]
    headers.append((ERROR_HEADER, error.code.encode("ascii")))
    if error.not_run:
        headers.append((NOT_RUN_HEADER, b"true"))
    if error.http_status == 503:
        headers.append((b"Retry-After", b"1"))
    body = {"error": error.code, "message": error.message, "not_run": error.not_run}
    return Response(error.http_status, headers, json.dumps(body).encode())


def _reason_phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode("ascii")
    except ValueError:
        return b"Unknown"
