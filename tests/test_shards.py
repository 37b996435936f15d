from egretworks.objects import ObjectStore
from egretworks.once import Claim, Verdict, claim, shard_of
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
