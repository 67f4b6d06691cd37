"""Upstreams that state in their responses that they leave or want a pause."""

import asyncio
import time

import pytest

from primroseyoke.gateway.admin import AdminEndpoints
from primroseyoke.gateway.listeners import ResponseWriter
from primroseyoke.gateway.requests import CallerRequest
from tests.gateway.deployment import Deployment, deployment, wait_until
from tests.standins.platform import (
    RequestHandler,
    StandInUpstream,
    answer_ok,
)

NOT_EXECUTED = (b'x-primroseyoke-not-executed', b'1')
LEAVING = (b'server-leaving', b'1')


def answering(
    headers: list[tuple[bytes, bytes]], status: int = 200
) -> RequestHandler:
    """Return a handler that answers with the ``headers`` of that moment."""

    async def answer(
        upstream: StandInUpstream,
        request: CallerRequest,
        response: ResponseWriter,
    ) -> None:
        rejected = status == 503 and bool(headers)
        response.respond(
            status if rejected else 200,
            [*upstream.signature_headers(request), *headers],
            b'',
        )

    return answer


async def call_until_received(system: Deployment, name: str) -> None:
    """Call until an upstream has received a request; then forget it."""
    upstream = system.upstreams[name]
    while not upstream.received_requests:
        assert (await system.call('/lookup/x')).status == 200
    upstream.received_requests.clear()


async def call_often(system: Deployment, count: int = 40) -> list[int]:
    return [(await system.call('/lookup/x')).status for _ in range(count)]


@pytest.mark.parametrize('store_away', [False, True])
def test_upstream_that_leaves_gets_nothing_new_whatever_the_store_says(
    store_away,
):
    """Guards against requests to an upstream that is about to stop."""

    async def scenario() -> None:
        handlers = (answering([LEAVING]), answer_ok)
        async with deployment(app=handlers) as system:
            leaving = system.upstreams['app-0']
            system.store.down = store_away
            await call_until_received(system, 'app-0')
            system.store.put(
                'keyed.servers', 'app-0', leaving.entry('app', seq=2)
            )
            assert set(await call_often(system)) == {200}
            await asyncio.sleep(0 if store_away else 1.2)
            assert set(await call_often(system)) == {200}
            assert not leaving.received_requests
            state = AdminEndpoints(system.gateway).state(0)
            assert state['upstreams']['app-0']['draining']

    asyncio.run(scenario())


def test_upstream_that_has_left_is_used_again_after_its_next_start():
    """Guards against an upstream that one response takes away for good."""

    async def scenario() -> None:
        headers = [LEAVING]
        handlers = (answering(headers), answer_ok)
        async with deployment(app=handlers) as system:
            await call_until_received(system, 'app-0')
            headers.clear()
            upstream = system.upstreams['app-0']
            system.store.put(
                'keyed.servers', 'app-0', upstream.entry('app', born=7)
            )
            registry = system.gateway.routing_state.registry
            await wait_until(lambda: registry.upstreams['app-0'].started_at > 0)
            await call_until_received(system, 'app-0')

    asyncio.run(scenario())


def test_upstream_that_wants_a_pause_gets_one():
    """Guards against requests that an upstream has said it will reject."""

    async def scenario() -> None:
        headers = [NOT_EXECUTED, (b'retry-after', b'1.5')]
        handlers = (answering(headers, 503), answer_ok)
        async with deployment(app=handlers) as system:
            await call_until_received(system, 'app-0')
            paused_at = time.monotonic()
            upstream = system.upstreams['app-0']
            # A response to an earlier request does not end the pause.
            system.gateway.balancer.health.record_success('app-0')
            while time.monotonic() < paused_at + 1.4:
                assert (await system.call('/lookup/x')).status == 200
            assert not upstream.received_requests
            headers.clear()
            await call_until_received(system, 'app-0')
            assert time.monotonic() < paused_at + 4

    asyncio.run(scenario())


def test_callers_are_refused_at_once_if_all_upstreams_want_a_pause():
    """Guards against requests that wait although no upstream takes them."""

    async def scenario() -> None:
        headers = [NOT_EXECUTED, (b'retry-after', b'20')]
        handlers = (answering(headers, 503), answering(headers, 503))
        async with deployment(app=handlers) as system:
            await system.call('/lookup/x')
            await system.call('/lookup/x')
            started = time.monotonic()
            response = await system.call('/lookup/x', timeout_ms=3000)
            assert response.status == 503
            assert time.monotonic() - started < 0.2
            assert 0.5 <= float(response.headers['retry-after']) <= 1

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'headers',
    [
        [(b'server-leaving', b'0')],
        [(b'server-leaving', b'')],
        [(b'server-leaving', b'true')],
        [LEAVING, LEAVING],
        [(b'retry-after', b'30')],
    ],
    ids=str,
)
def test_odd_statements_of_upstreams_that_answer_change_nothing(headers):
    """Guards against an upstream that is taken away by a wrong header."""

    async def scenario() -> None:
        handlers = (answering(headers), answer_ok)
        async with deployment(app=handlers) as system:
            await call_until_received(system, 'app-0')
            await call_until_received(system, 'app-0')

    asyncio.run(scenario())
