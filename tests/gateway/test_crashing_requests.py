"""Requests whose prompts crash the upstreams that answer them."""

import asyncio
import itertools

from primroseyoke.gateway.listeners import ResponseWriter
from primroseyoke.gateway.requests import CallerRequest
from tests.gateway.deployment import Deployment, deployment, wait_until
from tests.gateway.test_proxy import stream
from tests.standins.platform import StandInUpstream

UPSTREAM_COUNT = 6
CRASHING_REQUEST_COUNT = 12
# Five crashes show the cause; three more requests may be on their way.
MAX_CRASHING_SENDS = 8
numbers = itertools.count()


async def crash_on_bad_part(
    upstream: StandInUpstream,
    request: CallerRequest,
    response: ResponseWriter,
) -> None:
    """Crash when the answer to a prompt with the part ``bad`` begins."""
    if 'bad' not in request.prompt_parts:
        await stream(upstream, request, response)
        return
    response.start(200, upstream.signature_headers(request))
    await asyncio.sleep(0.02)
    upstream.stop()


async def restart(system: Deployment, name: str) -> None:
    """Replace a crashed upstream by one with another name."""
    replacement = StandInUpstream(f'new-{next(numbers)}', crash_on_bad_part)
    await replacement.start()
    system.store.put('keyed.servers', name, b'')
    system.store.put(
        'keyed.servers', replacement.name, replacement.entry('model')
    )
    crashed = system.upstreams.pop(name)
    system.upstreams[f'crashed-{name}'] = crashed
    system.upstreams[replacement.name] = replacement
    await wait_until(
        lambda: (
            replacement.name in system.gateway.routing_state.registry.upstreams
        )
    )


async def send(system: Deployment, *parts: str) -> int:
    """Send a request like no other; replace the upstreams that crash."""
    number = next(numbers)
    prompt = ','.join(f'{part}:40' for part in (*parts, f'own-{number}'))
    received = await system.call(
        '/draft/',
        'POST',
        b'draft %d' % number,
        request_id=f'r-{number}',
        X_Primroseyoke_Prompt_Prefix=prompt,
    )
    for name, upstream in tuple(system.upstreams.items()):
        if 'crashed' not in name and not upstream.server.is_serving():
            await restart(system, name)
    return received.status


def crashing_sends(system: Deployment) -> int:
    return sum(
        'bad' in received.request.prompt_parts
        for upstream in system.upstreams.values()
        for received in upstream.received_requests
    )


def test_part_of_prompts_that_crashes_upstreams_is_not_sent_on() -> None:
    """Guards against different requests that crash one upstream after another.

    They have one part of their prompts in common, and share their other parts
    and their caller with sound requests.
    """

    async def scenario() -> None:
        async with deployment(
            model=(crash_on_bad_part,) * UPSTREAM_COUNT
        ) as system:
            sound = []
            for number in range(CRASHING_REQUEST_COUNT):
                await send(system, 'style', f'sheet-{number % 3}', 'bad')
                sound.append(await send(system, 'style', f'sheet-{number % 3}'))
            assert crashing_sends(system) <= MAX_CRASHING_SENDS
            assert set(sound) == {200}

    asyncio.run(scenario())


def test_only_possible_cause_of_a_crash_is_not_sent_again() -> None:
    """Guards against two groups of upstreams lost to one request."""

    async def scenario() -> None:
        async with deployment(model=(crash_on_bad_part,) * 3) as system:
            await send(system, 'style', 'bad')
            assert crashing_sends(system) == 1

    asyncio.run(scenario())


def test_request_beside_another_at_a_crash_is_sent_again() -> None:
    """Guards against sound requests that fail with the one that crashes."""

    async def scenario() -> None:
        crashes = asyncio.Event()

        async def crash_when_told(
            upstream: StandInUpstream,
            request: CallerRequest,
            response: ResponseWriter,
        ) -> None:
            response.start(200, upstream.signature_headers(request))
            await crashes.wait()
            upstream.stop()

        async with deployment(model=(crash_when_told,)) as system:
            requests = [
                asyncio.ensure_future(
                    system.call(
                        '/draft/',
                        'POST',
                        b'draft %d' % number,
                        request_id=f'r-{number}',
                        X_Primroseyoke_Prompt_Prefix=f'p-{number}:1,own:1',
                    )
                )
                for number in range(2)
            ]
            received = system.upstreams['model-0'].received_requests
            await wait_until(lambda: len(received) == 2)
            other = StandInUpstream('other', stream)
            await other.start()
            system.upstreams['other'] = other
            system.store.put('keyed.servers', other.name, other.entry('model'))
            known = system.gateway.routing_state.registry.upstreams
            await wait_until(lambda: 'other' in known)
            crashes.set()
            responses = await asyncio.gather(*requests)
            assert [each.status for each in responses] == [200, 200]
            assert all(each.complete for each in responses)

    asyncio.run(scenario())
