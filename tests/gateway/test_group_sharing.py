"""Rank groups that gateways learn from each other instead of from the ranks."""

import asyncio
import contextlib
import random
from collections.abc import Mapping
from unittest import mock

import cbor2
import pytest

from primroseyoke.exceptions import ServiceUnavailable
from primroseyoke.gateway import group_sharing
from primroseyoke.gateway.balancer import Balancer
from primroseyoke.gateway.group_sharing import GroupSharing
from primroseyoke.gateway.http_client import HttpResponse
from primroseyoke.gateway.peer_reports import Report, encode_message
from primroseyoke.gateway.peers import PeerReporter
from primroseyoke.gateway.rank_groups import RankGroupMonitor, RankGroupPoller
from primroseyoke.gateway.routing_state import RoutingState
from primroseyoke.gateway.topic_sharing import TopicSharing
from primroseyoke.gateway.upstreams import UpstreamRegistry
from tests.event_loop import run
from tests.gateway.test_balancer import MODEL
from tests.gateway.test_upstreams import make_upstream


class Engines:
    """Counts the ranks that are asked; none of them responds."""

    def __init__(self) -> None:
        self.asked: list[str] = []

    async def report(self, rank):
        self.asked.append(rank.name)
        raise ServiceUnavailable('no response')


async def poll(groups: Mapping[str, str] | None, seconds: float):
    state = RoutingState()
    state.apply_configuration(
        mock.Mock(version=1, services=MODEL.services, limits=None)
    )
    for name in ('u0', 'u1'):
        state.registry.put(make_upstream(name))
    engines = Engines()
    monitor = RankGroupMonitor()

    async def fetch_groups():
        return groups

    poller = RankGroupPoller(engines, state, monitor, fetch_groups)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await poller.run()
    return engines.asked, monitor.group_by_upstream


@pytest.mark.parametrize(
    ('groups', 'seconds', 'asked', 'known'),
    [
        ({'u0': 'x', 'u1': 'x'}, 5, set(), {'u0', 'u1'}),
        ({'u0': 'x'}, 1, set(), {'u0'}),
        ({'u0': 'x'}, 3, {'u1'}, {'u0'}),
        (None, 0.1, {'u0', 'u1'}, set()),
    ],
)
def test_ranks_are_asked_only_if_no_other_host_knows_them(
    groups, seconds, asked, known
) -> None:
    """Guards against hosts x ranks calls when a deployment starts."""

    async def scenario():
        now = asyncio.get_running_loop().time
        with mock.patch('time.monotonic', now):
            return await poll(groups, seconds)

    found, group_by_upstream = run(scenario())
    assert set(found) == asked
    assert set(group_by_upstream) == known


def make_sharing(other_hosts: int) -> GroupSharing:
    reporter = PeerReporter('me', '10.0.0.9', 1, 'a')
    reporter.balancer = Balancer(UpstreamRegistry(), 'a', random.Random(1), {})
    reporter.sharing = TopicSharing(reporter, 1, 'a', 2.0, random.Random(1))
    for number in range(other_hosts):
        report = Report(f'host-{number}', {}, availability_zone='a')
        reporter.datagram_received(
            encode_message(report), (f'10.0.0.{number}', 1)
        )
    return GroupSharing(reporter, RankGroupMonitor(), 1)


@pytest.mark.parametrize(
    ('body', 'expected'),
    [
        (cbor2.dumps({'u0': 'x'}), {'u0': 'x'}),
        (cbor2.dumps({'u0': 5}), None),
        (b'\xff', None),
    ],
)
def test_a_host_that_is_no_reader_asks_the_first_reader(
    monkeypatch, body, expected
) -> None:
    called = []

    class Client:
        def __init__(self, address, port):
            called.append(address)

        async def call(self, method, target, timeout):
            return HttpResponse(200, body)

        def close(self):
            """Do nothing: there is no connection."""

    monkeypatch.setattr(group_sharing, 'HttpClient', Client)
    assert asyncio.run(make_sharing(5).fetch()) == expected
    assert called == ['10.0.0.0']


def test_a_reader_asks_the_ranks_itself() -> None:
    assert asyncio.run(make_sharing(0).fetch()) is None
    assert asyncio.run(make_sharing(1).fetch()) is None


def test_a_host_that_starts_waits_for_reports_of_others() -> None:
    sharing = make_sharing(0)
    sharing.reporter.add_peers(['10.0.0.1'])
    assert asyncio.run(sharing.fetch()) == {}
    sharing.started_at -= 2
    assert asyncio.run(sharing.fetch()) is None
