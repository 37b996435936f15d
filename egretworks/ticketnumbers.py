"""Find the last ticket number taken, and remember where to start the next search for it."""

from __future__ import annotations

import msgspec

from egretworks.exceptions import (
    ObjectConflict,
    ObjectNotFound,
    PlatformUnavailable,
    TicketInvalid,
)
from egretworks.objects import LIST_LIMIT, ObjectStore, dump, load, object_name
from egretworks.types import TicketNumber

# Kinds of the objects on the platform.
TICKETS = "tickets"
HINTS = "hints"


class NumberHint(msgspec.Struct, frozen=True):
    """Hold a ticket number known to be taken, from which the search for the last one starts."""

    number: int


class TicketNumbers:
    """Find ticket numbers on `store`.

    The hint only saves reading the list of tickets from its start, so it may lag behind.
    """

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    def last(self) -> int:
        """Return the highest ticket number taken, or 0."""
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

    def raise_hint(self, number: int) -> None:
        """Raise the hint to `number`, ignoring failed writes."""
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


def parse_number(text: str) -> TicketNumber:
    """Return `text` as a ticket number, or raise `TicketInvalid`."""
    if not text.isdigit() or int(text) < 1:
        raise TicketInvalid(f"{text!r} is not a ticket number: it must be an integer from 1 up")
    return TicketNumber(int(text))
