"""Simulation of gateways and engine groups in virtual time, without sockets.

The relay, balancer, queues and peer reports of the gateways are the production
code; engines, callers and the network between gateways are emulated.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import random
import time
from unittest import mock

from primroseyoke.gateway.authorization import Authorizer
from primroseyoke.gateway.balancer import Balancer
from primroseyoke.gateway.memory import MemoryBudget, RequestMemory
from primroseyoke.gateway.retry_budget import RetryBudget
from primroseyoke.gateway.configuration import (
    CallerLimits,
    Configuration,
    Execution,
    Route,
    Service,
    Target,
)
from primroseyoke.gateway.routing_state import RoutingState
from primroseyoke.gateway.peers import PeerReporter
from primroseyoke.gateway.proxy import Proxy
from primroseyoke.gateway.requests import CallerRequest, ResponseHead
from primroseyoke.gateway.settings import ResponseLimits
from primroseyoke.gateway.upstreams import Upstream
from tests.event_loop import VirtualTimeLoop
from tests.standins.simulated_engines import (
    ENGINE,
    FIRST_EVENT_SECONDS,
    Job,
    SimulatedRankGroup,
)

HOST_COUNT = 8
GROUP_COUNT = 2
RANK_COUNT = 8
PREFILL_TOKENS_PER_SECOND = 61400
FIRST_EVENT_OBJECTIVE_SECONDS = 0.5
EVENT_GAP_OBJECTIVE_SECONDS = 0.12
CALLER_TIMEOUT_SECONDS = 8.0
REPORT_DELAY_SECONDS = 0.0015
POPULARITY_PERIOD_SECONDS = 3.7
REBALANCE_DELAY_SECONDS = 0.9
LATE_RESPONSE_WEIGHT = 0.25
CONFIGURATION = Configuration(
    1,
    (
        Route(
            name='draft',
            host='h',
            prefix='/',
            execution=Execution.STREAM,
            targets=(Target('model', 1),),
            timeout=CALLER_TIMEOUT_SECONDS,
            objective=FIRST_EVENT_OBJECTIVE_SECONDS,
            gap_objective=EVENT_GAP_OBJECTIVE_SECONDS,
            attempts=2,
            resumable=True,
        ),
    ),
    {'model': Service('model', 400, engine=ENGINE)},
    (),
    CallerLimits(),
)


class UpstreamConnection:
    """Connection that carries one request to an emulated rank."""

    ended = False

    def __init__(self, upstream, group, rank, generator):
        self.upstream = upstream
        self.reused = True
        event_count = generator.lognormvariate(3.0, 0.6)
        prompt_tokens = generator.lognormvariate(6.5, 0.6)
        self.job = Job(
            min(int(prompt_tokens), 2800),
            max(min(int(event_count), 60), 2),
        )
        group.submit(rank, self.job)

    async def receive_head(self, codec, request_id):
        self.events_after_first = await self.job.queue.get()
        await asyncio.sleep(FIRST_EVENT_SECONDS)
        return ResponseHead(200, (), request_id, signed=True)

    async def body(self):
        remaining = self.events_after_first
        event_id = 1
        yield b'id: 1\ndata: x\n\n'
        while remaining:
            remaining = await self.job.queue.get()
            event_id += 1
            yield b'id: %d\ndata: x\n\n' % event_id

    def close(self):
        self.job.is_cancelled = True


class Pool:
    codec = None
    limits = ResponseLimits()

    def __init__(self, groups, generator):
        self.groups = groups
        self.generator = generator

    async def send_request(
        self, upstream, request, forwarding, retryable, is_withdrawn
    ):
        group, rank = map(int, upstream.name.split('-'))
        if not self.groups[group].is_up:
            await asyncio.sleep(1)
        return UpstreamConnection(
            upstream, self.groups[group], rank, self.generator
        )

    def release(self, connection):
        pass


class ResponseWriter:
    """Records the status and the arrival times of events."""

    def __init__(self):
        self.memory = RequestMemory(MemoryBudget())
        self.started = False
        self.finished = False
        self.status = 0
        self.retry_after = 0
        self.event_times = []

    def start(self, status, headers):
        self.started = True
        self.status = status

    async def send(self, content):
        self.event_times.append(time.monotonic())

    def finish(self):
        self.finished = True

    def send_error(self, status, detail, verdict, retry_after=0):
        self.status = status
        self.retry_after = retry_after

    def abort(self):
        self.status = 0


class ReportTransport:
    """Delivers reports between gateways after a fixed delay."""

    def __init__(self, sender, peers):
        self.sender = sender
        self.peers = peers

    def sendto(self, content, address):
        asyncio.get_running_loop().call_later(
            REPORT_DELAY_SECONDS,
            self.peers[address[0]].datagram_received,
            content,
            (self.sender, 0),
        )


@dataclasses.dataclass
class Tally:
    """Numbers of calls by outcome; a late response counts only in part."""

    total: int = 0
    on_time: int = 0
    late: int = 0
    refused_twice: int = 0

    @property
    def worth(self):
        return (self.on_time + LATE_RESPONSE_WEIGHT * self.late) / self.total

    @property
    def on_time_share(self):
        return self.on_time / self.total

    @property
    def late_share(self):
        return self.late / self.total

    @property
    def refused_share(self):
        return self.refused_twice / self.total


class EmulatedGateways:
    """Eight gateways, two rank groups and their callers."""

    def __init__(self, seed):
        self.generator = random.Random(seed)
        self.groups = [
            SimulatedRankGroup(
                ENGINE, RANK_COUNT, PREFILL_TOKENS_PER_SECOND, self.generator
            )
            for _ in range(GROUP_COUNT)
        ]
        self.proxies = []
        self.tally = Tally()
        self.request_numbers = itertools.count()
        self.tasks = []
        peers = {}
        for number in range(HOST_COUNT):
            self._add_host(f'10.0.0.{number}', peers)
        for address, reports in peers.items():
            reports.transport = ReportTransport(address, peers)
            reports.add_peers(peers)
            self.start(reports.run())
        for group in self.groups:
            self.start(group.run())
            self.start(
                group.shift_popularity(
                    POPULARITY_PERIOD_SECONDS, REBALANCE_DELAY_SECONDS
                )
            )

    def start(self, work):
        self.tasks.append(asyncio.ensure_future(work))

    def _add_host(self, address, peers):
        generator = random.Random(self.generator.random())
        routing_state = RoutingState()
        routing_state.apply_configuration(CONFIGURATION)
        balancer = Balancer(routing_state.registry, 'a', generator, {})
        for group, rank in itertools.product(
            range(GROUP_COUNT), range(RANK_COUNT)
        ):
            name = f'{group}-{rank}'
            routing_state.registry.put(Upstream(name, 'model', 'h', 1, 'a'))
            balancer.groups.add_rank(name, str(group))
        budget = RetryBudget(0.2, 92, 10)
        budget.host_count = 1
        proxy = Proxy(
            Authorizer(routing_state, generator),
            balancer,
            Pool(self.groups, generator),
            budget,
        )
        reports = PeerReporter(address, address, 1)
        reports.balancer = balancer
        reports.on_report = proxy.wake_waiting
        reports.backlog = proxy.context.backlog
        reports.waiting = proxy.context.waiting
        balancer.on_acquire = reports.report_requested.set
        peers[address] = reports
        self.proxies.append(proxy)

    async def call(self):
        """Send a request as a caller does, and retry once if it is refused."""
        called_at = time.monotonic()
        self.tally.total += 1
        timeout = CALLER_TIMEOUT_SECONDS * self.generator.uniform(0.87, 1)
        response = await self.attempt(called_at + timeout)
        if response.status == 503:
            remaining = called_at + timeout - time.monotonic()
            await asyncio.sleep(min(response.retry_after, remaining / 3))
            response = await self.attempt(called_at + timeout)
            self.tally.refused_twice += response.status == 503
        if response.status != 200 or not response.finished:
            return
        gaps = [b - a for a, b in itertools.pairwise(response.event_times)]
        first_event_delay = response.event_times[0] - called_at
        if (
            first_event_delay <= FIRST_EVENT_OBJECTIVE_SECONDS
            and max(gaps, default=0) <= EVENT_GAP_OBJECTIVE_SECONDS
        ):
            self.tally.on_time += 1
        else:
            self.tally.late += 1

    async def attempt(self, deadline, proxy=None):
        now = time.monotonic()
        response = ResponseWriter()
        request = CallerRequest(
            'POST',
            '/x',
            '/x',
            'h',
            (),
            request_id=str(next(self.request_numbers)),
            timeout=deadline - now,
            arrived_at=now,
        )
        proxy = proxy or self.generator.choice(self.proxies)
        await proxy.handle(request, response)
        return response

    async def generate_load(self, rate, seconds):
        calls = []
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            await asyncio.sleep(self.generator.expovariate(rate))
            calls.append(asyncio.ensure_future(self.call()))
        await asyncio.wait(calls)

    async def slow_rank(self, start, seconds, pace):
        await asyncio.sleep(start)
        self.groups[0].slowdowns[3] = pace
        await asyncio.sleep(seconds)
        self.groups[0].slowdowns[3] = 1.0

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def simulate(seed, rate, seconds, slow_rank=None):
    gateways = EmulatedGateways(seed)
    if slow_rank:
        gateways.start(gateways.slow_rank(*slow_rank))
    await gateways.generate_load(rate, seconds)
    await gateways.stop()
    return gateways.tally


def run_simulation(seed, rate, seconds, slow_rank=None):
    """Return the outcomes of requests sent at ``rate`` per second.

    ``slow_rank`` has the start and the length of a slowdown of one rank in
    seconds, and the factor by which its passes take longer.
    """
    loop = VirtualTimeLoop()
    with (
        mock.patch('time.monotonic', loop.time),
        contextlib.closing(loop),
    ):
        return loop.run_until_complete(simulate(seed, rate, seconds, slow_rank))
