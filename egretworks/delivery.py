"""Decide which version is in force, whom to pull from and who watches the platform."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from enum import Enum

import msgspec

from egretworks.exceptions import ChangeRefused, PeerError, TicketError
from egretworks.ledger import decode_state, encode_state
from egretworks.membership import rendezvous
from egretworks.messages import MemberRow, SyncReply, compress, decompress
from egretworks.state import Change, MeshState, apply_change
from egretworks.tickets import check_body, check_policies
from egretworks.types import Address, DataCentre, InstanceId, RandomSource, TicketNumber, Version

# A reply carries at most this many changes; a daemon further behind gets the whole state.
KEPT_CHANGES = 256
WATCHERS_PER_DATA_CENTRE = 2


class Offer(Enum):
    """Say what became of a change or state that was offered."""

    APPLIED = "applied"
    OLD = "old"
    GAP = "gap"
    REFUSED = "refused"


class Refusal(msgspec.Struct, frozen=True):
    """Record a version that this daemon could not apply, and why."""

    version: int
    ticket: int
    reason: str


class InForce:
    """Hold the state in force, which only ever moves to a higher version."""

    def __init__(self) -> None:
        self.state = MeshState()
        self.refusal: Refusal | None = None
        self._kept: deque[tuple[int, bytes]] = deque(maxlen=KEPT_CHANGES)

    @property
    def version(self) -> Version:
        """Return the version in force."""
        return self.state.version

    def offer(self, change: Change) -> Offer:
        """Apply `change` if it is the next version and fits; keep the state whole otherwise."""
        if change.version <= self.version:
            return Offer.OLD
        if change.version > self.version + 1:
            return Offer.GAP
        try:
            if not change.void:
                check_body(change.body)
            state = apply_change(self.state, change)
        except TicketError as error:
            return self.refuse(Version(change.version), TicketNumber(change.ticket), error.message)
        self.state = state
        self.refusal = None
        self._kept.append((change.version, compress(change)))
        return Offer.APPLIED

    def offer_state(self, state: MeshState) -> Offer:
        """Take over a whole, checked state if its version is higher."""
        if state.version <= self.version:
            return Offer.OLD
        try:
            check_policies(state.services_by_name.values())
        except TicketError as error:
            return self.refuse(state.version, state.ticket, error.message)
        self.state = state
        self.refusal = None
        self._kept.clear()
        return Offer.APPLIED

    def offer_unread(self, version: Version, value: str | bytes) -> Offer:
        """Apply the change in the object of `version`, or refuse one that can't be read."""
        if version <= self.version:
            return Offer.OLD
        try:
            change = msgspec.json.decode(value, type=Change)
        except (msgspec.MsgspecError, ValueError) as error:
            return self.refuse(version, TicketNumber(0), str(error))
        return self.offer(change)

    def refuse(self, version: Version, ticket: TicketNumber, reason: str) -> Offer:
        """Note that a version can't be applied; the state in force stays whole."""
        if version == self.version + 1 or self.refusal is None:
            self.refusal = Refusal(version, ticket, reason)
        return Offer.REFUSED

    def offer_reply(self, reply: SyncReply) -> Offer:
        """Take in what a peer sent: a whole state, changes, or both."""
        outcome = Offer.OLD
        try:
            if reply.state:
                outcome = self.offer_state(decode_state(reply.state))
            for data in reply.changes:
                outcome = self.offer(decompress(data, Change))
        except (ChangeRefused, PeerError) as error:
            return self.refuse(Version(reply.version), TicketNumber(0), str(error))
        return outcome

    def reply_after(self, version: Version) -> SyncReply:
        """Return what a peer at `version` needs to come up to this one."""
        missing = [data for number, data in self._kept if number > version]
        if len(missing) == self.version - version:
            return SyncReply(self.version, changes=tuple(missing))
        if version >= self.version:
            return SyncReply(self.version)
        return SyncReply(self.version, state=encode_state(self.state))


def watchers(living: Iterable[MemberRow], data_centre: DataCentre) -> list[InstanceId]:
    """Return the daemons that watch the platform for `data_centre`."""
    ids = [row.id for row in living if row.data_centre == data_centre]
    return rendezvous(ids, f"watch/{data_centre}", WATCHERS_PER_DATA_CENTRE)


def aggregator(living: Iterable[MemberRow], data_centre: DataCentre) -> InstanceId | None:
    """Return the daemon that writes the status of `data_centre`."""
    ids = [row.id for row in living if row.data_centre == data_centre]
    chosen = rendezvous(ids, f"status/{data_centre}", 1)
    return chosen[0] if chosen else None


def pull_sources(
    version: Version,
    living: Iterable[MemberRow],
    versions_by_id: dict[InstanceId, Version],
    data_centre: DataCentre,
    random: RandomSource,
) -> list[MemberRow]:
    """Return the members known to be ahead of `version`, best first: near ones, then any."""
    ahead = [row for row in living if versions_by_id.get(InstanceId(row.id), 0) > version]
    random.shuffle(ahead)
    ahead.sort(key=lambda row: row.data_centre != data_centre)
    return ahead


def most_answered(seeds: Iterable[Address], answered: set[Address]) -> bool:
    """Return whether more than half of `seeds` have answered."""
    asked = set(seeds)
    return 2 * len(asked & answered) > len(asked)
