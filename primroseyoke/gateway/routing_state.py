"""What a gateway believes, and how old that is."""

import math

from .configuration import CallerLimits, Configuration
from .upstreams import UpstreamRegistry

__all__ = ('RoutingState',)

# Without a confirmation by the store for this time, in seconds, a request that
# no known configuration allows is refused as temporary: a newer one may.
STALE_AFTER_SECONDS = 2.5


class RoutingState:
    """The configuration in force and the upstreams.

    Attributes:
        configuration: the newest one, None before the first.
        confirmed_at: when the store last confirmed that there is no newer
            one, in monotonic seconds.
        registry: the upstreams.
    """

    def __init__(self) -> None:
        """Start knowing nothing."""
        self.configuration: Configuration | None = None
        self.confirmed_at = -math.inf
        self.registry = UpstreamRegistry()

    @property
    def limits(self) -> CallerLimits:
        """Return what callers may send."""
        if self.configuration is None:
            return CallerLimits()
        return self.configuration.limits

    def apply_configuration(self, configuration: Configuration) -> bool:
        """Take a configuration unless a newer one is known."""
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return False
        self.configuration = configuration
        return True

    def is_stale(self, now: float) -> bool:
        """Tell whether there may be a newer configuration."""
        return now - self.confirmed_at > STALE_AFTER_SECONDS
