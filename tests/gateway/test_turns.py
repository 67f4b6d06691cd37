"""Other tasks run while a connection has many tiny parts to read.

The tests count turns of the event loop, not seconds: a fast machine hides how
long one task runs alone.
"""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Iterator
from typing import Any

import h11
import pytest

from primroseyoke.gateway.body_reading import BodyReader
from primroseyoke.gateway.configuration import CallerLimits
from primroseyoke.gateway.connection_pool import UpstreamConnection
from primroseyoke.gateway.connections import Connection
from primroseyoke.gateway.http_client import HttpClient
from primroseyoke.gateway.listeners import ResponseWriter
from primroseyoke.gateway.memory import MemoryBudget, RequestMemory
from primroseyoke.gateway.requests import CallerRequest
from primroseyoke.gateway.settings import ResponseLimits
from primroseyoke.gateway.topic_consumers import TopicConsumer
from primroseyoke.gateway.topics import KeyedPage, KeyedRecord, TopicUpdate
from primroseyoke.gateway.upstreams import Upstream
from primroseyoke.platform.headers import HeaderCodec
from primroseyoke.platform.store import HttpKeyedTopic
from primroseyoke.positions import EraTracker
from tests.gateway.deployment import deployment
from tests.standins.platform import StandInUpstream

PARTS = 10_000
# Other tasks have to run at least once for so many parts.
MAX_PARTS_PER_TURN = 100
# Records of a topic are applied in larger groups.
MAX_RECORDS_PER_TURN = 1024
CHUNKED_HEAD = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n'
TINY_CHUNKS = b'1\r\nx\r\n' * PARTS + b'0\r\n\r\n'
UPSTREAM = Upstream('u', 'app', '127.0.0.1', 1, 'zone-a')


class PreparedTransport:
    """Delivers prepared bytes as soon as something is written."""

    def __init__(self, content: bytes) -> None:
        self.content = content
        self.connection = Connection()
        self.connection.transport = self

    def write(self, content: bytes) -> None:
        self.connection.data_received(self.content)
        self.content = b''

    def pause_reading(self) -> None:
        """All is delivered at once."""

    def resume_reading(self) -> None:
        """All is delivered at once."""

    def abort(self) -> None:
        self.connection.connection_lost(None)


async def turns_during(work: Awaitable[Any]) -> int:
    """Return how often other tasks ran until ``work`` was done."""
    turns = 0

    async def count() -> None:
        nonlocal turns
        while True:
            await asyncio.sleep(0)
            turns += 1

    counting = asyncio.ensure_future(count())
    await work
    counting.cancel()
    return turns


def request() -> CallerRequest:
    codec = HeaderCodec()
    return codec.decode_request('GET', '/a', [(b'host', b'a')], 0)


async def read_response(connection: UpstreamConnection) -> bytes:
    await connection.send(request(), [(b'host', b'a')])
    await connection.receive_head(HeaderCodec(), '7')
    return b''.join([part async for part in connection.body()])


def test_a_response_in_tiny_chunks_lets_other_tasks_run() -> None:
    """Guards against an upstream that stops all other requests of its host."""

    async def scenario() -> None:
        transport = PreparedTransport(CHUNKED_HEAD + b'\r\n' + TINY_CHUNKS)
        connection = UpstreamConnection(
            UPSTREAM, transport.connection, ResponseLimits()
        )
        turns = await turns_during(read_response(connection))
        assert turns > PARTS / MAX_PARTS_PER_TURN

    asyncio.run(scenario())


def test_a_discarded_response_in_tiny_chunks_lets_other_tasks_run() -> None:
    """Guards against the same stop by a response to an earlier request."""

    async def scenario() -> None:
        earlier = b'x-primroseyoke-request-id: 6\r\n\r\n' + TINY_CHUNKS
        answer = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
        transport = PreparedTransport(CHUNKED_HEAD + earlier + answer)
        connection = UpstreamConnection(
            UPSTREAM, transport.connection, ResponseLimits()
        )
        turns = await turns_during(read_response(connection))
        assert turns > PARTS / MAX_PARTS_PER_TURN

    asyncio.run(scenario())


def test_an_answer_of_the_platform_in_tiny_chunks_lets_other_tasks_run() -> (
    None
):
    """Guards against the same stop by the store, an engine or a gateway."""

    async def scenario() -> None:
        transport = PreparedTransport(CHUNKED_HEAD + b'\r\n' + TINY_CHUNKS)
        client = HttpClient('127.0.0.1', 1)
        client.connection = transport.connection
        turns = await turns_during(client.call('GET', '/report'))
        assert turns > PARTS / MAX_PARTS_PER_TURN

    asyncio.run(scenario())


def test_a_request_in_tiny_chunks_lets_other_tasks_run() -> None:
    """Guards against the same stop by a caller."""

    async def scenario() -> None:
        transport = PreparedTransport(b'')
        head = b'POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n'
        transport.connection.data_received(head + b'\r\n' + TINY_CHUNKS)
        parser = h11.Connection(h11.SERVER)
        parser.receive_data(await transport.connection.read())
        parser.next_event()
        with contextlib.closing(RequestMemory(MemoryBudget(2**30))) as memory:
            memory.start()
            reader = BodyReader(
                transport.connection, parser, CallerLimits(), memory
            )
            turns = await turns_during(reader.read(None, 10))
        assert turns > PARTS / MAX_PARTS_PER_TURN

    asyncio.run(scenario())


def test_a_page_of_tiny_records_lets_other_tasks_run() -> None:
    """Guards against the same stop by whoever writes to a topic."""

    async def scenario() -> None:
        body = bytes(16) + b'\0\0\0\x02\x01a' * PARTS
        head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(body)
        client = HttpClient('127.0.0.1', 1)
        client.connection = PreparedTransport(head + body).connection
        topic = HttpKeyedTopic(client, 'keyed.servers')
        turns = await turns_during(topic.read(0, 0))
        assert turns > PARTS / MAX_PARTS_PER_TURN

    asyncio.run(scenario())


class TinyRecords:
    """Topic that has many records of one key."""

    def __init__(self) -> None:
        self.eras = EraTracker('store')

    async def read_latest(self) -> KeyedPage:
        return KeyedPage((), 0)

    async def read(self, offset: int, wait: float) -> KeyedPage:
        if offset:
            await asyncio.sleep(60)
        records = (KeyedRecord('a', b'b', number) for number in range(PARTS))
        return KeyedPage(tuple(records), PARTS)


def test_many_records_at_once_let_other_tasks_run() -> None:
    updates: list[TopicUpdate] = []
    consumer = TopicConsumer(
        'tiny', TinyRecords(), updates.append, 0, random.Random(1)
    )

    def applied_count() -> int:
        position = consumer.replica.next_position
        return position.offset if position else 0

    async def scenario() -> None:
        consuming = asyncio.ensure_future(consumer.run())
        before = 0
        while before < PARTS:
            await asyncio.sleep(0)
            applied = applied_count()
            assert applied - before <= MAX_RECORDS_PER_TURN
            before = applied
        await asyncio.sleep(0)
        consuming.cancel()

    asyncio.run(scenario())
    assert len(updates[-1].records) == PARTS


@pytest.fixture
def sent_in_a_turn(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[int]]:
    """Record the events that are sent to callers, by turn of the loop."""
    sent = [0]
    original = ResponseWriter.send

    async def count_and_send(response: ResponseWriter, content: bytes) -> None:
        sent[-1] += content.count(b'\n\n')
        await original(response, content)

    monkeypatch.setattr(ResponseWriter, 'send', count_and_send)
    yield sent


@pytest.mark.parametrize('event', [b'\n\n', b': c\n\n', b'data: x\n\n'])
def test_a_stream_of_tiny_events_lets_other_tasks_run(
    event: bytes, sent_in_a_turn: list[int]
) -> None:
    """Guards against events in one chunk that are all forwarded in one turn.

    Endless comments of two upstreams left other requests without an answer.
    """
    chunk = event * PARTS

    async def stream(
        upstream: StandInUpstream,
        received: CallerRequest,
        response: ResponseWriter,
    ) -> None:
        headers = upstream.signature_headers(received)
        response.start(200, [*headers, (b'transfer-encoding', b'chunked')])
        response.connection.write(
            b'%x\r\n%s\r\n0\r\n\r\n' % (len(chunk), chunk)
        )
        response.connection.close()

    async def count_turns() -> None:
        while True:
            await asyncio.sleep(0)
            sent_in_a_turn.append(0)

    async def scenario() -> None:
        async with deployment(model=(stream,)) as system:
            counting = asyncio.ensure_future(count_turns())
            response = await system.call('/draft/', 'POST')
            counting.cancel()
            assert response.complete
            assert response.body == chunk

    asyncio.run(scenario())
    assert sum(sent_in_a_turn) == PARTS
    assert max(sent_in_a_turn) <= MAX_PARTS_PER_TURN
