"""Test the path of a request from caller to target through two sidecar daemons, as processes."""

import json
import re
import signal
import socket
import threading
import time

import pytest
from platformwire import config_document
from processes import ask, wait_for
from sidecars import announce_all, call_concurrently


def test_a_request_reaches_another_daemons_target_and_the_answer_comes_back_unchanged(sidecars):
    portal, ledger = sidecars.start("portal", "ledger")
    status, headers, body = portal.call("/give/x?y=1", method="PUT", body=b"gift")
    assert (status, body) == (200, b"PUT /give/x?y=1 HTTP/1.1\r\ngift")
    assert headers["X-Egret-Stamp"] == "s"
    sent = ledger.target.headers[0]
    assert sent["x-egret-caller"] == "portal"
    assert sent["x-egret-expect-instance"] == ledger.target.id
    assert 0 < int(sent["x-egret-deadline-ms"]) <= 1_200
    assert portal.call("/none/x")[0] == 404


@pytest.mark.parametrize(
    "answer",
    [
        lambda target: lambda id, body: None,
        lambda target: lambda id, body: target.response(id, body)[:-2],
        lambda target: lambda id, body: target.response(id, body, stamp=""),
        lambda target: lambda id, body: b"nothing of the kind\r\n\r\n",
        lambda target: lambda id, body: target.response("another", body),
    ],
)
def test_an_invalid_response_is_never_passed_on_as_valid_and_nothing_runs_twice(sidecars, answer):
    portal, ledger = sidecars.start("portal", "ledger")
    ledger.target.answer = answer(ledger.target)
    status, headers, _ = portal.call("/give/x", method="POST", left_ms=400)
    assert status in (502, 504)
    assert "X-Egret-Stamp" not in headers
    assert len(ledger.target.runs) == 1


def test_a_declined_request_is_retried_at_another_target_and_runs_once(sidecars):
    portal, one, two = sidecars.start("portal", "ledger", "ledger")

    def decline(id, body):
        return (
            f"HTTP/1.1 503 Busy\r\nX-Egret-Not-Run: 1\r\nX-Egret-Attempt-Id: {id}\r\n"
            "Content-Length: 0\r\n\r\n"
        ).encode()

    one.target.answer = decline
    for number in range(8):
        assert portal.call("/give/x", method="POST", id=f"d{number}")[0] == 200
    assert sorted(two.target.runs) == [f"d{number}" for number in range(8)]


def test_an_idempotent_request_is_answered_by_another_target_after_a_failure(sidecars):
    caller, one, two = sidecars.start("ledger", "portal", "portal")
    seen = set()

    def fail_at_first(target, id, body):
        if id in seen:
            return target.response(id, body)
        seen.add(id)
        return target.response(id, b"", "500 Broken")

    for portal in (one, two):
        target = portal.target
        target.answer = lambda id, body, target=target: fail_at_first(target, id, body)
    ids = [f"v{number}" for number in range(8)]
    assert [caller.call("/view/x", id=id)[0] for id in ids] == [200] * 8
    assert sorted(one.target.runs) == sorted(two.target.runs) == ids


def test_a_draining_target_gets_no_request_once_its_heartbeat_is_acknowledged(sidecars):
    portal, one, _two = sidecars.start("portal", "ledger", "ledger")
    assert one.target.heartbeat(one, "draining") == 200
    time.sleep(0.1)
    before = len(one.target.runs)
    for number in range(10):
        assert portal.call("/give/x", method="POST", id=f"l{number}")[0] == 200
    assert len(one.target.runs) == before
    # After a delayed heartbeat with an older sequence number, the daemon still accepts no requests
    # for the target.
    one.target.heartbeat(one, sequence=1)
    assert portal.call("/give/x", method="POST", id="after")[0] == 200
    assert len(one.target.runs) == before


def test_a_restarted_daemon_accepts_the_next_heartbeat_and_checks_its_targets_health(sidecars):
    portal, ledger = sidecars.start("portal", "ledger")
    ledger.kill()
    ledger.start()
    wait_for(ledger.ready, "the daemon to be ready again")
    ledger.target.healthy = False
    ledger.target.heartbeat(ledger)
    assert portal.call("/give/x", method="POST", id="early")[0] == 503
    ledger.target.healthy = True
    ledger.target.heartbeat(ledger)

    def served():
        return portal.call("/give/x", method="POST", id=f"t{time.monotonic()}")[0] == 200

    wait_for(served, "the target to be reached again")
    assert "early" not in ledger.target.runs


def test_a_new_version_is_in_force_everywhere_and_one_daemon_per_data_centre_reads_it(sidecars):
    daemons = sidecars.start("portal", "ledger", "ledger")
    time.sleep(0.5)
    before = sidecars.platform.counts()["reads"]
    rows = [["new", "pool.example", "/new/", "idempotent", 1000, 500, 0, "ledger", 2, None]]
    sidecars.platform.configure(config_document(2, rows))
    for daemon in daemons:
        wait_for(
            lambda daemon=daemon: daemon.call("/new/x")[0] == 200, f"{daemon.id} to apply version 2"
        )
        assert daemon.call("/give/x")[0] == 404
    assert sidecars.platform.counts()["reads"] - before <= 4


def test_an_invalid_configuration_leaves_the_old_one_in_force(sidecars):
    portal, _ = sidecars.start("portal", "ledger")
    broken = json.loads(config_document(2))
    broken["routes"]["rows"][0][7] = "nowhere"
    sidecars.platform.configure(json.dumps(broken))
    wait_for(lambda: portal.events("config_refused"), "the refusal")
    assert portal.call("/give/x", method="POST")[0] == 200


def test_a_daemon_that_starts_during_a_store_outage_is_configured_by_its_peers(sidecars):
    portal, _ledger = sidecars.start("portal", "ledger")
    sidecars.platform.faults(outage=True)
    portal.kill()
    portal.start()
    wait_for(portal.ready, "the daemon to be ready without the store")
    wait_for(
        lambda: portal.call("/give/x", method="POST", id=f"s{time.monotonic()}")[0] == 200,
        "the other daemon's target to be reached",
    )


def test_without_a_configuration_a_request_gets_503_with_retry_after(sidecars):
    lonely = sidecars.add("portal")
    wait_for(lambda: lonely.events("started"), "the start")
    status, headers, _ = lonely.call("/give/x", method="POST")
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    assert not lonely.ready()


def test_a_callers_disconnect_cancels_the_run_at_the_target(sidecars):
    caller, portal = sidecars.start("ledger", "portal")
    portal.target.work_ms = 900
    sock = socket.create_connection(("127.0.0.1", caller.ports["calls"]))
    sock.sendall(
        b"GET /view/x HTTP/1.1\r\nHost: pool.example\r\nX-Egret-Attempt-Id: g\r\n"
        b"X-Egret-Deadline-Ms: 2000\r\n\r\n"
    )
    wait_for(lambda: portal.target.runs, "the request to run")
    sock.close()
    wait_for(lambda: portal.target.cancelled_runs, "the target to see the disconnect", 0.5)


def test_sigterm_drains_in_flight_requests(sidecars):
    portal, ledger = sidecars.start("portal", "ledger")
    ledger.target.work_ms = 400
    results = {}

    def send():
        results.update(call_concurrently(portal, 4))

    thread = threading.Thread(target=send)
    thread.start()
    wait_for(lambda: ledger.target.running, "work to begin")
    ledger.signal(signal.SIGTERM)
    portal.signal(signal.SIGTERM)
    thread.join()
    assert set(results.values()) == {200}
    assert not portal.ready()
    started = time.monotonic()
    assert (portal.wait(), ledger.wait()) == (0, 0)
    assert time.monotonic() - started < 6


def test_changed_settings_are_applied_without_interrupting_service(sidecars):
    portal, ledger = sidecars.start("portal", "ledger")
    text = portal.settings.read_text()
    portal.settings.write_text(text.replace('service = "portal"', 'service = "renamed"'))
    portal.signal(signal.SIGHUP)
    wait_for(lambda: portal.events("settings_reloaded"), "the reload")
    assert portal.call("/give/x", method="POST")[0] == 200
    assert ledger.target.headers[-1]["x-egret-caller"] == "renamed"
    text = portal.settings.read_text()
    changed = text.replace("retry_slack = 60", "retry_slack = 0")
    changed = changed.replace(f"metrics_port = {portal.ports['metrics']}", "metrics_port = 1")
    portal.settings.write_text(changed)
    wait_for(lambda: "listen" in "".join(portal.events("settings_need_restart")), "the warning")
    wait_for(lambda: '"retry_slack": 0' in portal.events("settings_reloaded")[-1], "the bounds")
    page = ask(portal.ports["metrics"], "GET", "/metrics")[2].decode()
    left = re.search(r'attempts_left{service="ledger"} ([0-9.]+)', page)[1]
    assert float(left) < 1
    portal.settings.write_text("nonsense")
    wait_for(lambda: portal.events("settings_refused"), "the refusal")
    assert portal.call("/give/x", method="POST", id="b")[0] == 200


@pytest.mark.parametrize(
    "data",
    [
        b"POST /give/x HTTP/1.1\r\nHost: pool.example\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST /give/x HTTP/1.1\r\nHost: pool.example\r\nTransfer-Encoding: chunked\r\n\r\nxx\r\n",
        b"POST /give/x HTTP/1.1\r\nHost: pool.example\r\nContent-Length: 1\r\n"
        b"Content-Length: 2\r\n\r\nab",
    ],
)
def test_a_smuggled_request_is_rejected_before_anything_is_forwarded(sidecars, data):
    portal, ledger = sidecars.start("portal", "ledger")
    with socket.create_connection(("127.0.0.1", portal.ports["calls"])) as sock:
        sock.sendall(data)
        assert sock.recv(100).startswith(b"HTTP/1.1 400")
    assert ledger.target.runs == []


def test_a_request_crosses_data_centres_over_a_compressed_link(sidecars):
    sidecars.platform.configure(config_document(1))
    portal = sidecars.add("portal", "west")
    ledger = sidecars.add("ledger", "east")
    announce_all([portal, ledger])
    gift = b"gift " * 20_000
    status, _, body = portal.call("/give/x", method="POST", body=gift)
    assert (status, body) == (200, b"POST /give/x HTTP/1.1\r\n" + gift)
