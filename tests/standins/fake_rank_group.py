"""Fake rank group that executes placement orders as the platform specifies."""

import asyncio
import dataclasses
import random

from primroseyoke.exceptions import ServiceUnavailable
from primroseyoke.gateway.engines import (
    Arm,
    Disarm,
    ExpertCounts,
    Hold,
    Order,
    OrderResult,
    Prepare,
    RankReport,
    Release,
)
from primroseyoke.gateway.placement import Placement, initial_placement
from primroseyoke.gateway.upstreams import Upstream

EPOCH = 3
LAYERS = 1
EXPERTS = 8
RANKS = 4
PASS_SECONDS = 0.05
PLACEMENT = initial_placement(LAYERS, EXPERTS, RANKS)


@dataclasses.dataclass
class Rank:
    """Placement state of a rank as the platform specifies it.

    ``armed`` is the version to switch to and the pass from which it is used.
    """

    version: int = 0
    highest_version: int = 0
    prepared_version: int | None = None
    armed: tuple[int, int] | None = None
    held_step: int | None = None


class FakeRankGroup:
    """A rank group that loses responses and executes orders late at random.

    Attributes:
        loss_probability: share of the executed orders without a response.
        late_probability: share of the orders that are executed late.
        inconsistent_steps: passes that began with different placements.
        unreachable: numbers of the ranks that refuse connections.
        is_idle: whether there are no requests, so that no pass begins.
        report_count: number of reports of all ranks.
    """

    def __init__(
        self,
        generator: random.Random,
        loss_probability: float,
        late_probability: float,
    ) -> None:
        self.generator = generator
        self.loss_probability = loss_probability
        self.late_probability = late_probability
        self.ranks = [Rank() for _ in range(RANKS)]
        self.step = 10
        self.inconsistent_steps: list[int] = []
        self.popularity = [1000 for _ in range(LAYERS * EXPERTS)]
        self.selection_counts = [0 for _ in self.popularity]
        self.placements: dict[int, Placement] = {0: PLACEMENT}
        self.slowdowns = [1.0 for _ in range(RANKS)]
        self.late_tasks: set[asyncio.Task[None]] = set()
        self.unreachable: set[int] = set()
        self.epoch = EPOCH
        self.is_idle = False
        self.report_count = 0

    def restart(self) -> None:
        """Begin a new epoch, as after the end of a rank."""
        self.epoch += 1
        self.ranks = [Rank() for _ in range(RANKS)]

    async def run_passes(self) -> None:
        while True:
            await asyncio.sleep(PASS_SECONDS)
            step = self.step + 1
            if self.is_idle or any(
                rank.held_step == step for rank in self.ranks
            ):
                continue
            self.step = step
            for rank in self.ranks:
                if rank.armed is not None and rank.armed[1] <= step:
                    rank.version = rank.armed[0]
                    rank.armed = None
            if len({rank.version for rank in self.ranks}) > 1:
                self.inconsistent_steps.append(step)

    async def order(
        self,
        upstream: Upstream,
        order: Order,
        timeout: float,
    ) -> OrderResult:
        rank = self.ranks[int(upstream.name)]
        if int(upstream.name) in self.unreachable:
            return OrderResult.UNREACHABLE
        if self.generator.random() < self.late_probability:
            task = asyncio.ensure_future(self._execute_late(rank, order))
            self.late_tasks.add(task)
            await asyncio.sleep(timeout)
            return OrderResult.UNKNOWN
        await asyncio.sleep(0.002)
        result = self.execute(rank, order)
        if self.generator.random() < self.loss_probability:
            await asyncio.sleep(timeout)
            return OrderResult.UNKNOWN
        return result

    async def _execute_late(self, rank: Rank, order: Order) -> None:
        await asyncio.sleep(self.generator.uniform(0.1, 3))
        self.execute(rank, order)

    def execute(self, rank: Rank, order: Order) -> OrderResult:
        if order.epoch != self.epoch:
            return OrderResult.CONFLICT
        accepted = _HANDLERS[type(order)](self, rank, order)
        return OrderResult.ACCEPTED if accepted else OrderResult.CONFLICT

    def prepare(self, rank: Rank, order: Prepare) -> bool:
        if rank.prepared_version == order.version:
            return True
        if order.version <= rank.highest_version or rank.armed is not None:
            return False
        self.placements[order.version] = order.placement
        rank.highest_version = order.version
        rank.prepared_version = order.version
        return True

    def arm(self, rank: Rank, order: Arm) -> bool:
        if rank.armed == (order.version, order.step):
            return True
        if rank.prepared_version != order.version or order.step <= self.step:
            return False
        rank.armed = (order.version, order.step)
        return True

    def disarm(self, rank: Rank, order: Disarm) -> bool:
        if rank.version == order.version:
            return False
        if rank.armed is not None and rank.armed[0] == order.version:
            rank.armed = None
        return True

    def hold(self, rank: Rank, order: Hold) -> bool:
        if rank.held_step == order.step:
            return True
        if rank.held_step is not None or order.step <= self.step:
            return False
        rank.held_step = order.step
        return True

    def release(self, rank: Rank, order: Release) -> bool:
        if rank.held_step == order.step:
            rank.held_step = None
        return True

    async def report(self, upstream: Upstream) -> RankReport | None:
        self.report_count += 1
        rank = self.ranks[int(upstream.name)]
        if int(upstream.name) in self.unreachable:
            raise ServiceUnavailable(f'rank {upstream.name}: refused')
        return RankReport(
            group='g',
            epoch=self.epoch,
            rank=int(upstream.name),
            ranks=RANKS,
            is_open=True,
            step=self.step,
            placement_version=rank.version,
            prepared_version=rank.prepared_version,
            armed_version=rank.armed[0] if rank.armed else None,
            armed_step=rank.armed[1] if rank.armed else None,
            held_step=rank.held_step,
            slowdown=self.slowdowns[int(upstream.name)],
        )

    def retain(self, names) -> None:
        """Nothing is open."""

    async def counts(self, upstream: Upstream) -> ExpertCounts:
        self.selection_counts = [
            before + chosen
            for before, chosen in zip(self.selection_counts, self.popularity)
        ]
        return ExpertCounts(self.epoch, self.step, tuple(self.selection_counts))

    async def placement(
        self,
        upstream: Upstream,
    ) -> tuple[tuple[int, ...], ...]:
        rank = int(upstream.name)
        current = self.placements[self.ranks[rank].version]
        return tuple(layer[rank] for layer in current)


_HANDLERS = {
    Prepare: FakeRankGroup.prepare,
    Arm: FakeRankGroup.arm,
    Disarm: FakeRankGroup.disarm,
    Hold: FakeRankGroup.hold,
    Release: FakeRankGroup.release,
}


def upstreams() -> list[Upstream]:
    return [
        Upstream(str(rank), 'app', '127.0.0.1', 1, 'a') for rank in range(RANKS)
    ]
