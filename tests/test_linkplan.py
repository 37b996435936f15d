"""Test to which daemons links are kept, in fleets of several sizes."""

import statistics

import pytest
from fleets import make_fleet

from egretworks.linkplan import (
    FAR_TARGETS,
    MAX_NEAR_DAEMONS,
    NEAR_TARGETS,
    RELAYS,
    LinkPurpose,
    is_relay,
    plan_links,
)
from egretworks.outboundlinks import MAX_PINGS_PER_S, PING_MS_BY_PURPOSE, ping_stretch

SERVICES = ("ledger", "portal", "desk")


def plan(rows, own, services=SERVICES, failed=frozenset()):
    others = [row for row in rows if row.id != own.id]
    return plan_links(own, others, services, failed.__contains__)


def ids_by_purpose(plan, purpose):
    return {id for id, planned in plan.items() if planned is purpose}


# Guards against links that grow with the fleet: 195 daemons had 37,830 of them, and each daemon
# spent most of its processor on their pings.
@pytest.mark.parametrize(("daemons", "data_centres"), [(30, 3), (100, 5), (300, 5), (1_000, 12)])
def test_the_number_of_links_is_bounded_by_data_centre_and_services(daemons, data_centres):
    rows = make_fleet(daemons, data_centres)
    near_bound = max(MAX_NEAR_DAEMONS, RELAYS + NEAR_TARGETS * len(SERVICES))
    bound = near_bound + FAR_TARGETS * len(SERVICES)
    relay_bound = bound + RELAYS * (data_centres - 1)
    sizes = sorted(len(plan(rows, own)) for own in rows)
    assert sizes[-1] <= relay_bound
    assert sum(size > bound for size in sizes) <= RELAYS * data_centres


def test_the_bound_does_not_grow_in_a_data_centre_of_thousands():
    rows = make_fleet(4_000, 2)
    bound = (FAR_TARGETS + NEAR_TARGETS) * len(SERVICES) + 2 * RELAYS
    for own in rows[500:520]:
        assert len(plan(rows, own)) <= bound


def test_a_small_fleet_is_linked_completely():
    rows = make_fleet(13, 3)
    for own in rows:
        assert len(plan(rows, own)) == 12


def test_each_target_is_linked_from_elsewhere_about_as_often_as_the_others():
    rows = make_fleet(195, 5)
    links_by_target = dict.fromkeys((row.id for row in rows), 0)
    for own in rows:
        for id in ids_by_purpose(plan(rows, own, ["portal"]), LinkPurpose.SERVICE):
            links_by_target[id] += 1
    counts = [links_by_target[row.id] for row in rows if row.target.service == "portal"]
    assert min(counts) > 0
    assert max(counts) < 2.5 * statistics.mean(counts)


def test_a_daemon_that_comes_moves_few_links_of_the_others():
    rows = make_fleet(195, 5)
    before = {own.id: plan(rows[1:], own).keys() for own in rows[1:]}
    after = {own.id: plan(rows, own).keys() for own in rows[1:]}
    moved = sum(len(before[id] - after[id]) for id in before)
    assert moved < FAR_TARGETS * 2 + RELAYS * 10


def test_a_failed_target_keeps_its_link_and_another_takes_its_place():
    rows = make_fleet(195, 5)
    own = rows[100]
    linked = ids_by_purpose(plan(rows, own, ["portal"]), LinkPurpose.SERVICE)
    failed = frozenset(list(linked)[:3])
    again = ids_by_purpose(plan(rows, own, ["portal"], failed), LinkPurpose.SERVICE)
    assert linked < again
    assert len(again) == FAR_TARGETS + len(failed)


def test_targets_that_do_not_serve_are_not_linked_elsewhere():
    rows = make_fleet(60, 3, serving=lambda number: number % 2 == 0)
    serving = {row.id for row in rows if row.target.serving}
    for own in rows:
        linked = ids_by_purpose(plan(rows, own), LinkPurpose.SERVICE)
        assert linked <= serving


def test_each_data_centre_has_two_relays_linked_to_those_of_the_others():
    rows = make_fleet(100, 5)
    relays = [own for own in rows if is_relay(own, near_of(rows, own), lambda id: False)]
    assert len(relays) == RELAYS * 5
    for own in relays:
        others = {row.id for row in relays if row.data_centre != own.data_centre}
        assert others <= plan(rows, own, ()).keys()


def test_the_next_daemon_is_a_relay_while_the_first_has_failed():
    rows = make_fleet(20, 2)
    near = sorted((row for row in rows if row.data_centre == "dc0"), key=lambda row: row.id)
    others = [row for row in near if row.id != near[RELAYS].id]
    assert not is_relay(near[RELAYS], others, lambda id: False)
    assert is_relay(near[RELAYS], others, lambda id: id == near[0].id)


def near_of(rows, own):
    return [row for row in rows if row.data_centre == own.data_centre and row.id != own.id]


# The pings of a daemon must not take more of its processor in a larger fleet.
@pytest.mark.parametrize("daemons", [13, 60, 195, 600])
def test_the_pings_of_a_daemon_are_bounded_whatever_the_size_of_the_fleet(daemons):
    rows = make_fleet(daemons, 5)
    for own in rows[:: daemons // 13]:
        purposes = plan(rows, own).values()
        stretch = ping_stretch(purposes)
        pings_per_s = sum(1_000 / (PING_MS_BY_PURPOSE[purpose] * stretch) for purpose in purposes)
        assert pings_per_s <= MAX_PINGS_PER_S + 0.001


def test_the_links_of_a_small_mesh_are_pinged_each_second():
    assert ping_stretch([LinkPurpose.NEAR] * 12) == 1.0
