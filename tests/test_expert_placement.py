"""Tests of expert placement planning, with arbitrary loads and placements."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from primroseyoke import expert_placement
from primroseyoke.expert_placement import (
    Costs,
    mean_skew,
    pack_layer,
    plan_placement,
)

COSTS = Costs(step_seconds=0.05, expert_bytes=44e6, bytes_per_second=1e9)
EXPERTS = 12
LOADS = st.lists(st.floats(0, 100), min_size=EXPERTS, max_size=EXPERTS)
SIZES = st.sampled_from([(4, 5), (12, 1), (16, 2), (30, 1)])


@given(st.lists(st.tuples(LOADS, LOADS), min_size=1, max_size=2), SIZES)
def test_plan_is_valid_and_no_worse_than_staying(layers, size):
    """Guards against lost experts, overfull ranks and changes not worth it."""
    ranks, slots = size
    current = tuple(pack_layer(old, ranks, slots) for old, _ in layers)
    loads = [new for _, new in layers]
    chosen = plan_placement(loads, current, COSTS, horizon=4096)
    for before, after in zip(current, chosen.placement, strict=True):
        assert set(itertools.chain(*after)) == set(range(EXPERTS))
        for old, new in zip(before, after, strict=True):
            assert len(new) == len(set(new)) == len(old) <= slots
            assert len(set(new) - set(old)) <= COSTS.spare_slots
    assert chosen.saving >= chosen.cost
    assert chosen.skew == pytest.approx(mean_skew(loads, chosen.placement))
    assert chosen.skew <= mean_skew(loads, current) + 1e-9
    assert chosen.has_changes == (chosen.placement != current)


def test_hot_expert_is_replicated_where_it_pays():
    """Guards against plans without replication or without regard to cost."""
    loads = [[1.0] * 8]
    current = (pack_layer(loads[0], 4, 3),)
    loads[0][0] = 20.0
    replicas = sum(0 in slots for slots in current[0])
    cheap = plan_placement(loads, current, COSTS, horizon=4096)
    assert sum(0 in slots for slots in cheap.placement[0]) > replicas
    assert not plan_placement(loads, current, COSTS, horizon=2).has_changes
    assert not plan_placement(
        loads, current, COSTS, horizon=4096, hysteresis=1e6
    ).has_changes


def test_fluctuating_load_does_not_move_weights_back_and_forth():
    """Guards against plans that follow noise despite the hysteresis."""
    even = [[1.0] * 64]
    placement = (pack_layer(even[0], 16, 5),)
    moves = 0
    for window in range(20):
        loads = [[1 + 0.01 * ((e + window) % 2) for e in range(64)]]
        chosen = plan_placement(loads, placement, COSTS, horizon=512)
        moves += chosen.moves
        placement = chosen.placement
    assert moves < 16


def test_too_few_slots_are_refused():
    """Guards against a placement that silently omits an expert."""
    with pytest.raises(ValueError, match='slots'):
        expert_placement.pack_layer([1.0] * 64, 16, 3)
