"""Test that large frames are sent in parts, hold up no others and never arrive partly."""

import signal
import threading
import time

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from linkpipes import REPORT, FakeClock, FakeTimeline
from processes import ask, wait_for
from simline import MBPS, LineDaemons, SimClock, SimLine, connection, link_line

from egretworks.bytebudget import ByteBudget
from egretworks.exceptions import PeerError
from egretworks.framequeue import OLDEST_FRAME_INTERVAL, FrameQueue
from egretworks.linepacer import MAX_DEBT_MS, LinePacer
from egretworks.linkcoding import CompressedCoding, PlainCoding
from egretworks.linkframes import (
    LENGTH_BYTES,
    LINK_PROTOCOL,
    MAX_INTERLEAVED_BYTES,
    MAX_PARTIAL_FRAMES,
    MAX_WHOLE_BYTES,
    PARTS_PROTOCOL,
    Answered,
    Cancel,
    ConfigCopy,
    FramePart,
    FrameReader,
    LossReason,
    Lost,
    RefusalReason,
    Refused,
    encode_frame,
)
from egretworks.linkstream import BACKLOG_BYTES, LinkStream
from egretworks.metrics import Metrics
from egretworks.outboundlinks import MAX_UNSENT_BYTES
from egretworks.partassembly import PartAssembler

LARGE_BYTES = 540_000
SMALL_BYTES = 1_500
MAX_SMALL_WAIT_MS = 50


def answered(serial, size):
    return Answered(serial, 200, [], bytes(size), REPORT)


class Receiver:
    """Record when each frame arrives at the other end of a link."""

    def __init__(self, clock, stream, line, coding):
        self.clock, self.at_by_serial, self.frames = clock, {}, []
        self.link = LinkStream(stream, Metrics(), FakeTimeline(), line, coding)
        self.link.start(self)

    def on_data(self, data):
        for frame in self.link.receive(data):
            self.frames.append(frame)
            if isinstance(frame, Answered):
                self.at_by_serial[frame.serial] = self.clock.at


class Machine:
    """A daemon that sends over `links` links, all on one line."""

    def __init__(self, links=1, reads_parts=True, coding=PlainCoding, mbps=MBPS):
        self.clock = SimClock()
        self.line = link_line(self.clock, mbps)
        sim_line = SimLine(self.clock)
        self.links, self.receivers, self.streams = [], [], []
        for _ in range(links):
            ours, theirs = connection(sim_line, SimLine(self.clock))
            link = LinkStream(ours, Metrics(), FakeTimeline(), self.line, coding())
            link.reads_parts = reads_parts
            self.receivers.append(Receiver(self.clock, theirs, link_line(self.clock), None))
            link.start(self)
            self.links.append(link)
            self.streams.append(ours)
        self.clock.run_for(100)

    def on_drained(self):
        pass

    def took_ms(self, serial, since, link=0):
        return self.receivers[link].at_by_serial[serial] - since


def wait_behind_large(machine, link=0, after_ms=100):
    """Return how long a small response takes that is sent while large ones are."""
    for each in machine.links:
        each.send(answered(1, LARGE_BYTES))
    machine.clock.run_for(after_ms)
    sent_at = machine.clock.at
    machine.links[link].send(answered(2, SMALL_BYTES))
    machine.clock.run_for(5_000)
    return machine.took_ms(2, sent_at, link)


# Guards against a small response that waits for all of a large one: 0.9 s at 5 Mbit/s.
@pytest.mark.parametrize("after_ms", (0, 1, 7, 100, 333))
def test_a_small_response_does_not_wait_for_a_large_one(after_ms):
    assert wait_behind_large(Machine(), after_ms=after_ms) < MAX_SMALL_WAIT_MS


# Shows what the build before did, which wrote each frame at once, as is still done to older peers.
def test_a_small_response_to_an_older_peer_waits_for_a_large_one():
    assert 850 < wait_behind_large(Machine(reads_parts=False), after_ms=0) < 950


# Guards against one link that fills the line for the others of its machine.
def test_two_links_of_a_daemon_share_its_line():
    machine = Machine(links=2)
    started_at = machine.clock.at
    assert wait_behind_large(machine, link=1) < MAX_SMALL_WAIT_MS
    took_ms = [machine.took_ms(1, started_at, link) for link in (0, 1)]
    # Neither waits for the other, and the line is used to nine tenths.
    assert abs(took_ms[0] - took_ms[1]) < 30
    assert max(took_ms) < 2 * LARGE_BYTES / (MBPS * 125) / 0.9


def test_a_large_response_is_delayed_little_by_pacing():
    machine = Machine()
    started_at = machine.clock.at
    machine.links[0].send(answered(1, LARGE_BYTES))
    machine.clock.run_for(5_000)
    assert machine.took_ms(1, started_at) < LARGE_BYTES / (MBPS * 125) / 0.9


# Guards against a stated rate that is missing: the socket's limit alone keeps the wait short.
def test_without_a_stated_rate_a_small_response_waits_for_one_connections_buffer():
    assert wait_behind_large(Machine(mbps=0)) < 2 * MAX_SMALL_WAIT_MS


# Guards against a response that waits for a larger one of another request.
def test_large_responses_take_turns():
    machine = Machine()
    machine.links[0].send(answered(1, LARGE_BYTES))
    machine.clock.run_for(100)
    sent_at = machine.clock.at
    machine.links[0].send(answered(2, 40_000))
    machine.clock.run_for(5_000)
    alone_ms = 40_000 / (MBPS * 125)
    assert machine.took_ms(2, sent_at) < alone_ms * 4 / 3 + MAX_SMALL_WAIT_MS


# Guards against a configuration that comes into force late at a daemon with many downloads.
def test_a_configuration_goes_before_responses_and_is_not_sent_twice():
    machine = Machine(links=4)
    for link in machine.links:
        link.send(answered(1, LARGE_BYTES))
        link.send(answered(2, 30_000))
    machine.clock.run_for(100)
    sent_at, copy = machine.clock.at, ConfigCopy(2, bytes(60_000))
    received = machine.receivers[3].frames
    for _ in range(3):
        machine.links[3].send(copy)
        machine.clock.run_for(20)
    while copy not in received:
        machine.clock.run_for(1)
    alone_ms = 60_000 / (MBPS * 125)
    assert machine.clock.at - sent_at < alone_ms * 4 / 3 + MAX_SMALL_WAIT_MS
    machine.clock.run_for(5_000)
    assert received.count(copy) == 1 and len(received) == 3


# Guards against a large response that is starved by a steady supply of smaller ones.
def test_the_oldest_response_always_proceeds():
    queue = FrameQueue(ByteBudget(10_000_000))
    queue.add("answered", bytes(40_000), 0)
    sizes_by_stream = {}
    for serial in range(1, 1 + 4 * OLDEST_FRAME_INTERVAL):
        queue.add("answered", bytes(17_000), serial)
        part = queue.next_part(10_000).part
        sizes_by_stream[part.stream] = sizes_by_stream.get(part.stream, 0) + len(part.data)
    assert sizes_by_stream[1] == 40_000


def test_the_pacer_counts_small_frames_up_to_a_bound():
    clock, pacer = FakeClock(), LinePacer(lambda: MBPS)
    pacer.charge(6_250, clock.now())
    assert pacer.wait_ms(clock.now()) == pytest.approx(10 / 0.92)
    for _ in range(100):
        pacer.charge(6_250, clock.now())
    assert pacer.wait_ms(clock.now()) == pytest.approx(MAX_DEBT_MS)


# Guards against large responses that never arrive because the stated rate is too low.
def test_small_frames_beyond_the_stated_rate_do_not_stop_large_ones():
    machine = Machine(mbps=MBPS * 0.4)
    machine.links[0].send(answered(0, 40_000))
    for serial in range(1, 200):
        machine.links[0].send(answered(serial, 3_125))
        machine.clock.run_for(10)
    assert 0 in machine.receivers[0].at_by_serial


def test_an_older_peer_gets_whole_frames(monkeypatch):
    daemons = LineDaemons(monkeypatch)
    assert LINK_PROTOCOL >= PARTS_PROTOCOL
    written = []
    monkeypatch.setattr(daemons.ends[1], "write", written.append)
    hello = msgspec.structs.replace(daemons.calling.hello("d2"), protocol=PARTS_PROTOCOL - 1)
    daemons.inbound.on_data(encode_frame(hello))
    daemons.inbound.send_frame(answered(1, LARGE_BYTES))
    assert FrameReader().feed(b"".join(written))[-1] == answered(1, LARGE_BYTES)


def offer_and_answer(daemons, sizes, idempotent=True):
    """Offer a request for each of `sizes` and give it a response of that size."""
    cancels = [daemons.offer(idempotent=idempotent) for _ in sizes]
    daemons.clock.run_for(20)
    for offer, size in zip(daemons.gate.offers[-len(sizes) :], sizes, strict=True):
        offer.reply(answered(offer.offer.serial, size))
    return cancels


def assert_nothing_held(daemons):
    for host in (daemons.calling, daemons.serving):
        assert (host.line.budget.reserved, host.line.queued_bytes) == (0, 0)


# Guards against a line that is filled with a response whose caller has left.
def test_a_cancelled_response_stops_and_the_next_arrives_whole(monkeypatch):
    daemons = LineDaemons(monkeypatch)
    cancels = offer_and_answer(daemons, [LARGE_BYTES, LARGE_BYTES])
    daemons.clock.run_for(200)
    sent_bytes = daemons.ends[1].sent_bytes
    cancels[0]()
    daemons.clock.run_for(1_100)
    assert [outcome.serial for outcome in daemons.outcomes] == [2]
    assert daemons.outcomes[0].body == bytes(LARGE_BYTES)
    assert daemons.ends[1].sent_bytes < sent_bytes + LARGE_BYTES + 20_000
    assert_nothing_held(daemons)
    daemons.clock.run_for(1_000)
    assert len(daemons.outcomes) == 1


# Guards against a truncated response that counts as complete.
@pytest.mark.parametrize("idempotent", (True, False))
def test_a_link_that_ends_midway_delivers_nothing_partial(monkeypatch, idempotent):
    daemons = LineDaemons(monkeypatch)
    offer_and_answer(daemons, [LARGE_BYTES], idempotent)
    daemons.clock.run_for(500)
    assert daemons.calling.line.budget.reserved > 100_000
    daemons.break_both()
    daemons.reconnect()
    daemons.clock.run_for(2_000)
    assert [outcome.reason for outcome in daemons.outcomes] == [LossReason.LINK_LOST]
    assert_nothing_held(daemons)
    offer_and_answer(daemons, [LARGE_BYTES])
    daemons.clock.run_for(1_500)
    assert daemons.outcomes[-1].body == bytes(LARGE_BYTES)


# Guards against memory and line time that a response takes whose link ended while it was awaited.
def test_a_queried_response_is_dropped_when_its_link_has_ended(monkeypatch):
    daemons = LineDaemons(monkeypatch)
    daemons.offer()
    daemons.clock.run_for(20)
    for _ in range(2):
        daemons.break_both()
        daemons.reconnect()
    daemons.break_both()
    sent_bytes = daemons.ends[1].sent_bytes
    daemons.gate.offers[0].reply(answered(1, LARGE_BYTES))
    assert_nothing_held(daemons)
    assert daemons.ends[1].sent_bytes == sent_bytes


# Guards against a request that must not be repeated and is reported as possibly run: later small
# requests overtake it, so that the peer cannot tell that it never arrived.
def test_a_request_that_was_not_sent_completely_is_refused_when_its_link_ends(monkeypatch):
    daemons = LineDaemons(monkeypatch)
    daemons.offer(body=bytes(LARGE_BYTES))
    daemons.offer()
    daemons.clock.run_for(100)
    assert [offer.offer.serial for offer in daemons.gate.offers] == [2]
    daemons.break_both()
    assert [outcome.reason for outcome in daemons.outcomes] == [RefusalReason.CANCELLED]
    daemons.gate.offers[0].answer()
    daemons.reconnect()
    daemons.clock.run_for(2_000)
    assert [type(outcome) for outcome in daemons.outcomes] == [Refused, Answered]
    assert len(daemons.gate.offers) == 1


def test_a_request_that_is_cancelled_before_it_is_sent_completely_never_runs(monkeypatch):
    daemons = LineDaemons(monkeypatch)
    cancel = daemons.offer(body=bytes(LARGE_BYTES))
    daemons.clock.run_for(100)
    cancel()
    daemons.offer()
    daemons.clock.run_for(2_000)
    assert [offer.offer.serial for offer in daemons.gate.offers] == [2]
    assert_nothing_held(daemons)


# Guards against a planned stop that cuts off responses that have been given.
def test_a_link_that_is_closed_sends_all_outcomes_first(monkeypatch):
    daemons = LineDaemons(monkeypatch)
    offer_and_answer(daemons, [LARGE_BYTES, SMALL_BYTES, LARGE_BYTES])
    assert daemons.inbound.unsent_bytes > 2 * LARGE_BYTES - 50_000
    daemons.inbound.close()
    daemons.clock.run_for(1_000)
    assert daemons.inbound.unsent_bytes and not daemons.ends[1].closed
    daemons.clock.run_for(1_000)
    assert sorted(outcome.serial for outcome in daemons.outcomes) == [1, 2, 3]
    assert daemons.ends[1].closed and not daemons.inbound.unsent_bytes


def test_what_waits_in_the_queue_counts_as_unsent(monkeypatch):
    daemons = LineDaemons(monkeypatch)
    events = []
    monkeypatch.setattr(daemons.calling.timeline, "record", lambda kind, **_: events.append(kind))
    daemons.offer(body=bytes(BACKLOG_BYTES + 30_000))
    assert events == ["link_backlogged"]
    assert daemons.link.usable
    daemons.offer(body=bytes(MAX_UNSENT_BYTES))
    assert not daemons.link.usable


# Guards against responses that pile up for a peer that reads nothing.
def test_responses_for_a_peer_that_stops_reading_are_bounded(monkeypatch):
    daemons = LineDaemons(monkeypatch, memory_bytes=2_000_000)
    offer_and_answer(daemons, [LARGE_BYTES] * 6)
    assert daemons.serving.line.budget.reserved <= 2 * LARGE_BYTES
    assert daemons.serving.metrics.counts["link_answers_dropped"] == 5
    daemons.clock.run_for(2_000)
    assert [type(outcome) for outcome in daemons.outcomes] == [Lost] * 5 + [Answered]
    assert_nothing_held(daemons)


def test_a_request_for_which_the_queue_has_no_memory_is_refused(monkeypatch):
    daemons = LineDaemons(monkeypatch, memory_bytes=1_000_000)
    daemons.offer(body=bytes(LARGE_BYTES))
    daemons.offer(body=bytes(LARGE_BYTES))
    assert [outcome.reason for outcome in daemons.outcomes] == [RefusalReason.BUSY]


def endless():
    return (FramePart(1, False, bytes(60_000)) for _ in range(1_000))


def many():
    return (FramePart(number, False, b"x") for number in range(1_000))


def interleaved():
    return (FramePart(number % MAX_PARTIAL_FRAMES, False, bytes(60_000)) for number in range(1_000))


def empty():
    return [FramePart(1, False, b"")]


def nested():
    return [FramePart(1, True, encode_frame(FramePart(2, True, b"x"))[LENGTH_BYTES:])]


# Guards against a peer that decides how much memory this daemon occupies.
@pytest.mark.parametrize(
    ("parts", "max_held_bytes"),
    (
        (endless, 50_000_000),
        (many, MAX_PARTIAL_FRAMES),
        (interleaved, 2 * MAX_INTERLEAVED_BYTES),
        (empty, 0),
        (nested, 0),
    ),
)
@pytest.mark.parametrize("side", (0, 1))
def test_a_peer_that_sends_parts_without_bound_is_disconnected(
    monkeypatch, parts, max_held_bytes, side
):
    daemons = LineDaemons(monkeypatch)
    end = daemons.ends[side]
    budget = (daemons.calling, daemons.serving)[side].line.budget
    held_bytes = 0
    for part in parts():
        end.user.on_data(encode_frame(part))
        held_bytes = max(held_bytes, budget.reserved)
        if end.closed:
            break
    assert end.closed
    assert held_bytes <= max_held_bytes
    assert budget.reserved == 0


def test_an_assembled_frame_is_limited_in_size(monkeypatch):
    monkeypatch.setattr("egretworks.partassembly.MAX_FRAME_BYTES", 100_000)
    assembler = PartAssembler(ByteBudget(1_000_000))
    assembler.add(FramePart(1, False, bytes(60_000)))
    with pytest.raises(PeerError):
        assembler.add(FramePart(1, False, bytes(60_000)))


# Guards against a sender that is disconnected because it exceeds the bounds of its peer.
@given(st.lists(st.integers(20_000, 6_000_000), max_size=40), st.randoms(use_true_random=False))
def test_the_queue_keeps_the_bounds_of_the_receiver(sizes, random):
    queue, budget = FrameQueue(ByteBudget(10**9)), ByteBudget(10**9)
    assembler, completed = PartAssembler(budget), 0
    waiting = list(sizes)
    while waiting or queue.waiting_bytes:
        if waiting and random.random() < 0.3:
            # Sizes may be equal, and an equal frame without a serial is not added again.
            serial = len(waiting) if random.random() < 0.8 else None
            queue.add("answered", len(waiting).to_bytes(waiting.pop(), "big"), serial)
        elif (queued := queue.next_part(500_000)) is not None:
            completed += assembler.add(queued.part) is not None
    assert completed == len(sizes)
    assert budget.reserved == 0


# Guards against the same where each new frame is smaller than what is left of those before.
@pytest.mark.parametrize(
    ("sizes", "part_bytes"),
    (
        ([100_000 - 1_000 * number for number in range(30)], 500),
        ([10_000_000, 5_400_000, 1_100_000], 4_500_000),
    ),
)
def test_smaller_frames_are_started_only_within_the_bounds_of_the_receiver(sizes, part_bytes):
    queue, assembler = FrameQueue(ByteBudget(10**9)), PartAssembler(ByteBudget(10**9))
    completed = 0
    for serial, size in enumerate(sizes):
        queue.add("answered", bytes(size), serial)
        completed += assembler.add(queue.next_part(part_bytes).part) is not None
    while (queued := queue.next_part(part_bytes)) is not None:
        completed += assembler.add(queued.part) is not None
    assert completed == len(sizes)


class BlockingStream:
    """A stream that accepts what is written only while it is not blocked."""

    def __init__(self):
        self.written, self.unsent_bytes, self.on_drained = [], 0, None

    def start(self, user):
        pass

    def limit_unsent(self, size):
        pass

    def write(self, data):
        self.written.append(data)

    def block(self):
        self.unsent_bytes = 1

    def unblock(self):
        self.unsent_bytes = 0
        self.on_drained()


LARGE_SIZES = st.integers(MAX_WHOLE_BYTES, 90_000)
STEPS = st.one_of(
    st.tuples(st.just("send"), st.one_of(st.integers(0, 300), LARGE_SIZES)),
    st.tuples(st.sampled_from(["block", "unblock", "timer"]), st.just(0)),
    st.tuples(st.just("drop"), st.integers(0, 30)),
)


@given(
    st.lists(STEPS, max_size=60),
    st.sampled_from([PlainCoding, CompressedCoding]),
    st.sampled_from([0, MBPS]),
    st.integers(1, 70_000),
)
def test_frames_arrive_whole_and_small_ones_in_order(steps, coding, mbps, received_bytes):
    clock, stream = SimClock(), BlockingStream()
    link = LinkStream(stream, Metrics(), FakeTimeline(), link_line(clock, mbps), coding())
    link.reads_parts = True
    link.start(None)
    sent, dropped = {}, set()
    for step, value in steps:
        if step == "send":
            serial = len(sent)
            sent[serial] = answered(serial, value)
            assert link.send(sent[serial])
        elif step == "drop":
            if link.drop(value):
                dropped.add(value)
        elif step == "timer":
            clock.run_for(10)
        else:
            getattr(stream, step)()
    stream.unblock()
    clock.run_for(60_000)
    assert link.unsent_bytes == 0
    receiver = LinkStream(BlockingStream(), Metrics(), FakeTimeline(), link_line(clock))
    data, received = b"".join(stream.written), []
    for start in range(0, len(data), received_bytes):
        received += receiver.receive(data[start : start + received_bytes])
    assert {frame.serial: frame for frame in received} == {
        serial: frame for serial, frame in sent.items() if serial not in dropped
    }
    assert len(received) == len(sent) - len(dropped)
    small = [f.serial for f in received if len(encode_frame(f)) <= MAX_WHOLE_BYTES]
    assert small == sorted(small)


# Guards against parts that pile up in a connection, where nothing can go before them.
def test_no_part_is_written_to_a_connection_that_has_unsent_data():
    stream = BlockingStream()
    link = LinkStream(stream, Metrics(), FakeTimeline(), link_line(SimClock(), 0), PlainCoding())
    link.reads_parts = True
    link.start(None)
    stream.block()
    written = len(stream.written)
    for serial in range(3):
        link.send(answered(serial, LARGE_BYTES))
    assert len(stream.written) == written
    stream.unblock()
    assert len(stream.written) > 3 * LARGE_BYTES / MAX_WHOLE_BYTES
    assert link.unsent_bytes == 0


def test_parts_are_counted_under_the_kind_of_their_frame():
    machine = Machine()
    metrics = machine.links[0]._metrics
    machine.links[0].send(Cancel(7))
    machine.links[0].send(answered(1, LARGE_BYTES))
    machine.clock.run_for(2_000)
    assert metrics.counts["link_parts_sent"] > LARGE_BYTES / MAX_WHOLE_BYTES
    assert metrics.counts["link_sent_bytes_answered"] > LARGE_BYTES
    assert "link_sent_bytes_framepart" not in metrics.counts


# Guards against a pacer that works in virtual time only, and against parts that real daemons lose.
def test_real_daemons_pace_a_large_response_and_send_small_ones_meanwhile(sidecars):
    portal, ledger = sidecars.start("portal", "ledger")
    with ledger.settings.open("a") as settings:
        settings.write(f"link_mbps = {MBPS}\n")
    ledger.signal(signal.SIGHUP)
    wait_for(lambda: ledger.events("settings_reloaded"), "the settings to be reloaded")
    large = bytes(range(250)) * (LARGE_BYTES // 250)
    ledger.target.answer = lambda id, _: ledger.target.response(
        id, large if id == "large" else b"small"
    )
    took_s, bodies = [], []

    def download():
        began = time.monotonic()
        bodies.append(portal.call("/give/x", id="large", left_ms=5_000)[2])
        took_s.append(time.monotonic() - began)

    thread = threading.Thread(target=download)
    thread.start()
    wait_for(lambda: "large" in ledger.target.runs, "the request to run")
    for number in range(3):
        status, _, body = portal.call("/give/x", id=f"small-{number}", left_ms=3_000)
        assert (status, body, bodies) == (200, b"small", [])
    thread.join()
    assert bodies == [large]
    assert took_s[0] > LARGE_BYTES / (MBPS * 125) / 1_000
    page = ask(ledger.ports["metrics"], "GET", "/metrics")[2].decode()
    assert "egret_link_queue_bytes 0.0" in page
    assert "egret_link_parts_sent_total" in page
    assert "egret_answers_held_bytes 0.0" in page
