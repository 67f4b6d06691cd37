"""Exchange of reports between gateways over an emulated network."""

import asyncio
import random
from collections.abc import Callable
from unittest import mock

import pytest

from primroseyoke.gateway.balancer import Balancer
from primroseyoke.gateway.peers import PeerReporter
from primroseyoke.gateway.upstreams import UpstreamRegistry
from tests.event_loop import run


class Network:
    """Delivers datagrams, except between the two sides of a partition."""

    def __init__(self, count: int) -> None:
        self.hosts: dict[str, PeerReporter] = {}
        self.partitioned: set[str] = set()
        self.tasks: list[asyncio.Task[None]] = []
        for number in range(count):
            self.add(f'10.0.0.{number}')

    def add(self, address: str) -> PeerReporter:
        reporter = PeerReporter(f'host-{address}', address, 1)
        balancer = Balancer(UpstreamRegistry(), 'a', random.Random(1), {})
        reporter.balancer = balancer
        balancer.on_acquire = reporter.report_requested.set
        reporter.transport = mock.Mock()
        reporter.transport.sendto = lambda content, target: self.deliver(
            address,
            content,
            target[0],
        )
        reporter.add_peers(self.hosts)
        self.hosts[address] = reporter
        self.tasks.append(asyncio.ensure_future(reporter.run()))
        return reporter

    def deliver(self, sender: str, content: bytes, target: str) -> None:
        same_side = (sender in self.partitioned) == (target in self.partitioned)
        if target in self.hosts and same_side:
            receive = self.hosts[target].datagram_received
            loop = asyncio.get_running_loop()
            loop.call_later(0.001, receive, content, (sender, 1))

    def leaders(self) -> list[str]:
        return [
            address
            for address, reporter in self.hosts.items()
            if reporter.is_leader and not reporter.draining
        ]


def run_network(scenario: Callable[[Network], object], count: int = 5) -> None:
    """Run a scenario with hosts that have exchanged reports."""

    async def run_scenario() -> None:
        network = Network(count)
        await asyncio.sleep(1)
        await scenario(network)  # type: ignore[misc]
        for task in network.tasks:
            task.cancel()

    with mock.patch(
        'time.monotonic',
        lambda: asyncio.get_running_loop().time(),
    ):
        run(run_scenario())


def test_malformed_reports_are_ignored() -> None:
    peers = PeerReporter('me', '127.0.0.1', 1)
    for content in (b'', b'\xff', b'\x83\x01\x02\x03', b'\xa0'):
        peers.datagram_received(content, ('127.0.0.2', 1))
    assert not peers.peers


def test_new_request_is_reported_at_once() -> None:
    async def scenario(network: Network) -> None:
        first, second = list(network.hosts.values())[:2]
        first.balancer.in_flight.record_start('u0')
        first.balancer.on_acquire()
        await asyncio.sleep(0.02)
        assert second.balancer.in_flight.total('u0') == 1

    run_network(scenario)


def test_heartbeats_are_sent_while_load_changes() -> None:
    """Guards against reports of load changes that delay the heartbeats.

    Only heartbeats go to peers that have not reported yet.
    """

    async def scenario(network: Network) -> None:
        new_host = network.add('10.0.0.9')
        for _ in range(50):
            new_host.balancer.in_flight.record_start('u0')
            new_host.balancer.on_acquire()
            await asyncio.sleep(0.02)
        assert new_host.host_count == 6
        others = [
            each for each in network.hosts.values() if each is not new_host
        ]
        assert all('10.0.0.9' in each.peers for each in others)

    run_network(scenario)


def test_lowest_address_that_reports_leads() -> None:
    async def scenario(network: Network) -> None:
        assert network.leaders() == ['10.0.0.0']
        network.hosts['10.0.0.0'].announce_exit()
        network.hosts.pop('10.0.0.0')
        network.tasks[0].cancel()
        await asyncio.sleep(0.1)
        assert network.leaders() == ['10.0.0.1']

    run_network(scenario)


def test_host_that_stops_reporting_loses_leadership() -> None:
    async def scenario(network: Network) -> None:
        network.tasks[0].cancel()
        network.hosts.pop('10.0.0.0')
        await asyncio.sleep(1)
        assert network.leaders() == ['10.0.0.1']

    run_network(scenario)


def test_address_without_a_report_does_not_lead() -> None:
    """Guards against seconds without a leader after a host was replaced.

    An address from the store or the settings may have no running host.
    """

    async def scenario(network: Network) -> None:
        for reporter in network.hosts.values():
            reporter.add_peers(['10.0.0.-1'])
        await asyncio.sleep(0.1)
        assert network.leaders() == ['10.0.0.0']

    run_network(scenario)


@pytest.mark.parametrize('minority_count', [1, 2])
def test_only_the_majority_side_of_a_partition_has_a_leader(
    minority_count: int,
) -> None:
    """Guards against two leaders that undo each other's placement changes."""

    async def scenario(network: Network) -> None:
        network.partitioned = set(list(network.hosts)[:minority_count])
        await asyncio.sleep(1.5)
        assert network.leaders() == [f'10.0.0.{minority_count}']
        network.partitioned = set()
        await asyncio.sleep(1)
        assert network.leaders() == ['10.0.0.0']

    run_network(scenario)


def test_hosts_reconnect_after_a_long_partition() -> None:
    """Guards against peer addresses that are dropped on both sides."""

    async def scenario(network: Network) -> None:
        network.partitioned = {'10.0.0.3', '10.0.0.4'}
        await asyncio.sleep(60)
        assert network.hosts['10.0.0.0'].host_count == 3
        network.partitioned = set()
        await asyncio.sleep(1)
        assert {each.host_count for each in network.hosts.values()} == {5}

    run_network(scenario)


def test_requests_of_a_draining_host_still_count() -> None:
    """Guards against slots that are reserved twice while a host drains."""

    async def scenario(network: Network) -> None:
        draining = network.hosts['10.0.0.0']
        draining.balancer.in_flight.record_start('u0')
        draining.announce_drain()
        await asyncio.sleep(2)
        other = network.hosts['10.0.0.1']
        assert other.balancer.in_flight.total('u0') == 1
        assert network.leaders() == ['10.0.0.1']
        other.balancer.in_flight.record_start('u1')
        other.balancer.on_acquire()
        await asyncio.sleep(0.1)
        assert draining.balancer.in_flight.total('u1') == 1
        draining.announce_exit()
        await asyncio.sleep(0.01)
        assert other.balancer.in_flight.total('u0') == 0

    run_network(scenario)
