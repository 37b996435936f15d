"""Track which daemons are alive: failure detector and member table, spread by gossip.

The protocol is SWIM with suspicion: each period a daemon probes one member directly, then through
others; a member that does not answer is suspected, and declared dead unless it refutes the
suspicion in time. Nothing here does I/O: methods take the current time where they need it and
return the datagrams to send.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import msgspec

from egretworks.clock import Millis
from egretworks.memberrows import (
    BUCKETS,
    ENVELOPE_BYTES,
    bucket_of,
    pack_rows,
    row_digest,
    supersedes,
)
from egretworks.messages import (
    MAX_DATAGRAM_BYTES,
    Ack,
    Datagram,
    MemberRow,
    Ping,
    PingRequest,
    TargetRow,
    Update,
    encode,
)
from egretworks.types import InstanceId, MemberState, RandomSource, Version

PROBE_PERIOD_MS = 1_000
PROBE_TIMEOUT_MS = 300
SUSPICION_MS = 2_000
# The row of a member that is dead or has left is kept this long as a tombstone, so that a late
# datagram with an older row cannot bring the member back.
TOMBSTONE_RETENTION_MS = 60_000
INDIRECT_PROBES = 3
UPDATE_FANOUT = 4
# A changed row is piggybacked on about this many datagrams for each doubling of the number of
# members.
RETRANSMIT_FACTOR = 3

# Members in these states are live: a suspect one may still refute the suspicion.
LIVE_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


class Outgoing(msgspec.Struct, frozen=True):
    """A datagram and the address to send it to."""

    host: str
    port: int
    message: Datagram


class _Probe(msgspec.Struct):
    """The probe that waits for its acknowledgement; `target` is the member being probed."""

    target: InstanceId
    seq: int
    sent_at: Millis
    indirect: bool = False


class Membership:
    """The member table of one daemon, and the state of its failure detector.

    The table always holds this daemon's own row. `generation` grows with every change of the
    table, so that callers can cache what they derive from it.
    """

    def __init__(self, own: MemberRow, random: RandomSource) -> None:
        self.rows_by_id: dict[InstanceId, MemberRow] = {}
        self._digests = [0] * BUCKETS
        self._live_members: list[MemberRow] = []
        self._live_members_generation = -1
        self.generation = 0
        # Highest version that each daemon has reported as in force at itself.
        self.versions_by_id: dict[InstanceId, Version] = {}
        self.own_id = InstanceId(own.id)
        # Version in force at this daemon, which its datagrams carry.
        self.version = Version(0)
        # The highest version that any member has reported, including members that are gone.
        self.highest_version = Version(0)
        self._random = random
        # How often each changed row was piggybacked; `_piggyback_rows` limits it.
        self._transmissions_by_id: dict[InstanceId, int] = {}
        self._suspected_at_by_id: dict[InstanceId, Millis] = {}
        self._tombstoned_at_by_id: dict[InstanceId, Millis] = {}
        self._probe: _Probe | None = None
        self._next_probe_at = Millis(0)
        self._probe_order: list[InstanceId] = []
        self._seq = 0
        # Members whose rows changed and are to be pushed with the next datagrams.
        self._changed_ids: set[InstanceId] = set()
        self._store(self.own_id, own)

    @property
    def own(self) -> MemberRow:
        """Return this daemon's own row."""
        return self.rows_by_id[self.own_id]

    def live_members(self) -> list[MemberRow]:
        """Return the rows of the live members (alive or suspect), including this daemon's own.

        The list is cached until the table changes and must not be modified.
        """
        if self._live_members_generation != self.generation:
            self._live_members = [
                row for row in self.rows_by_id.values() if row.state in LIVE_STATES
            ]
            self._live_members_generation = self.generation
        return self._live_members

    def set_targets(self, targets: tuple[TargetRow, ...]) -> list[Outgoing]:
        """Set the targets in this daemon's row and return the updates to send."""
        return self._announce(msgspec.structs.replace(self.own, targets=targets))

    def leave(self) -> list[Outgoing]:
        """Mark this daemon as having left and return the updates to send."""
        return self._announce(msgspec.structs.replace(self.own, state=MemberState.LEFT, targets=()))

    def version_update(self) -> list[Outgoing]:
        """Return updates that carry only the version in force, to a few random members."""
        return self._to_random_members(Update(self.own_id, self.version))

    def tick(self, now: Millis) -> list[Outgoing]:
        """Advance probes, suspicions and tombstones to `now` and return the datagrams to send."""
        self._expire(now)
        out = self._advance_probe(now)
        if now >= self._next_probe_at and self._probe is None:
            self._next_probe_at = Millis(now + PROBE_PERIOD_MS)
            out += self._start_probe(now)
        return out + self._updates_to_send()

    def handle(self, message: Datagram, now: Millis) -> list[Outgoing]:
        """Process a datagram and return the datagrams to send in answer."""
        sender = InstanceId(message.sender)
        if not isinstance(message, PingRequest):
            self.record_version(sender, Version(message.version))
        if isinstance(message, Ping | Ack | Update):
            self.merge(message.rows, now)
        out: list[Outgoing] = []
        if isinstance(message, Ping):
            out = self._handle_ping(message)
        elif isinstance(message, Ack):
            out = self._handle_ack(message, sender)
        elif isinstance(message, PingRequest):
            out = self._handle_ping_request(message)
        return out + self._updates_to_send()

    def merge(self, rows: Iterable[MemberRow], now: Millis) -> int:
        """Merge the rows that supersede those held and return how many there were."""
        return sum(self._merge_row(row, now) for row in rows)

    def digests(self) -> tuple[int, ...]:
        """Return the digest of each bucket of rows."""
        return tuple(self._digests)

    def rows_that_differ(self, digests: tuple[int, ...]) -> tuple[MemberRow, ...]:
        """Return the rows of the buckets whose digests differ from `digests`.

        All rows are returned if `digests` has another number of buckets.
        """
        if len(digests) != BUCKETS:
            return tuple(self.rows_by_id.values())
        own = self.digests()
        return tuple(
            row
            for row in self.rows_by_id.values()
            if own[bucket_of(row.id)] != digests[bucket_of(row.id)]
        )

    def record_version(self, id: InstanceId, version: Version) -> None:
        """Record that instance `id` has `version` in force."""
        self.versions_by_id[id] = Version(max(version, self.versions_by_id.get(id, version)))
        self.highest_version = max(self.highest_version, version)

    # Failure detection.

    def _start_probe(self, now: Millis) -> list[Outgoing]:
        target = self._next_probe_target()
        if target is None:
            return []
        self._seq += 1
        self._probe = _Probe(target, self._seq, now)
        return [
            self._to_member(
                target, Ping(self._seq, self.own_id, self.version, self._piggyback_rows())
            )
        ]

    def _next_probe_target(self) -> InstanceId | None:
        while self._probe_order:
            candidate = self._probe_order.pop()
            row = self.rows_by_id.get(candidate)
            if row is not None and row.state in LIVE_STATES:
                return candidate
        self._probe_order = [
            InstanceId(row.id) for row in self.live_members() if row.id != self.own_id
        ]
        self._random.shuffle(self._probe_order)
        return self._probe_order.pop() if self._probe_order else None

    def _advance_probe(self, now: Millis) -> list[Outgoing]:
        probe = self._probe
        if probe is None:
            return []
        if now - probe.sent_at >= PROBE_PERIOD_MS:
            self._probe = None
            self._suspect(probe.target, now)
            return []
        if now - probe.sent_at >= PROBE_TIMEOUT_MS and not probe.indirect:
            probe.indirect = True
            request = PingRequest(probe.seq, self.own_id, probe.target)
            return [
                Outgoing(row.host, row.peer_port, request)
                for row in self._sample_others(INDIRECT_PROBES, excluding=probe.target)
            ]
        return []

    def _handle_ping(self, ping: Ping) -> list[Outgoing]:
        sender = self.rows_by_id.get(InstanceId(ping.sender))
        if sender is None:
            return []
        rows = self._piggyback_rows()
        if sender.state is not MemberState.ALIVE:
            # Only the sender can refute being suspect or dead, and it has to learn of it first.
            rows = (sender, *rows)
        ack = Ack(ping.seq, self.own_id, self.version, rows, ping.origin)
        return [Outgoing(sender.host, sender.peer_port, ack)]

    def _handle_ack(self, ack: Ack, sender: InstanceId) -> list[Outgoing]:
        """Relay the acknowledgement to the origin of its ping, or end this daemon's own probe."""
        if ack.origin and ack.origin != self.own_id:
            origin = InstanceId(ack.origin)
            if origin not in self.rows_by_id:
                return []
            relayed = Ack(ack.seq, ack.sender, ack.version, (), ack.origin)
            return [self._to_member(origin, relayed)]
        if self._probe and self._probe.target == sender and self._probe.seq == ack.seq:
            self._probe = None
        return []

    def _handle_ping_request(self, request: PingRequest) -> list[Outgoing]:
        target = InstanceId(request.target)
        if target not in self.rows_by_id or target == self.own_id:
            return []
        ping = Ping(request.seq, self.own_id, self.version, (), request.sender)
        return [self._to_member(target, ping)]

    # Member table.

    def _merge_row(self, row: MemberRow, now: Millis) -> bool:
        id = InstanceId(row.id)
        held = self.rows_by_id.get(id)
        if id == self.own_id:
            return self._refute(row)
        if held is not None and not supersedes(row, held):
            return False
        if held is None and row.state not in LIVE_STATES:
            self._tombstoned_at_by_id[id] = now
        self._put(row, now)
        if held is None or held.targets != row.targets or held.state != row.state:
            self._changed_ids.add(id)
        return True

    def _refute(self, row: MemberRow) -> bool:
        """Raise the serial of this daemon's row above `row`, if that is newer or in another state.

        Returns whether it did. A daemon that has left refutes nothing.
        """
        own = self.own
        if own.state is MemberState.LEFT:
            return False
        newer = (row.incarnation, row.serial) > (own.incarnation, own.serial)
        same = (row.incarnation, row.serial) == (own.incarnation, own.serial)
        if newer or (same and row.state is not own.state):
            serial = max(row.serial, own.serial) + 1
            incarnation = max(row.incarnation, own.incarnation)
            self._set_own(msgspec.structs.replace(own, incarnation=incarnation, serial=serial))
            return True
        return False

    def _suspect(self, id: InstanceId, now: Millis) -> None:
        row = self.rows_by_id.get(id)
        if row is not None and row.state is MemberState.ALIVE:
            self._put(msgspec.structs.replace(row, state=MemberState.SUSPECT), now)
            self._changed_ids.add(id)

    def _expire(self, now: Millis) -> None:
        """Declare long-suspected members dead and drop expired tombstones."""
        for id, suspected_at in list(self._suspected_at_by_id.items()):
            if now - suspected_at >= SUSPICION_MS:
                row = msgspec.structs.replace(self.rows_by_id[id], state=MemberState.DEAD)
                self._put(row, now)
                self._changed_ids.add(id)
        for id, tombstoned_at in list(self._tombstoned_at_by_id.items()):
            if now - tombstoned_at >= TOMBSTONE_RETENTION_MS:
                del self._tombstoned_at_by_id[id]
                self._store(id, None)
                self._transmissions_by_id.pop(id, None)
                self.versions_by_id.pop(id, None)

    def _put(self, row: MemberRow, now: Millis) -> None:
        id = InstanceId(row.id)
        self._store(id, row)
        self._transmissions_by_id[id] = 0
        if row.state is not MemberState.SUSPECT:
            self._suspected_at_by_id.pop(id, None)
        elif id not in self._suspected_at_by_id:
            self._suspected_at_by_id[id] = now
        if row.state in LIVE_STATES:
            self._tombstoned_at_by_id.pop(id, None)
        else:
            self._tombstoned_at_by_id.setdefault(id, now)

    def _announce(self, row: MemberRow) -> list[Outgoing]:
        if row == self.own:
            return []
        self._set_own(msgspec.structs.replace(row, serial=row.serial + 1))
        return self._updates_to_send()

    def _set_own(self, row: MemberRow) -> None:
        self._store(self.own_id, row)
        self._transmissions_by_id[self.own_id] = 0
        self._changed_ids.add(self.own_id)

    def _store(self, id: InstanceId, row: MemberRow | None) -> None:
        """Set the row of `id`, or remove it if `row` is None, and update the bucket's digest."""
        bucket = bucket_of(id)
        held = self.rows_by_id.pop(id, None)
        if held is not None:
            self._digests[bucket] ^= row_digest(held)
        if row is not None:
            self.rows_by_id[id] = row
            self._digests[bucket] ^= row_digest(row)
        self.generation += 1

    # Dissemination.

    def _updates_to_send(self) -> list[Outgoing]:
        if not self._changed_ids:
            return []
        rows = [self.rows_by_id[id] for id in self._changed_ids if id in self.rows_by_id]
        self._changed_ids.clear()
        out: list[Outgoing] = []
        for packed in pack_rows(rows):
            out += self._to_random_members(Update(self.own_id, self.version, packed))
        return out

    def _piggyback_rows(self) -> tuple[MemberRow, ...]:
        """Return the rows sent least often, as many as fit into a datagram, and count the sends."""
        limit = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self.rows_by_id) + 1))
        waiting = sorted(self._transmissions_by_id.items(), key=lambda item: item[1])
        chosen: list[MemberRow] = []
        size = ENVELOPE_BYTES
        for id, count in waiting:
            row = self.rows_by_id[id]
            size += len(encode(row))
            if size > MAX_DATAGRAM_BYTES:
                break
            chosen.append(row)
            self._transmissions_by_id[id] = count + 1
            if count + 1 >= limit:
                del self._transmissions_by_id[id]
        return tuple(chosen)

    def _to_random_members(self, message: Datagram) -> list[Outgoing]:
        chosen = self._sample_others(UPDATE_FANOUT)
        return [Outgoing(row.host, row.peer_port, message) for row in chosen]

    def _to_member(self, id: InstanceId, message: Datagram) -> Outgoing:
        row = self.rows_by_id[id]
        return Outgoing(row.host, row.peer_port, message)

    def _sample_others(self, count: int, excluding: InstanceId | None = None) -> list[MemberRow]:
        """Return up to `count` random members, neither this daemon nor `excluding`."""
        live = self.live_members()
        excluded = (self.own_id, excluding)
        drawn = self._random.sample(live, min(count + len(excluded), len(live)))
        return [row for row in drawn if row.id not in excluded][:count]
