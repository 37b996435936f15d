"""Test which keys are accepted, and what targets and logs get to see of them."""

import pytest
from linkpipes import FakeTimeline
from platformwire import config_document, edge, team_document

from egretworks.configholder import ConfigHolder
from egretworks.edge import TargetHead
from egretworks.exceptions import ConfigInvalid, NotReady, UnknownKey
from egretworks.freshness import ConfigFreshness, RevocationBound
from egretworks.httpwire import Request
from egretworks.keycheck import KeyCheck
from egretworks.meshroutes import check_config
from egretworks.teams import NO_TEAM

TEAMS = [["north", ["k1", "k2"], 0, 20, 30], ["south", ["k3"], 1, None, None]]


class Clock:
    now_ms = 0.0

    def now(self):
        return self.now_ms


class Checked:
    """A key check with a proof of the age `proof_age_ms`; keys stop working after 5 s."""

    def __init__(self, config=None, proof_age_ms=0.0, revoke_ms=5_000):
        self.clock = Clock()
        self.clock.now_ms = 100_000.0
        self.holder = ConfigHolder(edge().decode_config, FakeTimeline(), lambda: None)
        self.holder.apply(config or team_document(1, TEAMS), "test")
        self.freshness = ConfigFreshness(self.clock, lambda: self.holder.version)
        if proof_age_ms is not None:
            self.freshness.prove(self.holder.version, self.clock.now_ms - proof_age_ms)
        bound = RevocationBound(lambda: revoke_ms)
        self.check = KeyCheck(self.holder, self.freshness, bound)

    def team_of(self, key, route="/give/"):
        return self.check.team_of(key, self.holder.index.find("pool.example", route))


@pytest.mark.parametrize(("key", "team"), [("k1", "north"), ("k2", "north"), ("k3", "south")])
def test_each_key_stands_for_its_team(key, team):
    assert Checked().team_of(key).name == team


def test_a_team_has_its_priority_and_quota_and_may_have_none():
    north, south = Checked().holder.config.teams
    assert (north.priority, north.rate_per_s, north.burst, north.weight) == (0, 20, 30, 20)
    assert (south.priority, south.limited, south.weight) == (1, False, 1.0)


# Guards against callers without a key, or with one that was never valid, reaching a target.
@pytest.mark.parametrize("key", ["", "k4", "K1", "k1 "])
def test_an_unknown_key_is_refused(key):
    with pytest.raises(UnknownKey):
        Checked().team_of(key)


def test_an_anonymous_route_needs_no_key_but_names_the_team_of_a_known_one():
    checked = Checked(proof_age_ms=None)
    assert checked.team_of("", "/view/") is NO_TEAM
    assert checked.team_of("nobody's", "/view/") is NO_TEAM
    assert checked.team_of("k3", "/view/").name == "south"


@pytest.mark.parametrize("name", ["", "a\r\nX: 1", "zürich", " north"])
def test_a_team_name_that_is_no_header_value_makes_a_configuration_invalid(name):
    with pytest.raises(ConfigInvalid):
        edge().decode_config(team_document(1, [[name, ["k1"], 0, 1, 1]]))


def test_a_key_beyond_ascii_is_compared_as_utf_8():
    headers = [(b"authorization", "Token ključ".encode())]
    assert edge().read_head(Request("GET", b"/", headers, b"", True)).key == "ključ"
    assert (
        edge().read_head(Request("GET", b"/", [(b"authorization", b"Token \xff")], b"", True)).key
    )


def test_without_teams_no_key_is_needed_and_nothing_is_kept_back():
    checked = Checked(config_document(1), proof_age_ms=None)
    route = checked.holder.index.find("pool.example", "/give/")
    assert checked.check.team_of("anything", route) is NO_TEAM


# Guards against a revoked key that still works at a daemon that no longer hears of new versions.
@pytest.mark.parametrize(
    ("proof_age_ms", "accepted"), [(4_400, True), (4_600, False), (None, False)]
)
def test_a_key_needs_a_recent_proof_that_it_was_not_revoked(proof_age_ms, accepted):
    checked = Checked(proof_age_ms=proof_age_ms)
    if accepted:
        assert checked.team_of("k1").name == "north"
    else:
        with pytest.raises(NotReady):
            checked.team_of("k1")


def test_without_a_bound_on_revocation_a_known_key_needs_no_proof():
    assert Checked(proof_age_ms=None, revoke_ms=None).team_of("k1").name == "north"


# Guards against a 401 for a new key from a daemon that doesn't have its version yet: callers
# don't try again after that.
def test_a_daemon_that_may_be_behind_rejects_no_key_for_good():
    with pytest.raises(NotReady):
        Checked(proof_age_ms=2_500).team_of("k4")
    behind = Checked()
    behind.holder._newest_known = 9
    with pytest.raises(NotReady):
        behind.team_of("k4")


def test_a_key_that_moves_to_another_team_stands_for_that_one():
    checked = Checked()
    moved = [["north", ["k2"], 0, 20, 30], ["south", ["k3", "k1"], 1, None, None]]
    checked.holder.apply(team_document(2, moved), "test")
    checked.freshness.prove(2, checked.clock.now_ms)
    assert checked.team_of("k1").name == "south"


@pytest.mark.parametrize(
    "teams",
    [
        [["north", ["k1"], 0, 1, 1], ["south", ["k1"], 0, 1, 1]],
        [["north", ["k1"], 0, 1, 1], ["north", ["k2"], 0, 1, 1]],
    ],
)
def test_a_key_of_two_teams_and_a_team_defined_twice_make_a_configuration_invalid(teams):
    with pytest.raises(ConfigInvalid):
        check_config(edge().decode_config(team_document(1, teams)))


# Guards against keys that targets, or whoever reads the logs, could use.
def test_no_key_reaches_a_target_or_is_held_in_the_configuration():
    headers = [
        (b"host", b"pool.example"),
        (b"authorization", b"Token k1"),
        (b"x-egret-tenant", b"forged"),
    ]
    request = Request("GET", b"/give/1", headers, b"", True)
    platform_edge = edge()
    assert platform_edge.read_head(request).key == "k1"
    assert platform_edge.forwarded_headers(request, keyed=True) == [(b"host", b"pool.example")]
    target = platform_edge.target_headers(TargetHead("a1", 800, "portal", "i-7f", "north"))
    assert (b"X-Egret-Tenant", b"north") in target
    config = platform_edge.decode_config(team_document(1, [["north", ["s3cret"], 0, 1, 1]]))
    assert "s3cret" not in repr(config)


def test_where_no_teams_are_defined_the_headers_of_callers_are_left_as_they_are():
    headers = [(b"host", b"h"), (b"authorization", b"Basic abc")]
    request = Request("GET", b"/", headers, b"", True)
    assert edge().forwarded_headers(request, keyed=False) == headers
    assert edge().read_head(request).key == ""


def test_downloads_may_be_repeated():
    rows = [["vod", "pool.example", "/vod/", "download", 1200, 300, 0, "ledger", 2, None]]
    (route,) = edge().decode_config(config_document(1, rows)).routes
    assert route.repeat.value == "idempotent"
