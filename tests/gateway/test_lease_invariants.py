"""What must hold for the calls of all hosts under random faults."""

import asyncio
import dataclasses
import random
from collections.abc import Callable

import pytest

from tests.event_loop import run
from tests.standins.duty_store import DutyHost, DutyStore

LEASE_SECONDS = 3.0
FAULTY_SECONDS = 240.0
QUIET_SECONDS = 40.0
HOST_COUNT = 4
# Longest time of a call to the API.
CALL_SECONDS = 0.5


@dataclasses.dataclass(frozen=True)
class Call:
    """Call that arrived at the API."""

    at: float
    host: str
    run: str
    number: int


class Simulation:
    """Hosts with their calls and a store, all with random faults."""

    def __init__(self, seed: int) -> None:
        self.generator = random.Random(seed)
        self.store = DutyStore(era=self.generator.choice((0, 1)))
        self.hosts = [
            DutyHost(self.store, f'host-{rank}', rank)
            for rank in range(HOST_COUNT)
        ]
        self.calls: list[Call] = []
        self.faults: list[Callable[[], None]] = [
            self.cut_store,
            self.slow_store,
            self.reject_host,
            self.restore_store,
            self.suspend_host,
            self.restart_host,
            self.lose_response,
            self.delay_append,
            self.drain_host,
            self.restart_all,
        ]

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        tasks = [asyncio.ensure_future(self.exchange())]
        for host in self.hosts:
            tasks.append(asyncio.ensure_future(self.keep_lease(host)))
            tasks.append(asyncio.ensure_future(self.call_api(host)))
        end = loop.time() + FAULTY_SECONDS
        while loop.time() < end:
            await asyncio.sleep(self.generator.expovariate(1 / 2.5))
            self.generator.choice(self.faults)()
        await asyncio.sleep(QUIET_SECONDS)
        for task in tasks:
            task.cancel()

    async def exchange(self) -> None:
        while True:
            for sender in self.hosts:
                number = sender.lease.held()
                if number is None or not sender.topic.resumed.is_set():
                    continue
                for receiver in self.hosts:
                    is_lost = self.generator.random() < 0.2
                    if receiver is not sender and not is_lost:
                        receiver.lease.hear_holder(number)
            await asyncio.sleep(0.35)

    async def keep_lease(self, host: DutyHost) -> None:
        while True:
            await host.topic.resumed.wait()
            lease = host.lease
            if lease.draining:
                await lease.run()
                await asyncio.sleep(self.generator.uniform(0, 2))
                host.lease = host.create_lease()
            else:
                await lease.advance()
                if self.generator.random() < 0.02:
                    await lease.write(b'window')
            await asyncio.sleep(0.05)

    async def call_api(self, host: DutyHost) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self.generator.uniform(0, 0.3))
            lease = host.lease
            number = lease.held()
            # A suspension may begin between the check and the call.
            await host.topic.resumed.wait()
            if number is None or lease.held() != number:
                continue
            loop.call_later(
                self.generator.uniform(0, CALL_SECONDS),
                self.receive,
                host.name,
                lease.chain.holder,
                number,
            )

    def receive(self, host: str, run: str, number: int) -> None:
        now = asyncio.get_running_loop().time()
        self.calls.append(Call(now, host, run, number))

    def later(self, callback: Callable[[], None], seconds: float) -> None:
        asyncio.get_running_loop().call_later(
            self.generator.uniform(0.2, seconds), callback
        )

    def cut_store(self) -> None:
        self.store.down = True
        self.later(lambda: setattr(self.store, 'down', False), 10)

    def slow_store(self) -> None:
        self.store.latency = 0.4
        self.later(lambda: setattr(self.store, 'latency', 0.004), 10)

    def reject_host(self) -> None:
        topic = self.pick().topic
        topic.rejected = True
        self.later(lambda: setattr(topic, 'rejected', False), 10)

    def restore_store(self) -> None:
        count = self.generator.choice((0, 1, 2, 5, 30))
        self.store.restore(min(count, len(self.store.records)))

    def suspend_host(self) -> None:
        topic = self.pick().topic
        topic.resumed.clear()
        self.later(topic.resumed.set, 6)

    def restart_host(self) -> None:
        host = self.pick()
        host.lease = host.create_lease()

    def restart_all(self) -> None:
        for host in self.hosts:
            host.lease = host.create_lease()

    def lose_response(self) -> None:
        self.pick().topic.lost_responses += 1

    def delay_append(self) -> None:
        self.pick().topic.late_appends.append(self.generator.uniform(0, 6))

    def drain_host(self) -> None:
        self.pick().lease.drain()

    def pick(self) -> DutyHost:
        """Return a random host, most often the holder."""
        holders = [host for host in self.hosts if host.lease.held()]
        if holders and self.generator.random() < 0.6:
            return holders[0]
        return self.generator.choice(self.hosts)


def assert_invariants(calls: list[Call]) -> None:
    run_of: dict[int, str] = {}
    highest = 0
    for call in calls:
        assert run_of.setdefault(call.number, call.run) == call.run
        assert call.number >= highest
        highest = call.number
    # Times of the first and last call of each sequence of calls of one host.
    sequences: list[tuple[str, float, float]] = []
    for call in calls:
        if sequences and sequences[-1][0] == call.host:
            sequences[-1] = (call.host, sequences[-1][1], call.at)
        else:
            sequences.append((call.host, call.at, call.at))
    for earlier, later in zip(sequences, sequences[2:], strict=False):
        if earlier[0] == later[0]:
            assert later[1] - earlier[2] >= LEASE_SECONDS


@pytest.mark.parametrize('seed', range(30))
def test_calls_keep_the_invariants_under_random_faults(seed: int) -> None:
    """Guards against calls of two holders that the API can't tell apart.

    The numbers of calls must never fall, no two runs may use the same one, and
    no host may call again within a lease duration after another one did.
    """

    async def scenario() -> None:
        simulation = Simulation(seed)
        await simulation.run()
        assert_invariants(simulation.calls)
        # Guards against a lease that nobody gets any more.
        end = asyncio.get_running_loop().time()
        assert simulation.calls[-1].at > end - 1
        assert len({call.number for call in simulation.calls}) > 3

    run(scenario())
