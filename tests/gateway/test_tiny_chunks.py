"""Tiny parts without end beside the requests of other callers."""

import asyncio
import contextlib
import time

import pytest

from primroseyoke.gateway.listeners import ResponseWriter
from primroseyoke.gateway.requests import CallerRequest
from tests.gateway.deployment import configuration, route
from tests.gateway.test_memory_limit import BODY_BYTES, LIMITS
from tests.standins.gateway_process import CallerConnection, GatewayProcess
from tests.standins.platform import StandInStore, StandInUpstream, answer_ok

CHUNK = b'40\r\n' + b'x' * 64 + b'\r\n'
CHUNKS = BODY_BYTES // 64
TIMEOUT_MS = 1500
# The gateway answers this long after the timeout of a request at the latest.
SLACK_SECONDS = 0.5
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nx-primroseyoke-response-signature: s\r\n'
    b'transfer-encoding: chunked\r\n\r\n'
)
ENDLESS_SECONDS = 4
# What an upstream repeats, by route.
ENDLESS = {
    'stream in tiny chunks': ('/draft/', b'1\r\nx\r\n'),
    'blank lines in tiny chunks': ('/draft/', b'2\r\n\n\n\r\n'),
    'comments': ('/draft/', b'1770\r\n' + b': c\n\n' * 1200 + b'\r\n'),
    'blank lines': ('/draft/', b'1770\r\n' + b'\n\n' * 3000 + b'\r\n'),
    'body in tiny chunks': ('/find/', b'1\r\nx\r\n'),
}


async def upload(gateway: GatewayProcess) -> int:
    connection = await CallerConnection.open(gateway)
    connection.send_head('/book/x', 'upload', None, timeout_ms=30000)
    for _ in range(CHUNKS // 1024):
        connection.writer.write(CHUNK * 1024)
        await connection.writer.drain()
    connection.writer.write(b'0\r\n\r\n')
    response = await connection.receive_answer()
    connection.close()
    return response.status


async def longest_call(gateway: GatewayProcess) -> float:
    """Call until cancelled; return the longest time to an answer."""
    connection = await CallerConnection.open(gateway)
    longest = 0.0
    with contextlib.suppress(asyncio.CancelledError):
        for number in range(100_000):
            started = time.monotonic()
            connection.send_head('/book/y', f'r-{number}', 2, TIMEOUT_MS)
            await connection.send_part(b'ok')
            try:
                response = await connection.receive()
            finally:
                longest = max(longest, time.monotonic() - started)
            assert response.status == 200
            await asyncio.sleep(0.01)
    return longest


def test_a_body_in_tiny_chunks_does_not_stop_other_requests(tmp_path) -> None:
    """Guards against work for a body that grows with the square of its chunks.

    One caller with 65,536 chunks of 64 bytes stopped the gateway for 30 s.
    """

    async def scenario() -> None:
        store = StandInStore()
        await store.start()
        upstream = StandInUpstream('app-0', answer_ok)
        await upstream.start()
        store.put('keyed.servers', 'app-0', upstream.entry('app'))
        store.put('keyed.op', 'config', configuration(limits=LIMITS))
        gateway = GatewayProcess(tmp_path, store.port)
        try:
            await gateway.start()
            await asyncio.sleep(0.5)
            others = [
                asyncio.ensure_future(longest_call(gateway)) for _ in range(4)
            ]
            status = await asyncio.wait_for(upload(gateway), 30)
            for other in others:
                other.cancel()
            assert status == 200
            longest = max(await asyncio.gather(*others))
            assert longest < TIMEOUT_MS / 1000 + SLACK_SECONDS
        finally:
            gateway.kill()
            for server in (store, upstream):
                server.stop()

    asyncio.run(scenario())


async def receive_endless(gateway: GatewayProcess, path: str) -> None:
    """Call until the timeout of the request, as its caller does."""
    connection = await CallerConnection.open(gateway)
    connection.send_head(path, f'endless{path}', 2, ENDLESS_SECONDS * 1000)
    await connection.send_part(b'ok')
    with contextlib.suppress(ConnectionError):
        while await connection.reader.read(65536):
            """Discard what was received."""
    connection.close()


@pytest.mark.parametrize('kind', ENDLESS)
def test_endless_tiny_parts_do_not_stop_other_requests(
    tmp_path, kind: str
) -> None:
    """Guards against a faulty upstream that keeps a gateway busy.

    Two endless answers left requests to other services without an answer.
    """
    path, repeated = ENDLESS[kind]
    block = repeated * (65536 // len(repeated))

    async def endless(
        upstream: StandInUpstream,
        request: CallerRequest,
        response: ResponseWriter,
    ) -> None:
        connection = response.connection
        connection.write(CHUNKED)
        while not connection.ended:
            connection.write(block)
            await connection.drain()
            await asyncio.sleep(0)

    async def scenario() -> None:
        store = StandInStore()
        await store.start()
        upstreams = {
            'app': StandInUpstream('app-0', answer_ok),
            'model': StandInUpstream('model-0', endless),
        }
        for service, upstream in upstreams.items():
            await upstream.start()
            store.put('keyed.servers', upstream.name, upstream.entry(service))
        settings = configuration()
        settings['routes'].append(route('/find/', 'idempotent', 'model'))
        store.put('keyed.op', 'config', settings)
        gateway = GatewayProcess(tmp_path, store.port)
        try:
            await gateway.start()
            await asyncio.sleep(0.5)
            others = [
                asyncio.ensure_future(longest_call(gateway)) for _ in range(4)
            ]
            await asyncio.gather(
                *(receive_endless(gateway, path) for _ in range(2))
            )
            for other in others:
                other.cancel()
            longest = max(await asyncio.gather(*others))
            assert longest < TIMEOUT_MS / 1000 + SLACK_SECONDS
        finally:
            gateway.kill()
            for server in (store, *upstreams.values()):
                server.stop()

    asyncio.run(scenario())
