"""Poison requests: upstream crashes, and innocent requests wrongly refused.

Simulates sixteen upstreams under steady load. Poison requests crash each
upstream that runs them, and all requests that run there at the time fail. An
entry makes up to four attempts for a request, and the caller of a poison
request sends it again. With evidence, each upstream has its own table of
suspects and receives the rows of the others after the delay of the links. The
baseline keeps no evidence and retries on any other upstream.
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
from primroseyoke.evidence import UNKNOWN_REQUEST
from primroseyoke.suspects import Classification, SuspectTable

SEED = 20260104
UPSTREAM_COUNT = 16
LIMITS = Limits(1, 32, 2**40, 1000)
SERVICE_SECONDS = 0.5
REQUESTS_PER_SECOND = 400.0
POISON_REQUEST_COUNT = 20
SENDS_PER_POISON_REQUEST = 5
# Concurrent copies, from several callers or from one that does not wait.
COPIES_PER_POISON_SEND = 2
POISON_INTERVAL_SECONDS = 3.0
CRASH_AFTER_SECONDS = 0.1
LINK_DELAY_SECONDS = 0.003
RESTART_SECONDS = 1.0
ATTEMPT_LIMIT = 4
DEADLINE_SECONDS = 60.0
DURATION_SECONDS = 90.0
# Popular innocent requests, each of which runs on several upstreams at once.
POPULAR_REQUEST_COUNT = 40
POPULAR_SHARE = 0.2


class RefuseAfterTwoCrashes(SuspectTable):
    """Refuses a request after crashes of two upstreams.

    It counts crashes while other requests ran, too.
    """

    def classify(self, traits, now):
        classification = super().classify(traits, now)
        if classification is Classification.SUSPECT and any(
            self.blame[each].count > 1 for each in traits if each in self.blame
        ):
            return Classification.REFUSED
        return classification


@dataclasses.dataclass
class Request:
    fingerprint: int
    is_poison: bool
    deadline: float
    attempt_count: int = 0
    ran_concurrently: bool = False

    @property
    def traits(self):
        return frozenset({self.fingerprint})


class SimulatedUpstream:
    """Upstream with the admission and the suspect table of its agent."""

    def __init__(self, name, table_class):
        self.name = name
        self.table = table_class()
        self.admission = Admission(LIMITS)
        self.admission.observe_load(UpstreamLoad('0', 0, 32), 0)
        self.admission.observe_load(UpstreamLoad('0', 1, 0), 0)
        self.crashes = 0
        self.is_down = False


class SimulatedFleet:
    """Runs the simulation; keeps no evidence if ``table_class`` is None."""

    def __init__(self, table_class):
        self.keeps_evidence = table_class is not None
        self.generator = random.Random(SEED)
        self.upstreams = [
            SimulatedUpstream(f'up-{number}', table_class or SuspectTable)
            for number in range(UPSTREAM_COUNT)
        ]
        self.events = []
        self.sequence = itertools.count()
        self.requests = {}
        self.outcomes = collections.Counter()
        self.crash_count = 0

    def run(self):
        for number in range(POISON_REQUEST_COUNT):
            for _ in range(COPIES_PER_POISON_SEND):
                self.schedule(2 + 2 * number, self.send_poison, number, 0)
        self.schedule(0, self.send_innocent)
        now = 0.0
        while self.events and now < DURATION_SECONDS + DEADLINE_SECONDS:
            now, _, event, values = heapq.heappop(self.events)
            event(now, *values)
        return self

    def schedule(self, at, event, *values):
        heapq.heappush(self.events, (at, next(self.sequence), event, values))

    def send_innocent(self, now):
        if now > DURATION_SECONDS:
            return
        self.schedule(
            now + self.generator.expovariate(REQUESTS_PER_SECOND),
            self.send_innocent,
        )
        fingerprint = 10**6 + next(self.sequence)
        if self.generator.random() < POPULAR_SHARE:
            fingerprint = 1000 + self.generator.randrange(POPULAR_REQUEST_COUNT)
        self.outcomes['innocent'] += 1
        self.attempt(
            now, Request(fingerprint, False, now + DEADLINE_SECONDS), None
        )

    def send_poison(self, now, number, send_count):
        if send_count < SENDS_PER_POISON_REQUEST:
            next_send_at = now + POISON_INTERVAL_SECONDS
            self.schedule(
                next_send_at, self.send_poison, number, send_count + 1
            )
            request = Request(number, True, now + DEADLINE_SECONDS)
            self.attempt(now, request, None)

    def attempt(self, now, request, previous):
        request.attempt_count += 1
        candidates = [
            upstream
            for upstream in self.upstreams
            if upstream is not previous and not upstream.is_down
        ]
        if request.attempt_count > ATTEMPT_LIMIT or not candidates:
            self.count('failed', request)
            return
        sampled = self.generator.sample(candidates, min(2, len(candidates)))
        upstream = min(sampled, key=lambda each: len(each.admission.waiting))
        classification = Classification.CLEAR
        if self.keeps_evidence:
            classification = upstream.table.classify(request.traits, now)
        if classification is Classification.REFUSED:
            self.count('refused', request)
            return
        attempt_number = next(self.sequence)
        self.requests[attempt_number] = request
        is_exclusive = classification is Classification.SUSPECT
        upstream.admission.enqueue(
            Ticket(
                attempt_number,
                'any',
                1,
                request.deadline,
                exclusive=is_exclusive,
            ),
        )
        self.admit_waiting(now, upstream)

    def admit_waiting(self, now, upstream):
        admitted, expired = upstream.admission.advance(now)
        for late in expired:
            self.count('failed', self.requests.pop(late.attempt))
        running = upstream.admission.running
        for ticket in admitted:
            request = self.requests[ticket.attempt]
            request.ran_concurrently = False
            seconds = SERVICE_SECONDS * self.generator.uniform(0.5, 1.5)
            if request.is_poison:
                seconds = CRASH_AFTER_SECONDS
            self.schedule(
                now + seconds, self.complete, upstream, ticket.attempt
            )
            if len(running) > 1:
                for number in running:
                    self.requests[number].ran_concurrently = True

    def complete(self, now, upstream, attempt_number):
        if attempt_number not in upstream.admission.running:
            return
        request = self.requests[attempt_number]
        if request.is_poison:
            self.crash(now, upstream)
            return
        self.requests.pop(attempt_number)
        upstream.admission.finish(attempt_number, RequestOutcome.COMPLETED)
        self.count('served', request)
        if self.keeps_evidence:
            rows = upstream.table.clear(request.traits, now)
            self.schedule(now + LINK_DELAY_SECONDS, self.share_evidence, rows)
        self.admit_waiting(now, upstream)

    def crash(self, now, upstream):
        self.crash_count += 1
        upstream.crashes += 1
        upstream.is_down = True
        interrupted = list(upstream.admission.running)
        upstream.admission.suspend(now)
        requests = [self.requests.pop(number) for number in interrupted]
        if self.keeps_evidence:
            candidates = [request.traits for request in requests]
            if any(request.ran_concurrently for request in requests):
                candidates.append(UNKNOWN_REQUEST)
            evidence = upstream.table.record_crash(
                upstream.name, candidates, now
            )
            self.schedule(
                now + LINK_DELAY_SECONDS, self.share_evidence, evidence
            )
        for attempt_number, request in zip(interrupted, requests):
            upstream.admission.finish(attempt_number, RequestOutcome.FAILED)
            self.schedule(
                now + 2 * LINK_DELAY_SECONDS, self.attempt, request, upstream
            )
        self.schedule(now + RESTART_SECONDS, self.restart, upstream)

    def restart(self, now, upstream):
        upstream.is_down = False
        load = UpstreamLoad(str(upstream.crashes), 0, 0)
        upstream.admission.observe_load(load, now)
        self.admit_waiting(now, upstream)

    def share_evidence(self, now, evidence):
        for upstream in self.upstreams:
            changed = upstream.table.merge(evidence, now)
            for fingerprint in changed.traits():
                classification = upstream.table.classify(
                    frozenset({fingerprint}), now
                )
                self.classify_again(upstream, fingerprint, classification)

    def classify_again(self, upstream, fingerprint, classification):
        for attempt_number in (
            *upstream.admission.waiting,
            *upstream.admission.running,
        ):
            request = self.requests[attempt_number]
            if request.fingerprint != fingerprint:
                continue
            is_exclusive = classification is not Classification.CLEAR
            upstream.admission.set_exclusive(attempt_number, is_exclusive)
            if classification is Classification.REFUSED:
                if upstream.admission.withdraw(attempt_number):
                    self.count('refused', self.requests.pop(attempt_number))

    def count(self, outcome, request):
        kind = 'poison' if request.is_poison else 'innocent'
        self.outcomes[f'{kind}_{outcome}'] += 1


def main():
    baseline = SimulatedFleet(None).run()
    variants = {
        'evidence': SimulatedFleet(SuspectTable).run(),
        'any_two_crashes': SimulatedFleet(RefuseAfterTwoCrashes).run(),
        'naive': baseline,
    }
    report('innocent_sent', baseline.outcomes['innocent'], 'requests')
    for name, fleet in variants.items():
        report(
            f'upstreams_lost_per_poison_request_{name}',
            fleet.crash_count / POISON_REQUEST_COUNT,
            'crashes',
            baseline.crash_count / POISON_REQUEST_COUNT,
        )
        for outcome in ('refused', 'failed', 'served'):
            report(
                f'innocent_{outcome}_{name}',
                fleet.outcomes[f'innocent_{outcome}'],
                'requests',
                baseline.outcomes[f'innocent_{outcome}'],
            )
