"""Receive the requests of a caller's connection."""

from __future__ import annotations

import httptools

from egretworks.exceptions import (
    BadRequest,
    BodiesInHand,
    BodyTooLarge,
    CallError,
    HeadersTooLarge,
)
from egretworks.httpwire import Request
from egretworks.messagereader import (
    MalformedMessage,
    MessageLimits,
    MessagePart,
    MessageReader,
    MessageTooLarge,
)


class RequestReader(MessageReader):
    """Parse the requests of one connection one after the other, within limits on their size.

    What follows a complete request is parsed once that request has been taken.
    """

    def __init__(self, limits: MessageLimits) -> None:
        self._unparsed = b""
        self._complete: Request | None = None
        super().__init__(limits)
        self._parser = httptools.HttpRequestParser(self)

    @property
    def has_more(self) -> bool:
        """Return whether a further request has arrived, at least in part."""
        return self._begun or self.has_unparsed

    @property
    def has_unparsed(self) -> bool:
        """Return whether bytes have arrived that are not parsed yet."""
        return bool(self._unparsed)

    @property
    def expects_continue(self) -> bool:
        """Return whether the caller waits for `100 Continue`; true only once for each request."""
        expects, self._expects_continue = self._expects_continue, False
        return expects

    def feed(self, data: bytes) -> None:
        """Take received bytes, which `next_request` parses."""
        self._unparsed += data

    def next_request(self) -> Request | None:
        """Return the next request if it is complete.

        Raises a `CallError` for a request that must be rejected.
        """
        data, self._unparsed = self._unparsed, b""
        try:
            self._unparsed = data[self._parse(data) :]
        except MessageTooLarge as error:
            self.close()
            raise _rejection(error) from error
        except MalformedMessage as error:
            self.close()
            raise BadRequest(f"malformed HTTP request: {error}") from error
        request, self._complete = self._complete, None
        return request

    def close(self) -> None:
        """Drop all that has been received."""
        self._unparsed = b""
        self._complete = None
        super().close()

    @property
    def _finished(self) -> bool:
        return self._complete is not None

    def _parse_piece(self, piece: memoryview) -> None:
        self._begun = True
        super()._parse_piece(piece)

    def _begin_message(self) -> None:
        super()._begin_message()
        self._url = b""
        self._begun = False
        self._expects_continue = False

    # Callbacks of the httptools parser.

    def on_url(self, url: bytes) -> None:
        """Append a fragment of the URL."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header, its name in lower case."""
        name = name.lower()
        super().on_header(name, value)
        if name == b"expect" and value.lower() == b"100-continue":
            self._expects_continue = True

    def on_message_complete(self) -> None:
        """Hold the complete request and begin the next one."""
        self._reserve_memory()
        self._complete = Request(
            method=self._parser.get_method().decode("ascii"),
            url=self._url,
            headers=self._headers,
            body=self._body,
            keep_alive=self._parser.should_keep_alive(),
            reserved_bytes=self._reserved_bytes,
        )
        self._begin_message()


def _rejection(error: MessageTooLarge) -> CallError:
    if error.part is MessagePart.HEAD:
        return HeadersTooLarge(f"request headers exceed the limit of {error.limit} bytes")
    if error.part is MessagePart.BODY:
        return BodyTooLarge(f"request body exceeds the limit of {error.limit} bytes")
    return BodiesInHand(f"not enough memory to hold {error.limit} bytes of a request")
