"""Model of hosts that share one group of slots, in virtual time.

The decisions are the production code of ``primroseyoke.scheduling``; reports,
callers and the group are modelled here, without an event loop or a network.
"""

import bisect
import collections
import dataclasses
import heapq
import itertools
import math
import random

from primroseyoke.scheduling.admission import (
    REFUSAL_SHARE,
    ServiceAdmission,
    Urgency,
    WaitLimits,
)
from primroseyoke.scheduling.backlog import Backlog

SERVICE = 'model'
SLOT_COUNT = 315
HOST_COUNT = 30
# Requests per second that the group can serve.
SLOT_RATE = 119
HOLD_DEVIATION = 0.4
FIRST_EVENT_SECONDS = (0.1, 0.2)
FIRST_EVENT_BOUND_SECONDS = 0.2
REPORT_DELAY_SECONDS = (0.01, 0.06)
REPORT_LOSS = 0.02
REPORT_INTERVAL_SECONDS = 0.01
MAX_REPORT_DELAY_SECONDS = 0.06
HEARTBEAT_SECONDS = 0.35
VIEW_LIFETIME_SECONDS = 1.5
WAKE_JITTER_SECONDS = 0.03
POLL_SECONDS = 0.1
RESERVED_FOR_ON_TIME = 0.2
CALLER_TIMEOUT_SECONDS = 8.0
START_TIMEOUT_SECONDS = 2.0
# The rule without predictions for requests that find no slot.
WAIT_LIMIT_SECONDS = 0.7
RETRIED_WAIT_LIMIT_SECONDS = 1.4
RETRY_AFTER_LIMIT_SECONDS = 2.0
# A request counts as returned if its time left differs by more than this.
TIMEOUT_VARIATION_SHARE = 0.2
# Callers that don't wait as told.
ABUSIVE_DELAY_SECONDS = 0.05
ABUSIVE_ATTEMPTS = 5


@dataclasses.dataclass(frozen=True)
class Kind:
    """Requests of one priority; ``bursts`` has (start, end, factor)."""

    priority: int
    rate: float
    objective: float
    bursts: tuple[tuple[float, float, float], ...] = ()

    def rate_at(self, now):
        for start, end, factor in self.bursts:
            if start <= now < end:
                return self.rate * factor
        return self.rate


@dataclasses.dataclass(eq=False)
class Request:
    kind: Kind
    host: 'Host'
    called_at: float
    arrived_at: float
    retried: bool = False
    #: When the gateway believes that the caller first made it.
    first_attempt_at: float = 0
    attempts: int = 1
    abusive: bool = False
    slot_asked_at: float = 0
    waiting_at: object = None
    until: float = 0
    version: int = 0
    sent_at: float = 0
    ended: bool = False
    number: int = dataclasses.field(default_factory=itertools.count().__next__)


@dataclasses.dataclass
class Tally:
    called: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    refused_twice: int = 0
    lost: int = 0

    obedient_refused: int = 0
    obedient_refused_twice: int = 0

    @property
    def served_share(self):
        return (self.on_time + self.late) / self.called

    @property
    def on_time_share(self):
        return self.on_time / self.called


class Host:
    def __init__(self, model, number, priorities):
        self.model = model
        self.number = number
        self.name = f'host-{number}'
        self.backlog = Backlog()
        self.admission = ServiceAdmission(
            SERVICE, self.backlog, self.on_waiting
        )
        self.admission.priorities = priorities
        self.queue = []
        self.running = 0
        self.views = {}
        self.view_total = 0
        self.is_alive = True
        self.wake_is_scheduled = False
        self.report_due = math.inf
        self.last_report_at = -math.inf

    def on_waiting(self):
        self.model.schedule_report(self, 0)

    def free(self, late):
        limit = SLOT_COUNT * (1 - RESERVED_FOR_ON_TIME if late else 1)
        return max(math.ceil(limit - self.running - self.view_total), 0)

    def put_view(self, sender, sent_at, running, now):
        known = self.views.get(sender)
        if known is not None and known[0] > sent_at:
            return False
        self.view_total += running - (known[1] if known else 0)
        self.views[sender] = (sent_at, running, now)
        return True

    def expire_views(self, now):
        for sender, (_, running, received_at) in tuple(self.views.items()):
            if now - received_at >= VIEW_LIFETIME_SECONDS:
                self.view_total -= running
                self.views.pop(sender)


class Model:
    """Runs one scenario; ``tallies`` has the outcomes by priority."""

    def __init__(
        self,
        kinds,
        seed,
        ordered=True,
        predicting=True,
        abusive_share=0,
        slot_rate=SLOT_RATE,
    ):
        self.now = 0.0
        self.kinds = kinds
        self.events = []
        self.numbers = itertools.count()
        self.generator = random.Random(seed)
        self.holds = random.Random(seed + 1000)
        priorities = frozenset(kind.priority for kind in kinds)
        self.hosts = [
            Host(self, number, priorities if ordered else frozenset())
            for number in range(HOST_COUNT)
        ]
        self.predicting = ordered and predicting
        self.abusive_share = abusive_share
        self.mean_hold = SLOT_COUNT / slot_rate - sum(FIRST_EVENT_SECONDS) / 2
        self.engine_running = 0
        self.engine_queue = collections.deque()
        self.tallies = collections.defaultdict(Tally)
        self.started_at = []
        self.on_time_started_at = []
        self.refusal_times = []
        # Groups of hosts that don't hear each other.
        self.sides = {}
        self.seed = seed

    def at(self, when, action, *arguments):
        heapq.heappush(
            self.events, (when, next(self.numbers), action, arguments)
        )

    def run(self, seconds):
        for kind in self.kinds:
            self.at(
                0,
                self.arrive,
                kind,
                random.Random(f'{self.seed}/{kind.priority}'),
                seconds,
            )
        for host in self.hosts:
            self.at(
                self.generator.random() * HEARTBEAT_SECONDS,
                self.heartbeat,
                host,
                seconds,
            )
        while self.events:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self.tallies

    # Callers

    def arrive(self, kind, generator, seconds):
        if self.now >= seconds:
            return
        if self.now:
            self.call(kind, generator)
        self.at(
            self.now + generator.expovariate(kind.rate_at(self.now)),
            self.arrive,
            kind,
            generator,
            seconds,
        )

    def call(self, kind, generator):
        self.tallies[kind.priority].called += 1
        host = self.hosts[int(generator.random() * len(self.hosts))]
        abusive = generator.random() < self.abusive_share
        self.receive(
            Request(
                kind,
                host,
                self.now,
                self.now,
                first_attempt_at=self.now,
                abusive=abusive,
            )
        )

    def receive(self, request):
        if not request.host.is_alive:
            self.tallies[request.kind.priority].lost += 1
            return
        left = request.called_at + CALLER_TIMEOUT_SECONDS - self.now
        limit = (
            RETRIED_WAIT_LIMIT_SECONDS
            if request.retried
            else WAIT_LIMIT_SECONDS
        )
        request.until = self.now + min(limit, left / 2)
        if self.predicting:
            request.host.admission.returns_waiting += request.retried
        self.attempt(request, request.version)

    def refuse(self, request):
        tally = self.tallies[request.kind.priority]
        tally.refused += 1
        admission = request.host.admission
        admission.record_decision(request.kind.priority, False, self.now)
        if self.predicting:
            admission.returns_waiting -= request.retried
        self.refusal_times.append(self.now - request.arrived_at)
        left = request.called_at + CALLER_TIMEOUT_SECONDS - self.now
        if self.predicting:
            prospect = self.prospect(request, self.position(request))
            delay = admission.retry_after(
                prospect.backlog_delay(),
                CALLER_TIMEOUT_SECONDS,
                left,
                self.generator.random(),
                self.now,
            )
        else:
            delay = min(RETRY_AFTER_LIMIT_SECONDS, left / 3)
        if request.abusive:
            delay = ABUSIVE_DELAY_SECONDS
        else:
            tally.obedient_refused += request.attempts == 1
            tally.obedient_refused_twice += request.attempts == 2
        allowed = ABUSIVE_ATTEMPTS if request.abusive else 2
        if request.attempts == allowed:
            tally.refused_twice += 1
            return
        arrives_at = self.now + delay
        elapsed = arrives_at - request.called_at
        retried = elapsed > TIMEOUT_VARIATION_SHARE * CALLER_TIMEOUT_SECONDS
        retry = Request(
            request.kind,
            self.generator.choice(self.hosts),
            request.called_at,
            arrives_at,
            retried=retried,
            first_attempt_at=request.called_at if retried else arrives_at,
            attempts=request.attempts + 1,
            abusive=request.abusive,
        )
        self.at(arrives_at, self.receive, retry)

    # Hosts

    def position(self, request):
        late_at = (
            request.first_attempt_at
            + request.kind.objective
            - FIRST_EVENT_BOUND_SECONDS
        )
        urgency = Urgency.LATE if self.now > late_at else Urgency.ON_TIME
        return request.host.admission.position(
            urgency,
            request.kind.priority,
            request.first_attempt_at,
            request.retried,
            self.now,
        )

    def attempt(self, request, version):
        if (
            version != request.version
            or request.ended
            or not request.host.is_alive
        ):
            return
        host = request.host
        request.version += 1
        if request.waiting_at is not None:
            host.queue.remove((request.waiting_at, request.number, request))
            host.admission.stop_waiting(request.waiting_at)
            request.waiting_at = None
        position = self.position(request)
        is_next = not host.queue or position < host.queue[0][0]
        if is_next:
            contention = host.admission.contention(position, self.now)
            free = host.free(position.urgency is Urgency.LATE)
            if contention.allows(free, self.generator.random()):
                self.grant(request, position)
                return
        if self.now >= request.until or not self.has_prospect(
            request, position
        ):
            self.refuse(request)
            self.wake(host)
            return
        request.waiting_at = position
        bisect.insort(host.queue, (position, request.number, request))
        host.admission.start_waiting(position)
        again_at = min(request.until, self.now + POLL_SECONDS)
        refused_until = self.refused_until(request)
        if self.predicting and self.now < refused_until:
            again_at = min(again_at, refused_until)
        self.at(
            again_at,
            self.attempt,
            request,
            request.version,
        )

    def wake(self, host):
        if host.queue:
            request = host.queue[0][2]
            self.attempt(request, request.version)

    def wake_scheduled(self, host):
        host.wake_is_scheduled = False
        self.wake(host)

    def refused_until(self, request):
        return request.arrived_at + REFUSAL_SHARE * request.kind.objective

    def prospect(self, request, position):
        host = request.host
        return host.admission.prospect(
            position,
            host.running + host.view_total,
            len(host.views) + 1,
            self.now,
        )

    def has_prospect(self, request, position):
        if not self.predicting:
            return True
        on_time_until = (
            request.first_attempt_at
            + request.kind.objective
            - FIRST_EVENT_BOUND_SECONDS
        )
        limits = WaitLimits(
            on_time_until,
            request.until,
            self.refused_until(request),
            request.retried,
        )
        admission = request.host.admission
        if not admission.may_refuse(position, limits, self.now):
            return True
        prospect = self.prospect(request, position)
        return admission.has_prospect(position, prospect, limits, self.now)

    def grant(self, request, position):
        host = request.host
        if host.admission.enabled:
            host.admission.record_slot(position)
        if self.predicting:
            host.admission.returns_waiting -= request.retried
        host.admission.record_decision(request.kind.priority, True, self.now)
        host.running += 1
        request.sent_at = self.now
        self.schedule_report(host, 0)
        if self.engine_running < SLOT_COUNT:
            self.start(request)
        else:
            self.engine_queue.append(request)
            self.at(self.now + START_TIMEOUT_SECONDS, self.give_up, request)
        self.wake(host)

    def release(self, host, held=None):
        host.running -= 1
        if held is not None:
            host.admission.record_release(held, self.now)
        others = host.backlog.by_priority(SERVICE, self.now)
        self.schedule_report(host, 0 if others else MAX_REPORT_DELAY_SECONDS)
        self.wake(host)

    # The group

    def start(self, request):
        self.engine_running += 1
        self.started_at.append(self.now)
        first = self.holds.uniform(*FIRST_EVENT_SECONDS)
        tally = self.tallies[request.kind.priority]
        if self.now + first - request.called_at <= request.kind.objective:
            tally.on_time += 1
            self.on_time_started_at.append(self.now)
        else:
            tally.late += 1
        mean = math.log(self.mean_hold) - HOLD_DEVIATION**2 / 2
        hold = first + self.holds.lognormvariate(mean, HOLD_DEVIATION)
        self.at(self.now + hold, self.end, request)

    def end(self, request):
        self.engine_running -= 1
        while self.engine_queue and self.engine_running < SLOT_COUNT:
            waiting = self.engine_queue.popleft()
            if not waiting.ended:
                self.start(waiting)
        if not request.ended:
            request.ended = True
            self.release(request.host, self.now - request.sent_at)

    def give_up(self, request):
        if request in self.engine_queue:
            request.ended = True
            self.engine_queue.remove(request)
            self.tallies[request.kind.priority].lost += 1
            self.release(request.host)

    # Reports

    def schedule_report(self, host, delay):
        due = max(
            self.now + delay, host.last_report_at + REPORT_INTERVAL_SECONDS
        )
        if due < host.report_due:
            host.report_due = due
            self.at(due, self.send_report, host, due)

    def send_report(self, host, due):
        if due != host.report_due or not host.is_alive:
            return
        host.report_due = math.inf
        host.last_report_at = self.now
        waiting = (
            {SERVICE: dict(+host.admission.waiting)}
            if host.admission.enabled
            else {}
        )
        side = self.sides.get(host.number)
        for other in self.hosts:
            if other is host or self.sides.get(other.number) != side:
                continue
            if self.generator.random() >= REPORT_LOSS:
                self.at(
                    self.now + self.generator.uniform(*REPORT_DELAY_SECONDS),
                    self.deliver,
                    other,
                    host.name,
                    self.now,
                    host.running,
                    waiting,
                )

    def deliver(self, host, sender, sent_at, running, waiting):
        if not host.is_alive:
            return
        if host.put_view(sender, sent_at, running, self.now):
            host.backlog.apply_report(sender, waiting, self.now)
        if host.queue and not host.wake_is_scheduled:
            host.wake_is_scheduled = True
            self.at(
                self.now + self.generator.random() * WAKE_JITTER_SECONDS,
                self.wake_scheduled,
                host,
            )

    def heartbeat(self, host, seconds):
        if self.now < seconds + CALLER_TIMEOUT_SECONDS and host.is_alive:
            host.expire_views(self.now)
            self.schedule_report(host, 0)
            self.at(self.now + HEARTBEAT_SECONDS, self.heartbeat, host, seconds)

    # Failures

    def kill(self, host):
        """End a host; its requests end at the group, its callers are lost."""
        host.is_alive = False

    def partition(self, numbers):
        self.sides = dict.fromkeys(numbers, 1)

    def heal(self):
        self.sides = {}
