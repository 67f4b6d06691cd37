"""Hosts that share a topic whose store comes back from an older copy."""

import asyncio
import zlib

import cbor2
import pytest

from primroseyoke.gateway.peer_reports import decode_message
from primroseyoke.gateway.topic_replica import TopicReplica
from primroseyoke.gateway.topic_sharing import Announcement, decode_page
from primroseyoke.gateway.topics import StoreReconnected
from primroseyoke.positions import Position
from tests.standins.topic_hosts import (
    MAX_UPDATE_DELAY_SECONDS,
    System,
    run_system,
)


async def lose_records(system: System, count: int, seconds: float = 2) -> None:
    """Take the store away from all hosts; it comes back with ``count``."""
    system.store.away_for = set(system.hosts)
    await asyncio.sleep(seconds)
    system.store.restore(count)
    system.store.away_for = set()


@pytest.mark.parametrize('rewritten', [0, 1, 2, 5])
def test_records_written_after_a_return_reach_all_hosts(rewritten: int) -> None:
    """Guards against hosts that go by offsets which the store gives out again.

    The reader that found the new record was not ahead of the others, since its
    offset was the one that they had.
    """

    async def scenario(system: System) -> None:
        for number in range(3):
            await system.update_delay(f'lost-{number}')
        await lose_records(system, 1)
        await asyncio.sleep(0.1)
        for number in range(rewritten):
            system.store.put(f'lost-{number}', b'y')
        await asyncio.sleep(3)
        assert await system.update_delay('new') < MAX_UPDATE_DELAY_SECONDS

    run_system(scenario)


@pytest.mark.parametrize('kept', [1, 2])
@pytest.mark.parametrize('keeps_lost', [True, False])
def test_all_hosts_know_that_the_store_is_a_copy(
    kept: int, keeps_lost: bool
) -> None:
    """Guards against entries that count as removed since the copy lacks them.

    The store does not fail any read, and the copy may lack nothing.
    """

    async def scenario(system: System) -> None:
        for host in system.hosts.values():
            host.consumer.replica.keeps_lost = keeps_lost
        await system.update_delay('second')
        system.store.restore(kept)
        await asyncio.sleep(3)
        for host in system.hosts.values():
            assert StoreReconnected in map(type, host.events)

    run_system(scenario)


def test_records_between_are_not_skipped() -> None:
    """Guards against offsets that pass the old ones before the next read.

    No read then gets a response that shows the loss.
    """

    async def scenario(system: System) -> None:
        for number in range(3):
            await system.update_delay(f'lost-{number}')
        await lose_records(system, 1)
        for number in range(6):
            system.store.put(f'new-{number}', b'x')
        await asyncio.sleep(2 * MAX_UPDATE_DELAY_SECONDS)
        for host in system.hosts.values():
            assert {f'new-{number}' for number in range(6)} <= set(host.values)

    run_system(scenario)


def test_a_host_that_knows_only_the_copy_is_told_by_its_peers() -> None:
    """Guards against hosts that start on the copy and serve an older state."""

    async def scenario(system: System) -> None:
        await system.update_delay('lost')
        await lose_records(system, 1)
        await asyncio.sleep(2)
        host = system.add('10.9.0.0', 'a')
        await asyncio.sleep(2)
        assert 'lost' in host.values

    run_system(scenario)


def test_a_removal_that_was_lost_stays_in_effect() -> None:
    """Guards against a copy that says the opposite of what was acknowledged."""

    async def scenario(system: System) -> None:
        await system.update_delay('second')
        system.store.put('first', b'')
        await asyncio.sleep(2)
        await lose_records(system, 2)
        await asyncio.sleep(3)
        for host in system.hosts.values():
            assert set(host.values) == {'second'}
        await system.update_delay('first')

    run_system(scenario)


def test_an_order_that_was_written_and_withdrawn_again_is_withdrawn() -> None:
    """Guards against keeping what was lost after its key is written again."""

    async def scenario(system: System) -> None:
        await system.update_delay('lost')
        await lose_records(system, 1)
        await asyncio.sleep(1)
        system.store.put('lost', b'x')
        system.store.put('lost', b'')
        await asyncio.sleep(2)
        for host in system.hosts.values():
            assert set(host.values) == {'first'}

    run_system(scenario)


def test_nothing_changes_if_the_era_rises_without_a_loss() -> None:
    async def scenario(system: System) -> None:
        await system.update_delay('second')
        await lose_records(system, 2)
        await asyncio.sleep(2)
        for host in system.hosts.values():
            assert set(host.values) == {'first', 'second'}
            assert host.age < MAX_UPDATE_DELAY_SECONDS
        assert await system.update_delay('new') < MAX_UPDATE_DELAY_SECONDS

    run_system(scenario)


def test_the_second_of_two_copies_may_be_older() -> None:
    """Guards against records of the first copy that replace what it lost."""

    async def scenario(system: System) -> None:
        for number in range(3):
            await system.update_delay(f'lost-{number}')
        system.store.put('first', b'2')
        await asyncio.sleep(2)
        await lose_records(system, 3)
        await asyncio.sleep(1)
        await lose_records(system, 1)
        await asyncio.sleep(3)
        for host in system.hosts.values():
            assert host.values['first'] == b'2'
            assert {'lost-0', 'lost-1', 'lost-2'} <= set(host.values)
        assert await system.update_delay('new') < MAX_UPDATE_DELAY_SECONDS

    run_system(scenario)


def test_a_host_cut_off_from_the_store_gets_the_new_era_from_others() -> None:
    async def scenario(system: System) -> None:
        for number in range(2):
            await system.update_delay(f'lost-{number}')
        cut_off = sorted(system.hosts)[-1]
        await lose_records(system, 1)
        system.store.away_for = {cut_off}
        await asyncio.sleep(1)
        system.store.put('lost-0', b'y')
        assert await system.update_delay('new') < 2 * MAX_UPDATE_DELAY_SECONDS
        assert system.hosts[cut_off].values['lost-0'] == b'y'

    run_system(scenario)


def test_a_confirmation_of_an_earlier_era_is_not_believed() -> None:
    """Guards against hosts that are told by a host which missed the return."""

    async def scenario(system: System) -> None:
        await system.update_delay('lost')
        host = system.hosts[system.readers()[0]]
        await lose_records(system, 1)
        await asyncio.sleep(1)
        system.store.put('lost', b'y')
        await asyncio.sleep(1)
        topic = host.sharing.topics['keyed.x']
        replica = host.consumer.replica
        replica.confirmed_at = -1
        topic.receive(
            '10.9.9.9',
            Announcement(2, 1, 0),
            asyncio.get_running_loop().time(),
        )
        assert replica.confirmed_at == -1
        assert topic.newer_host(replica) is None

    run_system(scenario)


def test_hosts_without_eras_are_followed_until_a_later_era_is_known() -> None:
    """Guards against deployments of two builds that do not hear each other.

    The announcements and pages of the earlier build have no era.
    """
    report = cbor2.dumps(
        ['old', {}, False, False, 'a', {'keyed.x': [5, 77, 0.1]}]
    )
    announcement = decode_message(report).topics['keyed.x']
    assert announcement.next_position == Position(0, 5)
    replica = TopicReplica(lambda record: record.value)
    replica.replace([], Position(0, 4))
    assert announcement.is_ahead_of(replica)
    replica.replace([], Position(1, 2))
    assert not announcement.is_ahead_of(replica)
    records = zlib.compress(cbor2.dumps([['first', b'1', 4]]))
    page = decode_page('x', cbor2.dumps([False, records, 5, 0.1, 2.0]))
    assert page.next_position == Position(0, 5)


@pytest.mark.parametrize('count', [21, 99])
def test_only_some_hosts_list_the_topic_after_a_return(count: int) -> None:
    """Guards against a burst of reads by all hosts, as at a start."""

    async def scenario(system: System) -> None:
        await system.update_delay('lost')
        listings = sum(
            host.consumer.listing_count for host in system.hosts.values()
        )
        await lose_records(system, 1, seconds=1)
        await asyncio.sleep(3)
        listings = (
            sum(host.consumer.listing_count for host in system.hosts.values())
            - listings
        )
        assert listings <= 2 * len(system.readers())
        for host in system.hosts.values():
            assert host.consumer.replica.next_position.era == 2

    run_system(scenario, count)


def test_a_return_costs_few_calls() -> None:
    """Guards against a loop of listings and reads that the store refuses."""

    async def scenario(system: System) -> None:
        for number in range(3):
            await system.update_delay(f'lost-{number}')
        await lose_records(system, 1)
        await asyncio.sleep(2)
        readers = len(system.readers())
        assert await system.calls_in(10) <= readers * 21

    run_system(scenario)
