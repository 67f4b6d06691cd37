"""Demand for the slots of a service, over all hosts."""

import asyncio
import collections
import random

from primroseyoke.gateway.service_load import (
    DemandTrend,
    ServiceLoad,
    ServiceLoadReader,
)
from tests.gateway.deployment import deployment, wait_until
from tests.gateway.test_balancer import make_balancer


def trend_of(*demands: float) -> DemandTrend:
    trend = DemandTrend()
    for second, demand in enumerate(demands):
        trend.record(demand, second)
    return trend


def test_refused_requests_count_as_demand() -> None:
    """Guards against a demand that never exceeds the slots that exist."""
    assert ServiceLoad(72, 3, 60, 24).offered_slots == 72 * (1 + 24 / 36) + 3
    assert ServiceLoad(72).offered_slots == 72


def test_retries_at_most_double_the_demand() -> None:
    assert ServiceLoad(72, 0, 60, 59).offered_slots == 144
    assert ServiceLoad(72, 0, 60, 60).offered_slots == 144


def test_a_service_without_upstreams_has_demand() -> None:
    """Guards against a service that stays at none, since no slot is in use."""
    assert ServiceLoad(0, 0, 5, 5).offered_slots == 1


def test_a_steady_rise_has_a_slope() -> None:
    assert 0.9 < trend_of(*range(60)).slope() < 1.1


def test_noise_steps_and_falls_have_no_slope() -> None:
    """Guards against orders for a rise that does not exist."""
    generator = random.Random(5)
    noise = DemandTrend()
    for tick in range(1200):
        noise.record(50 + generator.uniform(-10, 10), tick / 4)
        assert not noise.slope()
    step = DemandTrend()
    for tick in range(400):
        step.record(50 if tick < 200 else 100, tick / 4)
        assert not step.slope()
    assert not trend_of(*range(60, 0, -1)).slope()


def test_periods_that_are_not_recorded_cause_no_orders() -> None:
    trend = trend_of(*[40] * 10)
    assert trend.lowest(20) == 0
    assert trend.highest(20) == float('inf')
    assert trend.lowest(5) == trend.highest(5) == 40


def test_the_history_is_bounded_and_starts_anew_after_a_pause() -> None:
    trend = trend_of(*[40] * 2000)
    assert len(trend.history) < 1000
    trend.record(10, 2100)
    assert trend.current == 10
    assert trend.lowest(5) == 0


def test_load_of_this_host_stands_for_all_hosts() -> None:
    balancer = make_balancer(2)
    balancer.in_flight.apply_report('other', {'u0': 5, 'elsewhere': 9}, 0)
    arrivals = collections.Counter()
    refusals = collections.Counter()
    reader = ServiceLoadReader(balancer, {}, arrivals, refusals, lambda: 3)
    for second in range(30):
        load = reader.read('app', second)
        arrivals['app'] += 10
        refusals['app'] += 2
    assert load.slots_in_use == 5
    assert round(load.arrival_rate, 2) == 30
    assert round(load.refused_rate, 2) == 6


async def _counts_of_one_refusal() -> tuple[int, int]:
    async with deployment() as running:
        response = await running.call('/lookup/x', timeout_ms=400)
        assert response.status == 503
        proxy = running.gateway.proxy
        await wait_until(lambda: bool(proxy.refusals['app']))
        return proxy.arrivals['app'], proxy.refusals['app']


def test_a_refused_request_is_counted() -> None:
    """Guards against a full service whose refusals nobody sees."""
    assert asyncio.run(_counts_of_one_refusal()) == (1, 1)
