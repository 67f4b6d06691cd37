"""Finds out when zones that were cut off can be reached again."""

import asyncio
import logging
import random

from .connections import connect
from .health import HealthTracker
from .upstreams import UpstreamRegistry

__all__ = ('ZoneProber',)

log = logging.getLogger(__name__)

# How often a zone that is cut off is tried, and for how long, in seconds.
_PROBE_INTERVAL_SECONDS = 0.4


class ZoneProber:
    """Opens a connection to an upstream of each zone that is avoided."""

    def __init__(
        self,
        registry: UpstreamRegistry,
        health: HealthTracker,
        generator: random.Random,
    ) -> None:
        """Try the zones that ``health`` avoids."""
        self.registry = registry
        self.health = health
        self.generator = generator

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            await asyncio.sleep(_PROBE_INTERVAL_SECONDS)
            for zone in tuple(self.health.zones_paused):
                if await self._is_reachable(zone):
                    log.info('zone reached', extra={'reached': zone})
                    self.health.record_zone_reachable(zone)

    async def _is_reachable(self, zone: str) -> bool:
        upstreams = [
            upstream
            for upstream in self.registry.upstreams.values()
            if upstream.availability_zone == zone
        ]
        if not upstreams:
            return True
        chosen = self.generator.choice(upstreams)
        try:
            connection = await connect(
                chosen.host, chosen.port, _PROBE_INTERVAL_SECONDS
            )
        except OSError as error:
            log.debug('zone cut off', extra={'reason': repr(error)})
            return False
        connection.close()
        return True
