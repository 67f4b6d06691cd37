"""Prometheus metrics of a gateway."""

from collections.abc import Iterator, Mapping
from typing import Protocol

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    generate_latest,
)
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from .admission_metrics import AdmissionMetrics
from .memory import MemoryBudget
from .request_costs import RequestCosts

__all__ = ('Metrics', 'UsageOutcomes')

# Upper bounds, dense around the objectives: 0.1 s for plain services, 0.5 s to
# the first event and 0.12 s between events.
_BUCKETS_SECONDS = (
    0.01,
    0.03,
    0.06,
    0.1,
    0.12,
    0.15,
    0.2,
    0.3,
    0.5,
    0.8,
    1.5,
    3,
    8,
)

_BY_SERVICE = ('service',)


class UsageOutcomes(Protocol):
    """What became of the windows of the usage reports."""

    @property
    def outcomes(self) -> Mapping[str, int]:
        """Return the windows reported, skipped, refused, and the repeats."""

    def open_age(self) -> float:
        """Return the seconds since the end of the oldest open window."""


class Metrics:
    """Counters, gauges and latency histograms of one gateway."""

    def __init__(self) -> None:
        """Create all metrics in a registry of their own."""
        self.registry = CollectorRegistry()
        self.responses = Counter(
            'gateway_answers',
            'Answers by status and by whether they were whole',
            ('status', 'whole'),
            registry=self.registry,
        )
        self.upstream_attempts = Counter(
            'gateway_sends',
            'Sends to upstreams by outcome',
            ('service', 'outcome'),
            registry=self.registry,
        )
        self.limited_sends = Counter(
            'gateway_limited_sends',
            'Sends to upstreams with a rate that all hosts share',
            _BY_SERVICE,
            registry=self.registry,
        )
        self.limited_upstreams = Gauge(
            'gateway_limited_upstreams',
            'Upstreams that state a limit of their requests',
            registry=self.registry,
        )
        self.leaving_upstreams = Gauge(
            'gateway_leaving_upstreams',
            'Upstreams that have said that they leave and not started anew',
            registry=self.registry,
        )
        self.wanted_pauses = Counter(
            'gateway_wanted_pauses',
            'Rejections with which an upstream asked for a pause',
            _BY_SERVICE,
            registry=self.registry,
        )
        self.refused_suspects = Counter(
            'gateway_refused_suspects',
            'Refusals of requests that are blamed for crashes of upstreams',
            _BY_SERVICE,
            registry=self.registry,
        )
        self.suspect_traits = Gauge(
            'gateway_suspect_traits',
            'Traits of requests with evidence that they crash upstreams',
            registry=self.registry,
        )
        self.admission = AdmissionMetrics(self.registry)
        self.first_event = Histogram(
            'gateway_first_event_seconds',
            'Time from the request to the first byte of its answer',
            _BY_SERVICE,
            buckets=_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.waiting = Histogram(
            'gateway_waiting_seconds',
            'Time that a request waited for a place at an upstream',
            _BY_SERVICE,
            buckets=_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.longest_gap = Histogram(
            'gateway_longest_gap_seconds',
            'Longest pause between events of an answer',
            _BY_SERVICE,
            buckets=_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.requests_in_progress = Gauge(
            'gateway_requests',
            'Requests in progress',
            registry=self.registry,
        )
        self.configuration_version = Gauge(
            'gateway_configuration_version',
            'Version of the configuration in force',
            registry=self.registry,
        )
        self.configuration_age = Gauge(
            'gateway_configuration_age_seconds',
            'Time since the store last confirmed the configuration',
            registry=self.registry,
        )
        self.topics = Gauge(
            'gateway_topic',
            'State of a topic of the store: era, next_offset, listings,'
            ' expired_reads, ignored_records, age of the confirmation',
            ('topic', 'state'),
            registry=self.registry,
        )
        # Resident size and open descriptors, where the system shows them.
        ProcessCollector(registry=self.registry)
        self.upstreams = Gauge(
            'gateway_upstreams',
            'Upstreams known',
            registry=self.registry,
        )

    def add_memory(self, budget: MemoryBudget) -> None:
        """Add the metrics of the memory that is held for callers."""
        self.registry.register(_MemoryCollector(budget))

    def add_usage(self, reports: 'UsageOutcomes') -> None:
        """Add the metrics of the usage reports."""
        self.registry.register(_UsageCollector(reports))

    def add_costs(self, costs: RequestCosts) -> None:
        """Add the metrics of the predicted work of requests."""
        self.registry.register(_CostCollector(costs))

    def record_topic(self, topic: str, state: Mapping[str, float]) -> None:
        """Set the gauges of one topic."""
        for name, number in state.items():
            self.topics.labels(topic, name).set(number)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return bytes(generate_latest(self.registry))


class _MemoryCollector(Collector):
    """Reads the metrics of a memory budget when they are requested."""

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget

    def collect(self) -> Iterator[Metric]:
        held = GaugeMetricFamily(
            'gateway_held_bytes',
            'Memory held for callers, by what it is held for',
            labels=('use',),
        )
        for use, size in self.budget.held.items():
            held.add_metric((use.value,), size)
        yield held
        yield GaugeMetricFamily(
            'gateway_memory_limit_bytes',
            'Memory that may be held for callers',
            self.budget.limit,
        )
        yield GaugeMetricFamily(
            'gateway_waiting_bodies',
            'Requests whose body waits for memory',
            len(self.budget.waiters),
        )
        yield CounterMetricFamily(
            'gateway_memory_refusals',
            'Requests refused for lack of memory',
            self.budget.refusals,
        )


class _UsageCollector(Collector):
    """Reads the metrics of the usage reports when they are requested."""

    def __init__(self, reports: UsageOutcomes) -> None:
        self.reports = reports

    def collect(self) -> Iterator[Metric]:
        windows = CounterMetricFamily(
            'gateway_usage_windows',
            'Windows of usage by outcome, and reports repeated',
            labels=('outcome',),
        )
        for outcome in ('reported', 'repeated', 'skipped', 'refused'):
            windows.add_metric(
                (outcome,), self.reports.outcomes.get(outcome, 0)
            )
        yield windows
        yield GaugeMetricFamily(
            'gateway_usage_open_age_seconds',
            'Time since the end of the oldest window that is not reported',
            self.reports.open_age(),
        )


class _CostCollector(Collector):
    """Reads predicted and observed work by kind when they are requested."""

    def __init__(self, costs: RequestCosts) -> None:
        self.costs = costs

    def collect(self) -> Iterator[Metric]:
        labels = ('service', 'kind')
        requests = CounterMetricFamily(
            'gateway_cost_requests',
            'Whole streams whose work was predicted',
            labels=labels,
        )
        predicted = CounterMetricFamily(
            'gateway_cost_predicted_seconds',
            'Their predicted work at the reference speed',
            labels=labels,
        )
        observed = CounterMetricFamily(
            'gateway_cost_observed_seconds',
            'Their observed work at the reference speed',
            labels=labels,
        )
        error = CounterMetricFamily(
            'gateway_cost_error_seconds',
            'Sum of the absolute differences of both',
            labels=labels,
        )
        weight = GaugeMetricFamily(
            'gateway_cost_weight',
            'How far predictions decide choices, from 0 to 1',
            labels=('service',),
        )
        for service, model in self.costs.models.items():
            weight.add_metric((service,), model.weight)
            for kind, totals in model.totals.items():
                key = (service, kind)
                requests.add_metric(key, totals.count)
                predicted.add_metric(key, totals.predicted)
                observed.add_metric(key, totals.observed)
                error.add_metric(key, totals.error)
        yield from (requests, predicted, observed, error, weight)
