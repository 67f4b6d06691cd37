"""Finds out when zones that were cut off can be reached again."""

import asyncio
import logging
import random

from .connections import connect
from .health import HealthTable
from .upstreams import Fleet

__all__ = ('ZoneProber',)

log = logging.getLogger(__name__)

# How often a zone that is cut off is tried, and for how long, in seconds.
_INTERVAL = 0.4


class ZoneProber:
    """Opens a connection to an upstream of each zone that is avoided."""

    def __init__(
        self,
        fleet: Fleet,
        health: HealthTable,
        generator: random.Random,
    ) -> None:
        """Try the zones that ``health`` avoids."""
        self.fleet = fleet
        self.health = health
        self.generator = generator

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            await asyncio.sleep(_INTERVAL)
            for zone in tuple(self.health.zones_paused):
                if await self._is_reached(zone):
                    log.info('zone reached', extra={'reached': zone})
                    self.health.reach(zone)

    async def _is_reached(self, zone: str) -> bool:
        upstreams = [
            upstream
            for upstream in self.fleet.upstreams.values()
            if upstream.availability_zone == zone
        ]
        if not upstreams:
            return True
        chosen = self.generator.choice(upstreams)
        try:
            connection = await connect(chosen.host, chosen.port, _INTERVAL)
        except OSError as error:
            log.debug('zone cut off', extra={'reason': repr(error)})
            return False
        connection.close()
        return True
