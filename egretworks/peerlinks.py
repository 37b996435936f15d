"""Hold the calling end of a link: offers go out to another daemon, outcomes come back."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from egretworks.clock import Millis
from egretworks.exceptions import PeerError
from egretworks.gatework import CancelCall, Reply
from egretworks.linkcoding import Coding, PackedCoding, PlainCoding
from egretworks.linkframes import (
    Answered,
    Cancel,
    ConfigAsked,
    ConfigCopy,
    FatesAsked,
    Frame,
    FrameReader,
    GateReport,
    Hello,
    LossReason,
    Lost,
    Offer,
    Outcome,
    Ping,
    Pong,
    Refused,
    Rows,
    encode_frame,
)
from egretworks.linkhost import LinkHost
from egretworks.picking import Prospect
from egretworks.rows import DaemonRow
from egretworks.streams import Stream, connect
from egretworks.types import InstanceId

CONNECT_TIMEOUT_MS = 600
# A link that has been silent this long with offers out is asked for a sign of life.
BUSY_PING_MS = 150
# Every link is asked this often; the answer also tells which configuration the peer has.
PING_MS = 1_000
DELAY_GAIN = 0.5
# A daemon that leaves a ping unanswered this long gets no offers if another can have them.
SUSPECT_MS = 300
# And its link is given up after this time, since connections may go silent for good.
BROKEN_MS = 1_500
RECONNECT_MS = 250
# Failed attempts lengthen the pause up to this.
RECONNECT_MOST_MS = 1_500
# A peer that doesn't read gets no further offers over this much unsent.
MOST_UNSENT_BYTES = 4_000_000
# A peer is asked what became of a request within this time after its link has broken.
SETTLE_MS = 700
UNKNOWN_REPORT = GateReport(slots=0, load=0, work_ms=0.0)


class _Sent(msgspec.Struct, frozen=True):
    reply: Reply
    idempotent: bool


class PeerLink:
    """Offer requests to the target beside another daemon, over one connection that is kept."""

    def __init__(self, host: LinkHost, row: DaemonRow) -> None:
        self._host = host
        self.row = row
        self.near = row.data_centre == host.rows.own.data_centre
        self._stream: Stream | None = None
        self._reader = FrameReader()
        self._coding: Coding = PlainCoding()
        self._connecting: Callable[[], None] | None = None
        self._ready = False
        self._serial = 0
        self._sent_by_serial: dict[int, _Sent] = {}
        # What was open when the link broke and may run only once: the peer is asked about it.
        self._unsettled: dict[int, _Sent] = {}
        self._settle_until = Millis(0)
        self._report = UNKNOWN_REPORT
        # What others have at the target, as of the last report.
        self._load_of_others = 0
        self._heard_at = Millis(0)
        self._pinged_at: Millis | None = None
        self._last_ping = Millis(0)
        self._delay_ms = 0.0
        self._try_at = Millis(0)
        self._failures = 0

    @property
    def name(self) -> InstanceId:
        """Return the id of the daemon beside the target."""
        return self.row.id

    @property
    def usable(self) -> bool:
        """Return whether offers can be made."""
        return self._ready and self._stream.unsent_bytes < MOST_UNSENT_BYTES

    def offer(self, offer: Offer, reply: Reply) -> CancelCall:
        """Send a request to the daemon beside the target."""
        self._serial += 1
        serial = self._serial
        self._sent_by_serial[serial] = _Sent(reply, offer.idempotent)
        self._send(msgspec.structs.replace(offer, serial=serial))

        def cancel() -> None:
            self._unsettled.pop(serial, None)
            if self._sent_by_serial.pop(serial, None) is not None:
                self._send(Cancel(serial))

        return cancel

    def prospect(self, now: Millis) -> Prospect:
        """Return how the target stands, as far as this daemon knows."""
        report = self._report
        target = self.row.target
        suspect = self._pinged_at is not None and now - self._pinged_at > SUSPECT_MS
        return Prospect(
            self._load_of_others + len(self._sent_by_serial),
            report.slots or (target.slots if target else 1),
            report.work_ms or 60.0,
            report.failing_percent,
            self.near,
            suspect,
            self._delay_ms,
        )

    def tell(self, frame: Frame) -> None:
        """Send `frame` if the link is up."""
        if self._ready:
            self._send(frame)

    def tick(self, now: Millis) -> None:
        """Connect, ask for a sign of life or give the link up, as is due."""
        if self._unsettled and now > self._settle_until:
            self._lose_unsettled()
        if self._stream is None:
            if self._connecting is None and now >= self._try_at:
                self._connecting = connect(
                    self.row.endpoint, CONNECT_TIMEOUT_MS, self._on_connected
                )
            return
        if self._pinged_at is not None:
            if now - self._pinged_at > BROKEN_MS:
                self._break("it left a ping unanswered")
        elif self._ready and self._needs_ping(now):
            self._pinged_at = self._last_ping = now
            self._send(Ping(self._host.config.version))

    def _needs_ping(self, now: Millis) -> bool:
        """Return whether the peer is silent, or hasn't told its version for a while."""
        silent = bool(self._sent_by_serial) and now - self._heard_at > BUSY_PING_MS
        return silent or now - self._last_ping > PING_MS

    def reconnect_soon(self) -> None:
        """Try to connect without waiting longer, as there is news of the peer."""
        self._failures = 0
        self._try_at = Millis(0)

    def close(self) -> None:
        """Close the link; offers that are out end as lost."""
        if self._connecting is not None:
            self._connecting()
            self._connecting = None
        self._break("it is no longer wanted")
        self._lose_unsettled()

    def on_data(self, data: bytes) -> None:
        """Take in bytes from the peer."""
        now = self._host.clock.now()
        self._heard_at = now
        self._pinged_at = None
        try:
            frames = self._reader.feed(self._coding.unpack(data))
        except PeerError as error:
            self._break(error.message)
            return
        for frame in frames:
            if self._stream is not None:
                self._take(frame)

    def on_end(self, *, clean: bool) -> None:
        """Note that the link has ended."""
        self._break("the peer closed it" if clean else "it broke")

    def _on_connected(self, stream: Stream | None) -> None:
        self._connecting = None
        now = self._host.clock.now()
        if stream is None:
            self._delay_next_try(now)
            return
        self._stream = stream
        self._reader = FrameReader()
        self._coding = PlainCoding() if self.near else PackedCoding()
        self._heard_at = now
        self._pinged_at = now
        stream.start(self)
        stream.write(self._coding.mark)
        self._send(self._host.hello())

    def _delay_next_try(self, now: Millis) -> None:
        self._failures += 1
        pause_ms = min(RECONNECT_MOST_MS, RECONNECT_MS * self._failures)
        self._try_at = Millis(now + pause_ms)

    def _send(self, frame: Frame) -> None:
        if self._stream is not None:
            self._stream.write(self._coding.pack(encode_frame(frame)))

    def _take(self, frame: Frame) -> None:
        if isinstance(frame, Answered | Refused | Lost):
            self._finish(frame)
        elif isinstance(frame, Pong):
            round_trip_ms = self._host.clock.now() - self._last_ping
            self._delay_ms += (round_trip_ms - self._delay_ms) * DELAY_GAIN
            self._note_report(frame.report)
            self._host.config.note_peer(frame.config_version, self)
        elif isinstance(frame, Hello):
            self._greet(frame)
        elif isinstance(frame, Rows):
            self._host.learn(frame.rows)
        elif isinstance(frame, ConfigCopy):
            self._host.config.take_copy(frame, self.row.id)
        elif isinstance(frame, ConfigAsked):
            self._host.config.answer(self)

    def _greet(self, hello: Hello) -> None:
        self._host.learn([hello.row, *hello.rows])
        if hello.row.id != self.row.id:
            # Another daemon has the address now.
            self._break("another daemon answered")
            return
        self._ready = True
        self._failures = 0
        self._host.timeline.record("link_up", target=self.row.id)
        self._ask_fates()
        self._host.config.note_peer(hello.config_version, self)

    def _finish(self, outcome: Outcome) -> None:
        sent = self._sent_by_serial.pop(outcome.serial, None)
        self._note_report(outcome.report)
        if sent is not None:
            sent.reply(outcome)

    def _note_report(self, report: GateReport) -> None:
        self._report = report
        self._load_of_others = max(0, report.load - len(self._sent_by_serial))

    def _break(self, reason: str) -> None:
        stream, self._stream = self._stream, None
        if stream is None:
            return
        stream.close()
        now = self._host.clock.now()
        self._pinged_at = None
        if not self._ready:
            self._delay_next_try(now)
        else:
            self._ready = False
            self._try_at = now
            self._record_down(reason)
        sents, self._sent_by_serial = self._sent_by_serial, {}
        for serial, sent in sents.items():
            if sent.idempotent:
                sent.reply(Lost(serial, LossReason.LINK_LOST, self._report))
            else:
                self._unsettled[serial] = sent
                self._settle_until = Millis(now + SETTLE_MS)

    def _record_down(self, reason: str) -> None:
        once = sum(not sent.idempotent for sent in self._sent_by_serial.values())
        self._host.timeline.record(
            "link_down",
            target=self.row.id,
            detail=reason,
            facts={"open": len(self._sent_by_serial), "to_ask_about": once},
        )

    def _lose_unsettled(self) -> None:
        """Tell that nobody knows what became of the requests that were open."""
        sents, self._unsettled = self._unsettled, {}
        for serial, sent in sents.items():
            sent.reply(Lost(serial, LossReason.LINK_LOST, self._report))

    def _ask_fates(self) -> None:
        """Ask what became of the requests that were open when the link broke."""
        if self._unsettled:
            sents, self._unsettled = self._unsettled, {}
            self._sent_by_serial.update(sents)
            self._send(FatesAsked(list(sents)))
