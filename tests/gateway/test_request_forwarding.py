"""Queueing time and Retry-After of requests that find no free slot."""

import asyncio
import contextlib
import time
from collections.abc import Callable
from unittest import mock

import pytest

from tests.event_loop import VirtualTimeLoop
from tests.standins.gateways import (
    GROUP_COUNT,
    RANK_COUNT,
    EmulatedGateways,
    ResponseWriter,
)

TIMEOUT_SECONDS = 8.0


async def run_request(
    prepare: Callable[[EmulatedGateways], None],
    timeout: float = TIMEOUT_SECONDS,
) -> tuple[float, ResponseWriter]:
    """Return the time until a request was refused, and its response."""
    gateways = EmulatedGateways(seed=1)
    await asyncio.sleep(1)
    proxy = gateways.proxies[0]
    proxy.authorizer.longest_timeout_by_prefix['/'] = TIMEOUT_SECONDS
    applying = asyncio.ensure_future(apply_repeatedly(gateways, prepare))
    await asyncio.sleep(0.1)
    started = time.monotonic()
    response = await gateways.attempt(started + timeout, proxy)
    waited = time.monotonic() - started
    applying.cancel()
    await gateways.stop()
    return waited, response


async def apply_repeatedly(
    gateways: EmulatedGateways,
    prepare: Callable[[EmulatedGateways], None],
) -> None:
    while True:
        prepare(gateways)
        await asyncio.sleep(0.05)


def fill_all_ranks(gateways: EmulatedGateways) -> None:
    full = {
        f'{g}-{r}': 6 for g in range(GROUP_COUNT) for r in range(RANK_COUNT)
    }
    balancer = gateways.proxies[0].balancer
    balancer.in_flight.apply_report('other', full, time.monotonic())


def break_all_groups(gateways: EmulatedGateways) -> None:
    groups = gateways.proxies[0].balancer.groups
    for group in range(GROUP_COUNT):
        groups.mark_broken(str(group), time.monotonic())


def simulate(
    prepare: Callable[[EmulatedGateways], None],
    timeout: float = TIMEOUT_SECONDS,
) -> tuple[float, ResponseWriter]:
    loop = VirtualTimeLoop()
    with (
        mock.patch('time.monotonic', loop.time),
        contextlib.closing(loop),
    ):
        return loop.run_until_complete(run_request(prepare, timeout))


def test_a_first_submission_is_refused_once_it_would_be_late() -> None:
    """Its caller may submit it again; the objective is 0.5 s.

    Guards against requests that stay queued although their response would be
    late.
    """
    waited, response = simulate(fill_all_ranks)
    assert 0.5 <= waited <= 0.8
    assert response.status == 503
    assert 0 < response.retry_after <= (TIMEOUT_SECONDS - waited) / 3


def test_a_resubmitted_request_waits_longer() -> None:
    """Guards against an early refusal of a request that has no further attempt.

    Its caller disconnects after 2 s without an event.
    """
    waited, response = simulate(fill_all_ranks, timeout=4.0)
    assert 1.2 <= waited <= 2
    assert response.status == 503


@pytest.mark.parametrize('timeout', [8.0, 4.0])
def test_while_all_groups_are_broken_requests_are_refused_at_once(
    timeout: float,
) -> None:
    waited, response = simulate(break_all_groups, timeout)
    assert waited < 0.06
    assert response.status == 503
    assert response.retry_after > 0.3 * timeout
