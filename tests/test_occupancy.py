"""Shares of an entry's threads."""

from hypothesis import given
from hypothesis import strategies as st

from primroseyoke.occupancy import Occupancy


def test_one_client_leaves_room_for_others():
    """Guards against slow readers of one client that take every thread."""
    occupancy = Occupancy(16)
    taken = sum(occupancy.begin('large') for _ in range(40))
    assert taken == 12
    assert [occupancy.begin('small') for _ in range(4)] == [True] * 4
    occupancy.end('large')
    assert not occupancy.begin('large')


@given(st.lists(st.tuples(st.booleans(), st.sampled_from('abc'))))
def test_places_are_given_back(steps):
    """Guards against places that leak, or that a refused client holds."""
    occupancy = Occupancy(8)
    held = []
    for begins, client in steps:
        if begins and occupancy.begin(client):
            held.append(client)
        elif not begins and client in held:
            held.remove(client)
            occupancy.end(client)
    assert occupancy.taken.total() == len(held)
    for client in held:
        occupancy.end(client)
    assert not occupancy.taken
