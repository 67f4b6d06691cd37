"""Applies planned expert placements, one change at a time per rank group."""

import asyncio
import logging
import math
import time
import zlib
from collections.abc import Callable

from ..exceptions import ServiceUnavailable
from .configuration import Engine
from .engines import EngineClient
from .group_discovery import RankGroup
from .late_orders import LateOrders
from .placement import PlacementPlan
from .placement_switch import PlacementSwitch, SwitchOutcome
from .placement_undo import VERSION_STRIDE

__all__ = ('PlacementUpdater',)

log = logging.getLogger(__name__)

# Time for the orders of a switch if one response is lost, and if many are. The
# switch is scheduled that far ahead, since a pass that is held until the orders
# are confirmed delays every stream of the group.
_ORDER_ROUND_SECONDS = 0.08
_LOSSY_ORDER_ROUND_SECONDS = 0.3
# For this long after a lost response, more losses are expected.
_LOSSY_PERIOD_SECONDS = 6.0
# Loading the weights takes slightly longer than the link speed implies.
_LOAD_MARGIN_SECONDS = 0.04
# Bounds of the pass duration: of an almost idle group, and of one under full
# load with a slow rank. With a shorter minimum, a switch planned while the
# group is idle would be seconds away once load begins.
_MIN_PASS_SECONDS = 0.03
_MAX_PASS_SECONDS = 0.3
_HOLD_ATTEMPTS = 4
# If the chosen pass has begun already, the next attempt chooses a pass that is
# this much further ahead.
_RETRY_OFFSET_PASSES = 4


class PlacementUpdater:
    """Switches rank groups to planned placements.

    It chooses the version of a new placement and the pass at which the ranks
    start to use it.
    """

    def __init__(
        self,
        host: str,
        engines: EngineClient,
        pass_time: Callable[[str], float],
        late_orders: LateOrders | None = None,
    ) -> None:
        """Send orders as ``host``, whose versions no other host uses.

        Args:
            host: name of this host.
            engines: client for the orders to the ranks.
            pass_time: returns the pass duration of the group of an upstream,
                in seconds.
            late_orders: records the orders that get no response.
        """
        self.late_orders = late_orders
        self.host_number = zlib.crc32(host.encode()) % VERSION_STRIDE
        self.engines = engines
        self.pass_time = pass_time
        self.last_version = 0
        self.unanswered_at = -math.inf

    async def apply_plan(
        self,
        group: RankGroup,
        engine: Engine,
        plan: PlacementPlan,
    ) -> SwitchOutcome:
        """Switch a group to a planned placement.

        Raises:
            ServiceUnavailable: rank 0 did not report the current pass.
        """
        started = time.monotonic()
        version = self._next_version(group)
        outcome = await self._apply(group, engine, plan, version)
        log.info(
            'expert placement change ended',
            extra={
                'outcome': outcome.value,
                'group': group.name,
                'epoch': group.epoch,
                'version': version,
                'copies': sum(plan.load_counts),
                'skew_before': round(plan.skew_before, 2),
                'skew_after': round(plan.skew_after, 2),
                'seconds': round(time.monotonic() - started, 2),
            },
        )
        if outcome is SwitchOutcome.SWITCHED:
            group.placement = plan.placement
            # The ranks reject orders to prepare until the switch has happened.
            await asyncio.sleep(engine.report_age)
        return outcome

    async def _apply(
        self,
        group: RankGroup,
        engine: Engine,
        plan: PlacementPlan,
        version: int,
    ) -> SwitchOutcome:
        switch = PlacementSwitch(
            self.engines, group.ranks, group.epoch, self.late_orders
        )
        try:
            return await self._prepare_and_switch(
                switch,
                group,
                engine,
                plan,
                version,
            )
        finally:
            if switch.sender.unanswered_count:
                self.unanswered_at = time.monotonic()

    async def _prepare_and_switch(
        self,
        switch: PlacementSwitch,
        group: RankGroup,
        engine: Engine,
        plan: PlacementPlan,
        version: int,
    ) -> SwitchOutcome:
        if not await switch.prepare(version, plan.placement):
            return SwitchOutcome.NOT_PREPARED
        if switch.sender.unanswered_count:
            self.unanswered_at = time.monotonic()
        load_time = max(plan.load_counts) * engine.expert_load_time
        await asyncio.sleep(load_time + _LOAD_MARGIN_SECONDS)
        outcome = SwitchOutcome.NOT_HELD
        for attempt in range(_HOLD_ATTEMPTS):
            step = await self._choose_step(group, engine, attempt)
            outcome = await switch.switch(version, group.placement, step)
            if outcome is not SwitchOutcome.NOT_HELD:
                break
        return outcome

    def _next_version(self, group: RankGroup) -> int:
        """Return a new version that no host has used for this group."""
        highest = max(group.highest_version, self.last_version)
        version = (highest // VERSION_STRIDE + 1) * VERSION_STRIDE
        version += self.host_number
        group.highest_version = version
        self.last_version = version
        return version

    async def _choose_step(
        self,
        group: RankGroup,
        engine: Engine,
        attempt: int,
    ) -> int:
        """Return a pass that begins once all ranks can have been armed."""
        first_rank = group.ranks[0]
        report = await self.engines.report(first_rank)
        if report is None:
            raise ServiceUnavailable(
                f'rank 0 ({first_rank.name}) of group {group.name} '
                'no longer reports a group',
            )
        pass_time = min(
            max(self.pass_time(first_rank.name), _MIN_PASS_SECONDS),
            _MAX_PASS_SECONDS,
        )
        is_lossy = time.monotonic() - self.unanswered_at < _LOSSY_PERIOD_SECONDS
        order_time = (
            _LOSSY_ORDER_ROUND_SECONDS if is_lossy else _ORDER_ROUND_SECONDS
        )
        passes_ahead = math.ceil((engine.report_age + order_time) / pass_time)
        return report.step + passes_ahead + attempt * _RETRY_OFFSET_PASSES + 1
