"""Whether a request is allowed, and where it may go."""

import dataclasses
import math
import random

from ..exceptions import RequestFailed
from ..verdicts import Verdict
from .catalogue import Catalogue, Client, Engine, Execution, Route
from .knowledge import Knowledge
from .requests import CallerRequest

__all__ = ('Authorizer', 'Ticket')

# When a request that could not be judged may be tried again, in seconds: the
# store's news arrive within about this time.
_RETRY_UNKNOWN = 0.3
# Callers' timeouts on a route differ by up to this share of the longest.
_TIMEOUT_SPREAD = 0.2
_NOT_FOUND = 404
_UNAUTHORIZED = 401
_UNAVAILABLE = 503


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
    def engine(self) -> Engine | None:
        """Return the model engine of the service, if it has one."""
        service = self.catalogue.services.get(self.service)
        return service.engine if service else None

    @property
    def regions(self) -> frozenset[str]:
        """Return the regions that the request is bound to, empty for any."""
        bound = self.client.regions if self.client else frozenset()
        if bound and self.route.regions:
            return bound & self.route.regions
        return bound or self.route.regions


class Authorizer:
    """Judges requests by the configuration in force.

    Attributes:
        last_stream_at: streams that arrive later are turned away, in
            monotonic seconds: this host is about to stop.
    """

    def __init__(
        self,
        knowledge: Knowledge,
        generator: random.Random,
    ) -> None:
        """Judge by ``knowledge``."""
        self.knowledge = knowledge
        self.generator = generator
        self.last_stream_at = math.inf
        self.longest_timeouts: dict[str, float] = {}

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
        client = self._identify(catalogue, route, request, now)
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

    def _identify(
        self,
        catalogue: Catalogue,
        route: Route,
        request: CallerRequest,
        now: float,
    ) -> Client | None:
        if route.public or not catalogue.requires_key:
            return None
        client = catalogue.client_with(request.api_key)
        if client is None:
            raise self._denied('unknown API key', _UNAUTHORIZED, now)
        return client

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

    def _time_spent(self, route: Route, request: CallerRequest) -> float:
        """Return how long ago the caller made a request, in seconds.

        The callers of a route give themselves about the same time; one that
        comes back after a refusal has much less of it left.
        """
        if request.timeout == math.inf:
            return 0
        longest = self.longest_timeouts.get(route.prefix, 0)
        if request.timeout >= longest:
            self.longest_timeouts[route.prefix] = request.timeout
            return 0
        spent = longest - request.timeout
        return spent if spent > _TIMEOUT_SPREAD * longest else 0


def _unknown(detail: str) -> RequestFailed:
    return RequestFailed(
        detail,
        Verdict.NOT_RUN,
        _UNAVAILABLE,
        _RETRY_UNKNOWN,
    )
