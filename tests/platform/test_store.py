"""Access to the store and the state changes that its records cause."""

import asyncio
import random
import struct

import pytest

from primroseyoke.exceptions import ServiceUnavailable
from primroseyoke.gateway.http_client import HttpClient
from primroseyoke.gateway.listeners import ResponseWriter
from primroseyoke.gateway.requests import CallerRequest
from primroseyoke.gateway.routing_state import RoutingState
from primroseyoke.gateway.topic_consumers import TopicConsumer
from primroseyoke.gateway.topics import (
    AppendConflict,
    RecordsExpired,
    TopicMissing,
)
from primroseyoke.platform.feeds import OperatorFeed, UpstreamFeed
from primroseyoke.platform.store import HttpKeyedTopic, decode_records
from primroseyoke.positions import Position
from tests.gateway.deployment import configuration, wait_until
from tests.standins.platform import StandInStore, StandInUpstream, answer_ok

RECORD_LENGTH = struct.Struct('>I')


def make_follower(
    store: StandInStore,
    topic: str,
    feed: OperatorFeed | UpstreamFeed,
    interval: float = 0,
    keeps_lost: bool = False,
) -> TopicConsumer:
    return TopicConsumer(
        topic,
        HttpKeyedTopic(HttpClient('127.0.0.1', store.port), topic),
        feed.receive,
        interval,
        random.Random(1),
        keeps_lost=keeps_lost,
    )


def encode_record(key: bytes, value: bytes) -> bytes:
    content = bytes((len(key),)) + key + value
    return RECORD_LENGTH.pack(len(content)) + content


def test_records_after_a_malformed_record_keep_their_offsets() -> None:
    malformed = RECORD_LENGTH.pack(2) + b'\x09x'
    content = encode_record(b'a', b'1') + malformed + encode_record(b'b', b'')
    records = list(decode_records(content, 40))
    assert (records[0].key, records[0].value, records[0].offset) == (
        'a',
        b'1',
        40,
    )
    assert records[1] is None
    assert (records[2].key, records[2].value, records[2].offset) == (
        'b',
        b'',
        42,
    )


def test_truncated_response_yields_complete_records() -> None:
    content = encode_record(b'a', b'1') + encode_record(b'b', b'2')[:-1]
    assert [each.key for each in decode_records(content, 0)] == ['a']


def test_topic_is_listed_read_and_appended() -> None:
    async def scenario() -> None:
        store = StandInStore()
        await store.start()
        topic = HttpKeyedTopic(HttpClient('127.0.0.1', store.port), 'keyed.x')
        await topic.append('one', b'1')
        await topic.append('two', b'2')
        await topic.append('one', b'')
        page = await topic.read_latest()
        assert [each.key for each in page.records] == ['two']
        assert page.next_offset == 3
        await topic.append('one', b'3')
        updates = await topic.read(page.next_offset, 0)
        assert [each.value for each in updates.records] == [b'3']
        store.expire_records('keyed.x')
        with pytest.raises(RecordsExpired):
            await topic.read(0, 0)
        store.stop()

    asyncio.run(scenario())


def test_follower_recovers_from_outages_and_expired_records() -> None:
    async def scenario() -> None:
        store = StandInStore()
        await store.start()
        routing_state = RoutingState()
        feed = OperatorFeed(routing_state)
        follower = make_follower(store, 'keyed.op', feed)
        task = asyncio.ensure_future(follower.run())
        store.put('keyed.op', 'config', configuration(1))
        await wait_until(lambda: routing_state.configuration is not None)
        store.down = True
        await wait_until(lambda: not follower.reachable)
        store.put('keyed.op', 'config', configuration(2))
        store.put('keyed.op', 'config', b'{"torn')
        store.put('keyed.op', 'evacuate/zone-b', {})
        store.expire_records('keyed.op')
        store.down = False
        await wait_until(lambda: bool(routing_state.registry.zones_out))
        assert follower.reachable
        assert routing_state.configuration.version == 1
        store.put('keyed.op', 'config', configuration(3))
        await wait_until(lambda: routing_state.configuration.version == 3)
        task.cancel()
        store.stop()

    asyncio.run(scenario())


def test_updates_are_read_soon_after_a_read_stalls() -> None:
    """Guards against reads that wait too long on a stalled connection.

    After an outage of the store, a read once waited 3.5 s without an answer
    (simulated day trouble-3, seed 341349560405). A host counts as connected 3 s
    after an outage and has to use what operators publish from then on.
    """

    async def scenario() -> None:
        store = StandInStore()
        await store.start()
        routing_state = RoutingState()
        feed = OperatorFeed(routing_state)
        follower = make_follower(store, 'keyed.op', feed)
        store.put('keyed.op', 'config', configuration(1))
        task = asyncio.ensure_future(follower.run())
        await wait_until(lambda: store.request_count == 2)
        store.stall_generation += 1
        await asyncio.sleep(0.05)
        store.put('keyed.op', 'config', configuration(2))
        await wait_until(lambda: routing_state.configuration.version == 2, 3)
        task.cancel()
        store.stop()

    asyncio.run(scenario())


def test_invalid_entries_do_not_affect_other_upstreams() -> None:
    async def scenario() -> None:
        store = StandInStore()
        await store.start()
        upstream = StandInUpstream('good', answer_ok)
        await upstream.start()
        store.put('keyed.servers', 'good', upstream.entry('app'))
        store.put('keyed.servers', 'bad', {'service': 1})
        store.put('keyed.servers', 'torn', b'\xff\x00')
        routing_state = RoutingState()
        feed = UpstreamFeed(routing_state, lambda: None)
        follower = make_follower(store, 'keyed.servers', feed, 0.01)
        task = asyncio.ensure_future(follower.run())
        registry = routing_state.registry
        await wait_until(lambda: 'good' in registry.upstreams)
        assert set(registry.upstreams) == {'good'}
        store.put('keyed.servers', 'good', b'{"torn')
        store.put('keyed.servers', 'new', upstream.entry('app'))
        await wait_until(lambda: 'new' in registry.upstreams)
        assert 'good' in registry.upstreams
        draining = upstream.entry('app', state='draining')
        store.put('keyed.servers', 'good', draining)
        await wait_until(lambda: registry.upstreams['good'].draining)
        store.put('keyed.servers', 'new', b'')
        await wait_until(lambda: 'new' not in registry.upstreams)
        task.cancel()
        store.stop()
        upstream.stop()

    asyncio.run(scenario())


def test_conditional_append_depends_on_the_end_of_the_topic() -> None:
    """Guards against two hosts that append after the same record."""

    async def scenario() -> None:
        store = StandInStore()
        store.era = 3
        store.creates_topics = True
        await store.start()
        topic = HttpKeyedTopic(HttpClient('127.0.0.1', store.port), 'keyed.x')
        with pytest.raises(TopicMissing):
            await topic.read_latest()
        assert await topic.append_at('one', b'1', 0) == Position(3, 0)
        with pytest.raises(AppendConflict) as raised:
            await topic.append_at('one', b'2', 0)
        assert raised.value.end_offset == 1
        assert await topic.append_at('one', b'3', 1) == Position(3, 1)
        page = await topic.read_latest()
        assert [each.value for each in page.records] == [b'3']
        assert page.next_position == Position(3, 2)
        store.restore({'keyed.x': 1})
        assert await topic.append_at('one', b'4', 1) == Position(4, 1)
        store.stop()

    asyncio.run(scenario())


def test_unusable_response_to_an_append_leaves_its_effect_unknown() -> None:
    """Guards against a record that is taken for appended at another offset."""

    async def scenario() -> None:
        contents = [b'', b'[]', b'{"offset": 4, "endOffset": 5}']

        async def respond(
            upstream: StandInUpstream,
            request: CallerRequest,
            response: ResponseWriter,
        ) -> None:
            response.respond(200, (), contents.pop(0))

        server = StandInUpstream('store', respond)
        await server.start()
        topic = HttpKeyedTopic(HttpClient('127.0.0.1', server.port), 'keyed.x')
        while contents:
            with pytest.raises(ServiceUnavailable):
                await topic.append_at('one', b'1', 3)
        server.stop()

    asyncio.run(scenario())
