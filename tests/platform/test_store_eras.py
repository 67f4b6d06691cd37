"""Eras that the store names, and what its topics lose in a new one."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from primroseyoke.exceptions import ServiceUnavailable
from primroseyoke.gateway.http_client import HttpClient
from primroseyoke.gateway.routing_state import RoutingState
from primroseyoke.gateway.topics import RecordsExpired
from primroseyoke.platform.feeds import OperatorFeed, UpstreamFeed
from primroseyoke.platform.store import HttpKeyedTopic
from tests.gateway.deployment import configuration, deployment, wait_until
from tests.platform.test_store import make_follower
from tests.standins.platform import StandInStore, StandInUpstream, answer_ok


def run_with_store(
    scenario: Callable[[StandInStore], Awaitable[None]],
) -> None:
    async def run() -> None:
        store = StandInStore()
        await store.start()
        store.era = 1
        try:
            await scenario(store)
        finally:
            store.stop()

    asyncio.run(run())


def make_topic(store: StandInStore, name: str = 'keyed.x') -> HttpKeyedTopic:
    return HttpKeyedTopic(HttpClient('127.0.0.1', store.port), name)


def test_the_era_is_learned_from_all_responses() -> None:
    async def scenario(store: StandInStore) -> None:
        topic = make_topic(store)
        await topic.append('one', b'1')
        assert topic.eras.era == 1
        store.era = 2
        assert (await topic.read(0, 0)).next_position.era == 2
        store.era = 3
        assert (await topic.read_latest()).records[0].position.era == 3
        store.era = 4
        with pytest.raises(RecordsExpired):
            await topic.read(9, 0)
        assert topic.eras.era == 4

    run_with_store(scenario)


@pytest.mark.parametrize('era', [None, '', '-1', '1.5', 'x', '9' * 400, '²'])
def test_a_response_without_a_valid_era_is_of_the_known_one(era) -> None:
    async def scenario(store: StandInStore) -> None:
        topic = make_topic(store)
        store.put('keyed.x', 'one', b'1')
        await topic.read_latest()
        store.era = era
        page = await topic.read_latest()
        assert page.era == 1
        assert [each.key for each in page.records] == ['one']

    run_with_store(scenario)


def test_a_late_response_of_an_earlier_era_is_not_used() -> None:
    """Guards against a read that the store answers as it was before."""

    async def scenario(store: StandInStore) -> None:
        topic = make_topic(store)
        store.era = 2
        await topic.read_latest()
        store.era = 1
        for call in (topic.read_latest(), topic.read(0, 0)):
            with pytest.raises(ServiceUnavailable):
                await call

    run_with_store(scenario)


def test_pages_of_two_eras_are_no_listing() -> None:
    """Guards against a listing that mixes the copy with what it lost."""

    async def scenario(store: StandInStore) -> None:
        topic = make_topic(store)
        for key in 'abcd':
            store.put('keyed.x', key, b'1')
        newest = store._newest
        pages = []

        def newest_page(query):
            if pages:
                return newest(query)
            pages.append(query)
            response = newest(query).replace(
                b'"hasMore": false', b'"hasMore": true'
            )
            asyncio.get_running_loop().call_later(
                0.02, store.restore, {'keyed.x': 1}
            )
            return response

        store._newest = newest_page
        handle = store.handle

        async def handle_slowly(request, response):
            if pages:
                await asyncio.sleep(0.05)
            await handle(request, response)

        store.handle = handle_slowly
        store.listener.handler = handle_slowly
        page = await topic.read_latest()
        assert [each.key for each in page.records] == ['a']
        assert page.next_position.era == 2

    run_with_store(scenario)


def test_a_store_that_falls_back_without_an_era_is_not_asked_in_a_loop() -> (
    None
):
    """Guards against listings and refused reads that follow each other."""

    async def scenario(store: StandInStore) -> None:
        state = RoutingState()
        store.era = None
        follower = make_follower(store, 'keyed.op', OperatorFeed(state))
        store.put('keyed.op', 'config', configuration(7))
        store.put('keyed.op', 'config', configuration(15))
        task = asyncio.ensure_future(follower.run())
        await wait_until(lambda: state.configuration is not None)
        del store.topics['keyed.op'][1:]
        store.request_count = 0
        await asyncio.sleep(2)
        assert store.request_count < 25
        assert state.configuration.version == 15
        store.put('keyed.op', 'config', configuration(16))
        await wait_until(lambda: state.configuration.version == 16)
        task.cancel()

    run_with_store(scenario)


def test_orders_of_operators_outlast_a_loss_until_they_are_written_again() -> (
    None
):
    """Guards against a copy that undoes what operators were told is in force.

    A zone that was emptied was used again, and one that was taken back was
    left empty.
    """

    async def scenario(store: StandInStore) -> None:
        state = RoutingState()
        follower = make_follower(
            store, 'keyed.op', OperatorFeed(state), keeps_lost=True
        )
        store.put('keyed.op', 'config', configuration(7))
        store.put('keyed.op', 'evacuate/zone-a', {})
        task = asyncio.ensure_future(follower.run())
        await wait_until(lambda: 'zone-a' in state.registry.zones_out)
        store.put('keyed.op', 'evacuate/zone-a', b'')
        store.put('keyed.op', 'evacuate/zone-b', {})
        store.put('keyed.op', 'config', configuration(15))
        await wait_until(lambda: state.configuration.version == 15)
        store.restore({'keyed.op': 2})
        await wait_until(lambda: follower.replica.next_position.era == 2)
        await asyncio.sleep(0.1)
        assert state.registry.zones_out == {'zone-b'}
        assert state.configuration.version == 15
        store.put('keyed.op', 'config', configuration(12))
        await wait_until(lambda: state.configuration.version == 12)
        store.put('keyed.op', 'evacuate/zone-b', {})
        store.put('keyed.op', 'evacuate/zone-b', b'')
        await wait_until(lambda: not state.registry.zones_out)
        task.cancel()

    run_with_store(scenario)


def test_upstreams_of_the_lost_seconds_get_time_to_register_again() -> None:
    """Guards against upstreams that a copy brings back or leaves out.

    One that registered in the lost seconds stays for two seconds, and longer if
    it writes its entry again; one that left or was draining stays so.
    """

    async def scenario(store: StandInStore) -> None:
        upstream = StandInUpstream('x', answer_ok)
        upstream.port = 1
        entry = upstream.entry('app')
        state = RoutingState()
        known = state.registry.upstreams
        follower = make_follower(
            store, 'keyed.servers', UpstreamFeed(state, lambda: None), 0.05
        )
        for name in ('kept', 'leaving', 'left'):
            store.put('keyed.servers', name, entry)
        task = asyncio.ensure_future(follower.run())
        await wait_until(lambda: len(known) == 3)
        store.put(
            'keyed.servers', 'leaving', upstream.entry('app', state='draining')
        )
        store.put('keyed.servers', 'left', b'')
        store.put('keyed.servers', 'new', entry)
        store.put('keyed.servers', 'gone', entry)
        await wait_until(lambda: 'gone' in known and 'left' not in known)
        store.restore({'keyed.servers': 3})
        await wait_until(lambda: follower.replica.next_position.era == 2)
        await asyncio.sleep(0.3)
        assert set(known) == {'kept', 'leaving', 'new', 'gone'}
        assert known['leaving'].draining
        store.put('keyed.servers', 'new', entry)
        await wait_until(lambda: 'gone' not in known)
        assert set(known) == {'kept', 'leaving', 'new'}
        assert known['leaving'].draining
        store.put('keyed.servers', 'left', entry)
        await wait_until(lambda: 'left' in known)
        task.cancel()

    run_with_store(scenario)


def test_a_gateway_registers_again_after_a_loss() -> None:
    """Guards against hosts that are unknown to each that starts later.

    Their registrations were among the records that the store lost.
    """

    async def scenario() -> None:
        async with deployment() as system:
            store = system.store
            assert store.topics['keyed.gateways']
            store.restore({'keyed.gateways': 0})
            await wait_until(lambda: bool(store.topics['keyed.gateways']))
            assert store.topics['keyed.gateways'] == [
                ('127.0.0.1', b'gateway-1')
            ]

    asyncio.run(scenario())
