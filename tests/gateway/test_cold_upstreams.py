"""Requests of many hosts to an upstream that is cold."""

import math
import random

import pytest

from primroseyoke.gateway.balancer import Balancer, SelectionCriteria
from primroseyoke.gateway.configuration import (
    CallerLimits,
    Configuration,
    Service,
)
from primroseyoke.gateway.upstreams import Upstream, UpstreamRegistry

HOST_COUNT = 45
COLD_RATE = 14.0
# The bound of the users: 1.5 times the rate and 5 requests, in any second.
MAX_REQUESTS = 26
SERVICE = Service('model', 1000, cold_rate=COLD_RATE)
CONFIGURATION = Configuration(1, (), {'model': SERVICE}, (), CallerLimits())


def balancer_of(number: int) -> Balancer:
    registry = UpstreamRegistry()
    registry.put(Upstream('u', 'model', 'h', 1, 'z', cold_until=math.inf))
    return Balancer(registry, 'z', random.Random(number), {}, f'host-{number}')


def balancers_of(count: int) -> list[Balancer]:
    """Return the balancers of hosts that know each other."""
    balancers = [balancer_of(number) for number in range(count)]
    for balancer in balancers:
        balancer.limits.sharing.update_hosts(
            {f'host-{number}' for number in range(count)}
        )
    return balancers


def send(balancer: Balancer, now: float) -> bool:
    """Send a request if the limit allows, which ends at once."""
    reservation = balancer.acquire(
        CONFIGURATION, 'model', now, SelectionCriteria()
    )
    if reservation is None:
        return False
    balancer.release(reservation)
    return True


def most_in_a_second(sent_at: list[float]) -> int:
    return max(
        (sum(start <= at < start + 1 for at in sent_at) for start in sent_at),
        default=0,
    )


def requests_of(
    balancers: list[Balancer], start: float, seconds: float
) -> list[float]:
    """Return when requests are sent if all hosts want to send all the time."""
    return [
        start + tick / 20
        for tick in range(int(seconds * 20))
        for balancer in balancers
        if send(balancer, start + tick / 20)
    ]


def test_hosts_do_not_save_up_requests_for_a_cold_upstream():
    """Guards against a crash of an upstream that was cold and unused.

    Its rank group is broken for some seconds, and then all hosts send at once.
    """
    hosts = balancers_of(HOST_COUNT)
    for host in hosts:
        host.acquire(CONFIGURATION, 'model', 0, SelectionCriteria())
    sent = sum(
        host.acquire(
            CONFIGURATION, 'model', 5 + tenth / 10, SelectionCriteria()
        )
        is not None
        for tenth in range(10)
        for host in hosts
    )
    assert sent <= MAX_REQUESTS


@pytest.mark.parametrize('count', [8, 45, 99, 390])
def test_cold_upstream_gets_no_more_than_its_rate_after_hosts_were_idle(count):
    """Guards against a flood by many hosts that each send one request."""
    hosts = balancers_of(count)
    requests_of(hosts, 0, 1)
    assert most_in_a_second(requests_of(hosts, 6, 3)) <= MAX_REQUESTS


@pytest.mark.parametrize('count', [8, 45, 99, 390])
def test_hosts_that_have_just_started_do_not_flood_a_cold_upstream(count):
    """Guards against hosts that each take all of the rate as they start.

    A host that starts knows no other host yet.
    """
    hosts = [balancer_of(number) for number in range(count)]
    assert most_in_a_second(requests_of(hosts, 100, 2)) <= MAX_REQUESTS


@pytest.mark.parametrize('count', [8, 45, 99, 390])
def test_cold_upstream_gets_most_of_its_rate_if_there_is_demand(count):
    """Guards against a limit that becomes an outage where hosts are many."""
    hosts = balancers_of(count)
    sent = len(requests_of(hosts, 0, 3))
    assert sent >= 0.75 * 3 * COLD_RATE
