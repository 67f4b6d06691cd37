"""Detection of retried requests, and the regions of requests."""

import asyncio
import random
import time

import pytest

from primroseyoke.gateway.authorization import Authorizer
from primroseyoke.exceptions import RequestFailed
from primroseyoke.gateway.configuration import (
    CallerLimits,
    Client,
    Configuration,
    Execution,
    Route,
    Target,
)
from primroseyoke.gateway.routing_state import RoutingState
from primroseyoke.gateway.requests import CallerRequest
from primroseyoke.verdicts import Verdict
from tests.gateway.deployment import (
    API_KEY,
    configuration,
    deployment,
    route,
    wait_until,
)
from tests.standins.platform import answer_ok


def make_authorizer(
    regions: frozenset[str] | None = None, clients: tuple[Client, ...] = ()
) -> Authorizer:
    routing_state = RoutingState()
    route = Route(
        name='draft',
        host='h',
        prefix='/',
        execution=Execution.STREAM,
        targets=(Target('model', 1),),
        timeout=8,
        objective=0.5,
        regions=regions,
    )
    routing_state.apply_configuration(
        Configuration(1, (route,), {}, clients, CallerLimits())
    )
    return Authorizer(routing_state, random.Random(1))


def first_attempt_at(authorizer: Authorizer, timeout: float) -> float:
    request = CallerRequest(
        'POST', '/x', '/x', 'h', (), timeout=timeout, arrived_at=100
    )
    return authorizer.authorize(request, now=100).first_attempt_at


def test_slightly_shorter_timeout_is_a_first_attempt() -> None:
    """Guards against first attempts that are treated as late from the start.

    In production, the timeouts of callers differ by a share of up to 0.15.
    """
    authorizer = make_authorizer()
    assert first_attempt_at(authorizer, 8.04) == 100
    assert first_attempt_at(authorizer, 6.9) == 100


def test_much_shorter_timeout_is_a_repeated_attempt() -> None:
    authorizer = make_authorizer()
    first_attempt_at(authorizer, 8)
    assert first_attempt_at(authorizer, 5) == 97


NORTH, SOUTH = frozenset({'north'}), frozenset({'south'})
REQUEST = CallerRequest('POST', '/x', '/x', 'h', (), api_key='k', timeout=8)


@pytest.mark.parametrize(
    ('of_route', 'of_client', 'expected'),
    [
        (None, None, None),
        (NORTH, None, NORTH),
        (None, SOUTH, SOUTH),
        (NORTH | SOUTH, SOUTH, SOUTH),
    ],
)
def test_regions_of_route_and_client_hold_together(
    of_route: frozenset[str] | None,
    of_client: frozenset[str] | None,
    expected: frozenset[str] | None,
) -> None:
    client = Client('c', frozenset({'k'}), regions=of_client)
    authorizer = make_authorizer(of_route, (client,))
    assert authorizer.authorize(REQUEST, now=0).regions == expected


@pytest.mark.parametrize('of_route', [NORTH, frozenset()])
def test_a_request_without_a_region_in_common_is_refused(
    of_route: frozenset[str],
) -> None:
    """Guards against restrictions that cancel each other."""
    client = Client('c', frozenset({'k'}), regions=SOUTH)
    authorizer = make_authorizer(of_route, (client,))
    with pytest.raises(RequestFailed) as raised:
        authorizer.authorize(REQUEST, now=0)
    assert raised.value.verdict is Verdict.NOT_RUN
    assert raised.value.status == 503


@pytest.mark.parametrize(
    ('homes_of_client', 'status'), [(['south'], 503), (['south', 'north'], 200)]
)
def test_disjoint_regions_let_no_upstream_run_a_request(
    homes_of_client: list[str], status: int
) -> None:
    """Guards against a request that runs anywhere as no region is allowed."""

    async def scenario() -> None:
        async with deployment(
            app=(answer_ok,), region_of={'zone-a': 'north'}
        ) as system:
            restricted = route(
                '/hold/', 'non_idempotent', 'app', allowedRegions=['north']
            )
            account = {
                'name': 'workshop',
                'apiKeys': [API_KEY],
                'allowedRegions': homes_of_client,
            }
            system.store.put(
                'keyed.op',
                'config',
                configuration(2, routes=[restricted], tenants=[account]),
            )
            await wait_until(
                lambda: system.gateway.routing_state.configuration.version == 2
            )
            started = time.monotonic()
            response = await system.call('/hold/', 'POST')
            assert response.status == status
            assert time.monotonic() - started < 0.5
            runs = system.upstreams['app-0'].received_requests
            assert len(runs) == (status == 200)

    asyncio.run(scenario())
