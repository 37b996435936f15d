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
    """Make ledgers that each write under marks of their own."""

    def __init__(self, port):
        self.port = port
        self.count = 0

    def new(self, port=None):
        self.count += 1
        name, marks = self.count, iter(range(1_000_000))
        store = ObjectStore(f"127.0.0.1:{port or self.port}", timeout_ms=1_000)
        return Ledger(store, SystemClock(), lambda: WriterMark(f"op{name}-{next(marks)}"))


@pytest.fixture
def operators(mesh):
    return Operators(mesh.platform.port)


def service(name):
    return parse_body({"title": f"adds {name}", "services": [{"name": name}]})


def at_once(*functions):
    """Run functions in threads of their own and return their results or errors, in order."""
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


def test_an_operator_held_up_while_many_tickets_are_filed_gets_the_next_number(
    operators, monkeypatch
):
    other, held_up = operators.new(), operators.new()
    for number in range(MAX_TRIES + 5):
        other.file(service(f"s{number}"))
    read = held_up._last_number
    answers = [0]
    monkeypatch.setattr(held_up, "_last_number", lambda: answers.pop() if answers else read())
    assert held_up.file(service("late")).number == MAX_TRIES + 6


def test_numbers_rise_without_gap_or_repeat_under_racing_operators(operators):
    def file_ten(ledger, name):
        return [ledger.file(service(f"{name}{i}")).number for i in range(10)]

    results = at_once(*[lambda n=n: file_ten(operators.new(), f"s{n}-") for n in range(6)])
    assert sorted(number for result in results for number in result) == list(range(1, 61))


def test_numbers_rise_without_gap_or_repeat_under_lost_answers(mesh, operators):
    proxy = mesh.proxy(mesh.platform.port)
    ledger = operators.new(proxy.port)
    assert ledger.file(service("a")).number == 1
    mesh.platform.faults(lose_answers=1)
    assert ledger.file(service("b")).number == 2
    proxy.set(Fault.LOSE_ANSWERS)
    with pytest.raises(PlatformError):
        ledger.file(service("c"))
    proxy.set(Fault.NONE)
    filed = [ticket.number for ticket in ledger.list(after=TicketNumber(0), limit=9)]
    following = ledger.file(service("d")).number
    assert filed == list(range(1, following))


def test_accepting_again_after_a_lost_answer_puts_the_ticket_in_force_once(mesh, operators):
    ledger = operators.new()
    number = TicketNumber(ledger.file(service("a")).number)
    for lost in (1, 2):
        mesh.platform.faults(lose_answers=lost)
        try:
            ledger.accept(number)
        except PlatformError:
            continue
    mesh.platform.faults(lose_answers=0)
    assert operators.new().accept(number).version == 1
    assert [c.ticket for c in ledger.changes_after(Version(0))] == [number]


def test_accept_and_withdraw_at_once_leave_one_outcome_that_both_learn(operators):
    for round_number in range(8):
        number = TicketNumber(operators.new().file(service(f"s{round_number}")).number)
        accepted, withdrawn = at_once(
            lambda n=number: operators.new().accept(n), lambda n=number: operators.new().withdraw(n)
        )
        state = operators.new().show(number).state
        in_force = [c.ticket for c in operators.new().changes_after(Version(0))].count(number)
        if state is TicketState.ACCEPTED:
            assert in_force == 1 and accepted.version and isinstance(withdrawn, TicketConflict)
        else:
            assert state is TicketState.WITHDRAWN
            assert in_force == 0 and isinstance(accepted, TicketConflict)


def test_many_operators_who_accept_one_ticket_put_it_in_force_once(operators):
    number = TicketNumber(operators.new().file(service("a")).number)
    results = at_once(*[lambda: operators.new().accept(number) for _ in range(6)])
    assert {ticket.version for ticket in results} == {1}
    assert [c.ticket for c in operators.new().changes_after(Version(0))] == [number]


def test_many_tickets_accepted_at_once_each_get_a_version_of_their_own(operators):
    numbers = [TicketNumber(operators.new().file(service(f"s{i}")).number) for i in range(8)]
    results = at_once(*[lambda n=n: operators.new().accept(n) for n in numbers])
    assert sorted(ticket.version for ticket in results) == list(range(1, 9))
    assert set(operators.new().state().services_by_name) == {f"s{i}" for i in range(8)}


def test_of_two_tickets_that_exclude_each_other_one_is_refused_for_good(operators):
    first = operators.new()
    first.accept(TicketNumber(first.file(service("a")).number))
    removal = TicketBody(title="removes a", remove=Removal(services=("a",)))
    route = parse_body(
        {
            "title": "needs a",
            "routes": [{"name": "r", "service": "a", "match": {"path_prefix": "/a"}}],
        }
    )
    numbers = [TicketNumber(first.file(body).number) for body in (removal, route)]
    results = at_once(*[lambda n=n: operators.new().accept(n) for n in numbers])
    assert sum(isinstance(result, ChangeRefused) for result in results) == 1
    state = first.state()
    assert bool(state.routes_by_name) == bool(state.services_by_name)


def test_an_acceptance_cut_short_is_completed_by_whoever_accepts_again(mesh, operators):
    ledger = operators.new()
    number = TicketNumber(ledger.file(service("a")).number)
    ledger._begin_accepting(ledger._read_ticket(number))
    assert ledger.show(number).state is TicketState.ACCEPTING
    with pytest.raises(TicketConflict):
        operators.new().withdraw(number)
    assert operators.new().accept(number).version == 1


def test_a_snapshot_and_the_changes_after_it_make_the_same_state(operators):
    ledger = operators.new()
    for name in "abc":
        ledger.accept(TicketNumber(ledger.file(service(name)).number))
    whole = ledger.state()
    ledger.write_snapshot(whole)
    ledger.accept(TicketNumber(ledger.file(service("d")).number))
    assert operators.new().snapshot() == whole
    assert set(operators.new().state().services_by_name) == set("abcd")


def test_daemons_follow_operators_who_race(mesh, operators):
    daemons = mesh.start_daemons(3)
    mesh.put_in_force(LEDGER_TICKET)
    numbers = [TicketNumber(operators.new().file(service(f"s{i}")).number) for i in range(10)]
    results = at_once(*[lambda n=n: operators.new().accept(n) for n in numbers])
    last = max(ticket.version for ticket in results)
    for daemon in daemons:
        wait_for(lambda d=daemon: d.version() == last, "the last version")
    assert len({daemon.status()["digest"] for daemon in daemons}) == 1
