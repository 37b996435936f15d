"""Test the checks of configurations, the matching of routes and the splitting of traffic."""

from collections import Counter

import msgspec
import pytest

from egretworks.exceptions import ConfigInvalid
from egretworks.meshroutes import (
    MeshConfig,
    MeshRoute,
    MeshService,
    RouteIndex,
    Share,
    Splitter,
    check_config,
)
from egretworks.types import Repeat

ONE_SERVICE = (Share("s", 1.0),)


def route(name="r", host="h", prefix="/a/", split=ONE_SERVICE, **changes):
    made = MeshRoute(name, host, prefix, Repeat.IDEMPOTENT, 1_000.0, 500.0, 0, 2, split)
    return msgspec.structs.replace(made, **changes)


def config(*routes, services=("s", "t"), version=3):
    return MeshConfig(version, routes, {name: MeshService(name, "/h", 10) for name in services})


def test_the_longest_prefix_of_the_host_wins():
    routes = (route("short", prefix="/a/"), route("long", prefix="/a/b/"), route("all", prefix="/"))
    index = RouteIndex(routes)
    assert index.find("h", "/a/b/c?x=/z/").name == "long"
    assert index.find("h", "/a/bc").name == "short"
    assert index.find("h", "/a").name == "all"
    assert index.find("H:8080", "/a/").name == "short"
    assert index.find("other", "/a/b/c") is None


def test_a_prefix_does_not_match_part_of_a_path_segment():
    assert RouteIndex((route(prefix="/abc/"),)).find("h", "/abcd/x") is None


@pytest.mark.parametrize(
    "invalid",
    [
        route(host=""),
        route(prefix="a/"),
        route(prefix="/a"),
        route(timeout_ms=0.0),
        route(split=()),
        route(split=(Share("unknown", 1.0),)),
        route(split=(Share("s", 0.0),)),
        route(split=(Share("s", 2.0), Share("t", -1.0))),
    ],
)
def test_one_invalid_route_invalidates_the_whole_configuration(invalid):
    with pytest.raises(ConfigInvalid):
        check_config(config(route("fine", prefix="/fine/"), invalid))


def test_two_routes_with_the_same_host_and_prefix_are_rejected():
    with pytest.raises(ConfigInvalid):
        check_config(config(route("one"), route("two")))


@pytest.mark.parametrize("start", [0.0, 0.123, 0.77])
def test_a_short_run_of_requests_follows_the_weights(start):
    split = (Share("s", 90.0), Share("t", 10.0))
    splitter = Splitter(start)
    counts = Counter(splitter.choose(route(split=split)) for _ in range(50))
    assert 3 <= counts["t"] <= 7


def test_each_route_is_split_independently():
    splitter = Splitter(0.0)
    split = (Share("s", 1.0), Share("t", 1.0))
    mixed = [splitter.choose(route(name, split=split)) for _ in range(20) for name in "ab"]
    assert Counter(mixed[::2]) == Counter(mixed[1::2])
