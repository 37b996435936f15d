"""Mint a daemon's equal share of the teams' quotas, and assign teams to pools and daemons."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from egretworks.clock import Millis
from egretworks.rendezvous import rendezvous
from egretworks.rows import DaemonRow
from egretworks.teams import MeshTeam
from egretworks.types import InstanceId

# Each daemon deposits in every pool, so that more pools mean more messages.
POOLS = 4
# A team is split over one more pool for each of these requests a second, up to all pools.
RATE_PER_SHARD = 100.0
# Longest time that a daemon mints at once; what it did not deposit by then is lost. Part of the
# bound, see `quotapool.MAX_LAG_MS`.
MAX_MINTED_MS = 450.0
# A started daemon mints only once its count of daemons has not changed for this long: until then it
# may not know all of them.
STABLE_MS = 300
# A leaving daemon is counted for this long, since it may be back before its new row arrives.
LEAVING_COUNTED_MS = 10_000


def shard_count(team: MeshTeam) -> int:
    """Return over how many pools `team` is split."""
    return min(POOLS, 1 + int(team.rate_per_s // RATE_PER_SHARD))


def pool_of(team: MeshTeam, daemon: InstanceId) -> int:
    """Return the pool from which `daemon` gets the tokens of `team`, and into which it deposits."""
    shard = xxhash.xxh3_64_intdigest(f"{team.name}\0{daemon}".encode()) % shard_count(team)
    return (xxhash.xxh3_64_intdigest(team.name.encode()) + shard) % POOLS


def rank_keepers(ids: Iterable[InstanceId], pool: int) -> list[InstanceId]:
    """Return the daemons in the order in which they keep `pool`; the first that works keeps it."""
    return rendezvous(ids, f"quota pool {pool}")


class QuotaShare:
    """Count the daemons that share the quotas, and mint this daemon's share of the time.

    A daemon mints nothing until it has read the rows in the store, and has then known the same
    number of daemons for `STABLE_MS`: one that believed that it was alone would mint the whole rate
    of every team.
    """

    def __init__(self, *, first_start: bool) -> None:
        self._left_since_by_id: dict[InstanceId, Millis] = {}
        self._minted_until_by_pool: dict[int, Millis] = {}
        self._unfilled_pools = set(range(POOLS)) if first_start else set()
        self._listed = False
        self._stable_since: Millis | None = None
        # Whether this daemon has counted the others and is not leaving.
        self.minting = False
        self.daemons = 0
        # The daemons that may keep pools.
        self.ids: frozenset[InstanceId] = frozenset()

    def update(self, own: DaemonRow, rows: Iterable[DaemonRow], now: Millis, listed: bool) -> None:
        """Count the daemons in `rows`, those of all daemons.

        `listed` tells whether the rows in the store have been read.
        """
        ids = []
        daemons = 0
        for row in rows:
            if not row.leaving:
                self._left_since_by_id.pop(row.id, None)
                ids.append(row.id)
                daemons += 1
            else:
                since = self._left_since_by_id.setdefault(row.id, now)
                daemons += now - since < LEAVING_COUNTED_MS
        self.ids = frozenset(ids)
        if daemons != self.daemons or not listed:
            self._stable_since = now
        self._listed = listed
        self.daemons = daemons
        if own.leaving:
            self.minting = False
        elif listed and now - self._stable_since >= STABLE_MS:
            self.minting = True

    def mint(self, pool: int, now: Millis) -> float:
        """Return the time in milliseconds that is minted for `pool` since the last call."""
        if not self.minting:
            self._minted_until_by_pool.clear()
            return 0.0
        since = self._minted_until_by_pool.get(pool, now)
        self._minted_until_by_pool[pool] = now
        return min(now - since, MAX_MINTED_MS)

    def take_fill(self, pool: int) -> bool:
        """Return true once for each pool, if this is the first start and the rows were read."""
        if not self._listed or pool not in self._unfilled_pools:
            return False
        self._unfilled_pools.discard(pool)
        return True
