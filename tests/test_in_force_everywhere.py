"""Test that daemons never roll back, apply versions atomically, and converge despite failures."""

import json
import signal
import threading

import msgspec
import pytest
from faultproxy import Fault
from processes import LEDGER_TICKET, ROOT, ask, wait_for

from egretworks.resources import Service, TicketBody
from egretworks.state import MeshState, change_for
from egretworks.types import TicketNumber


def ticket_text(number):
    return f'title = "ticket {number}"\n[[services]]\nname = "s{number}"\n'


def assert_versions_only_rise(daemons):
    """Check in each daemon's log that versions only rise during one run of its process."""
    for daemon in daemons:
        version = 0
        for event in daemon.log_events():
            if event["kind"] == "started":
                version = 0
            if event["kind"] == "in_force":
                assert event["version"] > version, (daemon.id, event)
                version = event["version"]


def assert_never_ready_below_earlier_version(daemon):
    """Check over all runs in the log that no run is ready at a version below an earlier one."""
    highest = 0
    for event in daemon.log_events():
        if event["kind"] == "ready":
            assert event["version"] >= highest, event
        if event["kind"] == "in_force":
            highest = max(highest, event["version"])


def test_a_replaced_daemon_serves_nothing_older_while_its_peers_lag_and_the_platform_is_down(mesh):
    proxy = mesh.proxy(mesh.platform.port)
    ahead, frozen_ahead, lagging = mesh.start_daemons(3, platform_port=proxy.port)
    mesh.put_in_force(LEDGER_TICKET)
    lagging.signal(signal.SIGSTOP)
    # Otherwise an answer to its watch could wait in the socket buffer until the daemon is resumed.
    proxy.cut_connections()
    mesh.ctl("file", mesh.ticket_file(ticket_text(2)))
    mesh.ctl("accept", 2)
    mesh.await_version(2, [ahead, frozen_ahead])
    mesh.platform.faults(outage=True)
    frozen_ahead.signal(signal.SIGSTOP)
    ahead.kill()
    lagging.signal(signal.SIGCONT)
    ahead.start()
    wait_for(lambda: ahead.version() == 1, "the lagging peer's version to be applied")
    # It must not become ready however long this lasts; the test waits for four join attempts.
    wait_for(lambda: join_attempts(ahead) >= 4, "the replaced daemon to contact its seeds")
    with pytest.raises(ConnectionRefusedError):
        ahead.call("/ledger/x")
    frozen_ahead.signal(signal.SIGCONT)
    mesh.await_version(2, [ahead])
    assert_never_ready_below_earlier_version(ahead)
    assert_versions_only_rise(mesh.daemons)


def join_attempts(daemon):
    """Return how often the daemon has tried to join, from its metrics."""
    text = ask(daemon.operator_port, "GET", "/metrics")[2].decode()
    lines = [line for line in text.splitlines() if line.startswith("egret_joins_total")]
    return float(lines[0].split()[1]) if lines else 0


def test_a_replaced_daemon_catches_up_from_its_peers_while_the_platform_is_down(mesh):
    daemons = mesh.start_daemons(3)
    mesh.put_in_force(LEDGER_TICKET)
    mesh.platform.kill()
    daemons[0].kill()
    daemons[0].start()
    mesh.await_version(1, daemons[:1])


def test_a_daemon_without_live_peers_becomes_ready_from_the_platform(mesh):
    daemons = mesh.start_daemons(3)
    mesh.put_in_force(LEDGER_TICKET)
    for daemon in daemons:
        daemon.kill()
    daemons[1].start()
    mesh.await_version(1, daemons[1:2])


def test_a_platform_that_serves_stale_state_after_an_outage_rolls_no_daemon_back(mesh):
    daemons = mesh.start_daemons(2)
    mesh.put_in_force(LEDGER_TICKET)
    ask(mesh.platform.port, "PUT", "/admin/save")
    mesh.put_in_force(ticket_text(2))
    mesh.platform.faults(outage=True)
    wait_for(lambda: any(d.status()["platform_reached"] is False for d in daemons), "the outage")
    mesh.platform.faults(outage=False, stale=True)
    wait_for(lambda: any(d.status()["platform_reached"] for d in daemons), "the platform")
    assert [daemon.version() for daemon in daemons] == [2, 2]
    mesh.platform.faults(stale=False)
    mesh.put_in_force(ticket_text(3))
    assert_versions_only_rise(daemons)


def test_a_watch_whose_history_was_compacted_recovers_by_a_full_read(mesh):
    daemons = mesh.start_daemons(2)
    mesh.put_in_force(LEDGER_TICKET)
    mesh.platform.faults(outage=True)
    wait_for(lambda: any(d.status()["platform_reached"] is False for d in daemons), "the outage")
    mesh.platform.faults(outage=False)
    ask(mesh.platform.port, "PUT", "/admin/compact")
    mesh.put_in_force(ticket_text(2))
    ask(mesh.platform.port, "PUT", "/admin/compact")
    mesh.put_in_force(ticket_text(3))
    assert_versions_only_rise(daemons)


def put_change(mesh, version, change):
    body = json.dumps(change).encode() if isinstance(change, dict) else msgspec.json.encode(change)
    path = f"/v1/objects/changes/{version:012d}"
    assert ask(mesh.platform.port, "PUT", path, body, {"If-None-Match": "*"})[0] == 200


@pytest.mark.parametrize("kind", ["unknown policy", "unknown field", "wrong digest"])
def test_a_version_with_one_bad_resource_is_refused_as_a_whole_by_every_daemon(mesh, kind):
    daemons = mesh.start_daemons(2)
    mesh.put_in_force(LEDGER_TICKET)
    digest = daemons[0].status()["digest"]
    services = (Service(name="good"), Service(name="odd"))
    if kind == "unknown policy":
        services = (Service(name="good"), Service(name="odd", balance="dice"))
    state = MeshState(version=1, digest=digest)
    body = TicketBody(title="bad", services=services)
    change = msgspec.to_builtins(change_for(state, TicketNumber(2), body))
    if kind == "unknown field":
        change["body"]["services"][1]["colour"] = "red"
    if kind == "wrong digest":
        change["digest"] = "beef"
    put_change(mesh, 2, change)
    for daemon in daemons:
        wait_for(lambda d=daemon: d.status()["refused_version"] == 2, "the refusal")
        assert daemon.status()["refused_reason"]
        assert (daemon.version(), daemon.status()["digest"]) == (1, digest)


def test_a_daemon_that_cannot_apply_a_version_keeps_the_previous_one_and_is_reported(mesh):
    mesh.start_daemons(2)
    older = mesh.daemons[1]
    older.kill()
    older.arguments = [str(ROOT / "tests" / "olderbuild.py"), str(older.settings)]
    older.start()
    newer = mesh.daemons[0]
    mesh.ctl("file", mesh.ticket_file(LEDGER_TICKET))
    mesh.ctl("accept", 1)
    mesh.await_version(1)
    text = ticket_text(2) + 'balance = "two_choices"\n[[services]]\nname = "fine"\n'
    mesh.ctl("file", mesh.ticket_file(text))
    mesh.ctl("accept", 2)
    mesh.await_version(2, [newer])
    wait_for(lambda: older.status()["refused_version"] == 2, "the older build's refusal")
    assert older.version() == 1
    by_daemon = {s["daemon"]: s for s in mesh.ctl("show", 2, "--json")["standings"]}
    assert by_daemon["d0"]["in_force"] and not by_daemon["d1"]["in_force"]
    assert "two_choices" in by_daemon["d1"]["refused"]
    wait_for(lambda: "two_choices" in mesh.platform.object("status", "zg-trnje"), "the status")


def test_calls_to_a_service_are_refused_until_a_target_announces_itself(mesh):
    (daemon,) = mesh.start_daemons(1)
    mesh.put_in_force(LEDGER_TICKET)
    status, headers, body = daemon.call("/ledger/x", headers={"Egret-Deadline-Ms": "200"})
    assert (status, headers["Egret-Not-Run"]) == (503, "true")
    assert "no target has announced" in json.loads(body)["message"]
    mesh.start_target("t0", "ledger", daemon)
    wait_for(lambda: daemon.call("/ledger/x")[0] == 200, "the target to be used")


def test_daemons_restarted_in_groups_while_tickets_are_accepted_reach_the_last_version(mesh):
    daemons = mesh.start_daemons(6, data_centres=("zg-trnje", "zg-dubrava"))
    mesh.put_in_force(LEDGER_TICKET)
    for turn in range(2):
        group = daemons[turn : turn + 5]
        for daemon in group:
            daemon.kill()
        mesh.ctl("file", mesh.ticket_file(ticket_text(turn)))
        accepting = threading.Thread(target=mesh.ctl, args=("accept", turn + 2))
        accepting.start()
        for daemon in group:
            daemon.start()
        accepting.join()
        mesh.await_version(turn + 2)
    assert_versions_only_rise(daemons)
    assert len({daemon.status()["digest"] for daemon in daemons}) == 1


def test_a_data_centre_that_is_frozen_and_resumed_reaches_the_last_version(mesh):
    daemons = mesh.start_daemons(6, data_centres=("zg-trnje", "zg-dubrava"))
    mesh.put_in_force(LEDGER_TICKET)
    frozen, others = daemons[::2], daemons[1::2]
    for daemon in frozen:
        daemon.signal(signal.SIGSTOP)
    for number in (2, 3, 4):
        mesh.ctl("file", mesh.ticket_file(ticket_text(number)))
        mesh.ctl("accept", number)
    mesh.await_version(4, others)
    wait_for(
        lambda: all(d.status()["members"] == 3 for d in others),
        "the frozen daemons not to be counted as members",
    )
    for daemon in frozen:
        daemon.signal(signal.SIGCONT)
    mesh.await_version(4)
    wait_for(lambda: all(d.status()["members"] == 6 for d in daemons), "all to be members again")
    assert_versions_only_rise(daemons)


def test_watches_that_keep_breaking_only_delay_a_version(mesh):
    proxy = mesh.proxy(mesh.platform.port)
    daemons = mesh.start_daemons(3, platform_port=proxy.port)
    mesh.put_in_force(LEDGER_TICKET)
    stop = threading.Event()

    def cut_repeatedly():
        while not stop.wait(0.15):
            proxy.cut_connections()

    cutter = threading.Thread(target=cut_repeatedly)
    cutter.start()
    try:
        for number in range(2, 6):
            mesh.put_in_force(ticket_text(number))
    finally:
        stop.set()
        cutter.join()
    assert_versions_only_rise(daemons)


def test_a_ticket_accepted_while_daemons_are_cut_off_comes_into_force_on_reconnect(mesh):
    proxy = mesh.proxy(mesh.platform.port)
    daemons = mesh.start_daemons(2, platform_port=proxy.port)
    mesh.put_in_force(LEDGER_TICKET)
    proxy.set(Fault.CUT)
    mesh.ctl("file", mesh.ticket_file(ticket_text(2)))
    mesh.ctl("accept", 2)
    assert [daemon.version() for daemon in daemons] == [1, 1]
    proxy.set(Fault.NONE)
    mesh.await_version(2)


# The platform allows 2,000 reads and several hundred writes a second. If the 2,000 daemons of a
# data centre reconnect within ten seconds, each may make ten reads and one write.
MAX_READS_PER_DAEMON = 10
MAX_WRITES_PER_DAEMON = 1


def test_a_reconnect_storm_stays_within_the_rate_limits_of_the_platform(mesh):
    daemons = mesh.start_daemons(8, data_centres=("zg-trnje", "zg-dubrava"))
    mesh.put_in_force(LEDGER_TICKET)
    for daemon in daemons:
        daemon.kill()
    before = mesh.platform.counts()
    for daemon in daemons:
        daemon.start()
    mesh.await_version(1)
    after = mesh.platform.counts()
    assert after["reads"] - before["reads"] <= MAX_READS_PER_DAEMON * len(daemons)
    assert after["writes"] - before["writes"] <= MAX_WRITES_PER_DAEMON * len(daemons)
