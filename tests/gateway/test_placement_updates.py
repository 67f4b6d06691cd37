"""Scheduling of the pass at which a group switches placements."""

import asyncio
import random

import pytest

from primroseyoke.gateway.engines import Arm, Order, OrderResult
from primroseyoke.gateway.group_discovery import GroupDiscovery
from primroseyoke.gateway.placement import PlacementPlan
from primroseyoke.gateway.placement_switch import SwitchOutcome
from primroseyoke.gateway.placement_updates import PlacementUpdater
from primroseyoke.gateway.upstreams import Upstream
from tests.gateway.test_expert_rebalancing import SMALL_ENGINE
from tests.standins.fake_rank_group import (
    PASS_SECONDS,
    RANKS,
    FakeRankGroup,
    upstreams,
)


class ArmRecordingGroup(FakeRankGroup):
    """Records how many passes ahead ranks are armed."""

    passes_ahead: list[int] = []

    async def order(
        self,
        upstream: Upstream,
        order: Order,
        timeout: float,
    ) -> OrderResult:
        if isinstance(order, Arm):
            self.passes_ahead.append(order.step - self.step)
        return await super().order(upstream, order, timeout)


@pytest.mark.parametrize('idle_seconds', [0.0, 1.0])
def test_idle_group_is_armed_less_than_600_ms_ahead(
    idle_seconds: float,
) -> None:
    """Guards against arming a switch for a pass that is seconds away.

    The pass duration of a group that was idle since its discovery does not
    predict its pass duration under load.
    """

    async def scenario() -> None:
        group = ArmRecordingGroup(
            random.Random(1),
            loss_probability=0,
            late_probability=0,
        )
        group.passes_ahead = []
        found = await GroupDiscovery(group).discover(
            upstreams(),
            SMALL_ENGINE,
            (),
        )
        await asyncio.sleep(idle_seconds)
        passes = asyncio.ensure_future(group.run_passes())
        updater = PlacementUpdater('host-1', group, lambda name: PASS_SECONDS)
        plan = PlacementPlan(found[0].placement, 3, 1, (1,) * RANKS)
        outcome = await updater.apply_plan(found[0], SMALL_ENGINE, plan)
        passes.cancel()
        assert outcome is SwitchOutcome.SWITCHED
        assert 0 < max(group.passes_ahead) * PASS_SECONDS < 0.6

    asyncio.run(scenario())


class LossyGroup(ArmRecordingGroup):
    """Loses the response to the first order that each rank receives."""

    async def order(
        self,
        upstream: Upstream,
        order: Order,
        timeout: float,
    ) -> OrderResult:
        result = await super().order(upstream, order, timeout)
        seen_before = upstream.name in self.answered_upstreams
        self.answered_upstreams.add(upstream.name)
        return result if seen_before else OrderResult.UNKNOWN


def test_ranks_are_armed_further_ahead_after_lost_answers() -> None:
    """Guards against a pass that stays held while lost orders are resent."""

    async def measure_passes_ahead(group: ArmRecordingGroup) -> int:
        group.passes_ahead = []
        found = await GroupDiscovery(group).discover(
            upstreams(),
            SMALL_ENGINE,
            (),
        )
        passes = asyncio.ensure_future(group.run_passes())
        updater = PlacementUpdater('host-1', group, lambda name: PASS_SECONDS)
        plan = PlacementPlan(found[0].placement, 3, 1, (1,) * RANKS)
        await updater.apply_plan(found[0], SMALL_ENGINE, plan)
        passes.cancel()
        return min(group.passes_ahead)

    async def scenario() -> None:
        reliable = ArmRecordingGroup(
            random.Random(1),
            loss_probability=0,
            late_probability=0,
        )
        lossy = LossyGroup(
            random.Random(1),
            loss_probability=0,
            late_probability=0,
        )
        lossy.answered_upstreams = set()
        usual = await measure_passes_ahead(reliable)
        assert await measure_passes_ahead(lossy) >= usual + 3

    asyncio.run(scenario())
