"""Hold the mesh state in force, and choose peers to pull from, watchers and aggregators.

Nothing here does I/O. A version is in force at a daemon once the daemon has applied it; the state
in force only ever moves to a higher version. A watcher is a daemon that watches the platform for
its data centre; an aggregator writes the status of its data centre to the platform.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from enum import Enum

import msgspec

from egretworks.decoding import DECODE_ERRORS
from egretworks.exceptions import ChangeRefused, PeerError, TicketError
from egretworks.messages import MemberRow, SyncReply, compress, decompress
from egretworks.rendezvous import rendezvous
from egretworks.state import Change, MeshState, apply_change
from egretworks.statecoding import decode_state, encode_state
from egretworks.tickets import check_balancing_policies, check_body
from egretworks.types import Address, DataCentre, InstanceId, RandomSource, TicketNumber, Version

# The newest changes, up to this many, are kept for replies to peers. A peer further behind gets the
# whole state.
MAX_KEPT_CHANGES = 256
WATCHERS_PER_DATA_CENTRE = 2


class OfferResult(Enum):
    """Result of offering a change or a state.

    `OLD`: its version is not above the one in force. `GAP`: a version before it is missing.
    `REFUSED`: it cannot be applied, see `InForce.refusal`.
    """

    APPLIED = "applied"
    OLD = "old"
    GAP = "gap"
    REFUSED = "refused"


class Refusal(msgspec.Struct, frozen=True):
    """A version that this daemon could not apply, and the reason."""

    version: int
    ticket: int
    reason: str


class InForce:
    """Hold the state in force and the recent changes that led to it.

    The version never goes down. A refused change or state leaves the state in force unchanged;
    `refusal` holds it until another change or state is applied.
    """

    def __init__(self) -> None:
        self.state = MeshState()
        self.refusal: Refusal | None = None
        self._recent_changes: deque[tuple[int, bytes]] = deque(maxlen=MAX_KEPT_CHANGES)

    @property
    def version(self) -> Version:
        """Return the version in force."""
        return self.state.version

    def offer(self, change: Change) -> OfferResult:
        """Apply `change` if it is valid and the next version; otherwise keep the state as it is."""
        if change.version <= self.version:
            return OfferResult.OLD
        if change.version > self.version + 1:
            return OfferResult.GAP
        try:
            if not change.void:
                check_body(change.body)
            state = apply_change(self.state, change)
        except TicketError as error:
            return self.refuse(Version(change.version), TicketNumber(change.ticket), error.message)
        self.state = state
        self.refusal = None
        self._recent_changes.append((change.version, compress(change)))
        return OfferResult.APPLIED

    def offer_state(self, state: MeshState) -> OfferResult:
        """Replace the state with `state` if its version is higher.

        `state` must have passed `check_state`, as those from `decode_state` have. It is refused if
        this build lacks one of its balancing policies.
        """
        if state.version <= self.version:
            return OfferResult.OLD
        try:
            check_balancing_policies(state.services_by_name.values())
        except TicketError as error:
            return self.refuse(state.version, state.ticket, error.message)
        self.state = state
        self.refusal = None
        self._recent_changes.clear()
        return OfferResult.APPLIED

    def offer_encoded(self, version: Version, value: str | bytes) -> OfferResult:
        """Decode and apply the change stored as `version`; refuse one that cannot be decoded."""
        if version <= self.version:
            return OfferResult.OLD
        try:
            change = msgspec.json.decode(value, type=Change)
        except (*DECODE_ERRORS, ValueError) as error:
            return self.refuse(version, TicketNumber(0), str(error))
        return self.offer(change)

    def refuse(self, version: Version, ticket: TicketNumber, reason: str) -> OfferResult:
        """Record that `version` cannot be applied; the state in force stays unchanged.

        A refusal already held is replaced only by one of the next version, which is the one that
        blocks progress.
        """
        if version == self.version + 1 or self.refusal is None:
            self.refusal = Refusal(version, ticket, reason)
        return OfferResult.REFUSED

    def offer_reply(self, reply: SyncReply) -> OfferResult:
        """Apply a peer's reply: a whole state, changes, or both. Return the last result."""
        outcome = OfferResult.OLD
        try:
            if reply.state:
                outcome = self.offer_state(decode_state(reply.state))
            for data in reply.changes:
                outcome = self.offer(decompress(data, Change))
        except (ChangeRefused, PeerError) as error:
            return self.refuse(Version(reply.version), TicketNumber(0), str(error))
        return outcome

    def reply_after(self, version: Version) -> SyncReply:
        """Return the changes after `version`, or the whole state if not all of them are kept."""
        missing = [data for number, data in self._recent_changes if number > version]
        if len(missing) == self.version - version:
            return SyncReply(self.version, changes=tuple(missing))
        if version >= self.version:
            return SyncReply(self.version)
        return SyncReply(self.version, state=encode_state(self.state))


def watchers(members: Iterable[MemberRow], data_centre: DataCentre) -> list[InstanceId]:
    """Return the watchers of `data_centre`, chosen from the live `members`.

    Every daemon with the same member table chooses the same ones.
    """
    ids = [row.id for row in members if row.data_centre == data_centre]
    return rendezvous(ids, f"watch/{data_centre}", WATCHERS_PER_DATA_CENTRE)


def aggregator(members: Iterable[MemberRow], data_centre: DataCentre) -> InstanceId | None:
    """Return the aggregator of `data_centre`, chosen from the live `members`, or None."""
    ids = [row.id for row in members if row.data_centre == data_centre]
    chosen = rendezvous(ids, f"status/{data_centre}", 1)
    return chosen[0] if chosen else None


def pull_sources(
    version: Version,
    members: Iterable[MemberRow],
    versions_by_id: dict[InstanceId, Version],
    data_centre: DataCentre,
    random: RandomSource,
) -> list[MemberRow]:
    """Return those of the live `members` known to be ahead of `version`, `data_centre` first.

    The order is random within each group, so that pulls spread over the members.
    """
    ahead = [row for row in members if versions_by_id.get(InstanceId(row.id), 0) > version]
    random.shuffle(ahead)
    ahead.sort(key=lambda row: row.data_centre != data_centre)
    return ahead


def majority_answered(seeds: Iterable[Address], answered: set[Address]) -> bool:
    """Return whether more than half of `seeds` have answered."""
    distinct = set(seeds)
    return 2 * len(distinct & answered) > len(distinct)
