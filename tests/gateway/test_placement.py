"""Replicas of hot experts."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from primroseyoke.gateway.placement import (
    Limits,
    first_placement,
    plan_replicas,
)

LIMITS = Limits(slots=11, new_per_layer=4, new_per_rank=2, target=1.35)
LAYERS = 6
EXPERTS = 64
RANKS = 8


def popular(seed: int) -> list[int]:
    """Return counts as measured: the hottest expert has 0.3 of a layer."""
    generator = random.Random(seed)
    counts = []
    for _ in range(LAYERS):
        layer = [generator.randint(50, 150) for _ in range(EXPERTS)]
        hot = generator.sample(range(EXPERTS), 4)
        for expert, share in zip(hot, (0.6, 0.22, 0.12, 0.08)):
            layer[expert] = int(share * sum(layer))
        counts += layer
    return counts


@pytest.mark.parametrize('seed', range(20))
def test_one_change_levels_most_of_the_skew(seed: int) -> None:
    current = first_placement(LAYERS, EXPERTS, RANKS)
    plan = plan_replicas(popular(seed), current, LIMITS)
    assert plan.before > 2
    assert plan.after < 1.7


@given(st.integers(0, 2**32), st.integers(1, 4), st.integers(8, 11))
def test_plans_keep_to_the_limits(seed: int, copies: int, slots: int) -> None:
    limits = Limits(slots, 4, copies, 1.2)
    placement = first_placement(LAYERS, EXPERTS, RANKS)
    for change in range(3):
        plan = plan_replicas(popular(seed + change), placement, limits)
        assert max(plan.copies) <= copies
        for before, after in zip(placement, plan.placement):
            assert {e for rank in after for e in rank} == set(range(EXPERTS))
            for old, new in zip(before, after):
                assert len(new) <= slots
                assert len(set(new)) == len(new)
                assert len(set(new) - set(old)) <= limits.new_per_layer
        assert plan.after <= plan.before + 1e-9
        placement = plan.placement


def test_without_skew_nothing_moves() -> None:
    current = first_placement(LAYERS, EXPERTS, RANKS)
    plan = plan_replicas([10] * LAYERS * EXPERTS, current, LIMITS)
    assert plan.placement == current
    assert not any(plan.copies)


def test_counts_of_another_size_are_an_error() -> None:
    with pytest.raises(ValueError, match='layers'):
        plan_replicas([1] * 7, first_placement(2, 4, 2), LIMITS)


@pytest.mark.parametrize('pace', [1.6, 3.64, 12])
@pytest.mark.parametrize('seed', range(5))
def test_a_slow_rank_gives_its_experts_away(seed: int, pace: float) -> None:
    """Guards against a group whose passes all wait for a slow rank."""
    limits = Limits(slots=11, new_per_layer=4, new_per_rank=6, target=1.35)
    placement = first_placement(LAYERS, EXPERTS, RANKS)
    paces = [1.0] * RANKS
    paces[3] = pace
    for _ in range(3):
        plan = plan_replicas(popular(seed), placement, limits, paces)
        assert plan.after <= plan.before
        for before, after in zip(placement, plan.placement):
            assert {e for rank in after for e in rank} == set(range(EXPERTS))
            assert not set(after[3]) - set(before[3])
        placement = plan.placement
    assert plan.after < 1.7


def test_experts_come_back_to_a_rank_that_is_well_again() -> None:
    limits = Limits(slots=11, new_per_layer=4, new_per_rank=2, target=1.35)
    start = first_placement(LAYERS, EXPERTS, RANKS)
    emptied = tuple(
        tuple(
            () if rank == 3 else (*layer[rank], layer[3][rank % 8])
            for rank in range(RANKS)
        )
        for layer in start
    )
    plan = plan_replicas(popular(1), emptied, limits)
    assert any(layer[3] for layer in plan.placement)
