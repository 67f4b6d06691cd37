"""All ranks of a group have one map in each pass, whatever becomes of orders."""

import asyncio
import random

import pytest

from primroseyoke.gateway.engines import Arm, Hold
from primroseyoke.gateway.switching import (
    VERSION_STEP,
    MapSwitch,
    SwitchOutcome,
)
from tests.clock import run
from tests.standins.rankgroup import (
    EPOCH,
    PASS_TIME,
    PLACEMENT,
    FakeGroup,
    upstreams,
)


async def change(
    group: FakeGroup,
    version: int,
    stop_after: float | None = None,
) -> SwitchOutcome:
    """Make one change; the host that leads it may die meanwhile."""
    switch = MapSwitch(group, upstreams(), EPOCH)
    if not await switch.prepare(version, PLACEMENT):
        return SwitchOutcome.NOT_PREPARED
    work = switch.switch(version, PLACEMENT, group.step + 3)
    if stop_after is None:
        return await work
    try:
        return await asyncio.wait_for(work, stop_after)
    except TimeoutError:
        return SwitchOutcome.MAYBE_HELD


def test_a_change_reaches_all_ranks_without_holding_the_group() -> None:
    async def scenario() -> None:
        group = FakeGroup(random.Random(1), lost=0, late=0)
        passes = asyncio.ensure_future(group.run_passes())
        outcome = await change(group, VERSION_STEP)
        before = group.step
        await asyncio.sleep(10 * PASS_TIME)
        passes.cancel()
        assert outcome is SwitchOutcome.SWITCHED
        assert {rank.version for rank in group.ranks} == {VERSION_STEP}
        assert group.step >= before + 9
        assert not group.mixed_steps

    run(scenario())


@pytest.mark.parametrize('seed', range(60))
def test_lost_and_late_orders_never_mix_maps(seed: int) -> None:
    async def scenario() -> None:
        generator = random.Random(seed)
        group = FakeGroup(generator, lost=0.1, late=0.3)
        passes = asyncio.ensure_future(group.run_passes())
        for number in range(1, 5):
            await change(group, number * 10 * VERSION_STEP)
            await asyncio.sleep(generator.uniform(0, 1))
        await asyncio.sleep(5)
        passes.cancel()
        assert not group.mixed_steps

    run(scenario())


@pytest.mark.parametrize('seed', range(60))
def test_two_hosts_that_give_orders_at_once_never_mix_maps(seed: int) -> None:
    async def scenario() -> None:
        generator = random.Random(seed)
        group = FakeGroup(generator, lost=0.1, late=0.1)
        passes = asyncio.ensure_future(group.run_passes())
        for number in range(1, 4):
            base = number * 10 * VERSION_STEP
            await asyncio.gather(
                change(group, base + 1),
                change(group, base + 2 + VERSION_STEP),
            )
        await asyncio.sleep(5)
        passes.cancel()
        assert not group.mixed_steps

    run(scenario())


@pytest.mark.parametrize('seed', range(40))
def test_another_host_ends_a_change_whose_host_died(seed: int) -> None:
    async def scenario() -> None:
        generator = random.Random(seed)
        group = FakeGroup(generator, lost=0.1, late=0.1)
        passes = asyncio.ensure_future(group.run_passes())
        await change(group, VERSION_STEP, generator.uniform(0.001, 0.03))
        await asyncio.sleep(1)
        successor = MapSwitch(group, upstreams(), EPOCH)
        held = group.ranks[0].held
        armed = {rank.armed for rank in group.ranks if rank.armed}
        done = False
        if armed and held is not None:
            done = await successor.finish(VERSION_STEP, held)
        if not done and await successor.undo(VERSION_STEP, PLACEMENT):
            if held is not None:
                await successor.release(held)
        before = group.step
        await asyncio.sleep(1)
        passes.cancel()
        assert not group.mixed_steps
        assert group.step > before

    run(scenario())


def test_a_rank_that_cannot_be_armed_undoes_the_change() -> None:
    async def scenario() -> None:
        group = FakeGroup(random.Random(1), lost=0, late=0)
        passes = asyncio.ensure_future(group.run_passes())
        switch = MapSwitch(group, upstreams(), EPOCH)
        assert await switch.prepare(VERSION_STEP, PLACEMENT)
        group.ranks[2].prepared = None
        outcome = await switch.switch(VERSION_STEP, PLACEMENT, group.step + 3)
        before = group.step
        await asyncio.sleep(1)
        passes.cancel()
        assert outcome is SwitchOutcome.UNDONE
        assert {rank.version for rank in group.ranks} == {0}
        assert group.step > before
        assert not group.mixed_steps

    run(scenario())


def test_a_delayed_order_to_arm_has_no_effect_after_a_change_is_undone() -> (
    None
):
    async def scenario() -> None:
        group = FakeGroup(random.Random(1), lost=0, late=0)
        switch = MapSwitch(group, upstreams(), EPOCH)
        assert await switch.prepare(VERSION_STEP, PLACEMENT)
        step = group.step + 1
        group.carry_out(group.ranks[0], Hold(EPOCH, step))
        group.carry_out(group.ranks[1], Arm(EPOCH, VERSION_STEP, step))
        assert await switch.undo(VERSION_STEP, PLACEMENT)
        await switch.release(step)
        # The group is idle: the pass has not begun when the order arrives.
        group.carry_out(group.ranks[2], Arm(EPOCH, VERSION_STEP, step))
        passes = asyncio.ensure_future(group.run_passes())
        await asyncio.sleep(1)
        passes.cancel()
        assert not group.mixed_steps

    run(scenario())
