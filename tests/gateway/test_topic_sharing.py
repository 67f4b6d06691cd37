"""Reads of the store divided among hosts, in virtual time without sockets."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from unittest import mock

import pytest

from primroseyoke.exceptions import ServiceUnavailable
from primroseyoke.gateway.balancer import Balancer
from primroseyoke.gateway.peers import PeerReporter
from primroseyoke.gateway.topic_consumers import TopicConsumer
from primroseyoke.gateway.topic_replica import TopicPage
from primroseyoke.gateway.topic_sharing import TopicSharing
from primroseyoke.gateway.topics import (
    KeyedPage,
    KeyedRecord,
    RecordsExpired,
    StoreReconnected,
    TopicListing,
)
from primroseyoke.gateway.upstreams import UpstreamRegistry
from primroseyoke.positions import EraTracker
from tests.event_loop import run

MAX_UPDATE_DELAY_SECONDS = 2.0
ROUND_TRIP_SECONDS = 0.004
ZONES = ('a', 'b', 'c')


class Store:
    """Topic with a count of calls; can be away, for all or for some hosts."""

    def __init__(self) -> None:
        self.records: list[KeyedRecord] = []
        self.first_offset = 0
        self.calls: dict[str, int] = {}
        self.away_for: set[str] = set()

    def put(self, key: str, value: bytes) -> None:
        self.records.append(KeyedRecord(key, value, len(self.records)))

    def topic(self, address: str) -> 'StoreTopic':
        return StoreTopic(self, address)


class StoreTopic:
    def __init__(self, store: Store, address: str) -> None:
        self.store = store
        self.address = address
        self.eras = EraTracker('store')

    async def read_latest(self) -> KeyedPage:
        await self._call()
        latest = {record.key: record for record in self.store.records}
        present = tuple(each for each in latest.values() if each.value)
        return KeyedPage(present, len(self.store.records))

    async def read(self, offset: int, wait: float) -> KeyedPage:
        await self._call()
        if offset < self.store.first_offset:
            raise RecordsExpired('expired')
        deadline = asyncio.get_running_loop().time() + wait
        while len(self.store.records) <= offset:
            if asyncio.get_running_loop().time() >= deadline:
                break
            await asyncio.sleep(0.01)
        records = tuple(self.store.records[offset:])
        return KeyedPage(records, len(self.store.records))

    async def _call(self) -> None:
        calls = self.store.calls
        calls[self.address] = calls.get(self.address, 0) + 1
        await asyncio.sleep(ROUND_TRIP_SECONDS)
        if self.address in self.store.away_for:
            raise ServiceUnavailable('away')


class DirectSharing(TopicSharing):
    """Fetches pages from the other hosts of a test without sockets."""

    system: 'System'
    address: str

    async def fetch(self, address, name, replica) -> TopicPage:
        await asyncio.sleep(0.001)
        if not self.system.connected(self.address, address):
            raise ServiceUnavailable('no connection')
        other = self.system.hosts[address].sharing
        self.fetches += 1
        return other.topics[name].consumer.replica.page(
            replica.next_offset, asyncio.get_running_loop().time()
        )


class Host:
    """One gateway's consumer of the topic, with the peer reports it needs."""

    def __init__(self, system: 'System', address: str, zone: str) -> None:
        self.events: list[object] = []
        self.values: dict[str, bytes] = {}
        self.reporter = PeerReporter(f'host-{address}', address, 1, zone)
        self.reporter.balancer = Balancer(
            UpstreamRegistry(), zone, random.Random(1), {}
        )
        self.reporter.transport = mock.Mock()
        self.reporter.transport.sendto = lambda content, target: system.deliver(
            address, content, target[0]
        )
        self.sharing = DirectSharing(
            self.reporter,
            1,
            zone,
            MAX_UPDATE_DELAY_SECONDS,
            random.Random(address),
        )
        self.sharing.system = system
        self.sharing.address = address
        self.reporter.sharing = self.sharing
        self.consumer = TopicConsumer(
            'keyed.x',
            system.store.topic(address),
            self.apply,
            system.interval,
            random.Random(address),
            lambda record: record.value[:1],
        )
        self.sharing.add_all([self.consumer])
        self.reporter.add_peers(system.hosts)
        self.tasks = [
            asyncio.ensure_future(self.reporter.run()),
            asyncio.ensure_future(self.consumer.run()),
        ]

    def apply(self, event) -> None:
        self.events.append(event)
        if isinstance(event, StoreReconnected):
            return
        if isinstance(event, TopicListing):
            self.values.clear()
        for record in event.records:
            if record.value:
                self.values[record.key] = record.value
            else:
                self.values.pop(record.key, None)

    @property
    def age(self) -> float:
        replica = self.consumer.replica
        return asyncio.get_running_loop().time() - replica.confirmed_at


class System:
    """Hosts in three zones, a store and the network between hosts."""

    def __init__(self, count: int, interval: float = 1) -> None:
        self.store = Store()
        self.interval = interval
        self.hosts: dict[str, Host] = {}
        self.frozen: set[str] = set()
        self.isolated: set[str] = set()
        self.store.put('first', b'1')
        for number in range(count):
            self.add(
                f'10.{number % 3}.0.{100 + number // 3}', ZONES[number % 3]
            )

    def add(self, address: str, zone: str) -> Host:
        host = Host(self, address, zone)
        self.hosts[address] = host
        return host

    def connected(self, first: str, second: str) -> bool:
        if second not in self.hosts or {first, second} & self.frozen:
            return False
        return (first in self.isolated) == (second in self.isolated)

    def deliver(self, sender: str, content: bytes, target: str) -> None:
        if self.connected(sender, target):
            asyncio.get_running_loop().call_later(
                0.001,
                self.hosts[target].reporter.datagram_received,
                content,
                (sender, 1),
            )

    def freeze(self, address: str) -> None:
        """Stop a host for good, without any notice to the others."""
        self.frozen.add(address)
        for task in self.hosts[address].tasks:
            task.cancel()

    def running_hosts(self) -> list[Host]:
        return [
            host
            for address, host in self.hosts.items()
            if address not in self.frozen
        ]

    def readers(self) -> list[str]:
        return [
            address
            for address, host in self.hosts.items()
            if host.sharing.topics['keyed.x'].is_reader
        ]

    async def calls_in(self, seconds: float) -> int:
        before = sum(self.store.calls.values())
        await asyncio.sleep(seconds)
        return sum(self.store.calls.values()) - before

    async def update_delay(self, key: str) -> float:
        """Return the time until all running hosts have a new record."""
        loop = asyncio.get_running_loop()
        published_at = loop.time()
        self.store.put(key, b'x')
        while not all(key in host.values for host in self.running_hosts()):
            assert loop.time() < published_at + 10, 'never'
            await asyncio.sleep(0.01)
        return loop.time() - published_at


def run_system(
    scenario: Callable[[System], Awaitable[None]],
    count: int = 9,
    interval: float = 1,
) -> None:
    """Run a scenario once all hosts know each other and the first record."""

    async def run_scenario() -> None:
        system = System(count, interval)
        await asyncio.sleep(3)
        assert all(host.values for host in system.hosts.values())
        await scenario(system)
        for host in system.hosts.values():
            for task in host.tasks:
                task.cancel()

    def now(*_clock: int) -> float:
        return asyncio.get_running_loop().time()

    with (
        mock.patch('time.monotonic', now),
        mock.patch('time.clock_gettime', now),
    ):
        run(run_scenario())


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
