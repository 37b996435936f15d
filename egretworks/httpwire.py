"""Define complete HTTP/1.1 messages and encode them."""

from __future__ import annotations

import json
from contextlib import AbstractContextManager, nullcontext
from http import HTTPStatus

import msgspec

from egretworks.exceptions import CallError

RECEIVE_BYTES = 65_536

NOT_RUN_HEADER = b"Egret-Not-Run"
ERROR_HEADER = b"Egret-Error"

Headers = list[tuple[bytes, bytes]]
# A received body is the buffer in which it was collected, since a copy would double its memory.
Body = bytes | bytearray

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
    body: Body
    keep_alive: bool
    # Memory that its reader has reserved for the request.
    reserved_bytes: int = 0
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
    body: Body
    keep_alive: bool = True

    def header(self, name: bytes) -> str:
        """Return the value of the first header `name` in any case, or an empty string."""
        wanted = name.lower()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value.decode("latin-1")
        return ""


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
