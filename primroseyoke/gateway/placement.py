"""Plans the expert placement of a rank group by expert popularity.

All ranks run each forward pass together, so a layer takes as long as its most
loaded rank. The ranks that hold an expert share its load. Popularity is very
uneven and changes abruptly: a single expert can take a third of a layer's load.
Since loading weights costs time and bandwidth, a plan only adds replicas of hot
experts and evicts replicas that are not needed.
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

# The experts held, by layer and rank.
Placement = tuple[tuple[tuple[int, ...], ...], ...]

# Number of experts of the most loaded rank that are tried for replication.
_CANDIDATE_EXPERT_COUNT = 3
# A rank that is slower than normal by more than this factor is offloaded.
_SLOW_RANK_FACTOR = 1.3


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementLimits:
    """Limits of one placement change.

    Attributes:
        slots: number of experts that a rank can hold in a layer.
        new_per_layer: number of experts that a rank may load in a layer.
        new_per_rank: number of experts that a rank may load in all layers.
        target_skew: replicas are added to a layer until its skew, the load of
            the most loaded rank over the mean, does not exceed this ratio.
    """

    slots: int
    new_per_layer: int
    new_per_rank: int
    target_skew: float


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementPlan:
    """A planned placement.

    The load of each rank is weighted by its slowdown.

    Attributes:
        placement: the planned placement.
        skew_before: mean skew of the layers with the current placement.
        skew_after: mean skew of the layers with the planned placement.
        load_counts: number of experts to load, by rank.
    """

    placement: Placement
    skew_before: float
    skew_after: float
    load_counts: tuple[int, ...]


def initial_placement(layers: int, experts: int, ranks: int) -> Placement:
    """Return the round-robin placement that a group starts with."""
    layer = tuple(tuple(range(rank, experts, ranks)) for rank in range(ranks))
    return (layer,) * layers


def plan_replicas(
    counts: Sequence[int],
    current: Placement,
    limits: PlacementLimits,
    slowdowns: Sequence[float] = (),
) -> PlacementPlan:
    """Plan a placement with more replicas of the experts that are hot now.

    Args:
        counts: how often each expert was selected, layer by layer.
        current: the placement in use.
        limits: limits of the change.
        slowdowns: time that each rank takes for its work, relative to normal;
            empty if no rank is slow.

    Raises:
        ValueError: the counts do not divide evenly into the layers.
    """
    experts, remainder = divmod(len(counts), len(current))
    if remainder or not experts:
        raise ValueError(
            f'expected equally many counts for each of {len(current)} layers, '
            f'got {len(counts)} counts',
        )
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
    """Mutable placement of one layer with the resulting loads.

    Loads are relative to the mean load of a rank.
    """

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
        """Remove from slow ranks experts that other ranks hold, at no cost."""
        for rank, slowdown in enumerate(self.slowdowns):
            if slowdown > _SLOW_RANK_FACTOR:
                self._offload_rank(rank, self.limits.target_skew / slowdown)

    def add_replica(self, load_counts: list[int]) -> bool:
        """Replicate a hot expert of the most loaded rank to another rank.

        If the most loaded rank is slow, the expert is moved instead.

        Args:
            load_counts: experts to load in all layers, by rank; updated.

        Returns:
            Whether a replica was added.
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
        """Remove replicated experts until the load is at most ``target``."""
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
        """Return the ranks that are not slow, least loaded first."""
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
        """Evict a replica if it takes less load than a new one would."""
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
