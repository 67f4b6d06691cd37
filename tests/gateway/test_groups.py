"""Rank groups that move, stand still and break."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

from primroseyoke.exceptions import ServiceUnavailable
from primroseyoke.gateway.catalogue import CallerLimits, Catalogue, Service
from primroseyoke.gateway.engines import RankReport
from primroseyoke.gateway.groups import GroupDirectory, GroupWatch
from primroseyoke.gateway.knowledge import Knowledge
from primroseyoke.gateway.upstreams import Upstream
from tests.gateway.deployment import wait_until
from tests.gateway.test_upstreams import make
from tests.standins.simulated_engines import ENGINE


def make_watch() -> GroupWatch:
    watch = GroupWatch()
    for name, group in (('u0', 'x'), ('u1', 'x'), ('u2', 'y')):
        watch.learn(name, group)
    return watch


def test_events_of_one_rank_tell_of_all() -> None:
    watch = make_watch()
    watch.begin('u0', now=1)
    assert not watch.is_still('u1', now=1.3)
    assert watch.is_still('u1', now=2)
    watch.move('u0', now=2)
    assert not watch.is_still('u1', now=2.1)
    assert not watch.is_still('u2', now=2)


def test_a_group_without_streams_does_not_stand_still() -> None:
    watch = make_watch()
    watch.begin('u0', now=1)
    watch.end('u0')
    assert not watch.is_still('u0', now=100)


def test_a_broken_group_is_avoided_until_it_is_open_or_time_passes() -> None:
    watch = make_watch()
    watch.reject('u0', now=1)
    assert watch.is_still('u1', now=2)
    assert watch.broken(now=2) == ['x']
    watch.reopen('x')
    assert not watch.is_still('u1', now=2)
    watch.reject('u0', now=3)
    assert not watch.is_still('u1', now=10)


def test_a_group_that_stands_still_is_not_known_to_be_broken() -> None:
    watch = make_watch()
    watch.begin('u0', now=1)
    assert watch.silent(now=2) == ['x']
    assert not watch.is_broken('u1', now=2)
    watch.reject('u0', now=2)
    assert watch.is_broken('u1', now=2)
    assert not watch.silent(now=2)


def test_ranks_that_are_gone_are_forgotten() -> None:
    watch = make_watch()
    watch.keep({'u0', 'u2'})
    assert watch.group_of('u0') == ['u0']
    assert not watch.group_of('u1')


class FakeEngines:
    """Tells a group for each upstream but the one that does not answer."""

    def __init__(self) -> None:
        self.is_open = True

    async def report(self, upstream: Upstream) -> RankReport | None:
        if upstream.name == 'silent':
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
async def directory(
    engines: FakeEngines,
    *names: str,
) -> AsyncIterator[GroupWatch]:
    knowledge = Knowledge()
    service = Service('app', 100, engine=ENGINE)
    knowledge.publish(
        Catalogue(1, (), {'app': service}, (), CallerLimits()),
    )
    for name in names:
        knowledge.fleet.put(make(name))
    watch = GroupWatch()
    task = asyncio.ensure_future(
        GroupDirectory(engines, knowledge, watch).run(),
    )
    try:
        yield watch
    finally:
        task.cancel()


def test_the_directory_learns_groups_and_that_they_are_open() -> None:
    async def scenario() -> None:
        async with directory(FakeEngines(), 'u0', 'silent') as watch:
            await wait_until(lambda: watch.members == {'u0': 'x'})
            watch.reject('u0', time.monotonic())
            await wait_until(lambda: not watch.broken(time.monotonic()), 1)

    asyncio.run(scenario())


def test_a_broken_group_stays_avoided_until_a_rank_reports_it_open() -> None:
    """Guards against requests that are sent to a group in vain again."""

    async def scenario() -> None:
        engines = FakeEngines()
        async with directory(engines, 'u0', 'u1') as watch:
            await wait_until(lambda: len(watch.members) == 2)
            engines.is_open = False
            watch.reject('u0', time.monotonic())
            started = time.monotonic()
            while time.monotonic() < started + 2.5:
                assert watch.is_still('u1', time.monotonic())
                await asyncio.sleep(0.05)
            engines.is_open = True
            await wait_until(lambda: not watch.broken(time.monotonic()), 1)

    asyncio.run(scenario())


def test_a_silent_group_that_reports_itself_broken_is_known_as_such() -> None:
    async def scenario() -> None:
        engines = FakeEngines()
        async with directory(engines, 'u0', 'u1') as watch:
            await wait_until(lambda: len(watch.members) == 2)
            engines.is_open = False
            watch.begin('u0', time.monotonic())
            await wait_until(lambda: watch.is_broken('u0', time.monotonic()), 2)
            watch.end('u0')
            assert watch.is_still('u1', time.monotonic())

    asyncio.run(scenario())
