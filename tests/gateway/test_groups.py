"""Rank groups that move, stand still and break."""

import asyncio
import math
import time

from primroseyoke.exceptions import ServiceUnavailable
from primroseyoke.gateway.catalogue import CallerLimits, Catalogue, Service
from primroseyoke.gateway.engines import RankReport
from primroseyoke.gateway.groups import GroupDirectory, GroupWatch
from primroseyoke.gateway.knowledge import Knowledge
from primroseyoke.gateway.upstreams import Upstream
from tests.gateway.deployment import until
from tests.gateway.test_balancer import ENGINE
from tests.gateway.test_upstreams import make


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
    watch.move('u0', now=2, gap=1)
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


def test_the_pass_time_is_measured_and_forgotten() -> None:
    watch = make_watch()
    usual = watch.pass_time('u0', now=1)
    watch.begin('u0', now=1)
    for _ in range(100):
        watch.move('u1', now=1, gap=0.1)
    assert math.isclose(watch.pass_time('u0', now=1.5), 0.1, rel_tol=0.01)
    assert watch.pass_time('u0', now=9) == usual


def test_ranks_that_are_gone_are_forgotten() -> None:
    watch = make_watch()
    watch.keep({'u0', 'u2'})
    assert watch.group_of('u0') == ['u0']
    assert not watch.group_of('u1')


class FakeEngines:
    """Tells a group for each upstream but the one that does not answer."""

    async def report(self, upstream: Upstream) -> RankReport | None:
        if upstream.name == 'silent':
            raise ServiceUnavailable('no answer')
        return RankReport('x', 1, 0, 2, is_open=True, step=1, placement=0)


def test_the_directory_learns_groups_and_that_they_are_open() -> None:
    async def scenario() -> None:
        knowledge = Knowledge()
        service = Service('app', 100, engine=ENGINE)
        knowledge.publish(
            Catalogue(1, (), {'app': service}, (), CallerLimits()),
        )
        for name in ('u0', 'silent'):
            knowledge.fleet.put(make(name))
        watch = GroupWatch()
        directory = GroupDirectory(FakeEngines(), knowledge, watch)
        task = asyncio.ensure_future(directory.run())
        await until(lambda: watch.members == {'u0': 'x'})
        watch.reject('u0', time.monotonic())
        await until(lambda: not watch.broken(time.monotonic()), 1)
        task.cancel()

    asyncio.run(scenario())
