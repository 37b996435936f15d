"""Simulate parts of a mesh under load: daemons with real gates and forwarders, links, targets."""

import random
from collections import Counter

import msgspec
from linkpipes import FakeTimeline

from egretworks.bytebudget import ByteBudget
from egretworks.calllog import CallLog
from egretworks.destinations import LocalDestination
from egretworks.edge import Heartbeat
from egretworks.forwardedcall import ForwardHost
from egretworks.forwarding import Forwarder
from egretworks.gate import Gate
from egretworks.gateinterface import GateHost
from egretworks.httpwire import Response
from egretworks.keycheck import KeyCheck
from egretworks.linkframes import GateReport
from egretworks.meshretrybudget import RetryBounds
from egretworks.metrics import Metrics
from egretworks.rows import DaemonRow
from egretworks.targetconnections import ExchangeFailure
from egretworks.targetselection import TargetEstimate
from egretworks.types import Endpoint, TargetState

NEAR_DELAY_MS, FAR_DELAY_MS = 0.3, 1.2
PING_MS = 1_000
# A target at which all slots are used is slower by this share.
FULL_SLOWDOWN = 0.3
# A target declines a request, or resets its connection, within this time.
DECLINE_MS = 0.5
# A target notices this late that the connection of a request was closed, and frees the slot.
ABORT_NOTICED_MS = 5.0
# A target that has just started is slower by this factor for this long.
COLD_SLOWNESS, COLD_MS = 2.0, 3_000
# A target leaves this long before its successor starts.
LEAVING_MS = 2_000


class SimTarget:
    """Run requests, each slower by the target's speed; one may call another service midway.

    Of all requests, the share `declines` is declined without being run. If it `resets`, a request
    that finds no free slot gets no answer.
    """

    def __init__(self, mesh, daemon, service, slots, slowness):
        self.mesh, self.daemon, self.service, self.slots = mesh, daemon, service, slots
        self.slowness = slowness
        self.declines = 0.0
        self.resets = False
        self.reset_count = 0
        self.cold_until = 0.0
        self.running = 0
        # Slots of aborted requests that the target has not noticed to be aborted.
        self._aborted = 0
        self.busy_ms = 0.0
        self.runs = Counter()

    def send(self, exchange):
        run = [exchange]
        id = call_id(exchange.data)
        kind = self.mesh.kinds[self.mesh.kind_by_id[id]]
        self.mesh.arrivals[self] += 1
        record = self.mesh.retry_record
        is_retry = record.add_arrival(self.service, id, self.mesh.time.now)
        if self.declines and self.mesh.random.random() < self.declines:
            return self._decline(exchange, id)
        if self.resets and self.running + self._aborted >= self.slots:
            return self._reset(exchange)
        self.runs[id] += 1
        self.running += 1
        usage = self.running / self.slots
        work_ms = kind.work_ms * self.slowness * (1 + FULL_SLOWDOWN * usage * usage)
        work_ms *= self.mesh.random.lognormvariate(0, kind.work_spread)
        work_ms = self._with_slow_times(work_ms)
        self.busy_ms += work_ms

        def end(status):
            if run:
                run.clear()
                self.running -= 1
                headers = [(b"X-Egret-Attempt-Id", id.encode()), (b"X-Egret-Stamp", b"s")]
                exchange.on_done(Response(status, headers, b""))

        def nested(calls_left):
            def finish(ok):
                if not ok:
                    end(500)
                elif calls_left > 1:
                    nested(calls_left - 1)
                else:
                    self.mesh.time.call_later(work_ms / 2, end, 200)

            if run:
                self.mesh.send_nested(self.daemon, kind.calls, finish, for_retry=is_retry)

        if kind.calls and self.mesh.random.random() < kind.calls_share:
            self.mesh.time.call_later(work_ms / 2, nested, kind.calls_times)
        else:
            self.mesh.time.call_later(work_ms, end, 200)

        def abort():
            if run:
                run.clear()
                self.running -= 1
                self._aborted += 1
                self.mesh.time.call_later(ABORT_NOTICED_MS, notice_abort)

        def notice_abort():
            self._aborted -= 1

        return abort

    def _with_slow_times(self, work_ms):
        """Return how long `work_ms` takes from now on, with a cold start and slow moments."""
        now, slow_moments = self.mesh.time.now, self.mesh.slow_moments
        if now < self.cold_until:
            work_ms *= COLD_SLOWNESS
        return work_ms if slow_moments is None else slow_moments.duration(self.daemon, now, work_ms)

    def _reset(self, exchange):
        self.reset_count += 1
        failure = [ExchangeFailure.BROKEN]
        self.mesh.time.call_later(DECLINE_MS, lambda: failure and exchange.on_done(failure.pop()))
        return failure.clear

    def close(self):
        """Do nothing: what still runs when a new target starts runs to its end."""

    def _decline(self, exchange, id):
        headers = [(b"X-Egret-Attempt-Id", id.encode()), (b"X-Egret-Not-Run", b"1")]
        answer = [Response(503, headers, b"")]
        self.mesh.time.call_later(DECLINE_MS, lambda: answer and exchange.on_done(answer.pop()))
        return answer.clear


class SlowMoments:
    """Slow down a few targets at a time, others in each interval."""

    def __init__(self, daemons, seed, count, factor=2.5, interval_ms=600.0):
        self._daemons, self._seed, self._count = daemons, seed, count
        self._factor, self._interval_ms = factor, interval_ms
        self._slow_by_number = {}

    def _is_slow(self, daemon, number):
        slow = self._slow_by_number.get(number)
        if slow is None:
            source = random.Random(f"{self._seed} {number}")
            slow = self._slow_by_number[number] = set(source.sample(self._daemons, self._count))
        return daemon in slow

    def duration(self, daemon, start, work_ms):
        """Return how long `work_ms` takes at the target of `daemon` if it starts at `start`."""
        number, now = int(start // self._interval_ms), start
        while True:
            factor = self._factor if self._is_slow(daemon, number) else 1.0
            number += 1
            left_ms = number * self._interval_ms - now
            if work_ms * factor <= left_ms:
                return now + work_ms * factor - start
            work_ms -= left_ms / factor
            now += left_ms


def call_id(data):
    """Return the id in the encoded request `data`."""
    return data.split(b"x-egret-attempt-id: ", 1)[1].split(b"\r\n", 1)[0].decode()


class SimLink:
    """Offer requests to another daemon's gate, knowing its load from outcomes and pings."""

    def __init__(self, mesh, own, peer):
        self.mesh, self.peer = mesh, peer
        self.near = own.data_centre == peer.data_centre
        self.delay_ms = NEAR_DELAY_MS if self.near else FAR_DELAY_MS
        self.name = peer.id
        self.in_flight = set()
        self.offers = 0
        self.report = GateReport(0, 0, 0.0)
        self.load_of_others = 0
        mesh.time.call_later(mesh.random.random() * PING_MS, self._ping)

    def offer(self, offer, reply):
        token = object()
        self.in_flight.add(token)
        self.offers += 1
        handles = []

        def arrive():
            if token in self.in_flight:
                handles.append(self.peer.gate.offer(offer, done))

        def done(outcome):
            self.mesh.time.call_later(self.delay_ms, arrived_back, outcome)

        def arrived_back(outcome):
            known = token in self.in_flight
            self.in_flight.discard(token)
            self._update(outcome.report)
            if known:
                reply(outcome)

        def cancel():
            self.in_flight.discard(token)
            self.mesh.time.call_later(self.delay_ms, lambda: [h.cancel() for h in handles])

        self.mesh.time.call_later(self.delay_ms, arrive)
        return cancel

    def estimate(self, now):
        report = self.report
        return TargetEstimate(
            self.load_of_others + len(self.in_flight),
            report.slots or self.peer.target.slots,
            report.work_ms,
            report.failing_percent,
            self.near,
            False,
            2 * self.delay_ms,
        )

    def _ping(self):
        self.mesh.time.call_later(self.delay_ms, self._update, self.peer.gate.report())
        self.mesh.time.call_later(PING_MS, self._ping)

    def _update(self, report):
        self.report = report
        self.load_of_others = max(0, report.load - len(self.in_flight))


class SimDaemon:
    """A daemon with its gate, its forwarder, a link to each other one and a target."""

    def __init__(self, mesh, number, data_centre, service, slots, slowness):
        self.mesh, self.id, self.data_centre, self.service = (
            mesh,
            f"d{number}",
            data_centre,
            service,
        )
        self.target = SimTarget(mesh, self, service, slots, slowness)
        calls = CallLog(FakeTimeline(), mesh.clock)
        self.gate = Gate(
            GateHost(
                *(mesh.clock, mesh.edge, Metrics(), FakeTimeline(), calls),
                lambda: 2_000.0,
                lambda service: None,
                lambda: None,
                ByteBudget(1_000_000),
                lambda calls: self.forwarder.allows_calls(calls),
            )
        )
        self._heartbeat = Heartbeat(
            *(f"i{number}", 1, 1, service, Endpoint("10.0.0.1", number + 1), slots),
            *(TargetState.READY, 0.0),
        )
        self._start_target()
        self.links = []
        self.forwarder = Forwarder(
            ForwardHost(
                *(mesh.clock, mesh.random, mesh.edge, Metrics(), calls, mesh),
                self.destinations,
                lambda: len(mesh.daemons),
                lambda: service,
                lambda: RetryBounds(0.2, 10_000, 60),
                -10_000.0,
                self.gate.running_requests,
                KeyCheck(mesh, None, None),
            )
        )
        self.local = LocalDestination(self.gate, self.id)

    def _start_target(self):
        self.gate.apply_announcement(self._heartbeat)
        self.gate._tracker.confirm(self._heartbeat.id)
        self.gate._connections = self.target

    def restart_target(self):
        """Let the target leave, and start a cold one in its place."""
        replace = msgspec.structs.replace
        leaving = replace(self._heartbeat, sequence=2, state=TargetState.LEAVING)
        self.gate.apply_announcement(leaving)
        self._heartbeat = replace(self._heartbeat, born=self._heartbeat.born + 1)

        def start():
            self.target.cold_until = self.mesh.time.now + COLD_MS
            self._start_target()

        self.mesh.time.call_later(LEAVING_MS, start)

    @property
    def row(self):
        return DaemonRow(
            *(self.id, self.data_centre, "10.0.0.1", 1, 1, 0),
            target=self.gate.row(),
        )

    def destinations(self, service):
        local = [self.local] if service == self.service and self.serves_target else []
        links = [link for link in self.links if link.peer.service == service]
        return local + [link for link in links if link.peer.serves_target]

    @property
    def serves_target(self):
        return self.gate._tracker.current.serving


class SimExchange:
    """A request of a caller, as the forwarder gets it."""

    def __init__(self, request, respond):
        self.request, self.respond, self.on_disconnect = request, respond, None
