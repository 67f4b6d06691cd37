"""Bodies in tiny chunks beside the requests of other callers."""

import asyncio
import contextlib
import time

from tests.gateway.deployment import configuration
from tests.gateway.test_memory_limit import BODY_BYTES, LIMITS
from tests.standins.gateway_process import CallerConnection, GatewayProcess
from tests.standins.platform import StandInStore, StandInUpstream, answer_ok

CHUNK = b'40\r\n' + b'x' * 64 + b'\r\n'
CHUNKS = BODY_BYTES // 64
TIMEOUT_MS = 1500
# The gateway answers this long after the timeout of a request at the latest.
SLACK_SECONDS = 0.5


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
