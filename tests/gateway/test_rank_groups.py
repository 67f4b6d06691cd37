"""Detection of stalled and broken rank groups."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

from primroseyoke.exceptions import ServiceUnavailable
from primroseyoke.gateway.configuration import (
    CallerLimits,
    Configuration,
    Service,
)
from primroseyoke.gateway.engines import RankReport
from primroseyoke.gateway.rank_groups import RankGroupMonitor, RankGroupPoller
from primroseyoke.gateway.routing_state import RoutingState
from primroseyoke.gateway.upstreams import Upstream
from tests.gateway.deployment import wait_until
from tests.gateway.test_upstreams import make_upstream
from tests.standins.simulated_engines import ENGINE


def make_monitor() -> RankGroupMonitor:
    monitor = RankGroupMonitor()
    for name, group in (('u0', 'x'), ('u1', 'x'), ('u2', 'y')):
        monitor.add_rank(name, group)
    return monitor


def test_event_from_one_rank_counts_for_the_whole_group() -> None:
    monitor = make_monitor()
    stream = monitor.record_stream_start('u0', now=1)
    assert not monitor.is_avoided('u1', now=1.3)
    assert monitor.is_avoided('u1', now=2)
    stream.record_event(now=2)
    assert not monitor.is_avoided('u1', now=2.1)
    assert not monitor.is_avoided('u2', now=2)


def test_group_without_streams_is_not_stalled() -> None:
    monitor = make_monitor()
    monitor.record_stream_start('u0', now=1).record_end()
    assert not monitor.is_avoided('u0', now=100)


def test_group_is_not_stalled_for_good() -> None:
    """Guards against a group that is avoided because of streams that are lost.

    It gets no other streams meanwhile that could show that it works.
    """
    monitor = make_monitor()
    monitor.record_stream_start('u0', now=1)
    assert monitor.is_avoided('u1', now=10)
    assert not monitor.is_avoided('u1', now=12)
    assert not monitor.has_stalled_group
    monitor.record_stream_start('u1', now=20)
    assert monitor.is_avoided('u1', now=21)


def test_group_is_silent_while_a_request_waits_and_no_event_comes() -> None:
    """Guards against a held group that looks idle, as no stream has begun."""
    monitor = make_monitor()
    stream = monitor.record_stream_start('u0', now=1)
    status = monitor.record_request('u1', 'first', now=1)
    for now in (1.3, 1.6, 1.9, 2.2):
        stream.record_event(now)
        assert not monitor.silent_groups(now + 0.1)
    stream.record_end()
    monitor.record_request('u1', 'second', now=3)
    assert not monitor.silent_groups(now=3.1)
    assert monitor.silent_groups(now=3.3) == ('x',)
    assert not monitor.is_avoided('u1', now=3.3)
    assert status is not None
    status.waiting.pop('first')
    assert not monitor.silent_groups(now=3.9)
    assert monitor.silent_groups(now=4.1) == ('x',)
    status.waiting.pop('second')
    assert not monitor.silent_groups(now=100)


def test_silence_that_another_host_tells_counts_for_a_short_time() -> None:
    monitor = make_monitor()
    monitor.adopt_silence(['x', 'unknown'], now=5)
    assert monitor.is_silent('x', now=5.5)
    assert not monitor.is_silent('x', now=7)
    assert not monitor.is_silent('y', now=5.5)
    assert not monitor.is_silent('unknown', now=5.5)
    assert not monitor.silent_groups(now=5.5)


def test_broken_group_is_avoided_until_open_or_timed_out() -> None:
    monitor = make_monitor()
    monitor.record_rejection('u0', now=1)
    assert monitor.is_avoided('u1', now=2)
    assert monitor.broken_groups(now=2) == ['x']
    monitor.mark_open('x')
    assert not monitor.is_avoided('u1', now=2)
    monitor.record_rejection('u0', now=3)
    assert not monitor.is_avoided('u1', now=10)


def test_group_has_recovered_for_some_seconds() -> None:
    """Guards against late requests that fill a group as soon as it is back."""
    monitor = make_monitor()
    stream = monitor.record_stream_start('u0', now=1)
    stream.record_event(now=1.1)
    assert not monitor.has_recovered(['x'], now=1.1)
    stream.record_event(now=3)
    assert monitor.has_recovered(['y', 'x'], now=5)
    assert not monitor.has_recovered(['y'], now=5)
    assert not monitor.has_recovered(['x'], now=8)


def test_stalled_group_is_not_known_to_be_broken() -> None:
    monitor = make_monitor()
    monitor.record_stream_start('u0', now=1)
    assert monitor.stalled_groups(now=2) == ['x']
    assert not monitor.is_broken('u1', now=2)
    monitor.record_rejection('u0', now=2)
    assert monitor.is_broken('u1', now=2)
    assert not monitor.stalled_groups(now=2)


def test_removed_ranks_are_dropped() -> None:
    monitor = make_monitor()
    monitor.retain({'u0', 'u2'})
    assert monitor.ranks_of_group('u0') == ['u0']
    assert not monitor.ranks_of_group('u1')


class FakeEngines:
    """Reports one group for all upstreams; ``no-answer`` does not respond."""

    def __init__(self) -> None:
        self.is_open = True

    async def report(self, upstream: Upstream) -> RankReport | None:
        if upstream.name == 'no-answer':
            raise ServiceUnavailable('no answer')
        return RankReport(
            'x',
            1,
            0,
            2,
            self.is_open,
            step=1,
            placement_version=0,
        )


@contextlib.asynccontextmanager
async def run_poller(
    engines: FakeEngines,
    *names: str,
) -> AsyncIterator[RankGroupMonitor]:
    routing_state = RoutingState()
    service = Service('app', 100, engine=ENGINE)
    routing_state.apply_configuration(
        Configuration(1, (), {'app': service}, (), CallerLimits()),
    )
    for name in names:
        routing_state.registry.put(make_upstream(name))
    monitor = RankGroupMonitor()
    task = asyncio.ensure_future(
        RankGroupPoller(engines, routing_state, monitor).run(),
    )
    try:
        yield monitor
    finally:
        task.cancel()


def test_poller_identifies_groups_and_detects_open_ones() -> None:
    async def scenario() -> None:
        async with run_poller(FakeEngines(), 'u0', 'no-answer') as monitor:
            await wait_until(lambda: monitor.group_by_upstream == {'u0': 'x'})
            monitor.record_rejection('u0', time.monotonic())
            await wait_until(
                lambda: not monitor.broken_groups(time.monotonic()), 1
            )

    asyncio.run(scenario())


def test_broken_group_stays_avoided_until_a_rank_reports_it_open() -> None:
    """Guards against requests that are sent to a group before it is open."""

    async def scenario() -> None:
        engines = FakeEngines()
        async with run_poller(engines, 'u0', 'u1') as monitor:
            await wait_until(lambda: len(monitor.group_by_upstream) == 2)
            engines.is_open = False
            monitor.record_rejection('u0', time.monotonic())
            started = time.monotonic()
            while time.monotonic() < started + 2.5:
                assert monitor.is_avoided('u1', time.monotonic())
                await asyncio.sleep(0.05)
            engines.is_open = True
            await wait_until(
                lambda: not monitor.broken_groups(time.monotonic()), 1
            )

    asyncio.run(scenario())


def test_stalled_group_that_reports_itself_broken_is_marked_broken() -> None:
    async def scenario() -> None:
        engines = FakeEngines()
        async with run_poller(engines, 'u0', 'u1') as monitor:
            await wait_until(lambda: len(monitor.group_by_upstream) == 2)
            engines.is_open = False
            stream = monitor.record_stream_start('u0', time.monotonic())
            await wait_until(
                lambda: monitor.is_broken('u0', time.monotonic()), 2
            )
            stream.record_end()
            assert monitor.is_avoided('u1', time.monotonic())

    asyncio.run(scenario())
