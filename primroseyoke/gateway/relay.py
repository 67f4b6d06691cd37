"""Relays a caller's request to upstreams and the answer back."""

import asyncio
import dataclasses
import logging
import math
import random
import time

from ..exceptions import RequestFailed
from ..verdicts import Verdict
from .balancer import Balancer
from .budgets import SendBudget
from .catalogue import Catalogue, Client, Execution, Route
from .channels import ChannelPool
from .exchanges import Exchange
from .knowledge import Knowledge
from .listeners import Answer
from .requests import CallerRequest
from .waiting import WaitingLine

__all__ = ('Relay', 'Ticket')

log = logging.getLogger(__name__)

# When a request that could not be judged may be tried again, in seconds: the
# store's news arrive within about this time.
_RETRY_UNKNOWN = 0.3
# How long an answer takes to begin until that is measured, in seconds, and
# the weight of a new measurement.
_FIRST_EVENT = 0.2
_SMOOTHING = 0.1
_NOT_FOUND = 404
_UNAUTHORIZED = 401
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request that is allowed: where it may go and until when.

    ``deadline`` is in monotonic seconds, as is ``made_at``, when the caller
    first made the request: it may have been turned away since and come back.
    """

    request: CallerRequest
    catalogue: Catalogue
    route: Route
    service: str
    client: Client | None
    deadline: float
    made_at: float

    @property
    def priority(self) -> int:
        """Return the rank of the request, 0 first."""
        if self.client is not None and self.client.priority is not None:
            return self.client.priority
        return self.route.priority

    @property
    def regions(self) -> frozenset[str]:
        """Return the regions that the request is bound to, empty for any."""
        bound = self.client.regions if self.client else frozenset()
        if bound and self.route.regions:
            return bound & self.route.regions
        return bound or self.route.regions


class Relay:
    """Serves the requests of one host."""

    def __init__(
        self,
        knowledge: Knowledge,
        balancer: Balancer,
        pool: ChannelPool,
        budget: SendBudget,
        generator: random.Random,
    ) -> None:
        """Send requests through ``pool`` to what ``balancer`` chooses."""
        self.knowledge = knowledge
        self.balancer = balancer
        self.pool = pool
        self.budget = budget
        self.generator = generator
        self.lines: dict[str, WaitingLine] = {}
        self.first_events: dict[str, float] = {}
        self.longest_timeouts: dict[str, float] = {}
        self.last_stream_at = math.inf

    async def handle(self, request: CallerRequest, answer: Answer) -> None:
        """Answer one request."""
        started = time.monotonic()
        try:
            ticket = self.admit(request, started)
        except RequestFailed as error:
            _refuse(answer, error)
            _log_end(request, None, answer, str(error), started)
            return
        exchange = Exchange(self, ticket, answer)
        detail = await self._run(exchange, answer)
        _log_end(request, exchange, answer, detail, started)

    def admit(self, request: CallerRequest, now: float) -> Ticket:
        """Return where a request may go.

        Raises:
            RequestFailed: it is not allowed, or that is not known.
        """
        catalogue = self.knowledge.catalogue
        if catalogue is None:
            raise _unknown('no configuration is known yet')
        route = catalogue.match(request.host, request.path)
        if route is None:
            raise self._denied('no such route', _NOT_FOUND, now)
        client = None
        if catalogue.requires_key and not route.public:
            client = catalogue.client_with(request.key)
            if client is None:
                raise self._denied('unknown API key', _UNAUTHORIZED, now)
        if route.execution is Execution.STREAM and now > self.last_stream_at:
            raise _unknown('the host is about to stop')
        timeout = min(request.timeout, route.timeout)
        return Ticket(
            request=request,
            catalogue=catalogue,
            route=route,
            service=self._pick_service(route),
            client=client,
            deadline=request.arrived_at + timeout,
            made_at=request.arrived_at - self._time_spent(route, request),
        )

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

    def _time_spent(self, route: Route, request: CallerRequest) -> float:
        """Return how long ago the caller made a request, in seconds.

        All callers of a route give themselves the same time; one that comes
        back after a refusal has less of it left.
        """
        if request.timeout == math.inf:
            return 0
        longest = self.longest_timeouts.get(route.prefix, 0)
        if request.timeout >= longest:
            self.longest_timeouts[route.prefix] = request.timeout
            return 0
        return longest - request.timeout

    async def _run(self, exchange: Exchange, answer: Answer) -> str:
        """Run an exchange to its end; return what went wrong, if anything."""
        try:
            async with asyncio.timeout_at(exchange.ticket.deadline):
                await exchange.run()
        except RequestFailed as error:
            if answer.started:
                answer.abort()
            else:
                _refuse(answer, error)
            return str(error)
        except TimeoutError:
            if answer.started:
                answer.abort()
            else:
                _refuse(answer, exchange.timed_out())
            return 'the deadline has passed'
        except ConnectionError:
            return 'the caller closed the connection'
        return ''

    def _denied(self, detail: str, status: int, now: float) -> RequestFailed:
        if self.knowledge.is_stale(now):
            return _unknown(f'{detail}, but the configuration may be old')
        return RequestFailed(detail, Verdict.NOT_RUN, status)

    def _pick_service(self, route: Route) -> str:
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [target.weight for target in route.targets]
        if not any(weights):
            raise _unknown('the route has no service')
        return self.generator.choices(route.targets, weights)[0].service


def _unknown(detail: str) -> RequestFailed:
    return RequestFailed(
        detail,
        Verdict.NOT_RUN,
        _UNAVAILABLE,
        _RETRY_UNKNOWN,
    )


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
