"""Records of the store and the news that come from them."""

import asyncio
import random
import struct

import pytest

from primroseyoke.gateway.clients import HttpClient
from primroseyoke.gateway.knowledge import Knowledge
from primroseyoke.gateway.topics import RecordsExpired, TopicFollower
from primroseyoke.platform.feeds import OperatorFeed, UpstreamFeed
from primroseyoke.platform.store import KeyedLog, decode_records
from tests.gateway.deployment import configuration, until
from tests.standins.platform import StandInStore, StandInUpstream, answer_ok

LENGTH = struct.Struct('>I')


def follow(
    store: StandInStore,
    topic: str,
    feed: OperatorFeed | UpstreamFeed,
    interval: float = 0,
) -> TopicFollower:
    return TopicFollower(
        topic,
        KeyedLog(HttpClient('127.0.0.1', store.port), topic),
        feed.receive,
        interval,
        random.Random(1),
    )


def record(key: bytes, value: bytes) -> bytes:
    content = bytes((len(key),)) + key + value
    return LENGTH.pack(len(content)) + content


def test_records_keep_their_offsets_beside_a_torn_one() -> None:
    torn = LENGTH.pack(2) + b'\x09x'
    content = record(b'a', b'1') + torn + record(b'b', b'')
    found = decode_records(content, 40)
    assert (found[0].key, found[0].value, found[0].offset) == ('a', b'1', 40)
    assert found[1] is None
    assert (found[2].key, found[2].value, found[2].offset) == ('b', b'', 42)


def test_a_cut_answer_gives_the_whole_records() -> None:
    content = record(b'a', b'1') + record(b'b', b'2')[:-1]
    assert [each.key for each in decode_records(content, 0)] == ['a']


def test_listing_reading_and_appending() -> None:
    async def scenario() -> None:
        store = StandInStore()
        await store.start()
        log = KeyedLog(HttpClient('127.0.0.1', store.port), 'keyed.x')
        await log.append('one', b'1')
        await log.append('two', b'2')
        await log.append('one', b'')
        page = await log.newest()
        assert [each.key for each in page.records] == ['two']
        assert page.end == 3
        await log.append('one', b'3')
        news = await log.read(page.end, 0)
        assert [each.value for each in news.records] == [b'3']
        store.forget('keyed.x')
        with pytest.raises(RecordsExpired):
            await log.read(0, 0)
        store.stop()

    asyncio.run(scenario())


def test_a_follower_survives_outages_and_expired_records() -> None:
    async def scenario() -> None:
        store = StandInStore()
        await store.start()
        knowledge = Knowledge()
        feed = OperatorFeed(knowledge)
        follower = follow(store, 'keyed.op', feed)
        task = asyncio.ensure_future(follower.run())
        store.put('keyed.op', 'config', configuration(1))
        await until(lambda: knowledge.catalogue is not None)
        store.down = True
        await until(lambda: not follower.reachable)
        store.put('keyed.op', 'config', configuration(2))
        store.put('keyed.op', 'config', b'{"torn')
        store.put('keyed.op', 'evacuate/zone-b', {})
        store.forget('keyed.op')
        store.down = False
        await until(lambda: bool(knowledge.fleet.zones_out))
        assert follower.reachable
        assert knowledge.catalogue.version == 1
        store.put('keyed.op', 'config', configuration(3))
        await until(lambda: knowledge.catalogue.version == 3)
        task.cancel()
        store.stop()

    asyncio.run(scenario())


def test_news_is_read_soon_after_a_connection_went_silent() -> None:
    """Hunted day trouble-3, seed 341349560405: a read waited 3.5 s in vain.

    A host counts as in touch 3 s after an outage of the store, and has to use
    what operators publish from then on.
    """

    async def scenario() -> None:
        store = StandInStore()
        await store.start()
        knowledge = Knowledge()
        feed = OperatorFeed(knowledge)
        follower = follow(store, 'keyed.op', feed)
        store.put('keyed.op', 'config', configuration(1))
        task = asyncio.ensure_future(follower.run())
        await until(lambda: store.calls == 2)
        store.silenced += 1
        await asyncio.sleep(0.05)
        store.put('keyed.op', 'config', configuration(2))
        await until(lambda: knowledge.catalogue.version == 2, 3)
        task.cancel()
        store.stop()

    asyncio.run(scenario())


def test_forged_entries_leave_the_others_in_place() -> None:
    async def scenario() -> None:
        store = StandInStore()
        await store.start()
        upstream = StandInUpstream('good', answer_ok)
        store.put('keyed.servers', 'good', upstream.entry('app'))
        store.put('keyed.servers', 'bad', {'service': 1})
        store.put('keyed.servers', 'torn', b'\xff\x00')
        knowledge = Knowledge()
        feed = UpstreamFeed(knowledge, lambda: None)
        follower = follow(store, 'keyed.servers', feed, 0.01)
        task = asyncio.ensure_future(follower.run())
        fleet = knowledge.fleet
        await until(lambda: 'good' in fleet.upstreams)
        assert set(fleet.upstreams) == {'good'}
        store.put('keyed.servers', 'good', b'{"torn')
        store.put('keyed.servers', 'new', upstream.entry('app'))
        await until(lambda: 'new' in fleet.upstreams)
        assert 'good' in fleet.upstreams
        draining = upstream.entry('app', state='draining')
        store.put('keyed.servers', 'good', draining)
        await until(lambda: fleet.upstreams['good'].draining)
        store.put('keyed.servers', 'new', b'')
        await until(lambda: 'new' not in fleet.upstreams)
        task.cancel()
        store.stop()

    asyncio.run(scenario())
