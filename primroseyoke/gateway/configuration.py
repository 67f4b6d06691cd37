"""Published configuration: routes, services, clients and limits."""

import dataclasses
import enum
import functools
import math
from collections.abc import Mapping

__all__ = (
    'Autoscale',
    'CallerLimits',
    'Configuration',
    'Client',
    'Engine',
    'Execution',
    'Route',
    'Service',
    'Target',
)


# Priorities of routes that are told apart within one priority of accounts.
_ROUTE_PRIORITY_COUNT = 10


class Execution(enum.Enum):
    """Whether a request may be executed more than once."""

    #: It may be executed again after any failure.
    IDEMPOTENT = 'idempotent'
    #: It is executed at most once.
    NON_IDEMPOTENT = 'non_idempotent'
    #: The response is a stream of events.
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service that receives a share of the requests of a route."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Routing rule for the paths of a host with a prefix; times in seconds.

    ``objective`` is the target for the time to the response or its first event,
    ``gap_objective`` the target for the longest gap between events, ``timeout``
    the maximum duration of a response. ``attempts`` is the maximum number of
    upstreams that one request is sent to. ``regions`` restricts the upstreams;
    it is None for no restriction.
    """

    name: str
    host: str
    prefix: str
    execution: Execution
    targets: tuple[Target, ...]
    timeout: float
    objective: float
    gap_objective: float = math.inf
    attempts: int = 1
    priority: int = 5
    public: bool = False
    resumable: bool = False
    regions: frozenset[str] | None = None

    @property
    def retryable(self) -> bool:
        """Tell whether a request may be executed a second time."""
        if self.execution is Execution.STREAM:
            return self.resumable
        return self.execution is Execution.IDEMPOTENT

    def priority_for(self, client_priority: int | None) -> int:
        """Return the priority of a request of a client account.

        That of the account takes precedence. Among requests whose accounts
        have the same one, that of their routes decides: otherwise it would
        have no effect where each account has a priority.

        Args:
            client_priority: priority of the account, None if it has none.
        """
        account = self.priority if client_priority is None else client_priority
        return account * _ROUTE_PRIORITY_COUNT + min(
            self.priority, _ROUTE_PRIORITY_COUNT - 1
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """Performance model of a model engine; times in seconds.

    A step takes ``step_time``, plus ``sequence_time`` for each running request;
    ``expert_share`` is the share of the latter that is spent in experts. A pass
    has ``steps_per_pass`` steps. ``prompt_time`` is the time to read a prompt
    of mean length, ``report_age`` the maximum age of a rank's report.
    ``placement_slots`` is the number of experts that a rank can hold per layer,
    ``spare_slots`` how many of them may be new in one change of placement.
    """

    slots: int
    memory_tokens: int
    step_time: float
    sequence_time: float
    steps_per_pass: int
    prompt_time: float = 0
    report_age: float = 0.25
    layers: int = 0
    experts: int = 0
    placement_slots: int = 0
    spare_slots: int = 0
    expert_share: float = 0
    expert_load_time: float = 0

    @property
    def places_experts(self) -> bool:
        """Tell whether the upstreams are ranks with an expert placement."""
        return self.layers > 0 and self.experts > 0


@dataclasses.dataclass(frozen=True, slots=True)
class Autoscale:
    """Bounds of the number of upstreams that can be ordered for a service.

    The platform clamps a number ordered for an availability zone to
    ``min_count`` .. ``max_count``. ``boot_time`` is the time until a new
    upstream serves, in seconds.
    """

    min_count: int
    max_count: int
    boot_time: float

    def clamp(self, count: int) -> int:
        """Return the number that an order of ``count`` results in."""
        return min(max(count, self.min_count), self.max_count)


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of upstreams.

    ``cold_rate`` is the maximum number of requests per second that all hosts
    together send to an upstream that is still cold. ``autoscale`` is None if
    upstreams cannot be ordered.
    """

    name: str
    max_connections: int
    cold_rate: float = 0
    engine: Engine | None = None
    autoscale: Autoscale | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Client:
    """A client account with its API keys, which are secret.

    ``regions`` restricts the upstreams; it is None for no restriction.
    """

    name: str
    keys: frozenset[str] = dataclasses.field(repr=False)
    priority: int | None = None
    regions: frozenset[str] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on callers' requests; sizes in bytes, times in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of the configuration that operators publish."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    clients: tuple[Client, ...]
    limits: CallerLimits

    @functools.cached_property
    def requires_key(self) -> bool:
        """Tell whether callers must present an API key."""
        return bool(self.clients)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``, if any."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def client_by_key(self, key: str) -> Client | None:
        """Return the client account with an API key, if any."""
        return self._clients_by_key.get(key)

    def priorities(self, service: str) -> frozenset[int]:
        """Return the priorities that requests of a service may have."""
        return self._priorities_by_service.get(service, frozenset())

    @functools.cached_property
    def _priorities_by_service(self) -> dict[str, frozenset[int]]:
        of_clients = {client.priority for client in self.clients}
        services: dict[str, frozenset[int]] = {}
        for route in self.routes:
            stated = set() if route.public else of_clients
            priorities = {
                route.priority_for(priority) for priority in stated or {None}
            }
            for target in route.targets:
                known = services.get(target.service, frozenset())
                services[target.service] = known | priorities
        return services

    @functools.cached_property
    def _routes_by_host(self) -> dict[str, list[Route]]:
        hosts: dict[str, list[Route]] = {}
        longest_first = sorted(
            self.routes,
            key=lambda route: len(route.prefix),
            reverse=True,
        )
        for route in longest_first:
            hosts.setdefault(route.host, []).append(route)
        return hosts

    @functools.cached_property
    def _clients_by_key(self) -> dict[str, Client]:
        # A request without a key has an empty one.
        return {
            key: client for client in self.clients for key in client.keys if key
        }
