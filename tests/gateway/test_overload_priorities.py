"""Two priorities under overload, with simulated engines.

Load: 48 requests per second at eight hosts, more than the engines serve on
time. Half of them are urgent (objective 0.5 s), half are not (1 s).
"""

import asyncio
import contextlib
import dataclasses
import time
from unittest import mock

import pytest

from primroseyoke.gateway.requests import CallerRequest
from tests.event_loop import VirtualTimeLoop
from tests.standins import gateways as standin

RATE = 48
SECONDS = 12
SEEDS = (1, 2, 3)
OBJECTIVES = {'urgent': 0.5, 'other': 1.0}


class TwoKindsOfCallers(standin.EmulatedGateways):
    """Callers whose path selects one of two routes."""

    def __init__(self, seed):
        super().__init__(seed)
        self.tallies = {kind: standin.Tally() for kind in OBJECTIVES}

    async def call(self):
        kind = self.generator.choice(tuple(OBJECTIVES))
        tally = self.tallies[kind]
        tally.total += 1
        called_at = time.monotonic()
        timeout = standin.CALLER_TIMEOUT_SECONDS
        deadline = called_at + timeout * self.generator.uniform(0.87, 1)
        response = await self.send(kind, deadline)
        if response.status == 503:
            left = deadline - time.monotonic()
            await asyncio.sleep(min(response.retry_after, left / 3))
            response = await self.send(kind, deadline)
            tally.refused_twice += response.status == 503
        if response.status == 200 and response.finished:
            delay = response.event_times[0] - called_at
            on_time = delay <= OBJECTIVES[kind]
            tally.on_time += on_time
            tally.late += not on_time

    async def send(self, kind, deadline):
        now = time.monotonic()
        response = standin.ResponseWriter()
        request = CallerRequest(
            'POST',
            f'/{kind}',
            f'/{kind}',
            'h',
            (),
            request_id=str(next(self.request_numbers)),
            timeout=deadline - now,
            arrived_at=now,
        )
        await self.generator.choice(self.proxies).handle(request, response)
        return response


def make_configuration(priorities):
    route = standin.CONFIGURATION.routes[0]
    routes = tuple(
        dataclasses.replace(
            route,
            name=kind,
            prefix=f'/{kind}',
            objective=objective,
            priority=priorities[kind],
        )
        for kind, objective in OBJECTIVES.items()
    )
    return dataclasses.replace(standin.CONFIGURATION, routes=routes)


async def simulate(seed):
    gateways = TwoKindsOfCallers(seed)
    await gateways.generate_load(RATE, SECONDS)
    await gateways.stop()
    return gateways.tallies['urgent']


def run_simulation(seed, urgent, other):
    """Return the outcomes of urgent requests with the priorities given."""
    loop = VirtualTimeLoop()
    configuration = make_configuration({'urgent': urgent, 'other': other})
    with (
        mock.patch('time.monotonic', loop.time),
        mock.patch.object(standin, 'CONFIGURATION', configuration),
        contextlib.closing(loop),
    ):
        return loop.run_until_complete(simulate(seed))


@pytest.mark.parametrize('seed', SEEDS)
def test_urgent_requests_gain_from_their_priority(seed):
    """Guards against an order that the gateways compute but don't apply."""
    same = run_simulation(seed, urgent=0, other=0)
    first = run_simulation(seed, urgent=0, other=2)
    assert first.on_time_share > same.on_time_share
    assert first.refused_share < same.refused_share
