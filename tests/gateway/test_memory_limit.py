"""Memory of a gateway process while many callers send or read much at once."""

import asyncio
import functools
import pathlib
from collections.abc import Awaitable, Callable

import h11

from primroseyoke.gateway.listeners import ResponseWriter
from primroseyoke.gateway.requests import CallerRequest
from tests.gateway.deployment import configuration, route
from tests.standins.gateway_process import (
    CallerConnection,
    GatewayProcess,
    ReceivedResponse,
)
from tests.standins.platform import StandInStore, StandInUpstream, answer_ok

MEMORY_MB = 300
BODY_BYTES = 4 * 2**20
PART = b'x' * 65536
CALLERS = 61
LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': BODY_BYTES,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15000,
}
MAX_RETRIES = 30
# The largest event, but for its last part.
EVENT_BYTES = 2**20 - len(PART)
STALLED_CALLERS = 400
STALLED_MS = 6000
TIMEOUT_MS = 30000
Call = Callable[[], Awaitable[ReceivedResponse]]
Play = Callable[[GatewayProcess], Awaitable[None]]


def patient_configuration() -> dict[str, object]:
    """Return one without short timeouts: memory is what is tested."""
    document = configuration(limits=LIMITS)
    document['routes'].append(route('/stream/', 'streaming', 'app'))
    for each in document['routes']:
        each['timeoutMs'] = TIMEOUT_MS
    return document


async def respond_long(
    upstream: StandInUpstream, request: CallerRequest, response: ResponseWriter
) -> None:
    request_id = request.request_id.encode()
    headers = [
        (b'x-primroseyoke-response-signature', b's'),
        (b'x-primroseyoke-request-id', request_id),
    ]
    response.respond(200, headers, b'y' * BODY_BYTES)


def run(
    folder: pathlib.Path, play: Play, handler=answer_ok, upstream_count: int = 3
) -> float:
    """Run ``play`` beside a gateway; return its largest resident size in MB.

    Like the platform, it kills the process above its limit.
    """

    async def scenario() -> float:
        store = StandInStore()
        await store.start()
        upstreams = [
            StandInUpstream(f'app-{n}', handler) for n in range(upstream_count)
        ]
        for upstream in upstreams:
            await upstream.start()
            entry = {**upstream.entry('app'), 'slots': CALLERS}
            store.put('keyed.servers', upstream.name, entry)
        store.put('keyed.op', 'config', patient_configuration())
        gateway = GatewayProcess(folder, store.port, memory_mb=MEMORY_MB)
        peak = 0.0

        async def watch() -> None:
            nonlocal peak
            while True:
                peak = max(peak, gateway.resident_mb())
                if peak > MEMORY_MB:
                    gateway.kill()
                    return
                await asyncio.sleep(0.01)

        try:
            await gateway.start()
            await asyncio.sleep(0.5)
            watching = asyncio.ensure_future(watch())
            await play(gateway)
            watching.cancel()
        finally:
            gateway.kill()
            for server in (store, *upstreams):
                server.stop()
        return peak

    return asyncio.run(scenario())


async def send_long(
    gateway: GatewayProcess, number: int, declared: bool = True
) -> ReceivedResponse:
    connection = await CallerConnection.open(gateway)
    length = BODY_BYTES if declared else None
    connection.send_head('/book/x', f'long-{number}', length, TIMEOUT_MS)
    try:
        for _ in range(BODY_BYTES // len(PART)):
            await connection.send_part(PART)
    except ConnectionError:
        return await connection.receive_answer()
    response = await connection.receive()
    connection.close()
    return response


async def read_late(gateway: GatewayProcess, number: int) -> ReceivedResponse:
    connection = await CallerConnection.open(gateway)
    connection.send_head('/book/x', f'late-{number}', 0)
    connection.writer.write(connection.parser.send(h11.EndOfMessage()) or b'')
    await asyncio.sleep(3)
    response = await connection.receive()
    connection.close()
    return response


async def until_served(call: Call) -> ReceivedResponse:
    """Call again after each refusal, as callers do."""
    response = await call()
    for _ in range(MAX_RETRIES):
        if response.status != 503:
            break
        assert b'not_run' in response.body
        await asyncio.sleep(float(response.headers['retry-after']))
        response = await call()
    return response


async def serve_all(
    count: int, call: Callable[[int], Awaitable[ReceivedResponse]]
) -> list[ReceivedResponse]:
    return await asyncio.gather(
        *(
            until_served(functools.partial(call, number))
            for number in range(count)
        )
    )


def statuses(responses: list[ReceivedResponse]) -> list[int]:
    return sorted({response.status for response in responses})


def test_long_bodies_at_once_stay_within_memory(tmp_path) -> None:
    """Guards against a process that is killed with the requests it holds.

    Bodies of all callers, each within the limit of one body, exceeded it.
    """

    async def play(gateway: GatewayProcess) -> None:
        responses = await serve_all(
            CALLERS, functools.partial(send_long, gateway)
        )
        assert gateway.running
        assert statuses(responses) == [200]

    assert run(tmp_path, play) <= MEMORY_MB


def test_long_bodies_in_chunks_stay_within_memory(tmp_path) -> None:
    async def play(gateway: GatewayProcess) -> None:
        responses = await serve_all(
            CALLERS, functools.partial(send_long, gateway, declared=False)
        )
        assert gateway.running
        assert statuses(responses) == [200]

    assert run(tmp_path, play) <= MEMORY_MB


def test_more_long_bodies_than_fit_are_all_served(tmp_path) -> None:
    """Those that cannot be held are refused as not run, with Retry-After."""

    async def play(gateway: GatewayProcess) -> None:
        responses = await serve_all(
            2 * CALLERS, functools.partial(send_long, gateway)
        )
        assert gateway.running
        assert statuses(responses) == [200]

    assert run(tmp_path, play) <= MEMORY_MB


def test_stalled_uploads_do_not_hold_all_memory(tmp_path) -> None:
    """Guards against a few slow callers that keep all others out."""

    async def play(gateway: GatewayProcess) -> None:
        stalled = []
        for number in range(CALLERS):
            connection = await CallerConnection.open(gateway)
            connection.send_head('/book/x', f'stalled-{number}', BODY_BYTES)
            sending = [connection.send_part(PART) for _ in range(4)]
            await asyncio.wait_for(asyncio.gather(*sending), 5)
            stalled.append(connection)
        await asyncio.sleep(1)
        small = await CallerConnection.open(gateway)
        small.send_head('/book/x', 'small', 2)
        await small.send_part(b'ok')
        response = await asyncio.wait_for(small.receive(), 1)
        assert response.status == 200
        assert await asyncio.wait_for(gateway.is_ready(), 1)
        await asyncio.sleep(1.5)
        responses = await serve_all(6, functools.partial(send_long, gateway))
        assert statuses(responses) == [200]
        assert gateway.running

    assert run(tmp_path, play) <= MEMORY_MB


def test_slow_readers_of_long_responses_stay_within_memory(tmp_path) -> None:
    async def play(gateway: GatewayProcess) -> None:
        responses = await serve_all(
            CALLERS, functools.partial(read_late, gateway)
        )
        assert statuses(responses) == [200]
        assert all(len(each.body) == BODY_BYTES for each in responses)

    assert run(tmp_path, play, respond_long) <= MEMORY_MB


async def stall_in_event(
    upstream: StandInUpstream, request: CallerRequest, response: ResponseWriter
) -> None:
    """Send most of the largest event; send the rest never."""
    response.start(
        200,
        [
            (b'x-primroseyoke-response-signature', b's'),
            (b'x-primroseyoke-request-id', request.request_id.encode()),
            (b'transfer-encoding', b'chunked'),
        ],
    )
    for _ in range(EVENT_BYTES // len(PART)):
        await response.send(PART)
    await asyncio.sleep(60)


async def read_stalled(
    gateway: GatewayProcess, number: int
) -> ReceivedResponse:
    connection = await CallerConnection.open(gateway)
    connection.send_head('/stream/x', f'stalled-{number}', 0, STALLED_MS)
    return await connection.receive()


def test_endless_events_of_many_upstreams_stay_within_memory(tmp_path) -> None:
    """Guards against a process that keeps what has no end, and is killed.

    Each upstream stays below the largest size of one event.
    """

    async def play(gateway: GatewayProcess) -> None:
        responses = await asyncio.gather(
            *(
                read_stalled(gateway, number)
                for number in range(STALLED_CALLERS)
            )
        )
        assert gateway.running
        assert set(statuses(responses)) <= {502, 503, 504}

    peak = run(tmp_path, play, stall_in_event, upstream_count=24)
    assert peak <= MEMORY_MB
