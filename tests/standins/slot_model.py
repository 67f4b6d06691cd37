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

from primroseyoke.scheduling.admission import ServiceAdmission, Urgency
from primroseyoke.scheduling.backlog import Backlog

SERVICE = 'model'
SLOT_COUNT = 315
HOST_COUNT = 30
# The mean capacity is 126 requests per second.
MEAN_HOLD_SECONDS = 2.5
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
    slot_asked_at: float = 0
    waiting_at: object = None
    until: float = 0
    version: int = 0
    sent_at: float = 0
    ended: bool = False


@dataclasses.dataclass
class Tally:
    called: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    refused_twice: int = 0
    lost: int = 0

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

    def __init__(self, kinds, seed, ordered=True, host_count=HOST_COUNT):
        self.now = 0.0
        self.kinds = kinds
        self.events = []
        self.numbers = itertools.count()
        self.generator = random.Random(seed)
        self.holds = random.Random(seed + 1000)
        priorities = frozenset(kind.priority for kind in kinds)
        self.hosts = [
            Host(self, number, priorities if ordered else frozenset())
            for number in range(host_count)
        ]
        self.engine_running = 0
        self.engine_queue = collections.deque()
        self.tallies = collections.defaultdict(Tally)
        self.started_at = []
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
        self.receive(Request(kind, host, self.now, self.now))

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
        self.attempt(request, request.version)

    def refuse(self, request):
        tally = self.tallies[request.kind.priority]
        tally.refused += 1
        request.host.admission.record_decision(
            request.kind.priority, False, self.now
        )
        if request.retried:
            tally.refused_twice += 1
            return
        left = request.called_at + CALLER_TIMEOUT_SECONDS - self.now
        delay = min(RETRY_AFTER_LIMIT_SECONDS, left / 3)
        retry = Request(
            request.kind,
            self.generator.choice(self.hosts),
            request.called_at,
            self.now + delay,
            retried=True,
        )
        self.at(self.now + delay, self.receive, retry)

    # Hosts

    def position(self, request):
        late_at = (
            request.called_at
            + request.kind.objective
            - FIRST_EVENT_BOUND_SECONDS
        )
        urgency = Urgency.LATE if self.now > late_at else Urgency.ON_TIME
        return request.host.admission.position(
            urgency,
            request.kind.priority,
            request.called_at,
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
            host.queue.remove((request.waiting_at, id(request), request))
            host.admission.stop_waiting(request.waiting_at)
            request.waiting_at = None
        position = self.position(request)
        is_next = not host.queue or position < host.queue[0][0]
        if is_next:
            contention = host.admission.contention(position, self.now)
            free = host.free(position.urgency is Urgency.LATE)
            if contention.allows(free, self.generator.random()):
                self.grant(request)
                return
        if self.now >= request.until:
            self.refuse(request)
            self.wake(host)
            return
        request.waiting_at = position
        bisect.insort(host.queue, (position, id(request), request))
        host.admission.start_waiting(position)
        self.at(
            min(request.until, self.now + POLL_SECONDS),
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

    def grant(self, request):
        host = request.host
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

    def release(self, host):
        host.running -= 1
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
        else:
            tally.late += 1
        mean = math.log(MEAN_HOLD_SECONDS) - HOLD_DEVIATION**2 / 2
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
            self.release(request.host)

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
