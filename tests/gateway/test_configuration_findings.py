"""Each kind of finding of a configuration, and configurations without any."""

import dataclasses

import pytest

from primroseyoke.gateway.configuration import (
    CallerLimits,
    Client,
    Configuration,
    Execution,
    Route,
    Service,
    Target,
)
from primroseyoke.gateway.configuration_findings import (
    ExcessAttempts,
    RouteWithoutWeight,
    ShadowedRoute,
    SharedKeys,
    TimeoutBelowObjective,
    UnknownService,
    UnusedService,
    find_contradictions,
)

ROUTE = Route(
    name='lookup',
    host='shop.example',
    prefix='/lookup/',
    execution=Execution.IDEMPOTENT,
    targets=(Target('app', 1),),
    timeout=4.0,
    objective=0.5,
    attempts=2,
)


def configuration(
    *routes: Route,
    services: tuple[str, ...] = ('app',),
    clients: tuple[Client, ...] = (),
) -> Configuration:
    return Configuration(
        version=1,
        routes=routes or (ROUTE,),
        services={name: Service(name, 100) for name in services},
        clients=clients,
        limits=CallerLimits(),
    )


def altered(**changes: object) -> Route:
    return dataclasses.replace(ROUTE, **changes)


@pytest.mark.parametrize(
    'routes',
    [
        (ROUTE,),
        (ROUTE, altered(host='other.example')),
        (ROUTE, altered(prefix='/lookup/deep/')),
        (altered(timeout=0.5),),
        (altered(execution=Execution.NON_IDEMPOTENT, attempts=1),),
        (altered(execution=Execution.STREAM, resumable=True),),
        (altered(targets=(Target('app', 0), Target('app', 1))),),
    ],
)
def test_usual_routes_have_no_findings(routes: tuple[Route, ...]) -> None:
    """Guards against false findings, after which operators ignore all."""
    assert find_contradictions(configuration(*routes)) == ()


def test_route_behind_another_is_found() -> None:
    """Guards against a new route that silently never matches."""
    later = altered(name='new', timeout=1.0)
    found = configuration(ROUTE, altered(prefix='/'), later)
    assert found.match('shop.example', '/lookup/x') is ROUTE
    assert find_contradictions(found) == (ShadowedRoute(2, 'new', 0),)


def test_keys_of_two_accounts_are_found() -> None:
    """Guards against requests that count for another account."""
    clients = (
        Client('a', frozenset({'key-1', 'key-2', 'key-3'})),
        Client('b', frozenset({'key-4'})),
        Client('c', frozenset({'key-1', 'key-2'})),
    )
    found = configuration(clients=clients)
    assert found.client_by_key('key-1') is clients[2]
    findings = find_contradictions(found)
    assert findings == (SharedKeys((0, 2), ('a', 'c'), 2),)
    assert 'key-' not in repr(findings) + repr(found)


def test_service_without_route_is_found() -> None:
    """Guards against upstreams that are paid for and get no requests."""
    found = configuration(services=('app', 'old'))
    assert find_contradictions(found) == (UnusedService('old'),)


def test_route_to_unknown_service_is_found() -> None:
    """Guards against a misspelt service."""
    targets = (Target('app', 9), Target('aap', 1))
    found = configuration(altered(targets=targets))
    assert find_contradictions(found) == (UnknownService(0, 'lookup', 'aap'),)


def test_timeout_below_objective_is_found() -> None:
    """Guards against an objective that no late response can reach."""
    found = configuration(altered(timeout=0.4))
    expected = TimeoutBelowObjective(0, 'lookup', 0.4, 0.5)
    assert find_contradictions(found) == (expected,)


@pytest.mark.parametrize(
    'execution', [Execution.NON_IDEMPOTENT, Execution.STREAM]
)
def test_attempts_without_repetition_are_found(execution: Execution) -> None:
    """Guards against attempts that operators expect and that aren't made."""
    found = configuration(altered(execution=execution))
    assert find_contradictions(found) == (ExcessAttempts(0, 'lookup', 2),)


@pytest.mark.parametrize(
    'targets',
    [
        (),
        (Target('app', 0),),
        (Target('app', 0), Target('app', 0)),
    ],
)
def test_route_without_weight_is_found(targets: tuple[Target, ...]) -> None:
    """Guards against a split that no request can follow."""
    found = configuration(ROUTE, altered(prefix='/x/', targets=targets))
    expected = RouteWithoutWeight(1, 'lookup', len(targets))
    assert find_contradictions(found) == (expected,)
