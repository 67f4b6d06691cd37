"""Decisions about which upstreams crashed and which requests are refused."""

import asyncio
import itertools
import random

import pytest

from primroseyoke.gateway import crash_detection
from primroseyoke.gateway.crash_detection import CrashDetector
from primroseyoke.gateway.requests import Body, CallerRequest
from primroseyoke.gateway.upstreams import Upstream, UpstreamRegistry
from primroseyoke.evidence import NO_EVIDENCE

UPSTREAMS = ('a', 'b', 'c', 'd')
SERVICE = 'model'


class Host:
    """Detector of one host, which finds the upstreams in ``down`` down."""

    def __init__(self):
        registry = UpstreamRegistry()
        for name in UPSTREAMS:
            registry.put(
                Upstream(name, SERVICE, 'h', 1, f'zone-{name}', started_at=7)
            )
            registry.put(Upstream(f'{name}2', SERVICE, 'h', 1, f'zone-{name}'))
        self.down = set()
        self.unknown = set()
        self.checked = []
        self.sent = []
        self.numbers = itertools.count()
        self.detector = CrashDetector(registry, random.Random(1), self.check)
        self.detector.on_evidence = self.sent.append

    async def check(self, upstream):
        self.checked.append(upstream.name)
        await asyncio.sleep(0)
        if upstream.name in self.unknown:
            return None
        return upstream.name not in self.down

    def request(self, *parts):
        number = str(next(self.numbers))
        return CallerRequest(
            'POST',
            '/x',
            '/x',
            'h',
            (),
            number,
            body=Body((number.encode(),)),
            prompt_parts=parts,
        )

    def start(self, name, *parts):
        upstream = self.detector.registry.upstreams[name]
        request = self.request(*parts)
        return self.detector.start(upstream, request, SERVICE, 'workshop')

    async def crash(self, name, *parts):
        """Start a request; the upstream crashes before it is answered."""
        candidate = self.start(name, *parts)
        self.down.add(name)
        await self.detector.record_break(candidate)
        self.detector.end(candidate)

    def is_refused(self, *parts):
        delay = self.detector.refusal_delay(
            self.request(*parts), SERVICE, 'workshop'
        )
        return delay is not None


@pytest.fixture
def host():
    return Host()


@pytest.fixture
def clock(monkeypatch):
    """Boot time that tests advance."""

    class Clock:
        now = 1000.0

        def __call__(self):
            return self.now

    current = Clock()
    monkeypatch.setattr(crash_detection, 'boot_time', current)
    return current


def run(*steps):
    async def scenario():
        for step in steps:
            await step

    asyncio.run(scenario())


def test_part_at_two_crashes_is_refused(host):
    """Guards against further crashes by requests that share a part."""
    run(host.crash('a', 'style', 'bad'), host.crash('b', 'style', 'bad'))
    assert host.is_refused('style', 'bad', 'other')
    assert not host.is_refused('style', 'other')


def test_broken_connection_to_a_living_upstream_is_no_crash(host):
    """Guards against blame for connections that were merely reset."""
    candidates = [host.start(name, 'style') for name in ('a', 'b')]
    run(*map(host.detector.record_break, candidates))
    assert host.detector.suspects.blame == {}


def test_host_that_is_cut_off_blames_nothing(host):
    """Guards against evidence of a host that all upstreams refuse."""
    host.down.update(host.detector.registry.upstreams)
    run(*(host.crash(name, 'style') for name in UPSTREAMS))
    assert host.detector.suspects.blame == {}


def test_zone_that_is_cut_off_is_no_crash(host):
    """Guards against blame while upstreams do not respond at all."""
    host.unknown.update(host.detector.registry.upstreams)
    run(*(host.crash(name, 'style') for name in UPSTREAMS))
    assert host.detector.suspects.blame == {}


@pytest.mark.parametrize('leaves', ['draining', 'removed'])
def test_end_of_a_leaving_upstream_is_no_crash(host, leaves):
    """Guards against blame for the requests that a planned stop interrupts."""
    registry = host.detector.registry
    candidates = [host.start(name, 'style') for name in ('a', 'b')]
    for candidate in candidates:
        upstream = candidate.upstream
        if leaves == 'removed':
            registry.remove(upstream.name, 10)
        else:
            registry.put(
                Upstream(upstream.name, SERVICE, 'h', 1, 'z', draining=True)
            )
        host.down.add(upstream.name)
    run(*map(host.detector.record_break, candidates))
    assert host.detector.suspects.blame == {}


def test_answers_that_had_begun_are_no_candidates(host):
    """Guards against blame for sound streams that a crash interrupts."""
    streams = [host.start(name, 'sound') for name in ('a', 'b')]
    for stream in streams:
        host.detector.record_event(stream, 2)
    run(host.crash('a', 'bad'), host.crash('b', 'bad'))
    run(*map(host.detector.record_break, streams))
    assert host.is_refused('bad')
    assert not host.is_refused('sound')


def test_all_requests_at_a_crash_are_recorded_together(host):
    """Guards against certainty about a request that was not the only one."""
    first = host.start('a', 'first')
    second = host.start('a', 'second')
    host.down.add('a')
    run(host.detector.record_break(first))
    assert second.traits in host.detector.suspects.crashes['a@7']
    assert len(host.sent) == 1
    assert host.checked.count('a') == 1


def test_evidence_is_recorded_though_the_caller_disconnects(host):
    """Guards against evidence that is lost with the request."""

    async def scenario():
        candidate = host.start('a', 'bad')
        host.down.add('a')
        task = asyncio.ensure_future(host.detector.record_break(candidate))
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(0.01)

    run(scenario())
    assert 'a@7' in host.detector.suspects.crashes


def test_crash_of_an_upstream_that_answers_is_refuted(host, clock):
    """Guards against false evidence of a peer: the connection is older."""
    older = host.start('a', 'style')
    clock.now += 1
    host.detector.merge(false_evidence(host), 'peer')
    assert host.is_refused('style')
    clock.now += 1
    later = host.start('b', 'other')
    host.detector.record_sound(later)
    # A new connection to this address may reach the restarted upstream.
    assert 'b@7' in host.detector.suspects.crashes
    host.detector.record_event(older, 2)
    assert 'a@7' not in host.detector.suspects.crashes
    assert not host.is_refused('style')


def false_evidence(host):
    """Return evidence of another host that took two upstreams for crashed."""
    other = Host()
    run(other.crash('a', 'style'), other.crash('b', 'style'))
    return other.detector.suspects.snapshot(crash_detection.boot_time())


def test_crash_of_a_registered_upstream_is_refuted(host, clock):
    """Guards against false evidence that nothing else contradicts."""
    host.detector.merge(false_evidence(host), 'peer')
    clock.now += 6
    host.detector.refute_false_crashes(expiry=6.6)
    assert host.is_refused('style')
    clock.now += 1
    # The second upstream was started again under its name.
    registry = host.detector.registry
    registry.put(Upstream('b', SERVICE, 'h', 1, 'zone-b', started_at=8))
    host.detector.refute_false_crashes(expiry=6.6)
    assert list(host.detector.suspects.crashes) == ['b@7']
    assert not host.is_refused('style')


def test_refused_request_is_tried_again_by_one_host(host, clock):
    """Guards against a part that stays refused, and against many candidates."""
    run(host.crash('a', 'bad'), host.crash('b', 'bad'))
    clock.now += 29
    host.detector.may_try_again = lambda: True
    assert host.is_refused('bad')
    clock.now += 2
    host.detector.may_try_again = lambda: False
    assert host.is_refused('bad')
    host.detector.may_try_again = lambda: True
    request = host.request('bad')
    for _ in range(3):
        delay = host.detector.refusal_delay(request, SERVICE, 'workshop')
        assert delay is None
        assert host.is_refused('bad')
    upstream = host.detector.registry.upstreams['c']
    candidate = host.detector.start(upstream, request, SERVICE, 'workshop')
    host.detector.record_sound(candidate)
    assert not host.is_refused('bad')
    assert host.sent[-1].clearances


def test_requests_that_end_leave_nothing_behind(host):
    """Guards against memory that grows with the requests."""
    candidates = [host.start('a', 'style') for _ in range(3)]
    host.detector.record_sound(candidates[0])
    for candidate in candidates:
        host.detector.end(candidate)
    assert host.detector.candidates == {}
    assert host.detector.checks == {}
    assert host.detector.suspects.snapshot(0) == NO_EVIDENCE


def test_sound_callers_are_served_soon_after_all_upstreams_crashed(host, clock):
    """Guards against callers who block those whose parts they share.

    Their requests crash upstreams for another reason, at both groups at once.
    """
    answered = host.start('c', 'style')
    host.detector.record_sound(answered)
    run(host.crash('a', 'style'), host.crash('b', 'style'))
    assert host.is_refused('style', 'other')
    clock.now += 1
    host.detector.may_try_again = lambda: True
    assert not host.is_refused('style', 'other')
