"""Metrics of the requests that wait for a slot."""

import time
from collections.abc import Iterator, Mapping

from prometheus_client import CollectorRegistry, Counter
from prometheus_client.core import GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from ..scheduling.admission import ServiceAdmission

__all__ = ('AdmissionMetrics',)


class AdmissionMetrics:
    """Counters of grants and refusals, and gauges of waiting requests.

    Attributes:
        grants: requests that got a slot.
        refusals: requests that got none.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        """Create the metrics in ``registry``."""
        self.registry = registry
        self.grants = Counter(
            'gateway_grants',
            'Requests that got a slot, by priority',
            ('service', 'priority'),
            registry=registry,
        )
        self.refusals = Counter(
            'gateway_refusals',
            'Requests that got no slot, by priority and reason: waited,'
            ' no_prospect, unavailable',
            ('service', 'priority', 'reason'),
            registry=registry,
        )

    def add_admissions(
        self, admissions: Mapping[str, ServiceAdmission]
    ) -> None:
        """Add the gauges of waiting requests; ``admissions`` by service."""
        self.registry.register(_WaitingCollector(admissions))


class _WaitingCollector(Collector):
    """Reads the numbers of waiting requests when they are requested."""

    def __init__(self, admissions: Mapping[str, ServiceAdmission]) -> None:
        self.admissions = admissions

    def collect(self) -> Iterator[Metric]:
        waiting = GaugeMetricFamily(
            'gateway_waiting_requests',
            'On-time requests that wait for a slot, by the priority that counts'
            ' and by where: here, elsewhere',
            labels=('service', 'priority', 'place'),
        )
        now = time.monotonic()
        for service, admission in self.admissions.items():
            elsewhere = admission.backlog.by_priority(service, now)
            for priority, count in admission.waiting.items():
                waiting.add_metric((service, str(priority), 'here'), count)
            for other, reported in elsewhere.items():
                waiting.add_metric((service, str(other), 'elsewhere'), reported)
        yield waiting
