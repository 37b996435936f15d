"""Define the commands of `egretctl`, the command-line client for operators."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import defopt

from egretworks.config import read_client_settings
from egretworks.control import EventFilter, OperatorClient, Outcome, TicketRollout
from egretworks.exceptions import EgretError
from egretworks.explain import explain as explain_call
from egretworks.explain import format_trace, read_events
from egretworks.tables import as_json, as_table, as_time
from egretworks.ticketnumbers import parse_number
from egretworks.tickets import Ticket
from egretworks.types import TicketNumber

DEFAULT_SETTINGS = Path("egretctl.toml")
DEFAULT_EVENT_LIMIT = 200
DEFAULT_TICKET_LIMIT = 50


def file(path: Path, *, settings: Path = DEFAULT_SETTINGS, json: bool = False) -> None:
    """File a ticket from a TOML or JSON file and print its number.

    :param path: path of the ticket's file
    :param settings: path of the TOML file with the settings of egretctl
    :param json: print the result as JSON
    """
    _print_ticket(_client(settings).file(path), json)


def accept(number: str, *, settings: Path = DEFAULT_SETTINGS, json: bool = False) -> None:
    """Accept a ticket, which distributes its configuration to all daemons.

    :param number: number of the ticket
    :param settings: path of the TOML file with the settings of egretctl
    :param json: print the result as JSON
    """
    _print_ticket(_client(settings).accept(parse_number(number)), json)


def withdraw(number: str, *, settings: Path = DEFAULT_SETTINGS, json: bool = False) -> None:
    """Withdraw a ticket that is not accepted yet.

    :param number: number of the ticket
    :param settings: path of the TOML file with the settings of egretctl
    :param json: print the result as JSON
    """
    _print_ticket(_client(settings).withdraw(parse_number(number)), json)


def show(number: str, *, settings: Path = DEFAULT_SETTINGS, json: bool = False) -> None:
    """Show a ticket and at which daemons it is in force.

    :param number: number of the ticket
    :param settings: path of the TOML file with the settings of egretctl
    :param json: print the result as JSON
    """
    rollout = _client(settings).rollout(parse_number(number))
    _print(rollout, _rollout_text(rollout), json)


def list_tickets(
    *,
    after: int = 0,
    limit: int = DEFAULT_TICKET_LIMIT,
    settings: Path = DEFAULT_SETTINGS,
    json: bool = False,
) -> None:
    """List tickets in ascending order of their numbers.

    :param after: list only tickets with a greater number
    :param limit: maximum number of tickets to list
    :param settings: path of the TOML file with the settings of egretctl
    :param json: print the result as JSON
    """
    tickets = _client(settings).tickets(after=TicketNumber(after), limit=limit)
    rows = [(t.number, t.state.value, t.version or "-", t.body.title) for t in tickets]
    _print(tickets, as_table(("ticket", "state", "version", "title"), rows), json)


def fleet(*, settings: Path = DEFAULT_SETTINGS, json: bool = False) -> None:
    """List all daemons by data centre, with their state, targets and the version in force.

    :param settings: path of the TOML file with the settings of egretctl
    :param json: print the result as JSON
    """
    members = _client(settings).fleet()
    rows = [
        (m.data_centre, m.daemon, m.state, m.version, " ".join(m.targets) or "-") for m in members
    ]
    headings = ("data centre", "daemon", "state", "version", "targets")
    _print(members, as_table(headings, rows), json)


def timeline(
    *,
    ticket: int = 0,
    target: str = "",
    call: str = "",
    key: str = "",
    limit: int = DEFAULT_EVENT_LIMIT,
    settings: Path = DEFAULT_SETTINGS,
    json: bool = False,
) -> None:
    """Print the events of all daemons, sorted by the time of each daemon's clock.

    :param ticket: print only events of the ticket with this number
    :param target: print only events of the target with this id
    :param call: print only events of the call with this id
    :param key: print only events of this idempotency key
    :param limit: maximum number of events to print; the newest are printed
    :param settings: path of the TOML file with the settings of egretctl
    :param json: print the result as JSON
    """
    page = _client(settings).timeline(EventFilter(ticket, target, call, key), limit)
    rows = [
        (
            as_time(e.at_ms),
            e.instance,
            e.kind,
            e.ticket or "-",
            e.version or "-",
            e.target or e.call or e.key or "-",
            e.detail,
        )
        for e in page.events
    ]
    headings = ("time (UTC)", "instance", "event", "ticket", "version", "subject", "detail")
    text = as_table(headings, rows)
    for missing in page.missing:
        text += f"\nno answer from {missing.address}: {missing.reason}"
    _print(page, text, json)


def once(
    service: str,
    key: str,
    *,
    settle: Outcome | None = None,
    settings: Path = DEFAULT_SETTINGS,
    json: bool = False,
) -> None:
    """Show the state of a once-only call, or settle one whose outcome is unknown.

    :param service: service that was called
    :param key: Idempotency-Key of the call
    :param settle: outcome to record, as found out by the operator: RAN or NOT_RUN
    :param settings: path of the TOML file with the settings of egretctl
    :param json: print the result as JSON
    """
    client = _client(settings)
    status = client.settle(service, key, settle) if settle else client.once(service, key)
    text = f"{service}/{key}: {status.state}"
    if status.owner:
        text += f", by {status.owner} since {as_time(status.since_ms)}"
    if status.status:
        text += f", status {status.status}"
    _print(status, text, json)


def explain(call: str, *logs: Path, json: bool = False) -> None:
    """Show from the logs of the daemons what happened to a call and why.

    :param call: id of the call
    :param logs: files with log lines of the daemons; standard input if none are given
    :param json: print the result as JSON
    """
    events = []
    for path in logs:
        with path.open(encoding="utf-8", errors="replace") as lines:
            events += read_events(lines)
    if not logs:
        events = read_events(sys.stdin)
    trace = explain_call(call, events)
    _print(trace, format_trace(trace), json)


COMMANDS_BY_NAME = {
    "file": file,
    "accept": accept,
    "withdraw": withdraw,
    "show": show,
    "list": list_tickets,
    "fleet": fleet,
    "timeline": timeline,
    "once": once,
    "explain": explain,
}


def main() -> None:
    """Run `egretctl`; on an `EgretError`, print it and exit with its `exit_status`."""
    try:
        defopt.run(COMMANDS_BY_NAME)
    except EgretError as error:
        print(f"egretctl: {error.code}: {error.message}", file=sys.stderr)
        if error.next_step:
            print(f"egretctl: next: {error.next_step}", file=sys.stderr)
        sys.exit(error.exit_status)


def _client(settings: Path) -> OperatorClient:
    return OperatorClient(read_client_settings(settings))


def _print(document: Any, text: str, json: bool) -> None:
    print(as_json(document) if json else text)


def _print_ticket(ticket: Ticket, json: bool) -> None:
    version = f" at version {ticket.version}" if ticket.version else ""
    _print(ticket, f"ticket {ticket.number}: {ticket.state.value}{version}", json)


def _rollout_text(rollout: TicketRollout) -> str:
    """Return a ticket and the progress of its rollout at each daemon as text."""
    ticket = rollout.ticket
    lines = [
        f"ticket {ticket.number}: {ticket.body.title}",
        f"state: {ticket.state.value}",
        f"filed: {as_time(ticket.filed_at_ms)} by {ticket.writer.rpartition('-')[0]}",
    ]
    if ticket.version:
        lines.append(f"version: {ticket.version}")
    lines.append(f"in force at {rollout.in_force} of {rollout.daemons} daemons")
    rows = [
        (d.data_centre, d.daemon, d.version, "yes" if d.in_force else "no", d.state, d.refused)
        for d in rollout.standings
    ]
    headings = ("data centre", "daemon", "version", "in force", "state", "refused")
    return "\n".join(lines) + "\n" + as_table(headings, rows)


if __name__ == "__main__":
    main()
