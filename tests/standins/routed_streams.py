"""Hosts that route streams to one group of simulated engines, in virtual time.

Each host has the balancer of the product. Reports reach the other hosts after a
random delay. The rates and lengths are those of a user deployment.
"""

import asyncio
import dataclasses
import random
import statistics
from collections.abc import Callable

from primroseyoke.gateway.balancer import (
    Balancer,
    Reservation,
    SelectionCriteria,
)
from primroseyoke.gateway.configuration import (
    CallerLimits,
    Configuration,
    Service,
)
from primroseyoke.gateway.upstreams import Upstream, UpstreamRegistry
from primroseyoke.scheduling.cost import CostModel, Rates, StatedWork
from tests import event_loop
from tests.standins.simulated_engines import ENGINE, Job, SimulatedRankGroup

ROUTED_ENGINE = dataclasses.replace(ENGINE, slots=5, memory_tokens=155000)
SERVICE = Service('model', 100, engine=ROUTED_ENGINE)
CONFIGURATION = Configuration(
    1, (), {SERVICE.name: SERVICE}, (), CallerLimits()
)
TOKENS_PER_EVENT = ENGINE.steps_per_pass
LONGEST_GAP = 0.12
PREFILL_RATE = 47000
REFERENCE_RATES = Rates(0.000017, ENGINE.sequence_time)
# Delay of a report, in groups of receivers to bound the number of timers.
REPORT_DELAYS = (0.01, 0.02, 0.03, 0.04, 0.05, 0.06)
REPORT_INTERVAL = 0.01
HEARTBEAT_INTERVAL = 0.35
POLL_INTERVAL = 0.02
# A caller gives up a stream that has not started by then.
PATIENCE = 2.0


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request; rate in requests per second, ``hint_error`` as the
    standard deviation of the logarithm of the hint."""

    name: str
    rate: float
    mean_prompt: float
    mean_events: float
    prompt_deviation: float = 0.8
    event_deviation: float = 0.7
    hint_error: float = 0.7

    def draw(self, generator: random.Random) -> tuple[int, int, StatedWork]:
        """Return prompt tokens, events and what the caller states."""
        prompt = _lognormal(
            generator, self.mean_prompt, self.prompt_deviation, 40, 2880
        )
        events = _lognormal(
            generator, self.mean_events, self.event_deviation, 2, 58
        )
        tokens = events * TOKENS_PER_EVENT
        hint = max(
            1, round(tokens * generator.lognormvariate(0, self.hint_error))
        )
        return prompt, events, StatedWork(self.name, prompt, '', 232, hint)


KINDS = (
    Kind('urgent', 53.5, 674, 12),
    Kind('normal', 23.5, 800, 18),
    Kind('batch', 40.6, 960, 26),
)


class StatedCosts(CostModel):
    """Takes what callers state for what they need, and learns nothing."""

    weight = 1.0

    def predict(self, stated, rates, now):
        prediction = super().predict(stated, rates, now)
        output = stated.hint or stated.max_output or 0
        return dataclasses.replace(
            prediction,
            output_tokens=output,
            work=stated.prompt_tokens * rates.prompt_token
            + output * rates.output_token,
        )

    def observe(self, stated, prediction, output_tokens, rates, now):
        """Learn nothing."""


def learned_costs():
    """Return a model that has seen the requests of some minutes."""
    generator = random.Random(1)
    model = CostModel()
    for _ in range(150):
        for kind in KINDS:
            _, event_count, stated = kind.draw(generator)
            prediction = model.predict(stated, REFERENCE_RATES, 0)
            model.record_sent(prediction)
            model.observe(
                stated,
                prediction,
                event_count * TOKENS_PER_EVENT,
                REFERENCE_RATES,
                0,
            )
    return model


@dataclasses.dataclass
class Outcome:
    """What was measured; times in seconds.

    ``imbalance`` is the work left at the upstream with the most of it over the
    mean, sampled.
    """

    first_event: list[float] = dataclasses.field(default_factory=list)
    finish: list[float] = dataclasses.field(default_factory=list)
    passes: list[float] = dataclasses.field(default_factory=list)
    imbalance: list[float] = dataclasses.field(default_factory=list)
    abandoned: int = 0
    choices: int = 0

    def row(self) -> dict[str, float]:
        return {
            'first_event_p95': percentile(self.first_event),
            'first_event_mean': statistics.fmean(self.first_event),
            'imbalance_p95': percentile(self.imbalance),
            'imbalance_mean': statistics.fmean(self.imbalance),
            'finish_mean': statistics.fmean(self.finish),
            'abandoned': self.abandoned,
            'count': len(self.first_event),
        }


def percentile(values, share: float = 0.95) -> float:
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


class RoutingHost:
    """One host, with its balancer."""

    def __init__(self, deployment: 'RoutedStreams', number: int) -> None:
        self.deployment = deployment
        self.number = number
        self.name = f'host-{number}'
        registry = UpstreamRegistry()
        for rank in range(deployment.ranks):
            registry.put(Upstream(f'u{rank}', SERVICE.name, '', 1, 'a'))
        self.balancer = Balancer(
            registry, 'a', random.Random(f'{deployment.seed}-{number}'), {}
        )
        for name in registry.upstreams if deployment.lock_step else ():
            self.balancer.groups.add_rank(name, 'x')
        self.is_report_due = False

    def request_report(self) -> None:
        if not self.is_report_due:
            self.is_report_due = True
            loop = asyncio.get_running_loop()
            loop.call_later(REPORT_INTERVAL, self.send_report)

    def send_report(self) -> None:
        self.is_report_due = False
        in_flight = self.balancer.in_flight
        running = dict(in_flight.running)
        work = self.balancer.costs.work.report()
        loop = asyncio.get_running_loop()
        for number, delay in enumerate(REPORT_DELAYS):
            loop.call_later(delay, self.deliver, number, running, work)

    def deliver(self, number: int, running, work) -> None:
        now = asyncio.get_running_loop().time()
        hosts = self.deployment.hosts
        # The receivers with each delay differ between senders.
        offset = self.number + number
        for index in range(
            offset % len(REPORT_DELAYS), len(hosts), len(REPORT_DELAYS)
        ):
            other = hosts[index]
            if other is not self:
                other.balancer.in_flight.apply_report(
                    self.name, running, now, work
                )

    async def send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL)
            if self.balancer.in_flight.running:
                self.send_report()

    async def acquire(
        self, stated: StatedWork | None, deadline: float
    ) -> Reservation | None:
        loop = asyncio.get_running_loop()
        while loop.time() < deadline:
            reservation = self.balancer.acquire(
                CONFIGURATION,
                SERVICE.name,
                loop.time(),
                SelectionCriteria(longest_gap=LONGEST_GAP, stated_work=stated),
            )
            if reservation is not None:
                return reservation
            await asyncio.sleep(POLL_INTERVAL)
        return None

    async def run_stream(
        self, prompt: int, events: int, stated: StatedWork | None
    ) -> None:
        loop = asyncio.get_running_loop()
        outcome = self.deployment.outcome
        started = loop.time()
        reservation = await self.acquire(stated, started + PATIENCE)
        if reservation is None:
            outcome.abandoned += 1
            return
        self.request_report()
        job = Job(prompt, events)
        upstream = reservation.upstream
        self.deployment.submit(int(upstream.name[1:]), job)
        last = 0.0
        left = events
        while left:
            left = await job.queue.get()
            now = loop.time()
            if not last:
                outcome.first_event.append(now - started)
            self.balancer.record_event(
                upstream,
                self.balancer.groups.status_of(upstream.name),
                ROUTED_ENGINE,
                now - last if last else 0,
                now,
            )
            self.balancer.costs.record_events(reservation.job, ROUTED_ENGINE, 1)
            last = now
        outcome.finish.append(loop.time() - started)
        self.balancer.costs.record_whole(reservation.job)
        self.balancer.release(reservation)
        self.request_report()


class RoutedStreams:
    """Hosts, a group of ranks and a stream of requests."""

    def __init__(
        self,
        seed: int,
        hosts: int = 30,
        ranks: int = 63,
        kinds=KINDS,
        costs: Callable[[], CostModel] | None = CostModel,
        load: float = 1.0,
        change=None,
        lock_step: bool = True,
        old_hosts: int = 0,
    ) -> None:
        """Route by the predictions of ``costs``; None routes by counts.

        The first ``old_hosts`` hosts route by counts and report no work.
        The engines are the ranks of one group, or independent of each other.

        ``change`` gets what each caller states, and returns it changed.
        """
        self.seed = seed
        self.ranks = ranks
        self.kinds = kinds
        self.load = load
        self.change = change
        self.outcome = Outcome()
        self.lock_step = lock_step
        generator = random.Random(seed)
        self.groups = [
            SimulatedRankGroup(ROUTED_ENGINE, size, PREFILL_RATE, generator)
            for size in ([ranks] if lock_step else [1] * ranks)
        ]
        self.hosts = [RoutingHost(self, number) for number in range(hosts)]
        for number, host in enumerate(self.hosts):
            host.balancer.costs.enabled = (
                costs is not None and number >= old_hosts
            )
            if costs is not None:
                host.balancer.costs.models[SERVICE.name] = costs()

    def submit(self, rank: int, job: Job) -> None:
        if self.lock_step:
            self.groups[0].submit(rank, job)
        else:
            self.groups[rank].submit(0, job)

    def run(self, seconds: float, warm_up: float = 2.0) -> Outcome:
        """Run for ``warm_up`` and ``seconds``; return what was measured."""
        event_loop.run(self._run(seconds, warm_up))
        return self.outcome

    async def _run(self, seconds: float, warm_up: float) -> None:
        tasks = [asyncio.ensure_future(group.run()) for group in self.groups]
        tasks += [
            asyncio.ensure_future(host.send_heartbeats()) for host in self.hosts
        ]
        tasks += [
            asyncio.ensure_future(self._send(kind)) for kind in self.kinds
        ]
        await asyncio.sleep(warm_up)
        self.outcome = Outcome()
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.05)
            self._sample()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _send(self, kind: Kind) -> None:
        arrivals = random.Random(f'{self.seed}-{kind.name}')
        streams = set()
        while True:
            await asyncio.sleep(arrivals.expovariate(kind.rate * self.load))
            host = arrivals.choice(self.hosts)
            prompt, events, stated = kind.draw(arrivals)
            if self.change is not None:
                stated = self.change(stated, arrivals)
            stream = asyncio.ensure_future(
                host.run_stream(prompt, events, stated)
            )
            streams.add(stream)
            stream.add_done_callback(
                lambda done: (
                    streams.discard(done),
                    done.cancelled() or done.result(),
                )
            )

    def _sample(self) -> None:
        left = [
            sum(
                job.pending_prompt_tokens / PREFILL_RATE
                + job.remaining_events
                * TOKENS_PER_EVENT
                * ROUTED_ENGINE.sequence_time
                for job in (*waiting, *active)
            )
            for group in self.groups
            for waiting, active in zip(group.waiting, group.active)
        ]
        mean = statistics.fmean(left)
        if mean:
            self.outcome.imbalance.append(max(left) / mean)


def _lognormal(
    generator: random.Random,
    mean: float,
    deviation: float,
    lowest: int,
    highest: int,
) -> int:
    median = mean / 2.718281828459045 ** (deviation**2 / 2)
    drawn = generator.lognormvariate(0, deviation) * median
    return round(min(max(drawn, lowest), highest))
