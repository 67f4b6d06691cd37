"""Unfinished placement changes that a new leader finds at the ranks."""

import asyncio
import random

import pytest

from primroseyoke.exceptions import ServiceUnavailable
from primroseyoke.gateway.engines import (
    Arm,
    Hold,
    Order,
    OrderResult,
    Prepare,
    RankReport,
    Release,
)
from primroseyoke.gateway.group_discovery import GroupDiscovery
from primroseyoke.gateway.placement_switch import PlacementSwitch
from primroseyoke.gateway.placement_undo import VERSION_STRIDE
from primroseyoke.gateway.upstreams import Upstream
from tests.event_loop import run
from tests.gateway.test_expert_rebalancing import SMALL_ENGINE
from tests.standins.fake_rank_group import (
    EPOCH,
    PASS_SECONDS,
    PLACEMENT,
    RANKS,
    FakeRankGroup,
    upstreams,
)

VERSION = 2 * VERSION_STRIDE + 7
DISCOVERY_INTERVAL_SECONDS = 0.5
OTHER_PLACEMENT = tuple(
    (*layer[1:], layer[0])  # the ranks exchange their experts
    for layer in PLACEMENT
)


def reliable_group() -> FakeRankGroup:
    return FakeRankGroup(
        random.Random(1),
        loss_probability=0,
        late_probability=0,
    )


def execute(group: FakeRankGroup, order: Order, *ranks: int) -> None:
    for rank in ranks:
        group.execute(group.ranks[rank], order)


def hold_and_arm(group: FakeRankGroup, *ranks: int) -> int:
    """Prepare a change at all ranks, arm some; return the held pass."""
    step = group.step + 1
    execute(group, Prepare(EPOCH, VERSION, OTHER_PLACEMENT), 0, 1, 2, 3)
    execute(group, Hold(EPOCH, step), 0)
    execute(group, Arm(EPOCH, VERSION, step), *ranks)
    return step


async def discover_until_open(group: FakeRankGroup) -> None:
    """Let a new leader look at the group until no change is unfinished."""
    discovery = GroupDiscovery(group, lambda name: True)
    async with asyncio.timeout(10):
        while not await discovery.discover(upstreams(), SMALL_ENGINE, ()):
            await asyncio.sleep(DISCOVERY_INTERVAL_SECONDS)


def test_an_undo_that_reached_some_ranks_is_completed() -> None:
    """Guards against a pass held for good if the leader ends in an undo."""

    async def scenario() -> None:
        group = reliable_group()
        step = hold_and_arm(group, 2, 3)
        # The undo has reached the other ranks only.
        undo = Prepare(EPOCH, VERSION + VERSION_STRIDE, PLACEMENT)
        execute(group, undo, 0, 1)
        passes = asyncio.ensure_future(group.run_passes())
        await discover_until_open(group)
        await asyncio.sleep(4 * PASS_SECONDS)
        passes.cancel()
        assert group.step > step
        assert {rank.version for rank in group.ranks} == {0}
        assert not group.inconsistent_steps

    run(scenario())


def test_ranks_armed_with_different_versions_are_all_disarmed() -> None:
    """Guards against a pass held for good if late orders armed some ranks."""

    async def scenario() -> None:
        group = reliable_group()
        step = hold_and_arm(group, 1)
        later = Prepare(EPOCH, VERSION + VERSION_STRIDE, OTHER_PLACEMENT)
        execute(group, later, 2)
        execute(group, Arm(EPOCH, VERSION + VERSION_STRIDE, step), 2)
        passes = asyncio.ensure_future(group.run_passes())
        await discover_until_open(group)
        await asyncio.sleep(4 * PASS_SECONDS)
        passes.cancel()
        assert group.step > step
        assert {rank.version for rank in group.ranks} == {0}
        assert not group.inconsistent_steps

    run(scenario())


def test_an_undo_begins_at_once_if_another_one_has_begun() -> None:
    """Guards against a group that stands still while arming is tried in vain."""

    async def scenario() -> None:
        group = reliable_group()
        hold_and_arm(group, 2, 3)
        undo = Prepare(EPOCH, VERSION + VERSION_STRIDE, PLACEMENT)
        execute(group, undo, 0, 1)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        discovery = GroupDiscovery(group, lambda name: True)
        await discovery.discover(upstreams(), SMALL_ENGINE, ())
        assert not any(rank.armed for rank in group.ranks)
        assert not any(rank.held_step for rank in group.ranks)
        assert loop.time() - started_at < 5 * PASS_SECONDS

    run(scenario())


def test_an_undo_holds_the_pass_at_a_rank_that_is_free_to() -> None:
    """Guards against a group held for good if a late order held a rank."""

    async def scenario() -> None:
        group = reliable_group()
        step = hold_and_arm(group, 2)
        execute(group, Hold(EPOCH, step + 7), 1)
        passes = asyncio.ensure_future(group.run_passes())
        await discover_until_open(group)
        await asyncio.sleep(10 * PASS_SECONDS)
        passes.cancel()
        assert group.step > step + 7
        assert not group.inconsistent_steps

    run(scenario())


def test_a_pass_held_for_an_undo_is_not_completed() -> None:
    """Guards against a change that one host completes and another undoes.

    A host that undoes a change holds the pass at a second rank first. Here it
    ended before it disarmed any rank.
    """

    async def scenario() -> None:
        group = reliable_group()
        step = hold_and_arm(group, 0, 1, 2, 3)
        execute(group, Hold(EPOCH, step), 2)
        passes = asyncio.ensure_future(group.run_passes())
        await discover_until_open(group)
        await asyncio.sleep(4 * PASS_SECONDS)
        passes.cancel()
        assert group.step > step
        assert {rank.version for rank in group.ranks} == {0}
        assert not group.inconsistent_steps

    run(scenario())


class SuspendableEngines:
    """Engines as a host sees them that stands still while not ``running``."""

    def __init__(self, group: FakeRankGroup) -> None:
        self.group = group
        self.running = asyncio.Event()
        self.running.set()

    async def order(
        self,
        upstream: Upstream,
        order: Order,
        timeout: float,
    ) -> OrderResult:
        await self.running.wait()
        result = await self.group.order(upstream, order, timeout)
        await self.running.wait()
        return result

    async def report(self, upstream: Upstream) -> RankReport | None:
        await self.running.wait()
        return await self.group.report(upstream)


@pytest.mark.parametrize('seed', range(80))
def test_a_suspended_leader_never_causes_inconsistent_placements(
    seed: int,
) -> None:
    """Guards against a leader that resumes while another one undoes its change.

    One rank is unreachable at times, so the undo takes long.
    """

    async def scenario() -> None:
        generator = random.Random(seed)
        group = FakeRankGroup(
            generator,
            loss_probability=0.1,
            late_probability=0.1,
        )
        passes = asyncio.ensure_future(group.run_passes())
        engines = SuspendableEngines(group)
        leader = PlacementSwitch(engines, upstreams(), EPOCH)
        execute(group, Prepare(EPOCH, VERSION, OTHER_PLACEMENT), 0, 1, 2, 3)
        switching = asyncio.ensure_future(
            leader.switch(VERSION, PLACEMENT, group.step + 3)
        )
        armed_count = generator.randint(0, RANKS)
        while sum(bool(rank.armed) for rank in group.ranks) < armed_count:
            await asyncio.sleep(0.001)
        engines.running.clear()
        ending = asyncio.ensure_future(discover_until_open(group))
        await asyncio.sleep(generator.uniform(0, 0.01))
        group.unreachable = {generator.randrange(RANKS)}
        await asyncio.sleep(generator.uniform(0, 3))
        engines.running.set()
        await asyncio.sleep(generator.uniform(0, 1))
        group.unreachable.clear()
        await switching
        await ending
        await asyncio.sleep(4)
        await discover_until_open(group)
        before = group.step
        await asyncio.sleep(1)
        passes.cancel()
        assert group.step > before
        assert not group.inconsistent_steps

    run(scenario())


class PartitionedEngines:
    """Engines as a host sees them that cannot reach one rank."""

    def __init__(self, group: FakeRankGroup, cut_off: str) -> None:
        self.group = group
        self.cut_off = cut_off

    async def order(
        self,
        upstream: Upstream,
        order: Order,
        timeout: float,
    ) -> OrderResult:
        if upstream.name == self.cut_off:
            return OrderResult.UNREACHABLE
        return await self.group.order(upstream, order, timeout)

    async def report(self, upstream: Upstream) -> RankReport | None:
        if upstream.name == self.cut_off:
            raise ServiceUnavailable(f'rank {upstream.name}: refused')
        return await self.group.report(upstream)


@pytest.mark.parametrize('is_idle', [False, True])
def test_an_undo_does_not_disarm_a_later_change(is_idle: bool) -> None:
    """Guards against an undo that goes on after another host has ended it.

    It could not reach one rank. Once it can, that rank is armed for the next
    change, whose pass is about to be released. An idle group has begun no pass
    meanwhile.
    """

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        group = reliable_group()
        step = hold_and_arm(group, 1, 2)
        engines = PartitionedEngines(group, '3')
        cut_off = PlacementSwitch(engines, upstreams(), EPOCH)
        cut_off.held_step = step
        undoing = asyncio.ensure_future(cut_off.undo(VERSION, PLACEMENT))
        await discover_until_open(group)
        passes = asyncio.ensure_future(group.run_passes())
        if is_idle:
            passes.cancel()
        await asyncio.sleep(2 * PASS_SECONDS)
        later_version = group.ranks[0].highest_version + 10 * VERSION_STRIDE
        later_step = group.step + 1
        prepare = Prepare(EPOCH, later_version, OTHER_PLACEMENT)
        execute(group, prepare, 0, 1, 2, 3)
        execute(group, Hold(EPOCH, later_step), 0)
        execute(group, Arm(EPOCH, later_version, later_step), 0, 1, 2, 3)
        engines.cut_off = ''
        reached_at = loop.time()
        await undoing
        assert is_idle or loop.time() - reached_at < 4 * PASS_SECONDS
        execute(group, Release(EPOCH, later_step), 0)
        passes.cancel()
        passes = asyncio.ensure_future(group.run_passes())
        await asyncio.sleep(4 * PASS_SECONDS)
        passes.cancel()
        assert {rank.version for rank in group.ranks} == {later_version}
        assert not group.inconsistent_steps

    run(scenario())
