"""Authorization of callers' requests and selection of their service."""

import dataclasses
import math
import random

from ..exceptions import RequestFailed
from ..scheduling.cost import StatedWork
from ..verdicts import Verdict
from .configuration import Client, Configuration, Engine, Execution, Route
from .requests import CallerRequest
from .routing_state import RoutingState

__all__ = ('AuthorizedRequest', 'Authorizer')

# Retry-After of temporary errors. Updates from the store arrive within about
# this time.
_RETRY_AFTER_SECONDS = 0.3
# A request whose timeout is shorter than the longest one of its route by up to
# this share counts as a first attempt.
_TIMEOUT_VARIATION_SHARE = 0.2
_STATUS_NOT_FOUND = 404
_STATUS_UNAUTHORIZED = 401
_STATUS_UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True, slots=True)
class AuthorizedRequest:
    """A request that is allowed, with its route, service and deadline.

    ``deadline`` and ``first_attempt_at`` are in monotonic seconds. The latter
    is when the caller first made the request, which may have been rejected and
    retried since.
    """

    request: CallerRequest
    configuration: Configuration
    route: Route
    service: str
    client: Client | None
    deadline: float
    first_attempt_at: float

    @property
    def priority(self) -> int:
        """Return the priority of the request; 0 is the highest."""
        return self.route.priority_for(
            self.client.priority if self.client else None
        )

    @property
    def engine(self) -> Engine | None:
        """Return the model engine of the service, if it has one."""
        service = self.configuration.services.get(self.service)
        return service.engine if service else None

    @property
    def stated_work(self) -> StatedWork | None:
        """Return what the caller states of the length of a new stream.

        It is None for a stream that continues an earlier one: the length that
        its caller states includes what it has.
        """
        request = self.request
        if (
            request.prompt_tokens is None
            or request.last_event_id
            or self.route.execution is not Execution.STREAM
        ):
            return None
        return StatedWork(
            self.route.name,
            request.prompt_tokens,
            self.client.name if self.client else '',
            request.max_output_tokens,
            request.output_hint,
        )

    @property
    def regions(self) -> frozenset[str] | None:
        """Return the regions that the request is restricted to.

        Those of the route and of the client account hold together, so no
        region may be left. None is for no restriction.
        """
        bound = self.client.regions if self.client else None
        if bound is None or self.route.regions is None:
            return self.route.regions if bound is None else bound
        return bound & self.route.regions


class Authorizer:
    """Authorizes requests by the current configuration.

    Attributes:
        exit_at: monotonic time at which this host stops serving.
        last_calls_at: monotonic time from which requests are rejected that may
            last beyond the exit.
    """

    def __init__(
        self,
        routing_state: RoutingState,
        generator: random.Random,
    ) -> None:
        """Authorize by the configuration in ``routing_state``."""
        self.routing_state = routing_state
        self.generator = generator
        self.exit_at = math.inf
        self.last_calls_at = math.inf
        self.longest_timeout_by_prefix: dict[str, float] = {}

    def authorize(
        self, request: CallerRequest, now: float
    ) -> AuthorizedRequest:
        """Return the request with its route, service and deadline.

        Raises:
            RequestFailed: the request is not allowed, or not for now.
        """
        configuration = self.routing_state.configuration
        if configuration is None:
            raise _temporarily_refused('no configuration is known yet')
        route = configuration.match(request.host, request.path)
        if route is None:
            raise self._denial('no such route', _STATUS_NOT_FOUND, now)
        client = self._authenticate(configuration, route, request, now)
        timeout = min(request.timeout, route.timeout)
        deadline = request.arrived_at + timeout
        self.check_time_left(deadline, now)
        authorized = AuthorizedRequest(
            request=request,
            configuration=configuration,
            route=route,
            service=self._pick_service(route),
            client=client,
            deadline=deadline,
            first_attempt_at=request.arrived_at
            - self._time_since_first_attempt(route, request),
        )
        if authorized.regions is not None and not authorized.regions:
            raise _temporarily_refused(
                'the route and the client account have no region in common'
            )
        return authorized

    def check_time_left(self, deadline: float, now: float) -> None:
        """Check that a request that is sent now can end before the exit.

        Raises:
            RequestFailed: it may last longer.
        """
        if now >= self.last_calls_at and deadline > self.exit_at:
            raise _temporarily_refused('the host is about to stop')

    def _authenticate(
        self,
        configuration: Configuration,
        route: Route,
        request: CallerRequest,
        now: float,
    ) -> Client | None:
        if route.public or not configuration.requires_key:
            return None
        client = configuration.client_by_key(request.api_key)
        if client is None:
            raise self._denial('unknown API key', _STATUS_UNAUTHORIZED, now)
        return client

    def _denial(self, detail: str, status: int, now: float) -> RequestFailed:
        if self.routing_state.is_stale(now):
            return _temporarily_refused(
                f'{detail}, but the configuration may be old'
            )
        return RequestFailed(detail, Verdict.NOT_RUN, status)

    def _pick_service(self, route: Route) -> str:
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [target.weight for target in route.targets]
        if not any(weights):
            raise _temporarily_refused('the route has no service')
        return self.generator.choices(route.targets, weights)[0].service

    def _time_since_first_attempt(
        self, route: Route, request: CallerRequest
    ) -> float:
        """Return the time since the caller's first attempt, in seconds.

        The callers of a route use about the same timeout for a first attempt.
        When they retry after a rejection, they send the time that is left,
        which is much shorter.
        """
        if request.timeout == math.inf:
            return 0
        longest = self.longest_timeout_by_prefix.get(route.prefix, 0)
        if request.timeout >= longest:
            self.longest_timeout_by_prefix[route.prefix] = request.timeout
            return 0
        elapsed = longest - request.timeout
        return elapsed if elapsed > _TIMEOUT_VARIATION_SHARE * longest else 0


def _temporarily_refused(detail: str) -> RequestFailed:
    return RequestFailed(
        detail,
        Verdict.NOT_RUN,
        _STATUS_UNAVAILABLE,
        _RETRY_AFTER_SECONDS,
    )
