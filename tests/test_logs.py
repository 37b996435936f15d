"""Test that logging never blocks the daemon and stays within its limits."""

import json
import logging
import os
import time

import pytest

from egretworks.calllog import BURST_LINES, LINES_PER_SECOND, CallLog, LineRateLimit, is_sampled
from egretworks.clock import SystemClock
from egretworks.logs import MAX_QUEUED_RECORDS, BoundedHandler, JsonFormatter
from egretworks.timeline import Timeline


def record(text):
    return logging.LogRecord("t", logging.INFO, "", 0, text, (), None)


def test_a_stalled_reader_blocks_nothing_and_dropped_lines_are_counted():
    reading, writing = os.pipe()
    with os.fdopen(writing, "w") as stream:
        handler = BoundedHandler(stream)
        handler.setFormatter(JsonFormatter("n1"))
        started = time.monotonic()
        for _ in range(MAX_QUEUED_RECORDS * 3):
            handler.handle(record("x" * 200))
        assert time.monotonic() - started < 1
        assert handler.dropped > 0
        data = b""
        while b"lines_dropped" not in data:
            data += os.read(reading, 65_536)
    line = next(line for line in data.splitlines() if b"lines_dropped" in line)
    assert json.loads(line)["count"] > 0
    os.close(reading)


def test_each_kind_of_line_has_a_burst_and_then_a_rate_and_suppressed_lines_are_counted():
    limit = LineRateLimit()
    taken = [limit.take("a", 0.0) for _ in range(BURST_LINES + 100)]
    assert taken.count(None) == 100
    assert limit.take("b", 0.0) == 0
    assert limit.take("a", 1_000.0) == 100


def test_a_flood_of_failures_stays_within_the_limit(caplog):
    class Clock(SystemClock):
        at = 0.0

        def now(self):
            return self.at

    clock = Clock()
    calls = CallLog(Timeline("n1", clock), clock)
    ids = [f"call-{number}" for number in range(6_000)]
    with caplog.at_level(logging.INFO):
        for id in ids:
            clock.at += 1.0
            calls.failure("call_refused", id, reason="busy")
    sampled = sum(is_sampled(id) for id in ids)
    assert len(caplog.records) <= BURST_LINES + 6 * LINES_PER_SECOND + sampled
    suppressed = sum(r.event["facts"].get("suppressed_before", 0) for r in caplog.records)
    assert suppressed > 5_000


def test_all_daemons_sample_the_same_calls(caplog):
    ids = [f"call-{number}" for number in range(3_000)]
    with caplog.at_level(logging.INFO):
        for name in ("n1", "n2"):
            calls = CallLog(Timeline(name, SystemClock()), SystemClock())
            for id in ids:
                calls.step("gate_handed", id, target="t")
    by_instance = {}
    for line in caplog.records:
        by_instance.setdefault(line.event["instance"], set()).add(line.event["call"])
    assert by_instance["n1"] == by_instance["n2"]
    assert 5 < len(by_instance["n1"]) < 60


@pytest.mark.parametrize("kind", ["call_refused", "call_failed", "call_answered"])
def test_the_facts_of_an_event_are_part_of_its_log_line(kind, caplog):
    timeline = Timeline("n1", SystemClock())
    with caplog.at_level(logging.INFO):
        timeline.record(kind, call="c", facts={"status": 503, "attempts": [{"daemon": "n2"}]})
    line = json.loads(JsonFormatter("n1").format(caplog.records[0]))
    assert line["event"]["facts"]["attempts"] == [{"daemon": "n2"}]
    assert (line["event"]["kind"], line["event"]["call"]) == (kind, "c")
