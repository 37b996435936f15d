"""Test once-only calls at running daemons: repeats, lost answers and killed daemons."""

import contextlib
import http.client
import json
import signal
import threading

from faultproxy import Fault
from processes import PAYOUT_TICKET, ask, wait_for

KEY_HEADERS = {"Idempotency-Key": "k1"}


def start_mesh(mesh, daemons=2, targets=1, **options):
    started = mesh.start_daemons(daemons)
    for index in range(targets):
        mesh.start_target(f"t{index}", "payout-desk", started[-1 - index], **options)
    mesh.put_in_force(PAYOUT_TICKET)
    mesh.await_targets(targets)
    return started


def run_count(mesh, key="k1"):
    return sum(target.runs().get(key, 0) for target in mesh.targets)


def key_state(daemon, key="k1"):
    status, _, body = daemon.call(f"/.egret/once/payout-desk/{key}")
    return json.loads(body)["state"] if status == 200 else None


def test_a_repeated_key_gets_the_recorded_answer_at_any_daemon(mesh):
    first, second = start_mesh(mesh)
    status, headers, body = first.call("/payouts", "POST", b"30 EUR", KEY_HEADERS)
    assert (status, headers["Egret-Once"]) == (200, "ran")
    again_status, again_headers, again_body = second.call(
        "/payouts", "POST", b"30 EUR", KEY_HEADERS
    )
    assert (again_status, again_headers["Egret-Once"]) == (200, "recorded")
    assert again_body == body
    assert run_count(mesh) == 1
    assert mesh.ctl("once", "payout-desk", "k1", "--json")["state"] == "done"


def test_a_key_reused_for_another_request_is_refused(mesh):
    first, second = start_mesh(mesh)
    assert first.call("/payouts", "POST", b"30 EUR", KEY_HEADERS)[0] == 200
    status, headers, _ = second.call("/payouts", "POST", b"99 EUR", KEY_HEADERS)
    assert (status, headers["Egret-Not-Run"]) == (422, "true")
    assert run_count(mesh) == 1


def test_a_call_without_a_key_is_refused(mesh):
    first, _ = start_mesh(mesh)
    status, headers, _ = first.call("/payouts", "POST", b"30 EUR")
    assert (status, headers["Egret-Error"], headers["Egret-Not-Run"]) == (
        400,
        "once.key_missing",
        "true",
    )


def test_many_callers_with_one_key_at_many_daemons_cause_one_run(mesh):
    daemons = start_mesh(mesh, daemons=3, work_ms=300)
    answers = []

    def call(daemon):
        answers.append(daemon.call("/payouts", "POST", b"30 EUR", KEY_HEADERS)[0])

    threads = [threading.Thread(target=call, args=(d,)) for d in daemons for _ in range(5)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(set(answers)) in ([200], [200, 409])
    assert run_count(mesh) == 1


def test_while_the_platform_is_down_once_only_calls_are_refused_unsent(mesh):
    first, _ = start_mesh(mesh)
    mesh.platform.faults(outage=True)
    status, headers, _ = first.call("/payouts", "POST", b"30 EUR", KEY_HEADERS)
    assert (status, headers["Egret-Error"]) == (503, "once.unrecorded")
    assert headers["Egret-Not-Run"] == "true"
    assert first.call("/list")[0] == 200
    assert run_count(mesh) == 0
    mesh.platform.faults(outage=False)
    wait_for(lambda: key_state(first) == "absent", "the claim to be undone")
    assert first.call("/payouts", "POST", b"30 EUR", KEY_HEADERS)[0] == 200
    assert run_count(mesh) == 1


def test_a_claim_whose_write_was_not_acknowledged_is_recognised(mesh):
    first, second = start_mesh(mesh)
    mesh.platform.faults(lose_answers=1)
    assert first.call("/payouts", "POST", b"30 EUR", KEY_HEADERS)[0] == 200
    assert second.call("/payouts", "POST", b"30 EUR", KEY_HEADERS)[1]["Egret-Once"] == "recorded"
    assert run_count(mesh) == 1


def test_a_claim_that_reaches_the_platform_late_does_not_block_a_repeat(mesh):
    proxy = mesh.proxy(mesh.platform.port)
    (only,) = mesh.start_daemons(1, platform_port=proxy.port)
    mesh.start_target("t0", "payout-desk", only)
    mesh.put_in_force(PAYOUT_TICKET)
    mesh.await_targets(1)
    proxy.set(Fault.FREEZE)
    status, headers, _ = only.call("/payouts", "POST", b"30 EUR", KEY_HEADERS, timeout=30)
    assert (status, headers["Egret-Not-Run"]) == (503, "true")
    proxy.set(Fault.NONE)
    wait_for(lambda: key_state(only) == "absent", "the claim to be undone")
    assert only.call("/payouts", "POST", b"30 EUR", KEY_HEADERS)[0] == 200
    assert run_count(mesh) == 1


def test_a_daemon_killed_while_the_call_runs_leaves_an_unknown_outcome(mesh):
    first, second = start_mesh(mesh, work_ms=1_500)
    caller = call_in_background(first)
    wait_for(lambda: run_count(mesh) == 1, "the call to run")
    first.kill()
    caller.join()

    def repeat():
        status, headers, _ = second.call("/payouts", "POST", b"x", KEY_HEADERS)
        assert status == 409
        assert "Egret-Not-Run" not in headers
        return headers["Egret-Error"] == "once.unknown"

    wait_for(repeat, "the outcome to be unknown")
    wait_for(lambda: key_state(second) == "unknown", "the record to be settled as unknown")
    assert run_count(mesh) == 1
    settled = mesh.ctl("once", "payout-desk", "k1", "--settle", "RAN", "--json")
    assert settled["state"] == "done"
    assert second.call("/payouts", "POST", b"x", KEY_HEADERS)[1]["Egret-Once"] == "recorded"


def test_a_daemon_frozen_while_the_call_runs_settles_it_when_it_resumes(mesh):
    first, second = start_mesh(mesh, work_ms=500)
    caller = call_in_background(first)
    wait_for(lambda: run_count(mesh) == 1, "the call to run")
    first.signal(signal.SIGSTOP)

    def is_unknown():
        return (
            second.call("/payouts", "POST", b"x", KEY_HEADERS)[1].get("Egret-Error")
            == "once.unknown"
        )

    wait_for(is_unknown, "the frozen daemon to be considered gone")
    first.signal(signal.SIGCONT)
    caller.join()
    wait_for(lambda: key_state(second) == "done", "the outcome to be recorded")
    assert run_count(mesh) == 1


def test_a_truncated_answer_leaves_an_unknown_outcome(mesh):
    (only,) = mesh.start_daemons(1)
    target = mesh.start_target("t0", "payout-desk", only)
    proxy = mesh.proxy(target.port)
    announce_through(mesh, only, target, proxy)
    mesh.put_in_force(PAYOUT_TICKET)
    proxy.set(Fault.TRUNCATE, answer_bytes=150)
    status, headers, _ = only.call("/payouts", "POST", b"x", KEY_HEADERS)
    assert (status, headers["Egret-Error"]) == (409, "once.unknown")
    assert "Egret-Not-Run" not in headers
    proxy.set(Fault.NONE)
    assert only.call("/payouts", "POST", b"x", KEY_HEADERS)[1]["Egret-Error"] == "once.unknown"
    assert target.runs() == {"k1": 1}
    freed = mesh.ctl("once", "payout-desk", "k1", "--settle", "NOT_RUN", "--json")
    assert freed["state"] == "absent"
    mesh.ctl("once", "payout-desk", "k1", "--settle", "NOT_RUN", status=6)


def test_a_queued_call_survives_the_daemon_that_accepted_it(mesh):
    first, second = mesh.start_daemons(2)
    mesh.put_in_force(PAYOUT_TICKET)
    later = {**KEY_HEADERS, "Egret-Later": "true"}
    status, headers, _ = first.call("/payouts", "POST", b"30 EUR", later)
    assert (status, headers["Egret-Once"]) == (202, "queued")
    assert key_state(second) in ("queued", "claimed")
    first.kill()
    mesh.start_target("t0", "payout-desk", second)
    wait_for(lambda: key_state(second) == "done", "the queued call to be sent")
    assert run_count(mesh) == 1
    assert second.call("/payouts", "POST", b"30 EUR", later)[1]["Egret-Once"] == "recorded"


def announce_through(mesh, daemon, target, proxy):
    """Restart `target` so that it announces the port of `proxy` instead of its own."""
    target.kill()
    target.arguments += ["--announce-port", str(proxy.port)]
    target.start()
    wait_for(lambda: target.counts(), "the target")
    mesh.await_targets(1)


def call_in_background(daemon):
    """Start a call in a thread, ignoring a lost connection, and return the thread."""

    def call():
        with contextlib.suppress(OSError, http.client.HTTPException):
            daemon.call("/payouts", "POST", b"x", KEY_HEADERS)

    thread = threading.Thread(target=call)
    thread.start()
    return thread


def test_a_query_for_a_key_needs_a_service_and_a_key(mesh):
    (only,) = mesh.start_daemons(1)
    mesh.put_in_force(PAYOUT_TICKET)
    assert ask(only.call_port, "GET", "/.egret/once/payout-desk")[0] == 400
