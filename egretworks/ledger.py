"""Store tickets on the platform and append accepted ones to a totally ordered log of changes.

Conditional updates of a ticket's object decide a race between accepting and withdrawing it.
The log is the sequence of `changes` objects, numbered by version: only one writer succeeds in
creating version V+1.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

import msgspec

from egretworks.clock import Clock
from egretworks.exceptions import (
    ChangeRefused,
    ObjectConflict,
    ObjectNotFound,
    PlatformUnavailable,
    TicketConflict,
    TicketNotFound,
)
from egretworks.objects import LIST_LIMIT, ObjectStore, StoredObject, dump, load, object_name
from egretworks.resources import TicketBody
from egretworks.state import (
    Change,
    MeshState,
    apply_change,
    change_for,
    void_change,
    with_origin,
)
from egretworks.statecoding import decode_state, encode_state
from egretworks.ticketnumbers import TICKETS, TicketNumbers
from egretworks.tickets import Ticket, check_body
from egretworks.types import TicketNumber, TicketState, Version, WriterMark

# Kinds of the objects on the platform.
CHANGES = "changes"
SNAPSHOTS = "snapshots"
# Name of the object, of kind `SNAPSHOTS`, that points at the newest snapshot.
LATEST = "latest"
# Attempts at a conditional write that loses to other writers.
MAX_TRIES = 50


class SnapshotPointer(msgspec.Struct, frozen=True):
    """Hold the version of the newest snapshot of the mesh's state."""

    version: int


class StoredTicket(msgspec.Struct, frozen=True):
    """Hold a ticket as read from the platform, with the entity tag of its object."""

    ticket: Ticket
    etag: str


class Ledger:
    """Read and write tickets, the log of changes and its snapshots on `store`.

    `new_mark` returns a unique mark at each call. The mark is stored with a new object, so that
    a write that took effect although its answer was lost is told apart from another operator's.
    """

    def __init__(
        self, store: ObjectStore, clock: Clock, new_mark: Callable[[], WriterMark]
    ) -> None:
        self._store = store
        self._clock = clock
        self._new_mark = new_mark
        self._numbers = TicketNumbers(store)

    def file(self, body: TicketBody) -> Ticket:
        """Store `body` under the next free number and return the ticket.

        Raises `TicketInvalid` for an inconsistent body, and `TicketConflict` when other operators
        took all of `MAX_TRIES` numbers first.
        """
        check_body(body)
        mark = self._new_mark()
        number = self._numbers.last() + 1
        for _ in range(MAX_TRIES):
            ticket = Ticket(number, body, mark, self._clock.wall())
            if self._create_marked(TICKETS, number, dump(ticket), mark, Ticket):
                self._numbers.raise_hint(number)
                return ticket
            # Other operators may have filed many tickets since the last read.
            number = max(number, self._numbers.last()) + 1
        raise TicketConflict(
            f"other operators took each of {MAX_TRIES} ticket numbers first",
            next_step="file again",
        )

    def accept(self, number: TicketNumber) -> Ticket:
        """Put ticket `number` in force after all changes so far and return it.

        Raises `TicketConflict` when the ticket was withdrawn, and `ChangeRefused` when it does not
        apply to the state in force. A ticket that fails this check stays filed; one that passes
        it, but no longer applies because another change was appended first, is refused
        permanently. An acceptance that was interrupted is completed. `TicketConflict` is also
        raised when other operators' writes come first at each of `MAX_TRIES` attempts.
        """
        current = self._read_ticket(number)
        if current.ticket.state in (TicketState.ACCEPTED, TicketState.REFUSED):
            return _raise_if_refused(current.ticket)
        if current.ticket.state is TicketState.WITHDRAWN:
            raise TicketConflict(f"ticket {number} was withdrawn", next_step="file a new ticket")
        if current.ticket.state is TicketState.FILED:
            current = self._begin_accepting(current)
        return self._complete(current)

    def withdraw(self, number: TicketNumber) -> Ticket:
        """Withdraw ticket `number`, or raise `TicketConflict` if its acceptance has begun."""
        for _ in range(MAX_TRIES):
            current = self._read_ticket(number)
            if current.ticket.state is TicketState.WITHDRAWN:
                return current.ticket
            if current.ticket.state is not TicketState.FILED:
                raise TicketConflict(
                    f"ticket {number} is {current.ticket.state.value}",
                    next_step="file a new ticket that carries the state you want",
                )
            changed = msgspec.structs.replace(current.ticket, state=TicketState.WITHDRAWN)
            done = self._update_ticket(current, changed)
            if done is not None:
                return done.ticket
        raise TicketConflict(
            f"ticket {number} was changed by other operators at each of {MAX_TRIES} attempts",
            next_step="look at it again",
        )

    def show(self, number: TicketNumber) -> Ticket:
        """Return ticket `number`, or raise `TicketNotFound`."""
        return self._read_ticket(number).ticket

    def list(self, *, after: TicketNumber, limit: int) -> list[Ticket]:
        """Return up to `limit` tickets with numbers above `after`."""
        name = object_name(after) if after else ""
        page = self._store.list(TICKETS, after=name, limit=limit)
        return [load(item.value, Ticket) for item in page.items]

    def state(self) -> MeshState:
        """Return the newest state in force, from the last snapshot and the changes after it."""
        state = self.snapshot()
        for change in self.changes_after(state.version):
            state = apply_change(state, change)
        return state

    def snapshot(self) -> MeshState:
        """Return the newest snapshot, or the empty state where there is none."""
        try:
            pointer = load(self._store.read(SNAPSHOTS, LATEST).value, SnapshotPointer)
            stored = self._store.read(SNAPSHOTS, object_name(pointer.version))
        except ObjectNotFound:
            return MeshState()
        return decode_state(stored.value)

    def write_snapshot(self, state: MeshState) -> None:
        """Store `state` as the newest snapshot, unless there is a newer one.

        Raises `ObjectConflict` when another writer moved the pointer first.
        """
        with contextlib.suppress(ObjectConflict):
            self._store.create(SNAPSHOTS, object_name(state.version), encode_state(state))
        value = dump(SnapshotPointer(state.version))
        try:
            current = self._store.read(SNAPSHOTS, LATEST)
        except ObjectNotFound:
            self._store.create(SNAPSHOTS, LATEST, value)
            return
        if load(current.value, SnapshotPointer).version < state.version:
            self._store.update(SNAPSHOTS, LATEST, value, current.etag)

    def changes_after(self, version: Version) -> Iterator[Change]:
        """Yield the changes with versions above `version`, in order, void ones included."""
        for _, value in self.encoded_changes_after(version):
            yield load(value, Change)

    def encoded_changes_after(self, version: Version) -> Iterator[tuple[Version, str]]:
        """Yield each version above `version`, in order, with its change still encoded as JSON."""
        after = version
        while True:
            page = self._store.list(CHANGES, after=object_name(after))
            for item in page.items:
                after = Version(int(item.name))
                yield after, item.value
            if len(page.items) < LIST_LIMIT:
                return

    def _begin_accepting(self, current: StoredTicket) -> StoredTicket:
        state = self.state()
        # Checked before the ticket becomes `ACCEPTING`, so that one that does not apply stays
        # filed.
        change_for(state, TicketNumber(current.ticket.number), current.ticket.body)
        for _ in range(MAX_TRIES):
            changed = msgspec.structs.replace(
                current.ticket, state=TicketState.ACCEPTING, accepting_after=state.version
            )
            done = self._update_ticket(current, changed)
            if done is not None:
                return done
            current = self._read_ticket(TicketNumber(current.ticket.number))
            if current.ticket.state is TicketState.WITHDRAWN:
                raise TicketConflict(
                    f"ticket {current.ticket.number} was withdrawn while it was being accepted"
                )
            if current.ticket.state is not TicketState.FILED:
                return current
        raise TicketConflict(
            f"ticket {current.ticket.number} was changed by other operators "
            f"at each of {MAX_TRIES} attempts"
        )

    def _complete(self, current: StoredTicket) -> Ticket:
        """Append the change of an `ACCEPTING` ticket, unless the log has it already."""
        number = TicketNumber(current.ticket.number)
        mark = self._new_mark()
        for _ in range(MAX_TRIES):
            # The state is read before the search. A change for this ticket that is appended after
            # the search then has a version above the state's, so that appending a second change
            # right after the state fails.
            state = self.state()
            change = self._find_change(current.ticket)
            if change is None:
                change = self._append(current.ticket, state, mark)
            if change is not None:
                return self._record_outcome(number, change)
        raise TicketConflict(
            f"other operators appended their changes first at each of {MAX_TRIES} attempts "
            f"to accept ticket {number}",
            next_step=f"accept {number} again",
        )

    def _append(self, ticket: Ticket, state: MeshState, mark: WriterMark) -> Change | None:
        """Append the change of `ticket` after `state`; return None where another came first.

        A ticket that no longer applies to `state` gets a void change.
        """
        number = TicketNumber(ticket.number)
        try:
            change = change_for(state, number, ticket.body)
        except ChangeRefused as error:
            change = void_change(state, number, error.message)
        change = with_origin(change, mark, self._clock.wall())
        if self._create_marked(CHANGES, change.version, dump(change), mark, Change):
            return change
        return None

    def _find_change(self, ticket: Ticket) -> Change | None:
        """Return the change that an earlier acceptance of `ticket` appended, or None."""
        for change in self.changes_after(Version(ticket.accepting_after)):
            if change.ticket == ticket.number:
                return change
        return None

    def _record_outcome(self, number: TicketNumber, change: Change) -> Ticket:
        """Mark ticket `number` as accepted or, where `change` is void, as refused."""
        state = TicketState.REFUSED if change.void else TicketState.ACCEPTED
        for _ in range(MAX_TRIES):
            current = self._read_ticket(number)
            if current.ticket.state is state:
                return _raise_if_refused(current.ticket)
            changed = msgspec.structs.replace(
                current.ticket, state=state, version=change.version, reason=change.void
            )
            done = self._update_ticket(current, changed)
            if done is not None:
                return _raise_if_refused(done.ticket)
        raise TicketConflict(
            f"ticket {number} was changed by other operators at each of {MAX_TRIES} attempts",
            next_step=f"accept {number} again",
        )

    def _read_ticket(self, number: TicketNumber) -> StoredTicket:
        try:
            stored = self._store.read(TICKETS, object_name(number))
        except ObjectNotFound as error:
            raise TicketNotFound(f"ticket {number} was never filed") from error
        return StoredTicket(load(stored.value, Ticket), stored.etag)

    def _update_ticket(self, current: StoredTicket, changed: Ticket) -> StoredTicket | None:
        """Replace the version of `current` by `changed`, or return None after a conflict."""
        name = object_name(changed.number)
        try:
            etag = self._store.update(TICKETS, name, dump(changed), current.etag)
        except ObjectConflict:
            return None
        except PlatformUnavailable:
            # The write may have taken effect although its answer was lost: the stored ticket shows
            # whether it did.
            stored = self._store.read(TICKETS, name)
            if load(stored.value, Ticket) != changed:
                raise
            etag = stored.etag
        return StoredTicket(changed, etag)

    def _create_marked(
        self, kind: str, number: int, value: bytes, mark: WriterMark, document: type
    ) -> bool:
        """Create an object and return whether the stored one carries `mark`.

        The result is also True for a write that took effect although its answer was lost. The
        error of the write is raised if the object does not exist after it.
        """
        name = object_name(number)
        try:
            self._store.create(kind, name, value)
        except (ObjectConflict, PlatformUnavailable) as error:
            return self._has_mark(kind, name, mark, document, error)
        return True

    def _has_mark(
        self, kind: str, name: str, mark: WriterMark, document: type, error: Exception
    ) -> bool:
        """Return whether the object carries `mark`; raise `error` if it does not exist."""
        try:
            stored: StoredObject = self._store.read(kind, name)
        except ObjectNotFound:
            raise error from None
        return load(stored.value, document).writer == mark


def _raise_if_refused(ticket: Ticket) -> Ticket:
    """Return `ticket`, or raise `ChangeRefused` with the reason if it was refused."""
    if ticket.state is TicketState.REFUSED:
        raise ChangeRefused(
            f"ticket {ticket.number} was refused: {ticket.reason}", next_step="file a new ticket"
        )
    return ticket
