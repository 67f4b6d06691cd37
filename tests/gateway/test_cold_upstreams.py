"""Requests of many hosts to an upstream that is cold."""

import math
import random

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


def test_hosts_do_not_save_up_requests_for_a_cold_upstream():
    """Guards against a crash of an upstream that was cold and unused.

    Its rank group is broken for some seconds, and then all hosts send at once.
    """
    service = Service('model', 1000, cold_rate=COLD_RATE)
    configuration = Configuration(1, (), {'model': service}, (), CallerLimits())
    hosts = []
    for number in range(HOST_COUNT):
        registry = UpstreamRegistry()
        registry.put(Upstream('u', 'model', 'h', 1, 'z', cold_until=math.inf))
        balancer = Balancer(registry, 'z', random.Random(number), {})
        balancer.host_count = HOST_COUNT
        balancer.acquire(configuration, 'model', 0, SelectionCriteria())
        hosts.append(balancer)
    sent = sum(
        host.acquire(
            configuration, 'model', 5 + tenth / 10, SelectionCriteria()
        )
        is not None
        for tenth in range(10)
        for host in hosts
    )
    assert sent <= MAX_REQUESTS
