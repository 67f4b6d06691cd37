"""Expert maps follow popularity, and open changes are ended."""

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import AsyncIterator

import pytest

from primroseyoke.gateway.catalogue import CallerLimits, Catalogue, Service
from primroseyoke.gateway.engines import Arm, Hold, Prepare
from primroseyoke.gateway.experts import ExpertDirector
from primroseyoke.gateway.groups import GroupWatch
from primroseyoke.gateway.knowledge import Knowledge
from primroseyoke.gateway.placement import Limits, plan_replicas
from primroseyoke.gateway.surveys import Surveyor
from tests.gateway.deployment import wait_until
from tests.standins.enginegroup import ENGINE
from tests.standins.rankgroup import (
    EPOCH,
    EXPERTS,
    LAYERS,
    PLACEMENT,
    RANKS,
    FakeGroup,
    upstreams,
)

SMALL = dataclasses.replace(
    ENGINE,
    layers=LAYERS,
    experts=EXPERTS,
    placement_slots=4,
    spare_slots=2,
    expert_load_time=0.01,
)


@contextlib.asynccontextmanager
async def directed(
    group: FakeGroup,
    leads: bool = True,
    still: bool = False,
) -> AsyncIterator[ExpertDirector]:
    knowledge = Knowledge()
    service = Service('app', 100, engine=SMALL)
    knowledge.publish(Catalogue(1, (), {'app': service}, (), CallerLimits()))
    for upstream in upstreams():
        knowledge.fleet.put(upstream)
    watch = GroupWatch()
    for rank in upstreams():
        watch.learn(rank.name, 'g')
    if still:
        watch.begin(upstreams()[0].name, now=0)
    director = ExpertDirector(
        'host-1',
        group,
        knowledge,
        lambda: leads,
        lambda name: 1,
        watch,
    )
    passes = asyncio.ensure_future(group.run_passes())
    running = asyncio.ensure_future(director.run())
    try:
        yield director
    finally:
        running.cancel()
        passes.cancel()


def skew(group: FakeGroup) -> float:
    current = group.placements[group.ranks[0].version]
    return plan_replicas(
        group.popularity,
        current,
        Limits(4, 2, 2, 9),
    ).before


def test_a_hot_expert_gets_replicas() -> None:
    async def scenario() -> None:
        group = FakeGroup(random.Random(1), lost=0, late=0)
        group.popularity[5] = 9000
        before = skew(group)
        async with directed(group):
            await wait_until(lambda: group.ranks[0].version > 0, 8)
            await wait_until(lambda: skew(group) < before - 0.5, 8)
        assert not group.mixed_steps

    asyncio.run(scenario())


def test_level_load_changes_nothing() -> None:
    async def scenario() -> None:
        group = FakeGroup(random.Random(1), lost=0, late=0)
        async with directed(group):
            await asyncio.sleep(2.5)
        assert {rank.highest for rank in group.ranks} == {0}

    asyncio.run(scenario())


def test_a_host_that_does_not_lead_gives_no_orders() -> None:
    async def scenario() -> None:
        group = FakeGroup(random.Random(1), lost=0, late=0)
        group.popularity[5] = 9000
        async with directed(group, leads=False):
            await asyncio.sleep(2.5)
        assert {rank.highest for rank in group.ranks} == {0}

    asyncio.run(scenario())


@pytest.mark.parametrize('armed', [0, 2, 4])
def test_a_change_that_was_left_is_ended(armed: int) -> None:
    """Leaves a held pass and some armed ranks, as a host that dies does."""

    async def scenario() -> None:
        group = FakeGroup(random.Random(1), lost=0, late=0)
        step = group.step + 2
        for rank in group.ranks:
            group.carry_out(rank, Prepare(EPOCH, 2048, PLACEMENT))
        group.carry_out(group.ranks[0], Hold(EPOCH, step))
        for rank in group.ranks[:armed]:
            group.carry_out(rank, Arm(EPOCH, 2048, step))
        async with directed(group):
            await wait_until(lambda: group.step > step + 3, 8)
        assert not group.mixed_steps
        versions = {rank.version for rank in group.ranks}
        assert versions == ({2048} if armed else {0})

    asyncio.run(scenario())


def test_a_group_that_is_not_complete_is_left_alone() -> None:
    async def scenario() -> None:
        group = FakeGroup(random.Random(1), lost=0, late=0)
        surveyor = Surveyor(group)
        assert not await surveyor.survey(upstreams()[1:], SMALL, ())
        found = await surveyor.survey(upstreams(), SMALL, ())
        assert [each.name for each in found] == ['g']
        assert found[0].placement == PLACEMENT

    asyncio.run(scenario())


def test_a_pass_that_a_late_order_holds_is_released() -> None:
    """An order to hold a pass can be carried out seconds after the change."""

    async def scenario() -> None:
        group = FakeGroup(random.Random(1), lost=0, late=0)
        async with directed(group, still=True) as director:
            await wait_until(lambda: 'g' in director.groups, 8)
            step = group.step + 5
            group.carry_out(group.ranks[0], Hold(EPOCH, step))
            await wait_until(lambda: group.step > step + 3, 8)
        assert not group.mixed_steps

    asyncio.run(scenario())


def test_a_slow_rank_is_found_and_relieved() -> None:
    async def scenario() -> None:
        group = FakeGroup(random.Random(1), lost=0, late=0)
        group.paces[2] = 3.6
        async with directed(group) as director:
            meter = director.watch.meter('0')
            meter.observe(SMALL, RANKS, SMALL.slots * RANKS, 0.24, 1)
            meter.cost = meter.highest_cost
            await wait_until(lambda: group.ranks[0].version > 0, 8)
            current = group.placements[group.ranks[0].version]
            assert len(current[0][2]) < len(PLACEMENT[0][2])
            group.paces[2] = 1.0
            found = director.groups['g']
            await wait_until(lambda: found.slowest == 1, 8)

    asyncio.run(scenario())
