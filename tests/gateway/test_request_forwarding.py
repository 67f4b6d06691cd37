"""How long requests wait for a place, and when they may come back."""

import asyncio
import contextlib
import time
from collections.abc import Callable
from unittest import mock

import pytest

from tests.clock import JumpingLoop
from tests.standins.gateways import (
    GROUP_COUNT,
    RANK_COUNT,
    Answer,
    EmulatedGateways,
)

BUDGET = 8.0


async def ask(
    prepare: Callable[[EmulatedGateways], None],
    budget: float = BUDGET,
) -> tuple[float, Answer]:
    """Return how long a request waited for its refusal, and that."""
    gateways = EmulatedGateways(seed=1)
    await asyncio.sleep(1)
    relay = gateways.relays[0]
    relay.authorizer.longest_timeouts['/'] = BUDGET
    keeping = asyncio.ensure_future(keep(gateways, prepare))
    await asyncio.sleep(0.1)
    started = time.monotonic()
    answer = await gateways.attempt(started + budget, relay)
    waited = time.monotonic() - started
    keeping.cancel()
    await gateways.stop()
    return waited, answer


async def keep(
    gateways: EmulatedGateways,
    prepare: Callable[[EmulatedGateways], None],
) -> None:
    while True:
        prepare(gateways)
        await asyncio.sleep(0.05)


def fill(gateways: EmulatedGateways) -> None:
    full = {
        f'{g}-{r}': 6 for g in range(GROUP_COUNT) for r in range(RANK_COUNT)
    }
    balancer = gateways.relays[0].balancer
    balancer.usage.hear('other', full, time.monotonic())


def break_all(gateways: EmulatedGateways) -> None:
    groups = gateways.relays[0].balancer.groups
    for group in range(GROUP_COUNT):
        groups.break_off(str(group), time.monotonic())


def played(
    prepare: Callable[[EmulatedGateways], None],
    budget: float = BUDGET,
) -> tuple[float, Answer]:
    loop = JumpingLoop()
    with (
        mock.patch('time.monotonic', loop.time),
        contextlib.closing(loop),
    ):
        return loop.run_until_complete(ask(prepare, budget))


def test_a_first_request_is_refused_soon_after_it_can_be_on_time() -> None:
    """Its caller may come back; the objective is 0.5 s."""
    waited, answer = played(fill)
    assert 0.5 <= waited <= 0.8
    assert answer.status == 503
    assert 0 < answer.retry_after <= (BUDGET - waited) / 3


def test_a_request_that_has_come_back_waits_longer() -> None:
    """It has no further try; a caller leaves after 2 s of silence."""
    waited, answer = played(fill, budget=4.0)
    assert 1.2 <= waited <= 2
    assert answer.status == 503


@pytest.mark.parametrize('budget', [8.0, 4.0])
def test_while_all_groups_are_broken_requests_are_refused_at_once(
    budget: float,
) -> None:
    waited, answer = played(break_all, budget)
    assert waited < 0.06
    assert answer.status == 503
    assert answer.retry_after > 0.3 * budget
