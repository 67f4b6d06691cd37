"""Reverse proxy: authorizes, forwards, measures and logs requests."""

import asyncio
import collections
import logging
import math
import time

from ..exceptions import RequestFailed
from .authorization import AuthorizedRequest, Authorizer
from .balancer import Balancer
from .connection_pool import ConnectionPool
from .forwarding_context import ForwardingContext
from .listeners import ResponseWriter
from .request_forwarding import RequestForwarder
from .requests import CallerRequest
from .retry_budget import RetryBudget

__all__ = ('Proxy',)

log = logging.getLogger(__name__)

# Hosts retry within this interval at random times after capacity was freed, so
# that they do not all take the same slot. A load report takes up to 2 ms.
_WAKE_JITTER_SECONDS = 0.03
_UNAVAILABLE = 503


class Proxy:
    """Forwards callers' requests from this gateway to upstreams.

    Attributes:
        arrivals: requests since the start, by service.
        refusals: those of them that were answered 503, by service.
    """

    def __init__(
        self,
        authorizer: Authorizer,
        balancer: Balancer,
        pool: ConnectionPool,
        retry_budget: RetryBudget,
    ) -> None:
        """Forward requests through ``pool`` to the choices of ``balancer``."""
        self.context = ForwardingContext(
            authorizer, balancer, pool, retry_budget
        )
        self.crash_detector = self.context.crash_detector
        self.metrics = self.context.metrics
        self.authorizer = authorizer
        self.balancer = balancer
        self.metrics.add_costs(balancer.costs)
        self.timers: set[asyncio.Timeout] = set()
        self.exit_at = math.inf
        self.arrivals: collections.Counter[str] = collections.Counter()
        self.refusals: collections.Counter[str] = collections.Counter()

    async def handle(
        self, request: CallerRequest, response: ResponseWriter
    ) -> None:
        """Authorize and forward one request, and log its outcome."""
        started = time.monotonic()
        try:
            authorized = self.authorizer.authorize(request, started)
        except RequestFailed as error:
            _send_error(response, error)
            _log_request_end(request, None, response, str(error), started)
            return
        self.arrivals[authorized.service] += 1
        self.context.client_sharing.record_arrival(authorized, started)
        forwarder = RequestForwarder(self.context, authorized, response)
        detail = 'the caller disconnected'
        try:
            detail = await self._run(forwarder, response)
        finally:
            self._record_metrics(forwarder, response)
            _log_request_end(request, forwarder, response, detail, started)

    def shut_down(self, last_calls_at: float, exit_at: float) -> None:
        """Answer all requests before this host stops serving.

        Args:
            last_calls_at: monotonic time from which requests are rejected that
                may last beyond the exit.
            exit_at: monotonic time at which those are failed that are still
                unanswered.
        """
        self.exit_at = exit_at
        self.authorizer.last_calls_at = last_calls_at
        self.authorizer.exit_at = exit_at
        for timer in self.timers:
            if not timer.expired():
                timer.reschedule(min(timer.when() or exit_at, exit_at))

    def wake_waiting(self) -> None:
        """Retry queued requests after another gateway reported its load.

        All gateways learn of a free slot at the same time. Each retries after
        a random delay, so that the first one can report the slot as taken
        before the others try.
        """
        generator = self.balancer.generator
        for queue in self.context.queues.values():
            delay = generator.random() * _WAKE_JITTER_SECONDS
            queue.wake_next_within(delay)

    async def _run(
        self, forwarder: RequestForwarder, response: ResponseWriter
    ) -> str:
        """Forward a request to completion.

        Returns a description of the failure, empty on success.
        """
        failure = None
        detail = ''
        timer = asyncio.timeout_at(
            min(forwarder.authorized.deadline, self.exit_at)
        )
        self.timers.add(timer)
        try:
            async with timer:
                await forwarder.run()
        except RequestFailed as error:
            failure = error
            detail = str(error)
            self.context.client_sharing.record_refusal(
                forwarder.authorized, error.retry_after, time.monotonic()
            )
        except TimeoutError:
            failure = forwarder.timed_out()
            detail = 'the deadline of the request passed'
        except ConnectionError:
            detail = 'the caller closed the connection'
        finally:
            self.timers.discard(timer)
        if failure is not None and response.started:
            response.abort()
        elif failure is not None:
            _send_error(response, failure)
        return detail

    def _record_metrics(
        self, forwarder: RequestForwarder, response: ResponseWriter
    ) -> None:
        service = forwarder.authorized.service
        progress = forwarder.progress
        metrics = self.metrics
        metrics.responses.labels(response.status, response.finished).inc()
        if response.status == _UNAVAILABLE:
            self.refusals[service] += 1
        metrics.waiting.labels(service).observe(forwarder.slots.waited_seconds)
        if progress.first_event_at:
            first_event_delay = (
                progress.first_event_at
                - forwarder.authorized.request.arrived_at
            )
            metrics.first_event.labels(service).observe(first_event_delay)
        if progress.longest_gap:
            metrics.longest_gap.labels(service).observe(progress.longest_gap)


def _send_error(response: ResponseWriter, error: RequestFailed) -> None:
    response.send_error(
        error.status,
        str(error),
        error.verdict.value,
        error.retry_after,
    )


def _log_request_end(
    request: CallerRequest,
    forwarder: RequestForwarder | None,
    response: ResponseWriter,
    detail: str,
    started: float,
) -> None:
    fields: dict[str, object] = {
        'request': request.request_id,
        'status': response.status,
        'whole': response.finished,
        'detail': detail,
        'ms': round((time.monotonic() - started) * 1000, 1),
    }
    if forwarder is not None:
        fields.update(forwarder.log_fields())
    log.info('request ended', extra=fields)
