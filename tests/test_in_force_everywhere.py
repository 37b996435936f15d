"""Prove that daemons never go back, apply versions whole, and follow tickets through failures."""

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


def a_ticket(number):
    return f'title = "ticket {number}"\n[[services]]\nname = "s{number}"\n'


def assert_never_back(daemons):
    """Judge by each daemon's own log: within a life, versions only rise."""
    for daemon in daemons:
        version = 0
        for event in daemon.log_events():
            if event["kind"] == "started":
                version = 0
            if event["kind"] == "in_force":
                assert event["version"] > version, (daemon.id, event)
                version = event["version"]


def assert_serves_no_less(daemon):
    """Judge by the log over all lives: no life is ready below what an earlier one had in force."""
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
    # An answer to its watch could otherwise wait in its socket until it goes on.
    proxy.cut_connections()
    mesh.ctl("file", mesh.ticket_file(a_ticket(2)))
    mesh.ctl("accept", 2)
    mesh.await_version(2, [ahead, frozen_ahead])
    mesh.platform.faults(outage=True)
    frozen_ahead.signal(signal.SIGSTOP)
    ahead.kill()
    lagging.signal(signal.SIGCONT)
    ahead.start()
    wait_for(lambda: ahead.version() == 1, "the lagging peer's version to come over")
    # Nothing may make it ready now, however long that lasts; some of its turns are awaited.
    wait_for(lambda: asked_seeds(ahead) >= 4, "the replaced daemon to have asked its seeds")
    with pytest.raises(ConnectionRefusedError):
        ahead.call("/ledger/x")
    frozen_ahead.signal(signal.SIGCONT)
    mesh.await_version(2, [ahead])
    assert_serves_no_less(ahead)
    assert_never_back(mesh.daemons)


def asked_seeds(daemon):
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


def test_a_daemon_alone_with_the_platform_becomes_ready(mesh):
    daemons = mesh.start_daemons(3)
    mesh.put_in_force(LEDGER_TICKET)
    for daemon in daemons:
        daemon.kill()
    daemons[1].start()
    mesh.await_version(1, daemons[1:2])


def test_a_platform_that_answers_from_before_its_outage_takes_no_daemon_back(mesh):
    daemons = mesh.start_daemons(2)
    mesh.put_in_force(LEDGER_TICKET)
    ask(mesh.platform.port, "PUT", "/admin/save")
    mesh.put_in_force(a_ticket(2))
    mesh.platform.faults(outage=True)
    wait_for(lambda: any(d.status()["platform_reached"] is False for d in daemons), "the outage")
    mesh.platform.faults(outage=False, stale=True)
    wait_for(lambda: any(d.status()["platform_reached"] for d in daemons), "the platform")
    assert [daemon.version() for daemon in daemons] == [2, 2]
    mesh.platform.faults(stale=False)
    mesh.put_in_force(a_ticket(3))
    assert_never_back(daemons)


def test_a_watch_whose_history_is_gone_is_made_good_by_a_full_read(mesh):
    daemons = mesh.start_daemons(2)
    mesh.put_in_force(LEDGER_TICKET)
    mesh.platform.faults(outage=True)
    wait_for(lambda: any(d.status()["platform_reached"] is False for d in daemons), "the outage")
    mesh.platform.faults(outage=False)
    ask(mesh.platform.port, "PUT", "/admin/compact")
    mesh.put_in_force(a_ticket(2))
    ask(mesh.platform.port, "PUT", "/admin/compact")
    mesh.put_in_force(a_ticket(3))
    assert_never_back(daemons)


def put_change(mesh, version, change):
    body = json.dumps(change).encode() if isinstance(change, dict) else msgspec.json.encode(change)
    path = f"/v1/objects/changes/{version:012d}"
    assert ask(mesh.platform.port, "PUT", path, body, {"If-None-Match": "*"})[0] == 200


@pytest.mark.parametrize("kind", ["unknown policy", "unknown field", "wrong digest"])
def test_a_version_with_one_bad_resource_is_refused_whole_by_every_daemon(mesh, kind):
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


def test_a_daemon_that_alone_cannot_apply_a_version_stays_whole_and_is_named(mesh):
    mesh.start_daemons(2)
    older = mesh.daemons[1]
    older.kill()
    older.arguments = [str(ROOT / "tests" / "olderbuild.py"), str(older.settings)]
    older.start()
    newer = mesh.daemons[0]
    mesh.ctl("file", mesh.ticket_file(LEDGER_TICKET))
    mesh.ctl("accept", 1)
    mesh.await_version(1)
    text = a_ticket(2) + 'balance = "two_choices"\n[[services]]\nname = "fine"\n'
    mesh.ctl("file", mesh.ticket_file(text))
    mesh.ctl("accept", 2)
    mesh.await_version(2, [newer])
    wait_for(lambda: older.status()["refused_version"] == 2, "the older build's refusal")
    assert older.version() == 1
    by_daemon = {s["daemon"]: s for s in mesh.ctl("show", 2, "--json")["standings"]}
    assert by_daemon["d0"]["in_force"] and not by_daemon["d1"]["in_force"]
    assert "two_choices" in by_daemon["d1"]["refused"]
    wait_for(lambda: "two_choices" in mesh.platform.object("status", "zg-trnje"), "the status")


def test_a_service_whose_targets_have_not_announced_refuses_until_they_do(mesh):
    (daemon,) = mesh.start_daemons(1)
    mesh.put_in_force(LEDGER_TICKET)
    status, headers, body = daemon.call("/ledger/x", headers={"Egret-Deadline-Ms": "200"})
    assert (status, headers["Egret-Not-Run"]) == (503, "true")
    assert "no target has announced" in json.loads(body)["message"]
    mesh.start_target("t0", "ledger", daemon)
    wait_for(lambda: daemon.call("/ledger/x")[0] == 200, "the target to be used")


def test_herds_of_daemons_killed_while_operators_go_on_all_come_to_the_last_version(mesh):
    daemons = mesh.start_daemons(6, data_centres=("zg-trnje", "zg-dubrava"))
    mesh.put_in_force(LEDGER_TICKET)
    for turn in range(2):
        herd = daemons[turn : turn + 5]
        for daemon in herd:
            daemon.kill()
        mesh.ctl("file", mesh.ticket_file(a_ticket(turn)))
        accepting = threading.Thread(target=mesh.ctl, args=("accept", turn + 2))
        accepting.start()
        for daemon in herd:
            daemon.start()
        accepting.join()
        mesh.await_version(turn + 2)
    assert_never_back(daemons)
    assert len({daemon.status()["digest"] for daemon in daemons}) == 1


def test_a_data_centre_that_is_frozen_and_goes_on_comes_to_the_last_version(mesh):
    daemons = mesh.start_daemons(6, data_centres=("zg-trnje", "zg-dubrava"))
    mesh.put_in_force(LEDGER_TICKET)
    frozen, others = daemons[::2], daemons[1::2]
    for daemon in frozen:
        daemon.signal(signal.SIGSTOP)
    for number in (2, 3, 4):
        mesh.ctl("file", mesh.ticket_file(a_ticket(number)))
        mesh.ctl("accept", number)
    mesh.await_version(4, others)
    wait_for(
        lambda: all(d.status()["members"] == 3 for d in others), "the frozen ones to count as gone"
    )
    for daemon in frozen:
        daemon.signal(signal.SIGCONT)
    mesh.await_version(4)
    wait_for(lambda: all(d.status()["members"] == 6 for d in daemons), "all to be members again")
    assert_never_back(daemons)


def test_watches_that_break_all_the_time_only_delay_a_version(mesh):
    proxy = mesh.proxy(mesh.platform.port)
    daemons = mesh.start_daemons(3, platform_port=proxy.port)
    mesh.put_in_force(LEDGER_TICKET)
    stop = threading.Event()

    def cut_now_and_then():
        while not stop.wait(0.15):
            proxy.cut_connections()

    cutting = threading.Thread(target=cut_now_and_then)
    cutting.start()
    try:
        for number in range(2, 6):
            mesh.put_in_force(a_ticket(number))
    finally:
        stop.set()
        cutting.join()
    assert_never_back(daemons)


def test_a_ticket_accepted_while_the_platform_is_cut_off_comes_after_it(mesh):
    proxy = mesh.proxy(mesh.platform.port)
    daemons = mesh.start_daemons(2, platform_port=proxy.port)
    mesh.put_in_force(LEDGER_TICKET)
    proxy.set(Fault.CUT)
    mesh.ctl("file", mesh.ticket_file(a_ticket(2)))
    mesh.ctl("accept", 2)
    assert [daemon.version() for daemon in daemons] == [1, 1]
    proxy.set(Fault.NONE)
    mesh.await_version(2)


# A data centre of 2,000 daemons that comes back within ten seconds may cost the platform 2,000
# reads a second: ten for each daemon. Writes have several hundred a second: one for each.
READS_PER_DAEMON = 10
WRITES_PER_DAEMON = 1


def test_a_reconnect_storm_stays_within_the_platforms_bounds(mesh):
    daemons = mesh.start_daemons(8, data_centres=("zg-trnje", "zg-dubrava"))
    mesh.put_in_force(LEDGER_TICKET)
    for daemon in daemons:
        daemon.kill()
    before = mesh.platform.counts()
    for daemon in daemons:
        daemon.start()
    mesh.await_version(1)
    after = mesh.platform.counts()
    assert after["reads"] - before["reads"] <= READS_PER_DAEMON * len(daemons)
    assert after["writes"] - before["writes"] <= WRITES_PER_DAEMON * len(daemons)
