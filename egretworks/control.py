"""Do what operators ask: an API that the command line is a thin shell over."""

from __future__ import annotations

import secrets
import time
from enum import Enum
from pathlib import Path

import msgspec

from egretworks.clock import MILLIS_PER_SECOND, SystemClock
from egretworks.config import ClientSettings
from egretworks.exceptions import FleetUnreachable, ObjectNotFound, OnceConflict, PlatformError
from egretworks.fleet import FleetClient, Unanswered
from egretworks.ledger import Ledger
from egretworks.objects import ObjectStore
from egretworks.once import (
    Answer,
    Record,
    Settlement,
    as_operation,
    full_key,
    settle_done,
    settle_not_run,
    shard_of,
)
from egretworks.operatorpages import CentreStatus, DaemonStatus, FleetMember, read_statuses
from egretworks.shards import LATER, ShardStore
from egretworks.state import preview
from egretworks.tickets import Ticket, read_ticket
from egretworks.timeline import Event, merge
from egretworks.types import OnceKey, OnceState, ServiceName, TicketNumber, TicketState, WriterMark


class Standing(msgspec.Struct, frozen=True, omit_defaults=True):
    """Tell where a ticket stands at one daemon."""

    data_centre: str
    daemon: str
    version: int
    in_force: bool
    state: str
    refused: str = ""


class TicketStanding(msgspec.Struct, frozen=True):
    """Tell where a ticket stands on the platform and across the fleet."""

    ticket: Ticket
    in_force: int
    daemons: int
    standings: tuple[Standing, ...]
    source: str


class FleetRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """Tell how one daemon stands, for the fleet's table."""

    data_centre: str
    daemon: str
    address: str
    state: str
    version: int
    targets: tuple[str, ...] = ()


class TimelinePage(msgspec.Struct, frozen=True):
    """Carry the merged time line and the daemons that it lacks."""

    events: tuple[Event, ...]
    missing: tuple[Unanswered, ...]


class EventFilter(msgspec.Struct, frozen=True):
    """Select events; an empty field selects all."""

    ticket: int = 0
    target: str = ""
    call: str = ""
    key: str = ""

    def selects(self, event: Event) -> bool:
        """Return whether `event` concerns what is asked for."""
        return (
            self.ticket in (0, event.ticket)
            and self.target in ("", event.target)
            and self.call in ("", event.call)
            and self.key in ("", event.key)
        )


class Outcome(str, Enum):
    """Say what an operator found out about a call whose outcome was unknown."""

    RAN = "ran"
    NOT_RUN = "not_run"


class OnceStanding(msgspec.Struct, frozen=True, omit_defaults=True):
    """Tell where a once-only call stands."""

    service: str
    key: str
    state: str
    owner: str = ""
    since_ms: float = 0.0
    status: int = 0


# What a repeated call gets whose first run an operator has vouched for.
SETTLED_ANSWER = Answer(200, "application/json", b'{"settled": "ran"}')


class OperatorClient:
    """Carry out operators' commands by `settings`."""

    def __init__(self, settings: ClientSettings) -> None:
        self._settings = settings
        self._store = ObjectStore(
            settings.platform.address, timeout_ms=settings.platform.timeout_ms
        )
        operator = settings.operator or "operator"
        self._ledger = Ledger(
            self._store,
            SystemClock(),
            lambda: WriterMark(f"{operator}-{secrets.token_hex(8)}"),
        )
        self._fleet = FleetClient()
        self._shards = ShardStore(
            self._store, lambda pause_ms: time.sleep(pause_ms / MILLIS_PER_SECOND)
        )

    def file(self, path: Path) -> Ticket:
        """File the ticket in the file `path`, if it fits the state in force."""
        body = read_ticket(path)
        preview(self._ledger.state(), body, TicketNumber(0))
        return self._ledger.file(body)

    def accept(self, number: TicketNumber) -> Ticket:
        """Accept ticket `number`."""
        return self._ledger.accept(number)

    def withdraw(self, number: TicketNumber) -> Ticket:
        """Withdraw ticket `number`."""
        return self._ledger.withdraw(number)

    def tickets(self, *, after: TicketNumber, limit: int) -> list[Ticket]:
        """Return up to `limit` tickets above `after`."""
        return self._ledger.list(after=after, limit=limit)

    def standing(self, number: TicketNumber) -> TicketStanding:
        """Return where ticket `number` stands, from the daemons or else the platform."""
        ticket = self._ledger.show(number)
        standings, source = self._standings(ticket)
        in_force = sum(standing.in_force for standing in standings)
        return TicketStanding(ticket, in_force, len(standings), tuple(standings), source)

    def fleet(self) -> list[FleetRow]:
        """Return every daemon known, by data centre."""
        rows = [
            FleetRow(
                data_centre=member.data_centre,
                daemon=member.status.id,
                address=f"{member.status.host}:{member.status.operator_port}",
                state=member.status.state,
                version=member.status.version,
                targets=member.status.targets,
            )
            for member in self._members()
        ]
        return sorted(rows, key=lambda row: (row.data_centre, row.daemon))

    def timeline(self, selected: EventFilter, limit: int) -> TimelinePage:
        """Return the last `limit` events selected, over all daemons that answer."""
        addresses = [row.address for row in self.fleet() if row.state in ("alive", "suspect")]
        events, missing = self._fleet.events(addresses)
        chosen = merge([event for event in events if selected.selects(event)])
        return TimelinePage(tuple(chosen[-limit:]), tuple(missing))

    def once(self, service: str, key: str) -> OnceStanding:
        """Return where the once-only call with `key` of `service` stands."""
        full = full_key(ServiceName(service), key)
        return _once_standing(service, key, self._shards.record(full))

    def settle(self, service: str, key: str, outcome: Outcome) -> OnceStanding:
        """Record what an operator found out about a call whose outcome is unknown.

        Raises `OnceConflict` where the outcome isn't unknown.
        """
        full = full_key(ServiceName(service), key)
        record = self._shards.record(full)
        if record is None or record.state is not OnceState.UNKNOWN:
            state = record.state.value if record else "absent"
            raise OnceConflict(f"{full} is {state}: only an unknown outcome can be settled")
        mark = WriterMark(record.mark)
        if outcome is Outcome.RAN:
            self._apply(full, lambda shard: settle_done(shard, full, mark, SETTLED_ANSWER))
        else:
            queued = self._is_kept(full)
            self._apply(full, lambda shard: settle_not_run(shard, full, mark, queued=queued))
        return self.once(service, key)

    def _apply(self, key: OnceKey, settlement: Settlement) -> None:
        self._shards.update(shard_of(key), [as_operation(settlement)])

    def _is_kept(self, key: OnceKey) -> bool:
        try:
            self._store.read(LATER, key)
        except ObjectNotFound:
            return False
        return True

    def _members(self) -> list[FleetMember]:
        """Return the fleet as the platform's statuses or, failing those, a daemon shows it."""
        try:
            return self._fleet.members(self._operator_addresses())
        except FleetUnreachable:
            statuses = read_statuses(self._store)
            if not statuses:
                raise
            return [member for status in statuses for member in _members_of(status)]

    def _operator_addresses(self) -> list[str]:
        """Return the addresses in the settings and those that the platform knows of."""
        addresses = list(self._settings.daemons)
        try:
            for status in read_statuses(self._store):
                addresses += [f"{m.host}:{m.operator_port}" for m in status.members[:3]]
        except PlatformError:
            if not addresses:
                raise
        return list(dict.fromkeys(addresses))

    def _standings(self, ticket: Ticket) -> tuple[list[Standing], str]:
        rows = self.fleet()
        living = [row for row in rows if row.state in ("alive", "suspect")]
        answers = self._fleet.statuses([row.address for row in living])
        standings = [
            _standing(ticket, row, answer) for row, answer in zip(living, answers, strict=True)
        ]
        return standings, "daemons"


def _once_standing(service: str, key: str, record: Record | None) -> OnceStanding:
    if record is None:
        return OnceStanding(service, key, "absent")
    status = record.answer.status if record.answer else 0
    return OnceStanding(service, key, record.state.value, record.owner, record.at_ms, status)


def _members_of(status: CentreStatus) -> list[FleetMember]:
    return [FleetMember(status.data_centre, member) for member in status.members]


def _standing(ticket: Ticket, row: FleetRow, answer: DaemonStatus | Unanswered) -> Standing:
    accepted = ticket.state is TicketState.ACCEPTED
    if isinstance(answer, Unanswered):
        return Standing(
            row.data_centre,
            row.daemon,
            row.version,
            accepted and row.version >= ticket.version,
            "no answer",
        )
    refused = answer.refused_reason if answer.refused_version == ticket.version else ""
    return Standing(
        row.data_centre,
        row.daemon,
        answer.version,
        accepted and answer.version >= ticket.version,
        "stopping" if answer.stopping else "ready" if answer.ready else "starting",
        refused if accepted else "",
    )
