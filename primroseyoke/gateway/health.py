"""Which upstreams and availability zones are avoided for a while."""

import dataclasses
import logging
import random

from .requests import Load
from .upstreams import Upstream

__all__ = ('HealthTable',)

log = logging.getLogger(__name__)

# An upstream that failed is not used for this time, in seconds, which doubles
# with each failure in a row up to the limit.
_FIRST_PAUSE = 0.5
_LONGEST_PAUSE = 4.0
# Pauses are spread by this share, so that hosts do not all come back at once.
_PAUSE_SPREAD = 0.4
# A zone is cut off if so many of its upstreams could not be reached within
# this time; it is avoided for a while unless one is reached. In seconds.
_ZONE_LOSSES = 2
_ZONE_WINDOW = 1.0
_ZONE_PAUSE = 3.0


@dataclasses.dataclass(slots=True)
class _Health:
    failures: int = 0
    paused_until: float = 0
    load: Load | None = None
    # Requests that a cold upstream bears now.
    cold_tokens: float = 0
    cold_updated: float = 0


class HealthTable:
    """What this host has seen of each upstream.

    Attributes:
        zones_paused: until when zones are avoided, in monotonic seconds.
    """

    def __init__(self, generator: random.Random) -> None:
        """Start without evidence."""
        self.generator = generator
        self.rows: dict[str, _Health] = {}
        self.lost: dict[str, dict[str, float]] = {}
        self.zones_paused: dict[str, float] = {}

    def succeed(self, name: str, load: Load | None) -> None:
        """Note that an upstream answered."""
        health = self._row(name)
        health.failures = 0
        health.paused_until = 0
        if load is not None:
            health.load = load

    def fail(self, name: str, now: float) -> None:
        """Pause an upstream that broke off or turned requests away."""
        health = self._row(name)
        if now < health.paused_until:
            return
        pause = min(_FIRST_PAUSE * 2**health.failures, _LONGEST_PAUSE)
        spread = 1 + _PAUSE_SPREAD * (self.generator.random() - 0.5)
        health.failures += 1
        health.paused_until = now + pause * spread

    def lose(self, upstream: Upstream, now: float) -> None:
        """Note that an upstream could not be reached.

        If others of its availability zone could not either, the zone is cut
        off, and waiting for each of its upstreams would take too long.
        """
        self.fail(upstream.name, now)
        zone = upstream.availability_zone
        lost = self.lost.setdefault(zone, {})
        lost[upstream.name] = now
        recent = [at for at in lost.values() if now - at < _ZONE_WINDOW]
        if len(recent) >= _ZONE_LOSSES:
            if zone not in self.zones_paused:
                log.warning(
                    'zone avoided',
                    extra={'avoided': zone, 'unreachable': sorted(lost)},
                )
            self.zones_paused[zone] = now + _ZONE_PAUSE

    def reach(self, availability_zone: str) -> None:
        """Note that an upstream of a zone could be reached."""
        self.lost.pop(availability_zone, None)
        self.zones_paused.pop(availability_zone, None)

    def is_zone_paused(self, upstream: Upstream, now: float) -> bool:
        """Tell whether the availability zone of an upstream is avoided."""
        return now < self.zones_paused.get(upstream.availability_zone, 0)

    def is_paused(self, upstream: Upstream, now: float) -> bool:
        """Tell whether an upstream is avoided."""
        if self.is_zone_paused(upstream, now):
            return True
        return now < self._row(upstream.name).paused_until

    def load(self, name: str) -> Load | None:
        """Return the last load that an upstream reported, if any."""
        return self._row(name).load

    def bears_cold(self, name: str, rate: float, now: float) -> bool:
        """Tell whether a cold upstream bears one more request.

        Args:
            name: the upstream.
            rate: requests per second that this host may send to it.
            now: monotonic seconds.
        """
        health = self._row(name)
        elapsed = now - health.cold_updated
        health.cold_tokens = min(health.cold_tokens + elapsed * rate, 1)
        health.cold_updated = now
        return health.cold_tokens >= 1

    def take_cold(self, name: str) -> None:
        """Count a request to a cold upstream."""
        self._row(name).cold_tokens -= 1

    def keep(self, names: frozenset[str]) -> None:
        """Forget all other upstreams."""
        self.rows = {
            name: row for name, row in self.rows.items() if name in names
        }

    def _row(self, name: str) -> _Health:
        return self.rows.setdefault(name, _Health())
