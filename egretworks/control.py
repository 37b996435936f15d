"""Carry out operators' commands; the command line only parses arguments and prints results."""

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


class DaemonRollout(msgspec.Struct, frozen=True, omit_defaults=True):
    """Report how far one daemon is with a ticket.

    `state` is "starting", "ready" or "stopping", or "no answer"; `version` is then the last one
    that its peers or the platform know.
    `refused` is the reason why the daemon could not apply the ticket.
    """

    data_centre: str
    daemon: str
    version: int
    in_force: bool
    state: str
    refused: str = ""


class TicketRollout(msgspec.Struct, frozen=True):
    """Report a ticket as stored on the platform, and how far each daemon is with it.

    `in_force` counts the daemons that have it in force, out of `daemons`.
    """

    ticket: Ticket
    in_force: int
    daemons: int
    standings: tuple[DaemonRollout, ...]
    # Where `standings` come from; always "daemons".
    source: str


class FleetRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """Describe one daemon, as a row of the table that `egretctl fleet` prints."""

    data_centre: str
    daemon: str
    address: str
    state: str
    version: int
    targets: tuple[str, ...] = ()


class TimelinePage(msgspec.Struct, frozen=True):
    """Hold the merged events of the daemons, and the daemons whose events are missing."""

    events: tuple[Event, ...]
    missing: tuple[Unanswered, ...]


class EventFilter(msgspec.Struct, frozen=True):
    """Select the events that match all fields; an empty field or 0 matches any event."""

    ticket: int = 0
    target: str = ""
    call: str = ""
    key: str = ""

    def selects(self, event: Event) -> bool:
        """Return whether `event` matches all fields."""
        return (
            self.ticket in (0, event.ticket)
            and self.target in ("", event.target)
            and self.call in ("", event.call)
            and self.key in ("", event.key)
        )


class Outcome(str, Enum):
    """What an operator has established about a call with an unknown outcome: whether it ran."""

    RAN = "ran"
    NOT_RUN = "not_run"


class OnceStatus(msgspec.Struct, frozen=True, omit_defaults=True):
    """Report the state of a once-only call, as recorded on the platform."""

    service: str
    key: str
    # Value of an `OnceState`, or "absent" where there is no record.
    state: str
    owner: str = ""
    since_ms: float = 0.0
    status: int = 0


# Answer to a repeated call after an operator has settled the first one as `Outcome.RAN`.
SETTLED_ANSWER = Answer(200, "application/json", b'{"settled": "ran"}')


class OperatorClient:
    """Carry out commands on the platform and the fleet of daemons that `settings` name."""

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
        """File the ticket in the file `path`, or raise if it does not apply to the state in force.

        Raises `TicketInvalid` or `ChangeRefused`.
        """
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
        """Return up to `limit` tickets with numbers above `after`."""
        return self._ledger.list(after=after, limit=limit)

    def rollout(self, number: TicketNumber) -> TicketRollout:
        """Return ticket `number` and how far each live daemon is with it.

        For a daemon that does not answer, the version that its peers or the platform know counts.
        """
        ticket = self._ledger.show(number)
        rollouts, source = self._rollouts(ticket)
        in_force = sum(rollout.in_force for rollout in rollouts)
        return TicketRollout(ticket, in_force, len(rollouts), tuple(rollouts), source)

    def fleet(self) -> list[FleetRow]:
        """Return all known daemons, sorted by data centre and id."""
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

    def timeline(self, event_filter: EventFilter, limit: int) -> TimelinePage:
        """Return the last `limit` events that `event_filter` selects from all daemons."""
        addresses = [row.address for row in self.fleet() if row.state in ("alive", "suspect")]
        events, missing = self._fleet.events(addresses)
        merged = merge([event for event in events if event_filter.selects(event)])
        return TimelinePage(tuple(merged[-limit:]), tuple(missing))

    def once(self, service: str, key: str) -> OnceStatus:
        """Return the state of the once-only call to `service` with `key`."""
        full = full_key(ServiceName(service), key)
        return _once_status(service, key, self._shards.record(full))

    def settle(self, service: str, key: str, outcome: Outcome) -> OnceStatus:
        """Record the `outcome` that an operator has established for a call with an unknown one.

        A call that did not run is queued again if its request is stored for later; otherwise its
        key is freed. Raises `OnceConflict` if the outcome is not unknown.
        """
        full = full_key(ServiceName(service), key)
        record = self._shards.record(full)
        if record is None or record.state is not OnceState.UNKNOWN:
            state = record.state.value if record else "absent"
            raise OnceConflict(
                f"the call {full} is {state}: only one with an unknown outcome can be settled"
            )
        mark = WriterMark(record.mark)
        if outcome is Outcome.RAN:
            self._apply(full, lambda shard: settle_done(shard, full, mark, SETTLED_ANSWER))
        else:
            queued = self._is_stored_for_later(full)
            self._apply(full, lambda shard: settle_not_run(shard, full, mark, queued=queued))
        return self.once(service, key)

    def _apply(self, key: OnceKey, settlement: Settlement) -> None:
        self._shards.update(shard_of(key), [as_operation(settlement)])

    def _is_stored_for_later(self, key: OnceKey) -> bool:
        try:
            self._store.read(LATER, key)
        except ObjectNotFound:
            return False
        return True

    def _members(self) -> list[FleetMember]:
        """Return the fleet as a daemon sees it or, if none answers, as the platform lists it."""
        try:
            return self._fleet.members(self._operator_addresses())
        except FleetUnreachable:
            statuses = read_statuses(self._store)
            if not statuses:
                raise
            return [member for status in statuses for member in _members_of(status)]

    def _operator_addresses(self) -> list[str]:
        """Return the addresses in the settings, and of up to three daemons per data centre.

        The latter come from the platform; its failure is ignored if the settings name any daemon.
        """
        addresses = list(self._settings.daemons)
        try:
            for status in read_statuses(self._store):
                addresses += [f"{m.host}:{m.operator_port}" for m in status.members[:3]]
        except PlatformError:
            if not addresses:
                raise
        return list(dict.fromkeys(addresses))

    def _rollouts(self, ticket: Ticket) -> tuple[list[DaemonRollout], str]:
        """Return how far each live daemon is with `ticket`, and where that comes from."""
        rows = self.fleet()
        live = [row for row in rows if row.state in ("alive", "suspect")]
        answers = self._fleet.statuses([row.address for row in live])
        rollouts = [
            _daemon_rollout(ticket, row, answer) for row, answer in zip(live, answers, strict=True)
        ]
        return rollouts, "daemons"


def _once_status(service: str, key: str, record: Record | None) -> OnceStatus:
    if record is None:
        return OnceStatus(service, key, "absent")
    status = record.answer.status if record.answer else 0
    return OnceStatus(service, key, record.state.value, record.owner, record.at_ms, status)


def _members_of(status: CentreStatus) -> list[FleetMember]:
    return [FleetMember(status.data_centre, member) for member in status.members]


def _daemon_rollout(
    ticket: Ticket, row: FleetRow, answer: DaemonStatus | Unanswered
) -> DaemonRollout:
    accepted = ticket.state is TicketState.ACCEPTED
    if isinstance(answer, Unanswered):
        return DaemonRollout(
            row.data_centre,
            row.daemon,
            row.version,
            accepted and row.version >= ticket.version,
            "no answer",
        )
    refused = answer.refused_reason if answer.refused_version == ticket.version else ""
    return DaemonRollout(
        row.data_centre,
        row.daemon,
        answer.version,
        accepted and answer.version >= ticket.version,
        "stopping" if answer.stopping else "ready" if answer.ready else "starting",
        refused if accepted else "",
    )
