"""Leaders that change one rank group at once, through cuts and suspensions."""

import asyncio
import random

import pytest

from primroseyoke.exceptions import ServiceUnavailable
from primroseyoke.gateway.engines import Order, OrderResult, RankReport
from primroseyoke.gateway.group_discovery import GroupDiscovery, RankGroup
from primroseyoke.gateway.placement_switch import PlacementSwitch
from primroseyoke.gateway.placement_undo import VERSION_STRIDE
from primroseyoke.gateway.upstreams import Upstream
from tests.event_loop import run_with_clock
from tests.gateway.test_expert_rebalancing import SMALL_ENGINE
from tests.standins.fake_rank_group import (
    PLACEMENT,
    RANKS,
    FakeRankGroup,
    upstreams,
)

OTHER_PLACEMENT = tuple((*layer[1:], layer[0]) for layer in PLACEMENT)
DISTURBANCES = 40
MAX_REPORT_AGE_SECONDS = 0.1


class Leader:
    """A host that changes the placement again and again.

    Attributes:
        cut_off: numbers of the ranks that it cannot reach.
        running: cleared while it is suspended.
    """

    def __init__(self, group: FakeRankGroup, number: int) -> None:
        self.group = group
        self.number = number
        self.cut_off: set[int] = set()
        self.running = asyncio.Event()
        self.running.set()
        self.last_version = 0

    async def order(
        self, upstream: Upstream, order: Order, timeout: float
    ) -> OrderResult:
        await self.running.wait()
        if int(upstream.name) in self.cut_off:
            return OrderResult.UNREACHABLE
        result = await self.group.order(upstream, order, timeout)
        await self.running.wait()
        return result

    async def report(self, upstream: Upstream) -> RankReport | None:
        await self.running.wait()
        if int(upstream.name) in self.cut_off:
            raise ServiceUnavailable(f'rank {upstream.name}: refused')
        report = await self.group.report(upstream)
        await asyncio.sleep(
            self.group.generator.uniform(0, MAX_REPORT_AGE_SECONDS)
        )
        return report

    async def placement(
        self, upstream: Upstream
    ) -> tuple[tuple[int, ...], ...]:
        return await self.group.placement(upstream)

    async def run(self) -> None:
        discovery = GroupDiscovery(self, lambda name: False)
        while True:
            await asyncio.sleep(self.group.generator.uniform(0.1, 0.6))
            await self.running.wait()
            try:
                found = await discovery.discover(upstreams(), SMALL_ENGINE, ())
                for group in found:
                    await self._change(group)
            except ServiceUnavailable:
                continue

    async def _change(self, group: RankGroup) -> None:
        highest = max(group.highest_version, self.last_version)
        version = (highest // VERSION_STRIDE + 1) * VERSION_STRIDE
        version += self.number
        self.last_version = version
        is_initial = group.placement == PLACEMENT
        planned = OTHER_PLACEMENT if is_initial else PLACEMENT
        switch = PlacementSwitch(self, group.ranks, group.epoch)
        if not await switch.prepare(version, planned):
            return
        report = await self.report(group.ranks[0])
        step = report.step + self.group.generator.randint(2, 5)
        await switch.switch(version, group.placement, step)


async def run_passes(group: FakeRankGroup) -> None:
    """Run passes, with idle times in between."""
    while True:
        passes = asyncio.ensure_future(group.run_passes())
        await asyncio.sleep(group.generator.uniform(0.5, 6))
        passes.cancel()
        if group.generator.random() < 0.2:
            await asyncio.sleep(group.generator.uniform(0, 2))


def disturb(group: FakeRankGroup, leader: Leader) -> None:
    kind = group.generator.random()
    if kind < 0.5:
        count = group.generator.randint(1, 2)
        leader.cut_off = set(group.generator.sample(range(RANKS), count))
    elif kind < 0.7:
        leader.running.clear()
    elif kind < 0.85:
        group.unreachable = {group.generator.randrange(RANKS)}


def mend(group: FakeRankGroup, leaders: list[Leader]) -> None:
    group.unreachable = set()
    for leader in leaders:
        leader.cut_off = set()
        leader.running.set()


@pytest.mark.parametrize('seed', range(60))
def test_concurrent_leaders_never_cause_inconsistent_placements(
    seed: int,
) -> None:
    """Guards against a pass that begins while ranks differ in placement.

    One leader undoes what another has armed, ends the undo of another, or
    begins the next change beside it.
    """

    async def scenario() -> None:
        generator = random.Random(seed)
        group = FakeRankGroup(
            generator,
            loss_probability=0.05,
            late_probability=generator.choice((0.1, 0.35)),
        )
        leaders = [Leader(group, number) for number in range(1, 4)]
        tasks = [asyncio.ensure_future(leader.run()) for leader in leaders]
        tasks.append(asyncio.ensure_future(run_passes(group)))
        for _ in range(DISTURBANCES):
            disturb(group, generator.choice(leaders))
            await asyncio.sleep(generator.uniform(0.2, 1.5))
            if generator.random() < 0.7:
                mend(group, leaders)
        for task in tasks:
            task.cancel()
        assert not group.inconsistent_steps
        assert group.placements.keys() != {0}

    run_with_clock(scenario())
