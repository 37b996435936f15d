"""Test the commands of egretctl, and their errors and exit statuses, against a running mesh."""

import pytest
from processes import LEDGER_TICKET, PAYOUT_TICKET, wait_for


def test_every_command_works_against_a_running_mesh(mesh):
    daemons = mesh.start_daemons(2, data_centres=("zg-trnje", "zg-dubrava"))
    mesh.start_target("t0", "ledger", daemons[0])
    assert mesh.ctl("file", mesh.ticket_file(LEDGER_TICKET)) == "ticket 1: filed\n"
    assert mesh.ctl("file", mesh.ticket_file(PAYOUT_TICKET)) == "ticket 2: filed\n"
    assert mesh.ctl("accept", 1) == "ticket 1: accepted at version 1\n"
    assert mesh.ctl("withdraw", 2) == "ticket 2: withdrawn\n"
    mesh.await_version(1)
    mesh.await_targets(1)
    shown = mesh.ctl("show", 1)
    assert "in force at 2 of 2 daemons" in shown
    listed = mesh.ctl("list").splitlines()
    assert [line.split()[:2] for line in listed[1:]] == [["1", "accepted"], ["2", "withdrawn"]]
    fleet = mesh.ctl("fleet", "--json")
    assert [row["data_centre"] for row in fleet] == ["zg-dubrava", "zg-trnje"]
    assert "t0:ledger:ready" in mesh.ctl("fleet")
    assert daemons[1].call("/ledger/x", headers={"Egret-Call-Id": "c1"})[0] == 200
    events = mesh.ctl("timeline", "--ticket", 1, "--json")["events"]
    assert {event["instance"] for event in events if event["kind"] == "in_force"} == {"d0", "d1"}
    targets = mesh.ctl("timeline", "--target", "t0", "--json")["events"]
    assert [event["kind"] for event in targets] == ["target_ready"]
    assert "in_force" in mesh.ctl("timeline")
    assert mesh.ctl("once", "payout-desk", "k9", "--json")["state"] == "absent"


@pytest.mark.parametrize(
    ("arguments", "status", "expected"),
    [
        (("accept", 7), 5, "ticket.not_found"),
        (("accept", "seven"), 4, "ticket.invalid"),
        (("file", "no-such-file.toml"), 4, "ticket.invalid"),
        (("fleet",), 9, "control.fleet_unreachable"),
    ],
)
def test_errors_have_a_code_and_an_exit_status(mesh, arguments, status, expected):
    mesh.write_client_settings()
    done = mesh.run_ctl(*arguments)
    assert done.returncode == status
    assert expected in done.stderr


def test_accepting_a_withdrawn_ticket_is_a_conflict_with_a_next_step(mesh):
    mesh.write_client_settings()
    mesh.ctl("file", mesh.ticket_file(LEDGER_TICKET))
    mesh.ctl("withdraw", 1)
    done = mesh.run_ctl("accept", 1)
    assert done.returncode == 6
    assert "next: file a new ticket" in done.stderr


def test_an_unreachable_platform_has_its_own_exit_status(mesh):
    mesh.write_client_settings()
    mesh.platform.kill()
    done = mesh.run_ctl("list")
    assert (done.returncode, "platform.unavailable" in done.stderr) == (7, True)


def test_the_fleet_is_read_from_the_platform_when_the_daemons_are_down(mesh):
    daemons = mesh.start_daemons(2)
    mesh.put_in_force(LEDGER_TICKET)
    wait_for(
        lambda: '"daemons":2' in str(mesh.platform.object("status", "zg-trnje")),
        "the data centre's status",
    )
    for daemon in daemons:
        daemon.kill()
    assert [row["daemon"] for row in mesh.ctl("fleet", "--json")] == ["d0", "d1"]
    rollout = mesh.ctl("show", 1, "--json")
    assert {row["state"] for row in rollout["standings"]} == {"no answer"}


def test_the_fleet_is_read_from_the_daemons_when_the_platform_is_down(mesh):
    mesh.start_daemons(2)
    mesh.platform.faults(outage=True)
    assert [row["daemon"] for row in mesh.ctl("fleet", "--json")] == ["d0", "d1"]
    assert mesh.ctl("timeline", "--json")["events"]
