"""Planning of expert placements: when to change an expert map, and to what.

In each layer a step of a rank group waits for the slowest rank, so the step
time grows with the *skew* of the layer, the highest rank load divided by the
mean. The planner improves the current placement by a greedy search of single
moves from the hottest rank, and keeps them if the predicted saving over a
horizon exceeds the cost of loading the weights. A search from the current
placement loads far fewer weights than a new placement, in which most experts
would be on other ranks.

Loads are given by layer and expert, in tokens per step or any other unit; only
their ratios within a layer matter. A placement lists the experts in the slots
of each rank, by layer and rank. Replicas of an expert share its load evenly.

With 64 experts a rank has 5 slots per layer in a group of 16 ranks (16 extra
replicas), and 2 in a group of 128 ranks (192 extra replicas). Besides, it has
spare slots that receive new weights while the old map is still in use; they
limit the moves of a rank in each layer to ``spare_slots``.
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

# The search minimizes the sum of the rank loads raised to this power. With a
# higher exponent only the hottest rank counts, and the search stops when two
# ranks are equally hot.
_NORM_EXPONENT = 16
# Number of least loaded ranks and experts that are tried for each move. With
# 12, the step time of 128 ranks is 0.5% lower, but planning 58 layers every
# 26 s takes 7% of a core, which exceeds the control budget of a node.
_CANDIDATE_COUNT = 6
# Slots of all ranks in a layer: 25% more than its 64 experts.
_MIN_SLOT_COUNT = 80
# Limit of successive search steps in a layer.
_MAX_MOVE_COUNT = 96


@dataclasses.dataclass(frozen=True, slots=True)
class Costs:
    """Cost parameters of placement changes.

    ``step_seconds`` is the step time with perfectly even load, ``expert_bytes``
    the size of the weights of one expert in one layer, ``bytes_per_second`` the
    throughput of the weight store to the group. Steps take ``slowdown_ratio``
    longer while weights load, and the switch to the new map takes another
    ``switch_steps`` steps. ``spare_slots`` is the number of slots for new
    weights on each rank in each layer.
    """

    step_seconds: float
    expert_bytes: float
    bytes_per_second: float
    slowdown_ratio: float = 0.1
    switch_steps: float = 1
    spare_slots: int = 1

    def loading_time(self, moves: int) -> float:
        """Return the time to load the weights of some moves, in seconds."""
        return moves * self.expert_bytes / self.bytes_per_second

    def lost_time(self, moves: int) -> float:
        """Return the processing time lost by some moves, in seconds."""
        if not moves:
            return 0
        switch = self.switch_steps * self.step_seconds
        return self.loading_time(moves) * self.slowdown_ratio + switch


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Result of planning; ``placement`` is the current one if no change pays.

    ``saving`` and ``cost`` are predicted in seconds over the horizon, ``moves``
    is the number of expert weights to load, ``skew`` the mean over the layers.
    """

    placement: Placement
    saving: float
    cost: float
    moves: int
    skew: float

    @property
    def has_changes(self) -> bool:
        """Whether the placement is to be changed."""
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
        current: current placement, with each expert on at least one rank.
        costs: cost parameters.
        horizon: number of steps for which the loads are expected to last.
        hysteresis: required ratio of saving to cost.

    Raises:
        ValueError: ``loads`` and ``current`` differ in their number of layers.
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
    # The old map stays in use while the weights load.
    remaining = horizon * costs.step_seconds - costs.loading_time(moves)
    saving = (before - skew) * max(remaining, 0)
    cost = costs.lost_time(moves)
    if not moves or saving <= hysteresis * cost:
        return Plan(current, 0, 0, 0, before)
    return Plan(placement, saving, cost, moves, skew)


def default_slots(ranks: int) -> int:
    """Return the slots per rank and layer: 80 per group, at least 2 per rank.

    With fewer slots, too few experts have a second replica to balance the load:
    the mean skew of 16 ranks with 4 slots and of 128 ranks with 1 is above 2.
    """
    return max(2, math.ceil(_MIN_SLOT_COUNT / ranks))


def mean_skew(
    loads: Sequence[Sequence[float]],
    placement: Placement,
) -> float:
    """Return the highest over the mean rank load, averaged over layers."""
    skews = [
        _skew(_LayerState(layer_loads, layer).rank_loads)
        for layer_loads, layer in zip(loads, placement, strict=True)
    ]
    return sum(skews) / len(skews)


def count_moves(before: Placement, after: Placement) -> int:
    """Return the number of expert weights that ranks have to load."""
    return sum(
        len(set(new) - set(old))
        for old_layer, new_layer in zip(before, after, strict=True)
        for old, new in zip(old_layer, new_layer, strict=True)
    )


def pack_layer(loads: Sequence[float], ranks: int, slots: int) -> Layer:
    """Place the experts of one layer on empty ranks, hottest first.

    Raises:
        ValueError: there are fewer slots than experts.
    """
    if ranks * slots < len(loads):
        raise ValueError(
            f'expected at least {len(loads)} slots, one for each expert, '
            f'found {ranks} ranks with {slots} slots each',
        )
    experts_of: list[list[int]] = [[] for _ in range(ranks)]
    totals = [0.0 for _ in range(ranks)]
    counts = _replica_counts(loads, ranks, ranks * slots)
    shares = [load / count for load, count in zip(loads, counts)]
    # Replicated experts are placed first, since each replica needs another
    # rank.
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
    """Replacement of one expert by another on a rank."""

    rank: int
    dropped: int
    loaded: int


class _LayerState:
    """Placement of one layer during the search, with its rank loads."""

    def __init__(self, loads: Sequence[float], layer: Layer) -> None:
        """Start from a placement; scale loads to a mean rank load of 1."""
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
        """Return the changes of rank loads by some moves."""
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
        """Return by how much some moves lower the norm of rank loads."""
        return sum(
            self.rank_loads[rank] ** _NORM_EXPONENT
            - (self.rank_loads[rank] + delta) ** _NORM_EXPONENT
            for rank, delta in self.deltas(moves).items()
        )

    def apply(self, moves: Iterable[_Move]) -> None:
        """Apply some moves to the placement."""
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
        """Return whether the rank has a spare slot for the new weights."""
        if move.loaded in self.experts_of[move.rank]:
            return False
        new = self.experts_of[move.rank] - {move.dropped} | {move.loaded}
        return len(new - self.initial_experts[move.rank]) <= spare_slots

    def candidates(self) -> Iterator[tuple[_Move, ...]]:
        """Yield moves that reduce the load of the hottest rank."""
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
    """Return the best placement found by the greedy search.

    ``skew_seconds`` is the time that one unit of skew costs over the horizon,
    ``move_seconds`` the time that each move must save, both in seconds.
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
