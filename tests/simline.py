"""Simulate the network line of a machine, in virtual time and without sockets."""

import heapq
import itertools

from linkpipes import Daemons, FakeConfig, FakeGate, make_host

from egretworks.bytebudget import ByteBudget
from egretworks.clock import Millis
from egretworks.inboundlinks import InboundLink
from egretworks.linepacer import LinePacer
from egretworks.linkline import LinkLine
from egretworks.outboundlinks import OutboundLink

MBPS = 5
SEGMENT_BYTES = 1_448
HEADER_BYTES = 52
LATENCY_MS = 1.0
# What a kernel buffers for a connection, with and without a limit on unsent data.
SOCKET_BYTES = 2_500_000


class SimTimer:
    def __init__(self):
        self.cancelled = False

    def cancel(self):
        self.cancelled = True


class SimClock:
    """A clock that runs what is scheduled."""

    def __init__(self):
        self.at = 1_000.0
        self._calls = []
        self._numbers = itertools.count()

    def now(self):
        return Millis(self.at)

    def schedule(self, delay_ms, call, *arguments):
        timer = SimTimer()
        entry = (self.at + delay_ms, next(self._numbers), timer, call, arguments)
        heapq.heappush(self._calls, entry)
        return timer

    def run_for(self, ms):
        until = self.at + ms
        while self._calls and self._calls[0][0] <= until:
            self.at, _, timer, call, arguments = heapq.heappop(self._calls)
            if not timer.cancelled:
                call(*arguments)
        self.at = until


class SimLine:
    """Carry the segments of the connections of a machine in turn, at `mbps`."""

    def __init__(self, clock, mbps=MBPS):
        self.clock = clock
        self._bytes_per_ms = mbps * 125
        self._sending = []
        self._busy = False

    def wake(self, stream):
        if stream not in self._sending:
            self._sending.append(stream)
        if not self._busy:
            self._send_next()

    def _send_next(self):
        self._busy = bool(self._sending)
        if not self._busy:
            return
        stream = self._sending.pop(0)
        data = stream.take(SEGMENT_BYTES)
        took_ms = (len(data) + HEADER_BYTES) / self._bytes_per_ms
        self.clock.schedule(took_ms, self._sent, stream, data)

    def _sent(self, stream, data):
        self.clock.schedule(LATENCY_MS, stream.peer.arrive, data)
        if stream.buffer:
            self._sending.append(stream)
        stream.refill()
        self._send_next()


class SimStream:
    """One end of a connection, which sends over `line`."""

    def __init__(self, line):
        self.line, self.peer, self.user, self.on_drained = line, None, None, None
        self.buffer, self.unsent = bytearray(), bytearray()
        self.socket_bytes = SOCKET_BYTES
        self.closed = self.closing = False
        self.sent_bytes = 0

    @property
    def unsent_bytes(self):
        return len(self.unsent)

    def start(self, user):
        self.user = user

    def limit_unsent(self, size):
        self.socket_bytes = size

    def write(self, data):
        if self.closed or self.closing:
            return
        self.sent_bytes += len(data)
        self.unsent += data
        self._fill()

    def close(self):
        self.closed = True
        self.buffer.clear()
        self.unsent.clear()

    def close_when_sent(self):
        if self.unsent:
            self.closing = True
        else:
            # The kernel sends what it has accepted.
            self.closed = True

    def take(self, size):
        data = bytes(self.buffer[:size])
        del self.buffer[:size]
        return data

    def refill(self):
        if self.unsent:
            self._fill()
            if not self.unsent and self.closing:
                self.closed = True
            elif not self.unsent and self.on_drained is not None:
                self.on_drained()

    def arrive(self, data):
        if data and not self.closed:
            self.user.on_data(data)

    def _fill(self):
        room = max(0, self.socket_bytes - len(self.buffer))
        self.buffer += self.unsent[:room]
        del self.unsent[:room]
        if self.buffer:
            self.line.wake(self)


def connection(*lines):
    """Return both ends of a connection between the machines with these lines."""
    ends = [SimStream(line) for line in lines]
    ends[0].peer, ends[1].peer = ends[1], ends[0]
    return ends


def link_line(clock, mbps=MBPS, memory_bytes=50_000_000):
    return LinkLine(LinePacer(lambda: mbps), clock, ByteBudget(memory_bytes), clock.schedule)


class LineDaemons(Daemons):
    """Link the daemons d1 and d2 over simulated lines."""

    def __init__(self, monkeypatch, memory_bytes=50_000_000):
        monkeypatch.setattr("egretworks.outboundlinks.connect", self._connect)
        self.clock, self.gate = SimClock(), FakeGate()
        self.memory_bytes = memory_bytes
        self.calling, self.serving = self.make_host("d1"), self.make_host("d2")
        self.machine_lines = [SimLine(self.clock), SimLine(self.clock)]
        self.link = OutboundLink(self.calling, self.serving.rows.own)
        self.outcomes = []
        self.reconnect()

    def make_host(self, id):
        line = link_line(self.clock, memory_bytes=self.memory_bytes)
        return make_host(id, self.clock, self.gate, FakeConfig(), line=line)

    def reconnect(self):
        self.clock.run_for(1)
        self.link.tick(self.clock.now())
        self.ends = connection(*self.machine_lines)
        self.inbound = InboundLink(self.serving, self.ends[1])
        self.connected(self.ends[0])
        self.clock.run_for(20)

    def break_both(self):
        for end in self.ends:
            end.close()
        for end in self.ends:
            end.user.on_end(clean=False)
