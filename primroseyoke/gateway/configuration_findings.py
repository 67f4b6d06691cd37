"""Entries of a configuration that have no effect or contradict each other."""

import collections
import dataclasses
from collections.abc import Iterable

from .configuration import Configuration, Route

__all__ = (
    'ExcessAttempts',
    'Finding',
    'InvalidAutoscale',
    'RepeatedService',
    'RouteWithoutWeight',
    'ShadowedRoute',
    'SharedKeys',
    'TimeoutBelowObjective',
    'UnknownService',
    'UnusedService',
    'find_contradictions',
)


@dataclasses.dataclass(frozen=True, slots=True)
class ShadowedRoute:
    """A route that never matches: an earlier one has its host and prefix.

    ``index`` and ``earlier`` are positions in ``Configuration.routes``.
    """

    index: int
    name: str
    earlier: int


@dataclasses.dataclass(frozen=True, slots=True)
class SharedKeys:
    """API keys that several accounts hold; the last account gets the requests.

    ``indices`` are positions in ``Configuration.clients``, ``count`` is the
    number of keys. The keys themselves are secret and not part of a finding.
    """

    indices: tuple[int, ...]
    names: tuple[str, ...]
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnusedService:
    """A service that no route refers to."""

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownService:
    """A route refers to a service that the configuration does not have."""

    index: int
    name: str
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class TimeoutBelowObjective:
    """Responses of a route end before its objective; times in seconds."""

    index: int
    name: str
    timeout: float
    objective: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExcessAttempts:
    """A route allows several attempts, but its requests may not be repeated."""

    index: int
    name: str
    attempts: int


@dataclasses.dataclass(frozen=True, slots=True)
class RouteWithoutWeight:
    """A route whose targets have no weight in total, or that has no target."""

    index: int
    name: str
    target_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidAutoscale:
    """Bounds that the decoder ignored, so that no upstreams are ordered."""

    service: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class RepeatedService:
    """A service that is listed several times; the last entry applies."""

    service: str
    count: int


Finding = (
    ShadowedRoute
    | SharedKeys
    | UnusedService
    | UnknownService
    | TimeoutBelowObjective
    | ExcessAttempts
    | RouteWithoutWeight
    | InvalidAutoscale
    | RepeatedService
)


def find_contradictions(configuration: Configuration) -> tuple[Finding, ...]:
    """Return the findings: those of routes, then services, then accounts.

    The duration is linear in the size of the configuration.
    """
    return (
        *_find_in_routes(configuration),
        *_find_unused_services(configuration),
        *_find_shared_keys(configuration),
    )


def _find_in_routes(configuration: Configuration) -> Iterable[Finding]:
    first_by_pattern: dict[tuple[str, str], int] = {}
    for index, route in enumerate(configuration.routes):
        # ``Configuration.match`` takes the first of the longest prefixes.
        earlier = first_by_pattern.setdefault((route.host, route.prefix), index)
        if earlier != index:
            yield ShadowedRoute(index, route.name, earlier)
        for target in route.targets:
            if target.service not in configuration.services:
                yield UnknownService(index, route.name, target.service)
        yield from _find_in_limits(index, route)


def _find_in_limits(index: int, route: Route) -> Iterable[Finding]:
    if route.timeout < route.objective:
        yield TimeoutBelowObjective(
            index, route.name, route.timeout, route.objective
        )
    if route.attempts > 1 and not route.retryable:
        yield ExcessAttempts(index, route.name, route.attempts)
    if not any(target.weight for target in route.targets):
        yield RouteWithoutWeight(index, route.name, len(route.targets))


def _find_unused_services(
    configuration: Configuration,
) -> Iterable[UnusedService]:
    used = {
        target.service
        for route in configuration.routes
        for target in route.targets
    }
    for service in configuration.services:
        if service not in used:
            yield UnusedService(service)


def _find_shared_keys(configuration: Configuration) -> Iterable[SharedKeys]:
    holders_by_key = collections.defaultdict(list)
    for index, client in enumerate(configuration.clients):
        for key in client.keys:
            holders_by_key[key].append(index)
    counts = collections.Counter(
        tuple(holders)
        for holders in holders_by_key.values()
        if len(holders) > 1
    )
    for holders, count in sorted(counts.items()):
        names = tuple(configuration.clients[holder].name for holder in holders)
        yield SharedKeys(holders, names, count)
