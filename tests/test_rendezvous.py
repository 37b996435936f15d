"""Test the choice of ids by rendezvous hashing."""

from egretworks.rendezvous import rendezvous


def test_losing_one_id_only_moves_what_it_was_chosen_for():
    ids = [f"d{n}" for n in range(40)]
    before = {p: rendezvous(ids, p, 1)[0] for p in map(str, range(100))}
    after = {p: rendezvous(ids[1:], p, 1)[0] for p in map(str, range(100))}
    assert {p for p in before if before[p] != after[p]} == {p for p in before if before[p] == "d0"}
