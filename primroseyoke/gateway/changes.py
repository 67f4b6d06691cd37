"""Makes planned changes of expert maps, one at a time in each group."""

import asyncio
import logging
import math
import time
import zlib
from collections.abc import Callable

from ..exceptions import ServiceUnavailable
from .catalogue import Engine
from .engines import Engines
from .placement import Plan
from .surveys import Group
from .switching import VERSION_STEP, MapSwitch, SwitchOutcome

__all__ = ('MapChanger',)

log = logging.getLogger(__name__)

# A few orders take this long if one answer is lost, in seconds, and if many are:
# a pass that is held meanwhile makes every stream of the group late.
_ORDERS_TIME = 0.08
_LOSSY_ORDERS_TIME = 0.3
# Answers that got lost foretell more for this time, in seconds.
_LOSSY_TIME = 6.0
# Loading is a little slower than the link allows, in seconds.
_LOAD_MARGIN = 0.04
# Bounds of a pass, in seconds: almost idle, and under full load with a slow
# rank. A shorter one would put the switch seconds away if load begins.
_SHORTEST_PASS = 0.03
_LONGEST_PASS = 0.3
_HOLD_TRIES = 4
# If the pass has begun, one that comes so many later is tried.
_PASSES_LATER = 4


class MapChanger:
    """Chooses versions and passes, and switches groups to plans."""

    def __init__(
        self,
        host: str,
        engines: Engines,
        pass_time: Callable[[str], float],
    ) -> None:
        """Give orders as ``host``, whose versions no other host uses.

        Args:
            host: name of this host.
            engines: calls the ranks.
            pass_time: how long a pass of an upstream's group takes, in
                seconds.
        """
        self.host_number = zlib.crc32(host.encode()) % VERSION_STEP
        self.engines = engines
        self.pass_time = pass_time
        self.last_version = 0
        self.lost_at = -math.inf

    async def change(
        self,
        group: Group,
        engine: Engine,
        plan: Plan,
    ) -> SwitchOutcome:
        """Switch a group to a plan; return how far that came.

        Raises:
            ServiceUnavailable: rank 0 did not report its pass.
        """
        started = time.monotonic()
        version = self._next_version(group)
        outcome = await self._switch(group, engine, plan, version)
        log.info(
            'map change',
            extra={
                'outcome': outcome.value,
                'group': group.name,
                'epoch': group.epoch,
                'version': version,
                'copies': sum(plan.copies),
                'skew_before': round(plan.before, 2),
                'skew_after': round(plan.after, 2),
                'seconds': round(time.monotonic() - started, 2),
            },
        )
        if outcome is SwitchOutcome.SWITCHED:
            group.placement = plan.placement
            # Until that pass the ranks take no further order to prepare.
            await asyncio.sleep(engine.report_age)
        return outcome

    async def _switch(
        self,
        group: Group,
        engine: Engine,
        plan: Plan,
        version: int,
    ) -> SwitchOutcome:
        switch = MapSwitch(self.engines, group.ranks, group.epoch)
        try:
            return await self._carry_out(switch, group, engine, plan, version)
        finally:
            if switch.lost:
                self.lost_at = time.monotonic()

    async def _carry_out(
        self,
        switch: MapSwitch,
        group: Group,
        engine: Engine,
        plan: Plan,
        version: int,
    ) -> SwitchOutcome:
        if not await switch.prepare(version, plan.placement):
            return SwitchOutcome.NOT_PREPARED
        if switch.lost:
            self.lost_at = time.monotonic()
        load_time = max(plan.copies) * engine.expert_load_time
        await asyncio.sleep(load_time + _LOAD_MARGIN)
        outcome = SwitchOutcome.NOT_HELD
        for attempt in range(_HOLD_TRIES):
            step = await self._next_step(group, engine, attempt)
            outcome = await switch.switch(version, group.placement, step)
            if outcome is not SwitchOutcome.NOT_HELD:
                break
        return outcome

    def _next_version(self, group: Group) -> int:
        """Return a version that no host has used for this group."""
        highest = max(group.highest, self.last_version)
        version = (highest // VERSION_STEP + 1) * VERSION_STEP
        version += self.host_number
        group.highest = version
        self.last_version = version
        return version

    async def _next_step(
        self,
        group: Group,
        engine: Engine,
        attempt: int,
    ) -> int:
        """Return a pass that has not begun but soon will."""
        first = group.ranks[0]
        report = await self.engines.report(first)
        if report is None:
            raise ServiceUnavailable(f'{group.name}: rank 0 left its group')
        pass_time = min(
            max(self.pass_time(first.name), _SHORTEST_PASS),
            _LONGEST_PASS,
        )
        lossy = time.monotonic() - self.lost_at < _LOSSY_TIME
        orders_time = _LOSSY_ORDERS_TIME if lossy else _ORDERS_TIME
        ahead = math.ceil((engine.report_age + orders_time) / pass_time)
        return report.step + ahead + attempt * _PASSES_LATER + 1
