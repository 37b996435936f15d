"""Test that a call can be reconstructed from the logs of several daemons."""

import json
import subprocess
import sys

import pytest

from egretworks.exceptions import CallNotLogged
from egretworks.explain import explain, format_trace, read_events


def line(at_ms, instance, kind, **fields):
    event = {"at_ms": at_ms, "instance": instance, "serial": 1, "kind": kind, **fields}
    return json.dumps({"at_ms": at_ms, "message": kind, "event": event})


LINES = [
    "   1.25 n1 "
    + line(
        5_200,
        "n1",
        "call_refused",
        call="c1",
        facts={
            "status": 503,
            "attempts": [{"daemon": "n2", "outcome": "refused busy", "load": 9}],
        },
    ),
    line(5_100, "n2", "gate_refused", call="c1", facts={"reason": "busy", "target": "i-2"}),
    line(4_000, "n2", "target_changed", target="i-2", detail="serving=True"),
    line(4_500, "n9", "target_changed", target="i-9"),
    line(1_000, "n1", "config_in_force", version=7),
    line(5_150, "n2", "gate_refused", call="c2"),
    '{"message": "no event"}',
    "a line of another program",
    '{"event": {"at_ms": 3',
]


def test_the_trace_has_the_events_of_the_call_and_the_state_events_of_its_daemons():
    trace = explain("c1", read_events(LINES))
    assert [event.kind for event in trace.events] == ["gate_refused", "call_refused"]
    assert [event.kind for event in trace.beliefs] == ["config_in_force", "target_changed"]
    text = format_trace(trace)
    assert text.index("config_in_force") < text.index("gate_refused") < text.index("attempt 1")


def test_a_call_without_log_lines_raises_call_not_logged():
    with pytest.raises(CallNotLogged):
        explain("c3", read_events(LINES))


def test_the_explain_command_reads_files_and_standard_input(tmp_path):
    path = tmp_path / "log"
    path.write_text("\n".join(LINES))
    command = [sys.executable, "-m", "egretworks.cmdline", "explain", "c1"]
    by_file = subprocess.run([*command, str(path)], capture_output=True, text=True)
    piped = subprocess.run(command, input=path.read_text(), capture_output=True, text=True)
    assert by_file.stdout == piped.stdout
    assert "call_refused" in by_file.stdout
    missing = subprocess.run([*command[:-1], "c9", str(path)], capture_output=True, text=True)
    assert missing.returncode == 5
