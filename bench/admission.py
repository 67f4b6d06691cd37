"""Admission decisions per second, and crashes of a cold upstream.

The simulated upstream handles ``COLD_CAPACITY`` concurrent requests after its
start and one more for each ``completions_per_slot`` that it has completed, up
to ``WARM_CAPACITY``. One request above its capacity crashes it: it is
unavailable for ``RESTART_SECONDS`` and cold again after that. The admission
ramp is compared with no ramp, with one that doubles in each round, and with
one that does not slow down after a crash.
"""

import heapq
import itertools
import random
import time

from bench.figures import report
from primroseyoke.admission import (
    Admission,
    RequestOutcome,
    Limits,
    Ticket,
    UpstreamLoad,
)

SEED = 20260104
COLD_CAPACITY = 2
WARM_CAPACITY = 32
RESTART_SECONDS = 1.0
SERVICE_SECONDS = 0.2
POLL_SECONDS = 0.5
DURATION_SECONDS = 120.0
CLIENT_COUNT = 10
DECISION_COUNT = 50000


class DoublingRamp(Admission):
    """Raises the limit by one for each completed request."""

    def _count_completed(self):
        self.current_limit = min(
            self.current_limit + 1, self.limits.max_running
        )


class FixedRateRamp(Admission):
    """Ramps up after a crash as fast as before it."""

    def restart_ramp(self, *, crashed=True):
        super().restart_ramp(crashed=False)


class SimulatedUpstream:
    """Upstream under full load behind the admission of its agent."""

    def __init__(
        self, admission_class, completions_per_slot, cold_limit=COLD_CAPACITY
    ):
        self.generator = random.Random(SEED)
        self.completions_per_slot = completions_per_slot
        self.admission = admission_class(
            Limits(cold_limit, WARM_CAPACITY, 2**40, 10**6)
        )
        self.events = []
        self.sequence = itertools.count()
        self.running = set()
        self.crashes = 0
        self.completed_total = 0
        self.full_capacity_at = None
        self.start(0.0)

    def start(self, now):
        self.started_at = now
        self.completed = 0

    def capacity(self):
        return min(
            COLD_CAPACITY + self.completed // self.completions_per_slot,
            WARM_CAPACITY,
        )

    def run(self):
        """Keep the queue full for ``DURATION_SECONDS``."""
        self.schedule(0, self.poll)
        now = 0.0
        while now < DURATION_SECONDS:
            now, _, event, value = heapq.heappop(self.events)
            event(now, value)
            self.fill_queue(now)
        return self

    def schedule(self, at, event, value=None):
        heapq.heappush(self.events, (at, next(self.sequence), event, value))

    def poll(self, now, _unused):
        self.schedule(now + POLL_SECONDS, self.poll)
        if now >= self.started_at:
            load = UpstreamLoad(
                str(self.crashes),
                now - self.started_at,
                len(self.running),
            )
            self.admission.observe_load(load, now)

    def fill_queue(self, now):
        while len(self.admission.waiting) < 2 * WARM_CAPACITY:
            number = next(self.sequence)
            client = f'client-{number % CLIENT_COUNT}'
            self.admission.enqueue(Ticket(number, client, 1, now + 60))
        if now < self.started_at:
            return
        for ticket in self.admission.advance(now)[0]:
            self.running.add(ticket.attempt)
            seconds = SERVICE_SECONDS * self.generator.uniform(0.5, 1.5)
            self.schedule(now + seconds, self.complete, ticket.attempt)
            if len(self.running) > self.capacity():
                self.crash(now)
                return
        if self.capacity() == len(self.running) == WARM_CAPACITY:
            self.full_capacity_at = self.full_capacity_at or now

    def complete(self, now, attempt):
        if attempt in self.running:
            self.running.remove(attempt)
            self.completed += 1
            self.completed_total += 1
            self.admission.finish(attempt, RequestOutcome.COMPLETED)

    def crash(self, now):
        self.crashes += 1
        for attempt in tuple(self.admission.running):
            self.admission.finish(attempt, RequestOutcome.FAILED)
        self.running.clear()
        self.admission.suspend(now)
        self.start(now + RESTART_SECONDS)


def measure_decision_rate(queue_length):
    """Return the requests enqueued, admitted and finished per second."""
    limits = Limits(64, 64, 2**40, queue_length)
    admission = Admission(limits)
    admission.observe_load(UpstreamLoad('one', 1, 0), 0)
    generator = random.Random(SEED)
    clients = [f'client-{number}' for number in range(queue_length)]
    numbers = itertools.count()

    def enqueue_request():
        client = generator.choice(clients)
        admission.enqueue(Ticket(next(numbers), client, 1, 10**9))

    for _ in range(queue_length):
        enqueue_request()
    admission.advance(0)
    started_at = time.perf_counter()
    for _ in range(DECISION_COUNT):
        admission.finish(
            next(iter(admission.running)), RequestOutcome.COMPLETED
        )
        enqueue_request()
        admission.advance(0)
    return DECISION_COUNT / (time.perf_counter() - started_at)


def main():
    short_queue_rate = measure_decision_rate(256)
    report('admission_decisions', short_queue_rate, '1/s')
    report(
        'admission_decisions_queue_4096',
        measure_decision_rate(4096),
        '1/s',
        short_queue_rate,
    )
    for warming in (2, 8):
        no_ramp = SimulatedUpstream(Admission, warming, WARM_CAPACITY).run()
        variants = {
            'ramp': SimulatedUpstream(Admission, warming).run(),
            'same_pace': SimulatedUpstream(FixedRateRamp, warming).run(),
            'doubling': SimulatedUpstream(DoublingRamp, warming).run(),
            'no_ramp': no_ramp,
        }
        for name, upstream in variants.items():
            suffix = f'{name}_warming_{warming}'
            full_capacity_seconds = upstream.full_capacity_at or float('inf')
            crashes = upstream.crashes
            report(f'crashes_{suffix}', crashes, 'crashes', no_ramp.crashes)
            report(f'full_service_after_{suffix}', full_capacity_seconds, 's')
            report(f'served_{suffix}', upstream.completed_total, 'requests')
