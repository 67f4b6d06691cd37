"""Expert placement of a rank group that follows popularity.

All ranks run each pass together, so a layer takes as long as its most loaded
rank. The load of an expert is shared by the ranks that hold it. Popularity is
very uneven and changes at once: one expert has a third of a layer's load. A
plan therefore only adds replicas of what is hot, and drops replicas that are
not needed; every move costs time and bytes.
"""

import dataclasses
from collections.abc import Sequence

__all__ = ('Limits', 'Placement', 'Plan', 'first_placement', 'plan_replicas')

# Experts by layer and rank.
Placement = tuple[tuple[tuple[int, ...], ...], ...]

# How many experts of the hottest rank are considered for a further replica.
_TRIED = 3


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
) -> Plan:
    """Return a placement with more replicas of what is hot now.

    Args:
        counts: how often each expert was chosen, layer after layer.
        current: placement in force.
        limits: what one change may do.

    Raises:
        ValueError: counts and placement differ in size.
    """
    experts, rest = divmod(len(counts), len(current))
    if rest or not experts:
        raise ValueError(f'{len(counts)} counts for {len(current)} layers')
    layers = []
    for index, held in enumerate(current):
        layer_counts = counts[index * experts : (index + 1) * experts]
        layers.append(_Layer(layer_counts, held, limits))
    before = _mean([layer.skew for layer in layers])
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
    ) -> None:
        self.limits = limits
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

    def add_replica(self, copies: list[int]) -> bool:
        """Add the replica that relieves the most loaded rank most.

        Args:
            copies: new experts by rank in all layers; counted up.
        """
        loads = self._rank_loads()
        hottest = loads.index(max(loads))
        ranked = sorted(self.held[hottest], key=self._share, reverse=True)
        for expert in ranked[:_TRIED]:
            for rank in sorted(range(len(loads)), key=loads.__getitem__):
                if self._place(expert, rank, copies):
                    return True
        return False

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
            sum(self._share(expert) for expert in experts)
            for experts in self.held
        ]


def _mean(numbers: Sequence[float]) -> float:
    return sum(numbers) / len(numbers)
