"""Health of upstreams and availability zones, as seen by this host."""

import dataclasses
import logging
import random

from .upstreams import Upstream

__all__ = ('HealthTracker',)

log = logging.getLogger(__name__)

# Pause of an upstream after its first failure. It doubles with each consecutive
# failure, up to the maximum.
_MIN_PAUSE_SECONDS = 0.5
_MAX_PAUSE_SECONDS = 4.0
# Random share by which pauses vary, so that hosts do not all resume sending to
# an upstream at once.
_PAUSE_JITTER_SHARE = 0.4
# A zone is paused if this many of its upstreams were unreachable within the
# window. The pause ends early if one of them is reached.
_ZONE_UNREACHABLE_COUNT = 2
_ZONE_WINDOW_SECONDS = 1.0
_ZONE_PAUSE_SECONDS = 3.0


@dataclasses.dataclass(slots=True)
class _UpstreamHealth:
    failures: int = 0
    paused_until: float = 0


class HealthTracker:
    """Tracks failures and pauses of upstreams and zones.

    Attributes:
        zones_paused: end of the pause of each paused zone, in monotonic
            seconds.
    """

    def __init__(self, generator: random.Random) -> None:
        """Start without records."""
        self.generator = generator
        self.entries: dict[str, _UpstreamHealth] = {}
        self.unreachable_by_zone: dict[str, dict[str, float]] = {}
        self.zones_paused: dict[str, float] = {}

    def record_success(self, name: str) -> None:
        """Record a response; the upstream is no longer paused."""
        health = self._entry(name)
        health.failures = 0
        health.paused_until = 0

    def record_failure(self, name: str, now: float) -> None:
        """Pause an upstream that failed or rejected a request."""
        health = self._entry(name)
        if now < health.paused_until:
            return
        pause = min(_MIN_PAUSE_SECONDS * 2**health.failures, _MAX_PAUSE_SECONDS)
        jitter = 1 + _PAUSE_JITTER_SHARE * (self.generator.random() - 0.5)
        health.failures += 1
        health.paused_until = now + pause * jitter

    def record_unreachable(self, upstream: Upstream, now: float) -> None:
        """Record that an upstream was unreachable.

        If other upstreams of its availability zone were too, the whole zone is
        paused: waiting for a timeout of each of them would take too long.
        """
        self.record_failure(upstream.name, now)
        zone = upstream.availability_zone
        unreachable = self.unreachable_by_zone.setdefault(zone, {})
        unreachable[upstream.name] = now
        recent_losses = [
            lost_at
            for lost_at in unreachable.values()
            if now - lost_at < _ZONE_WINDOW_SECONDS
        ]
        if len(recent_losses) >= _ZONE_UNREACHABLE_COUNT:
            if zone not in self.zones_paused:
                log.warning(
                    'availability zone unreachable; sending it no requests',
                    extra={'avoided': zone, 'unreachable': sorted(unreachable)},
                )
            self.zones_paused[zone] = now + _ZONE_PAUSE_SECONDS

    def record_zone_reachable(self, availability_zone: str) -> None:
        """Record that an upstream of a zone was reached; end its pause."""
        self.unreachable_by_zone.pop(availability_zone, None)
        self.zones_paused.pop(availability_zone, None)

    def is_zone_paused(self, upstream: Upstream, now: float) -> bool:
        """Tell whether the availability zone of an upstream is paused."""
        return now < self.zones_paused.get(upstream.availability_zone, 0)

    def is_paused(self, upstream: Upstream, now: float) -> bool:
        """Tell whether an upstream or its availability zone is paused."""
        if self.is_zone_paused(upstream, now):
            return True
        health = self.entries.get(upstream.name)
        return health is not None and now < health.paused_until

    def retain(self, names: frozenset[str]) -> None:
        """Remove the records of all upstreams but those in ``names``."""
        self.entries = {
            name: health
            for name, health in self.entries.items()
            if name in names
        }

    def _entry(self, name: str) -> _UpstreamHealth:
        health = self.entries.get(name)
        if health is None:
            health = _UpstreamHealth()
            self.entries[name] = health
        return health
