"""A stand-in for a rank group, as the platform's pages describe it."""

import asyncio
import dataclasses
import random

from primroseyoke.gateway.engines import (
    Arm,
    Counts,
    Disarm,
    Hold,
    Order,
    OrderResult,
    Prepare,
    RankReport,
    Release,
)
from primroseyoke.gateway.placement import Placement, first_placement
from primroseyoke.gateway.upstreams import Upstream

EPOCH = 3
LAYERS = 1
EXPERTS = 8
RANKS = 4
PASS_TIME = 0.05
PLACEMENT = first_placement(LAYERS, EXPERTS, RANKS)


@dataclasses.dataclass
class Rank:
    """A rank as the platform's pages describe it."""

    version: int = 0
    highest: int = 0
    prepared: int | None = None
    armed: tuple[int, int] | None = None
    held: int | None = None


class FakeGroup:
    """A rank group whose orders can get lost or be carried out late."""

    def __init__(
        self,
        generator: random.Random,
        lost: float,
        late: float,
    ) -> None:
        self.generator = generator
        self.lost = lost
        self.late = late
        self.ranks = [Rank() for _ in range(RANKS)]
        self.step = 10
        self.mixed_steps: list[int] = []
        self.popularity = [1000 for _ in range(LAYERS * EXPERTS)]
        self.chosen = [0 for _ in self.popularity]
        self.placements: dict[int, Placement] = {0: PLACEMENT}
        self.paces = [1.0 for _ in range(RANKS)]
        self.tasks: set[asyncio.Task[None]] = set()

    async def run_passes(self) -> None:
        while True:
            await asyncio.sleep(PASS_TIME)
            begun = self.step + 1
            if any(rank.held == begun for rank in self.ranks):
                continue
            self.step = begun
            for rank in self.ranks:
                if rank.armed is not None and rank.armed[1] <= begun:
                    rank.version = rank.armed[0]
                    rank.armed = None
            if len({rank.version for rank in self.ranks}) > 1:
                self.mixed_steps.append(begun)

    async def order(
        self,
        upstream: Upstream,
        order: Order,
        timeout: float,
    ) -> OrderResult:
        rank = self.ranks[int(upstream.name)]
        if self.generator.random() < self.late:
            task = asyncio.ensure_future(self._carry_out_late(rank, order))
            self.tasks.add(task)
            await asyncio.sleep(timeout)
            return OrderResult.UNKNOWN
        await asyncio.sleep(0.002)
        result = self.carry_out(rank, order)
        if self.generator.random() < self.lost:
            await asyncio.sleep(timeout)
            return OrderResult.UNKNOWN
        return result

    async def _carry_out_late(self, rank: Rank, order: Order) -> None:
        await asyncio.sleep(self.generator.uniform(0.1, 3))
        self.carry_out(rank, order)

    def carry_out(self, rank: Rank, order: Order) -> OrderResult:
        accepted = _CARRY_OUT[type(order)](self, rank, order)
        return OrderResult.ACCEPTED if accepted else OrderResult.CONFLICT

    def prepare(self, rank: Rank, order: Prepare) -> bool:
        if rank.prepared == order.version:
            return True
        if order.version <= rank.highest or rank.armed is not None:
            return False
        self.placements[order.version] = order.placement
        rank.highest = order.version
        rank.prepared = order.version
        return True

    def arm(self, rank: Rank, order: Arm) -> bool:
        if rank.armed == (order.version, order.step):
            return True
        if rank.prepared != order.version or order.step <= self.step:
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
        if rank.held == order.step:
            return True
        if rank.held is not None or order.step <= self.step:
            return False
        rank.held = order.step
        return True

    def release(self, rank: Rank, order: Release) -> bool:
        if rank.held == order.step:
            rank.held = None
        return True

    async def report(self, upstream: Upstream) -> RankReport | None:
        rank = self.ranks[int(upstream.name)]
        return RankReport(
            group='g',
            epoch=EPOCH,
            rank=int(upstream.name),
            ranks=RANKS,
            is_open=True,
            step=self.step,
            placement=rank.version,
            prepared=rank.prepared,
            armed=rank.armed[0] if rank.armed else None,
            armed_step=rank.armed[1] if rank.armed else None,
            held=rank.held,
            pace=self.paces[int(upstream.name)],
        )

    async def counts(self, upstream: Upstream) -> Counts:
        self.chosen = [
            before + chosen
            for before, chosen in zip(self.chosen, self.popularity)
        ]
        return Counts(EPOCH, self.step, tuple(self.chosen))

    async def placement(
        self,
        upstream: Upstream,
    ) -> tuple[tuple[int, ...], ...]:
        rank = int(upstream.name)
        current = self.placements[self.ranks[rank].version]
        return tuple(layer[rank] for layer in current)


_CARRY_OUT = {
    Prepare: FakeGroup.prepare,
    Arm: FakeGroup.arm,
    Disarm: FakeGroup.disarm,
    Hold: FakeGroup.hold,
    Release: FakeGroup.release,
}


def upstreams() -> list[Upstream]:
    return [
        Upstream(str(rank), 'app', '127.0.0.1', 1, 'a') for rank in range(RANKS)
    ]
