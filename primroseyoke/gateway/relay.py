"""Serves callers' requests: judges, relays, measures and logs them."""

import asyncio
import logging
import time

from ..exceptions import RequestFailed
from .authorization import Authorizer
from .balancer import Balancer
from .budgets import SendBudget
from .channels import ChannelPool
from .exchanges import Exchange
from .listeners import Answer
from .measures import Measures
from .requests import CallerRequest
from .waiting import WaitingLine

__all__ = ('Relay',)

log = logging.getLogger(__name__)

# How long an answer takes to begin until that is measured, in seconds, and
# the weight of a new measurement.
_FIRST_EVENT = 0.2
_SMOOTHING = 0.1


class Relay:
    """Serves the requests of one host."""

    def __init__(
        self,
        authorizer: Authorizer,
        balancer: Balancer,
        pool: ChannelPool,
        budget: SendBudget,
    ) -> None:
        """Send requests through ``pool`` to what ``balancer`` chooses."""
        self.authorizer = authorizer
        self.balancer = balancer
        self.pool = pool
        self.budget = budget
        self.measures = Measures()
        self.lines: dict[str, WaitingLine] = {}
        self.first_events: dict[str, float] = {}

    async def handle(self, request: CallerRequest, answer: Answer) -> None:
        """Answer one request."""
        started = time.monotonic()
        try:
            ticket = self.authorizer.admit(request, started)
        except RequestFailed as error:
            _refuse(answer, error)
            _log_end(request, None, answer, str(error), started)
            return
        exchange = Exchange(self, ticket, answer)
        detail = 'the caller left'
        try:
            detail = await self._run(exchange, answer)
        finally:
            self._measure(exchange, answer)
            _log_end(request, exchange, answer, detail, started)

    def line(self, service: str) -> WaitingLine:
        """Return the requests that wait for a service."""
        return self.lines.setdefault(service, WaitingLine())

    def call_waiting(self) -> None:
        """Let waiting requests look for places after news of other hosts."""
        for line in self.lines.values():
            line.call()

    def first_event_time(self, service: str) -> float:
        """Return how long an answer of a service takes to begin, in seconds."""
        return self.first_events.get(service, _FIRST_EVENT)

    def observe_first_event(self, service: str, seconds: float) -> None:
        """Note how long an answer took to begin."""
        known = self.first_event_time(service)
        self.first_events[service] = known + _SMOOTHING * (seconds - known)

    async def _run(self, exchange: Exchange, answer: Answer) -> str:
        """Run an exchange to its end; return what went wrong, if anything."""
        failure = None
        detail = ''
        try:
            async with asyncio.timeout_at(exchange.ticket.deadline):
                await exchange.run()
        except RequestFailed as error:
            failure = error
            detail = str(error)
        except TimeoutError:
            failure = exchange.timed_out()
            detail = 'the deadline has passed'
        except ConnectionError:
            detail = 'the caller closed the connection'
        if failure is not None and answer.started:
            answer.abort()
        elif failure is not None:
            _refuse(answer, failure)
        return detail

    def _measure(self, exchange: Exchange, answer: Answer) -> None:
        service = exchange.ticket.service
        progress = exchange.progress
        measures = self.measures
        measures.answers.labels(answer.status, answer.finished).inc()
        measures.waiting.labels(service).observe(exchange.waited)
        if progress.first_event_at:
            begun = progress.first_event_at - exchange.ticket.request.arrived_at
            measures.first_event.labels(service).observe(begun)
        if progress.longest_gap:
            measures.gap.labels(service).observe(progress.longest_gap)


def _refuse(answer: Answer, error: RequestFailed) -> None:
    answer.refuse(
        error.status,
        str(error),
        error.verdict.value,
        error.retry_after,
    )


def _log_end(
    request: CallerRequest,
    exchange: Exchange | None,
    answer: Answer,
    detail: str,
    started: float,
) -> None:
    fields: dict[str, object] = {
        'request': request.request_id,
        'status': answer.status,
        'whole': answer.finished,
        'detail': detail,
        'ms': round((time.monotonic() - started) * 1000, 1),
    }
    if exchange is not None:
        fields.update(exchange.summary())
    log.info('request ended', extra=fields)
