"""Configuration and upstreams known to a gateway, and their age."""

import math

from .configuration import CallerLimits, Configuration
from .upstreams import UpstreamRegistry

__all__ = ('RoutingState',)

# The configuration counts as stale if the store has not confirmed it for this
# time. Requests that it does not allow then get a temporary error, because a
# newer configuration may allow them.
STALE_AFTER_SECONDS = 2.5


class RoutingState:
    """Current configuration and registry of upstreams.

    Attributes:
        configuration: the newest configuration, None before the first.
        confirmed_at: when the store last confirmed that there is no newer
            one, in monotonic seconds.
        registry: the upstreams.
    """

    def __init__(self) -> None:
        """Start without a configuration and without upstreams."""
        self.configuration: Configuration | None = None
        self.confirmed_at = -math.inf
        self.registry = UpstreamRegistry()

    @property
    def limits(self) -> CallerLimits:
        """Return the limits on callers' requests."""
        if self.configuration is None:
            return CallerLimits()
        return self.configuration.limits

    def apply_configuration(self, configuration: Configuration) -> bool:
        """Apply a configuration unless the known one is as new or newer."""
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return False
        self.configuration = configuration
        return True

    def is_stale(self, now: float) -> bool:
        """Tell whether there may be a newer configuration."""
        return now - self.confirmed_at > STALE_AFTER_SECONDS
