"""Rebalancing by popularity, and recovery of unfinished changes."""

import asyncio
import contextlib
import dataclasses
import random
import time
from collections.abc import AsyncIterator

import pytest

from primroseyoke.gateway.configuration import (
    CallerLimits,
    Configuration,
    Service,
)
from primroseyoke.gateway.engines import Arm, Hold, Prepare
from primroseyoke.gateway.expert_rebalancing import ExpertRebalancer
from primroseyoke.gateway.group_discovery import GroupDiscovery
from primroseyoke.gateway.rank_groups import RankGroupMonitor
from primroseyoke.gateway.routing_state import RoutingState
from primroseyoke.gateway.placement import PlacementLimits, plan_replicas
from tests.gateway.deployment import wait_until
from tests.standins.fake_rank_group import (
    EPOCH,
    EXPERTS,
    LAYERS,
    PLACEMENT,
    RANKS,
    FakeRankGroup,
    upstreams,
)
from tests.standins.simulated_engines import ENGINE

SMALL_ENGINE = dataclasses.replace(
    ENGINE,
    layers=LAYERS,
    experts=EXPERTS,
    placement_slots=4,
    spare_slots=2,
    expert_load_time=0.01,
)


@contextlib.asynccontextmanager
async def running_rebalancer(
    group: FakeRankGroup,
    is_leader: bool = True,
    stalled: bool = False,
) -> AsyncIterator[ExpertRebalancer]:
    routing_state = RoutingState()
    service = Service('app', 100, engine=SMALL_ENGINE)
    routing_state.apply_configuration(
        Configuration(1, (), {'app': service}, (), CallerLimits())
    )
    for upstream in upstreams():
        routing_state.registry.put(upstream)
    monitor = RankGroupMonitor()
    for rank in upstreams():
        monitor.add_rank(rank.name, 'g')
    if stalled:
        monitor.record_stream_start(upstreams()[0].name, time.monotonic())
    rebalancer = ExpertRebalancer(
        'host-1',
        group,
        routing_state,
        lambda: is_leader,
        lambda name: 1,
        monitor,
    )
    passes = asyncio.ensure_future(group.run_passes())
    rebalancing = asyncio.ensure_future(rebalancer.run())
    try:
        yield rebalancer
    finally:
        rebalancing.cancel()
        passes.cancel()


def skew(group: FakeRankGroup) -> float:
    current = group.placements[group.ranks[0].version]
    return plan_replicas(
        group.popularity,
        current,
        PlacementLimits(4, 2, 2, 9),
    ).skew_before


def test_hot_expert_is_replicated() -> None:
    async def scenario() -> None:
        group = FakeRankGroup(
            random.Random(1),
            loss_probability=0,
            late_probability=0,
        )
        group.popularity[5] = 9000
        before = skew(group)
        async with running_rebalancer(group):
            await wait_until(lambda: group.ranks[0].version > 0, 8)
            await wait_until(lambda: skew(group) < before - 0.5, 8)
        assert not group.inconsistent_steps

    asyncio.run(scenario())


def test_balanced_load_causes_no_placement_change() -> None:
    async def scenario() -> None:
        group = FakeRankGroup(
            random.Random(1),
            loss_probability=0,
            late_probability=0,
        )
        async with running_rebalancer(group):
            await asyncio.sleep(2.5)
        assert {rank.highest_version for rank in group.ranks} == {0}

    asyncio.run(scenario())


def test_follower_sends_no_orders() -> None:
    async def scenario() -> None:
        group = FakeRankGroup(
            random.Random(1),
            loss_probability=0,
            late_probability=0,
        )
        group.popularity[5] = 9000
        async with running_rebalancer(group, is_leader=False):
            await asyncio.sleep(2.5)
        assert {rank.highest_version for rank in group.ranks} == {0}

    asyncio.run(scenario())


@pytest.mark.parametrize('armed_count', [0, 2, 4])
def test_abandoned_change_is_completed_or_undone(armed_count: int) -> None:
    """Guards against a group that stalls after its leader crashed.

    The crash leaves a held pass and some armed ranks.
    """

    async def scenario() -> None:
        group = FakeRankGroup(
            random.Random(1),
            loss_probability=0,
            late_probability=0,
        )
        step = group.step + 2
        for rank in group.ranks:
            group.execute(rank, Prepare(EPOCH, 2048, PLACEMENT))
        group.execute(group.ranks[0], Hold(EPOCH, step))
        for rank in group.ranks[:armed_count]:
            group.execute(rank, Arm(EPOCH, 2048, step))
        async with running_rebalancer(group):
            await wait_until(lambda: group.step > step + 3, 8)
        assert not group.inconsistent_steps
        versions = {rank.version for rank in group.ranks}
        assert versions == ({2048} if armed_count else {0})

    asyncio.run(scenario())


def test_incomplete_group_is_not_discovered() -> None:
    async def scenario() -> None:
        group = FakeRankGroup(
            random.Random(1),
            loss_probability=0,
            late_probability=0,
        )
        discovery = GroupDiscovery(group)
        assert not await discovery.discover(upstreams()[1:], SMALL_ENGINE, ())
        found = await discovery.discover(upstreams(), SMALL_ENGINE, ())
        assert [discovered.name for discovered in found] == ['g']
        assert found[0].placement == PLACEMENT

    asyncio.run(scenario())


def test_pass_held_by_late_order_is_released() -> None:
    """Guards against a stall if an order to hold a pass is executed late.

    That can be seconds after the change.
    """

    async def scenario() -> None:
        group = FakeRankGroup(
            random.Random(1),
            loss_probability=0,
            late_probability=0,
        )
        async with running_rebalancer(group, stalled=True) as rebalancer:
            await wait_until(lambda: 'g' in rebalancer.groups, 8)
            step = group.step + 5
            group.execute(group.ranks[0], Hold(EPOCH, step))
            await wait_until(lambda: group.step > step + 3, 8)
        assert not group.inconsistent_steps

    asyncio.run(scenario())


def test_change_of_a_failed_host_ends_at_once_if_the_group_stalls() -> None:
    """Guards against a second of stall for each host that fails in a change.

    Without the stall, the host that began the change is left time to end it.
    """

    async def first_look_ends_change(is_stalled: bool) -> bool:
        group = FakeRankGroup(
            random.Random(1),
            loss_probability=0,
            late_probability=0,
        )
        group.execute(group.ranks[0], Hold(EPOCH, group.step + 1))
        discovery = GroupDiscovery(group, lambda name: is_stalled)
        await discovery.discover(upstreams(), SMALL_ENGINE, ())
        return group.ranks[0].held_step is None

    async def scenario() -> None:
        assert await first_look_ends_change(is_stalled=True)
        assert not await first_look_ends_change(is_stalled=False)

    asyncio.run(scenario())


def test_slow_rank_is_detected_and_offloaded() -> None:
    async def scenario() -> None:
        group = FakeRankGroup(
            random.Random(1),
            loss_probability=0,
            late_probability=0,
        )
        group.slowdowns[2] = 3.6
        async with running_rebalancer(group) as rebalancer:
            estimator = rebalancer.group_monitor.pass_estimator('0')
            estimator.observe(
                SMALL_ENGINE,
                RANKS,
                SMALL_ENGINE.slots * RANKS,
                0.24,
                1,
            )
            estimator.mean_cost = estimator.peak_cost
            await wait_until(lambda: group.ranks[0].version > 0, 8)
            current = group.placements[group.ranks[0].version]
            assert len(current[0][2]) < len(PLACEMENT[0][2])
            group.slowdowns[2] = 1.0
            found = rebalancer.groups['g']
            await wait_until(lambda: found.max_slowdown == 1, 8)

    asyncio.run(scenario())
