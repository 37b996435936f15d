"""Propagate the deadline, depth and id of a call from hop to hop."""

from __future__ import annotations

import msgspec

from egretworks.clock import Millis
from egretworks.exceptions import BadRequest, DeadlineExceeded
from egretworks.httpwire import Headers, Request
from egretworks.types import CallId

DEADLINE_HEADER = b"Egret-Deadline-Ms"
DEPTH_HEADER = b"Egret-Depth"
CALL_HEADER = b"Egret-Call-Id"
MAX_CALL_ID_LENGTH = 64


class CallContext(msgspec.Struct, frozen=True):
    """Hold the id, depth and deadline of a call.

    `depth` is the number of hops before this one.
    """

    id: CallId
    depth: int
    deadline: Millis

    def left_ms(self, now: Millis) -> float:
        """Return the time left, in milliseconds."""
        return self.deadline - now


def read_context(
    request: Request, now: Millis, timeout_ms: float, max_depth: int, new_id: str
) -> CallContext:
    """Return the context of `request`.

    The deadline is the one that the request states, or `timeout_ms` from now if that is earlier.
    `new_id` is used if the request has no call id. Raises `BadRequest` if a header is invalid or
    the depth has reached `max_depth`, and `DeadlineExceeded` if no time is left.
    """
    depth = _header_number(request, DEPTH_HEADER, 0.0)
    if depth >= max_depth:
        raise BadRequest(f"the call depth {depth:g} has reached the limit of {max_depth} hops")
    left_ms = min(timeout_ms, _header_number(request, DEADLINE_HEADER, timeout_ms))
    if left_ms <= 0:
        raise DeadlineExceeded(f"the call arrived with {left_ms:g} ms left")
    id = request.header(CALL_HEADER.lower())[:MAX_CALL_ID_LENGTH] or new_id
    return CallContext(CallId(id), int(depth), Millis(now + left_ms))


def context_headers(context: CallContext, now: Millis) -> Headers:
    """Return the headers that pass `context` to the next hop."""
    left_ms = max(1, int(context.left_ms(now)))
    return [
        (DEADLINE_HEADER, b"%d" % left_ms),
        (DEPTH_HEADER, b"%d" % (context.depth + 1)),
        (CALL_HEADER, context.id.encode("latin-1")),
    ]


def _header_number(request: Request, name: bytes, default: float) -> float:
    text = request.header(name.lower())
    return parse_number(name, text) if text else default


def parse_number(name: bytes, text: str) -> float:
    """Return `text`, the value of header `name`, as a finite number of zero or above.

    Raises `BadRequest` if it is anything else.
    """
    try:
        number = float(text)
    except ValueError as error:
        raise BadRequest(f"{name.decode()}: {text!r} is not a number") from error
    # Written so that NaN is rejected: every comparison with it is false.
    if not 0 <= number < float("inf"):
        raise BadRequest(f"{name.decode()}: {text!r} must be finite and not negative")
    return number
