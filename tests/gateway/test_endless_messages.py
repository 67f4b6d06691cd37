"""Bytes without end from upstreams and callers, over real connections."""

import asyncio
import time
from collections.abc import Iterator

import pytest

from primroseyoke.gateway.listeners import ResponseWriter
from primroseyoke.gateway.requests import CallerRequest
from tests.gateway.deployment import (
    API_KEY,
    VIRTUAL_HOST,
    Deployment,
    deployment,
    wait_until,
)
from tests.standins.platform import StandInUpstream, answer_ok

SIGNED = b'HTTP/1.1 200 OK\r\nx-primroseyoke-response-signature: s\r\n'
CHUNKED = SIGNED + b'transfer-encoding: chunked\r\n\r\n'
# What an upstream sends: a beginning, and what it repeats after that.
ENDLESS = {
    'header lines': (SIGNED, b'x-a: b\r\n'),
    'one header': (SIGNED + b'x-a: ', b'aaaaaaaa'),
    'informational responses': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'no HTTP': (b'', b'\x00\xffnonsense'),
    'status line': (b'HTTP/1.1 200 ', b'OK OK OK'),
    'chunk extension': (CHUNKED + b'5;a=', b'aaaaaaaa'),
    'trailers': (CHUNKED + b'2\r\nok\r\n0\r\n', b'x-a: b\r\n'),
    'event': (CHUNKED, b'1000\r\n' + b'd' * 4096 + b'\r\n'),
    'response to another': (
        b'HTTP/1.1 200 OK\r\nx-primroseyoke-request-id: other\r\n'
        b'transfer-encoding: chunked\r\n\r\n',
        b'1000\r\n' + b'd' * 4096 + b'\r\n',
    ),
    'responses to others': (
        b'',
        b'HTTP/1.1 200 OK\r\nx-primroseyoke-request-id: other\r\n'
        b'content-length: 2\r\n\r\nok',
    ),
    'unsigned body': (
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
        b'1000\r\n' + b'd' * 4096 + b'\r\n',
    ),
}
# The gateway buffers less than this of any of them.
MAX_RECEIVED_BYTES = 16 * 2**20
MAX_SECONDS = 2.0
MAX_OTHER_SECONDS = 0.5


class EndlessUpstream:
    """Counts the bytes that are sent until the gateway closes."""

    def __init__(self, beginning: bytes, repeated: bytes) -> None:
        self.beginning = beginning
        self.block = repeated * (65536 // len(repeated))
        self.sent_bytes = 0
        self.closed = False

    async def respond(
        self,
        upstream: StandInUpstream,
        request: CallerRequest,
        response: ResponseWriter,
    ) -> None:
        connection = response.connection
        try:
            connection.write(self.beginning)
            while not connection.ended:
                connection.write(self.block)
                self.sent_bytes += len(self.block)
                await connection.drain()
                await asyncio.sleep(0)
        finally:
            self.closed = True


async def other_latency(system: Deployment) -> float:
    """Return the longest time of calls to a sound upstream meanwhile."""
    longest = 0.0
    for number in range(8):
        started = time.monotonic()
        other = await system.call('/open/', request_id=f'other-{number}')
        assert other.status == 200
        longest = max(longest, time.monotonic() - started)
    return longest


@pytest.mark.parametrize('path', ['/once/', '/draft/'])
@pytest.mark.parametrize('kind', ENDLESS)
def test_endless_bytes_of_an_upstream_end_in_a_truthful_error(
    kind: str, path: str
) -> None:
    """Guards against memory and time without bounds for bytes without end."""

    async def scenario() -> None:
        endless = EndlessUpstream(*ENDLESS[kind])
        async with deployment(
            app=(answer_ok,), model=(endless.respond,)
        ) as system:
            started = time.monotonic()
            call = asyncio.ensure_future(
                system.call(path, 'POST', timeout_ms=4000)
            )
            ended_at: list[float] = []
            call.add_done_callback(lambda _: ended_at.append(time.monotonic()))
            longest = await other_latency(system)
            received = await call
            assert not (received.status == 200 and received.complete)
            assert received.status in {0, 200, 502, 504}
            # The calls to the sound upstream may go on for longer.
            assert ended_at[0] - started < MAX_SECONDS
            assert longest < MAX_OTHER_SECONDS
            await wait_until(lambda: endless.closed, 2)
            assert endless.sent_bytes < MAX_RECEIVED_BYTES

    asyncio.run(scenario())


def test_bytes_beyond_a_complete_response_close_the_connection() -> None:
    async def scenario() -> None:
        endless = EndlessUpstream(
            SIGNED + b'content-length: 4\r\n\r\ndone', b'more'
        )
        async with deployment(app=(endless.respond,)) as system:
            received = await system.call('/book/', 'POST')
            assert (received.status, received.body) == (200, b'done')
            await wait_until(lambda: endless.closed, 2)
            assert not system.gateway.pool.idle_connections

    asyncio.run(scenario())


def caller_bytes(kind: str) -> Iterator[bytes]:
    head = (
        f'POST /lookup/ HTTP/1.1\r\nHost: {VIRTUAL_HOST}\r\n'
        f'Authorization: Bearer {API_KEY}\r\n'
    ).encode()
    if kind == 'header lines':
        yield head
        block = b'x-a: b\r\n' * 1000
    elif kind == 'target':
        yield b'GET /'
        block = b'a' * 8192
    elif kind == 'chunked body':
        yield head + b'transfer-encoding: chunked\r\n\r\n'
        block = b'2000\r\n' + b'a' * 8192 + b'\r\n'
    else:
        yield head + b'transfer-encoding: chunked\r\n\r\n'
        yield b'5;a='
        block = b'a' * 8192
    while True:
        yield block


@pytest.mark.parametrize(
    ('kind', 'status'),
    [
        ('header lines', b'431'),
        ('target', b'431'),
        ('chunked body', b'413'),
        ('chunk extension', b'4'),
    ],
)
def test_a_caller_whose_request_has_no_end_receives_an_error(
    kind: str, status: bytes
) -> None:
    """Guards against a reset that destroys the error response."""

    async def scenario() -> None:
        async with deployment(app=(answer_ok,)) as system:
            address = system.gateway.settings.callers
            reader, writer = await asyncio.open_connection(
                address.host, address.port
            )
            answer = asyncio.ensure_future(reader.read(4096))
            sent = 0
            for block in caller_bytes(kind):
                if answer.done() or sent > MAX_RECEIVED_BYTES:
                    break
                writer.write(block)
                sent += len(block)
                await writer.drain()
                await asyncio.sleep(0)
            content = await asyncio.wait_for(answer, MAX_SECONDS)
            assert content.startswith(b'HTTP/1.1 ' + status)
            assert b'connection: close' in content.lower()
            writer.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'head',
    [
        b'no request at all\r\n\r\n',
        b'GET / HTTP/1.1\r\n\r\n',
        b'GET / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n',
        b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n'
        b'Content-Length: 2\r\n\r\nab',
    ],
)
def test_a_malformed_request_is_answered_with_400(head: bytes) -> None:
    """Guards against request smuggling and against callers left without reply.

    RFC 9112, sections 6.1 and 6.3.
    """

    async def scenario() -> None:
        async with deployment(app=(answer_ok,)) as system:
            address = system.gateway.settings.callers
            reader, writer = await asyncio.open_connection(
                address.host, address.port
            )
            writer.write(head + b'x' * 100_000)
            content = await asyncio.wait_for(reader.read(4096), MAX_SECONDS)
            assert content.startswith(b'HTTP/1.1 400')
            assert b'not_run' in content
            writer.close()

    asyncio.run(scenario())
