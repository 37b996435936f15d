"""Hold the serving end of a link: offers of another daemon come in, outcomes go back."""

from __future__ import annotations

import logging

import msgspec

from egretworks.exceptions import PeerError
from egretworks.fates import PeerLife
from egretworks.gatework import Offered
from egretworks.linkcoding import Coding, coding_of
from egretworks.linkframes import (
    Cancel,
    ConfigAsked,
    ConfigCopy,
    FatesAsked,
    Frame,
    FrameReader,
    Hello,
    LossReason,
    Lost,
    Offer,
    Outcome,
    Ping,
    Pong,
    RefusalReason,
    Refused,
    Rows,
    encode_frame,
)
from egretworks.linkhost import LinkHost
from egretworks.streams import Stream
from egretworks.types import InstanceId

# A request that finds no room for its body may come back after this time.
NO_ROOM_WAIT_MS = 100.0

# The other end until it has said who it is.
UNKNOWN_LIFE = PeerLife(InstanceId(""), 0)

log = logging.getLogger(__name__)


class _Open(msgspec.Struct, frozen=True):
    offer: Offer
    offered: Offered


class ServedLink:
    """Answer the offers of one other daemon."""

    def __init__(self, host: LinkHost, stream: Stream) -> None:
        self._host = host
        self._stream = stream
        self._reader = FrameReader()
        # Known once the peer has begun the link.
        self._coding: Coding | None = None
        self._open_by_serial: dict[int, _Open] = {}
        self._life = UNKNOWN_LIFE
        self._ended = False
        host.served.add(self)
        stream.start(self)

    @property
    def peer(self) -> InstanceId:
        """Return the id of the daemon at the other end, empty until it has said so."""
        return self._life.id

    def on_data(self, data: bytes) -> None:
        """Take in bytes from the peer."""
        try:
            if self._coding is None:
                self._coding = coding_of(data[:1])
                data = data[1:]
            frames = self._reader.feed(self._coding.unpack(data))
        except PeerError as error:
            log.warning("a link from %s ends: %s", self.peer, error)
            self.give_up()
            return
        for frame in frames:
            if not self._ended:
                self._take(frame)

    def on_end(self, *, clean: bool) -> None:
        """Stop what nobody waits for any more; what may run only once goes on."""
        self._ended = True
        self._host.served.discard(self)
        opened, self._open_by_serial = self._open_by_serial, {}
        for open in opened.values():
            if open.offer.idempotent:
                self._cancel(open)
            else:
                self._leave_behind(open)

    def give_up(self) -> None:
        """Close the link now and go on as if it had broken."""
        self._stream.close()
        self.on_end(clean=False)

    def tell(self, frame: Frame) -> None:
        """Send `frame` to the peer, once it has begun the link."""
        if self._coding is not None:
            self._stream.write(self._coding.pack(encode_frame(frame)))

    def close(self) -> None:
        """Close the link once the peer has taken everything."""
        self._stream.close_when_sent()

    def _take(self, frame: Frame) -> None:
        if isinstance(frame, Offer):
            self._take_offer(frame)
        elif isinstance(frame, Cancel):
            open = self._open_by_serial.pop(frame.serial, None)
            if open is not None:
                self._cancel(open)
        elif isinstance(frame, Ping):
            self.tell(Pong(self._host.config.version, self._host.gate.report()))
            self._host.config.note_peer(frame.config_version, self)
        elif isinstance(frame, Hello):
            self._life = PeerLife(frame.row.id, frame.row.incarnation)
            self.tell(self._host.hello())
            self._host.learn([frame.row, *frame.rows])
            self._host.config.note_peer(frame.config_version, self)
        elif isinstance(frame, Rows):
            self._host.learn(frame.rows)
        elif isinstance(frame, FatesAsked):
            self._tell_fates(frame.serials)
        elif isinstance(frame, ConfigAsked):
            self._host.config.answer(self)
        elif isinstance(frame, ConfigCopy):
            self._host.config.take_copy(frame, self.peer)

    def _take_offer(self, offer: Offer) -> None:
        bodies, size = self._host.bodies, len(offer.body)
        self._host.fates.note_offer(self._life, offer.serial)
        if not bodies.take(size):
            self.tell(self._host.gate.refusal(offer, RefusalReason.BUSY, NO_ROOM_WAIT_MS))
            return
        finished = False

        def reply(outcome: Outcome) -> None:
            nonlocal finished
            finished = True
            bodies.give_back(size)
            if self._ended:
                self._host.fates.settle(self._life, offer.serial, outcome)
            else:
                self._open_by_serial.pop(offer.serial, None)
                self.tell(outcome)

        offered = self._host.gate.offer(offer, reply)
        if not finished:
            self._open_by_serial[offer.serial] = _Open(offer, offered)

    def _cancel(self, open: _Open) -> None:
        self._host.bodies.give_back(len(open.offer.body))
        open.offered.cancel()

    def _leave_behind(self, open: _Open) -> None:
        """Take back an offer that still waits; else keep its outcome until the peer asks."""
        offer = open.offer
        self._host.fates.adopt(self._life, offer.serial)
        if open.offered.withdraw():
            self._host.bodies.give_back(len(offer.body))
            refusal = self._host.gate.refusal(offer, RefusalReason.CANCELLED, 0.0)
            self._host.fates.settle(self._life, offer.serial, refusal)

    def _tell_fates(self, serials: list[int]) -> None:
        """Tell what became of offers that came, or were to come, over earlier links."""
        for other in list(self._host.served):
            if other is not self and other.peer == self.peer:
                # Nothing more can come over it from now on.
                other.give_up()
        fates, report = self._host.fates, self._host.gate.report()
        for serial in serials:
            if fates.never_came(self._life, serial):
                self.tell(Refused(serial, RefusalReason.CANCELLED, 0.0, False, report))
            elif not fates.ask(self._life, serial, self.tell):
                self.tell(Lost(serial, LossReason.LINK_LOST, report))
