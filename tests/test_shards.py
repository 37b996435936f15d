import pytest

from egretworks.exceptions import ObjectConflict
from egretworks.objects import ObjectStore, dump
from egretworks.once import (
    Claim,
    Shard,
    Verdict,
    claim,
    fenced,
    settle_not_run,
    settling,
    shard_of,
)
from egretworks.shards import KEPT_SHARDS, ShardStore
from egretworks.types import InstanceId, OnceKey, WriterMark


def test_copies_of_shards_are_bounded_and_all_records_stay(mesh):
    shards = ShardStore(ObjectStore(f"127.0.0.1:{mesh.platform.port}"), lambda pause_ms: None)
    keys = [OnceKey(f"payout-desk/{number}") for number in range(KEPT_SHARDS * 2)]
    for key in keys:
        asked = Claim(key, "f", InstanceId("d0"), 1, WriterMark(f"m-{key}"), 0.0)
        decided = shards.update(shard_of(key), [lambda shard, asked=asked: claim(shard, asked)])
        assert decided[0].verdict is Verdict.RUN
    assert len(shards._held_by_shard) <= KEPT_SHARDS
    assert all(shards.record(key) is not None for key in keys)


def test_a_claim_still_on_its_way_cannot_land_after_it_was_taken_back(mesh):
    store = ObjectStore(f"127.0.0.1:{mesh.platform.port}")
    shards = ShardStore(store, lambda pause_ms: None)
    key = OnceKey("payout-desk/k1")
    place = f"{shard_of(key):05d}"
    asked = Claim(key, "f", InstanceId("d0"), 1, WriterMark("m1"), 0.0)
    etag = store.create("once", place, dump(Shard()))
    on_its_way = dump(claim(Shard(), asked).shard)

    take_back = settling(lambda s: fenced(s, lambda t: settle_not_run(t, key, asked.mark)))
    shards.update(shard_of(key), [take_back])
    with pytest.raises(ObjectConflict):
        store.update("once", place, on_its_way, etag)
    assert shards.record(key) is None
