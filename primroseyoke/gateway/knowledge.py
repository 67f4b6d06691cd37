"""What a gateway believes, and how old that is."""

import math

from .catalogue import CallerLimits, Catalogue
from .upstreams import Fleet

__all__ = ('Knowledge',)

# Without a confirmation by the store for this time, in seconds, a request that
# no known configuration allows is refused as temporary: a newer one may.
STALE_AFTER = 2.5


class Knowledge:
    """The configuration in force and the upstreams.

    Attributes:
        catalogue: the newest configuration, None before the first.
        confirmed_at: when the store last confirmed that there is no newer
            one, in monotonic seconds.
        fleet: the upstreams.
    """

    def __init__(self) -> None:
        """Start knowing nothing."""
        self.catalogue: Catalogue | None = None
        self.confirmed_at = -math.inf
        self.fleet = Fleet()

    @property
    def limits(self) -> CallerLimits:
        """Return what callers may send."""
        if self.catalogue is None:
            return CallerLimits()
        return self.catalogue.limits

    def publish(self, catalogue: Catalogue) -> bool:
        """Take a configuration unless a newer one is known."""
        known = self.catalogue
        if known is not None and catalogue.version <= known.version:
            return False
        self.catalogue = catalogue
        return True

    def is_stale(self, now: float) -> bool:
        """Tell whether there may be a newer configuration."""
        return now - self.confirmed_at > STALE_AFTER
