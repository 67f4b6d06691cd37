"""Routing policies with delayed load reports and cached prompt prefixes.

Simulates two availability zones of model engines in virtual time. Each engine
caches a limited number of prompt prefixes; a cached prefix shortens the
prefill. All policies run in front of the product's admission and differ only
in how they choose an upstream.
"""

import collections
import itertools
import random
import statistics

from bench.figures import report
from bench.zones import (
    WARM_CAPACITY,
    Request,
    SimulatedAgent,
    VirtualClock,
)
from primroseyoke.messages import Load
from primroseyoke.routing import Router
from tests.configurations import build_configuration

SEED = 11
ZONES = ('zone-a', 'zone-b')
ENGINES_PER_ZONE = 8
ENTRIES_PER_ZONE = 3
PREFIX_COUNT = 300
CACHED_PREFIX_LIMIT = 24
PREFILL_SECONDS = 0.4
CACHED_PREFILL_SECONDS = 0.05
DECODE_SECONDS = 1.0
DEADLINE_SECONDS = 2.5
LOAD_SHARE = 0.8
REPORT_SECONDS = 5.0
DURATION_SECONDS = 120.0


class SimulatedEngine:
    """Model engine with an LRU cache of prompt prefixes."""

    def __init__(self, simulation, name, zone):
        self.simulation = simulation
        self.name = name
        self.zone = zone
        self.up = True
        self.incarnation = 0
        self.running = {}
        self.cache = collections.OrderedDict()
        self.busy = []

    def start(self, request, on_end):
        self.running[id(request)] = request
        is_cached = request.prefix in self.cache
        self.cache[request.prefix] = True
        self.cache.move_to_end(request.prefix)
        if len(self.cache) > CACHED_PREFIX_LIMIT:
            self.cache.popitem(last=False)
        self.simulation.cache_lookups[is_cached] += 1
        prefill_seconds = (
            CACHED_PREFILL_SECONDS if is_cached else PREFILL_SECONDS
        )
        decode_seconds = DECODE_SECONDS * self.simulation.random.lognormvariate(
            -0.08, 0.4
        )
        self.simulation.clock.call_later(
            prefill_seconds + decode_seconds, self.finish, request, on_end
        )

    def finish(self, request, on_end):
        self.running.pop(id(request))
        on_end(request, 'done')


class Simulation:
    """One run of one routing policy."""

    def __init__(self, policy):
        self.clock = VirtualClock()
        self.random = random.Random(SEED)
        self.cache_lookups = collections.Counter()
        self.response_seconds = []
        self.load_imbalance = []
        self.configuration = _simulated_configuration()
        upstreams = self.configuration.parts_of_kind('upstream')
        self.upstreams = {
            name: SimulatedEngine(self, name, part.availability_zone)
            for name, part in upstreams.items()
        }
        self.agents = {
            name: SimulatedAgent(self, engine)
            for name, engine in self.upstreams.items()
        }
        self.entries = [
            policy(self, zone)
            for zone in ZONES
            for _ in range(ENTRIES_PER_ZONE)
        ]
        self.weights = [1 / rank for rank in range(1, PREFIX_COUNT + 1)]
        self.clock.call_later(0, self.send_next_request)
        self.clock.call_later(10, self.sample_loads)

    def send_next_request(self):
        request = Request('draft', 'client', self.clock.now)
        prefixes = range(1, PREFIX_COUNT + 1)
        request.prefix = self.random.choices(prefixes, self.weights)[0]
        self.random.choice(self.entries).send(request)
        service_seconds = PREFILL_SECONDS + DECODE_SECONDS
        arrival_rate = (
            LOAD_SHARE * len(self.upstreams) * WARM_CAPACITY / service_seconds
        )
        self.clock.call_later(
            self.random.expovariate(arrival_rate), self.send_next_request
        )

    def sample_loads(self):
        loads = [len(agent.tickets) for agent in self.agents.values()]
        self.load_imbalance.append(max(loads) / (statistics.fmean(loads) or 1))
        self.clock.call_later(0.5, self.sample_loads)

    def record_completion(self, request):
        self.response_seconds.append(self.clock.now - request.created_at)


class Entry:
    """Sends each request to the upstream that ``choose`` returns."""

    def __init__(self, simulation, zone):
        self.simulation = simulation
        self.zone = zone
        self.generator = random.Random(SEED)
        self.reported_loads = dict.fromkeys(
            simulation.upstreams, Load(0, 0, WARM_CAPACITY)
        )
        simulation.clock.call_later(REPORT_SECONDS, self.poll_loads)

    def poll_loads(self):
        for name, agent in self.simulation.agents.items():
            self.observe(name, agent.load())
        self.simulation.clock.call_later(REPORT_SECONDS, self.poll_loads)

    def observe(self, name, load):
        self.reported_loads[name] = load

    def send(self, request):
        name = self.choose(request)
        self.simulation.agents[name].submit(
            request,
            lambda ended, outcome, load: self.end(name, ended, load),
        )

    def end(self, name, request, load):
        self.simulation.record_completion(request)


class RoundRobin(Entry):
    def __init__(self, simulation, zone):
        super().__init__(simulation, zone)
        self.upstream_cycle = itertools.cycle(simulation.upstreams)
        for _ in range(simulation.random.randrange(len(simulation.upstreams))):
            next(self.upstream_cycle)

    def choose(self, request):
        return next(self.upstream_cycle)


class Random(Entry):
    def choose(self, request):
        return self.generator.choice(list(self.simulation.upstreams))


class LeastLoaded(Entry):
    """Chooses by load reports that are up to 5 s old."""

    def choose(self, request):
        return min(
            self.reported_loads,
            key=lambda name: (
                self.reported_loads[name].running
                + self.reported_loads[name].waiting,
                self.generator.random(),
            ),
        )


class TwoChoices(Entry):
    """The product's router without prefix affinity."""

    uses_prefix = False

    def __init__(self, simulation, zone):
        super().__init__(simulation, zone)
        self.router = Router(zone, random.Random(SEED))
        for name in simulation.upstreams:
            self.router.add_upstream(name, Load(0, 0, WARM_CAPACITY))

    def observe(self, name, load):
        self.router.update_load(name, load)

    def choose(self, request):
        prefix = request.prefix if self.uses_prefix else 0
        name = self.router.choose(
            self.simulation.configuration,
            'draft',
            prefix=prefix,
        )
        self.router.begin_request(name)
        return name

    def end(self, name, request, load):
        super().end(name, request, load)
        self.router.end_request(name)
        self.router.update_load(name, load)


class PrefixAffinity(TwoChoices):
    """The product's router with prefix affinity."""

    uses_prefix = True


def _simulated_configuration():
    parts = {'service/draft': {'kind': 'model'}}
    for zone in ZONES:
        for number in range(ENGINES_PER_ZONE):
            parts[f'upstream/draft-{zone}-{number}'] = {
                'service': 'draft',
                'availability_zone': zone,
                'agent': f'127.0.0.1:{len(parts)}',
            }
    return build_configuration(parts)


def measure(policy):
    simulation = Simulation(policy)
    simulation.clock.run(DURATION_SECONDS)
    late_count = sum(
        seconds > DEADLINE_SECONDS for seconds in simulation.response_seconds
    )
    hit_share = simulation.cache_lookups[True] / sum(
        simulation.cache_lookups.values()
    )
    return {
        'late_share': late_count / len(simulation.response_seconds),
        'p95_time': statistics.quantiles(simulation.response_seconds, n=20)[-1],
        'max_over_mean_load': statistics.fmean(simulation.load_imbalance),
        'prefix_hit_share': hit_share,
    }


def main():
    product = measure(PrefixAffinity)
    for policy in (TwoChoices, RoundRobin, LeastLoaded, Random):
        baseline = measure(policy)
        for name, value in product.items():
            report(
                f'routing_{name}_against_{policy.__name__}',
                value,
                's' if name == 'p95_time' else 'share',
                baseline[name],
            )


if __name__ == '__main__':
    main()
