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

__all__ = ('Limits', 'Placement', 'Plan', 'first_placement', 'plan_replicas')

# Experts by layer and rank.
Placement = tuple[tuple[tuple[int, ...], ...], ...]

# How many experts of the hottest rank are considered for a further replica.
_TRIED = 3
# A rank that takes this many times as long as usual gives experts away.
_SLOW = 1.3


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What one change may do.

    ``slots`` is the number of experts that a rank can hold in a layer,
    ``new_per_layer`` how many may be new to a rank in a layer, ``new_per_rank``
    in all layers. Replicas are added until the skew (most loaded rank over
    mean rank) of a layer is below ``target``.
    """

    slots: int
    new_per_layer: int
    new_per_rank: int
    target: float


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A placement; ``before`` and ``after`` are the mean skew of the layers.

    The load of a slow rank counts as many times as its work takes longer.
    ``copies`` is the number of experts that are new to a rank, by rank.
    """

    placement: Placement
    before: float
    after: float
    copies: tuple[int, ...]


def first_placement(layers: int, experts: int, ranks: int) -> Placement:
    """Return the placement that a group starts with: experts in turn."""
    layer = tuple(tuple(range(rank, experts, ranks)) for rank in range(ranks))
    return (layer,) * layers


def plan_replicas(
    counts: Sequence[int],
    current: Placement,
    limits: Limits,
    paces: Sequence[float] = (),
) -> Plan:
    """Return a placement with more replicas of what is hot now.

    Args:
        counts: how often each expert was chosen, layer after layer.
        current: placement in force.
        limits: what one change may do.
        paces: how many times as long as usual the work of each rank takes;
            empty if no rank is slow.

    Raises:
        ValueError: counts and placement differ in size.
    """
    experts, rest = divmod(len(counts), len(current))
    if rest or not experts:
        raise ValueError(f'{len(counts)} counts for {len(current)} layers')
    weights = paces or tuple(1.0 for _ in current[0])
    layers = []
    for index, held in enumerate(current):
        layer_counts = counts[index * experts : (index + 1) * experts]
        layers.append(_Layer(layer_counts, held, limits, weights))
    before = _mean([unchanged.skew for unchanged in layers])
    for each in layers:
        each.relieve_slow()
    copies = [0 for _ in current[0]]
    open_layers = list(layers)
    while open_layers:
        worst = max(open_layers, key=lambda layer: layer.skew)
        if worst.skew <= limits.target or not worst.add_replica(copies):
            open_layers.remove(worst)
    return Plan(
        placement=tuple(layer.placement for layer in layers),
        before=before,
        after=_mean([layer.skew for layer in layers]),
        copies=tuple(copies),
    )


class _Layer:
    """One layer, with the load of each rank kept up to date."""

    def __init__(
        self,
        counts: Sequence[int],
        layer: Sequence[Sequence[int]],
        limits: Limits,
        weights: Sequence[float],
    ) -> None:
        self.limits = limits
        self.weights = weights
        mean = sum(counts) / len(layer) or 1
        self.loads = [count / mean for count in counts]
        self.held = [set(experts) for experts in layer]
        self.original = [frozenset(experts) for experts in layer]
        self.replicas = [0 for _ in counts]
        for experts in layer:
            for expert in experts:
                self.replicas[expert] += 1

    @property
    def skew(self) -> float:
        """Return the load of the most loaded rank over the mean."""
        return max(self._rank_loads())

    @property
    def placement(self) -> tuple[tuple[int, ...], ...]:
        """Return the experts of each rank."""
        return tuple(tuple(sorted(experts)) for experts in self.held)

    def relieve_slow(self) -> None:
        """Drop what slow ranks hold and others hold too: that is free."""
        for rank, weight in enumerate(self.weights):
            if weight > _SLOW:
                self._relieve(rank, self.limits.target / weight)

    def add_replica(self, copies: list[int]) -> bool:
        """Add the replica that relieves the most loaded rank most.

        Args:
            copies: new experts by rank in all layers; counted up.
        """
        loads = self._rank_loads()
        hottest = loads.index(max(loads))
        ranked = sorted(self.held[hottest], key=self._share, reverse=True)
        targets = self._targets(loads)
        for expert, rank in itertools.product(ranked[:_TRIED], targets):
            if self._place(expert, rank, copies):
                if self.weights[hottest] > _SLOW:
                    self._remove(expert, hottest)
                return True
        return False

    def _relieve(self, rank: int, target: float) -> None:
        """Drop shared experts of a rank until its load is below ``target``."""
        hottest_first = sorted(
            self.held[rank],
            key=self._share,
            reverse=True,
        )
        for expert in hottest_first:
            if self._rank_load(rank) <= target:
                return
            if self.replicas[expert] > 1:
                self._remove(expert, rank)

    def _targets(self, loads: Sequence[float]) -> list[int]:
        """Return the ranks that are not slow, the least loaded first."""
        usual = [
            rank for rank, weight in enumerate(self.weights) if weight <= _SLOW
        ]
        return sorted(usual, key=loads.__getitem__)

    def _place(self, expert: int, rank: int, copies: list[int]) -> bool:
        held = self.held[rank]
        returning = expert in self.original[rank]
        if expert in held:
            return False
        if not returning and copies[rank] >= self.limits.new_per_rank:
            return False
        if not returning and self._new(rank) >= self.limits.new_per_layer:
            return False
        if len(held) >= self.limits.slots and not self._drop(expert, rank):
            return False
        held.add(expert)
        self.replicas[expert] += 1
        copies[rank] += not returning
        return True

    def _drop(self, expert: int, rank: int) -> bool:
        """Make room for an expert if another replica is of less use."""
        spare = [held for held in self.held[rank] if self.replicas[held] > 1]
        if not spare:
            return False
        least = min(spare, key=self._share)
        gained = self.loads[expert] / (self.replicas[expert] + 1)
        if self._share(least) >= gained:
            return False
        self._remove(least, rank)
        return True

    def _remove(self, expert: int, rank: int) -> None:
        self.held[rank].discard(expert)
        self.replicas[expert] -= 1

    def _new(self, rank: int) -> int:
        return len(self.held[rank] - self.original[rank])

    def _share(self, expert: int) -> float:
        return self.loads[expert] / self.replicas[expert]

    def _rank_loads(self) -> list[float]:
        return [
            weight * self._rank_load(rank)
            for rank, weight in enumerate(self.weights)
        ]

    def _rank_load(self, rank: int) -> float:
        return sum(self._share(expert) for expert in self.held[rank])


def _mean(numbers: Sequence[float]) -> float:
    return sum(numbers) / len(numbers)
