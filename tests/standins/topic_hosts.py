"""Gateways that share a topic of a stand-in store, in virtual time."""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable
from unittest import mock

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
        self.era = 1

    def restore(self, count: int) -> None:
        """Come back from a copy that has the first ``count`` records."""
        self.era += 1
        self.records = [
            dataclasses.replace(record, era=self.era)
            for record in self.records[:count]
        ]

    def put(self, key: str, value: bytes) -> None:
        self.records.append(
            KeyedRecord(key, value, len(self.records), self.era)
        )

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
        return KeyedPage(present, len(self.store.records), self.store.era)

    async def read(self, offset: int, wait: float) -> KeyedPage:
        await self._call()
        if not self.store.first_offset <= offset <= len(self.store.records):
            raise RecordsExpired('expired')
        deadline = asyncio.get_running_loop().time() + wait
        while len(self.store.records) <= offset:
            if asyncio.get_running_loop().time() >= deadline:
                break
            await asyncio.sleep(0.01)
        records = tuple(self.store.records[offset:])
        return KeyedPage(records, len(self.store.records), self.store.era)

    async def _call(self) -> None:
        calls = self.store.calls
        calls[self.address] = calls.get(self.address, 0) + 1
        await asyncio.sleep(ROUND_TRIP_SECONDS)
        if self.address in self.store.away_for:
            raise ServiceUnavailable('away')
        self.eras.learn(self.store.era, asyncio.get_running_loop().time())


class DirectSharing(TopicSharing):
    """Fetches pages from the other hosts of a test without sockets."""

    system: 'System'
    address: str

    async def fetch(self, address, name, position) -> TopicPage:
        await asyncio.sleep(0.001)
        if not self.system.connected(self.address, address):
            raise ServiceUnavailable('no connection')
        other = self.system.hosts[address].sharing
        self.fetches += 1
        return other.topics[name].consumer.replica.page(
            position, asyncio.get_running_loop().time()
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
            keeps_lost=True,
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
