"""Prometheus metrics of the orders of upstreams."""

from prometheus_client import CollectorRegistry, Counter, Gauge

__all__ = ('ScalingMetrics',)


class ScalingMetrics:
    """Counts of orders and the number of upstreams that are needed."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Add the metrics to ``registry``."""
        self.orders = Counter(
            'gateway_scaling_orders',
            'Calls that order upstreams, by result',
            ('service', 'result'),
            registry=registry,
        )
        self.needed = Gauge(
            'gateway_scaling_needed',
            'Upstreams that the demand needs, at the holder of the duty lease',
            ('service',),
            registry=registry,
        )
        self.present = Gauge(
            'gateway_scaling_present',
            'Upstreams registered and not draining, at the holder',
            ('service',),
            registry=registry,
        )
