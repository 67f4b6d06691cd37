"""Service while an availability zone leaves, is cut off, and returns cold.

Three zones at the sizes of today, with load near what two of them can handle,
in virtual time. Bookings go along the homes of their keys. The entries' router and the agents' admission are the
product's own; the naive version sends round robin to every upstream that is
switched on, refuses beyond the warm capacity, and knows no cold start.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from bench.figures import report
from primroseyoke.admission import (
    Admission,
    Limits,
    RequestOutcome,
    Ticket,
    UpstreamLoad,
)
from primroseyoke.idempotency_keys import home_chain
from primroseyoke.messages import Load
from primroseyoke.retries import RetryBudget
from primroseyoke.routing import Router
from tests.configurations import build_configuration

SEED = 7
ZONES = ('zone-a', 'zone-b', 'zone-c')
ENGINES_PER_ZONE = (6, 5, 5)
BOOKING_UPSTREAMS = tuple(f'booking-{zone}' for zone in ZONES)
ENTRIES_PER_ZONE = 3
WARM_CAPACITY = 8
COLD_CAPACITY = 2
DOWN_SECONDS = 5.0
DRAFT_SECONDS = 1.2
BOOKING_SECONDS = 0.05
DEADLINES = {'draft': 8.0, 'booking': 4.0}
LATE = {'draft': 4.0, 'booking': 1.0}
ZONE_DELAY = 0.0015
DETECTION_SECONDS = 5.0
BALANCER_SECONDS = 2.0
PROPAGATION_SECONDS = 2.0
REPORT_SECONDS = 5.0
BOOKINGS_PER_SECOND = 30.0
# Share of what the two smaller zones can handle when warm.
LOAD_SHARE = 0.9
TIMELINE = {
    'before': (10, 20),
    'planned_leave': (20, 50),
    'planned_return': (50, 80),
    'cut': (80, 110),
    'cut_return': (110, 140),
}
ACCOUNTS = [('large', 8), *((f'small-{number}', 1) for number in range(8))]


@dataclasses.dataclass
class Request:
    kind: str
    client: str
    born: float
    tries: int = 0
    tried: tuple = ()
    done: bool = False
    chain: tuple = ()
    label: str = ''

    @property
    def deadline(self):
        return self.born + DEADLINES[self.kind]


class Clock:
    """Events in virtual time. Bookings go along the homes of their keys."""

    def __init__(self):
        self.now = 0.0
        self.events = []
        self.order = itertools.count()

    def after(self, delay, function, *arguments):
        event = (self.now + delay, next(self.order), function, arguments)
        heapq.heappush(self.events, event)

    def run(self, end):
        while self.events and self.events[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)


class Upstream:
    """Crashes, with all that it runs, when it gets more than it bears."""

    def __init__(self, world, name, zone, seconds):
        self.world = world
        self.name = name
        self.zone = zone
        self.seconds = seconds
        self.up = True
        self.incarnation = 0
        self.completed = 10**6
        self.running = {}
        self.crashes = 0

    def capacity(self):
        # One more request is borne for each two that were completed.
        return min(COLD_CAPACITY + self.completed // 2, WARM_CAPACITY)

    def start(self, request, on_end):
        if not self.up:
            on_end(request, 'refused')
            return
        self.running[id(request)] = (request, on_end)
        if len(self.running) > self.capacity():
            self.crashes += 1
            self.stop()
            self.world.clock.after(DOWN_SECONDS, self.restart)
            return
        factor = self.world.random.lognormvariate(-0.08, 0.4)
        self.world.clock.after(
            self.seconds * factor,
            self.finish,
            id(request),
            self.incarnation,
        )

    def finish(self, identity, incarnation):
        if incarnation == self.incarnation and identity in self.running:
            request, on_end = self.running.pop(identity)
            self.completed += 1
            on_end(request, 'done')

    def stop(self):
        self.up = False
        self.incarnation += 1
        lost = list(self.running.values())
        self.running.clear()
        for request, on_end in lost:
            on_end(request, 'lost')

    def restart(self):
        if not self.up and not self.world.is_cut(self.zone):
            self.up = True
            self.completed = 0

    def cool(self):
        """Turn cold, as after the zone was out."""
        self.incarnation += 1
        self.completed = 0


class Agent:
    """The product's admission in front of one upstream."""

    def __init__(self, world, upstream):
        self.world = world
        self.upstream = upstream
        self.admission = Admission(
            Limits(
                cold_limit=1,
                max_running=WARM_CAPACITY,
                max_held=2**30,
                max_waiting=64,
            ),
        )
        self.tickets = {}
        self.numbers = itertools.count()
        self.out = False
        self.observe()
        # The simulated fleet starts warm.
        self.admission.current_limit = WARM_CAPACITY
        world.clock.after(0.5, self.poll)

    def observe(self):
        if self.upstream.up:
            report = UpstreamLoad(
                str(self.upstream.incarnation),
                self.world.clock.now,
                len(self.upstream.running),
            )
            self.admission.observe_load(report, self.world.clock.now)

    def poll(self):
        self.observe()
        self.advance()
        self.world.clock.after(0.5, self.poll)

    def load(self):
        return Load(
            len(self.admission.running),
            len(self.admission.waiting),
            self.admission.current_limit,
            not self.out,
        )

    def offer(self, request, reply):
        number = next(self.numbers)
        ticket = Ticket(
            number,
            request.client,
            16384,
            request.deadline,
            request.kind != 'booking',
        )
        if self.out:
            reply(request, 'refused', self.load())
            return
        self.tickets[number] = (request, reply)
        for refused in self.admission.enqueue(ticket):
            self.refuse(refused)
        self.advance()

    def refuse(self, ticket):
        request, reply = self.tickets.pop(ticket.attempt)
        reply(request, 'refused', self.load())

    def advance(self):
        admitted, expired = self.admission.advance(self.world.clock.now)
        for ticket in expired:
            self.refuse(ticket)
        for ticket in admitted:
            request, _ = self.tickets[ticket.attempt]
            self.upstream.start(
                request,
                lambda ended, outcome, number=ticket.attempt: self.end(
                    number,
                    outcome,
                ),
            )

    def end(self, number, outcome):
        request, reply = self.tickets.pop(number)
        completed = outcome == 'done'
        self.admission.finish(
            number,
            RequestOutcome.COMPLETED if completed else RequestOutcome.FAILED,
        )
        if outcome == 'refused':
            self.admission.restart_ramp()
        self.observe()
        reply(request, outcome, self.load())
        self.advance()


class Counts:
    """Outcomes by phase, kind and sort."""

    def __init__(self):
        self.table = collections.Counter()
        self.served = collections.Counter()
        self.by_zone = collections.Counter()

    def add(self, now, request, outcome):
        if outcome == 'done' and now - request.born > LATE[request.kind]:
            outcome = 'late'
        for phase, (start, end) in TIMELINE.items():
            if start <= request.born < end:
                label = request.label or request.kind
                self.table[phase, label, outcome] += 1
                self.served[phase, request.client, outcome] += 1


class World:
    """A fleet under one policy; ``product`` chooses which."""

    def __init__(self, product):
        self.product = product
        self.random = random.Random(SEED)
        self.clock = Clock()
        self.counts = Counts()
        self.cut_zones = set()
        self.out_zones = set()
        self.configuration = _configuration()
        self.upstreams = {
            name: Upstream(self, name, part.availability_zone, _seconds(name))
            for name, part in self.configuration.parts_of_kind(
                'upstream'
            ).items()
        }
        self.agents = {
            name: Agent(self, upstream)
            for name, upstream in self.upstreams.items()
        }
        self.entries = [
            (Product if product else Naive)(self, zone)
            for zone in ZONES
            for _ in range(ENTRIES_PER_ZONE)
        ]
        self.full_after = {}
        smaller = sum(sorted(ENGINES_PER_ZONE)[:2])
        rate = LOAD_SHARE * smaller * WARM_CAPACITY / DRAFT_SECONDS
        for kind, per_second in (
            ('draft', rate),
            ('booking', BOOKINGS_PER_SECOND),
        ):
            self.clock.after(0.01, self.arrive, kind, per_second)

    def is_cut(self, zone):
        return zone in self.cut_zones

    def arrive(self, kind, per_second):
        names, weights = zip(*ACCOUNTS, strict=True)
        client = self.random.choices(names, weights)[0]
        request = Request(kind, client, self.clock.now)
        if kind == 'booking':
            # An issued key has a home that was linked when it was issued.
            keys = ('booking_issued_key', 'booking_own_key')
            request.label = self.random.choice(keys)
        reachable = [
            entry
            for entry in self.entries
            if self.clock.now >= entry.unreachable_from
            or not self.is_cut(entry.zone)
        ]
        reachable = [
            entry
            for entry in reachable
            if not (self.is_cut(entry.zone) and entry.noticed)
        ]
        entry = self.random.choice(reachable)
        if self.is_cut(entry.zone):
            # The balancer has not noticed yet; the connection is refused.
            self.end(request, 'lost')
        else:
            entry.send(request)
        self.clock.after(
            self.random.expovariate(per_second),
            self.arrive,
            kind,
            per_second,
        )

    def end(self, request, outcome):
        if not request.done:
            request.done = True
            self.counts.add(self.clock.now, request, outcome)

    def schedule(self):
        at = self.clock.after
        at(TIMELINE['planned_leave'][0], self.take_out, ZONES[0])
        at(TIMELINE['planned_return'][0], self.bring_back, ZONES[0])
        at(TIMELINE['cut'][0], self.cut, ZONES[1])
        at(TIMELINE['cut_return'][0], self.rejoin, ZONES[1])

    def take_out(self, zone):
        self.set_out(zone, out=True)

    def bring_back(self, zone):
        for upstream in self.zone_upstreams(zone):
            upstream.cool()
        self.set_out(zone, out=False)

    def set_out(self, zone, out):
        for agent in self.agents.values():
            if agent.upstream.zone == zone:
                delay = self.random.uniform(0, PROPAGATION_SECONDS)
                self.clock.after(delay, setattr, agent, 'out', out)
        for entry in self.entries:
            delay = self.random.uniform(0, PROPAGATION_SECONDS)
            self.clock.after(delay, entry.set_out, zone, out)

    def cut(self, zone):
        self.cut_zones.add(zone)
        for upstream in self.zone_upstreams(zone):
            upstream.stop()
        for entry in self.entries:
            if entry.zone == zone:
                self.clock.after(BALANCER_SECONDS, entry.notice, True)
            else:
                self.clock.after(DETECTION_SECONDS, entry.lose_links, zone)

    def rejoin(self, zone):
        self.cut_zones.discard(zone)
        for upstream in self.zone_upstreams(zone):
            upstream.restart()
        for entry in self.entries:
            if entry.zone == zone:
                self.clock.after(BALANCER_SECONDS, entry.notice, False)
            else:
                self.clock.after(1.0, entry.regain_links, zone)

    def zone_upstreams(self, zone):
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.zone == zone
        ]

    def watch_return(self, zone, phase, start):
        """Note when a returned zone can take its whole share again."""
        engines = [
            upstream
            for upstream in self.zone_upstreams(zone)
            if upstream.seconds == DRAFT_SECONDS
        ]
        ready = all(
            upstream.up and upstream.capacity() == WARM_CAPACITY
            for upstream in engines
        )
        if ready:
            self.full_after.setdefault(phase, self.clock.now - start)
        else:
            self.clock.after(0.1, self.watch_return, zone, phase, start)


class Entry:
    """What both versions of an entry share."""

    def __init__(self, world, zone):
        self.world = world
        self.zone = zone
        self.noticed = False
        self.unreachable_from = 0.0
        self.out = set()

    def notice(self, noticed):
        self.noticed = noticed

    def set_out(self, zone, out):
        (self.out.add if out else self.out.discard)(zone)

    def delay(self, name):
        other = self.world.upstreams[name].zone != self.zone
        return ZONE_DELAY if other else 0.0

    def lose_links(self, zone):
        """Links to a zone have ended."""

    def regain_links(self, zone):
        """Links to a zone are back."""


class Naive(Entry):
    """Round robin over all upstreams that are switched on."""

    def __init__(self, world, zone):
        super().__init__(world, zone)
        self.turns = collections.Counter()
        self.lost = set()

    def lose_links(self, zone):
        self.lost.add(zone)

    def regain_links(self, zone):
        self.lost.discard(zone)

    def send(self, request):
        names = [
            name
            for name, upstream in self.world.upstreams.items()
            if _service(name) == request.kind
            and upstream.zone not in self.out | self.lost
        ]
        self.turns[request.kind] += 1
        name = names[self.turns[request.kind] % len(names)]
        if self.world.is_cut(self.world.upstreams[name].zone):
            # Nothing answers until the connection times out.
            self.world.clock.after(DETECTION_SECONDS, self.end, request, 'lost')
            return
        upstream = self.world.upstreams[name]
        if len(upstream.running) >= WARM_CAPACITY:
            self.end(request, 'refused')
            return
        upstream.start(request, self.end)

    def end(self, request, outcome):
        unsafe = request.kind == 'booking' and outcome == 'lost'
        if outcome == 'done' or unsafe:
            self.world.end(request, outcome)
        elif request.tries < 3 and self.world.clock.now < request.deadline:
            request.tries += 1
            self.send(request)
        else:
            self.world.end(request, outcome)


class Product(Entry):
    """The product's router and retry budget."""

    def __init__(self, world, zone):
        super().__init__(world, zone)
        self.router = Router(zone, random.Random(SEED))
        self.budget = RetryBudget()
        self.configuration = world.configuration
        for name in world.upstreams:
            self.router.add_upstream(name, Load(0, 0, WARM_CAPACITY))
        world.clock.after(REPORT_SECONDS, self.report)

    def report(self):
        for name, agent in self.world.agents.items():
            if not self.world.is_cut(agent.upstream.zone):
                self.router.update_load(name, agent.load())
        self.world.clock.after(REPORT_SECONDS, self.report)

    def set_out(self, zone, out):
        super().set_out(zone, out)
        self.configuration = _configuration(self.out)

    def lose_links(self, zone):
        for upstream in self.world.zone_upstreams(zone):
            self.router.remove_upstream(upstream.name)

    def regain_links(self, zone):
        for upstream in self.world.zone_upstreams(zone):
            load = self.world.agents[upstream.name].load()
            self.router.add_upstream(upstream.name, load)

    def booking_chain(self, issued):
        while True:
            key = str(self.world.random.random())
            chain = home_chain(BOOKING_UPSTREAMS, ('booking', 'c', key))
            usable = chain[0] in self.router.known_upstreams
            usable = usable and self.configuration.accepts_requests(chain[0])
            if usable or not issued:
                return chain

    def choose(self, request):
        if request.kind == 'draft':
            return self.router.choose(
                self.configuration,
                request.kind,
                request.tried,
            )
        issued = request.label == 'booking_issued_key'
        request.chain = request.chain or self.booking_chain(issued)
        if len(request.tried) == len(request.chain):
            return None
        return request.chain[len(request.tried)]

    def send(self, request):
        name = self.choose(request)
        if not request.tried:
            self.budget.earn(request.client, self.world.clock.now)
        if name is None:
            self.world.end(request, 'refused')
            return
        request.tried += (name,)
        self.router.begin_request(name)
        if self.world.is_cut(self.world.upstreams[name].zone):
            self.world.clock.after(
                DETECTION_SECONDS,
                self.end,
                name,
                request,
                'lost',
                None,
            )
            return
        self.world.clock.after(
            self.delay(name),
            self.world.agents[name].offer,
            request,
            lambda ended, outcome, load: self.end(name, ended, outcome, load),
        )

    def end(self, name, request, outcome, load):
        self.router.end_request(name)
        if load is not None:
            self.router.update_load(name, load)
        now = self.world.clock.now
        retried = outcome == 'refused' or (
            outcome == 'lost' and request.kind != 'booking'
        )
        if (
            retried
            and len(request.tried) < 4
            and now < request.deadline
            and self.budget.spend(request.client, now)
        ):
            self.send(request)
        else:
            self.world.end(request, outcome)


def _service(name):
    return name.partition('-')[0]


def _seconds(name):
    return DRAFT_SECONDS if _service(name) == 'draft' else BOOKING_SECONDS


def _configuration(out=()):
    parts = {
        'service/draft': {'kind': 'model'},
        'service/booking': {'kind': 'plain'},
    }
    for zone, engines in zip(ZONES, ENGINES_PER_ZONE, strict=True):
        names = [f'draft-{zone}-{number}' for number in range(engines)]
        for name in [*names, f'booking-{zone}']:
            parts[f'upstream/{name}'] = {
                'service': _service(name),
                'availability_zone': zone,
                'agent': f'127.0.0.1:{len(parts)}',
            }
    for zone in out:
        parts[f'zone/{zone}'] = {'state': 'out'}
    return build_configuration(parts)


def run(product):
    world = World(product)
    world.schedule()
    for phase, zone in (('planned_return', ZONES[0]), ('cut_return', ZONES[1])):
        start = TIMELINE[phase][0]
        world.clock.after(start + 0.05, world.watch_return, zone, phase, start)
    world.clock.run(160)
    return world


def main():
    product, naive = run(product=True), run(product=False)
    for phase, (start, end) in TIMELINE.items():
        for kind in ('draft', 'booking_issued_key', 'booking_own_key'):
            for outcome in ('refused', 'late', 'lost'):
                ours = product.counts.table[phase, kind, outcome]
                theirs = naive.counts.table[phase, kind, outcome]
                if ours or theirs:
                    report(
                        f'zones_{phase}_{kind}_{outcome}',
                        ours / (end - start),
                        'requests/s',
                        theirs / (end - start),
                    )
    for phase in ('planned_return', 'cut_return'):
        report(
            f'zones_{phase}_full_after',
            product.full_after.get(phase, float('inf')),
            's',
            naive.full_after.get(phase, float('inf')),
        )
    report(
        'zones_upstream_crashes',
        sum(upstream.crashes for upstream in product.upstreams.values()),
        'count',
        sum(upstream.crashes for upstream in naive.upstreams.values()),
    )


if __name__ == '__main__':
    main()
