"""Parts of a gateway that all its requests share."""

from .authorization import Authorizer
from .balancer import Balancer
from .connection_pool import ConnectionPool
from .crash_detection import CrashDetector
from .estimates import Estimate
from .metrics import Metrics
from .retry_budget import RetryBudget
from .wait_queue import WaitQueue

__all__ = ('ForwardingContext',)

# Assumed time to the first event until a service has measurements.
_INITIAL_FIRST_EVENT_SECONDS = 0.2


class ForwardingContext:
    """What a request needs to be forwarded.

    Attributes:
        crash_detector: evidence of requests that crash upstreams.
        metrics: the metrics of this gateway.
        queues: queue of waiting requests by service.
        first_event_estimates: time to the first event by service, in seconds.
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
        self.queues: dict[str, WaitQueue] = {}
        self.first_event_estimates: dict[str, Estimate] = {}

    def queue(self, service: str) -> WaitQueue:
        """Return the queue of requests that wait for a service."""
        return self.queues.setdefault(service, WaitQueue())

    def first_event_estimate(self, service: str) -> Estimate:
        """Return the estimated time to the first event of a service."""
        return self.first_event_estimates.setdefault(
            service, Estimate(_INITIAL_FIRST_EVENT_SECONDS)
        )
