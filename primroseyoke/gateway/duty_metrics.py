"""Prometheus metrics of the duty lease and of the calls made under it."""

from collections.abc import Iterator

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from .duties import Duties

__all__ = ('DutyCollector',)


class DutyCollector(Collector):
    """Reads the metrics of the duties when they are requested."""

    def __init__(self, duties: Duties) -> None:
        """Report on ``duties``; nothing if there are none."""
        self.duties = duties

    def collect(self) -> Iterator[Metric]:
        """Return the current metrics."""
        lease = self.duties.lease
        api = self.duties.api
        if lease is None or api is None:
            return
        number = lease.held()
        yield GaugeMetricFamily(
            'gateway_duty_lease_held',
            'Whether this host holds the duty lease',
            number is not None,
        )
        yield GaugeMetricFamily(
            'gateway_duty_fencing_number',
            'Fencing number of the duty lease that this host holds, 0 if none',
            number or 0,
        )
        yield CounterMetricFamily(
            'gateway_duty_leases_lost',
            'Duty leases of this host that ended without a release',
            lease.lost_count,
        )
        calls = CounterMetricFamily(
            'gateway_duty_calls',
            "Calls to the platform's API by result",
            labels=('call', 'result'),
        )
        for labels, count in api.call_counts.items():
            calls.add_metric(labels, count)
        yield calls
