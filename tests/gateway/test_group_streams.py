"""Streams of ranks whose entry or group changes while they run."""

import asyncio
import contextlib
import json
import time
from collections.abc import AsyncIterator

import pytest

from primroseyoke.gateway.listeners import ResponseWriter
from primroseyoke.gateway.requests import CallerRequest
from tests.gateway.deployment import (
    Deployment,
    configuration,
    deployment,
    wait_until,
)
from tests.gateway.test_proxy import events
from tests.standins.platform import StandInUpstream

EVENT_COUNT = 20
EVENT_SECONDS = 0.1
# After this time without an event, a group with streams has stalled.
QUIET_SECONDS = 0.6
ENGINE = {
    'slots': 6,
    'kvCapacity': 140000,
    'step_ms': 4.55,
    'per_seq_ms': 1.81,
    'read_per_s': 61400.0,
    'stride': 4,
    'layerSets': 1,
    'experts': 4,
    'locations': 4,
    'spares': 2,
    'expertMb': 1,
    'linkMbps': 1000,
    'expertRatio': 0.85,
}


class Rank:
    """A rank that forms a group alone.

    Attributes:
        group: name of its group, None while it reports no group.
        may_stream: cleared while its streams get no events.
    """

    def __init__(self, group: str | None) -> None:
        self.group = group
        self.may_stream = asyncio.Event()
        self.may_stream.set()

    async def handle(
        self,
        upstream: StandInUpstream,
        request: CallerRequest,
        response: ResponseWriter,
    ) -> None:
        if request.path == '/report':
            response.respond(200, (), json.dumps(self.report()).encode())
            return
        await self.may_stream.wait()
        response.start(200, upstream.signature_headers(request))
        for number in range(1, EVENT_COUNT + 1):
            await self.may_stream.wait()
            await response.send(events(number, number))
            await asyncio.sleep(EVENT_SECONDS)
        response.finish()

    def report(self) -> dict[str, object]:
        membership = {
            'name': self.group,
            'epoch': 1,
            'rank': 0,
            'state': 'open',
        }
        return {
            'group': membership if self.group else None,
            'size': 1,
            'step': 1,
        }


@contextlib.asynccontextmanager
async def running_rank(group: str | None) -> AsyncIterator[tuple]:
    """Run a gateway with one rank; yield both."""
    rank = Rank(group)
    async with deployment(model=(rank.handle,)) as system:
        changed = configuration(2)
        changed['services'][1]['engine'] = ENGINE
        system.store.put('keyed.op', 'config', changed)
        if group:
            await wait_until(lambda: known_group(system) == group)
        else:
            state = system.gateway.routing_state
            await wait_until(lambda: state.configuration.version == 2)
        yield system, rank


def known_group(system: Deployment) -> str | None:
    groups = system.gateway.balancer.groups
    return groups.group_by_upstream.get('model-0')


def start_stream(system: Deployment) -> asyncio.Task:
    return asyncio.ensure_future(
        system.call('/draft/', 'POST', timeout_ms=4000)
    )


async def remove_entry(system: Deployment) -> None:
    system.store.put('keyed.servers', 'model-0', b'')
    await wait_until(lambda: known_group(system) is None)


def add_entry(system: Deployment) -> None:
    entry = system.upstreams['model-0'].entry('model')
    system.store.put('keyed.servers', 'model-0', entry)


@pytest.mark.parametrize('later_group', ['g', 'h'])
def test_stream_that_outlives_the_entry_of_its_rank_is_counted_once(
    later_group: str,
) -> None:
    """Guards against a group that counts as stalled for good.

    The entry of a rank lapses and returns. Its streams go on meanwhile, and end
    before it is known again, in the same group or in another one.
    """

    async def scenario() -> None:
        async with running_rank('g') as (system, rank):
            call = start_stream(system)
            await asyncio.sleep(3 * EVENT_SECONDS)
            await remove_entry(system)
            assert (await call).complete
            rank.group = later_group
            add_entry(system)
            await wait_until(lambda: known_group(system) == later_group)
            await asyncio.sleep(QUIET_SECONDS)
            groups = system.gateway.balancer.groups
            assert not groups.has_stalled_group
            assert (await start_stream(system)).complete

    asyncio.run(scenario())


def test_events_after_the_entry_has_lapsed_show_that_the_group_works() -> None:
    """Guards against a group that is avoided while its streams go on."""

    async def scenario() -> None:
        async with running_rank('g') as (system, _):
            call = start_stream(system)
            await asyncio.sleep(3 * EVENT_SECONDS)
            await remove_entry(system)
            while not call.done():
                await asyncio.sleep(EVENT_SECONDS / 2)
                assert not system.gateway.balancer.groups.has_stalled_group
            assert (await call).complete

    asyncio.run(scenario())


def test_stream_from_before_its_group_was_known_shows_a_stall() -> None:
    """Guards against a stall that is not seen.

    The end of a stream that began before the group was known ended the count of
    one that began after.
    """

    async def scenario() -> None:
        async with running_rank(None) as (system, rank):
            first = start_stream(system)
            await asyncio.sleep(EVENT_SECONDS)
            rank.group = 'g'
            await wait_until(lambda: known_group(system) == 'g')
            second = start_stream(system)
            assert (await first).complete
            rank.may_stream.clear()
            groups = system.gateway.balancer.groups
            await wait_until(lambda: groups.is_group_stalled('g'), 1)
            rank.may_stream.set()
            assert (await second).complete
            assert not groups.has_streams('g')

    asyncio.run(scenario())


def test_request_that_waits_for_its_first_event_shows_a_silent_group() -> None:
    """Guards against a held group that looks idle, as no stream has begun."""

    async def scenario() -> None:
        async with running_rank('g') as (system, rank):
            rank.may_stream.clear()
            call = start_stream(system)
            groups = system.gateway.balancer.groups
            await wait_until(
                lambda: groups.silent_groups(time.monotonic()) == ('g',), 2
            )
            rank.may_stream.set()
            assert (await call).complete
            assert not groups.status_of('model-0').waiting

    asyncio.run(scenario())


def test_request_that_its_caller_gives_up_no_longer_waits() -> None:
    """Guards against a group that is asked for its state for good."""

    async def scenario() -> None:
        async with running_rank('g') as (system, rank):
            rank.may_stream.clear()
            call = start_stream(system)
            waiting = system.gateway.balancer.groups.status_of(
                'model-0'
            ).waiting
            await wait_until(lambda: waiting)
            call.cancel()
            await wait_until(lambda: not waiting)

    asyncio.run(scenario())
