"""Unfinished placement changes that a new leader finds at the ranks."""

import asyncio
import random

from primroseyoke.gateway.engines import Arm, Hold, Order, Prepare
from primroseyoke.gateway.group_discovery import GroupDiscovery
from primroseyoke.gateway.placement_undo import VERSION_STRIDE
from tests.event_loop import run
from tests.gateway.test_expert_rebalancing import SMALL_ENGINE
from tests.standins.fake_rank_group import (
    EPOCH,
    PASS_SECONDS,
    PLACEMENT,
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
