"""Replication of hot experts and offloading of slow ranks."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from primroseyoke.gateway.placement import (
    PlacementLimits,
    initial_placement,
    plan_replicas,
)

LIMITS = PlacementLimits(
    slots=11,
    new_per_layer=4,
    new_per_rank=2,
    target_skew=1.35,
)
LAYERS = 6
EXPERTS = 64
RANKS = 8


def skewed_counts(seed: int) -> list[int]:
    """Return realistic counts: the hottest expert has 0.3 of a layer's load."""
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
def test_one_change_removes_most_of_the_skew(seed: int) -> None:
    current = initial_placement(LAYERS, EXPERTS, RANKS)
    plan = plan_replicas(skewed_counts(seed), current, LIMITS)
    assert plan.skew_before > 2
    assert plan.skew_after < 1.7


@given(st.integers(0, 2**32), st.integers(1, 4), st.integers(8, 11))
def test_plans_respect_limits(
    seed: int,
    max_loads: int,
    slots: int,
) -> None:
    limits = PlacementLimits(slots, 4, max_loads, 1.2)
    placement = initial_placement(LAYERS, EXPERTS, RANKS)
    for offset in range(3):
        plan = plan_replicas(skewed_counts(seed + offset), placement, limits)
        assert max(plan.load_counts) <= max_loads
        for before, after in zip(placement, plan.placement):
            assert {e for rank in after for e in rank} == set(range(EXPERTS))
            for old, new in zip(before, after):
                assert len(new) <= slots
                assert len(set(new)) == len(new)
                assert len(set(new) - set(old)) <= limits.new_per_layer
        assert plan.skew_after <= plan.skew_before + 1e-9
        placement = plan.placement


def test_uniform_counts_change_nothing() -> None:
    current = initial_placement(LAYERS, EXPERTS, RANKS)
    plan = plan_replicas([10] * LAYERS * EXPERTS, current, LIMITS)
    assert plan.placement == current
    assert not any(plan.load_counts)


def test_counts_not_divisible_by_layers_are_rejected() -> None:
    with pytest.raises(ValueError, match='layers'):
        plan_replicas([1] * 7, initial_placement(2, 4, 2), LIMITS)


@pytest.mark.parametrize('slowdown', [1.6, 3.64, 12])
@pytest.mark.parametrize('seed', range(5))
def test_slow_rank_is_offloaded(seed: int, slowdown: float) -> None:
    """Guards against a group in which every pass waits for a slow rank."""
    limits = PlacementLimits(
        slots=11,
        new_per_layer=4,
        new_per_rank=6,
        target_skew=1.35,
    )
    placement = initial_placement(LAYERS, EXPERTS, RANKS)
    slowdowns = [1.0] * RANKS
    slowdowns[3] = slowdown
    for _ in range(3):
        plan = plan_replicas(skewed_counts(seed), placement, limits, slowdowns)
        assert plan.skew_after <= plan.skew_before
        for before, after in zip(placement, plan.placement):
            assert {e for rank in after for e in rank} == set(range(EXPERTS))
            assert not set(after[3]) - set(before[3])
        placement = plan.placement
    assert plan.skew_after < 1.7


def test_recovered_rank_receives_experts_again() -> None:
    limits = PlacementLimits(
        slots=11,
        new_per_layer=4,
        new_per_rank=2,
        target_skew=1.35,
    )
    start = initial_placement(LAYERS, EXPERTS, RANKS)
    offloaded = tuple(
        tuple(
            () if rank == 3 else (*layer[rank], layer[3][rank % 8])
            for rank in range(RANKS)
        )
        for layer in start
    )
    plan = plan_replicas(skewed_counts(1), offloaded, limits)
    assert any(layer[3] for layer in plan.placement)
