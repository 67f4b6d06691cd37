"""When an upstream takes a request of this host, beside its free slots."""

import math
import random
from collections.abc import Collection, Iterable

from ..shared_rates import RateSharing, SharedRate
from .configuration import Service
from .notices import UpstreamNotices
from .upstreams import Upstream, UpstreamRegistry

__all__ = ('UpstreamLimits',)

# Time over which the requests to a cold upstream are counted.
_COLD_WINDOW_SECONDS = 1.0
# The same for an upstream that states a limit of its requests.
_STATED_WINDOW_SECONDS = 4.0


class UpstreamLimits:
    """Rates that hosts share at upstreams, and pauses that upstreams want.

    Attributes:
        notices: what upstreams state of themselves.
        sharing: the parts of this host in the rates.
    """

    def __init__(
        self, host: str, generator: random.Random, registry: UpstreamRegistry
    ) -> None:
        """Limit the requests of ``host`` to the upstreams of ``registry``."""
        self.registry = registry
        self.notices = UpstreamNotices(generator, registry)
        self.sharing = RateSharing(host)

    def rates(
        self, upstream: Upstream, service: Service, now: float
    ) -> tuple[SharedRate, ...]:
        """Return the rates that all hosts together keep at an upstream."""
        rates = []
        if service.cold_rate and now < upstream.cold_until:
            rates.append(SharedRate(service.cold_rate, _COLD_WINDOW_SECONDS))
        stated = self.notices.rate_limit(upstream, now)
        if stated is not None:
            rates.append(SharedRate(stated, _STATED_WINDOW_SECONDS))
        return tuple(rates)

    def delay(self, upstream: Upstream, service: Service, now: float) -> float:
        """Return the time until an upstream takes a request of this host.

        Returns:
            Seconds; infinity if only other hosts may send to it.
        """
        rates = self.rates(upstream, service, now)
        return max(
            self.sharing.delay(upstream.name, rates, now),
            self.notices.pause_left(upstream, now),
        )

    def least_delay(
        self, upstreams: Iterable[Upstream], service: Service, now: float
    ) -> float:
        """Return the time until any of ``upstreams`` takes a request."""
        least = math.inf
        for upstream in upstreams:
            least = min(least, self.delay(upstream, service, now))
            if not least:
                break
        return least

    def record_send(
        self, upstream: Upstream, service: Service, now: float
    ) -> tuple[SharedRate, ...]:
        """Record a request; return the rates that it counts against."""
        rates = self.rates(upstream, service, now)
        self.sharing.record_send(upstream.name, rates, now)
        return rates

    def limited_count(self, now: float) -> int:
        """Return how many upstreams state a limit of their requests."""
        return sum(
            self.notices.rate_limit(upstream, now) is not None
            for upstream in self.registry.upstreams.values()
        )

    def retain(self, names: Collection[str], now: float) -> None:
        """Discard the records of all upstreams but those in ``names``."""
        self.notices.retain(names, now)
        self.sharing.retain(names)
