"""Serves callers' requests: judges, relays, measures and logs them."""

import asyncio
import logging
import time

from ..exceptions import RequestFailed
from .authorization import Authorizer
from .balancer import Balancer
from .budgets import SendBudget
from .connection_pool import ChannelPool
from .estimates import Estimate
from .request_forwarding import Exchange
from .listeners import Answer
from .metrics import Measures
from .requests import CallerRequest
from .waiting import WaitingLine

__all__ = ('Relay',)

log = logging.getLogger(__name__)

# How long an answer takes to begin until that is measured, in seconds.
_FIRST_EVENT = 0.2
# Hosts look for places at different times within this span, in seconds: a
# report takes up to 2 ms.
_LOOK_SPREAD = 0.03


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
        self.first_events: dict[str, Estimate] = {}

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
        """Let waiting requests look for places after news of other hosts.

        All hosts hear of a free place at the same time. They look for it at
        different times, so that the first can tell the others that it is
        taken.
        """
        loop = asyncio.get_running_loop()
        for line in self.lines.values():
            if line.waiters:
                pause = self.balancer.generator.random() * _LOOK_SPREAD
                loop.call_later(pause, line.call)

    def first_event(self, service: str) -> Estimate:
        """Return how long an answer of a service takes to begin."""
        return self.first_events.setdefault(service, Estimate(_FIRST_EVENT))

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
