"""Decide which daemons live, from probes and what the others pass on.

The protocol is SWIM with suspicion: each period a daemon probes one member directly, then through
others; a member that doesn't answer is suspected, and is dead unless it refutes that in time.
Nothing here does I/O: every method takes the time and returns the datagrams to send.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import msgspec
import xxhash

from egretworks.clock import Millis
from egretworks.messages import (
    MAX_DATAGRAM_BYTES,
    Ack,
    Datagram,
    MemberRow,
    News,
    Ping,
    PingRequest,
    TargetRow,
    encode,
)
from egretworks.types import InstanceId, MemberState, RandomSource, Version

PROBE_PERIOD_MS = 1_000
PROBE_TIMEOUT_MS = 300
SUSPICION_MS = 2_000
# A departed row is kept this long, so that late news can't bring the instance back.
DEPARTED_RETENTION_MS = 60_000
INDIRECT_PROBES = 3
NEWS_FANOUT = 4
# A row rides on about this many datagrams for each doubling of the number of members.
SPREAD_FACTOR = 3
BUCKETS = 64
ENVELOPE_BYTES = 120

LIVING = (MemberState.ALIVE, MemberState.SUSPECT)


class Outgoing(msgspec.Struct, frozen=True):
    """Pair a datagram with the address that it goes to."""

    host: str
    port: int
    message: Datagram


class _Probe(msgspec.Struct):
    target: InstanceId
    seq: int
    sent_at: Millis
    indirect: bool = False


class Membership:
    """Keep the table of members as one daemon sees it."""

    def __init__(self, own: MemberRow, random: RandomSource) -> None:
        self.rows_by_id: dict[InstanceId, MemberRow] = {}
        self._digests = [0] * BUCKETS
        self._living: list[MemberRow] = []
        self._living_at = -1
        self.changes = 0
        self.versions_by_id: dict[InstanceId, Version] = {}
        self.own_id = InstanceId(own.id)
        self.version = Version(0)
        # The highest version that any member ever told of, those gone included.
        self.highest_version = Version(0)
        self._random = random
        self._spreads_by_id: dict[InstanceId, int] = {}
        self._suspected_at_by_id: dict[InstanceId, Millis] = {}
        self._departed_at_by_id: dict[InstanceId, Millis] = {}
        self._probe: _Probe | None = None
        self._next_probe_at = Millis(0)
        self._order: list[InstanceId] = []
        self._seq = 0
        self._urgent: set[InstanceId] = set()
        self._store(self.own_id, own)

    @property
    def own(self) -> MemberRow:
        """Return this daemon's own row."""
        return self.rows_by_id[self.own_id]

    def living(self) -> list[MemberRow]:
        """Return the rows of the members that are not known to be gone, this one included.

        The list is shared until the table changes and isn't to be altered.
        """
        if self._living_at != self.changes:
            self._living = [row for row in self.rows_by_id.values() if row.state in LIVING]
            self._living_at = self.changes
        return self._living

    def set_targets(self, targets: tuple[TargetRow, ...]) -> list[Outgoing]:
        """Announce the targets beside this daemon and return the news to send."""
        return self._announce(msgspec.structs.replace(self.own, targets=targets))

    def leave(self) -> list[Outgoing]:
        """Announce that this daemon is leaving and return the news to send."""
        return self._announce(msgspec.structs.replace(self.own, state=MemberState.LEFT, targets=()))

    def news_of_version(self) -> list[Outgoing]:
        """Return news of the version in force, to a few members."""
        return self._to_some(News(self.own_id, self.version))

    def tick(self, now: Millis) -> list[Outgoing]:
        """Advance probes and suspicions to `now`."""
        self._expire(now)
        out = self._advance_probe(now)
        if now >= self._next_probe_at and self._probe is None:
            self._next_probe_at = Millis(now + PROBE_PERIOD_MS)
            out += self._start_probe(now)
        return out + self._urgent_news()

    def handle(self, message: Datagram, now: Millis) -> list[Outgoing]:
        """Take in a datagram and return the answers."""
        sender = InstanceId(message.sender)
        if not isinstance(message, PingRequest):
            self.hear_version(sender, Version(message.version))
        if isinstance(message, Ping | Ack | News):
            self.merge(message.rows, now)
        out: list[Outgoing] = []
        if isinstance(message, Ping):
            out = self._answer(message)
        elif isinstance(message, Ack):
            out = self._take_ack(message, sender)
        elif isinstance(message, PingRequest):
            out = self._relay(message)
        return out + self._urgent_news()

    def merge(self, rows: Iterable[MemberRow], now: Millis) -> int:
        """Take in rows that are newer than the ones held and return how many were."""
        return sum(self._merge_row(row, now) for row in rows)

    def digests(self) -> tuple[int, ...]:
        """Return a digest of each bucket of rows."""
        return tuple(self._digests)

    def rows_that_differ(self, digests: tuple[int, ...]) -> tuple[MemberRow, ...]:
        """Return the rows of the buckets whose digests aren't those in `digests`."""
        if len(digests) != BUCKETS:
            return tuple(self.rows_by_id.values())
        own = self.digests()
        return tuple(
            row
            for row in self.rows_by_id.values()
            if own[bucket_of(row.id)] != digests[bucket_of(row.id)]
        )

    def hear_version(self, id: InstanceId, version: Version) -> None:
        """Note that instance `id` has `version` in force."""
        self.versions_by_id[id] = Version(max(version, self.versions_by_id.get(id, version)))
        self.highest_version = max(self.highest_version, version)

    # Probing.

    def _start_probe(self, now: Millis) -> list[Outgoing]:
        target = self._next_target()
        if target is None:
            return []
        self._seq += 1
        self._probe = _Probe(target, self._seq, now)
        return [self._to(target, Ping(self._seq, self.own_id, self.version, self._ride()))]

    def _next_target(self) -> InstanceId | None:
        while self._order:
            candidate = self._order.pop()
            row = self.rows_by_id.get(candidate)
            if row is not None and row.state in LIVING:
                return candidate
        self._order = [InstanceId(row.id) for row in self.living() if row.id != self.own_id]
        self._random.shuffle(self._order)
        return self._order.pop() if self._order else None

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
                for row in self._sample_others(INDIRECT_PROBES, without=probe.target)
            ]
        return []

    def _answer(self, ping: Ping) -> list[Outgoing]:
        sender = self.rows_by_id.get(InstanceId(ping.sender))
        if sender is None:
            return []
        rows = self._ride()
        if sender.state is not MemberState.ALIVE:
            # Only the sender itself can refute what is believed of it, once it knows.
            rows = (sender, *rows)
        ack = Ack(ping.seq, self.own_id, self.version, rows, ping.origin)
        return [Outgoing(sender.host, sender.peer_port, ack)]

    def _take_ack(self, ack: Ack, sender: InstanceId) -> list[Outgoing]:
        if ack.origin and ack.origin != self.own_id:
            origin = InstanceId(ack.origin)
            if origin not in self.rows_by_id:
                return []
            passed_on = Ack(ack.seq, ack.sender, ack.version, (), ack.origin)
            return [self._to(origin, passed_on)]
        if self._probe and self._probe.target == sender and self._probe.seq == ack.seq:
            self._probe = None
        return []

    def _relay(self, request: PingRequest) -> list[Outgoing]:
        target = InstanceId(request.target)
        if target not in self.rows_by_id or target == self.own_id:
            return []
        ping = Ping(request.seq, self.own_id, self.version, (), request.sender)
        return [self._to(target, ping)]

    # The table.

    def _merge_row(self, row: MemberRow, now: Millis) -> bool:
        id = InstanceId(row.id)
        held = self.rows_by_id.get(id)
        if id == self.own_id:
            return self._refute(row)
        if held is not None and not _supersedes(row, held):
            return False
        if held is None and row.state not in LIVING:
            self._departed_at_by_id[id] = now
        self._put(row, now)
        if held is None or held.targets != row.targets or held.state != row.state:
            self._urgent.add(id)
        return True

    def _refute(self, row: MemberRow) -> bool:
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
            self._urgent.add(id)

    def _expire(self, now: Millis) -> None:
        for id, suspected_at in list(self._suspected_at_by_id.items()):
            if now - suspected_at >= SUSPICION_MS:
                row = msgspec.structs.replace(self.rows_by_id[id], state=MemberState.DEAD)
                self._put(row, now)
                self._urgent.add(id)
        for id, departed_at in list(self._departed_at_by_id.items()):
            if now - departed_at >= DEPARTED_RETENTION_MS:
                del self._departed_at_by_id[id]
                self._store(id, None)
                self._spreads_by_id.pop(id, None)
                self.versions_by_id.pop(id, None)

    def _put(self, row: MemberRow, now: Millis) -> None:
        id = InstanceId(row.id)
        self._store(id, row)
        self._spreads_by_id[id] = 0
        if row.state is not MemberState.SUSPECT:
            self._suspected_at_by_id.pop(id, None)
        elif id not in self._suspected_at_by_id:
            self._suspected_at_by_id[id] = now
        if row.state in LIVING:
            self._departed_at_by_id.pop(id, None)
        else:
            self._departed_at_by_id.setdefault(id, now)

    def _announce(self, row: MemberRow) -> list[Outgoing]:
        if row == self.own:
            return []
        self._set_own(msgspec.structs.replace(row, serial=row.serial + 1))
        return self._urgent_news()

    def _set_own(self, row: MemberRow) -> None:
        self._store(self.own_id, row)
        self._spreads_by_id[self.own_id] = 0
        self._urgent.add(self.own_id)

    def _store(self, id: InstanceId, row: MemberRow | None) -> None:
        """Hold `row`, or nothing, for `id`, and keep the digests of the buckets in step."""
        bucket = bucket_of(id)
        held = self.rows_by_id.pop(id, None)
        if held is not None:
            self._digests[bucket] ^= _row_digest(held)
        if row is not None:
            self.rows_by_id[id] = row
            self._digests[bucket] ^= _row_digest(row)
        self.changes += 1

    # Spreading.

    def _urgent_news(self) -> list[Outgoing]:
        if not self._urgent:
            return []
        rows = [self.rows_by_id[id] for id in self._urgent if id in self.rows_by_id]
        self._urgent.clear()
        out: list[Outgoing] = []
        for packed in pack_rows(rows):
            out += self._to_some(News(self.own_id, self.version, packed))
        return out

    def _ride(self) -> tuple[MemberRow, ...]:
        """Return the rows told least often, as many as fit into a datagram."""
        limit = SPREAD_FACTOR * math.ceil(math.log2(len(self.rows_by_id) + 1))
        waiting = sorted(self._spreads_by_id.items(), key=lambda item: item[1])
        chosen: list[MemberRow] = []
        size = ENVELOPE_BYTES
        for id, count in waiting:
            row = self.rows_by_id[id]
            size += len(encode(row))
            if size > MAX_DATAGRAM_BYTES:
                break
            chosen.append(row)
            self._spreads_by_id[id] = count + 1
            if count + 1 >= limit:
                del self._spreads_by_id[id]
        return tuple(chosen)

    def _to_some(self, message: Datagram) -> list[Outgoing]:
        chosen = self._sample_others(NEWS_FANOUT)
        return [Outgoing(row.host, row.peer_port, message) for row in chosen]

    def _to(self, id: InstanceId, message: Datagram) -> Outgoing:
        row = self.rows_by_id[id]
        return Outgoing(row.host, row.peer_port, message)

    def _sample_others(self, count: int, without: InstanceId | None = None) -> list[MemberRow]:
        """Return up to `count` members drawn at random, neither this one nor `without`."""
        living = self.living()
        excluded = (self.own_id, without)
        drawn = self._random.sample(living, min(count + len(excluded), len(living)))
        return [row for row in drawn if row.id not in excluded][:count]


_RANK_BY_STATE = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.DEAD: 2,
    MemberState.LEFT: 3,
}


def _supersedes(row: MemberRow, held: MemberRow) -> bool:
    return _order_of(row) > _order_of(held)


def _order_of(row: MemberRow) -> tuple[int, int, int]:
    return (row.incarnation, row.serial, _RANK_BY_STATE[row.state])


def bucket_of(id: str) -> int:
    """Return the bucket that the row of instance `id` is compared in."""
    return xxhash.xxh3_64_intdigest(id.encode()) % BUCKETS


def _row_digest(row: MemberRow) -> int:
    return xxhash.xxh3_64_intdigest(encode(row))


def pack_rows(rows: list[MemberRow]) -> list[tuple[MemberRow, ...]]:
    """Split `rows` into groups that each fit into a datagram."""
    groups: list[list[MemberRow]] = [[]]
    size = ENVELOPE_BYTES
    for row in rows:
        size += len(encode(row))
        if size > MAX_DATAGRAM_BYTES and groups[-1]:
            groups.append([])
            size = ENVELOPE_BYTES + len(encode(row))
        groups[-1].append(row)
    return [tuple(group) for group in groups if group]


def rendezvous(ids: Iterable[str], purpose: str, count: int) -> list[InstanceId]:
    """Return the `count` instances that hash highest for `purpose`, on which all agree."""
    ranked = sorted(
        ids, key=lambda id: xxhash.xxh3_64_intdigest(f"{purpose}\0{id}".encode()), reverse=True
    )
    return [InstanceId(id) for id in ranked[:count]]
