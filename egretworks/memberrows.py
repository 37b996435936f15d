"""Order the rows of the member table, group them by digest and pack them into datagrams."""

from __future__ import annotations

import xxhash

from egretworks.messages import MAX_DATAGRAM_BYTES, MemberRow, encode
from egretworks.types import MemberState

# Rows are grouped by the hash of their id; tables are compared by the digest of each bucket.
BUCKETS = 64
# Allowance for everything in a datagram except its rows.
ENVELOPE_BYTES = 120

_RANK_BY_STATE = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.DEAD: 2,
    MemberState.LEFT: 3,
}


def supersedes(row: MemberRow, held: MemberRow) -> bool:
    """Return whether `row` replaces `held`, another row of the same instance."""
    return _precedence(row) > _precedence(held)


def _precedence(row: MemberRow) -> tuple[int, int, int]:
    """Return the sort key by which a row supersedes an older one of the same instance."""
    return (row.incarnation, row.serial, _RANK_BY_STATE[row.state])


def bucket_of(id: str) -> int:
    """Return the number of the bucket that holds the row of instance `id`."""
    return xxhash.xxh3_64_intdigest(id.encode()) % BUCKETS


def row_digest(row: MemberRow) -> int:
    """Return the digest by which rows are compared between tables."""
    return xxhash.xxh3_64_intdigest(encode(row))


def pack_rows(rows: list[MemberRow]) -> list[tuple[MemberRow, ...]]:
    """Split `rows` into groups that each fit into one datagram.

    A row that is too large for a datagram forms a group by itself.
    """
    groups: list[list[MemberRow]] = [[]]
    size = ENVELOPE_BYTES
    for row in rows:
        size += len(encode(row))
        if size > MAX_DATAGRAM_BYTES and groups[-1]:
            groups.append([])
            size = ENVELOPE_BYTES + len(encode(row))
        groups[-1].append(row)
    return [tuple(group) for group in groups if group]
