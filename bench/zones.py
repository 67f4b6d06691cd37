"""Service while an availability zone leaves, is partitioned, and returns cold.

Simulates three zones of the present sizes in virtual time, with a load near
the capacity of the two smaller ones. Bookings are sent to the homes of their
idempotency keys, in order. The router of the entries and the admission of the
agents are the product's own. The baseline sends round robin to all upstreams
that are not taken out, refuses requests above the warm capacity, and does not
take cold starts into account.
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
RESTART_SECONDS = 5.0
DRAFT_SECONDS = 1.2
BOOKING_SECONDS = 0.05
DEADLINE_SECONDS = {'draft': 8.0, 'booking': 4.0}
LATE_AFTER_SECONDS = {'draft': 4.0, 'booking': 1.0}
INTER_ZONE_DELAY_SECONDS = 0.0015
FAILURE_DETECTION_SECONDS = 5.0
BALANCER_REACTION_SECONDS = 2.0
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
CLIENT_WEIGHTS = [
    ('large', 8),
    *((f'small-{number}', 1) for number in range(8)),
]


@dataclasses.dataclass
class Request:
    kind: str
    client: str
    created_at: float
    retry_count: int = 0
    tried_upstreams: tuple = ()
    is_done: bool = False
    homes: tuple = ()
    label: str = ''

    @property
    def deadline(self):
        return self.created_at + DEADLINE_SECONDS[self.kind]


class VirtualClock:
    """Queue of events in virtual time."""

    def __init__(self):
        self.now = 0.0
        self.events = []
        self.sequence = itertools.count()

    def call_later(self, delay, function, *arguments):
        event = (self.now + delay, next(self.sequence), function, arguments)
        heapq.heappush(self.events, event)

    def run(self, end):
        while self.events and self.events[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)


class SimulatedUpstream:
    """Upstream that crashes when it gets more requests than its capacity."""

    def __init__(self, simulation, name, zone, service_seconds):
        self.simulation = simulation
        self.name = name
        self.zone = zone
        self.service_seconds = service_seconds
        self.up = True
        self.incarnation = 0
        self.completed = 10**6
        self.running = {}
        self.crashes = 0

    def capacity(self):
        # Two completed requests warm up one more slot.
        return min(COLD_CAPACITY + self.completed // 2, WARM_CAPACITY)

    def start(self, request, on_end):
        if not self.up:
            on_end(request, 'refused')
            return
        self.running[id(request)] = (request, on_end)
        if len(self.running) > self.capacity():
            self.crashes += 1
            self.stop()
            self.simulation.clock.call_later(RESTART_SECONDS, self.restart)
            return
        factor = self.simulation.random.lognormvariate(-0.08, 0.4)
        self.simulation.clock.call_later(
            self.service_seconds * factor,
            self.finish,
            id(request),
            self.incarnation,
        )

    def finish(self, request_id, incarnation):
        if incarnation == self.incarnation and request_id in self.running:
            request, on_end = self.running.pop(request_id)
            self.completed += 1
            on_end(request, 'done')

    def stop(self):
        self.up = False
        self.incarnation += 1
        interrupted = list(self.running.values())
        self.running.clear()
        for request, on_end in interrupted:
            on_end(request, 'lost')

    def restart(self):
        if not self.up and not self.simulation.is_partitioned(self.zone):
            self.up = True
            self.completed = 0

    def reset_to_cold(self):
        """Make the upstream cold, as after its zone was out."""
        self.incarnation += 1
        self.completed = 0


class SimulatedAgent:
    """The product's admission in front of one upstream."""

    def __init__(self, simulation, upstream):
        self.simulation = simulation
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
        self.sequence = itertools.count()
        self.out = False
        self.observe()
        # The simulation starts with warm upstreams.
        self.admission.current_limit = WARM_CAPACITY
        simulation.clock.call_later(0.5, self.poll)

    def observe(self):
        if self.upstream.up:
            load = UpstreamLoad(
                str(self.upstream.incarnation),
                self.simulation.clock.now,
                len(self.upstream.running),
            )
            self.admission.observe_load(load, self.simulation.clock.now)

    def poll(self):
        self.observe()
        self.advance()
        self.simulation.clock.call_later(0.5, self.poll)

    def load(self):
        return Load(
            len(self.admission.running),
            len(self.admission.waiting),
            self.admission.current_limit,
            not self.out,
        )

    def submit(self, request, reply):
        ticket_number = next(self.sequence)
        ticket = Ticket(
            ticket_number,
            request.client,
            16384,
            request.deadline,
            request.kind != 'booking',
        )
        if self.out:
            reply(request, 'refused', self.load())
            return
        self.tickets[ticket_number] = (request, reply)
        for refused_ticket in self.admission.enqueue(ticket):
            self.refuse(refused_ticket)
        self.advance()

    def refuse(self, ticket):
        request, reply = self.tickets.pop(ticket.attempt)
        reply(request, 'refused', self.load())

    def advance(self):
        admitted, expired = self.admission.advance(self.simulation.clock.now)
        for ticket in expired:
            self.refuse(ticket)
        for ticket in admitted:
            request, _ = self.tickets[ticket.attempt]
            self.upstream.start(
                request,
                lambda ended, outcome, ticket_number=ticket.attempt: self.end(
                    ticket_number,
                    outcome,
                ),
            )

    def end(self, ticket_number, outcome):
        request, reply = self.tickets.pop(ticket_number)
        completed = outcome == 'done'
        self.admission.finish(
            ticket_number,
            RequestOutcome.COMPLETED if completed else RequestOutcome.FAILED,
        )
        if outcome == 'refused':
            self.admission.restart_ramp()
        self.observe()
        reply(request, outcome, self.load())
        self.advance()


class OutcomeCounts:
    """Counts outcomes by phase and by request kind or client."""

    def __init__(self):
        self.by_kind = collections.Counter()
        self.by_client = collections.Counter()
        self.by_zone = collections.Counter()

    def add(self, now, request, outcome):
        if (
            outcome == 'done'
            and now - request.created_at > LATE_AFTER_SECONDS[request.kind]
        ):
            outcome = 'late'
        for phase, (start, end) in TIMELINE.items():
            if start <= request.created_at < end:
                label = request.label or request.kind
                self.by_kind[phase, label, outcome] += 1
                self.by_client[phase, request.client, outcome] += 1


class Simulation:
    """A deployment; ``uses_product`` selects product or baseline entries."""

    def __init__(self, uses_product):
        self.uses_product = uses_product
        self.random = random.Random(SEED)
        self.clock = VirtualClock()
        self.counts = OutcomeCounts()
        self.partitioned_zones = set()
        self.out_zones = set()
        self.configuration = _simulated_configuration()
        self.upstreams = {
            name: SimulatedUpstream(
                self, name, part.availability_zone, _service_seconds(name)
            )
            for name, part in self.configuration.parts_of_kind(
                'upstream'
            ).items()
        }
        self.agents = {
            name: SimulatedAgent(self, upstream)
            for name, upstream in self.upstreams.items()
        }
        self.entries = [
            (ProductEntry if uses_product else RoundRobinEntry)(self, zone)
            for zone in ZONES
            for _ in range(ENTRIES_PER_ZONE)
        ]
        self.seconds_to_full_capacity = {}
        smaller_zones_engines = sum(sorted(ENGINES_PER_ZONE)[:2])
        draft_rate = (
            LOAD_SHARE * smaller_zones_engines * WARM_CAPACITY / DRAFT_SECONDS
        )
        for kind, per_second in (
            ('draft', draft_rate),
            ('booking', BOOKINGS_PER_SECOND),
        ):
            self.clock.call_later(
                0.01, self.send_next_request, kind, per_second
            )

    def is_partitioned(self, zone):
        return zone in self.partitioned_zones

    def send_next_request(self, kind, rate):
        names, weights = zip(*CLIENT_WEIGHTS, strict=True)
        client = self.random.choices(names, weights)[0]
        request = Request(kind, client, self.clock.now)
        if kind == 'booking':
            # The first home of an issued key was linked when it was issued; a
            # key of the caller's own can have any home.
            labels = ('booking_issued_key', 'booking_own_key')
            request.label = self.random.choice(labels)
        reachable = [
            entry
            for entry in self.entries
            if self.clock.now >= entry.unreachable_from
            or not self.is_partitioned(entry.zone)
        ]
        reachable = [
            entry
            for entry in reachable
            if not (self.is_partitioned(entry.zone) and entry.partition_noticed)
        ]
        entry = self.random.choice(reachable)
        if self.is_partitioned(entry.zone):
            # The balancer has not detected the partition yet, and the
            # connection fails.
            self.end(request, 'lost')
        else:
            entry.send(request)
        self.clock.call_later(
            self.random.expovariate(rate),
            self.send_next_request,
            kind,
            rate,
        )

    def end(self, request, outcome):
        if not request.is_done:
            request.is_done = True
            self.counts.add(self.clock.now, request, outcome)

    def schedule(self):
        call_later = self.clock.call_later
        call_later(TIMELINE['planned_leave'][0], self.take_out, ZONES[0])
        call_later(TIMELINE['planned_return'][0], self.bring_back, ZONES[0])
        call_later(TIMELINE['cut'][0], self.partition_zone, ZONES[1])
        call_later(TIMELINE['cut_return'][0], self.reconnect_zone, ZONES[1])

    def take_out(self, zone):
        self.set_out(zone, out=True)

    def bring_back(self, zone):
        for upstream in self.zone_upstreams(zone):
            upstream.reset_to_cold()
        self.set_out(zone, out=False)

    def set_out(self, zone, out):
        for agent in self.agents.values():
            if agent.upstream.zone == zone:
                delay = self.random.uniform(0, PROPAGATION_SECONDS)
                self.clock.call_later(delay, setattr, agent, 'out', out)
        for entry in self.entries:
            delay = self.random.uniform(0, PROPAGATION_SECONDS)
            self.clock.call_later(delay, entry.set_out, zone, out)

    def partition_zone(self, zone):
        self.partitioned_zones.add(zone)
        for upstream in self.zone_upstreams(zone):
            upstream.stop()
        for entry in self.entries:
            if entry.zone == zone:
                self.clock.call_later(
                    BALANCER_REACTION_SECONDS, entry.set_partition_noticed, True
                )
            else:
                self.clock.call_later(
                    FAILURE_DETECTION_SECONDS, entry.lose_links, zone
                )

    def reconnect_zone(self, zone):
        self.partitioned_zones.discard(zone)
        for upstream in self.zone_upstreams(zone):
            upstream.restart()
        for entry in self.entries:
            if entry.zone == zone:
                self.clock.call_later(
                    BALANCER_REACTION_SECONDS,
                    entry.set_partition_noticed,
                    False,
                )
            else:
                self.clock.call_later(1.0, entry.restore_links, zone)

    def zone_upstreams(self, zone):
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.zone == zone
        ]

    def watch_recovery(self, zone, phase, returned_at):
        """Record when all engines of a returned zone are warm again."""
        engines = [
            upstream
            for upstream in self.zone_upstreams(zone)
            if upstream.service_seconds == DRAFT_SECONDS
        ]
        is_recovered = all(
            upstream.up and upstream.capacity() == WARM_CAPACITY
            for upstream in engines
        )
        if is_recovered:
            self.seconds_to_full_capacity.setdefault(
                phase, self.clock.now - returned_at
            )
        else:
            self.clock.call_later(
                0.1, self.watch_recovery, zone, phase, returned_at
            )


class Entry:
    """Base class of product and baseline entries."""

    def __init__(self, simulation, zone):
        self.simulation = simulation
        self.zone = zone
        self.partition_noticed = False
        self.unreachable_from = 0.0
        self.out = set()

    def set_partition_noticed(self, partition_noticed):
        self.partition_noticed = partition_noticed

    def set_out(self, zone, out):
        (self.out.add if out else self.out.discard)(zone)

    def network_delay(self, name):
        is_other_zone = self.simulation.upstreams[name].zone != self.zone
        return INTER_ZONE_DELAY_SECONDS if is_other_zone else 0.0

    def lose_links(self, zone):
        """Handle the end of all links to a zone."""

    def restore_links(self, zone):
        """Handle the return of the links to a zone."""


class RoundRobinEntry(Entry):
    """Baseline: round robin over all upstreams that are not taken out."""

    def __init__(self, simulation, zone):
        super().__init__(simulation, zone)
        self.send_counts = collections.Counter()
        self.unlinked_zones = set()

    def lose_links(self, zone):
        self.unlinked_zones.add(zone)

    def restore_links(self, zone):
        self.unlinked_zones.discard(zone)

    def send(self, request):
        names = [
            name
            for name, upstream in self.simulation.upstreams.items()
            if _service(name) == request.kind
            and upstream.zone not in self.out | self.unlinked_zones
        ]
        self.send_counts[request.kind] += 1
        name = names[self.send_counts[request.kind] % len(names)]
        if self.simulation.is_partitioned(self.simulation.upstreams[name].zone):
            # The connection attempt times out.
            self.simulation.clock.call_later(
                FAILURE_DETECTION_SECONDS, self.end, request, 'lost'
            )
            return
        upstream = self.simulation.upstreams[name]
        if len(upstream.running) >= WARM_CAPACITY:
            self.end(request, 'refused')
            return
        upstream.start(request, self.end)

    def end(self, request, outcome):
        may_have_run = request.kind == 'booking' and outcome == 'lost'
        if outcome == 'done' or may_have_run:
            self.simulation.end(request, outcome)
        elif (
            request.retry_count < 3
            and self.simulation.clock.now < request.deadline
        ):
            request.retry_count += 1
            self.send(request)
        else:
            self.simulation.end(request, outcome)


class ProductEntry(Entry):
    """Entry with the product's router and retry budget."""

    def __init__(self, simulation, zone):
        super().__init__(simulation, zone)
        self.router = Router(zone, random.Random(SEED))
        self.budget = RetryBudget()
        self.configuration = simulation.configuration
        for name in simulation.upstreams:
            self.router.add_upstream(name, Load(0, 0, WARM_CAPACITY))
        simulation.clock.call_later(REPORT_SECONDS, self.poll_loads)

    def poll_loads(self):
        for name, agent in self.simulation.agents.items():
            if not self.simulation.is_partitioned(agent.upstream.zone):
                self.router.update_load(name, agent.load())
        self.simulation.clock.call_later(REPORT_SECONDS, self.poll_loads)

    def set_out(self, zone, out):
        super().set_out(zone, out)
        self.configuration = _simulated_configuration(self.out)

    def lose_links(self, zone):
        for upstream in self.simulation.zone_upstreams(zone):
            self.router.remove_upstream(upstream.name)

    def restore_links(self, zone):
        for upstream in self.simulation.zone_upstreams(zone):
            load = self.simulation.agents[upstream.name].load()
            self.router.add_upstream(upstream.name, load)

    def choose_homes(self, is_issued):
        while True:
            key = str(self.simulation.random.random())
            homes = home_chain(BOOKING_UPSTREAMS, ('booking', 'c', key))
            is_usable = homes[0] in self.router.known_upstreams
            is_usable = is_usable and self.configuration.accepts_requests(
                homes[0]
            )
            if is_usable or not is_issued:
                return homes

    def choose(self, request):
        if request.kind == 'draft':
            return self.router.choose(
                self.configuration,
                request.kind,
                request.tried_upstreams,
            )
        is_issued = request.label == 'booking_issued_key'
        request.homes = request.homes or self.choose_homes(is_issued)
        if len(request.tried_upstreams) == len(request.homes):
            return None
        return request.homes[len(request.tried_upstreams)]

    def send(self, request):
        name = self.choose(request)
        if not request.tried_upstreams:
            self.budget.earn(request.client, self.simulation.clock.now)
        if name is None:
            self.simulation.end(request, 'refused')
            return
        request.tried_upstreams += (name,)
        self.router.begin_request(name)
        if self.simulation.is_partitioned(self.simulation.upstreams[name].zone):
            self.simulation.clock.call_later(
                FAILURE_DETECTION_SECONDS,
                self.end,
                name,
                request,
                'lost',
                None,
            )
            return
        self.simulation.clock.call_later(
            self.network_delay(name),
            self.simulation.agents[name].submit,
            request,
            lambda ended, outcome, load: self.end(name, ended, outcome, load),
        )

    def end(self, name, request, outcome, load):
        self.router.end_request(name)
        if load is not None:
            self.router.update_load(name, load)
        now = self.simulation.clock.now
        is_retryable = outcome == 'refused' or (
            outcome == 'lost' and request.kind != 'booking'
        )
        if (
            is_retryable
            and len(request.tried_upstreams) < 4
            and now < request.deadline
            and self.budget.spend(request.client, now)
        ):
            self.send(request)
        else:
            self.simulation.end(request, outcome)


def _service(name):
    return name.partition('-')[0]


def _service_seconds(name):
    return DRAFT_SECONDS if _service(name) == 'draft' else BOOKING_SECONDS


def _simulated_configuration(out=()):
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


def run(uses_product):
    simulation = Simulation(uses_product)
    simulation.schedule()
    for phase, zone in (('planned_return', ZONES[0]), ('cut_return', ZONES[1])):
        start = TIMELINE[phase][0]
        simulation.clock.call_later(
            start + 0.05, simulation.watch_recovery, zone, phase, start
        )
    simulation.clock.run(160)
    return simulation


def main():
    product, baseline = run(uses_product=True), run(uses_product=False)
    for phase, (start, end) in TIMELINE.items():
        for kind in ('draft', 'booking_issued_key', 'booking_own_key'):
            for outcome in ('refused', 'late', 'lost'):
                product_count = product.counts.by_kind[phase, kind, outcome]
                baseline_count = baseline.counts.by_kind[phase, kind, outcome]
                if product_count or baseline_count:
                    report(
                        f'zones_{phase}_{kind}_{outcome}',
                        product_count / (end - start),
                        'requests/s',
                        baseline_count / (end - start),
                    )
    for phase in ('planned_return', 'cut_return'):
        report(
            f'zones_{phase}_full_after',
            product.seconds_to_full_capacity.get(phase, float('inf')),
            's',
            baseline.seconds_to_full_capacity.get(phase, float('inf')),
        )
    report(
        'zones_upstream_crashes',
        sum(upstream.crashes for upstream in product.upstreams.values()),
        'count',
        sum(upstream.crashes for upstream in baseline.upstreams.values()),
    )


if __name__ == '__main__':
    main()
