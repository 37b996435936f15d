"""Test that racing, delayed and interrupted operators keep the ledger consistent."""

import threading

import pytest
from faultproxy import Fault
from processes import LEDGER_TICKET, wait_for

from egretworks.clock import SystemClock
from egretworks.exceptions import ChangeRefused, EgretError, PlatformError, TicketConflict
from egretworks.ledger import MAX_TRIES, Ledger
from egretworks.objects import ObjectStore
from egretworks.resources import Removal, TicketBody
from egretworks.tickets import parse_body
from egretworks.types import TicketNumber, TicketState, Version, WriterMark


class Operators:
    """Create ledgers of different operators, each with unique marks."""

    def __init__(self, port):
        self.port = port
        self.count = 0

    def new_ledger(self, port=None):
        self.count += 1
        name, marks = self.count, iter(range(1_000_000))
        store = ObjectStore(f"127.0.0.1:{port or self.port}", timeout_ms=1_000)
        return Ledger(store, SystemClock(), lambda: WriterMark(f"op{name}-{next(marks)}"))


@pytest.fixture
def operators(mesh):
    return Operators(mesh.platform.port)


def service_ticket(name):
    return parse_body({"title": f"adds {name}", "services": [{"name": name}]})


def run_concurrently(*functions):
    """Run each function in its own thread and return their results or errors, in order."""
    results = [None] * len(functions)

    def run(index, function):
        try:
            results[index] = function()
        except EgretError as error:
            results[index] = error

    threads = [threading.Thread(target=run, args=item) for item in enumerate(functions)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def test_an_operator_delayed_while_many_tickets_are_filed_gets_the_next_number(
    operators, monkeypatch
):
    other, delayed = operators.new_ledger(), operators.new_ledger()
    for number in range(MAX_TRIES + 5):
        other.file(service_ticket(f"s{number}"))
    read_last_number = delayed._numbers.last
    outdated_numbers = [0]
    monkeypatch.setattr(
        delayed._numbers,
        "last",
        lambda: outdated_numbers.pop() if outdated_numbers else read_last_number(),
    )
    assert delayed.file(service_ticket("late")).number == MAX_TRIES + 6


def test_numbers_are_consecutive_when_operators_race(operators):
    def file_ten(ledger, name):
        return [ledger.file(service_ticket(f"{name}{i}")).number for i in range(10)]

    results = run_concurrently(
        *[lambda n=n: file_ten(operators.new_ledger(), f"s{n}-") for n in range(6)]
    )
    assert sorted(number for result in results for number in result) == list(range(1, 61))


def test_numbers_are_consecutive_when_answers_are_lost(mesh, operators):
    proxy = mesh.proxy(mesh.platform.port)
    ledger = operators.new_ledger(proxy.port)
    assert ledger.file(service_ticket("a")).number == 1
    mesh.platform.faults(lose_answers=1)
    assert ledger.file(service_ticket("b")).number == 2
    proxy.set(Fault.LOSE_ANSWERS)
    with pytest.raises(PlatformError):
        ledger.file(service_ticket("c"))
    proxy.set(Fault.NONE)
    filed = [ticket.number for ticket in ledger.list(after=TicketNumber(0), limit=9)]
    following = ledger.file(service_ticket("d")).number
    assert filed == list(range(1, following))


def test_accepting_again_after_a_lost_answer_puts_the_ticket_in_force_once(mesh, operators):
    ledger = operators.new_ledger()
    number = TicketNumber(ledger.file(service_ticket("a")).number)
    for lost in (1, 2):
        mesh.platform.faults(lose_answers=lost)
        try:
            ledger.accept(number)
        except PlatformError:
            continue
    mesh.platform.faults(lose_answers=0)
    assert operators.new_ledger().accept(number).version == 1
    assert [c.ticket for c in ledger.changes_after(Version(0))] == [number]


def test_concurrent_accept_and_withdraw_leave_one_outcome_that_both_report(operators):
    for round_number in range(8):
        number = TicketNumber(
            operators.new_ledger().file(service_ticket(f"s{round_number}")).number
        )
        accepted, withdrawn = run_concurrently(
            lambda n=number: operators.new_ledger().accept(n),
            lambda n=number: operators.new_ledger().withdraw(n),
        )
        state = operators.new_ledger().show(number).state
        in_force = [c.ticket for c in operators.new_ledger().changes_after(Version(0))].count(
            number
        )
        if state is TicketState.ACCEPTED:
            assert in_force == 1 and accepted.version and isinstance(withdrawn, TicketConflict)
        else:
            assert state is TicketState.WITHDRAWN
            assert in_force == 0 and isinstance(accepted, TicketConflict)


def test_a_ticket_that_many_operators_accept_is_put_in_force_once(operators):
    number = TicketNumber(operators.new_ledger().file(service_ticket("a")).number)
    results = run_concurrently(*[lambda: operators.new_ledger().accept(number) for _ in range(6)])
    assert {ticket.version for ticket in results} == {1}
    assert [c.ticket for c in operators.new_ledger().changes_after(Version(0))] == [number]


def test_tickets_that_are_accepted_concurrently_get_different_versions(operators):
    numbers = [
        TicketNumber(operators.new_ledger().file(service_ticket(f"s{i}")).number) for i in range(8)
    ]
    results = run_concurrently(*[lambda n=n: operators.new_ledger().accept(n) for n in numbers])
    assert sorted(ticket.version for ticket in results) == list(range(1, 9))
    assert set(operators.new_ledger().state().services_by_name) == {f"s{i}" for i in range(8)}


def test_of_two_conflicting_tickets_one_is_refused_permanently(operators):
    first = operators.new_ledger()
    first.accept(TicketNumber(first.file(service_ticket("a")).number))
    removal = TicketBody(title="removes a", remove=Removal(services=("a",)))
    route = parse_body(
        {
            "title": "needs a",
            "routes": [{"name": "r", "service": "a", "match": {"path_prefix": "/a"}}],
        }
    )
    numbers = [TicketNumber(first.file(body).number) for body in (removal, route)]
    results = run_concurrently(*[lambda n=n: operators.new_ledger().accept(n) for n in numbers])
    assert sum(isinstance(result, ChangeRefused) for result in results) == 1
    state = first.state()
    assert bool(state.routes_by_name) == bool(state.services_by_name)


def test_an_interrupted_acceptance_is_completed_by_the_next_one(mesh, operators):
    ledger = operators.new_ledger()
    number = TicketNumber(ledger.file(service_ticket("a")).number)
    ledger._begin_accepting(ledger._read_ticket(number))
    assert ledger.show(number).state is TicketState.ACCEPTING
    with pytest.raises(TicketConflict):
        operators.new_ledger().withdraw(number)
    assert operators.new_ledger().accept(number).version == 1


def test_the_state_is_read_from_a_snapshot_and_the_changes_after_it(operators):
    ledger = operators.new_ledger()
    for name in "abc":
        ledger.accept(TicketNumber(ledger.file(service_ticket(name)).number))
    state = ledger.state()
    ledger.write_snapshot(state)
    ledger.accept(TicketNumber(ledger.file(service_ticket("d")).number))
    assert operators.new_ledger().snapshot() == state
    assert set(operators.new_ledger().state().services_by_name) == set("abcd")


def test_daemons_apply_all_changes_of_racing_operators(mesh, operators):
    daemons = mesh.start_daemons(3)
    mesh.put_in_force(LEDGER_TICKET)
    numbers = [
        TicketNumber(operators.new_ledger().file(service_ticket(f"s{i}")).number) for i in range(10)
    ]
    results = run_concurrently(*[lambda n=n: operators.new_ledger().accept(n) for n in numbers])
    last = max(ticket.version for ticket in results)
    for daemon in daemons:
        wait_for(lambda d=daemon: d.version() == last, "the last version")
    assert len({daemon.status()["digest"] for daemon in daemons}) == 1
