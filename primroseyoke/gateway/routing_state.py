"""Configuration and upstreams known to a gateway, and their age."""

import math

from .configuration import CallerLimits, Configuration
from .upstreams import UpstreamRegistry

__all__ = ('RoutingState',)

# The configuration counts as stale if the store has not confirmed it for this
# time. Requests that it does not allow then get a temporary error, because a
# newer configuration may allow them.
STALE_AFTER_SECONDS = 2.5
# Configurations that are remembered; a copy is at most some seconds old.
_MAX_APPLIED_COUNT = 256


class RoutingState:
    """Current configuration and registry of upstreams.

    Attributes:
        configuration: the newest configuration, None before the first.
        confirmed_at: when the store last confirmed that there is no newer
            one, in monotonic seconds.
        registry: the upstreams.
        published_era: era of the store in which the configuration was
            published.
        applied: the configurations that were in force, by version and
            fingerprint.
    """

    def __init__(self) -> None:
        """Start without a configuration and without upstreams."""
        self.configuration: Configuration | None = None
        self.confirmed_at = -math.inf
        self.registry = UpstreamRegistry()
        self.published_era = 0
        self.applied: dict[tuple[int, int], None] = {}

    @property
    def limits(self) -> CallerLimits:
        """Return the limits on callers' requests."""
        if self.configuration is None:
            return CallerLimits()
        return self.configuration.limits

    def apply_configuration(
        self,
        configuration: Configuration,
        fingerprint: int = 0,
        era: int = 0,
    ) -> bool:
        """Apply a configuration unless that would restore an older one.

        Versions rise within an era of the store. After the store has lost some,
        an operator may publish others under the same or a lower number; those
        that were in force before come from the copy.

        Args:
            configuration: the latest that the store or another host has.
            fingerprint: identifies its content.
            era: the era of the store in which it was published.
        """
        known = self.configuration
        identity = (configuration.version, fingerprint)
        if known is not None and configuration.version <= known.version:
            if identity in self.applied:
                if configuration.version == known.version:
                    self.published_era = max(self.published_era, era)
                return False
            if era <= self.published_era:
                return False
        self.configuration = configuration
        self.published_era = era
        self.applied[identity] = None
        if len(self.applied) > _MAX_APPLIED_COUNT:
            self.applied.pop(next(iter(self.applied)))
        return True

    def is_stale(self, now: float) -> bool:
        """Tell whether there may be a newer configuration."""
        return now - self.confirmed_at > STALE_AFTER_SECONDS
