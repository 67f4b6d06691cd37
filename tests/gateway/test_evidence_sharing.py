"""Crash evidence between gateways that lose messages, join and are cut off."""

import asyncio
import random

import cbor2
import pytest

from primroseyoke.gateway import crash_detection, evidence_sharing
from primroseyoke.gateway.balancer import Balancer
from primroseyoke.gateway.crash_detection import CrashDetector, request_traits
from primroseyoke.gateway.evidence_sharing import EvidenceSharing
from primroseyoke.gateway.peer_reports import Report, encode_message
from primroseyoke.gateway.peers import PeerReporter
from primroseyoke.gateway.requests import Body, CallerRequest
from primroseyoke.gateway.upstreams import Upstream, UpstreamRegistry

SERVICE = 'model'
# Rounds of one second in which a host that is in touch has to know of crashes.
MAX_ROUNDS = 3
PORT = 7340
TRANSIT_SECONDS = 0.02
# After this time, a crashed upstream is no longer registered.
EXPIRY_SECONDS = 5.0


class Clock:
    """Boot time that tests advance."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now

    def advance(self, seconds):
        self.now += seconds


@pytest.fixture
def clock(monkeypatch):
    current = Clock()
    monkeypatch.setattr(crash_detection, 'boot_time', current)
    monkeypatch.setattr(evidence_sharing, 'boot_time', current)
    return current


class Network:
    """Delivers datagrams between hosts; may lose them or cut hosts off."""

    def __init__(self, seed=1):
        self.generator = random.Random(seed)
        self.hosts = {}
        self.loss = 0.0
        self.cut = set()
        self.received = {}
        self.on_transit = lambda: None
        # Datagrams that wait at suspended hosts, with their senders.
        self.suspended = {}

    def add_host(self):
        number = len(self.hosts)
        host = Host(f'10.0.{number // 250}.{number % 250}', self)
        self.hosts[host.address] = host
        self.received[host.address] = []
        host.reporter.add_peers(self.hosts)
        return host

    def connect_all(self):
        for host in self.hosts.values():
            host.reporter.add_peers(self.hosts)

    def send(self, sender, content, receiver):
        if self.cut & {sender, receiver}:
            return
        if self.generator.random() < self.loss:
            return
        self.received[receiver].append(len(content))
        self.on_transit()
        if receiver in self.suspended:
            self.suspended[receiver].append((content, (sender, PORT)))
            return
        self.hosts[receiver].reporter.datagram_received(content, (sender, PORT))

    def resume(self, host):
        for content, sender in self.suspended.pop(host.address):
            host.reporter.datagram_received(content, sender)

    def gossip(self):
        for host in self.hosts.values():
            if host.address not in self.suspended:
                host.sharing.gossip()

    def know(self, *parts):
        return [host for host in self.hosts.values() if host.is_refused(*parts)]


class Transport:
    def __init__(self, address, network):
        self.address = address
        self.network = network

    def sendto(self, content, target):
        self.network.send(self.address, content, target[0])


class Host:
    """The parts of a gateway that find and share crash evidence."""

    def __init__(self, address, network):
        self.address = address
        registry = UpstreamRegistry()
        for number in range(16):
            registry.put(
                Upstream(f'u-{number}', SERVICE, 'h', 1, f'z-{number % 3}')
            )
        self.generator = random.Random(address)
        self.reporter = PeerReporter(address, address, PORT, 'z')
        self.reporter.balancer = Balancer(registry, 'z', self.generator, {})
        self.reporter.transport = Transport(address, network)
        self.detector = CrashDetector(registry, self.generator, self.check)
        self.sharing = EvidenceSharing(
            self.detector, self.reporter, self.generator
        )
        self.down = set()

    async def check(self, upstream):
        return upstream.name not in self.down

    def crash(self, name, *parts):
        """Begin an answer during which an upstream crashes."""
        upstream = self.detector.registry.upstreams[name]
        candidate = self.detector.start(upstream, request(*parts), SERVICE, 'c')
        self.down.add(name)
        asyncio.run(self.detector.record_break(candidate))
        self.detector.end(candidate)

    def answer(self, name, *parts):
        upstream = self.detector.registry.upstreams[name]
        candidate = self.detector.start(upstream, request(*parts), SERVICE, 'c')
        self.detector.record_sound(candidate)

    def is_refused(self, *parts):
        delay = self.detector.refusal_delay(request(*parts), SERVICE, 'c')
        return delay is not None


def request(*parts):
    body = b'%d' % random.getrandbits(60)
    return CallerRequest(
        'POST', '/x', '/x', 'h', (), 'r', body=Body((body,)), prompt_parts=parts
    )


def network_of(count, seed=1):
    network = Network(seed)
    for _ in range(count):
        network.add_host()
    network.connect_all()
    return network


def crash_two(network, first=0, second=1):
    hosts = list(network.hosts.values())
    hosts[first].crash('u-1', 'style', 'bad')
    hosts[second].crash('u-2', 'style', 'bad')


def test_all_hosts_know_of_crashes_at_once():
    """Guards against crashes that each host has to see for itself."""
    network = network_of(8)
    crash_two(network)
    assert len(network.know('style', 'bad')) == 8
    assert network.know('style') == []


def test_clearance_reaches_all_hosts():
    """Guards against hosts that blame what another host has answered."""
    network = network_of(8)
    hosts = list(network.hosts.values())
    for name in ('u-1', 'u-2'):
        hosts[0].crash(name, 'style')
    assert len(network.know('style')) == 8
    hosts[5].answer('u-3', 'style')
    assert network.know('style') == []


@pytest.mark.parametrize('seed', range(20))
def test_evidence_survives_lost_datagrams(seed):
    """Guards against a host that keeps on crashing upstreams unknowingly."""
    network = network_of(24, seed)
    network.loss = 0.2
    crash_two(network)
    for _ in range(MAX_ROUNDS):
        network.gossip()
    assert len(network.know('style', 'bad')) == 24


@pytest.mark.parametrize('seed', range(20))
def test_host_that_was_cut_off_learns_what_it_missed(seed):
    """Guards against the same through a host that returns from a partition."""
    network = network_of(24, seed)
    cut_off = list(network.hosts.values())[7]
    network.cut.add(cut_off.address)
    crash_two(network)
    assert not cut_off.is_refused('style', 'bad')
    network.cut.clear()
    for _ in range(MAX_ROUNDS):
        network.gossip()
    assert cut_off.is_refused('style', 'bad')


@pytest.mark.parametrize('seed', range(20))
def test_host_that_joins_or_restarts_gets_the_evidence(seed):
    """Guards against the same through a host that starts."""
    network = network_of(24, seed)
    crash_two(network)
    joined = network.add_host()
    hello = encode_message(Report(joined.address, {}))
    for host in tuple(network.hosts.values()):
        if host is not joined:
            network.send(joined.address, hello, host.address)
    for _ in range(MAX_ROUNDS):
        network.gossip()
    assert joined.is_refused('style', 'bad')


def refute_and_gossip(network):
    for host in network.hosts.values():
        host.detector.refute_false_crashes(EXPIRY_SECONDS)
        network.gossip()


def test_false_evidence_of_a_cut_host_ends_at_all_hosts(clock):
    """Guards against sound callers that are refused at all hosts.

    Ages in messages do not count the transit, so each copy of a crash seems a
    little later than the one it was made from.
    """
    network = network_of(8)
    network.on_transit = lambda: clock.advance(TRANSIT_SECONDS)
    cut_off = next(iter(network.hosts.values()))
    # Connections to two upstreams fail, those to others in their zones do not.
    cut_off.crash('u-1', 'style')
    cut_off.crash('u-2', 'style')
    assert len(network.know('style')) == 8
    clock.advance(EXPIRY_SECONDS + 1)
    refute_and_gossip(network)
    assert network.know('style') == []


def test_false_evidence_that_a_host_reads_late_ends_at_all_hosts(clock):
    """Guards against evidence that a host which stood still brings back.

    What waited in its socket seems as much too young as it stood still.
    """
    network = network_of(8)
    network.on_transit = lambda: clock.advance(TRANSIT_SECONDS)
    cut_off, *_, suspended = network.hosts.values()
    network.suspended[suspended.address] = []
    cut_off.crash('u-1', 'style')
    cut_off.crash('u-2', 'style')
    clock.advance(EXPIRY_SECONDS + 1)
    refute_and_gossip(network)
    assert network.know('style') == []
    network.resume(suspended)
    network.gossip()
    clock.advance(EXPIRY_SECONDS + 1)
    # A host that has just checked can get it from one that has not.
    for _ in network.hosts:
        refute_and_gossip(network)
    assert network.know('style') == []


@pytest.mark.parametrize('count', [24, 390])
def test_bytes_of_gossip_do_not_grow_with_hosts(count):
    """Guards against messages that grow with the square of the hosts.

    A host may use 17 KB/s for control in all, of which this is to take a third
    at most.
    """
    network = network_of(count)
    hosts = list(network.hosts.values())
    for number in range(40):
        hosts[number % 20].crash(f'u-{number % 16}', *map(str, range(12)))
    for received in network.received.values():
        received.clear()
    for _ in range(20):
        network.gossip()
    total = sum(sum(sizes) for sizes in network.received.values())
    assert total / 20 / count < 17000 / 3


def test_several_parts_that_crash_upstreams_are_all_told():
    """Guards against one part that takes all the room in messages."""
    network = network_of(24)
    hosts = list(network.hosts.values())
    cut_off = hosts[20]
    network.cut.add(cut_off.address)
    for part, first in (('bad', 0), ('worse', 6)):
        for number in range(6):
            hosts[number].crash(f'u-{first + number}', part, 'style')
        hosts[1].answer('u-15', 'style')
    network.cut.clear()
    for _ in range(MAX_ROUNDS):
        network.gossip()
    assert cut_off.is_refused('bad')
    assert cut_off.is_refused('worse')


def test_unknown_evidence_is_refused_and_changes_nothing():
    """Guards against malformed evidence that blocks callers or stops a host."""
    network = network_of(2)
    host = next(iter(network.hosts.values()))
    crash_two(network)
    before = dict(host.detector.suspects.blame)
    for crash in (
        {'crashes': 1},
        {'crashes': [{'upstream': 'u', 'requests': [[1]], 'age': -5.0}]},
        {'crashes': [{'upstream': 'u', 'requests': [[-1]], 'age': 0.0}]},
        {'crashes': [{'upstream': 5, 'requests': [[1]], 'age': 0.0}]},
        {'crashes': [{'upstream': 'u', 'requests': [[1]], 'age': 1e9}]},
        {'crashes': [], 'clearances': [{'trait': 'x', 'age': 0.0}]},
    ):
        network.send('10.9.9.9', cbor2.dumps(crash), host.address)
    assert host.detector.suspects.blame == before


def test_traits_are_the_same_at_all_hosts():
    """Guards against evidence that no other host can match."""
    first = CallerRequest(
        'POST',
        '/a',
        '/a?b',
        'h',
        (),
        'r-1',
        body=Body((b'x',)),
        prompt_parts=('5c',),
    )
    resent = CallerRequest(
        'POST',
        '/a',
        '/a?b',
        'h',
        (),
        'r-2',
        body=Body((b'x',)),
        prompt_parts=('5c',),
    )
    assert request_traits(first, 's', 'c') == request_traits(resent, 's', 'c')
    assert request_traits(first, 's', 'c') != request_traits(first, 's', 'd')
    assert request_traits(first, 's', 'c') != request_traits(first, 't', 'c')
