"""Hold the serving end of a link: offers of another daemon come in, outcomes go back."""

from __future__ import annotations

import logging
from collections.abc import Callable

from egretworks.exceptions import PeerError
from egretworks.gatework import CancelCall
from egretworks.linkframes import (
    Cancel,
    ConfigAsked,
    ConfigCopy,
    Frame,
    FrameReader,
    Hello,
    Offer,
    Outcome,
    Ping,
    Pong,
    RefusalReason,
    Rows,
    encode_frame,
)
from egretworks.linkhost import LinkHost
from egretworks.streams import Stream
from egretworks.types import InstanceId

# A request that finds no room for its body may come back after this time.
NO_ROOM_WAIT_MS = 100.0

log = logging.getLogger(__name__)


class ServedLink:
    """Answer the offers of one other daemon."""

    def __init__(self, host: LinkHost, stream: Stream, on_closed: Callable) -> None:
        self._host = host
        self._stream = stream
        self._on_closed = on_closed
        self._reader = FrameReader()
        self._cancel_by_serial: dict[int, CancelCall] = {}
        self._peer: InstanceId | None = None
        stream.start(self)

    def on_data(self, data: bytes) -> None:
        """Take in bytes from the peer."""
        try:
            frames = self._reader.feed(data)
        except PeerError as error:
            log.warning("a link from %s ends: %s", self._peer, error)
            self._stream.close()
            self.on_end(clean=False)
            return
        for frame in frames:
            self._take(frame)

    def on_end(self, *, clean: bool) -> None:
        """Stop what nobody waits for any more."""
        self._on_closed(self)
        cancels, self._cancel_by_serial = self._cancel_by_serial, {}
        for cancel in cancels.values():
            cancel()

    def tell(self, frame: Frame) -> None:
        """Send `frame` to the peer."""
        self._stream.write(encode_frame(frame))

    def close(self) -> None:
        """Close the link once the peer has taken everything."""
        self._stream.close_when_sent()

    def _take(self, frame: Frame) -> None:
        if isinstance(frame, Offer):
            self._take_offer(frame)
        elif isinstance(frame, Cancel):
            cancel = self._cancel_by_serial.pop(frame.serial, None)
            if cancel is not None:
                cancel()
        elif isinstance(frame, Ping):
            self.tell(Pong(self._host.config.version, self._host.gate.report()))
            self._host.config.note_peer(frame.config_version, self)
        elif isinstance(frame, Hello):
            self._peer = frame.row.id
            self.tell(self._host.hello())
            self._host.learn([frame.row, *frame.rows])
            self._host.config.note_peer(frame.config_version, self)
        elif isinstance(frame, Rows):
            self._host.learn(frame.rows)
        elif isinstance(frame, ConfigAsked):
            self._host.config.answer(self)
        elif isinstance(frame, ConfigCopy):
            self._host.config.take_copy(frame, self._peer)

    def _take_offer(self, offer: Offer) -> None:
        bodies, size = self._host.bodies, len(offer.body)
        if not bodies.take(size):
            self.tell(self._host.gate.refusal(offer, RefusalReason.BUSY, NO_ROOM_WAIT_MS))
            return
        finished = False

        def reply(outcome: Outcome) -> None:
            nonlocal finished
            finished = True
            bodies.give_back(size)
            self._cancel_by_serial.pop(offer.serial, None)
            self.tell(outcome)

        withdraw = self._host.gate.offer(offer, reply)

        def cancel() -> None:
            bodies.give_back(size)
            withdraw()

        if not finished:
            self._cancel_by_serial[offer.serial] = cancel
