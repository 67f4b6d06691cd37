"""Choice of an upstream with lagging load reports, and prompt prefixes.

Two availability zones of model engines in virtual time. Each engine keeps a
limited number of prompt prefixes; a cached prefix shortens the answer. All
policies run in front of the product's admission; they differ in the choice.
"""

import collections
import itertools
import random
import statistics

from bench.figures import report
from bench.zones import WARM_CAPACITY, Agent, Clock, Request
from primroseyoke.messages import Load
from primroseyoke.routing import Router
from tests.configurations import build_configuration

SEED = 11
ZONES = ('zone-a', 'zone-b')
ENGINES_PER_ZONE = 8
ENTRIES_PER_ZONE = 3
PREFIXES = 300
CACHED_PREFIXES = 24
PREFILL_SECONDS = 0.4
CACHED_PREFILL_SECONDS = 0.05
DECODE_SECONDS = 1.0
DEADLINE = 2.5
LOAD_SHARE = 0.8
REPORT_SECONDS = 5.0
SECONDS = 120.0


class Engine:
    """Model engine with a cache of prompt prefixes."""

    def __init__(self, world, name, zone):
        self.world = world
        self.name = name
        self.zone = zone
        self.up = True
        self.incarnation = 0
        self.running = {}
        self.cache = collections.OrderedDict()
        self.busy = []

    def start(self, request, on_end):
        self.running[id(request)] = request
        hit = request.prefix in self.cache
        self.cache[request.prefix] = True
        self.cache.move_to_end(request.prefix)
        if len(self.cache) > CACHED_PREFIXES:
            self.cache.popitem(last=False)
        self.world.hits[hit] += 1
        prefill = CACHED_PREFILL_SECONDS if hit else PREFILL_SECONDS
        decode = DECODE_SECONDS * self.world.random.lognormvariate(-0.08, 0.4)
        self.world.clock.after(prefill + decode, self.finish, request, on_end)

    def finish(self, request, on_end):
        self.running.pop(id(request))
        on_end(request, 'done')


class World:
    """One run of one policy."""

    def __init__(self, policy):
        self.clock = Clock()
        self.random = random.Random(SEED)
        self.hits = collections.Counter()
        self.times = []
        self.spread = []
        self.configuration = _configuration()
        upstreams = self.configuration.parts_of_kind('upstream')
        self.upstreams = {
            name: Engine(self, name, part.availability_zone)
            for name, part in upstreams.items()
        }
        self.agents = {
            name: Agent(self, engine) for name, engine in self.upstreams.items()
        }
        self.entries = [
            policy(self, zone)
            for zone in ZONES
            for _ in range(ENTRIES_PER_ZONE)
        ]
        self.weights = [1 / rank for rank in range(1, PREFIXES + 1)]
        self.clock.after(0, self.arrive)
        self.clock.after(10, self.sample)

    def arrive(self):
        request = Request('draft', 'client', self.clock.now)
        prefixes = range(1, PREFIXES + 1)
        request.prefix = self.random.choices(prefixes, self.weights)[0]
        self.random.choice(self.entries).send(request)
        seconds = PREFILL_SECONDS + DECODE_SECONDS
        rate = LOAD_SHARE * len(self.upstreams) * WARM_CAPACITY / seconds
        self.clock.after(self.random.expovariate(rate), self.arrive)

    def sample(self):
        loads = [len(agent.tickets) for agent in self.agents.values()]
        self.spread.append(max(loads) / (statistics.fmean(loads) or 1))
        self.clock.after(0.5, self.sample)

    def done(self, request):
        self.times.append(self.clock.now - request.born)


class Entry:
    """Sends each request to the upstream that ``choose`` names."""

    def __init__(self, world, zone):
        self.world = world
        self.zone = zone
        self.generator = random.Random(SEED)
        self.seen = dict.fromkeys(world.upstreams, Load(0, 0, WARM_CAPACITY))
        world.clock.after(REPORT_SECONDS, self.report)

    def report(self):
        for name, agent in self.world.agents.items():
            self.observe(name, agent.load())
        self.world.clock.after(REPORT_SECONDS, self.report)

    def observe(self, name, load):
        self.seen[name] = load

    def send(self, request):
        name = self.choose(request)
        self.world.agents[name].offer(
            request,
            lambda ended, outcome, load: self.end(name, ended, load),
        )

    def end(self, name, request, load):
        self.world.done(request)


class RoundRobin(Entry):
    def __init__(self, world, zone):
        super().__init__(world, zone)
        self.turns = itertools.cycle(world.upstreams)
        for _ in range(world.random.randrange(len(world.upstreams))):
            next(self.turns)

    def choose(self, request):
        return next(self.turns)


class Random(Entry):
    def choose(self, request):
        return self.generator.choice(list(self.world.upstreams))


class LeastLoaded(Entry):
    """The least loaded upstream by reports that are up to 5 s old."""

    def choose(self, request):
        return min(
            self.seen,
            key=lambda name: (
                self.seen[name].running + self.seen[name].waiting,
                self.generator.random(),
            ),
        )


class TwoChoices(Entry):
    """The product's router without the prefix."""

    prefixes = False

    def __init__(self, world, zone):
        super().__init__(world, zone)
        self.router = Router(zone, random.Random(SEED))
        for name in world.upstreams:
            self.router.add_upstream(name, Load(0, 0, WARM_CAPACITY))

    def observe(self, name, load):
        self.router.update_load(name, load)

    def choose(self, request):
        prefix = request.prefix if self.prefixes else 0
        name = self.router.choose(
            self.world.configuration,
            'draft',
            prefix=prefix,
        )
        self.router.begin_request(name)
        return name

    def end(self, name, request, load):
        super().end(name, request, load)
        self.router.end_request(name)
        self.router.update_load(name, load)


class Affinity(TwoChoices):
    """The product's router."""

    prefixes = True


def _configuration():
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
    world = World(policy)
    world.clock.run(SECONDS)
    late = sum(seconds > DEADLINE for seconds in world.times)
    hits = world.hits[True] / sum(world.hits.values())
    return {
        'late_share': late / len(world.times),
        'p95_time': statistics.quantiles(world.times, n=20)[-1],
        'max_over_mean_load': statistics.fmean(world.spread),
        'prefix_hit_share': hits,
    }


def main():
    product = measure(Affinity)
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
