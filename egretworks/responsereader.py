"""Receive the response to a request that was sent to a target."""

from __future__ import annotations

from collections.abc import Callable

import httptools

from egretworks.exceptions import OutcomeUnknown
from egretworks.httpwire import Response
from egretworks.messagereader import (
    MalformedMessage,
    MessageLimits,
    MessageReader,
    MessageTooLarge,
)

MAX_RESPONSE_HEAD_BYTES = 65_536
# More interim (1xx) responses to one request than this have no end, as far as can be told.
MAX_INTERIM_RESPONSES = 32
# The statuses that RFC 9110 defines, by class.
VALID_STATUSES = range(100, 600)
# The status with which a server takes up another protocol, which no request asks for.
SWITCHING_PROTOCOLS = 101


class ResponseReader(MessageReader):
    """Parse one response incrementally, within limits on its size.

    `response` stays None until the response is complete.
    """

    def __init__(
        self,
        method: str,
        limits: MessageLimits,
        matches: Callable[[Response], bool] = lambda response: True,
    ) -> None:
        """Parse the response to a request of `method`.

        `matches` returns whether a response is the one to this request; others are skipped.
        """
        self._is_head = method == "HEAD"
        self._matches = matches
        self._skipped = False
        self._interim = False
        self._interim_count = 0
        self.response: Response | None = None
        super().__init__(limits)
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse `data`, or raise `OutcomeUnknown` for a malformed or too large response."""
        try:
            parsed = self._parse(data)
        except (MessageTooLarge, MalformedMessage) as error:
            self.close()
            raise OutcomeUnknown(f"no usable HTTP response: {error}") from error
        if parsed < len(data):
            # Bytes after the response, which belong to no request.
            self.response.keep_alive = False

    def feed_eof(self) -> None:
        """Handle the end of the connection, which completes a response without a length."""
        if self.response is None and self._in_body and not self._length_known:
            self._complete(keep_alive=False)

    # Callbacks of the httptools parser.

    def on_headers_complete(self) -> None:
        """Complete the response to a HEAD request, which has no body."""
        status = self._parser.get_status_code()
        if status not in VALID_STATUSES or status == SWITCHING_PROTOCOLS:
            raise MalformedMessage(f"unexpected status {status:03}")
        self._interim = status < 200
        if self._is_head or not self._may_have_body():
            self._content_length = None
        super().on_headers_complete()
        if self._is_head and not self._interim:
            self._complete(keep_alive=False)

    def on_message_complete(self) -> None:
        """Complete the response, or skip an interim (1xx) one."""
        self._in_body = False
        if self._interim:
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_RESPONSES:
                raise MalformedMessage(f"over {MAX_INTERIM_RESPONSES} interim responses")
            self._begin_next()
        elif not self._is_head:
            self._complete(keep_alive=self._parser.should_keep_alive())

    @property
    def _finished(self) -> bool:
        return self.response is not None

    def _may_have_body(self) -> bool:
        return not self._interim and self._parser.get_status_code() not in (204, 304)

    def _complete(self, *, keep_alive: bool) -> None:
        response = Response(
            status=self._parser.get_status_code(),
            headers=self._headers,
            body=self._body,
            keep_alive=keep_alive and not self._skipped,
        )
        in_body = self._in_body
        self._begin_next()
        self._in_body = in_body
        if self._matches(response):
            self.response = response
            return
        # A late response to an earlier request: the connection is not reused after this exchange.
        self._skipped = True

    def _begin_next(self) -> None:
        """Begin the next message, whose headers and body must not be added to those of this one.

        What was reserved stays reserved until the exchange ends, and serves the next message.
        """
        reserved_bytes = self._reserved_bytes
        self._begin_message()
        self._reserved_bytes = reserved_bytes
