"""Test that the shard cache is bounded and that a delayed claim cannot leave its key claimed."""

import pytest

from egretworks.exceptions import ObjectConflict
from egretworks.objects import ObjectStore, dump
from egretworks.once import (
    Claim,
    Shard,
    Verdict,
    as_operation,
    fenced,
    settle_not_run,
    shard_of,
    try_claim,
)
from egretworks.shards import MAX_CACHED_SHARDS, ShardStore
from egretworks.types import InstanceId, OnceKey, WriterMark


def test_the_cache_of_shards_is_bounded_and_no_record_is_lost(mesh):
    shards = ShardStore(ObjectStore(f"127.0.0.1:{mesh.platform.port}"), lambda pause_ms: None)
    keys = [OnceKey(f"payout-desk/{number}") for number in range(MAX_CACHED_SHARDS * 2)]
    for key in keys:
        claim = Claim(key, "f", InstanceId("d0"), 1, WriterMark(f"m-{key}"), 0.0)
        decided = shards.update(shard_of(key), [lambda shard, claim=claim: try_claim(shard, claim)])
        assert decided[0].verdict is Verdict.RUN
    assert len(shards._cached_by_shard) <= MAX_CACHED_SHARDS
    assert all(shards.record(key) is not None for key in keys)


def test_a_claim_that_arrives_after_it_was_undone_is_rejected(mesh):
    """Test that a delayed write can't leave the key claimed by an attempt that was abandoned."""
    store = ObjectStore(f"127.0.0.1:{mesh.platform.port}")
    shards = ShardStore(store, lambda pause_ms: None)
    key = OnceKey("payout-desk/k1")
    name = f"{shard_of(key):05d}"
    claim = Claim(key, "f", InstanceId("d0"), 1, WriterMark("m1"), 0.0)
    etag = store.create("once", name, dump(Shard()))
    delayed_write = dump(try_claim(Shard(), claim).shard)

    undo = as_operation(lambda s: fenced(s, lambda t: settle_not_run(t, key, claim.mark)))
    shards.update(shard_of(key), [undo])
    with pytest.raises(ObjectConflict):
        store.update("once", name, delayed_write, etag)
    assert shards.record(key) is None
