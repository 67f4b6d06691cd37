"""Requests in progress on connections from callers."""

import asyncio
import socket

from primroseyoke.gateway.listeners import ResponseWriter
from primroseyoke.gateway.requests import CallerRequest
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
