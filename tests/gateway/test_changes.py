"""When a group switches to a new map."""

import asyncio
import random

import pytest

from primroseyoke.gateway.changes import MapChanger
from primroseyoke.gateway.engines import Arm, Order, OrderResult
from primroseyoke.gateway.placement import Plan
from primroseyoke.gateway.surveys import Surveyor
from primroseyoke.gateway.switching import SwitchOutcome
from primroseyoke.gateway.upstreams import Upstream
from tests.gateway.test_experts import SMALL
from tests.standins.rankgroup import PASS_TIME, RANKS, FakeGroup, upstreams


class NotingGroup(FakeGroup):
    """Notes how many passes ahead ranks are armed."""

    ahead: list[int] = []

    async def order(
        self,
        upstream: Upstream,
        order: Order,
        timeout: float,
    ) -> OrderResult:
        if isinstance(order, Arm):
            self.ahead.append(order.step - self.step)
        return await super().order(upstream, order, timeout)


@pytest.mark.parametrize('idle', [0.0, 1.0])
def test_a_group_that_was_idle_switches_soon(idle: float) -> None:
    """Guards against a switch that is armed for a pass seconds away.

    The passes of a group that was idle since its survey say nothing of those
    under load.
    """

    async def scenario() -> None:
        group = NotingGroup(random.Random(1), lost=0, late=0)
        group.ahead = []
        found = await Surveyor(group).survey(upstreams(), SMALL, ())
        await asyncio.sleep(idle)
        passes = asyncio.ensure_future(group.run_passes())
        changer = MapChanger('host-1', group, lambda name: PASS_TIME)
        plan = Plan(found[0].placement, 3, 1, (1,) * RANKS)
        outcome = await changer.change(found[0], SMALL, plan)
        passes.cancel()
        assert outcome is SwitchOutcome.SWITCHED
        assert 0 < max(group.ahead) * PASS_TIME < 0.6

    asyncio.run(scenario())


class LosingGroup(NotingGroup):
    """Loses the first answer to each order to prepare."""

    async def order(
        self,
        upstream: Upstream,
        order: Order,
        timeout: float,
    ) -> OrderResult:
        result = await super().order(upstream, order, timeout)
        known = upstream.name in self.answered
        self.answered.add(upstream.name)
        return result if known else OrderResult.UNKNOWN


def test_ranks_are_armed_further_ahead_while_answers_get_lost() -> None:
    """Guards against a pass that is held until lost orders are repeated."""

    async def passes_ahead(group: NotingGroup) -> int:
        group.ahead = []
        found = await Surveyor(group).survey(upstreams(), SMALL, ())
        passes = asyncio.ensure_future(group.run_passes())
        changer = MapChanger('host-1', group, lambda name: PASS_TIME)
        plan = Plan(found[0].placement, 3, 1, (1,) * RANKS)
        await changer.change(found[0], SMALL, plan)
        passes.cancel()
        return min(group.ahead)

    async def scenario() -> None:
        reliable = NotingGroup(random.Random(1), lost=0, late=0)
        losing = LosingGroup(random.Random(1), lost=0, late=0)
        losing.answered = set()
        usual = await passes_ahead(reliable)
        assert await passes_ahead(losing) >= usual + 3

    asyncio.run(scenario())
