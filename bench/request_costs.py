"""Choice of upstreams by counts, by stated tokens and by predicted work.

Calculates one rank group with 63 ranks of 5 slots behind 30 hosts with delayed
reports, in virtual time, for several sizes of the sample of upstreams that are
compared for a request; 390 hosts for herding; and measures the time of a choice
among 16 to 600 upstreams.
"""

import random
import statistics
import sys
import time
from unittest import mock

from bench.figures import report
from primroseyoke.gateway import candidates, request_costs
from primroseyoke.gateway.balancer import Balancer, SelectionCriteria
from primroseyoke.gateway.upstreams import Upstream, UpstreamRegistry
from primroseyoke.scheduling.cost import StatedWork
from tests.standins.routed_streams import (
    CONFIGURATION,
    SERVICE,
    RoutedStreams,
    StatedCosts,
    learned_costs,
)

UNITS = {
    'first_event_p95': 's',
    'imbalance_p95': 'ratio',
    'abandoned': 'requests',
}
POLICIES = {'count': None, 'stated': StatedCosts, 'predicted': learned_costs}
SAMPLE_SIZES = (None, 2, 8, 16, 63)
SEEDS = (1, 2, 3)
LOAD = 1.6
SECONDS = 10.0
WARM_UP = 4.0
MANY_HOSTS = 390
MANY_HOSTS_SECONDS = 4.0
UPSTREAM_COUNTS = (16, 63, 600)
CHOICES = 3000


def measure(sample_size, costs, hosts, seconds, seeds):
    """Return the mean of each figure over the seeds.

    All upstreams are in the zone of the hosts, so that one sample is taken. A
    ``sample_size`` of None leaves the sizes of the product.
    """
    size = sample_size or candidates.SAMPLE_SIZE_PER_SIDE
    work_size = sample_size or request_costs._WORK_SAMPLE_SIZE_PER_SIDE
    with (
        mock.patch.object(candidates, 'SAMPLE_SIZE_PER_SIDE', size),
        mock.patch.multiple(
            request_costs,
            SAMPLE_SIZE_PER_SIDE=size,
            _WORK_SAMPLE_SIZE_PER_SIDE=work_size,
        ),
    ):
        rows = [
            RoutedStreams(seed, hosts=hosts, costs=costs, load=LOAD)
            .run(seconds, WARM_UP)
            .row()
            for seed in seeds
        ]
    return {
        name: statistics.fmean(row[name] for row in rows) for name in rows[0]
    }


def compare(sample_size, hosts, seconds, seeds):
    baseline = {}
    for policy, costs in POLICIES.items():
        figures = measure(sample_size, costs, hosts, seconds, seeds)
        baseline = baseline or figures
        size = sample_size or 'product'
        for name, unit in UNITS.items():
            report(
                f'costs_{policy}_{hosts}_hosts_{size}_{name}',
                figures[name],
                unit,
                baseline[name],
            )


def measure_choice(upstream_count, costs):
    """Return the mean time of a choice in seconds."""
    registry = UpstreamRegistry()
    for number in range(upstream_count):
        registry.put(Upstream(f'u{number}', SERVICE.name, '', 1, 'a'))
    balancer = Balancer(registry, 'a', random.Random(1), {})
    balancer.costs.enabled = costs is not None
    if costs is not None:
        balancer.costs.models[SERVICE.name] = costs()
    stated = StatedWork('draft', 800, '', 232, 64)
    criteria = SelectionCriteria(stated_work=stated)
    held = []
    started = time.perf_counter()
    for _ in range(CHOICES):
        held.append(balancer.acquire(CONFIGURATION, SERVICE.name, 1, criteria))
        if len(held) > 2 * min(upstream_count, 63):
            balancer.release(held.pop(0))
    return (time.perf_counter() - started) / CHOICES


def main():
    for count in UPSTREAM_COUNTS:
        baseline = measure_choice(count, None)
        report(
            f'costs_choice_{count}_upstreams',
            measure_choice(count, StatedCosts) * 1e6,
            'us',
            baseline * 1e6,
        )
    for sample_size in SAMPLE_SIZES:
        compare(sample_size, 30, SECONDS, SEEDS)
    for sample_size in (None, 16, 63):
        compare(sample_size, MANY_HOSTS, MANY_HOSTS_SECONDS, SEEDS[:1])


if __name__ == '__main__':
    sys.exit(main())
