"""Makes planned changes of expert maps, one at a time in each group."""

import asyncio
import logging
import math
import time
import zlib

from ..exceptions import ServiceUnavailable
from .catalogue import Engine
from .engines import Engines
from .placement import Plan
from .surveys import Group
from .switching import VERSION_STEP, MapSwitch, SwitchOutcome

__all__ = ('MapChanger',)

log = logging.getLogger(__name__)

# Reports are up to this old, in seconds.
_REPORT_AGE = 0.25
# A few orders take this long if one answer is lost, in seconds.
_ORDERS_TIME = 0.08
# Loading is a little slower than the link allows, in seconds.
_LOAD_MARGIN = 0.04
# Bounds of a pass, in seconds: idle, and under full load with a slow rank.
_SHORTEST_PASS = 0.02
_LONGEST_PASS = 0.3
_HOLD_TRIES = 3


class MapChanger:
    """Chooses versions and passes, and switches groups to plans."""

    def __init__(self, host: str, engines: Engines) -> None:
        """Give orders as ``host``, whose versions no other host uses."""
        self.host_number = zlib.crc32(host.encode()) % VERSION_STEP
        self.engines = engines
        self.last_version = 0

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
            await asyncio.sleep(_REPORT_AGE)
        return outcome

    async def _switch(
        self,
        group: Group,
        engine: Engine,
        plan: Plan,
        version: int,
    ) -> SwitchOutcome:
        switch = MapSwitch(self.engines, group.ranks, group.epoch)
        if not await switch.prepare(version, plan.placement):
            return SwitchOutcome.NOT_PREPARED
        load_time = max(plan.copies) * engine.expert_load_time
        await asyncio.sleep(load_time + _LOAD_MARGIN)
        outcome = SwitchOutcome.NOT_HELD
        for attempt in range(_HOLD_TRIES):
            step = await self._next_step(group, attempt)
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

    async def _next_step(self, group: Group, attempt: int) -> int:
        """Return a pass that has not begun but soon will."""
        report = await self.engines.report(group.ranks[0])
        now = time.monotonic()
        if report is None:
            raise ServiceUnavailable(f'{group.name}: rank 0 left its group')
        passes = report.step - group.step
        if passes > 0:
            measured = (now - group.stepped_at) / passes
            group.pass_time = min(max(measured, _SHORTEST_PASS), _LONGEST_PASS)
            group.step = report.step
            group.stepped_at = now
        ahead = (_REPORT_AGE + _ORDERS_TIME) / group.pass_time
        # An idle group may have begun many short passes since its report.
        return report.step + math.ceil(ahead * (attempt + 1)) + 1
