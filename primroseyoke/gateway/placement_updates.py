"""Makes planned changes of expert maps, one at a time in each group."""

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
from .placement import PlacementPlan
from .placement_switch import VERSION_STRIDE, PlacementSwitch, SwitchOutcome

__all__ = ('PlacementUpdater',)

log = logging.getLogger(__name__)

# A few orders take this long if one answer is lost, in seconds, and if many are:
# a pass that is held meanwhile makes every stream of the group late.
_ORDER_ROUND_SECONDS = 0.08
_LOSSY_ORDER_ROUND_SECONDS = 0.3
# Answers that got lost foretell more for this time, in seconds.
_LOSSY_PERIOD_SECONDS = 6.0
# Loading is a little slower than the link allows, in seconds.
_LOAD_MARGIN_SECONDS = 0.04
# Bounds of a pass, in seconds: almost idle, and under full load with a slow
# rank. A shorter one would put the switch seconds away if load begins.
_MIN_PASS_SECONDS = 0.03
_MAX_PASS_SECONDS = 0.3
_HOLD_ATTEMPTS = 4
# If the pass has begun, one that comes so many later is tried.
_RETRY_OFFSET_PASSES = 4


class PlacementUpdater:
    """Chooses versions and passes, and switches groups to plans."""

    def __init__(
        self,
        host: str,
        engines: EngineClient,
        pass_time: Callable[[str], float],
    ) -> None:
        """Give orders as ``host``, whose versions no other host uses.

        Args:
            host: name of this host.
            engines: calls the ranks.
            pass_time: how long a pass of an upstream's group takes, in
                seconds.
        """
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
        """Switch a group to a plan; return how far that came.

        Raises:
            ServiceUnavailable: rank 0 did not report its pass.
        """
        started = time.monotonic()
        version = self._next_version(group)
        outcome = await self._apply(group, engine, plan, version)
        log.info(
            'map change',
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
            # Until that pass the ranks take no further order to prepare.
            await asyncio.sleep(engine.report_age)
        return outcome

    async def _apply(
        self,
        group: RankGroup,
        engine: Engine,
        plan: PlacementPlan,
        version: int,
    ) -> SwitchOutcome:
        switch = PlacementSwitch(self.engines, group.ranks, group.epoch)
        try:
            return await self._prepare_and_switch(
                switch,
                group,
                engine,
                plan,
                version,
            )
        finally:
            if switch.unanswered_count:
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
        if switch.unanswered_count:
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
        """Return a version that no host has used for this group."""
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
        """Return a pass that has not begun but soon will."""
        first_rank = group.ranks[0]
        report = await self.engines.report(first_rank)
        if report is None:
            raise ServiceUnavailable(f'{group.name}: rank 0 left its group')
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
