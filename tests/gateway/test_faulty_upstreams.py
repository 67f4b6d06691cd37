"""Answers that faulty upstreams repeat, break off or do not frame."""

import asyncio
import contextlib

import pytest

from tests.gateway.deployment import Deployment, deployment, wait_until
from tests.standins.raw_upstreams import RawUpstream, reset

SIGNED = b'X-Primroseyoke-Response-Signature: s\r\n'
EVENTS = b'id: 1\ndata: one\n\nid: 2\ndata: two\n\n'


def head(status: bytes, request_id: str = '', fields: bytes = b'') -> bytes:
    echo = b''
    if request_id:
        echo = b'X-Primroseyoke-Request-Id: %s\r\n' % request_id.encode()
    return b'HTTP/1.1 %s\r\n%s%s\r\n' % (status, echo, fields)


def refusal(request_id: str) -> bytes:
    return head(
        b'503 Full',
        request_id,
        b'X-Primroseyoke-Not-Executed: 1\r\nContent-Length: 0\r\n',
    )


def answer(request_id: str) -> bytes:
    return head(b'200 OK', request_id, SIGNED + b'Content-Length: 4\r\n') + (
        b'done'
    )


@contextlib.asynccontextmanager
async def deployment_of(service, *handlers):
    """Run a gateway with raw upstreams; they are added one after another."""
    async with deployment() as system:
        known = system.gateway.routing_state.registry.upstreams
        for number, handler in enumerate(handlers):
            upstream = RawUpstream(f'raw-{number}', handler)
            await upstream.start()
            system.upstreams[upstream.name] = upstream
            system.store.put(
                'keyed.servers', upstream.name, upstream.entry(service)
            )
        await wait_until(lambda: set(system.upstreams) <= set(known))
        yield system


async def break_with_another(system, service, handler):
    """Let the first upstream break off once another one is known."""
    first = system.upstreams['raw-0']
    await wait_until(lambda: bool(first.request_ids))
    second = RawUpstream('raw-1', handler)
    await second.start()
    system.upstreams[second.name] = second
    system.store.put('keyed.servers', second.name, second.entry(service))
    known = system.gateway.routing_state.registry.upstreams
    await wait_until(lambda: second.name in known)
    first.proceed.set()
    return second


async def book(system: Deployment, request_id: str):
    return await system.call('/book/', 'POST', b'x', request_id=request_id)


@pytest.mark.parametrize('echoes', [True, False])
@pytest.mark.parametrize('answers', [True, False])
@pytest.mark.parametrize('delay', [0, 0.05])
def test_repeated_refusal_is_not_taken_for_the_next_one(
    echoes, answers, delay
) -> None:
    """Guards against ``not run`` for a request that an upstream is running.

    The upstream writes an earlier refusal once more on a kept connection, with
    or without the ID of its request, when the next request has arrived.
    """

    async def handle(upstream, reader, writer) -> None:
        first = await upstream.read_request(reader)
        writer.write(refusal(first))
        second = await upstream.read_request(reader)
        await asyncio.sleep(delay)
        writer.write(refusal(first if echoes else ''))
        await asyncio.sleep(delay)
        if answers:
            writer.write(answer(second))
        await asyncio.sleep(0.3)

    async def scenario() -> None:
        async with deployment_of('app', handle) as system:
            refused = await book(system, 'r-1')
            assert refused.status == 503
            # The connection is kept, and the upstream is used again.
            system.gateway.balancer.health.entries.clear()
            received = await book(system, 'r-2')
            expected = 200 if echoes and answers else 502
            assert received.status == expected
            assert system.upstreams['raw-0'].request_ids == ['r-1', 'r-2']

    asyncio.run(scenario())


async def begin_stream_and_break(upstream, reader, writer) -> None:
    request_id = await upstream.read_request(reader)
    fields = b'Content-Type: text/event-stream\r\n'
    writer.write(
        head(
            b'200 OK',
            request_id,
            SIGNED + fields + b'Transfer-Encoding: chunked\r\n',
        )
        + b'%x\r\n%s\r\n' % (len(EVENTS), EVENTS)
    )
    await upstream.proceed.wait()


ERRORS = {
    'failure': (b'500 Broken', SIGNED, b'error text\n\n'),
    'refusal': (b'503 Full', b'X-Primroseyoke-Not-Executed: 1\r\n', b'full'),
    'unsigned': (b'200 OK', b'', b'error text\n\n'),
    'error with a success status': (
        b'200 OK',
        SIGNED + b'Content-Type: application/json\r\n',
        b'{"error":\n\n1}\n\n',
    ),
    'large failure': (b'500 Broken', SIGNED, b'error ' * 100000),
}


@pytest.mark.parametrize('kind', ERRORS)
@pytest.mark.parametrize('framed', [True, False])
def test_error_of_the_next_upstream_is_not_part_of_a_stream(
    kind, framed
) -> None:
    """Guards against an error's text within a stream that had begun."""
    status, fields, body = ERRORS[kind]
    if framed:
        fields += b'Content-Length: %d\r\n' % len(body)

    async def fail(upstream, reader, writer) -> None:
        request_id = await upstream.read_request(reader)
        writer.write(head(status, request_id, fields) + body)
        await writer.drain()

    async def scenario() -> None:
        async with deployment_of('model', begin_stream_and_break) as system:
            stream = asyncio.ensure_future(
                system.call('/draft/', 'POST', b'x', timeout_ms=2000)
            )
            second = await break_with_another(system, 'model', fail)
            received = await stream
            assert second.request_ids
            assert (received.status, received.body) == (200, EVENTS)
            assert not received.complete

    asyncio.run(scenario())


@pytest.mark.parametrize('status', [b'500 Broken', b'200 OK'])
def test_large_response_that_breaks_is_not_continued_by_another(status) -> None:
    """Guards against a body that is made of the answers of two upstreams."""
    part = b'part ' * 80000

    async def break_off(upstream, reader, writer) -> None:
        request_id = await upstream.read_request(reader)
        writer.write(
            head(
                b'200 OK',
                request_id,
                SIGNED + b'Content-Length: %d\r\n' % (2 * len(part)),
            )
            + part
        )
        await writer.drain()
        await upstream.proceed.wait()

    async def answer_again(upstream, reader, writer) -> None:
        request_id = await upstream.read_request(reader)
        writer.write(
            head(
                status,
                request_id,
                SIGNED + b'Content-Length: %d\r\n' % len(part),
            )
            + part
        )
        await writer.drain()

    async def scenario() -> None:
        async with deployment_of('app', break_off) as system:
            call = asyncio.ensure_future(system.call('/lookup/'))
            second = await break_with_another(system, 'app', answer_again)
            received = await call
            assert not received.complete
            assert len(received.body) <= len(part)
            assert not second.request_ids

    asyncio.run(scenario())


HEADS = {
    'length': head(b'200 OK', 'r-1', SIGNED + b'Content-Length: 0\r\n'),
    'chunks': head(
        b'200 OK', 'r-1', SIGNED + b'Transfer-Encoding: chunked\r\n'
    ),
    'neither': head(b'200 OK', 'r-1', SIGNED),
}


@pytest.mark.parametrize('kind', HEADS)
@pytest.mark.parametrize('path', ['/book/', '/once/'])
def test_head_that_is_cut_is_no_success(kind, path) -> None:
    """Guards against a 200 with an empty body for a head that was cut."""
    content = HEADS[kind]
    line_ends = [
        place + shift
        for place, byte in enumerate(content)
        if byte == ord('\n')
        for shift in (-1, 0, 1)
    ]
    places = sorted({*line_ends, *range(1, len(content), 9)} - {len(content)})
    cuts = iter(places)

    async def cut(upstream, reader, writer) -> None:
        await upstream.read_request(reader)
        writer.write(content[: next(cuts)])

    async def scenario() -> None:
        service = 'model' if path == '/once/' else 'app'
        async with deployment_of(service, cut) as system:
            for _ in places:
                system.gateway.balancer.health.entries.clear()
                received = await system.call(path, 'POST', b'x')
                assert received.status == 502

    asyncio.run(scenario())


@pytest.mark.parametrize('is_reset', [True, False])
@pytest.mark.parametrize(
    ('path', 'body', 'is_whole'),
    [
        ('/lookup/', b'all of it', True),
        ('/lookup/', b'', True),
        ('/once/', EVENTS, True),
        ('/once/', EVENTS + b'id: 3\nda', False),
        ('/once/', EVENTS + b'id: 3\ndata: three\n', False),
    ],
)
def test_answer_that_ends_with_its_connection(
    path, body, is_whole, is_reset
) -> None:
    """Guards against answers without a length that are lost or cut."""

    async def respond(upstream, reader, writer) -> None:
        request_id = await upstream.read_request(reader)
        writer.write(head(b'200 OK', request_id, SIGNED) + body)
        await writer.drain()
        await asyncio.sleep(0.05)
        if is_reset:
            reset(writer)

    async def scenario() -> None:
        service = 'model' if path == '/once/' else 'app'
        async with deployment_of(service, respond) as system:
            received = await system.call(path, 'POST', b'x')
            if is_whole and not is_reset:
                assert received.status == 200
                assert received.complete
                assert received.body == body
            else:
                assert received.status == 502 or not received.complete

    asyncio.run(scenario())
