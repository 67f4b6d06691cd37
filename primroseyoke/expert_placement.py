"""When to change an expert map, and to what.

A step of a rank group waits in each layer for the slowest rank, so its time
grows with the *skew* of the layer, which is the highest load of a rank over the
mean. A plan improves the present placement by few single moves, hottest rank
first, and keeps them while the predicted saving over a horizon exceeds the cost
of loading the weights. Starting from the present placement moves far fewer
weights than a placement from nothing, which would put most experts elsewhere.

Loads are in tokens per step or any other unit, by layer and expert; only their
ratios within a layer count. A placement has, by layer and rank, the experts in
the slots of the rank. The replicas of an expert share its load evenly.

The number of slots of a rank: 5 a layer for 16 ranks (64 experts and 16
replicas), 2 a layer for 128 ranks (64 experts and 192 replicas). One more slot,
the spare_slots one, receives new weights while the old map is in use; it bounds the
number of moves of a rank in each layer by ``spare_slots``.
"""

import dataclasses
import math
from collections.abc import Iterable, Iterator, Sequence

__all__ = (
    'Costs',
    'Plan',
    'count_moves',
    'default_slots',
    'mean_skew',
    'pack_layer',
    'plan_placement',
)

Layer = tuple[tuple[int, ...], ...]
Placement = tuple[Layer, ...]

# The search lowers the sum of the rank loads to this power: a higher one looks
# at the hottest rank only and stops where two ranks are equally hot.
_NORM_EXPONENT = 16
# How many of the coolest ranks and experts a move is tried with. 12 gain 0.5% of
# the step time with 128 ranks, but 58 layers then take 7% of a core to plan
# every 26 s, above what a node may spend on control.
_CANDIDATE_COUNT = 6
# A quarter more than the 64 experts of a layer.
_MIN_SLOT_COUNT = 80
# How many moves of a layer are tried in a row at most.
_MAX_MOVE_COUNT = 96


@dataclasses.dataclass(frozen=True, slots=True)
class Costs:
    """What a change costs and a step takes.

    ``step_seconds`` is the time of a step with even load in seconds,
    ``expert_bytes`` the weights of one expert of one layer in bytes, ``bytes_per_second``
    what the weight store gives to the group in bytes per second. While weights
    load, steps take ``slowdown_ratio`` (a ratio) longer; a change takes
    ``switch_steps`` steps besides. ``spare_slots`` is the number of slots for new
    weights on each rank in each layer.
    """

    step_seconds: float
    expert_bytes: float
    bytes_per_second: float
    slowdown_ratio: float = 0.1
    switch_steps: float = 1
    spare_slots: int = 1

    def loading_time(self, moves: int) -> float:
        """Return how long the weights of some moves take, in seconds."""
        return moves * self.expert_bytes / self.bytes_per_second

    def lost_time(self, moves: int) -> float:
        """Return the time that a change costs the group, in seconds."""
        if not moves:
            return 0
        switch = self.switch_steps * self.step_seconds
        return self.loading_time(moves) * self.slowdown_ratio + switch


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Outcome of planning; ``placement`` is the present one if none pays.

    ``saving`` and ``cost`` are predicted seconds over the horizon, ``moves``
    the number of expert weights to load, ``skew`` the mean over the layers.
    """

    placement: Placement
    saving: float
    cost: float
    moves: int
    skew: float

    @property
    def has_changes(self) -> bool:
        """Tell whether the placement is to be changed."""
        return self.moves > 0


def plan_placement(
    loads: Sequence[Sequence[float]],
    current: Placement,
    costs: Costs,
    horizon: float,
    hysteresis: float = 1.5,
) -> Plan:
    """Decide whether and how to change a placement.

    Args:
        loads: loads by layer and expert, not negative.
        current: present placement, with each expert on some rank.
        costs: what a change costs.
        horizon: for how many steps the loads are expected to stay.
        hysteresis: by what ratio the saving must exceed the cost.

    Raises:
        ValueError: loads and placement differ in their number of layers.
    """
    layer_seconds = horizon * costs.step_seconds / len(current)
    move_seconds = hysteresis * costs.loading_time(1) * costs.slowdown_ratio
    placement = tuple(
        _improve_layer(
            layer_loads, layer, layer_seconds, move_seconds, costs.spare_slots
        )
        for layer_loads, layer in zip(loads, current, strict=True)
    )
    moves = count_moves(current, placement)
    before = mean_skew(loads, current)
    skew = mean_skew(loads, placement)
    # The old map is in use while the weights load.
    remaining = horizon * costs.step_seconds - costs.loading_time(moves)
    saving = (before - skew) * max(remaining, 0)
    cost = costs.lost_time(moves)
    if not moves or saving <= hysteresis * cost:
        return Plan(current, 0, 0, 0, before)
    return Plan(placement, saving, cost, moves, skew)


def default_slots(ranks: int) -> int:
    """Return the slots of a rank in a layer: room for 80 replicas, 2 at least.

    With fewer, few experts have a second replica and load cannot be moved: the
    mean skew of 16 ranks with 4 slots and of 128 ranks with 1 is above 2.
    """
    return max(2, math.ceil(_MIN_SLOT_COUNT / ranks))


def mean_skew(
    loads: Sequence[Sequence[float]],
    placement: Placement,
) -> float:
    """Return the mean over the layers of slowest rank over mean rank."""
    skews = [
        _skew(_LayerState(layer_loads, layer).rank_loads)
        for layer_loads, layer in zip(loads, placement, strict=True)
    ]
    return sum(skews) / len(skews)


def count_moves(before: Placement, after: Placement) -> int:
    """Return how many expert weights ranks have to load."""
    return sum(
        len(set(new) - set(old))
        for old_layer, new_layer in zip(before, after, strict=True)
        for old, new in zip(old_layer, new_layer, strict=True)
    )


def pack_layer(loads: Sequence[float], ranks: int, slots: int) -> Layer:
    """Place the experts of one layer from nothing, hottest first.

    Raises:
        ValueError: there are fewer slots than experts.
    """
    if ranks * slots < len(loads):
        raise ValueError(f'{ranks} * {slots} slots for {len(loads)} experts')
    experts_of: list[list[int]] = [[] for _ in range(ranks)]
    totals = [0.0 for _ in range(ranks)]
    counts = _replica_counts(loads, ranks, ranks * slots)
    shares = [load / count for load, count in zip(loads, counts)]
    # The experts with most replicas go first: they need the most ranks.
    order = sorted(
        range(len(loads)),
        key=lambda expert: (counts[expert] == 1, -shares[expert]),
    )
    for expert in order:
        free = sorted(
            (totals[rank], len(experts_of[rank]), rank)
            for rank in range(ranks)
            if len(experts_of[rank]) < slots
        )
        for _, _, rank in free[: counts[expert]]:
            experts_of[rank].append(expert)
            totals[rank] += shares[expert]
    return tuple(tuple(experts) for experts in experts_of)


def _replica_counts(
    loads: Sequence[float],
    ranks: int,
    total: int,
) -> list[int]:
    counts = [1 for _ in loads]
    shares = list(loads)
    for _ in range(min(total, ranks * len(loads)) - len(loads)):
        hottest = shares.index(max(shares))
        counts[hottest] += 1
        shares[hottest] = loads[hottest] / counts[hottest]
        if counts[hottest] == ranks:
            shares[hottest] = -1
    return counts


def _skew(rank_loads: Sequence[float]) -> float:
    total = sum(rank_loads)
    if not total:
        return 1
    return max(rank_loads) * len(rank_loads) / total


@dataclasses.dataclass(frozen=True, slots=True)
class _Move:
    """Rank ``rank`` drops one expert and loads another."""

    rank: int
    dropped: int
    loaded: int


class _LayerState:
    """Placement of one layer with its rank loads kept up to date."""

    def __init__(self, loads: Sequence[float], layer: Layer) -> None:
        """Start from a placement; loads are scaled to a mean rank load of 1."""
        mean = sum(loads) / len(layer) or 1
        self.loads = [load / mean for load in loads]
        self.experts_of = [set(experts) for experts in layer]
        self.initial_experts = [frozenset(experts) for experts in layer]
        self.ranks_of: list[set[int]] = [set() for _ in loads]
        for rank, slots in enumerate(layer):
            for expert in slots:
                self.ranks_of[expert].add(rank)
        self.rank_loads = [
            sum(self.share(held) for held in experts)
            for experts in self.experts_of
        ]

    def share(self, expert: int) -> float:
        """Return the load of one replica."""
        return self.loads[expert] / len(self.ranks_of[expert])

    def deltas(self, moves: Iterable[_Move]) -> dict[int, float]:
        """Return by how much some moves change the loads of ranks."""
        ranks_of: dict[int, set[int]] = {}
        for move in moves:
            for expert in (move.dropped, move.loaded):
                ranks_of.setdefault(expert, set(self.ranks_of[expert]))
            ranks_of[move.dropped].discard(move.rank)
            ranks_of[move.loaded].add(move.rank)
        deltas: dict[int, float] = {}
        for expert, after in ranks_of.items():
            before = self.ranks_of[expert]
            new_share = self.loads[expert] / len(after)
            old_share = self.share(expert)
            for rank in before | after:
                delta = new_share * (rank in after) - old_share * (
                    rank in before
                )
                deltas[rank] = deltas.get(rank, 0) + delta
        return deltas

    def gain(self, moves: Iterable[_Move]) -> float:
        """Return by how much some moves lower the norm of the rank loads."""
        return sum(
            self.rank_loads[rank] ** _NORM_EXPONENT
            - (self.rank_loads[rank] + delta) ** _NORM_EXPONENT
            for rank, delta in self.deltas(moves).items()
        )

    def apply(self, moves: Iterable[_Move]) -> None:
        """Carry out some moves."""
        for rank, delta in self.deltas(moves).items():
            self.rank_loads[rank] += delta
        for move in moves:
            self.experts_of[move.rank].remove(move.dropped)
            self.experts_of[move.rank].add(move.loaded)
            self.ranks_of[move.dropped].discard(move.rank)
            self.ranks_of[move.loaded].add(move.rank)

    def layer(self, before: Layer) -> Layer:
        """Return the placement; experts that stay keep their slots."""
        return tuple(
            _fill_slots(slots, experts)
            for slots, experts in zip(before, self.experts_of, strict=True)
        )

    def is_allowed(self, move: _Move, spare_slots: int) -> bool:
        """Tell whether a rank has a slot for the weights of a move."""
        if move.loaded in self.experts_of[move.rank]:
            return False
        new = self.experts_of[move.rank] - {move.dropped} | {move.loaded}
        return len(new - self.initial_experts[move.rank]) <= spare_slots

    def candidates(self) -> Iterator[tuple[_Move, ...]]:
        """Yield moves that take load from the hottest rank."""
        ranks = sorted(
            range(len(self.rank_loads)),
            key=self.rank_loads.__getitem__,
        )
        hottest = ranks[-1]
        lightest_ranks = ranks[:_CANDIDATE_COUNT]
        lightest_experts = sorted(range(len(self.loads)), key=self.share)[
            :_CANDIDATE_COUNT
        ]
        for expert in self.experts_of[hottest]:
            if len(self.ranks_of[expert]) > 1:
                for other in lightest_experts:
                    yield (_Move(hottest, expert, other),)
            for rank in lightest_ranks:
                yield from self._moves_to(hottest, expert, rank)

    def _moves_to(
        self,
        hottest: int,
        expert: int,
        rank: int,
    ) -> Iterator[tuple[_Move, ...]]:
        for other in self.experts_of[rank]:
            replica = _Move(rank, other, expert)
            if len(self.ranks_of[other]) > 1:
                yield (replica,)
            if other not in self.experts_of[hottest]:
                yield (replica, _Move(hottest, expert, other))


def _fill_slots(slots: tuple[int, ...], experts: set[int]) -> tuple[int, ...]:
    arriving = iter(sorted(experts - set(slots)))
    return tuple(
        expert if expert in experts else next(arriving) for expert in slots
    )


def _improve_layer(
    loads: Sequence[float],
    layer: Layer,
    skew_seconds: float,
    move_seconds: float,
    spare_slots: int,
) -> Layer:
    """Return the best placement on the way of the hottest-first search.

    ``skew_seconds`` is the time in seconds that one unit of skew costs, ``move_seconds`` the
    time that one move must save.
    """
    state = _LayerState(loads, layer)
    best = layer
    best_cost = skew_seconds * max(state.rank_loads)
    for _ in range(_MAX_MOVE_COUNT):
        moves = _best_moves(state, spare_slots)
        if not moves:
            break
        state.apply(moves)
        moved = sum(
            len(experts - initial_experts)
            for experts, initial_experts in zip(
                state.experts_of, state.initial_experts
            )
        )
        cost = skew_seconds * max(state.rank_loads) + move_seconds * moved
        if cost < best_cost:
            best_cost = cost
            best = state.layer(layer)
    return best


def _best_moves(state: _LayerState, spare_slots: int) -> tuple[_Move, ...]:
    best: tuple[_Move, ...] = ()
    best_gain = 1e-9
    for moves in state.candidates():
        if all(state.is_allowed(move, spare_slots) for move in moves):
            gain = state.gain(moves) / len(moves)
            if gain > best_gain:
                best = moves
                best_gain = gain
    return best
