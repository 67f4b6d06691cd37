"""Slow and stalled streams, copies of responses, and requests at a stop."""

import asyncio
import signal
import time

from primroseyoke.gateway.listeners import ResponseWriter
from primroseyoke.gateway.requests import CallerRequest
from tests.gateway.deployment import (
    API_KEY,
    VIRTUAL_HOST,
    configuration,
    deployment,
    route,
    wait_until,
)
from tests.gateway.test_proxy import events, stream
from tests.standins.platform import StandInUpstream, answer_ok


async def send_bytes_without_events(
    upstream: StandInUpstream,
    request: CallerRequest,
    response: ResponseWriter,
) -> None:
    """Send two events, and then a byte now and then."""
    response.start(200, upstream.signature_headers(request))
    await response.send(events(1, 2))
    while True:
        await response.send(b'd')
        await asyncio.sleep(0.2)


async def stream_slowly(
    upstream: StandInUpstream,
    request: CallerRequest,
    response: ResponseWriter,
) -> None:
    response.start(200, upstream.signature_headers(request))
    for number in range(1, 4):
        await response.send(events(number, number))
        await asyncio.sleep(1.6)
    response.finish()


def test_a_stream_that_sends_bytes_but_no_events_continues_elsewhere() -> None:
    """Guards against stalled streams that are kept by a byte now and then."""

    async def scenario() -> None:
        handlers = (send_bytes_without_events, stream)
        async with deployment(model=handlers) as system:
            system.gateway.balancer.in_flight.record_start('model-1')
            started = time.monotonic()
            received = await system.call('/draft/', 'POST', timeout_ms=4000)
            assert received.complete
            assert received.body == events(1, 6)
            assert time.monotonic() - started < 2.0

    asyncio.run(scenario())


def test_a_slow_stream_within_its_objectives_is_not_cut() -> None:
    """Guards against a fixed timeout that ends slow but sound streams."""

    async def scenario() -> None:
        async with deployment(model=(stream_slowly, stream_slowly)) as system:
            slow = route(
                '/slow/',
                'streaming',
                'model',
                resumable=True,
                gapAimMs=2000,
                timeoutMs=20000,
            )
            changed = configuration(2)
            changed['routes'] = [*changed['routes'], slow]
            system.store.put('keyed.op', 'config', changed)
            state = system.gateway.routing_state
            await wait_until(lambda: state.configuration.version == 2)
            received = await system.call('/slow/', 'POST', timeout_ms=20000)
            assert received.complete
            assert received.body == events(1, 3)
            requests = [
                len(upstream.received_requests)
                for upstream in system.upstreams.values()
            ]
            assert sorted(requests) == [0, 1]

    asyncio.run(scenario())


def test_a_response_without_an_id_on_a_used_connection_is_not_forwarded() -> (
    None
):
    """Guards against the late copy of a response that reaches the next caller.

    The copy arrives in the instant in which the connection is used again.
    """

    async def respond_or_repeat(
        upstream: StandInUpstream,
        request: CallerRequest,
        response: ResponseWriter,
    ) -> None:
        if len(upstream.received_requests) == 2:
            response.connection.write(
                b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n'
                b'x-primroseyoke-response-signature: s\r\n\r\nother'
            )
        await answer_ok(upstream, request, response)

    async def scenario() -> None:
        async with deployment(app=(respond_or_repeat,)) as system:
            first = await system.call('/book/', 'POST', request_id='r-1')
            second = await system.call('/book/', 'POST', request_id='r-2')
            assert first.body == b'done by app-0'
            assert second.body != b'other'
            assert second.status == 502

    asyncio.run(scenario())


def test_a_request_that_is_being_read_at_a_stop_is_answered() -> None:
    """Guards against a planned stop that cuts requests just accepted.

    The gateway used to exit once no complete request was in progress.
    """

    async def scenario() -> None:
        async with deployment(app=(answer_ok,), grace=6) as system:
            address = system.gateway.settings.callers
            reader, writer = await asyncio.open_connection(
                address.host, address.port
            )
            writer.write(
                f'POST /lookup/ HTTP/1.1\r\nHost: {VIRTUAL_HOST}\r\n'
                f'Authorization: Bearer {API_KEY}\r\n'
                f'X-Primroseyoke-Request-Id: r-1\r\n'
                f'X-Primroseyoke-Request-Timeout-Ms: 5000\r\n'
                f'Content-Length: 4\r\n\r\nh'.encode()
            )
            listener = system.gateway.request_listener
            await wait_until(lambda: bool(listener.connections))
            signal.raise_signal(signal.SIGTERM)
            for part in (b'a', b'lf'):
                await asyncio.sleep(1.6)
                writer.write(part)
            content = await asyncio.wait_for(reader.read(4096), 2)
            assert content.startswith(b'HTTP/1.1 200')
            assert b'connection: close' in content.lower()
            writer.close()

    asyncio.run(scenario())
