"""Carry deadlines and depth from hop to hop."""

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
    """Hold what a call brings along from the hop before."""

    id: CallId
    depth: int
    deadline: Millis

    def left_ms(self, now: Millis) -> float:
        """Return the time left, in milliseconds."""
        return self.deadline - now


def read_context(
    request: Request, now: Millis, timeout_ms: float, max_depth: int, new_id: str
) -> CallContext:
    """Return the context of `request`, whose time is `timeout_ms` or less.

    Raises `BadRequest` for headers that can't be read and for a call that is too deep, and
    `DeadlineExceeded` for one that comes with no time left.
    """
    depth = _number(request, DEPTH_HEADER, 0.0)
    if depth >= max_depth:
        raise BadRequest(f"the call is over {max_depth} hops deep")
    left_ms = min(timeout_ms, _number(request, DEADLINE_HEADER, timeout_ms))
    if left_ms <= 0:
        raise DeadlineExceeded("the call came with no time left")
    id = request.header(CALL_HEADER.lower())[:MAX_CALL_ID_LENGTH] or new_id
    return CallContext(CallId(id), int(depth), Millis(now + left_ms))


def context_headers(context: CallContext, now: Millis) -> Headers:
    """Return the headers that carry `context` to the next hop."""
    left_ms = max(1, int(context.left_ms(now)))
    return [
        (DEADLINE_HEADER, b"%d" % left_ms),
        (DEPTH_HEADER, b"%d" % (context.depth + 1)),
        (CALL_HEADER, context.id.encode("latin-1")),
    ]


def _number(request: Request, name: bytes, default: float) -> float:
    text = request.header(name.lower())
    return parse_number(name, text) if text else default


def parse_number(name: bytes, text: str) -> float:
    """Return the number zero or above that header `name` has as `text`, or raise `BadRequest`."""
    try:
        number = float(text)
    except ValueError as error:
        raise BadRequest(f"{name.decode()}: {text!r} isn't a number") from error
    # A number that isn't finite compares as false with everything.
    if not 0 <= number < float("inf"):
        raise BadRequest(f"{name.decode()}: {text!r} is out of range")
    return number
