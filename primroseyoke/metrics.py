"""Metrics in the statsd protocol."""

import statsd

from .settings import Address

__all__ = ('Metrics',)


class Metrics:
    """Sends counters, gauges and timings to a statsd server, if configured."""

    def __init__(self, address: Address | None, prefix: str) -> None:
        """Send to ``address``; without an address or port, send nothing."""
        self.client = None
        if address is not None and address.port:
            self.client = statsd.StatsClient(
                address.host,
                address.port,
                prefix=prefix,
            )

    def count(self, name: str) -> None:
        """Increment a counter."""
        if self.client is not None:
            self.client.incr(name)

    def time(self, name: str, seconds: float) -> None:
        """Record a duration in seconds."""
        if self.client is not None:
            self.client.timing(name, seconds * 1000)

    def gauge(self, name: str, level: float) -> None:
        """Set a gauge."""
        if self.client is not None:
            self.client.gauge(name, level)
