"""Admission: speed, and crashes of a cold upstream with and without the ramp.

The modelled upstream bears ``COLD`` requests when it starts and one more for
each ``warming`` that it has completed, up to ``WARM``. One more than it bears
crashes it: it is gone for ``RESTART`` seconds and then cold again. The ramp is
compared with none, with one that doubles in each round, and with one that
does not get slower after a crash.
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
COLD = 2
WARM = 32
RESTART = 1.0
SERVICE_TIME = 0.2
POLL = 0.5
DURATION = 120.0
CLIENTS = 10
DECISIONS = 50000


class Doubling(Admission):
    """Each completed request raises the limit."""

    def _count_completed(self):
        self.current_limit = min(
            self.current_limit + 1, self.limits.max_running
        )


class SamePace(Admission):
    """A crash does not slow down the next ramp."""

    def restart_ramp(self, *, crashed=True):
        super().restart_ramp(crashed=False)


class Upstream:
    """Model of an upstream under full load, driven by its agent's rules."""

    def __init__(self, admission, warming, cold_limit=COLD):
        self.generator = random.Random(SEED)
        self.warming = warming
        self.admission = admission(Limits(cold_limit, WARM, 2**40, 10**6))
        self.events = []
        self.numbers = itertools.count()
        self.running = set()
        self.crashes = 0
        self.served = 0
        self.full_at = None
        self.start(0.0)

    def start(self, now):
        self.started = now
        self.completed = 0

    def bears(self):
        return min(COLD + self.completed // self.warming, WARM)

    def run(self):
        """Keep the queue full for ``DURATION`` seconds."""
        self.plan(0, self.poll)
        now = 0.0
        while now < DURATION:
            now, _, event, value = heapq.heappop(self.events)
            event(now, value)
            self.fill(now)
        return self

    def plan(self, at, event, value=None):
        heapq.heappush(self.events, (at, next(self.numbers), event, value))

    def poll(self, now, unused):
        self.plan(now + POLL, self.poll)
        if now >= self.started:
            load = UpstreamLoad(
                str(self.crashes),
                now - self.started,
                len(self.running),
            )
            self.admission.observe_load(load, now)

    def fill(self, now):
        while len(self.admission.waiting) < 2 * WARM:
            number = next(self.numbers)
            client = f'client-{number % CLIENTS}'
            self.admission.enqueue(Ticket(number, client, 1, now + 60))
        if now < self.started:
            return
        for ticket in self.admission.advance(now)[0]:
            self.running.add(ticket.attempt)
            seconds = SERVICE_TIME * self.generator.uniform(0.5, 1.5)
            self.plan(now + seconds, self.end, ticket.attempt)
            if len(self.running) > self.bears():
                self.crash(now)
                return
        if self.bears() == len(self.running) == WARM:
            self.full_at = self.full_at or now

    def end(self, now, attempt):
        if attempt in self.running:
            self.running.remove(attempt)
            self.completed += 1
            self.served += 1
            self.admission.finish(attempt, RequestOutcome.COMPLETED)

    def crash(self, now):
        self.crashes += 1
        for attempt in tuple(self.admission.running):
            self.admission.finish(attempt, RequestOutcome.FAILED)
        self.running.clear()
        self.admission.suspend(now)
        self.start(now + RESTART)


def measure_speed(waiting):
    """Return the decisions (offer, start, end) per second."""
    limits = Limits(64, 64, 2**40, waiting)
    admission = Admission(limits)
    admission.observe_load(UpstreamLoad('one', 1, 0), 0)
    generator = random.Random(SEED)
    clients = [f'client-{number}' for number in range(waiting)]
    numbers = itertools.count()

    def offer():
        client = generator.choice(clients)
        admission.enqueue(Ticket(next(numbers), client, 1, 10**9))

    for _ in range(waiting):
        offer()
    admission.advance(0)
    started = time.perf_counter()
    for _ in range(DECISIONS):
        admission.finish(
            next(iter(admission.running)), RequestOutcome.COMPLETED
        )
        offer()
        admission.advance(0)
    return DECISIONS / (time.perf_counter() - started)


def main():
    small = measure_speed(256)
    report('admission_decisions', small, '1/s')
    report('admission_decisions_queue_4096', measure_speed(4096), '1/s', small)
    for warming in (2, 8):
        none = Upstream(Admission, warming, WARM).run()
        variants = {
            'ramp': Upstream(Admission, warming).run(),
            'same_pace': Upstream(SamePace, warming).run(),
            'doubling': Upstream(Doubling, warming).run(),
            'no_ramp': none,
        }
        for name, upstream in variants.items():
            suffix = f'{name}_warming_{warming}'
            full = upstream.full_at or float('inf')
            crashes = upstream.crashes
            report(f'crashes_{suffix}', crashes, 'crashes', none.crashes)
            report(f'full_service_after_{suffix}', full, 's')
            report(f'served_{suffix}', upstream.served, 'requests')
