"""Test that a link counts what it sends and logs a backlog once."""

from linkpipes import FakeClock

from egretworks.bytebudget import ByteBudget
from egretworks.linepacer import LinePacer
from egretworks.linkcoding import PlainCoding
from egretworks.linkframes import Cancel, ConfigRequest
from egretworks.linkline import LinkLine
from egretworks.linkstream import BACKLOG_BYTES, LinkStream
from egretworks.metrics import Metrics


class FakeStream:
    def __init__(self):
        self.written = []
        self.unsent_bytes = 0

    def write(self, data):
        self.written.append(data)


class FakeTimeline:
    def __init__(self):
        self.events = []

    def record(self, kind, **facts):
        self.events.append((kind, facts))


def make_link(coding=None):
    stream, metrics, timeline = FakeStream(), Metrics(), FakeTimeline()
    line = LinkLine(LinePacer(lambda: 0), FakeClock(), ByteBudget(1_000_000))
    return LinkStream(stream, metrics, timeline, line, coding), stream, metrics, timeline


def test_sent_bytes_are_counted_by_kind_of_frame():
    link, stream, metrics, _ = make_link(PlainCoding())
    link.send(Cancel(1))
    link.send(ConfigRequest())
    sent = [len(data) for data in stream.written]
    assert metrics.counts["link_sent_bytes_cancel"] == sent[0]
    assert metrics.counts["link_sent_bytes_configrequest"] == sent[1]


def test_a_backlog_is_logged_once_until_it_has_been_sent():
    link, stream, _, timeline = make_link(PlainCoding())
    for unsent in (0, BACKLOG_BYTES + 1, BACKLOG_BYTES + 9, 0, BACKLOG_BYTES + 1):
        stream.unsent_bytes = unsent
        link.send(Cancel(1))
    assert [kind for kind, _ in timeline.events] == ["link_backlogged"] * 2
    assert timeline.events[0][1]["facts"]["sent"] == {"cancel": 2 * len(stream.written[0])}


def test_the_inbound_end_sends_nothing_before_the_peer_has_selected_a_coding():
    link, stream, _, _ = make_link()
    link.send(Cancel(1))
    assert stream.written == []
    assert list(link.receive(PlainCoding.mark)) == []
    link.send(Cancel(1))
    assert len(stream.written) == 1
