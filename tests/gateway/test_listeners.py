"""Requests in progress on connections from callers."""

import asyncio
import socket

from primroseyoke.gateway.configuration import CallerLimits
from primroseyoke.gateway.listeners import HttpListener, ResponseWriter
from primroseyoke.gateway.requests import CallerRequest
from primroseyoke.platform.headers import HeaderCodec
from tests.gateway.deployment import wait_until
from tests.standins.platform import StandInUpstream

BODY = b'x' * 20_000_000


async def respond_large(
    upstream: StandInUpstream,
    request: CallerRequest,
    response: ResponseWriter,
) -> None:
    response.respond(200, (), BODY)


def read_all(sock: socket.socket) -> int:
    size = 0
    while size < len(BODY):
        size += len(sock.recv(65536))
    return size


def test_a_request_is_in_progress_until_its_response_is_sent() -> None:
    """Guards against a shutdown that truncates the response of a slow reader.

    A handler returns before the send buffer is empty.
    """

    async def scenario() -> None:
        upstream = StandInUpstream('u', respond_large)
        await upstream.start()
        with socket.create_connection(('127.0.0.1', upstream.port)) as sock:
            sock.sendall(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
            await wait_until(lambda: bool(upstream.received_requests))
            await asyncio.sleep(0.3)
            assert upstream.listener.requests_in_progress == 1
            assert await asyncio.to_thread(read_all, sock) >= len(BODY)
            await wait_until(
                lambda: upstream.listener.requests_in_progress == 0, 1
            )
        upstream.stop()

    asyncio.run(scenario())


def test_a_request_ends_when_its_caller_disconnects() -> None:
    async def scenario() -> None:
        upstream = StandInUpstream('u', respond_large)
        await upstream.start()
        sock = socket.create_connection(('127.0.0.1', upstream.port))
        sock.sendall(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
        await wait_until(lambda: bool(upstream.received_requests))
        sock.close()
        await wait_until(lambda: upstream.listener.requests_in_progress == 0, 1)
        upstream.stop()

    asyncio.run(scenario())


def test_a_refusal_reaches_a_caller_that_is_still_sending() -> None:
    """Guards against a refusal that a reset destroys.

    Its caller sends the whole body before it reads; on a busy host that takes
    seconds.
    """

    async def unused(request: CallerRequest, response: ResponseWriter) -> None:
        response.respond(200, (), b'')

    async def scenario() -> None:
        listener = HttpListener(
            HeaderCodec(), unused, CallerLimits, memory_bytes=4 * 2**20
        )
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            listener.create_protocol, '127.0.0.1', 0
        )
        port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(
            b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4194304\r\n\r\n'
        )
        for _ in range(64):
            writer.write(b'x' * 65536)
            await writer.drain()
            await asyncio.sleep(0.03)
        response = await asyncio.wait_for(reader.read(), 2)
        assert response.startswith(b'HTTP/1.1 503')
        assert b'not_run' in response
        writer.close()
        server.close()

    asyncio.run(scenario())
