"""Receive HTTP/1.1 messages with the httptools parser, and bound the memory that they occupy."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import httptools
import msgspec

from egretworks.httpwire import Headers

# What a header occupies beside its bytes: a tuple, its place in a list and two bytes objects.
HEADER_OVERHEAD_BYTES = 160
# Ends a head, and a chunked body.
EMPTY_LINE = b"\r\n\r\n"
# What a message occupies beside its headers and its body.
MESSAGE_OVERHEAD_BYTES = 1_000


class MessagePart(Enum):
    """Name what exceeds its limit."""

    HEAD = "headers"
    BODY = "body"
    # All messages together, on all connections.
    MEMORY = "memory"


class MessageTooLarge(Exception):
    """A message exceeds a limit."""

    def __init__(self, part: MessagePart, limit: int) -> None:
        super().__init__(f"{part.value}: exceeds the limit of {limit} bytes")
        self.part = part
        self.limit = limit


class MalformedMessage(Exception):
    """The bytes received are no HTTP/1.1 message, or one that is not supported."""


class MessageLimits(msgspec.Struct, frozen=True):
    """Limit the size of a message.

    `reserve` is called with a number of bytes that a message will occupy and returns whether they
    fit into the memory for all messages.
    """

    max_head_bytes: int
    max_body_bytes: int
    reserve: Callable[[int], bool] = lambda size: True


class MessageReader:
    """Collect the message that a parser reports by its callbacks, within limits.

    What the message occupies here is reserved, which for small headers is a multiple of the bytes
    that the peer has sent.
    """

    _parser: httptools.HttpRequestParser | httptools.HttpResponseParser

    def __init__(self, limits: MessageLimits) -> None:
        self._limits = limits
        # The last bytes received, as far as they may be the beginning of an empty line.
        self._line_end = b""
        self._begin_message()

    def close(self) -> None:
        """Drop what has been received; the parser and this object refer to each other."""
        self._parser = None
        self._begin_message()

    def _begin_message(self) -> None:
        self._headers: Headers = []
        self._body = bytearray()
        # The Content-Length, or None for a chunked body, no body, or one without a length.
        self._content_length: int | None = None
        # Whether the message itself shows where it ends, and not the end of the connection.
        self._length_known = False
        self._head_bytes = 0
        self._in_body = False
        # Bytes received since the last byte of the body: sizes and extensions of chunks, trailers.
        self._framing_bytes = 0
        self._reserved_bytes = 0

    def _parse(self, data: bytes) -> int:
        """Parse `data` until no further message is expected; return the number of bytes parsed.

        Raises `MessageTooLarge` or `MalformedMessage`. The parser is given pieces that end where a
        head or a message ends, so that each byte is counted once and for the message to which it
        belongs, however the bytes arrive.
        """
        view = memoryview(data)
        start = 0
        while start < len(data) and not self._finished:
            end = self._piece_end(data, start)
            self._parse_piece(view[start:end])
            start = end
        return start

    @property
    def _finished(self) -> bool:
        """Return whether the message expected is complete."""
        raise NotImplementedError

    def _piece_end(self, data: bytes, start: int) -> int:
        """Return where the bytes of `data` from `start` on may leave a head or a message."""
        if self._in_body and self._content_length is not None:
            self._line_end = b""
            return min(len(data), start + self._content_length - len(self._body))
        if self._in_body and not self._length_known:
            return len(data)
        return self._empty_line_end(data, start)

    def _empty_line_end(self, data: bytes, start: int) -> int:
        """Return the end of the first empty line: it ends each head and each chunked body."""
        across = (self._line_end + data[start : start + len(EMPTY_LINE) - 1]).find(EMPTY_LINE)
        found = data.find(EMPTY_LINE, start)
        if across >= 0:
            end = start + across + len(EMPTY_LINE) - len(self._line_end)
        else:
            end = found + len(EMPTY_LINE) if found >= 0 else len(data)
        if across >= 0 or found >= 0:
            self._line_end = b""
        else:
            self._line_end = (self._line_end + data[start:end])[1 - len(EMPTY_LINE) :]
        return end

    def _parse_piece(self, piece: memoryview) -> None:
        received_before = len(self._body)
        if self._in_body:
            self._feed_parser(piece)
            if self._in_body and len(self._body) == received_before:
                self._count_framing_bytes(len(piece))
        else:
            self._count_head_bytes(len(piece))
            self._feed_parser(piece)
        if self._head_bytes:
            self._reserve_memory()

    def _feed_parser(self, piece: memoryview) -> None:
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade as error:
            raise MalformedMessage("protocol upgrades are not supported") from error
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, MessageTooLarge):
                raise error.__context__ from None
            raise MalformedMessage(str(error.__context__ or error)) from error
        except httptools.HttpParserError as error:
            raise MalformedMessage(str(error)) from error

    def _count_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits.max_head_bytes:
            raise MessageTooLarge(MessagePart.HEAD, self._limits.max_head_bytes)

    def _count_framing_bytes(self, size: int) -> None:
        """Count bytes that arrive within a body and add nothing to it."""
        self._framing_bytes += size
        if self._framing_bytes > self._limits.max_head_bytes:
            raise MessageTooLarge(MessagePart.HEAD, self._limits.max_head_bytes)

    def _reserve_memory(self) -> None:
        """Reserve what the message occupies, and will occupy if its length is known."""
        body_bytes = len(self._body) if self._content_length is None else self._content_length
        occupied = MESSAGE_OVERHEAD_BYTES + HEADER_OVERHEAD_BYTES * len(self._headers)
        occupied += self._head_bytes + self._framing_bytes + body_bytes
        missing = occupied - self._reserved_bytes
        if missing <= 0:
            return
        if not self._limits.reserve(missing):
            raise MessageTooLarge(MessagePart.MEMORY, occupied)
        self._reserved_bytes = occupied

    def _check_body_size(self, size: int) -> None:
        if size > self._limits.max_body_bytes:
            raise MessageTooLarge(MessagePart.BODY, self._limits.max_body_bytes)

    # Callbacks of the httptools parser.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header or a trailer."""
        self._headers.append((name, value))
        lowered = name.lower()
        if lowered == b"content-length":
            self._content_length = int(value)
        if lowered in (b"content-length", b"transfer-encoding"):
            self._length_known = True

    def on_headers_complete(self) -> None:
        """Reject a body by its length and reserve memory for it before it arrives."""
        self._in_body = True
        if self._content_length is not None:
            self._check_body_size(self._content_length)
        self._reserve_memory()

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        self._check_body_size(len(self._body) + len(data))
        self._body += data
        self._framing_bytes = 0
