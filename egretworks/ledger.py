"""File, accept and withdraw tickets on the platform, in one order that all agree on.

A ticket's own object fences the race between accepting and withdrawing it. The order of
versions is the sequence of `changes` objects: creating number V+1 succeeds for one writer only.
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
    PeerError,
    PlatformUnavailable,
    TicketConflict,
    TicketInvalid,
    TicketNotFound,
)
from egretworks.messages import compress, decompress
from egretworks.objects import LIST_LIMIT, ObjectStore, StoredObject, dump, load
from egretworks.resources import TicketBody
from egretworks.state import (
    Change,
    MeshState,
    apply_change,
    change_for,
    check_whole,
    stamped,
    void_change,
)
from egretworks.tickets import Ticket, check_body
from egretworks.types import TicketNumber, TicketState, Version, WriterMark

TICKETS = "tickets"
CHANGES = "changes"
SNAPSHOTS = "snapshots"
HINTS = "hints"
LATEST = "latest"
MAX_TRIES = 50


class NumberHint(msgspec.Struct, frozen=True):
    """Point at a ticket number that is known to be taken."""

    number: int


class SnapshotPointer(msgspec.Struct, frozen=True):
    """Point at the newest snapshot of the mesh's state."""

    version: int


class Filed(msgspec.Struct, frozen=True):
    """Pair a ticket with the tag of the object that holds it."""

    ticket: Ticket
    etag: str


def object_name(number: int) -> str:
    """Return `number` as a name that sorts in numeric order."""
    return f"{number:012d}"


class Ledger:
    """Keep tickets and the order of changes on `store`.

    `new_mark` returns a unique mark at each call; it tells an own write whose answer was lost
    from another operator's.
    """

    def __init__(
        self, store: ObjectStore, clock: Clock, new_mark: Callable[[], WriterMark]
    ) -> None:
        self._store = store
        self._clock = clock
        self._new_mark = new_mark

    def file(self, body: TicketBody) -> Ticket:
        """Store `body` under the next free number and return the ticket."""
        check_body(body)
        mark = self._new_mark()
        number = self._last_number() + 1
        for _ in range(MAX_TRIES):
            ticket = Ticket(number, body, mark, self._clock.wall())
            if self._create_own(TICKETS, number, dump(ticket), mark, Ticket):
                self._hint(number)
                return ticket
            # Others may have filed many while this one was held up.
            number = max(number, self._last_number()) + 1
        raise TicketConflict("other operators took every number tried", next_step="file again")

    def accept(self, number: TicketNumber) -> Ticket:
        """Put ticket `number` in force after all changes so far and return it.

        Raises `TicketConflict` when it was withdrawn, and `ChangeRefused` when it doesn't fit the
        state in force: it then stays filed, or is refused for good where another change came
        between the check and the order. An acceptance that was cut short is completed.
        """
        filed = self._read_ticket(number)
        if filed.ticket.state in (TicketState.ACCEPTED, TicketState.REFUSED):
            return _raise_refused(filed.ticket)
        if filed.ticket.state is TicketState.WITHDRAWN:
            raise TicketConflict(f"ticket {number} was withdrawn", next_step="file a new ticket")
        if filed.ticket.state is TicketState.FILED:
            filed = self._begin_accepting(filed)
        return self._complete(filed)

    def withdraw(self, number: TicketNumber) -> Ticket:
        """Withdraw ticket `number`, or raise `TicketConflict` once it is being accepted."""
        for _ in range(MAX_TRIES):
            filed = self._read_ticket(number)
            if filed.ticket.state is TicketState.WITHDRAWN:
                return filed.ticket
            if filed.ticket.state is not TicketState.FILED:
                raise TicketConflict(
                    f"ticket {number} is {filed.ticket.state.value}",
                    next_step="file a new ticket that carries the state you want",
                )
            changed = msgspec.structs.replace(filed.ticket, state=TicketState.WITHDRAWN)
            done = self._update_ticket(filed, changed)
            if done is not None:
                return done.ticket
        raise TicketConflict(f"ticket {number} keeps changing", next_step="look at it again")

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
        """Store `state` as the newest snapshot, unless a newer one stands."""
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
        """Yield the accepted changes above `version`, in order."""
        for _, value in self.written_changes_after(version):
            yield load(value, Change)

    def written_changes_after(self, version: Version) -> Iterator[tuple[Version, str]]:
        """Yield the versions above `version` with their changes as written, in order."""
        after = version
        while True:
            page = self._store.list(CHANGES, after=object_name(after))
            for item in page.items:
                after = Version(int(item.name))
                yield after, item.value
            if len(page.items) < LIST_LIMIT:
                return

    def _begin_accepting(self, filed: Filed) -> Filed:
        state = self.state()
        # The check comes before the fence, so that a ticket that doesn't fit stays filed.
        change_for(state, TicketNumber(filed.ticket.number), filed.ticket.body)
        for _ in range(MAX_TRIES):
            changed = msgspec.structs.replace(
                filed.ticket, state=TicketState.ACCEPTING, accepting_after=state.version
            )
            done = self._update_ticket(filed, changed)
            if done is not None:
                return done
            filed = self._read_ticket(TicketNumber(filed.ticket.number))
            if filed.ticket.state is TicketState.WITHDRAWN:
                raise TicketConflict(f"ticket {filed.ticket.number} was withdrawn meanwhile")
            if filed.ticket.state is not TicketState.FILED:
                return filed
        raise TicketConflict(f"ticket {filed.ticket.number} keeps changing")

    def _complete(self, filed: Filed) -> Ticket:
        """Append the change of a ticket that is being accepted, unless it is there already."""
        number = TicketNumber(filed.ticket.number)
        mark = self._new_mark()
        for _ in range(MAX_TRIES):
            # The state is read before the search: a change for this ticket that the search
            # misses then has a version above the state's, and appending after it fails.
            state = self.state()
            change = self._find_change(filed.ticket)
            if change is None:
                change = self._append(filed.ticket, state, mark)
            if change is not None:
                return self._finish(number, change)
        raise TicketConflict(
            f"other operators' changes kept going before ticket {number}",
            next_step=f"accept {number} again",
        )

    def _append(self, ticket: Ticket, state: MeshState, mark: WriterMark) -> Change | None:
        """Return the change as appended after `state`, or None where another came first."""
        number = TicketNumber(ticket.number)
        try:
            change = change_for(state, number, ticket.body)
        except ChangeRefused as error:
            change = void_change(state, number, error.message)
        change = stamped(change, mark, self._clock.wall())
        if self._create_own(CHANGES, change.version, dump(change), mark, Change):
            return change
        return None

    def _find_change(self, ticket: Ticket) -> Change | None:
        for change in self.changes_after(Version(ticket.accepting_after)):
            if change.ticket == ticket.number:
                return change
        return None

    def _finish(self, number: TicketNumber, change: Change) -> Ticket:
        state = TicketState.REFUSED if change.void else TicketState.ACCEPTED
        for _ in range(MAX_TRIES):
            filed = self._read_ticket(number)
            if filed.ticket.state is state:
                return _raise_refused(filed.ticket)
            changed = msgspec.structs.replace(
                filed.ticket, state=state, version=change.version, reason=change.void
            )
            done = self._update_ticket(filed, changed)
            if done is not None:
                return _raise_refused(done.ticket)
        raise TicketConflict(f"ticket {number} keeps changing", next_step=f"accept {number} again")

    def _read_ticket(self, number: TicketNumber) -> Filed:
        try:
            stored = self._store.read(TICKETS, object_name(number))
        except ObjectNotFound as error:
            raise TicketNotFound(f"ticket {number} was never filed") from error
        return Filed(load(stored.value, Ticket), stored.etag)

    def _update_ticket(self, filed: Filed, changed: Ticket) -> Filed | None:
        """Return the ticket as written, or None where another writer was first."""
        name = object_name(changed.number)
        try:
            etag = self._store.update(TICKETS, name, dump(changed), filed.etag)
        except ObjectConflict:
            return None
        except PlatformUnavailable:
            # The answer may be lost and the write in effect: what stands there now decides.
            stored = self._store.read(TICKETS, name)
            if load(stored.value, Ticket) != changed:
                raise
            etag = stored.etag
        return Filed(changed, etag)

    def _create_own(
        self, kind: str, number: int, value: bytes, mark: WriterMark, document: type
    ) -> bool:
        """Create an object and return whether the one that stands there is our own."""
        name = object_name(number)
        try:
            self._store.create(kind, name, value)
        except (ObjectConflict, PlatformUnavailable) as error:
            return self._is_own(kind, name, mark, document, error)
        return True

    def _is_own(
        self, kind: str, name: str, mark: WriterMark, document: type, error: Exception
    ) -> bool:
        try:
            stored: StoredObject = self._store.read(kind, name)
        except ObjectNotFound:
            raise error from None
        return load(stored.value, document).writer == mark

    def _last_number(self) -> int:
        """Return the highest number taken; the hint only saves reading from the first one."""
        try:
            number = load(self._store.read(HINTS, TICKETS).value, NumberHint).number
        except ObjectNotFound:
            number = 0
        while True:
            page = self._store.list(TICKETS, after=object_name(number))
            if page.items:
                number = int(page.items[-1].name)
            if len(page.items) < LIST_LIMIT:
                return number

    def _hint(self, number: int) -> None:
        value = dump(NumberHint(number))
        try:
            current = self._store.read(HINTS, TICKETS)
            if load(current.value, NumberHint).number < number:
                self._store.update(HINTS, TICKETS, value, current.etag)
        except ObjectNotFound:
            self._try_create_hint(value)
        except (ObjectConflict, PlatformUnavailable):
            return

    def _try_create_hint(self, value: bytes) -> None:
        try:
            self._store.create(HINTS, TICKETS, value)
        except (ObjectConflict, PlatformUnavailable):
            return


def _raise_refused(ticket: Ticket) -> Ticket:
    """Return `ticket` if it was accepted, or raise `ChangeRefused` with the reason."""
    if ticket.state is TicketState.REFUSED:
        raise ChangeRefused(
            f"ticket {ticket.number} was refused: {ticket.reason}", next_step="file a new ticket"
        )
    return ticket


def encode_state(state: MeshState) -> bytes:
    """Encode `state` compressed, for a snapshot or a peer."""
    return compress(state)


def decode_state(data: bytes) -> MeshState:
    """Decode a state and check that it is whole, or raise `ChangeRefused`."""
    try:
        state = decompress(data, MeshState)
    except PeerError as error:
        raise ChangeRefused(f"a snapshot can't be read: {error}") from error
    check_whole(state)
    return state


def parse_number(text: str) -> TicketNumber:
    """Return `text` as a ticket number, or raise `TicketInvalid`."""
    if not text.isdigit() or int(text) < 1:
        raise TicketInvalid(f"{text!r} isn't a ticket number")
    return TicketNumber(int(text))
