"""All ranks use the same placement in each pass, even if orders fail."""

import asyncio
import random

import pytest

from primroseyoke.gateway.engines import Arm, Hold
from primroseyoke.gateway.placement_switch import (
    PlacementSwitch,
    SwitchOutcome,
)
from primroseyoke.gateway.placement_undo import VERSION_STRIDE
from tests.event_loop import run
from tests.standins.fake_rank_group import (
    EPOCH,
    PASS_SECONDS,
    PLACEMENT,
    FakeRankGroup,
    upstreams,
)


async def run_change(
    group: FakeRankGroup,
    version: int,
    crash_after_seconds: float | None = None,
) -> SwitchOutcome:
    """Run one change; cancel it after some seconds as a leader crash does."""
    switch = PlacementSwitch(group, upstreams(), EPOCH)
    if not await switch.prepare(version, PLACEMENT):
        return SwitchOutcome.NOT_PREPARED
    switching = switch.switch(version, PLACEMENT, group.step + 3)
    if crash_after_seconds is None:
        return await switching
    try:
        return await asyncio.wait_for(switching, crash_after_seconds)
    except TimeoutError:
        return SwitchOutcome.MAYBE_HELD


def test_change_reaches_all_ranks_without_stalling_the_group() -> None:
    async def scenario() -> None:
        group = FakeRankGroup(
            random.Random(1),
            loss_probability=0,
            late_probability=0,
        )
        passes = asyncio.ensure_future(group.run_passes())
        outcome = await run_change(group, VERSION_STRIDE)
        before = group.step
        await asyncio.sleep(10 * PASS_SECONDS)
        passes.cancel()
        assert outcome is SwitchOutcome.SWITCHED
        assert {rank.version for rank in group.ranks} == {VERSION_STRIDE}
        assert group.step >= before + 9
        assert not group.inconsistent_steps

    run(scenario())


@pytest.mark.parametrize('seed', range(60))
def test_lost_and_late_orders_never_cause_inconsistent_placements(
    seed: int,
) -> None:
    async def scenario() -> None:
        generator = random.Random(seed)
        group = FakeRankGroup(
            generator,
            loss_probability=0.1,
            late_probability=0.3,
        )
        passes = asyncio.ensure_future(group.run_passes())
        for number in range(1, 5):
            await run_change(group, number * 10 * VERSION_STRIDE)
            await asyncio.sleep(generator.uniform(0, 1))
        await asyncio.sleep(5)
        passes.cancel()
        assert not group.inconsistent_steps

    run(scenario())


@pytest.mark.parametrize('seed', range(60))
def test_concurrent_leaders_never_cause_inconsistent_placements(
    seed: int,
) -> None:
    async def scenario() -> None:
        generator = random.Random(seed)
        group = FakeRankGroup(
            generator,
            loss_probability=0.1,
            late_probability=0.1,
        )
        passes = asyncio.ensure_future(group.run_passes())
        for number in range(1, 4):
            first_version = number * 10 * VERSION_STRIDE
            await asyncio.gather(
                run_change(group, first_version + 1),
                run_change(group, first_version + 2 + VERSION_STRIDE),
            )
        await asyncio.sleep(5)
        passes.cancel()
        assert not group.inconsistent_steps

    run(scenario())


@pytest.mark.parametrize('seed', range(40))
def test_successor_ends_change_of_crashed_leader(seed: int) -> None:
    async def scenario() -> None:
        generator = random.Random(seed)
        group = FakeRankGroup(
            generator,
            loss_probability=0.1,
            late_probability=0.1,
        )
        passes = asyncio.ensure_future(group.run_passes())
        await run_change(group, VERSION_STRIDE, generator.uniform(0.001, 0.03))
        await asyncio.sleep(1)
        successor = PlacementSwitch(group, upstreams(), EPOCH)
        held_step = group.ranks[0].held_step
        armed = {rank.armed for rank in group.ranks if rank.armed}
        is_finished = False
        if armed and held_step is not None:
            is_finished = await successor.finish(VERSION_STRIDE, held_step)
        if not is_finished and await successor.undo(VERSION_STRIDE, PLACEMENT):
            if held_step is not None:
                await successor.release(held_step)
        before = group.step
        await asyncio.sleep(1)
        passes.cancel()
        assert not group.inconsistent_steps
        assert group.step > before

    run(scenario())


def test_change_is_undone_if_a_rank_cannot_be_armed() -> None:
    async def scenario() -> None:
        group = FakeRankGroup(
            random.Random(1),
            loss_probability=0,
            late_probability=0,
        )
        passes = asyncio.ensure_future(group.run_passes())
        switch = PlacementSwitch(group, upstreams(), EPOCH)
        assert await switch.prepare(VERSION_STRIDE, PLACEMENT)
        group.ranks[2].prepared_version = None
        outcome = await switch.switch(VERSION_STRIDE, PLACEMENT, group.step + 3)
        before = group.step
        await asyncio.sleep(1)
        passes.cancel()
        assert outcome is SwitchOutcome.UNDONE
        assert {rank.version for rank in group.ranks} == {0}
        assert group.step > before
        assert not group.inconsistent_steps

    run(scenario())


def test_change_of_a_group_with_one_rank_is_undone() -> None:
    """Guards against an undo that needs a second rank for its hold."""

    async def scenario() -> None:
        group = FakeRankGroup(
            random.Random(1),
            loss_probability=0,
            late_probability=0,
        )
        switch = PlacementSwitch(group, upstreams()[:1], EPOCH)
        outcome = await switch.switch(VERSION_STRIDE, PLACEMENT, group.step + 3)
        assert outcome is SwitchOutcome.UNDONE
        assert group.ranks[0].held_step is None

    run(scenario())


def test_delayed_arm_order_conflicts_after_undo() -> None:
    async def scenario() -> None:
        group = FakeRankGroup(
            random.Random(1),
            loss_probability=0,
            late_probability=0,
        )
        switch = PlacementSwitch(group, upstreams(), EPOCH)
        assert await switch.prepare(VERSION_STRIDE, PLACEMENT)
        step = group.step + 1
        group.execute(group.ranks[0], Hold(EPOCH, step))
        group.execute(group.ranks[1], Arm(EPOCH, VERSION_STRIDE, step))
        assert await switch.undo(VERSION_STRIDE, PLACEMENT)
        await switch.release(step)
        # The group is idle, so the pass has not begun when the order arrives.
        group.execute(group.ranks[2], Arm(EPOCH, VERSION_STRIDE, step))
        passes = asyncio.ensure_future(group.run_passes())
        await asyncio.sleep(1)
        passes.cancel()
        assert not group.inconsistent_steps

    run(scenario())


def test_a_rank_that_refuses_connections_is_not_taken_as_gone() -> None:
    """Guards against a pass in which the ranks across a partition switch alone.

    Their host can refuse connections for the time of a partition, while the
    ranks run and are armed.
    """

    async def scenario() -> None:
        group = FakeRankGroup(
            random.Random(1),
            loss_probability=0,
            late_probability=0,
        )
        passes = asyncio.ensure_future(group.run_passes())
        switch = PlacementSwitch(group, upstreams(), EPOCH)
        assert await switch.prepare(VERSION_STRIDE, PLACEMENT)
        step = group.step + 3
        group.execute(group.ranks[3], Arm(EPOCH, VERSION_STRIDE, step))
        group.unreachable = {3}
        switching = asyncio.ensure_future(
            switch.switch(VERSION_STRIDE, PLACEMENT, step)
        )
        await asyncio.sleep(1)
        assert group.step < step
        group.unreachable.clear()
        assert await switching is SwitchOutcome.UNDONE
        await asyncio.sleep(1)
        passes.cancel()
        assert group.step > step
        assert not group.inconsistent_steps

    run(scenario())


def test_a_pass_stays_held_while_a_rank_is_unreachable() -> None:
    """Guards against a release that rests on a rank which was never asked."""

    async def scenario() -> None:
        group = FakeRankGroup(
            random.Random(1),
            loss_probability=0,
            late_probability=0,
        )
        passes = asyncio.ensure_future(group.run_passes())
        switch = PlacementSwitch(group, upstreams(), EPOCH)
        assert await switch.prepare(VERSION_STRIDE, PLACEMENT)
        step = group.step + 3
        group.unreachable = {3}
        outcome = await switch.switch(VERSION_STRIDE, PLACEMENT, step)
        passes.cancel()
        assert outcome is SwitchOutcome.STUCK
        assert group.ranks[0].held_step == step

    run(scenario())


def test_an_undo_ends_when_the_group_has_a_new_epoch() -> None:
    """Guards against a group that is not rebalanced after one of its ranks ended.

    Nothing of the earlier epoch is left to undo.
    """

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        group = FakeRankGroup(
            random.Random(1),
            loss_probability=0,
            late_probability=0,
        )
        switch = PlacementSwitch(group, upstreams(), EPOCH)
        assert await switch.prepare(VERSION_STRIDE, PLACEMENT)
        group.unreachable = {3}
        undoing = asyncio.ensure_future(switch.undo(VERSION_STRIDE, PLACEMENT))
        await asyncio.sleep(1)
        group.restart()
        restarted_at = loop.time()
        assert await undoing
        assert loop.time() - restarted_at < 1

    run(scenario())


def test_a_resumed_leader_does_not_release_what_another_has_undone() -> None:
    """Guards against a pass that a suspended host releases after an undo began.

    It had armed all ranks. Its successor cannot reach one of them, and has
    disarmed the others.
    """

    async def scenario() -> None:
        group = FakeRankGroup(
            random.Random(1),
            loss_probability=0,
            late_probability=0,
        )
        passes = asyncio.ensure_future(group.run_passes())
        switch = PlacementSwitch(group, upstreams(), EPOCH)
        assert await switch.prepare(VERSION_STRIDE, PLACEMENT)
        step = group.step + 3
        group.execute(group.ranks[0], Hold(EPOCH, step))
        for rank in group.ranks:
            group.execute(rank, Arm(EPOCH, VERSION_STRIDE, step))
        group.unreachable = {3}
        successor = PlacementSwitch(group, upstreams(), EPOCH)
        assert not await successor.finish(VERSION_STRIDE, step)
        assert not await successor.undo(VERSION_STRIDE, PLACEMENT)
        await switch.release(step)
        await asyncio.sleep(1)
        passes.cancel()
        assert not group.inconsistent_steps

    run(scenario())
