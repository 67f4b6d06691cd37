"""Probes paused availability zones until they are reachable again."""

import asyncio
import logging
import random

from .connections import connect
from .health import HealthTracker
from .upstreams import UpstreamRegistry

__all__ = ('ZoneProber',)

log = logging.getLogger(__name__)

# Interval between probes, and their connect timeout.
_PROBE_INTERVAL_SECONDS = 0.4


class ZoneProber:
    """Connects to an upstream of each paused zone periodically."""

    def __init__(
        self,
        registry: UpstreamRegistry,
        health: HealthTracker,
        generator: random.Random,
    ) -> None:
        """Probe the zones that are paused in ``health``."""
        self.registry = registry
        self.health = health
        self.generator = generator

    async def run(self) -> None:
        """Probe paused zones periodically until cancelled."""
        while True:
            await asyncio.sleep(_PROBE_INTERVAL_SECONDS)
            for zone in tuple(self.health.zones_paused):
                if await self._is_reachable(zone):
                    log.info(
                        'availability zone reachable again; pause ended',
                        extra={'reached': zone},
                    )
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
            log.debug(
                'probe of availability zone failed; it stays paused',
                extra={'reason': repr(error)},
            )
            return False
        connection.close()
        return True
