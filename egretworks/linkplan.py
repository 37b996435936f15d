"""Decide to which other daemons a daemon keeps links, so that their number stays bounded.

A daemon links to the daemons of its own data centre and, for each service that it calls, to a few
targets elsewhere. Rendezvous hashing selects those, so that each target is linked from about as
many daemons as any other, and few links move when one comes or goes. Two daemons of each data
centre, its relays, also link to the relays of the others and pass changed rows on.

If teams have quotas, each daemon also links to the daemons that keep the pools of quota tokens.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable
from enum import Enum

from egretworks.quotashare import rank_keepers
from egretworks.rendezvous import rendezvous
from egretworks.rows import DaemonRow
from egretworks.types import DataCentre, InstanceId, ServiceName

# Relays of a data centre: with one alone, its freeze would hold up rows until they are compared.
RELAYS = 2
# Up to this many other daemons of its data centre are all linked; of more, those needed.
MAX_NEAR_DAEMONS = 64
# Linked targets of a service in a data centre that is too large for links to all.
NEAR_TARGETS = 24
# Linked targets of a service in all other data centres together.
FAR_TARGETS = 8
# Linked daemons for each pool of quota tokens: the one that keeps it, and the next in rank.
POOL_KEEPERS = 2

IsFailed = Callable[[InstanceId], bool]


class LinkPurpose(Enum):
    """Reasons for which a link is kept, the one that is checked most often first."""

    # The peer is in the data centre of this daemon.
    NEAR = "near"
    # Both ends pass rows on between their data centres.
    RELAY = "relay"
    # The peer keeps a pool of quota tokens, or does so if the daemon fails that keeps it now.
    POOL = "pool"
    # The peer's target runs requests of a service that this daemon calls.
    SERVICE = "service"


def plan_links(
    own: DaemonRow,
    rows: Collection[DaemonRow],
    services: Iterable[ServiceName],
    is_failed: IsFailed,
    pools: int = 0,
) -> dict[InstanceId, LinkPurpose]:
    """Return the daemons that `own` should have links to, with the purpose of each link.

    `pools` is the number of pools of quota tokens that are in use.

    `rows` are those of the other daemons. A daemon whose link `is_failed` keeps its place, as it
    may come back, and the next one in rank is linked beside it.
    """
    near = [row for row in rows if row.data_centre == own.data_centre]
    far = [row for row in rows if row.data_centre != own.data_centre]
    purpose_by_id: dict[InstanceId, LinkPurpose] = {}
    for row in _linked_far_targets(own, far, services, is_failed):
        purpose_by_id[row.id] = LinkPurpose.SERVICE
    for id in _linked_keepers(own, rows, pools, is_failed):
        purpose_by_id[id] = LinkPurpose.POOL
    if is_relay(own, near, is_failed):
        for id in _relays_of_others(far, is_failed):
            purpose_by_id[id] = LinkPurpose.RELAY
    for id in _linked_near(own, near, services, is_failed):
        purpose_by_id[id] = LinkPurpose.NEAR
    return purpose_by_id


def is_relay(own: DaemonRow, near: Iterable[DaemonRow], is_failed: IsFailed) -> bool:
    """Return whether `own` is a relay, as far as it can see; `near` is the rest of its data centre.

    Daemons with different views may see more than `RELAYS` relays, which costs messages only.
    """
    working = [row for row in near if not is_failed(row.id)]
    return own.id in _lowest_ids([own, *working])


def _linked_near(
    own: DaemonRow,
    near: list[DaemonRow],
    services: Iterable[ServiceName],
    is_failed: IsFailed,
) -> list[InstanceId]:
    if len(near) <= MAX_NEAR_DAEMONS:
        return [row.id for row in near]
    linked = [row.id for row in near if row.id in _first_working(near, RELAYS, is_failed)]
    for service in services:
        ranked = _rank_targets(own, near, service)
        linked += _take_working(ranked, NEAR_TARGETS, is_failed)
    return linked


def _linked_far_targets(
    own: DaemonRow, far: list[DaemonRow], services: Iterable[ServiceName], is_failed: IsFailed
) -> list[DaemonRow]:
    by_id = {row.id: row for row in far}
    linked = []
    for service in services:
        ranked = _rank_targets(own, far, service)
        linked += [by_id[id] for id in _take_working(ranked, FAR_TARGETS, is_failed)]
    return linked


def _rank_targets(
    own: DaemonRow, rows: Iterable[DaemonRow], service: ServiceName
) -> list[InstanceId]:
    """Return the daemons with a serving target of `service`, in the order in which to link them."""
    serving = (row.id for row in rows if row.serves(service))
    return rendezvous(serving, own.id)


def _take_working(
    ranked: Iterable[InstanceId], count: int, is_failed: IsFailed
) -> list[InstanceId]:
    """Return the first of `ranked` up to the `count`th that works, failed ones included."""
    taken = []
    for id in ranked:
        if count == 0:
            break
        taken.append(id)
        count -= not is_failed(id)
    return taken


def _linked_keepers(
    own: DaemonRow, rows: Collection[DaemonRow], pools: int, is_failed: IsFailed
) -> list[InstanceId]:
    """Return the daemons that keep the pools, and those that are asked if they don't answer.

    No one is asked after this daemon itself.
    """
    ids = [row.id for row in (own, *rows) if not row.leaving]
    linked = []
    for pool in range(pools):
        for id in _take_working(rank_keepers(ids, pool), POOL_KEEPERS, is_failed):
            if id == own.id:
                break
            linked.append(id)
    return linked


def _relays_of_others(far: list[DaemonRow], is_failed: IsFailed) -> list[InstanceId]:
    rows_by_data_centre: defaultdict[DataCentre, list[DaemonRow]] = defaultdict(list)
    for row in far:
        rows_by_data_centre[row.data_centre].append(row)
    return [
        id
        for rows in rows_by_data_centre.values()
        for id in _first_working(rows, RELAYS, is_failed)
    ]


def _first_working(rows: Iterable[DaemonRow], count: int, is_failed: IsFailed) -> list[InstanceId]:
    """Return the lowest ids up to the `count`th daemon that works, failed ones included."""
    ids = sorted(row.id for row in rows if not row.leaving)
    return _take_working(ids, count, is_failed)


def _lowest_ids(rows: Iterable[DaemonRow]) -> list[InstanceId]:
    return sorted(row.id for row in rows if not row.leaving)[:RELAYS]
