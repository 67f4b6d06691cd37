"""Tests of the choice of upstreams and links, against the plain rules."""

import collections
import random

from hypothesis import given
from hypothesis import strategies as st

from primroseyoke.messages import Load
from primroseyoke.routing import Router, choose_links

ZONES = ('a', 'b', 'c')
LOADS = st.builds(
    Load,
    running=st.integers(0, 8),
    waiting=st.integers(0, 4),
    limit=st.integers(0, 8),
    accepting=st.booleans(),
)
UPSTREAMS = st.lists(
    st.tuples(
        st.sampled_from(ZONES),
        st.sampled_from(['in', 'leaving']),
        st.none() | LOADS,
    ),
    min_size=1,
    max_size=8,
)
from tests.configurations import build_configuration


def configuration(rows, out=(), count=0):
    parts = {'service/s': {'kind': 'plain'}}
    for number, (zone, state, _) in enumerate(rows):
        parts[f'upstream/u{number}'] = {
            'service': 's',
            'availability_zone': zone,
            'agent': f'127.0.0.1:{number + 1}',
            'state': state,
        }
    for zone in out:
        parts[f'zone/{zone}'] = {'state': 'out'}
    return build_configuration(parts)


@given(
    UPSTREAMS,
    st.sets(st.sampled_from(ZONES), max_size=1),
    st.sets(st.integers(0, 7)),
)
def test_choice_is_allowed(rows, out, excluded_numbers):
    """Guards against requests to an upstream that must not receive any.

    That is one which leaves, is in a zone that is out, or refuses requests.
    """
    current = configuration(rows, out)
    if current is None:
        return
    router = Router('a', random.Random(1))
    allowed = set()
    for number, (zone, state, load) in enumerate(rows):
        if load is None:
            continue
        router.add_upstream(f'u{number}', load)
        if state == 'in' and zone not in out and load.accepting:
            allowed.add(f'u{number}')
    excluded = {f'u{number}' for number in excluded_numbers}
    choice = router.choose(current, 's', excluded)
    assert (choice is None) == (not allowed)
    if choice is not None:
        assert choice in allowed
        assert choice not in excluded or not allowed - excluded


def test_links_spread_evenly_and_move_little():
    """Guards against overloaded agents, and mass reconnects on one change."""
    rows = [(ZONES[number % 3], 'in', None) for number in range(90)]
    before = configuration(rows)
    after = configuration(rows[:-1])
    links = collections.Counter()
    moved = 0
    for number in range(60):
        entry = (f'entry-{number}', ZONES[number % 3], 12)
        chosen = choose_links(before, *entry)
        links.update(chosen.keys())
        moved += len(set(chosen) ^ set(choose_links(after, *entry)))
    assert len(links) == 90
    # The mean is 8 links per agent.
    assert max(links.values()) <= 24
    assert moved <= 2 * links['u89'] + 4
