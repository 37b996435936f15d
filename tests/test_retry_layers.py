"""Test that retries stay within the budget where the targets of one service call another one."""

import msgspec
import pytest
from loadsim import Kind, Load, Mesh

from egretworks.forwarding import Forwarder
from egretworks.runningrequests import RunningRequest

RATIO, SLACK, WINDOW_MS = 0.2, 60, 10_000
KINDS = (
    Kind("lookup", "register", 50, 200, 1_200, retries=2, calls="free", calls_share=0.7),
    Kind("book", "planning", 65, 250, 1_500, 2, 0.6, idempotent=False),
    Kind("free", "planning", 15, 60, 200, 0, 0, 0, 0),
)
DATA_CENTRES = ("north", "west", "south")
SLOTS = 9
SEEDS = (1, 2, 3)


def build_mesh(monkeypatch, seed, calls_times):
    """Return a mesh of two services; targets of `register` call those of `planning`."""
    lookup, *others = KINDS
    lookup = msgspec.structs.replace(lookup, calls_times=calls_times)
    mesh = Mesh(monkeypatch, (lookup, *others), seed)
    for data_centre in DATA_CENTRES:
        for _ in range(2):
            mesh.add(data_centre, "register", SLOTS)
            mesh.add(data_centre, "planning", SLOTS)
    mesh.link_all()
    for data_centre in DATA_CENTRES:
        mesh.apply(Load("lookup", data_centre, 120))
        mesh.apply(Load("book", data_centre, 15))
    return mesh


def decline(mesh, service, share):
    """Let the targets of `service` decline the share `share` of all requests."""
    for daemon in mesh.daemons:
        if daemon.service == service:
            daemon.target.declines = share


# Guards against retries of one service that cause calls to another, beyond that one's budget: each
# call that is declined fails its lookup, and the lookup's second run calls again.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("calls_times", (1, 2))
def test_calls_of_retried_requests_stay_within_the_budget_of_the_service_called(
    monkeypatch, seed, calls_times
):
    mesh = build_mesh(monkeypatch, seed, calls_times)
    mesh.time.run_for(2_000)
    decline(mesh, "planning", 0.55)
    mesh.time.run_for(WINDOW_MS + 2_000)
    for service in ("planning", "register"):
        assert mesh.retry_record.worst_excess(service, RATIO, SLACK, WINDOW_MS) <= 0


# Guards against the same where the requests themselves are declined, and their retries call on.
@pytest.mark.parametrize("seed", SEEDS)
def test_retries_of_declined_requests_keep_their_calls_within_the_budget(monkeypatch, seed):
    mesh = build_mesh(monkeypatch, seed, 2)
    mesh.time.run_for(2_000)
    decline(mesh, "register", 0.55)
    decline(mesh, "planning", 0.3)
    mesh.time.run_for(WINDOW_MS + 2_000)
    for service in ("planning", "register"):
        assert mesh.retry_record.worst_excess(service, RATIO, SLACK, WINDOW_MS) <= 0


# Guards against retries that are refused by their target's daemon and run there all the same.
def test_a_retry_whose_calls_exceed_the_budget_is_refused_and_does_not_run(monkeypatch):
    mesh = build_mesh(monkeypatch, 1, 2)
    mesh.time.run_for(2_000)
    decline(mesh, "planning", 0.55)
    mesh.time.run_for(4_000)
    refused = retries_run = retried = 0
    for daemon in mesh.daemons:
        if daemon.service == "register":
            counts = daemon.gate.host.metrics.counts
            refused += counts["gate_refused_retry_budget"]
            retries_run += counts["gate_retries_run"]
            retried += sum(1 for runs in daemon.target.runs.values() if runs > 1)
    assert refused > 100
    assert retried == 0
    assert len(mesh.retry_record.retries_by_service["register"]) == retries_run < refused


# Guards against callers' own requests that are refused because they came while only retries ran.
def test_a_first_attempt_is_not_refused_for_the_budget(monkeypatch):
    mesh = build_mesh(monkeypatch, 1, 2)
    monkeypatch.setattr(Forwarder, "allows_calls", lambda *_: False)
    for daemon in mesh.daemons:
        # All requests from this machine are taken for calls made in this retry.
        daemon.gate.running_requests.start(RunningRequest("lookup", 1e9, 1.0))
    mesh.time.run_for(2_000)
    counts = [daemon.gate.host.metrics.counts for daemon in mesh.daemons]
    assert sum(count["gate_refused_retry_budget"] for count in counts) == 0
    assert mesh.total.in_time > 0
