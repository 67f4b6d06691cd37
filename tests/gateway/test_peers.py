"""Reports between gateways, over an emulated network."""

import asyncio
import random
from collections.abc import Callable
from unittest import mock

import pytest

from primroseyoke.gateway.balancer import Balancer
from primroseyoke.gateway.peers import PeerReports
from primroseyoke.gateway.upstreams import Fleet
from tests.clock import run


class Network:
    """Carries datagrams, but for those between cut addresses."""

    def __init__(self, count: int) -> None:
        self.hosts: dict[str, PeerReports] = {}
        self.cut: set[str] = set()
        self.tasks: list[asyncio.Task[None]] = []
        for number in range(count):
            self.add(f'10.0.0.{number}')

    def add(self, address: str) -> PeerReports:
        reports = PeerReports(f'host-{address}', address, 1)
        balancer = Balancer(Fleet(), 'a', random.Random(1), {})
        reports.balancer = balancer
        balancer.on_begin = reports.begun.set
        reports.transport = mock.Mock()
        reports.transport.sendto = lambda content, target: self.carry(
            address,
            content,
            target[0],
        )
        reports.introduce(self.hosts)
        self.hosts[address] = reports
        self.tasks.append(asyncio.ensure_future(reports.run()))
        return reports

    def carry(self, sender: str, content: bytes, target: str) -> None:
        same_side = (sender in self.cut) == (target in self.cut)
        if target in self.hosts and same_side:
            receive = self.hosts[target].datagram_received
            loop = asyncio.get_running_loop()
            loop.call_later(0.001, receive, content, (sender, 1))

    def leaders(self) -> list[str]:
        return [
            address
            for address, reports in self.hosts.items()
            if reports.is_first and not reports.draining
        ]


def play(scenario: Callable[[Network], object], count: int = 5) -> None:
    """Run a scenario with hosts that know each other."""

    async def whole() -> None:
        network = Network(count)
        await asyncio.sleep(1)
        await scenario(network)  # type: ignore[misc]
        for task in network.tasks:
            task.cancel()

    with mock.patch(
        'time.monotonic',
        lambda: asyncio.get_running_loop().time(),
    ):
        run(whole())


def test_reports_that_cannot_be_read_are_skipped() -> None:
    peers = PeerReports('me', '127.0.0.1', 1)
    for content in (b'', b'\xff', b'\x83\x01\x02\x03', b'\xa0'):
        peers.datagram_received(content, ('127.0.0.2', 1))
    assert not peers.peers


def test_use_is_told_at_once_when_a_request_begins() -> None:
    async def scenario(network: Network) -> None:
        first, second = list(network.hosts.values())[:2]
        first.balancer.usage.begin('u0')
        first.balancer.on_begin()
        await asyncio.sleep(0.02)
        assert second.balancer.usage.total('u0') == 1

    play(scenario)


def test_hosts_find_each_other_while_requests_come_and_go() -> None:
    """Guards against reports of changes that put off the heartbeats."""

    async def scenario(network: Network) -> None:
        added = network.add('10.0.0.9')
        for _ in range(50):
            added.balancer.usage.begin('u0')
            added.balancer.on_begin()
            await asyncio.sleep(0.02)
        assert added.hosts == 6
        others = [each for each in network.hosts.values() if each is not added]
        assert all('10.0.0.9' in each.peers for each in others)

    play(scenario)


def test_the_lowest_address_that_is_heard_leads() -> None:
    async def scenario(network: Network) -> None:
        assert network.leaders() == ['10.0.0.0']
        network.hosts['10.0.0.0'].leave()
        network.hosts.pop('10.0.0.0')
        network.tasks[0].cancel()
        await asyncio.sleep(0.1)
        assert network.leaders() == ['10.0.0.1']

    play(scenario)


def test_a_host_that_falls_silent_leads_no_more() -> None:
    async def scenario(network: Network) -> None:
        network.tasks[0].cancel()
        network.hosts.pop('10.0.0.0')
        await asyncio.sleep(1)
        assert network.leaders() == ['10.0.0.1']

    play(scenario)


def test_an_address_that_was_only_told_does_not_lead() -> None:
    """Guards against seconds without a leader after a host was replaced."""

    async def scenario(network: Network) -> None:
        for reports in network.hosts.values():
            reports.introduce(['10.0.0.-1'])
        await asyncio.sleep(0.1)
        assert network.leaders() == ['10.0.0.0']

    play(scenario)


@pytest.mark.parametrize('cut', [1, 2])
def test_only_the_larger_part_of_a_partition_has_a_leader(cut: int) -> None:
    """Guards against two leaders that undo each other's map changes."""

    async def scenario(network: Network) -> None:
        network.cut = set(list(network.hosts)[:cut])
        await asyncio.sleep(1.5)
        assert network.leaders() == [f'10.0.0.{cut}']
        network.cut = set()
        await asyncio.sleep(1)
        assert network.leaders() == ['10.0.0.0']

    play(scenario)


def test_hosts_find_each_other_after_a_long_partition() -> None:
    """Guards against addresses that are forgotten on both sides."""

    async def scenario(network: Network) -> None:
        network.cut = {'10.0.0.3', '10.0.0.4'}
        await asyncio.sleep(60)
        assert network.hosts['10.0.0.0'].hosts == 3
        network.cut = set()
        await asyncio.sleep(1)
        assert {each.hosts for each in network.hosts.values()} == {5}

    play(scenario)


def test_requests_of_a_host_that_drains_still_count() -> None:
    """Guards against places that are given away twice while a host stops."""

    async def scenario(network: Network) -> None:
        draining = network.hosts['10.0.0.0']
        draining.balancer.usage.begin('u0')
        draining.drain()
        await asyncio.sleep(2)
        other = network.hosts['10.0.0.1']
        assert other.balancer.usage.total('u0') == 1
        assert network.leaders() == ['10.0.0.1']
        other.balancer.usage.begin('u1')
        other.balancer.on_begin()
        await asyncio.sleep(0.1)
        assert draining.balancer.usage.total('u1') == 1
        draining.leave()
        await asyncio.sleep(0.01)
        assert other.balancer.usage.total('u0') == 0

    play(scenario)
