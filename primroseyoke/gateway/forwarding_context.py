"""Parts of a gateway that all its requests share."""

from typing import Any

import time

from ..scheduling.admission import ServiceAdmission
from ..scheduling.backlog import Backlog
from .authorization import AuthorizedRequest, Authorizer
from .balancer import Balancer, Reservation
from .client_sharing import ClientSharing
from .connection_pool import ConnectionPool
from .crash_detection import CrashDetector
from .estimates import Estimate
from .metrics import Metrics
from .retry_budget import RetryBudget
from .usage_counts import RequestUsage
from .usage_reports import UsageReports
from .wait_queue import WaitQueue

__all__ = ('ForwardingContext',)

# Assumed time to the first event until a service has measurements.
_INITIAL_FIRST_EVENT_SECONDS = 0.2


class ForwardingContext:
    """What a request needs to be forwarded.

    Attributes:
        crash_detector: evidence of requests that crash upstreams.
        metrics: the metrics of this gateway.
        client_sharing: work and shares of client accounts.
        queues: queue of waiting requests by service.
        admissions: decides who gets the next slot, by service.
        backlog: requests that wait at other hosts.
        first_event_estimates: time to the first event by service, in seconds.
        usage: counts requests for the usage reports; None without that duty.
    """

    def __init__(
        self,
        authorizer: Authorizer,
        balancer: Balancer,
        pool: ConnectionPool,
        retry_budget: RetryBudget,
    ) -> None:
        """Share the parts given, and create the others."""
        self.authorizer = authorizer
        self.balancer = balancer
        self.pool = pool
        self.retry_budget = retry_budget
        self.crash_detector = CrashDetector(
            balancer.registry, balancer.generator
        )
        self.metrics = Metrics()
        self.client_sharing = ClientSharing(
            balancer.shares, self.metrics.registry
        )
        self.queues: dict[str, WaitQueue] = {}
        self.admissions: dict[str, ServiceAdmission] = {}
        self.backlog = Backlog()
        self.first_event_estimates: dict[str, Estimate] = {}
        self.usage: UsageReports | None = None

    def queue(self, service: str) -> WaitQueue:
        """Return the queue of requests that wait for a service."""
        return self.queues.setdefault(service, WaitQueue())

    def admission(self, service: str) -> ServiceAdmission:
        """Return what decides who gets the next slot of a service."""
        admission = self.admissions.get(service)
        if admission is None:
            admission = ServiceAdmission(
                service, self.backlog, lambda: self.balancer.on_acquire()
            )
            self.admissions[service] = admission
        return admission

    def release(self, service: str, reservation: Reservation) -> None:
        """Release a slot, and retry the request that is next.

        Other hosts are told at once if requests wait there: a slot that this
        host leaves to them is idle until they know.
        """
        self.balancer.release(reservation)
        if self.backlog.by_priority(service, time.monotonic()):
            self.balancer.on_acquire()
        self.queue(service).wake_next()

    def waiting(self) -> dict[str, dict[int, int]]:
        """Return the on-time requests that wait, by service and priority."""
        return {
            service: dict(+admission.waiting)
            for service, admission in self.admissions.items()
            if admission.enabled and +admission.waiting
        }

    def first_event_estimate(self, service: str) -> Estimate:
        """Return the estimated time to the first event of a service."""
        return self.first_event_estimates.setdefault(
            service, Estimate(_INITIAL_FIRST_EVENT_SECONDS)
        )

    def request_usage(self, authorized: AuthorizedRequest) -> RequestUsage:
        """Return what counts a request for the usage reports, if enabled."""
        counter = self.usage.counter if self.usage else None
        return RequestUsage(counter, authorized)

    def usage_state(self) -> dict[str, Any] | None:
        """Return the state of the usage reports, None without that duty."""
        return self.usage.state() if self.usage else None
