"""Expert placement of a rank group that follows popularity.

All ranks run each pass together, so a layer takes as long as its most loaded
rank. The load of an expert is shared by the ranks that hold it. Popularity is
very uneven and changes at once: one expert has a third of a layer's load. A
plan therefore only adds replicas of what is hot, and drops replicas that are
not needed; every move costs time and bytes.
"""

import dataclasses
import itertools
from collections.abc import Sequence

__all__ = (
    'Placement',
    'PlacementLimits',
    'PlacementPlan',
    'initial_placement',
    'plan_replicas',
)

# Experts by layer and rank.
Placement = tuple[tuple[tuple[int, ...], ...], ...]

# How many experts of the hottest rank are considered for a further replica.
_CANDIDATE_EXPERT_COUNT = 3
# A rank that takes this many times as long as usual gives experts away.
_SLOW_RANK_FACTOR = 1.3


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementLimits:
    """What one change may do.

    ``slots`` is the number of experts that a rank can hold in a layer,
    ``new_per_layer`` how many may be new to a rank in a layer, ``new_per_rank``
    in all layers. Replicas are added until the skew (most loaded rank over
    mean rank) of a layer is below ``target_skew``.
    """

    slots: int
    new_per_layer: int
    new_per_rank: int
    target_skew: float


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementPlan:
    """A placement; ``skew_before`` and ``skew_after`` are the mean skew of the layers.

    The load of a slow rank counts as many times as its work takes longer.
    ``load_counts`` is the number of experts that are new to a rank, by rank.
    """

    placement: Placement
    skew_before: float
    skew_after: float
    load_counts: tuple[int, ...]


def initial_placement(layers: int, experts: int, ranks: int) -> Placement:
    """Return the placement that a group starts with: experts in turn."""
    layer = tuple(tuple(range(rank, experts, ranks)) for rank in range(ranks))
    return (layer,) * layers


def plan_replicas(
    counts: Sequence[int],
    current: Placement,
    limits: PlacementLimits,
    slowdowns: Sequence[float] = (),
) -> PlacementPlan:
    """Return a placement with more replicas of what is hot now.

    Args:
        counts: how often each expert was chosen, layer after layer.
        current: placement in force.
        limits: what one change may do.
        slowdowns: how many times as long as usual the work of each rank takes;
            empty if no rank is slow.

    Raises:
        ValueError: counts and placement differ in size.
    """
    experts, remainder = divmod(len(counts), len(current))
    if remainder or not experts:
        raise ValueError(f'{len(counts)} counts for {len(current)} layers')
    rank_slowdowns = slowdowns or tuple(1.0 for _ in current[0])
    states = []
    for index, layer in enumerate(current):
        layer_counts = counts[index * experts : (index + 1) * experts]
        states.append(_LayerState(layer_counts, layer, limits, rank_slowdowns))
    skew_before = _mean([state.skew for state in states])
    for unbalanced in states:
        unbalanced.offload_slow_ranks()
    load_counts = [0 for _ in current[0]]
    improvable = list(states)
    while improvable:
        worst = max(improvable, key=lambda state: state.skew)
        if worst.skew <= limits.target_skew or not worst.add_replica(
            load_counts,
        ):
            improvable.remove(worst)
    return PlacementPlan(
        placement=tuple(state.placement for state in states),
        skew_before=skew_before,
        skew_after=_mean([state.skew for state in states]),
        load_counts=tuple(load_counts),
    )


class _LayerState:
    """One layer, with the load of each rank kept up to date."""

    def __init__(
        self,
        counts: Sequence[int],
        layer: Sequence[Sequence[int]],
        limits: PlacementLimits,
        slowdowns: Sequence[float],
    ) -> None:
        self.limits = limits
        self.slowdowns = slowdowns
        mean = sum(counts) / len(layer) or 1
        self.expert_loads = [count / mean for count in counts]
        self.experts_by_rank = [set(experts) for experts in layer]
        self.original_experts = [frozenset(experts) for experts in layer]
        self.replica_counts = [0 for _ in counts]
        for experts in layer:
            for expert in experts:
                self.replica_counts[expert] += 1

    @property
    def skew(self) -> float:
        """Return the load of the most loaded rank over the mean."""
        return max(self._weighted_rank_loads())

    @property
    def placement(self) -> tuple[tuple[int, ...], ...]:
        """Return the experts of each rank."""
        return tuple(tuple(sorted(experts)) for experts in self.experts_by_rank)

    def offload_slow_ranks(self) -> None:
        """Drop what slow ranks hold and others hold too: that is free."""
        for rank, slowdown in enumerate(self.slowdowns):
            if slowdown > _SLOW_RANK_FACTOR:
                self._offload_rank(rank, self.limits.target_skew / slowdown)

    def add_replica(self, load_counts: list[int]) -> bool:
        """Add the replica that relieves the most loaded rank most.

        Args:
            load_counts: new experts by rank in all layers; counted up.
        """
        loads = self._weighted_rank_loads()
        hottest_rank = loads.index(max(loads))
        hottest_experts = sorted(
            self.experts_by_rank[hottest_rank],
            key=self._load_per_replica,
            reverse=True,
        )
        candidate_ranks = self._candidate_ranks(loads)
        for expert, rank in itertools.product(
            hottest_experts[:_CANDIDATE_EXPERT_COUNT],
            candidate_ranks,
        ):
            if self._try_place(expert, rank, load_counts):
                if self.slowdowns[hottest_rank] > _SLOW_RANK_FACTOR:
                    self._remove_replica(expert, hottest_rank)
                return True
        return False

    def _offload_rank(self, rank: int, target: float) -> None:
        """Drop shared experts of a rank until its load is below ``target``."""
        hottest_first = sorted(
            self.experts_by_rank[rank],
            key=self._load_per_replica,
            reverse=True,
        )
        for expert in hottest_first:
            if self._rank_load(rank) <= target:
                return
            if self.replica_counts[expert] > 1:
                self._remove_replica(expert, rank)

    def _candidate_ranks(self, loads: Sequence[float]) -> list[int]:
        """Return the ranks that are not slow, the least loaded first."""
        normal_ranks = [
            rank
            for rank, slowdown in enumerate(self.slowdowns)
            if slowdown <= _SLOW_RANK_FACTOR
        ]
        return sorted(normal_ranks, key=loads.__getitem__)

    def _try_place(
        self,
        expert: int,
        rank: int,
        load_counts: list[int],
    ) -> bool:
        held = self.experts_by_rank[rank]
        was_held = expert in self.original_experts[rank]
        if expert in held:
            return False
        if not was_held and load_counts[rank] >= self.limits.new_per_rank:
            return False
        if (
            not was_held
            and self._new_expert_count(rank) >= self.limits.new_per_layer
        ):
            return False
        if len(held) >= self.limits.slots and not self._make_room(expert, rank):
            return False
        held.add(expert)
        self.replica_counts[expert] += 1
        load_counts[rank] += not was_held
        return True

    def _make_room(self, expert: int, rank: int) -> bool:
        """Make room for an expert if another replica is of less use."""
        replicated = [
            candidate
            for candidate in self.experts_by_rank[rank]
            if self.replica_counts[candidate] > 1
        ]
        if not replicated:
            return False
        coldest = min(replicated, key=self._load_per_replica)
        gained = self.expert_loads[expert] / (self.replica_counts[expert] + 1)
        if self._load_per_replica(coldest) >= gained:
            return False
        self._remove_replica(coldest, rank)
        return True

    def _remove_replica(self, expert: int, rank: int) -> None:
        self.experts_by_rank[rank].discard(expert)
        self.replica_counts[expert] -= 1

    def _new_expert_count(self, rank: int) -> int:
        return len(self.experts_by_rank[rank] - self.original_experts[rank])

    def _load_per_replica(self, expert: int) -> float:
        return self.expert_loads[expert] / self.replica_counts[expert]

    def _weighted_rank_loads(self) -> list[float]:
        return [
            slowdown * self._rank_load(rank)
            for rank, slowdown in enumerate(self.slowdowns)
        ]

    def _rank_load(self, rank: int) -> float:
        return sum(
            self._load_per_replica(expert)
            for expert in self.experts_by_rank[rank]
        )


def _mean(numbers: Sequence[float]) -> float:
    return sum(numbers) / len(numbers)
