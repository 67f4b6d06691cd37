"""Exchange of reports between gateways over an emulated network."""

import asyncio
import dataclasses
import random
from collections.abc import Callable
from unittest import mock

import cbor2
import pytest

from primroseyoke.gateway.balancer import Balancer
from primroseyoke.gateway.notices import UpstreamNotices
from primroseyoke.gateway.peer_reports import (
    Batch,
    RelayedReport,
    Report,
    encode_message,
)
from primroseyoke.gateway.peers import PeerReporter
from primroseyoke.gateway.requests import ResponseHead
from primroseyoke.gateway.upstreams import Upstream, UpstreamRegistry
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


class LargeNetwork(Network):
    """Hosts in five zones, with a count of the datagrams."""

    def __init__(self, count: int) -> None:
        self.datagrams = 0
        self.largest = 0
        super().__init__(count)

    def add(self, address: str) -> PeerReporter:
        reporter = super().add(address)
        reporter.availability_zone = str(int(address.split('.')[-1]) % 5)
        return reporter

    def deliver(self, sender: str, content: bytes, target: str) -> None:
        self.datagrams += 1
        self.largest = max(self.largest, len(content))
        super().deliver(sender, content, target)

    def freeze(self, address: str) -> None:
        self.tasks[list(self.hosts).index(address)].cancel()
        self.hosts[address].transport.sendto = lambda *_message: None

    def knows(self, address: str, upstream: str, count: int) -> bool:
        return self.hosts[address].balancer.in_flight.total(upstream) == count


def run_large_network(
    scenario: Callable[[LargeNetwork], object], count: int = 99
) -> None:
    async def run_scenario() -> None:
        network = LargeNetwork(count)
        await asyncio.sleep(2)
        await scenario(network)  # type: ignore[misc]
        for task in network.tasks:
            task.cancel()

    def now(*_clock: int) -> float:
        return asyncio.get_running_loop().time()

    with (
        mock.patch('time.monotonic', now),
        mock.patch('time.clock_gettime', now),
    ):
        run(run_scenario())


async def start_requests(network: LargeNetwork, seconds: float) -> None:
    """Start and end four requests a second at each host."""
    hosts = list(network.hosts.values())
    generator = random.Random(1)
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    while loop.time() < ends_at:
        reporter = generator.choice(hosts)
        reporter.balancer.in_flight.record_start('u1')
        reporter.balancer.on_acquire()
        ended = generator.choice(hosts)
        if ended.balancer.in_flight.running:
            ended.balancer.in_flight.record_end('u1')
        await asyncio.sleep(1 / (4 * len(hosts)))


def test_datagrams_do_not_grow_with_the_square_of_the_hosts() -> None:
    """Guards against reports from each host to each other one.

    At 99 hosts that was about 900 datagrams a second and host.
    """

    async def scenario(network: LargeNetwork) -> None:
        network.datagrams = 0
        await start_requests(network, 3)
        assert network.datagrams / 3 / 99 < 130
        assert network.largest < 8192

    run_large_network(scenario)


def test_a_report_that_is_passed_on_reaches_all_hosts_soon() -> None:
    async def scenario(network: LargeNetwork) -> None:
        first = network.hosts['10.0.0.77']
        first.balancer.in_flight.record_start('u0')
        first.balancer.on_acquire()
        await asyncio.sleep(0.15)
        assert all(network.knows(each, 'u0', 1) for each in network.hosts)
        assert {each.host_count for each in network.hosts.values()} == {99}
        assert len(network.leaders()) == 1

    run_large_network(scenario)


def test_another_host_passes_on_reports_when_the_relay_freezes() -> None:
    """Guards against a zone that is not heard without its lowest address."""

    async def scenario(network: LargeNetwork) -> None:
        sender = network.hosts['10.0.0.75']
        relay = sender._relay_address()
        assert relay not in {None, '10.0.0.75'}
        network.freeze(relay)
        await asyncio.sleep(1.3)
        sender.balancer.in_flight.record_start('u0')
        sender.balancer.on_acquire()
        await asyncio.sleep(0.5)
        others = set(network.hosts) - {relay}
        assert all(network.knows(each, 'u0', 1) for each in others)

    run_large_network(scenario)


def test_a_host_that_joins_a_large_deployment_is_heard_and_hears() -> None:
    async def scenario(network: LargeNetwork) -> None:
        newcomer = network.add('10.0.0.200')
        newcomer.balancer.in_flight.record_start('u0')
        await asyncio.sleep(1.2)
        assert all(network.knows(each, 'u0', 1) for each in network.hosts)
        assert newcomer.host_count == 100
        assert newcomer._relay_address() is not None

    run_large_network(scenario)


def test_an_overtaken_report_is_ignored_and_a_restart_is_not() -> None:
    """Guards against an older report that arrives later by another way."""
    reporter = PeerReporter('me', '10.0.0.1', 1)
    reporter.balancer = Balancer(UpstreamRegistry(), 'a', random.Random(1), {})
    for sequence, count, expected in (
        (50_000, 2, 2),
        (49_900, 1, 2),
        (5, 3, 3),
    ):
        report = Report('other', {'u0': count}, sequence=sequence)
        reporter.datagram_received(encode_message(report), ('10.0.0.2', 1))
        assert reporter.balancer.in_flight.total('u0') == expected


def test_a_report_that_was_held_for_long_is_not_applied() -> None:
    """Guards against reports that a relay passes on after it was suspended."""
    reporter = PeerReporter('me', '10.0.0.1', 1)
    reporter.balancer = Balancer(UpstreamRegistry(), 'a', random.Random(1), {})
    for held, expected in ((5.0, 0), (0.1, 2)):
        relayed = RelayedReport('10.0.0.3', held, Report('other', {'u0': 2}))
        content = encode_message(Batch((relayed,)))
        reporter.datagram_received(content, ('10.0.0.2', 1))
        assert reporter.balancer.in_flight.total('u0') == expected


def test_hosts_are_unknown_until_this_one_is_known_to_them() -> None:
    """Guards against hosts that take rates that others use, as they start."""

    async def scenario(network: Network) -> None:
        new_host = network.add('10.0.0.9')
        await asyncio.sleep(5)
        assert not new_host.hosts
        new_host.add_all_hosts(network.hosts)
        await asyncio.sleep(1)
        assert not new_host.hosts
        for other in network.hosts.values():
            assert '10.0.0.9' in other.peers or other is new_host
        await asyncio.sleep(2)
        assert new_host.hosts == set(network.hosts)

    run_network(scenario)


def test_silent_hosts_stay_among_the_hosts_and_stopped_ones_do_not() -> None:
    """Guards against a host that is cut off and takes the rates of all."""

    async def scenario(network: Network) -> None:
        for host in network.hosts.values():
            host.add_all_hosts(network.hosts)
        network.partitioned = {'10.0.0.0'}
        await asyncio.sleep(30)
        isolated = network.hosts['10.0.0.0']
        assert isolated.hosts == set(network.hosts)
        assert network.hosts['10.0.0.1'].hosts == set(network.hosts)
        network.tasks[2].cancel()
        network.hosts['10.0.0.2'].announce_exit()
        await asyncio.sleep(1)
        assert '10.0.0.2' not in network.hosts['10.0.0.1'].hosts

    run_network(scenario)


def add_upstream(network: Network, upstream: Upstream) -> None:
    for host in network.hosts.values():
        host.balancer.registry.put(upstream)


def test_hosts_tell_each_other_the_limits_that_upstreams_state() -> None:
    """Guards against hosts that each learn of a limit by exceeding it."""

    async def scenario(network: Network) -> None:
        first, second = list(network.hosts.values())[:2]
        upstream = Upstream('u0', 'app', 'h', 1, 'a', started_at=7)
        add_upstream(network, upstream)
        now = asyncio.get_running_loop().time()
        head = ResponseHead(200, (), signed=True, rate_limit=1.5)
        first.balancer.limits.notices.record_response(upstream, head, now)
        await asyncio.sleep(0.5)
        notices = second.balancer.limits.notices
        assert notices.rate_limit(upstream, now) == 1.5
        assert not notices.recent(now)
        restarted = dataclasses.replace(upstream, started_at=8)
        assert notices.rate_limit(restarted, now) is None
        head = ResponseHead(200, (), signed=True)
        first.balancer.limits.notices.record_response(upstream, head, now + 0.5)
        await asyncio.sleep(0.5)
        assert notices.rate_limit(upstream, now) is None

    run_network(scenario)


def test_older_statements_of_a_limit_do_not_replace_newer_ones() -> None:
    async def scenario(network: Network) -> None:
        first, second = list(network.hosts.values())[:2]
        upstream = Upstream('u0', 'app', 'h', 1, 'a')
        add_upstream(network, upstream)
        now = asyncio.get_running_loop().time()
        for host, limit, at in ((first, 5.0, now - 1), (second, 2.0, now)):
            head = ResponseHead(200, (), signed=True, rate_limit=limit)
            host.balancer.limits.notices.record_response(upstream, head, at)
        await asyncio.sleep(0.5)
        for host in network.hosts.values():
            assert host.balancer.limits.notices.rate_limit(upstream, now) == 2

    run_network(scenario)


def test_reports_with_odd_limits_are_ignored() -> None:
    """Guards against a report that makes an upstream's limit last for ever."""
    peers = PeerReporter('me', '127.0.0.1', 1)
    registry = UpstreamRegistry()
    registry.put(Upstream('u', 'app', 'h', 1, 'a'))
    balancer = Balancer(registry, 'a', random.Random(1), {})
    peers.balancer = balancer
    for odd in (
        ['unknown', 0, 1, 0],
        ['u', 0, -1, 0],
        ['u', 0, 1, -5],
        ['u', -1, 1, 0],
        ['u', 0, 'x', 0],
        ['u', 0, 1, float('nan')],
        ['u', 0, float('nan'), 0],
    ):
        report = ['other', {}, False, False, 'a', {}, 1, False, [odd]]
        peers.datagram_received(cbor2.dumps(report), ('127.0.0.2', 1))
    assert not balancer.limits.notices.limits


def test_limit_of_an_upstream_lapses_without_news() -> None:
    """Guards against an upstream that is spared while its senders are away."""
    notices = UpstreamNotices(random.Random(1), UpstreamRegistry())
    upstream = Upstream('u0', 'app', 'h', 1, 'a')
    head = ResponseHead(200, (), signed=True, rate_limit=0)
    notices.record_response(upstream, head, 100)
    assert notices.rate_limit(upstream, 129) == 0
    assert notices.rate_limit(upstream, 161) is None


@pytest.mark.parametrize('odd', ['', 'nowhere', '10.0.0.1\0', '10.0.0.1:80'])
def test_addresses_that_are_no_ip_addresses_are_ignored(odd) -> None:
    """Guards against an address to which no report can be sent."""
    peers = PeerReporter('me', '127.0.0.1', 1)
    peers.balancer = Balancer(UpstreamRegistry(), 'a', random.Random(1), {})
    peers.add_peers([odd, '10.0.0.2'])
    content = cbor2.dumps(
        {'reports': [[odd, 0, ['other', {}, False, False, 'a', {}, 1]]]}
    )
    peers.datagram_received(content, ('127.0.0.2', 1))
    assert set(peers.peers) == {'10.0.0.2'}


def test_shorter_pause_does_not_end_a_longer_one() -> None:
    """Guards against a rejection that shortens what an upstream wanted."""
    notices = UpstreamNotices(random.Random(1), UpstreamRegistry())
    upstream = Upstream('u0', 'app', 'h', 1, 'a')
    for pause in (30, 1):
        head = ResponseHead(503, (), executed=False, pause=pause)
        notices.record_response(upstream, head, 100)
    assert 30 <= notices.pause_left(upstream, 100) <= 36


def test_next_leader_takes_over_within_half_a_second_of_a_stall() -> None:
    """Guards against a long stall when the leader is suspended in a change."""

    async def scenario(network: Network) -> None:
        network.partitioned = {'10.0.0.0'}
        following = network.hosts['10.0.0.1']
        await asyncio.sleep(0.1)
        assert not following.leads(has_stalled_group=True)
        await asyncio.sleep(0.41)
        assert following.leads(has_stalled_group=True)
        assert not following.is_leader

    run_network(scenario)


def test_costs_of_passes_reach_a_host_that_has_just_started() -> None:
    """Guards against hosts that admit by different limits after a restart."""

    async def scenario(network: Network) -> None:
        for host in network.hosts.values():
            host.balancer.groups.add_rank('u', 'g')
        measured = network.hosts['10.0.0.0'].balancer.groups
        measured.group_estimator('g').adopt(0.0002, 1)
        restarted = network.hosts['10.0.0.1'].balancer.groups
        assert restarted.group_estimator('g').peak_cost is None
        await asyncio.sleep(0.4)
        assert restarted.group_estimator('g').peak_cost == 0.0002

    run_network(scenario)


def test_heartbeats_tell_who_holds_the_lease() -> None:
    """Guards against hosts that claim the lease while they hear its holder."""

    async def scenario(network: Network) -> None:
        first, *others = network.hosts.values()
        heard: dict[str, list[int]] = {}
        for each in network.hosts.values():
            each.on_lease = heard.setdefault(each.address, []).append
        await asyncio.sleep(1)
        assert not any(heard.values())
        first.held_lease = lambda: 7
        first.send_heartbeat()
        await asyncio.sleep(0.02)
        for each in others:
            assert heard[each.address] == [7]
        await asyncio.sleep(1)
        assert not heard[first.address]
        assert all(len(heard[each.address]) >= 3 for each in others)

    run_network(scenario)


def test_active_hosts_with_lower_addresses_are_counted() -> None:
    """Guards against several hosts that claim the lease at the same time."""

    async def scenario(network: Network) -> None:
        counts = [each.lower_host_count for each in network.hosts.values()]
        assert counts == [0, 1, 2, 3, 4]
        network.hosts['10.0.0.1'].announce_drain()
        network.partitioned.add('10.0.0.0')
        await asyncio.sleep(1.5)
        counts = [each.lower_host_count for each in network.hosts.values()]
        assert counts == [0, 0, 0, 1, 2]

    run_network(scenario)


def test_heartbeats_tell_which_groups_are_silent() -> None:
    """Guards against a held group of which the leader does not learn."""

    async def scenario(network: Network) -> None:
        loop = asyncio.get_running_loop()
        monitors = [
            reporter.balancer.groups for reporter in network.hosts.values()
        ]
        for monitor in monitors:
            monitor.add_rank('u0', 'x')
        monitors[3].record_request('u0', 'request', loop.time())
        await asyncio.sleep(0.9)
        assert not monitors[0].is_silent('x', loop.time())
        await asyncio.sleep(0.6)
        assert monitors[0].is_silent('x', loop.time())
        monitors[3].status_of('u0').waiting.clear()
        await asyncio.sleep(1.5)
        assert not monitors[0].is_silent('x', loop.time())

    run_network(scenario)
