"""Hosts that exchange and report usage counts, in virtual time."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from unittest import mock

from primroseyoke.exceptions import ServiceUnavailable
from primroseyoke.gateway.balancer import Balancer
from primroseyoke.gateway.membership import LEADERSHIP_TIMEOUT_SECONDS
from primroseyoke.gateway.peer_reports import Report, encode_message
from primroseyoke.gateway.peers import PeerReporter
from primroseyoke.gateway.upstreams import UpstreamRegistry
from primroseyoke.gateway.usage import ApiResult, UsageReporter
from primroseyoke.gateway.usage_counts import UsageCounter, Windows
from primroseyoke.gateway.usage_ledger import UsageLedger
from primroseyoke.gateway.usage_marks import lost_mark, repeated_mark
from primroseyoke.gateway.usage_sharing import UsageSharing
from primroseyoke.gateway.wall_clock import WallClock
from tests.event_loop import run

WINDOW_SECONDS = 5.0
DEADLINE_SECONDS = 10.0
#: True time at the start of the virtual clock (1000.0).
START = 1_800_000_000.0
PORT = 7340


def boot() -> float:
    return asyncio.get_running_loop().time()


def true_now() -> float:
    return START + boot() - 1000.0


class Store:
    """The duty lease of all hosts: one holder, one payload."""

    def __init__(self) -> None:
        self.holder: str | None = None
        self.number = 0
        self.payload = b''
        self.payload_known = True
        self.down = False
        self.payloads: list[bytes] = []
        self.on_write: Callable[[], None] = lambda: None

    def grant(self, address: str | None) -> None:
        self.holder = address
        self.number += 1

    def lose_records(self, count: int) -> None:
        """Come back from a copy that lacks the last ``count`` payloads."""
        del self.payloads[-count:]
        self.payload = self.payloads[-1] if self.payloads else b''
        self.payload_known = False


class Lease:
    """The lease as one host sees it."""

    def __init__(self, store: Store, address: str) -> None:
        self.store = store
        self.address = address

    @property
    def payload(self) -> bytes:
        return self.store.payload

    @property
    def payload_known(self) -> bool:
        return self.store.payload_known

    def held(self) -> int | None:
        store = self.store
        return store.number if store.holder == self.address else None

    async def write(self, payload: bytes) -> bool:
        await asyncio.sleep(0.01)
        if self.store.down or self.held() is None:
            return False
        self.store.payload = payload
        self.store.payload_known = True
        self.store.payloads.append(payload)
        self.store.on_write()
        return self.held() is not None


class Api:
    """Accepts one report for each window; records any other."""

    def __init__(self) -> None:
        self.accepted: dict[int, dict[str, int]] = {}
        self.accepted_at: dict[int, float] = {}
        self.conflicts: list[int] = []
        self.calls: list[tuple[str, int, int]] = []
        self.highest_number = 0
        self.numbers_fell = False
        self.down = False
        self.results: list[ApiResult] = []
        self.lost_responses = 0
        self.before_call: Callable[[int], None] = lambda window: None

    async def report_usage(self, holder, fencing_number, window, counts):
        self.before_call(window)
        await asyncio.sleep(0.01)
        self.calls.append((holder, fencing_number, window))
        self.numbers_fell |= fencing_number < self.highest_number
        self.highest_number = max(self.highest_number, fencing_number)
        if self.down:
            raise ServiceUnavailable('the API is down')
        if self.results and self.results[0] is not ApiResult.ACCEPTED:
            return self.results.pop(0)
        if self.accepted.setdefault(window, dict(counts)) != counts:
            self.conflicts.append(window)
        self.accepted_at.setdefault(window, true_now())
        if self.lost_responses:
            self.lost_responses -= 1
            raise ServiceUnavailable('the response was lost')
        return ApiResult.ACCEPTED


class CallLimit:
    """Allows one call per 0.625 s, as for an API that accepts 2 per second."""

    def __init__(self) -> None:
        self.next_at = 0.0

    def try_take(self, now: float) -> bool:
        if now < self.next_at:
            return False
        self.next_at = now + 0.625
        return True


class Host:
    """The parts of a gateway that count, share and report usage."""

    def __init__(self, address: str, network: 'Network') -> None:
        self.address = address
        self.network = network
        self.step = 0.0
        self.windows = Windows(WINDOW_SECONDS, DEADLINE_SECONDS)
        self.reporter = PeerReporter(address, address, PORT, 'z')
        self.reporter.balancer = Balancer(
            UpstreamRegistry(), 'z', random.Random(1), {}
        )
        self.reporter.transport = mock.Mock()
        self.reporter.transport.sendto = lambda content, target: network.send(
            address, content, target[0]
        )
        self.clock = WallClock(lambda: true_now() + self.step, boot)
        self.counter = UsageCounter(self.windows, self.clock)
        network.run_count += 1
        self.ledger = UsageLedger(
            self.windows, self.counter, f'{address}/{network.run_count}', boot
        )
        self.lease = Lease(network.store, address)
        self.sharing = UsageSharing(
            self.counter,
            self.ledger,
            self.reporter,
            lambda: self.lease.held() is not None,
        )
        self.usage = UsageReporter(
            address,
            self.lease,
            network.api,
            network.limit,
            self.ledger,
            lambda: self.reporter.reported_within(LEADERSHIP_TIMEOUT_SECONDS),
        )
        self.tasks = [
            asyncio.ensure_future(task())
            for task in (self.sharing.run, self._heartbeat, self._perform)
        ]

    def serve(self, client: str, count: int = 1) -> None:
        """Count requests that begin now."""
        for _ in range(count):
            self.network.request_count += 1
            self.counter.add(
                client, f'r-{self.network.request_count}', self.clock.now()
            )

    def add(
        self,
        client: str,
        request_id: str,
        lost: bool = False,
        repeated: bool = False,
    ) -> None:
        """Count a request that was lost, or that was sent before."""
        marks = [lost_mark(client, request_id)] if lost else []
        if repeated:
            marks.append(repeated_mark(client, request_id))
        self.counter.add(client, request_id, self.clock.now(), *marks)

    def stop(self) -> None:
        """Stop as after SIGTERM."""
        self.sharing.announce_exit()
        self.reporter.announce_exit()
        self.crash()

    def crash(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.network.hosts.pop(self.address)

    async def _heartbeat(self) -> None:
        while True:
            report = Report(
                self.address,
                {},
                sequence=int(boot() * 1000),
                lease=self.lease.held() or 0,
            )
            for address in tuple(self.network.hosts):
                if address != self.address:
                    self.network.send(
                        self.address, encode_message(report), address
                    )
            await asyncio.sleep(0.35)

    async def _perform(self) -> None:
        while True:
            await asyncio.sleep(0.25)
            await self.usage.perform()


class Network:
    """Hosts whose datagrams may be lost, repeated and reordered."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.generator = random.Random(seed)
        self.loss = 0.0
        self.repetition = 0.0
        self.max_delay = 0.002
        self.sizes: list[int] = []
        self.run_count = 0
        self.request_count = 0
        self.store = Store()
        self.api = Api()
        self.limit = CallLimit()
        self.cut: set[str] = set()
        self.hosts: dict[str, Host] = {}
        for number in range(count):
            self.add(f'10.0.0.{number}')
        self.store.grant('10.0.0.0')

    def add(self, address: str) -> Host:
        self.hosts[address] = Host(address, self)
        return self.hosts[address]

    def __getitem__(self, number: int) -> Host:
        return self.hosts[f'10.0.0.{number}']

    def send(self, sender: str, content: bytes, target: str) -> None:
        self.sizes.append(len(content))
        copies = 1 + (self.generator.random() < self.repetition)
        for _ in range(copies):
            if self.generator.random() >= self.loss:
                asyncio.get_running_loop().call_later(
                    self.generator.random() * self.max_delay,
                    self._deliver,
                    sender,
                    content,
                    target,
                )

    async def wait_until(self, seconds: float) -> None:
        """Wait until that many seconds of true time after the start."""
        await asyncio.sleep(START + seconds - true_now())

    def reported(self, window: int) -> dict[str, int] | None:
        """Return the counts reported for the window that begins then."""
        return self.api.accepted.get(int(START // WINDOW_SECONDS) + window)

    def reported_after(self, window: int) -> float:
        """Return the seconds from the end of a window to its report."""
        number = int(START // WINDOW_SECONDS) + window
        end = (number + 1) * WINDOW_SECONDS
        return self.api.accepted_at[number] - end

    def _deliver(self, sender: str, content: bytes, target: str) -> None:
        same_side = (sender in self.cut) == (target in self.cut)
        if target in self.hosts and same_side:
            receive = self.hosts[target].reporter.datagram_received
            receive(content, (sender, PORT))


def run_network(
    scenario: Callable[[Network], Awaitable[None]],
    count: int = 4,
    seed: int = 1,
) -> Network:
    """Run a scenario; return the network afterwards."""

    async def run_scenario() -> Network:
        network = Network(count, seed)
        await scenario(network)
        for host in tuple(network.hosts.values()):
            host.crash()
        return network

    with mock.patch(
        'time.monotonic', lambda: asyncio.get_running_loop().time()
    ):
        network = run(run_scenario())
    assert not network.api.conflicts
    assert not network.api.numbers_fell
    return network
