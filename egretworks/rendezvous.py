"""Rank ids by rendezvous hashing, so that daemons agree without exchanging a message."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from egretworks.types import InstanceId


def rendezvous(ids: Iterable[str], purpose: str, count: int | None = None) -> list[InstanceId]:
    """Return the `count` ids that rank highest for `purpose`, or all of them in that order.

    Daemons that know the same ids choose the same ones; losing an id only moves what that id was
    chosen for.
    """
    ranked = sorted(
        ids, key=lambda id: xxhash.xxh3_64_intdigest(f"{purpose}\0{id}".encode()), reverse=True
    )
    return [InstanceId(id) for id in ranked[:count]]
