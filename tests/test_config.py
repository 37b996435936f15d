"""Test the checks of settings, their errors, and the page generated from the definitions."""

import subprocess
import sys

import pytest
from processes import ROOT, ask, free_port, wait_for

from egretworks.config import read_settings
from egretworks.exceptions import SettingsError
from egretworks.settingspage import render

GOOD = """
[instance]
id = "d1"
data_centre = "zg-trnje"
host = "127.0.0.1"
call_port = 7100
operator_port = 7101
peer_port = 7102
[platform]
address = "127.0.0.1:7000"
"""


def read(tmp_path, text):
    path = tmp_path / "egretd.toml"
    path.write_text(text)
    return read_settings(path)


def egretd(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "egretworks.egretd", *map(str, arguments)],
        capture_output=True,
        text=True,
        cwd=ROOT,
        timeout=60,
    )


def test_missing_keys_get_their_defaults(tmp_path):
    assert read(tmp_path, GOOD).calls.max_depth == 11


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (("[platform]", "[calls]\nspeed = 9\n[platform]"), "unknown field `speed` - at `$.calls`"),
        (("call_port = 7100", "call_port = 70000"), "$.instance.call_port"),
        (('id = "d1"', ""), "missing required field `id` - at `$.instance`"),
        (("operator_port = 7101", "operator_port = 7100"), "must differ"),
        (('host = "127.0.0.1"', 'host = "localhost"'), "instance.host"),
        (("[instance]", "[instance"), "line 2"),
    ],
)
def test_errors_name_the_key(tmp_path, change, expected):
    with pytest.raises(SettingsError) as raised:
        read(tmp_path, GOOD.replace(*change))
    assert expected in raised.value.message


def test_check_settings_prints_and_exits_with_its_result(tmp_path):
    good, bad = tmp_path / "good.toml", tmp_path / "bad.toml"
    good.write_text(GOOD)
    bad.write_text(GOOD + "[nonsense]\n")
    done = egretd("--check-settings", good)
    assert (done.returncode, done.stdout) == (0, f"{good}: ok\n")
    done = egretd("--check-settings", bad)
    assert done.returncode == 3
    assert "unknown field `nonsense`" in done.stderr
    assert "next:" in done.stderr


def test_a_port_in_use_is_reported_with_the_next_step(mesh, tmp_path):
    (daemon,) = mesh.start_daemons(1)
    taken = GOOD.replace("7100", str(daemon.call_port))
    for port in ("7101", "7102"):
        taken = taken.replace(port, str(free_port()))
    path = tmp_path / "taken.toml"
    path.write_text(taken)
    done = egretd(path)
    assert done.returncode == 3
    assert "can't be opened" in done.stderr
    assert "next:" in done.stderr


def test_without_a_platform_the_daemon_runs_unready_and_records_an_event(mesh):
    absent = free_port()
    (daemon,) = mesh.start_daemons(1, platform_port=absent)
    wait_for(
        lambda: any(e["kind"] == "platform_unreachable" for e in daemon.events()),
        "the daemon to record that the platform can't be reached",
    )
    assert daemon.status()["platform_reached"] is False
    assert ask(daemon.operator_port, "GET", "/readyz")[0] == 503
    assert ask(daemon.operator_port, "GET", "/healthz")[0] == 200


def test_the_settings_page_matches_the_definitions():
    page = (ROOT / "docs" / "SETTINGS.md").read_text()
    assert page == render()
    assert "| `max_depth` | `11` | Maximum number of hops" in page
