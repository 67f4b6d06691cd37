"""Upstreams that state in their responses how many requests they take."""

import asyncio
import collections
import time

import pytest

from primroseyoke.gateway.admin import AdminEndpoints
from primroseyoke.gateway.listeners import ResponseWriter
from primroseyoke.gateway.requests import CallerRequest
from tests.gateway.deployment import Deployment, deployment
from tests.standins.platform import (
    RequestHandler,
    StandInUpstream,
    answer_ok,
)

LIMIT = 1.0
# The bound of the users in any 4 s: 1.5 times the limit and 5 requests.
MAX_REQUESTS = 11
CALL_INTERVAL_SECONDS = 0.05


def limited(arrivals: list[float], stated: list[bytes]) -> RequestHandler:
    """Return a handler that states a limit while ``stated`` has one."""

    async def answer(
        upstream: StandInUpstream,
        request: CallerRequest,
        response: ResponseWriter,
    ) -> None:
        arrivals.append(time.monotonic())
        headers = [
            *upstream.signature_headers(request),
            *((b'server-limit', content) for content in stated),
        ]
        response.respond(200, headers, b'done')

    return answer


async def call_for(
    system: Deployment, seconds: float
) -> collections.Counter[int]:
    """Call often; return the number of responses by status."""
    calls = []
    for number in range(round(seconds / CALL_INTERVAL_SECONDS)):
        calls.append(
            asyncio.ensure_future(
                system.call('/lookup/x', request_id=f'r-{number}')
            )
        )
        await asyncio.sleep(CALL_INTERVAL_SECONDS)
    responses = await asyncio.gather(*calls)
    return collections.Counter(response.status for response in responses)


async def wait_for_hosts(system: Deployment) -> None:
    """Wait until the gateway may use rates that it shares."""
    while not system.gateway.balancer.limits.sharing.hosts:
        await asyncio.sleep(0.05)


def test_upstream_gets_no_more_than_the_limit_that_it_states():
    """Guards against overload of an upstream that asks for fewer requests.

    The other upstream of the service takes the rest.
    """
    arrivals: list[float] = []

    async def scenario() -> None:
        handlers = (limited(arrivals, [b'%.1f' % LIMIT]), answer_ok)
        async with deployment(app=handlers) as system:
            await wait_for_hosts(system)
            await system.call('/lookup/x')
            while not arrivals:
                await system.call('/lookup/x')
            await asyncio.sleep(0.5)
            arrivals.clear()
            statuses = await call_for(system, 6)
            assert statuses == {200: 120}

    asyncio.run(scenario())
    most = max(
        sum(start <= at < start + 4 for at in arrivals) for start in arrivals
    )
    assert 3 <= most <= MAX_REQUESTS


def test_limit_ends_with_the_first_response_that_states_none():
    """Guards against an upstream that is spared after its need has ended."""
    arrivals: list[float] = []
    stated = [b'0.5']

    async def scenario() -> None:
        handlers = (limited(arrivals, stated),)
        async with deployment(app=handlers) as system:
            await wait_for_hosts(system)
            assert (await system.call('/lookup/x')).status == 200
            stated.clear()
            refused = await call_for(system, 3)
            assert refused[503]
            statuses = await call_for(system, 2)
            assert statuses == {200: 40}

    asyncio.run(scenario())


def test_callers_are_refused_at_once_if_all_upstreams_have_no_room():
    """Guards against requests that wait in vain until their deadline."""

    async def scenario() -> None:
        handlers = (limited([], [b'0.1']), limited([], [b'0.1']))
        async with deployment(app=handlers) as system:
            await wait_for_hosts(system)
            for _ in range(3):
                await system.call('/lookup/x')
            started = time.monotonic()
            response = await system.call('/lookup/x', timeout_ms=3000)
            assert response.status == 503
            assert time.monotonic() - started < 0.2
            assert 0.1 <= float(response.headers['retry-after']) <= 1

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'stated',
    [[b'x'], [b'-1'], [b'1e9'], [b''], [b'inf'], [b'1', b'2'], [b'0']],
    ids=str,
)
def test_odd_limits_take_no_upstream_away_for_good(stated):
    """Guards against a wrong statement that keeps all requests away."""

    async def scenario() -> None:
        async with deployment(app=(limited([], stated), answer_ok)) as system:
            await wait_for_hosts(system)
            statuses = await call_for(system, 1)
            assert statuses == {200: 20}
            state = AdminEndpoints(system.gateway).state(time.monotonic())
            limit = state['upstreams']['app-0']['rate_limit']
            assert limit == (0 if stated == [b'0'] else None)

    asyncio.run(scenario())
