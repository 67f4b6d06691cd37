"""Responses that callers receive from a gateway over real connections."""

import asyncio

import pytest

from primroseyoke.gateway.listeners import ResponseWriter
from primroseyoke.gateway.requests import CallerRequest
from tests.gateway.deployment import (
    API_KEY,
    configuration,
    deployment,
    wait_until,
)
from tests.standins.platform import StandInUpstream, answer_ok

NOT_EXECUTED = (b'x-primroseyoke-not-executed', b'1')


async def fail(
    upstream: StandInUpstream,
    request: CallerRequest,
    response: ResponseWriter,
) -> None:
    response.respond(500, upstream.signature_headers(request), b'broken')


async def reject(
    upstream: StandInUpstream,
    request: CallerRequest,
    response: ResponseWriter,
) -> None:
    response.respond(503, [NOT_EXECUTED], b'')


async def reset(
    upstream: StandInUpstream,
    request: CallerRequest,
    response: ResponseWriter,
) -> None:
    response.abort()


async def hang(
    upstream: StandInUpstream,
    request: CallerRequest,
    response: ResponseWriter,
) -> None:
    await asyncio.sleep(60)


async def respond_unsigned(
    upstream: StandInUpstream,
    request: CallerRequest,
    response: ResponseWriter,
) -> None:
    response.respond(200, (), b'whose answer is this?')


async def truncate(
    upstream: StandInUpstream,
    request: CallerRequest,
    response: ResponseWriter,
) -> None:
    response.start(
        200, [*upstream.signature_headers(request), (b'content-length', b'100')]
    )
    await response.send(b'half')
    response.abort()


def events(
    first: int,
    last: int,
    truncated: bool = False,
) -> bytes:
    complete_events = b''.join(
        b'id: %d\ndata: token %d\n\n' % (number, number)
        for number in range(first, last + 1)
    )
    return (
        complete_events + b'id: %d\ndata: to' % (last + 1)
        if truncated
        else complete_events
    )


async def stream(
    upstream: StandInUpstream,
    request: CallerRequest,
    response: ResponseWriter,
) -> None:
    start = int(request.last_event_id or 0) + 1
    response.start(200, upstream.signature_headers(request))
    for number in range(start, 7):
        await response.send(events(number, number))
        await asyncio.sleep(0.01)
    response.finish()


async def stream_and_break(
    upstream: StandInUpstream,
    request: CallerRequest,
    response: ResponseWriter,
) -> None:
    response.start(200, upstream.signature_headers(request))
    await response.send(events(1, 3, truncated=True))
    await asyncio.sleep(0.05)
    response.abort()


def test_requests_reach_the_service_of_their_route() -> None:
    async def scenario() -> None:
        async with deployment(app=(answer_ok,)) as system:
            received = await system.call('/lookup/sheet?id=4')
            assert (received.status, received.body) == (200, b'done by app-0')
            seen = system.upstreams['app-0'].received_requests[0]
            assert seen.request.target == '/lookup/sheet?id=4'
            assert seen.headers[b'x-primroseyoke-request-id'] == b'r-1'
            assert received.headers['x-primroseyoke-response-signature']

    asyncio.run(scenario())


def test_the_api_key_is_not_forwarded() -> None:
    async def scenario() -> None:
        async with deployment(app=(answer_ok,)) as system:
            await system.call('/lookup/', X_Primroseyoke_Tenant='somebody')
            upstream = system.upstreams['app-0']
            request = upstream.received_requests[0].request
            assert not request.api_key
            assert request.timeout <= 3

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [
        ('/nowhere/', API_KEY, 404),
        ('/lookup/', 'wrong', 401),
        ('/lookup/', '', 401),
        ('/open/', '', 200),
    ],
)
def test_requests_are_authorized_by_route_and_key(
    path: str,
    key: str,
    status: int,
) -> None:
    async def scenario() -> None:
        async with deployment(app=(answer_ok,)) as system:
            received = await system.call(path, key=key)
            assert received.status == status

    asyncio.run(scenario())


def test_without_a_configuration_requests_get_503_with_retry_after() -> None:
    async def scenario() -> None:
        async with deployment(configured=False) as system:
            received = await system.call('/lookup/')
            assert received.status == 503
            assert float(received.headers['retry-after']) > 0

    asyncio.run(scenario())


def test_an_unknown_route_gets_503_while_the_configuration_is_stale() -> None:
    async def scenario() -> None:
        async with deployment(app=(answer_ok,)) as system:
            system.store.down = True
            system.store.stop()
            routing_state = system.gateway.routing_state
            routing_state.confirmed_at -= 10
            received = await system.call('/nowhere/')
            assert received.status == 503

    asyncio.run(scenario())


def test_an_idempotent_request_is_retried_after_a_failure() -> None:
    async def scenario() -> None:
        async with deployment(app=(fail, answer_ok)) as system:
            for number in range(6):
                received = await system.call(
                    '/lookup/', request_id=f'r{number}'
                )
                assert received.status == 200

    asyncio.run(scenario())


def test_the_error_of_the_last_upstream_is_forwarded_unchanged() -> None:
    async def scenario() -> None:
        async with deployment(app=(fail, fail)) as system:
            received = await system.call('/lookup/')
            assert (received.status, received.body) == (500, b'broken')
            assert received.headers['x-primroseyoke-response-signature']

    asyncio.run(scenario())


@pytest.mark.parametrize('handler', [reset, respond_unsigned, truncate])
def test_a_non_idempotent_request_that_may_have_run_is_not_retried(
    handler,
) -> None:
    async def scenario() -> None:
        async with deployment(app=(handler, handler)) as system:
            received = await system.call('/book/', 'POST', b'hold')
            assert received.status == 502
            sent = sum(
                len(each.received_requests)
                for each in system.upstreams.values()
            )
            assert sent == 1

    asyncio.run(scenario())


def test_a_rejected_non_idempotent_request_is_retried_elsewhere() -> None:
    async def scenario() -> None:
        async with deployment(app=(reject, answer_ok)) as system:
            for number in range(4):
                received = await system.call(
                    '/book/',
                    'POST',
                    b'hold',
                    request_id=f'r{number}',
                )
                assert received.status == 200

    asyncio.run(scenario())


def test_a_refusal_has_a_retry_after_header() -> None:
    async def scenario() -> None:
        async with deployment(app=(reject,)) as system:
            received = await system.call('/book/', 'POST', b'hold')
            assert received.status == 503
            assert float(received.headers['retry-after']) > 0
            assert b'not_run' in received.body

    asyncio.run(scenario())


def test_a_request_without_a_response_gets_504_at_its_deadline() -> None:
    async def scenario() -> None:
        async with deployment(app=(hang,)) as system:
            received = await system.call('/book/', 'POST', timeout_ms=300)
            assert received.status == 504
            await wait_until(
                lambda: system.upstreams['app-0'].received_requests[0].cancelled
            )

    asyncio.run(scenario())


def test_a_stream_is_forwarded_unchanged() -> None:
    async def scenario() -> None:
        async with deployment(model=(stream,)) as system:
            received = await system.call('/draft/', 'POST')
            assert received.complete
            assert received.body == events(1, 6)

    asyncio.run(scenario())


def test_a_broken_stream_resumes_at_another_upstream() -> None:
    async def scenario() -> None:
        async with deployment(model=(stream_and_break, stream)) as system:
            for number in range(4):
                received = await system.call(
                    '/draft/',
                    'POST',
                    request_id=f'r{number}',
                )
                assert received.complete
                assert received.body == events(1, 6)

    asyncio.run(scenario())


@pytest.mark.parametrize('framing', ['empty', 'chunked', 'closed'])
def test_a_stream_is_not_complete_without_an_event_after_it_resumed(
    framing,
) -> None:
    """Guards against a stream that lacks its end and looks complete.

    The upstream that resumes it answers with success and without an event.
    """

    async def resume_without_events(
        upstream: StandInUpstream,
        request: CallerRequest,
        response: ResponseWriter,
    ) -> None:
        headers = upstream.signature_headers(request)
        if not request.last_event_id:
            await stream_and_break(upstream, request, response)
        elif framing == 'empty':
            response.respond(200, headers, b'')
        elif framing == 'chunked':
            response.start(200, headers)
            response.finish()
        else:
            response.start(200, [*headers, (b'connection', b'close')])
            response.connection.close()

    async def scenario() -> None:
        handlers = (resume_without_events, resume_without_events)
        async with deployment(model=handlers) as system:
            received = await system.call('/draft/', 'POST')
            assert received.body == events(1, 3)
            assert not received.complete

    asyncio.run(scenario())


def test_a_broken_stream_that_is_not_resumable_ends_incomplete() -> None:
    async def scenario() -> None:
        async with deployment(model=(stream_and_break,)) as system:
            received = await system.call('/once/', 'POST')
            assert not received.complete
            assert received.body == events(1, 3)

    asyncio.run(scenario())


def test_a_disconnect_of_the_caller_cancels_the_upstream_request() -> None:
    async def scenario() -> None:
        async with deployment(app=(hang,)) as system:
            call = asyncio.ensure_future(system.call('/lookup/'))
            upstream = system.upstreams['app-0']
            await wait_until(lambda: bool(upstream.received_requests))
            call.cancel()
            await wait_until(
                lambda: upstream.received_requests[0].cancelled, 0.5
            )

    asyncio.run(scenario())


def test_a_duplicate_response_is_not_forwarded_to_the_next_request() -> None:
    async def twice(
        upstream: StandInUpstream,
        request: CallerRequest,
        response: ResponseWriter,
    ) -> None:
        response.respond(200, upstream.signature_headers(request), b'first')
        name = upstream.name.encode()
        response.connection.write(
            b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n'
            b'X-Primroseyoke-Request-Id: %s\r\n'
            b'X-Primroseyoke-Response-Signature: %s\r\n\r\nextra'
            % (request.request_id.encode(), name)
        )

    async def scenario() -> None:
        async with deployment(app=(twice,)) as system:
            for number in range(5):
                received = await system.call(
                    '/lookup/',
                    request_id=f'r{number}',
                )
                assert received.body == b'first'

    asyncio.run(scenario())


def test_a_newer_configuration_is_applied_and_an_older_ignored() -> None:
    async def scenario() -> None:
        async with deployment(app=(answer_ok,)) as system:
            system.store.put('keyed.op', 'config', configuration(7, tenants=[]))
            routing_state = system.gateway.routing_state
            await wait_until(
                lambda: routing_state.configuration.version == 7, 1
            )
            assert (await system.call('/lookup/', key='')).status == 200
            system.store.put('keyed.op', 'config', configuration(3))
            await asyncio.sleep(0.2)
            assert routing_state.configuration.version == 7

    asyncio.run(scenario())


def test_an_evacuated_zone_gets_no_requests() -> None:
    async def scenario() -> None:
        async with deployment(app=(answer_ok,)) as system:
            system.store.put('keyed.op', 'evacuate/zone-a', {})
            registry = system.gateway.routing_state.registry
            await wait_until(lambda: bool(registry.zones_out), 1)
            assert (await system.call('/lookup/')).status == 503
            system.store.put('keyed.op', 'evacuate/zone-a', b'')
            await wait_until(lambda: not registry.zones_out, 1)
            assert (await system.call('/lookup/')).status == 200

    asyncio.run(scenario())
