"""Calls of the HTTP client over one persistent connection."""

import asyncio

import pytest

from primroseyoke.exceptions import ServiceRefused, ServiceUnavailable
from primroseyoke.gateway.http_client import HttpClient
from primroseyoke.gateway.listeners import ResponseWriter
from primroseyoke.gateway.requests import CallerRequest
from tests.gateway.deployment import free_port
from tests.standins.platform import StandInUpstream


async def slow_or_quick(
    upstream: StandInUpstream,
    request: CallerRequest,
    response: ResponseWriter,
) -> None:
    if request.path == '/slow':
        await asyncio.sleep(0.3)
    if request.path == '/never':
        await asyncio.sleep(60)
    response.respond(200, (), request.path.encode())


def test_a_timed_out_call_does_not_affect_the_call_before() -> None:
    """Guards against a time-out that closes the connection of another call.

    Both calls share the connection; the second waits for its lock.
    """

    async def scenario() -> None:
        upstream = StandInUpstream('u', slow_or_quick)
        await upstream.start()
        client = HttpClient('127.0.0.1', upstream.port)
        first = asyncio.ensure_future(client.call('GET', '/slow'))
        await asyncio.sleep(0.05)
        with pytest.raises(ServiceUnavailable):
            await client.call('GET', '/quick', timeout=0.05)
        assert (await first).body == b'/slow'
        upstream.stop()

    asyncio.run(scenario())


def test_a_late_response_is_not_returned_to_the_next_call() -> None:
    async def scenario() -> None:
        upstream = StandInUpstream('u', slow_or_quick)
        await upstream.start()
        client = HttpClient('127.0.0.1', upstream.port)
        for path in ('/never', '/slow'):
            with pytest.raises(ServiceUnavailable):
                await client.call('GET', path, timeout=0.1)
        assert (await client.call('GET', '/quick')).body == b'/quick'
        upstream.stop()

    asyncio.run(scenario())


def test_a_refused_connection_raises_service_refused() -> None:
    async def scenario() -> None:
        with pytest.raises(ServiceRefused):
            await HttpClient('127.0.0.1', free_port()).call('GET', '/')

    asyncio.run(scenario())


def test_an_endless_body_ends_the_call() -> None:
    """Guards against memory taken by a service that sends without end."""
    sent = 0

    async def send_endlessly(
        upstream: StandInUpstream,
        request: CallerRequest,
        response: ResponseWriter,
    ) -> None:
        nonlocal sent
        response.start(200, ())
        while not response.connection.ended:
            await response.send(b'x' * 65536)
            sent += 65536

    async def scenario() -> None:
        upstream = StandInUpstream('u', send_endlessly)
        await upstream.start()
        client = HttpClient('127.0.0.1', upstream.port)
        with pytest.raises(ServiceUnavailable, match='body over'):
            await client.call('GET', '/', timeout=20)
        assert sent < 2**26
        upstream.stop()

    asyncio.run(scenario())
