"""Reads of the store divided among hosts, in virtual time without sockets."""

import asyncio

import pytest

from primroseyoke.gateway.topics import KeyedPage, StoreReconnected
from tests.standins.topic_hosts import (
    MAX_UPDATE_DELAY_SECONDS,
    System,
    run_system,
)


@pytest.mark.parametrize(('count', 'readers'), [(9, 2), (99, 3)])
def test_calls_to_the_store_do_not_grow_with_the_hosts(
    count: int, readers: int
) -> None:
    """Guards against hosts x calls: each host once read the store for itself.

    Each reader reads four times within the time for updates.
    """

    async def scenario(system: System) -> None:
        assert len(system.readers()) == readers
        assert await system.calls_in(10) <= readers * 21
        ages = [host.age for host in system.hosts.values()]
        assert max(ages) < MAX_UPDATE_DELAY_SECONDS / 2

    run_system(scenario, count)


def test_readers_are_in_different_zones() -> None:
    async def scenario(system: System) -> None:
        zones = {
            system.hosts[address].sharing.availability_zone
            for address in system.readers()
        }
        assert len(zones) == 2

    run_system(scenario)


@pytest.mark.parametrize('interval', [0, 1])
@pytest.mark.parametrize('frozen_readers', [0, 1, 2])
def test_changes_are_in_force_in_time_when_readers_freeze(
    interval: int, frozen_readers: int
) -> None:
    """Guards against updates that are lost with the hosts that read them."""

    async def scenario(system: System) -> None:
        for number in range(8):
            for address in system.readers()[:frozen_readers]:
                if len(system.running_hosts()) > 3:
                    system.freeze(address)
            delay = await system.update_delay(f'change-{number}')
            assert delay < MAX_UPDATE_DELAY_SECONDS
            await asyncio.sleep(1.3)

    run_system(scenario, 21, interval)


def test_hosts_without_the_store_get_updates_from_the_others() -> None:
    """Guards against hosts that fall behind while the store refuses them."""

    async def scenario(system: System) -> None:
        addresses = sorted(system.hosts)
        system.store.away_for = set(addresses[:-1])
        await asyncio.sleep(5)
        delay = await system.update_delay('change')
        assert delay < 2 * MAX_UPDATE_DELAY_SECONDS

    run_system(scenario)


def test_an_isolated_host_reads_the_store_itself() -> None:
    async def scenario(system: System) -> None:
        system.isolated = {'10.2.0.102'}
        delay = await system.update_delay('change')
        assert delay < MAX_UPDATE_DELAY_SECONDS

    run_system(scenario)


def test_an_outage_is_noticed_by_all_and_costs_few_calls() -> None:
    """Guards against entries that count as removed right after an outage.

    All hosts must know that the store has just returned, and refused calls are
    billed.
    """

    async def scenario(system: System) -> None:
        system.store.away_for = set(system.hosts)
        await asyncio.sleep(3)
        assert await system.calls_in(10) < 10 * 99
        for host in system.hosts.values():
            host.events.clear()
        system.store.put('first', b'')
        system.store.away_for = set()
        await asyncio.sleep(2)
        for host in system.hosts.values():
            kinds = [type(event) for event in host.events]
            assert StoreReconnected in kinds
            removal = next(
                number
                for number, event in enumerate(host.events)
                if getattr(event, 'records', ())
            )
            assert kinds.index(StoreReconnected) < removal
            assert 'first' not in host.values

    run_system(scenario, 99)


@pytest.mark.parametrize('seconds', [0.3, 3, 10])
def test_a_reader_that_the_store_turned_away_is_no_outage(seconds) -> None:
    """Guards against removed upstreams that hosts keep as after an outage.

    The store served the other hosts all the time.
    """

    async def scenario(system: System) -> None:
        system.store.away_for = {system.readers()[0]}
        await asyncio.sleep(seconds)
        system.store.away_for = set()
        system.store.put('first', b'')
        await asyncio.sleep(2)
        for host in system.hosts.values():
            kinds = [type(event) for event in host.events]
            assert StoreReconnected not in kinds
            assert 'first' not in host.values

    run_system(scenario)


def test_a_reader_that_was_cut_off_is_no_outage_for_others() -> None:
    """Guards against the same through a reader that comes back."""

    async def scenario(system: System) -> None:
        reader = system.readers()[0]
        system.store.away_for = system.isolated = {reader}
        await asyncio.sleep(5)
        system.isolated = set()
        # The others have the next record from this reader only.
        system.store.away_for = set(system.hosts) - {reader}
        await asyncio.sleep(0.5)
        system.store.put('first', b'')
        await asyncio.sleep(2)
        for address, host in system.hosts.items():
            kinds = [type(event) for event in host.events]
            assert (StoreReconnected in kinds) == (address == reader)
            assert 'first' not in host.values

    run_system(scenario)


def test_a_host_that_starts_during_an_outage_is_told_by_its_peers() -> None:
    """Guards against a restarted host that knows nothing until the store is."""

    async def scenario(system: System) -> None:
        system.store.put('second', b'2')
        await asyncio.sleep(2)
        newcomer = '10.9.0.0'
        system.store.away_for = {*system.hosts, newcomer}
        await asyncio.sleep(1)
        host = system.add(newcomer, 'a')
        await asyncio.sleep(0.7)
        assert set(host.values) == {'first', 'second'}

    run_system(scenario)


def test_expired_records_are_listed_and_passed_on() -> None:
    async def scenario(system: System) -> None:
        system.store.put('first', b'')
        system.store.put('second', b'2')
        system.store.first_offset = len(system.store.records)
        await asyncio.sleep(2)
        for host in system.hosts.values():
            assert set(host.values) == {'second'}

    run_system(scenario)


def test_rewritten_entries_are_not_passed_on() -> None:
    """Guards against a fetch by each host for each record of the store.

    Upstreams write their entries again every second without a change.
    """

    async def scenario(system: System) -> None:
        before = sum(host.sharing.fetches for host in system.hosts.values())
        for number in range(50):
            system.store.put('first', b'1%d' % number)
            await asyncio.sleep(0.1)
        fetches = sum(host.sharing.fetches for host in system.hosts.values())
        assert fetches == before

    run_system(scenario)


def test_stale_confirmations_of_a_suspended_host_are_not_believed() -> None:
    """Guards against ages that leave out the time of a suspension.

    A response that a host receives after it was suspended shows the topic as
    it was when the request was sent.
    """

    async def scenario(system: System) -> None:
        reader = system.hosts[system.readers()[0]]
        topic = reader.consumer.topic
        read = topic.read

        async def read_slowly(offset: int, wait: float) -> KeyedPage:
            page = await read(offset, wait)
            await asyncio.sleep(5)
            return page

        topic.read = read_slowly
        await asyncio.sleep(7)
        announced = reader.sharing.announcements()['keyed.x']
        assert announced.age > 4
        others = [host for host in system.hosts.values() if host is not reader]
        assert max(host.age for host in others) < MAX_UPDATE_DELAY_SECONDS
        assert await system.update_delay('change') < 5

    run_system(scenario)


def test_confirmations_do_not_look_newer_with_each_hop() -> None:
    """Guards against hosts that confirm each other while the store is away.

    An age that is passed on leaves out the transit time of the report.
    """

    async def scenario(system: System) -> None:
        system.store.away_for = set(system.hosts)
        await asyncio.sleep(10)
        assert min(host.age for host in system.hosts.values()) > 9

    run_system(scenario, 21)
