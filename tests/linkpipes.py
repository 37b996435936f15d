"""Connect daemons by links over pipes that the test delivers, without sockets."""

from egretworks import outboundlinks
from egretworks.bytebudget import ByteBudget
from egretworks.calllog import CallLog
from egretworks.clock import Millis
from egretworks.freshness import ConfigFreshness
from egretworks.inboundlinks import InboundLink
from egretworks.linepacer import LinePacer
from egretworks.linkframes import Answered, GateReport, Offer, Refused
from egretworks.linkhost import LinkHost
from egretworks.linkline import LinkLine
from egretworks.membersync import MemberSync
from egretworks.metrics import Metrics
from egretworks.orphanedoffers import OrphanedOffers
from egretworks.outboundlinks import OutboundLink
from egretworks.rolloutlinks import NO_ROLLOUTS
from egretworks.rows import DaemonRow, RowTable

REPORT = GateReport(slots=4, load=0, work_ms=10.0)


class FakeClock:
    def __init__(self):
        self.at = 1_000.0

    def now(self):
        return Millis(self.at)


class FakeTimeline:
    def record(self, kind, **facts):
        pass


class FakeConfig:
    version = 1
    teams = None

    def on_peer_version(self, version, peer):
        pass


class FakeGate:
    """Collect offers; the test answers them or marks them as still queued."""

    def __init__(self):
        self.offers = []

    def offer(self, offer, reply):
        handle = FakeOfferHandle(offer, reply)
        self.offers.append(handle)
        return handle

    def report(self):
        return REPORT

    def refusal(self, offer, reason, wait_ms):
        return Refused(offer.serial, reason, wait_ms, False, REPORT)


class FakeOfferHandle:
    def __init__(self, offer, reply):
        self.offer, self.reply = offer, reply
        self.queued = self.cancelled = False

    def cancel(self):
        self.cancelled = True

    def withdraw(self):
        return self.queued

    def answer(self):
        self.reply(Answered(self.offer.serial, 200, [], b"done", REPORT))


class Pipe:
    """Connect two stream ends; written bytes arrive when the test calls `deliver`."""

    def __init__(self):
        self.ends = [PipeEnd(self, 0), PipeEnd(self, 1)]
        self.undelivered = []
        # Bytes written at either end.
        self.sent_bytes = 0

    def deliver(self):
        while self.undelivered:
            end, data = self.undelivered.pop(0)
            if not end.closed:
                end.user.on_data(data)

    def break_at(self, side):
        end = self.ends[side]
        end.closed = True
        end.user.on_end(clean=False)


class PipeEnd:
    unsent_bytes = 0

    def __init__(self, pipe, side):
        self.pipe, self.side, self.closed, self.user = pipe, side, False, None

    def start(self, user):
        self.user = user

    def limit_unsent(self, size):
        pass

    def write(self, data):
        if not self.closed:
            self.pipe.sent_bytes += len(data)
            self.pipe.undelivered.append((self.pipe.ends[1 - self.side], data))

    def close(self):
        self.closed = True


def make_host(id, clock, gate, config, rollouts=NO_ROLLOUTS, line=None):
    """Return the parts of a daemon `id` that its links use; its `line` is not paced by default."""
    rows = RowTable(DaemonRow(id, "dc", "127.0.0.1", 1, incarnation=1, serial=0))
    return LinkHost(
        clock,
        FakeTimeline(),
        Metrics(),
        CallLog(FakeTimeline(), clock),
        rows,
        MemberSync(rows),
        config,
        gate,
        ByteBudget(2_000_000),
        OrphanedOffers(clock),
        set(),
        lambda rows: None,
        lambda rows: None,
        lambda row: None,
        lambda target: None,
        ConfigFreshness(clock, lambda: config.version),
        line or LinkLine(LinePacer(lambda: 0), clock, ByteBudget(50_000_000)),
        rollouts=rollouts,
    )


class Daemons:
    """Set up the calling daemon d1, the serving daemon d2 and the link between them."""

    def __init__(self, monkeypatch, rows=(), rollouts=NO_ROLLOUTS):
        """Let both know `rows` from the start."""
        self.rollouts = rollouts
        monkeypatch.setattr(outboundlinks, "connect", self._connect)
        self.clock = FakeClock()
        self.gate = FakeGate()
        self.calling, self.serving = self.make_host("d1"), self.make_host("d2")
        for host in (self.calling, self.serving):
            host.rows.merge(rows)
        self.pipe = None
        self.link = OutboundLink(self.calling, self.serving.rows.own)
        self.outcomes = []
        self.reconnect()

    def make_host(self, id):
        return make_host(id, self.clock, self.gate, FakeConfig(), self.rollouts)

    def reconnect(self):
        self.clock.at += 1
        self.link.tick(self.clock.now())
        self.pipe = Pipe()
        InboundLink(self.serving, self.pipe.ends[1])
        self.connected(self.pipe.ends[0])
        self.pipe.deliver()

    def offer(self, idempotent=False, left_ms=1_000.0, body=b"gift"):
        offer = Offer(
            *(0, "c1", "give", "ledger", "portal", "POST", b"/give/x", [], body),
            left_ms=left_ms,
            objective_left_ms=300.0,
            priority=0,
            idempotent=idempotent,
        )
        cancel = self.link.offer(offer, self.outcomes.append)
        return cancel

    def _connect(self, endpoint, timeout_ms, done):
        self.connected = done
        return lambda: None


class Star:
    """Set up one daemon with links to `count` others of its data centre.

    Each daemon holds a configuration of its own, in `configs`; the first is that of the centre.
    """

    def __init__(self, monkeypatch, count, make_config):
        monkeypatch.setattr(outboundlinks, "connect", self._connect)
        self.clock = FakeClock()
        self.configs = [make_config() for _ in range(count + 1)]
        centre = make_host("d0", self.clock, FakeGate(), self.configs[0])
        self.links, self.pipes = [], []
        for number, config in enumerate(self.configs[1:], 1):
            peer = make_host(f"d{number}", self.clock, FakeGate(), config)
            self._link(centre, peer)

    def deliver(self):
        """Deliver everything on all pipes and return how many bytes the centre has sent."""
        sent_bytes = 0
        while any(pipe.undelivered for pipe in self.pipes):
            for pipe in self.pipes:
                sent_bytes += sum(len(data) for end, data in pipe.undelivered if end.side == 1)
                pipe.deliver()
        return sent_bytes

    def _link(self, centre, peer):
        link = OutboundLink(centre, peer.rows.own)
        link.tick(self.clock.now())
        pipe = Pipe()
        InboundLink(peer, pipe.ends[1])
        self.connected(pipe.ends[0])
        pipe.deliver()
        self.links.append(link)
        self.pipes.append(pipe)

    def _connect(self, endpoint, timeout_ms, done):
        self.connected = done
        return lambda: None
