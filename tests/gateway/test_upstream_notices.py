"""Upstreams that state in their responses that they leave or want a pause."""

import asyncio
import time
from unittest import mock

import pytest

from primroseyoke.gateway import connection_pool
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


def test_a_pause_outlasts_the_upstreams_entry_in_the_store():
    """Guards against pauses that are forgotten with an entry that comes back.

    An entry lapses while its upstream lives, or is missing from an older copy
    that the store comes back from.
    """

    async def scenario() -> None:
        headers = [NOT_EXECUTED, (b'retry-after', b'20')]
        handlers = (answering(headers, 503), answer_ok)
        async with deployment(app=handlers) as system:
            await call_until_received(system, 'app-0')
            upstream = system.upstreams['app-0']
            known = system.gateway.routing_state.registry.upstreams
            system.store.put('keyed.servers', 'app-0', b'')
            await wait_until(lambda: 'app-0' not in known)
            system.store.put('keyed.servers', 'app-0', upstream.entry('app'))
            await wait_until(lambda: 'app-0' in known)
            assert set(await call_often(system)) == {200}
            assert not upstream.received_requests

    asyncio.run(scenario())


@pytest.mark.parametrize('statement', [(b'retry-after', b'20'), LEAVING])
@pytest.mark.parametrize('is_spent', [False, True])
def test_requests_that_wait_for_a_connection_are_held_back_too(
    statement, is_spent
):
    """Guards against requests that were chosen before the upstream's word.

    Their connections are opened, for example, after lost packets.
    """

    async def scenario() -> None:
        headers = [NOT_EXECUTED, statement]
        handlers = (answering(headers, 503), answer_ok)
        async with deployment(app=handlers) as system:
            upstream = system.upstreams['app-0']
            opened = asyncio.Event()
            waiting = []
            if is_spent:
                system.gateway.retry_budget.ratio = 0
                system.gateway.retry_budget.slack = 0
            connect = connection_pool.connect

            async def connect_late(host, port, timeout):
                connection = await connect(host, port, timeout)
                if port == upstream.port and waiting:
                    await opened.wait()
                if port == upstream.port:
                    waiting.append(connection)
                return connection

            with mock.patch.object(connection_pool, 'connect', connect_late):
                calls = [
                    asyncio.ensure_future(system.call('/lookup/x'))
                    for _ in range(12)
                ]
                await wait_until(lambda: bool(upstream.received_requests))
                await asyncio.sleep(0.1)
                opened.set()
                responses = await asyncio.gather(*calls)
            assert len(upstream.received_requests) == 1
            # Only the request that was sent and rejected needed a retry.
            statuses = sorted(response.status for response in responses)
            assert statuses == [200] * 11 + [503 if is_spent else 200]

    asyncio.run(scenario())


def test_the_upstream_that_answers_gets_the_pause_not_the_one_at_fault():
    async def scenario() -> None:
        headers = [
            NOT_EXECUTED,
            (b'retry-after', b'20'),
            (b'at-server', b'app-1'),
        ]
        handlers = (answering(headers, 503), answer_ok)
        async with deployment(app=handlers) as system:
            await call_until_received(system, 'app-0')
            assert set(await call_often(system)) == {200}
            assert not system.upstreams['app-0'].received_requests
            assert len(system.upstreams['app-1'].received_requests) >= 40

    asyncio.run(scenario())
