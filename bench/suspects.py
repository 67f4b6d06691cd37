"""Poison requests: upstreams lost, and innocent requests wrongly refused.

Sixteen modelled upstreams under steady load; some requests crash whatever runs
them, and everything beside them breaks. An entry tries a request up to four
times, and the caller of a poison request sends it again. With evidence, each
upstream has its own table and hears of the others' after the links' delay.
The baseline retries anywhere and keeps no evidence.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from bench.figures import report
from primroseyoke.admission import (
    Admission,
    RequestOutcome,
    Limits,
    Ticket,
    UpstreamLoad,
)
from primroseyoke.suspects import Classification, SuspectTable

SEED = 20260104
UPSTREAMS = 16
LIMITS = Limits(1, 32, 2**40, 1000)
SERVICE_TIME = 0.5
RATE = 400.0
POISON_REQUESTS = 20
POISON_SENDS = 5
# As many callers, or one that does not wait, send it at the same time.
POISON_COPIES = 2
POISON_INTERVAL = 3.0
CRASH_AFTER = 0.1
DELAY = 0.003
RESTART = 1.0
ATTEMPTS = 4
DEADLINE = 60.0
DURATION = 90.0
# Some innocent requests are popular: the same one runs in many places.
POPULAR = 40
POPULAR_SHARE = 0.2


class AnyTwoCrashes(SuspectTable):
    """Refuses after crashes of two upstreams, alone or in company."""

    def classify(self, fingerprint, now):
        classification = super().classify(fingerprint, now)
        row = self.evidence.get(fingerprint)
        if classification is Classification.SUSPECT and len(row.crashes) > 1:
            return Classification.REFUSED
        return classification


@dataclasses.dataclass
class Request:
    fingerprint: int
    poison: bool
    deadline: float
    tries: int = 0
    shared: bool = False


class Upstream:
    """Model of an upstream and the agent before it."""

    def __init__(self, name, table):
        self.name = name
        self.table = table()
        self.admission = Admission(LIMITS)
        self.admission.observe_load(UpstreamLoad('0', 0, 32), 0)
        self.admission.observe_load(UpstreamLoad('0', 1, 0), 0)
        self.crashes = 0
        self.down = False


class Fleet:
    """Runs the model; without a class of tables no evidence is kept."""

    def __init__(self, table):
        self.evidence = table is not None
        self.generator = random.Random(SEED)
        self.upstreams = [
            Upstream(f'up-{number}', table or SuspectTable)
            for number in range(UPSTREAMS)
        ]
        self.events = []
        self.numbers = itertools.count()
        self.requests = {}
        self.outcomes = collections.Counter()
        self.lost = 0

    def run(self):
        for number in range(POISON_REQUESTS):
            for _ in range(POISON_COPIES):
                self.plan(2 + 2 * number, self.send_poison, number, 0)
        self.plan(0, self.send_innocent)
        now = 0.0
        while self.events and now < DURATION + DEADLINE:
            now, _, event, values = heapq.heappop(self.events)
            event(now, *values)
        return self

    def plan(self, at, event, *values):
        heapq.heappush(self.events, (at, next(self.numbers), event, values))

    def send_innocent(self, now):
        if now > DURATION:
            return
        self.plan(now + self.generator.expovariate(RATE), self.send_innocent)
        fingerprint = 10**6 + next(self.numbers)
        if self.generator.random() < POPULAR_SHARE:
            fingerprint = 1000 + self.generator.randrange(POPULAR)
        self.outcomes['innocent'] += 1
        self.attempt(now, Request(fingerprint, False, now + DEADLINE), None)

    def send_poison(self, now, number, sends):
        if sends < POISON_SENDS:
            again = now + POISON_INTERVAL
            self.plan(again, self.send_poison, number, sends + 1)
            request = Request(number, True, now + DEADLINE)
            self.attempt(now, request, None)

    def attempt(self, now, request, before):
        request.tries += 1
        candidates = [
            upstream
            for upstream in self.upstreams
            if upstream is not before and not upstream.down
        ]
        if request.tries > ATTEMPTS or not candidates:
            self.count('failed', request)
            return
        pair = self.generator.sample(candidates, min(2, len(candidates)))
        upstream = min(pair, key=lambda each: len(each.admission.waiting))
        classification = Classification.CLEAR
        if self.evidence:
            classification = upstream.table.classify(request.fingerprint, now)
        if classification is Classification.REFUSED:
            self.count('refused', request)
            return
        number = next(self.numbers)
        self.requests[number] = request
        alone = classification is Classification.SUSPECT
        upstream.admission.enqueue(
            Ticket(number, 'any', 1, request.deadline, exclusive=alone),
        )
        self.fill(now, upstream)

    def fill(self, now, upstream):
        admitted, expired = upstream.admission.advance(now)
        for late in expired:
            self.count('failed', self.requests.pop(late.attempt))
        running = upstream.admission.running
        for ticket in admitted:
            request = self.requests[ticket.attempt]
            request.shared = False
            seconds = SERVICE_TIME * self.generator.uniform(0.5, 1.5)
            if request.poison:
                seconds = CRASH_AFTER
            self.plan(now + seconds, self.end, upstream, ticket.attempt)
            if len(running) > 1:
                for number in running:
                    self.requests[number].shared = True

    def end(self, now, upstream, number):
        if number not in upstream.admission.running:
            return
        request = self.requests[number]
        if request.poison:
            self.crash(now, upstream)
            return
        self.requests.pop(number)
        upstream.admission.finish(number, RequestOutcome.COMPLETED)
        self.count('served', request)
        if self.evidence:
            rows = upstream.table.clear(request.fingerprint, now)
            self.plan(now + DELAY, self.tell, rows)
        self.fill(now, upstream)

    def crash(self, now, upstream):
        self.lost += 1
        upstream.crashes += 1
        upstream.down = True
        broken = list(upstream.admission.running)
        upstream.admission.suspend(now)
        for number in broken:
            upstream.admission.finish(number, RequestOutcome.FAILED)
            request = self.requests.pop(number)
            if self.evidence:
                rows = upstream.table.record_crash(
                    request.fingerprint,
                    upstream.name,
                    not request.shared,
                    now,
                )
                self.plan(now + DELAY, self.tell, rows)
            self.plan(now + 2 * DELAY, self.attempt, request, upstream)
        self.plan(now + RESTART, self.restart, upstream)

    def restart(self, now, upstream):
        upstream.down = False
        load = UpstreamLoad(str(upstream.crashes), 0, 0)
        upstream.admission.observe_load(load, now)
        self.fill(now, upstream)

    def tell(self, now, rows):
        for upstream in self.upstreams:
            for suspect in upstream.table.merge(rows, now):
                classification = upstream.table.classify(
                    suspect.fingerprint, now
                )
                self.classify_again(
                    upstream, suspect.fingerprint, classification
                )

    def classify_again(self, upstream, fingerprint, classification):
        for number in (
            *upstream.admission.waiting,
            *upstream.admission.running,
        ):
            request = self.requests[number]
            if request.fingerprint != fingerprint:
                continue
            alone = classification is not Classification.CLEAR
            upstream.admission.set_exclusive(number, alone)
            if classification is Classification.REFUSED:
                if upstream.admission.withdraw(number):
                    self.count('refused', self.requests.pop(number))

    def count(self, outcome, request):
        kind = 'poison' if request.poison else 'innocent'
        self.outcomes[f'{kind}_{outcome}'] += 1


def main():
    naive = Fleet(None).run()
    variants = {
        'evidence': Fleet(SuspectTable).run(),
        'any_two_crashes': Fleet(AnyTwoCrashes).run(),
        'naive': naive,
    }
    report('innocent_sent', naive.outcomes['innocent'], 'requests')
    for name, fleet in variants.items():
        report(
            f'upstreams_lost_per_poison_request_{name}',
            fleet.lost / POISON_REQUESTS,
            'crashes',
            naive.lost / POISON_REQUESTS,
        )
        for outcome in ('refused', 'failed', 'served'):
            report(
                f'innocent_{outcome}_{name}',
                fleet.outcomes[f'innocent_{outcome}'],
                'requests',
                naive.outcomes[f'innocent_{outcome}'],
            )
