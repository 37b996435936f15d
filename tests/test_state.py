"""Test the checks of changes, and that every state is consistent and has the right digest."""

import hypothesis.strategies as st
import pytest
from hypothesis import given

from egretworks.exceptions import ChangeRefused
from egretworks.resources import Match, Removal, Route, Service, TicketBody
from egretworks.state import (
    MeshState,
    apply_change,
    change_for,
    check_state,
    compute_digest,
    preview,
    void_change,
)
from egretworks.types import TicketNumber

NAMES = ("a", "b", "c")


def route(name, service):
    return Route(name=name, service=service, match=Match(path_prefix=f"/{name}"))


def body(services=(), routes=(), removed_services=(), removed_routes=()):
    return TicketBody(
        title="t",
        services=tuple(Service(name=name) for name in services),
        routes=tuple(route(name, service) for name, service in routes),
        remove=Removal(services=tuple(removed_services), routes=tuple(removed_routes)),
    )


def state_with(*bodies):
    state = MeshState()
    for number, each in enumerate(bodies, start=1):
        state = apply_change(state, change_for(state, TicketNumber(number), each))
    return state


def test_a_route_to_a_service_not_in_force_is_refused():
    with pytest.raises(ChangeRefused, match="names service 'a'"):
        preview(MeshState(), body(routes=[("r", "a")]), TicketNumber(1))


def test_a_service_that_a_route_of_another_ticket_names_cannot_be_removed():
    state = state_with(body(services=["a"]), body(routes=[("r", "a")]))
    with pytest.raises(ChangeRefused, match="names service 'a'"):
        preview(state, body(removed_services=["a"]), TicketNumber(3))
    without_both = preview(
        state, body(removed_services=["a"], removed_routes=["r"]), TicketNumber(3)
    )
    assert not without_both.services_by_name and not without_both.routes_by_name


def test_a_change_out_of_order_or_with_a_wrong_digest_is_refused_and_leaves_the_state():
    state = state_with(body(services=["a"]))
    following = change_for(state, TicketNumber(2), body(services=["b"]))
    with pytest.raises(ChangeRefused):
        apply_change(MeshState(), following)
    wrong_digest = type(following)(following.version, 2, body(services=["c"]), following.digest)
    with pytest.raises(ChangeRefused, match="digest"):
        apply_change(state, wrong_digest)
    assert set(state.services_by_name) == {"a"}


def test_a_void_change_takes_a_version_and_changes_no_resource():
    state = state_with(body(services=["a"]))
    following = apply_change(state, void_change(state, TicketNumber(9), "why"))
    assert following.version == state.version + 1
    assert following.digest == state.digest


bodies = st.builds(
    body,
    services=st.sets(st.sampled_from(NAMES)),
    routes=st.lists(
        st.tuples(st.sampled_from(NAMES), st.sampled_from(NAMES)), unique_by=lambda r: r[0]
    ),
    removed_services=st.sets(st.sampled_from(NAMES), max_size=1),
    removed_routes=st.sets(st.sampled_from(NAMES), max_size=1),
)


@given(st.lists(bodies, max_size=8))
def test_every_reachable_state_is_consistent_and_has_the_digest_of_its_resources(changes):
    state = MeshState()
    for number, each in enumerate(changes, start=1):
        try:
            change = change_for(state, TicketNumber(number), each)
        except ChangeRefused:
            continue
        state = apply_change(state, change)
        check_state(state)
        assert compute_digest(state) == state.digest
        assert all(r.service in state.services_by_name for r in state.routes_by_name.values())
