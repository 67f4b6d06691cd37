"""Randomized soak: streams through gateways that are stopped and restarted.

The streams have two priorities and several client accounts, one of which sends
a burst. The gateways report usage and order upstreams at an API that fails.

``python -m tests.soak --seeds 50`` plays seeds 0 to 49 and reports what broke.
A seed decides the days, not the timing of the processes: play it several times.
"""

import argparse
import asyncio
import collections
import dataclasses
import pathlib
import random
import signal
import sys
import tempfile
import time

from primroseyoke.gateway.listeners import ResponseWriter
from primroseyoke.gateway.requests import CallerRequest
from tests.gateway.deployment import configuration, free_port, route
from tests.standins.cloud_api import FaultyApi
from tests.standins.gateway_process import (
    CallerConnection,
    GatewayProcess,
    ReceivedResponse,
)
from tests.standins.platform import StandInStore, StandInUpstream

GATEWAY_COUNT = 3
GROUP_COUNT = 2
GROUP_SIZE = 2
SLOTS = 10
CALLER_COUNT = 30
PLAY_SECONDS = 18
GRACE_SECONDS = 8
TIMEOUT_MS = 8000
# Callers are spread evenly over these client accounts; the last one also sends
# a burst. In the first 60 s of a gateway only accounts with eight times the mean
# work are above their share, which takes well over eight accounts.
CLIENTS = tuple(f'client-{number}' for number in range(20))
BURST_CALLER_COUNT = 50
BURST_SECONDS = 4.0
# Short enough that some requests can't be served in time and are refused.
BURST_TIMEOUT_MS = 2500
URGENT_SHARE = 0.4
# Callers that retry at once when they are refused; the others wait as told.
HASTY_SHARE = 0.2
HASTY_RETRY_COUNT = 4
API_FAULT_SHARE = 0.3
REPORT_WINDOW_SECONDS = 1
REPORT_DELAY_SECONDS = 4
# Without other faults a window is accepted within this time: a new holder of the
# lease after 3 s and 1 s for each gateway, a window that no earlier holder may
# have reported after 1 s, its report after 4 s, and 4 s for faults of the API.
FIRST_REPORT_SECONDS = 15
EVENT_SECONDS = 0.06
# Callers leave a stream after this gap; the patient ones stay.
CALLER_GAP_SECONDS = 2.0
PATIENT_SHARE = 0.7
# A request that was not passed on may be cut this long after its last byte.
CROSSING_SECONDS = 0.2
NOT_EXECUTED = (b'x-primroseyoke-not-executed', b'1')


class StreamingUpstream(StandInUpstream):
    """Sends numbered events; ``silent_until`` stops all its streams."""

    def __init__(self, name: str) -> None:
        super().__init__(name, _stream)
        self.silent_until = 0.0
        self.running: set[str] = set()
        self.started: collections.Counter[str] = collections.Counter()

    async def wait_while_silent(self) -> None:
        while time.monotonic() < self.silent_until:
            await asyncio.sleep(self.silent_until - time.monotonic())


async def _stream(
    upstream: StandInUpstream, request: CallerRequest, response: ResponseWriter
) -> None:
    assert isinstance(upstream, StreamingUpstream)
    headers = upstream.signature_headers(request)
    if len(upstream.running) >= SLOTS:
        response.respond(503, [*headers, NOT_EXECUTED], b'')
        return
    upstream.running.add(request.request_id)
    upstream.started[request.request_id] += 1
    try:
        await _send_events(upstream, request, response)
    finally:
        upstream.running.discard(request.request_id)


async def _send_events(
    upstream: StreamingUpstream,
    request: CallerRequest,
    response: ResponseWriter,
) -> None:
    count = int(request.path.rsplit('/', 1)[1])
    await asyncio.sleep(EVENT_SECONDS)
    await upstream.wait_while_silent()
    response.start(
        200,
        [
            *upstream.signature_headers(request),
            (b'content-type', b'text/event-stream'),
        ],
    )
    for number in range(int(request.last_event_id or 0) + 1, count + 1):
        await response.send(b'id: %d\ndata: x\n\n' % number)
        await asyncio.sleep(EVENT_SECONDS)
        await upstream.wait_while_silent()
    response.finish()


class SlowStore(StandInStore):
    """Answers after ``delay`` seconds."""

    delay = 0.0

    async def handle(
        self, request: CallerRequest, response: ResponseWriter
    ) -> None:
        await asyncio.sleep(self.delay)
        await super().handle(request, response)


@dataclasses.dataclass
class Call:
    """A request as its caller saw it; times in monotonic seconds.

    A request that was refused may be sent again with the same identifier;
    ``starts_before`` is how often upstreams had started it until then.
    """

    request_id: str
    gateway: GatewayProcess
    count: int
    timeout_ms: int
    starts_before: int
    sent_at: float
    ended_at: float = 0
    left: bool = False
    response: ReceivedResponse = dataclasses.field(
        default_factory=ReceivedResponse
    )


@dataclasses.dataclass
class Caller:
    """Sends requests of one client account until ``end_at``.

    A patient caller stays while a stream is silent; a hasty one does not wait
    for ``Retry-After`` when it was refused.
    """

    number: int
    client: str
    end_at: float
    patient: bool
    hasty: bool
    path: str
    timeout_ms: int = TIMEOUT_MS
    turn: int = 0
    gateway: GatewayProcess | None = None
    connection: CallerConnection | None = None

    def close(self) -> None:
        if self.connection is not None:
            self.connection.close()
        self.connection = None


@dataclasses.dataclass
class Report:
    """What a play showed."""

    calls: list[Call]
    broken: list[str]
    restarts: int
    windows: int
    orders: int
    fencing_numbers: int

    @property
    def whole_streams(self) -> int:
        return sum(
            call.response.complete and call.response.status == 200
            for call in self.calls
        )

    @property
    def refused(self) -> int:
        return sum(
            'retry-after' in call.response.headers for call in self.calls
        )


class Soak:
    """One play of a seed."""

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        self.generator = random.Random(seed)
        self.folder = folder
        self.store = SlowStore()
        self.api = FaultyApi(random.Random(seed), API_FAULT_SHARE)
        self.upstreams = [
            StreamingUpstream(f'rank-{group}-{rank}')
            for group in range(GROUP_COUNT)
            for rank in range(GROUP_SIZE)
        ]
        self.gateways: list[GatewayProcess] = []
        self.stops: list[tuple[GatewayProcess, float]] = []
        self.restarts: list[asyncio.Task[None]] = []
        self.calls: list[Call] = []
        self.end_at = 0.0
        self.version = 1

    async def play(self) -> Report:
        """Play the seed and check what callers and upstreams saw."""
        await self._start()
        self.end_at = time.monotonic() + PLAY_SECONDS
        tasks = [
            asyncio.ensure_future(task)
            for task in (
                *(
                    self._call_repeatedly(self._caller(n, self.end_at))
                    for n in range(CALLER_COUNT)
                ),
                self._burst(),
                self._silence_upstreams(),
                self._slow_the_store(),
                self._reload_and_reconfigure(),
                self._stop_gateways(),
            )
        ]
        try:
            await asyncio.gather(*tasks)
            await self._await_report()
        finally:
            for task in (*tasks, *self.restarts):
                task.cancel()
            await asyncio.gather(*tasks, *self.restarts, return_exceptions=True)
            for gateway in self.gateways:
                gateway.kill()
            for server in (self.store, self.api, *self.upstreams):
                server.stop()
        broken = [text for call in self.calls if (text := self._check(call))]
        broken += self.api.violations()
        if not self.api.reported_windows():
            broken.append('no usage window was accepted')
        return Report(
            self.calls,
            broken,
            len(self.stops),
            len(self.api.reported_windows()),
            sum(call.path == '/scale' for call in self.api.calls),
            len({call.fencing_number for call in self.api.calls}),
        )

    async def _start(self) -> None:
        await self.store.start()
        await self.api.start()
        for upstream in self.upstreams:
            await upstream.start()
            entry = {**upstream.entry('model'), 'slots': SLOTS}
            self.store.put('keyed.servers', upstream.name, entry)
        self._publish()
        peer_port = free_port()
        for number in range(1, GATEWAY_COUNT + 1):
            gateway = GatewayProcess(
                self.folder,
                self.store.port,
                number,
                peer_port=peer_port,
                grace_s=GRACE_SECONDS,
            )
            self.gateways.append(gateway)
        for gateway in self.gateways:
            gateway.settings['seeds'] = [
                f'{each.address}:{peer_port}' for each in self.gateways
            ]
            gateway.settings['cloud'] = {
                'address': f'127.0.0.1:{self.api.port}',
                'duties': ['metering', 'autoscale'],
                'dutyPerS': 10,
            }
            gateway.settings['bounds'] |= {
                'reportWindowS': REPORT_WINDOW_SECONDS,
                'usageLateS': REPORT_DELAY_SECONDS,
            }
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))
        await asyncio.sleep(1)

    def _publish(self) -> None:
        tenants = [
            {'name': name, 'apiKeys': [f'key-of-{name}']} for name in CLIENTS
        ]
        document = configuration(self.version, tenants=tenants)
        urgent = route(
            '/urgent/',
            'streaming',
            'model',
            resumable=True,
            gapAimMs=120,
            priority=0,
        )
        document['routes'].append(urgent)  # type: ignore[attr-defined]
        for each in document['routes']:  # type: ignore[attr-defined]
            each['timeoutMs'] = TIMEOUT_MS
        for service in document['services']:  # type: ignore[attr-defined]
            if service['name'] == 'model':
                service['autoscale'] = {'min': 1, 'max': 6, 'bootS': 5}
        self.store.put('keyed.op', 'config', document)
        self.version += 1

    def _caller(
        self, number: int, end_at: float, timeout_ms: int = TIMEOUT_MS
    ) -> Caller:
        return Caller(
            number,
            CLIENTS[number % len(CLIENTS)],
            end_at,
            patient=self.generator.random() < PATIENT_SHARE,
            hasty=self.generator.random() < HASTY_SHARE,
            path='/urgent'
            if self.generator.random() < URGENT_SHARE
            else '/draft',
            timeout_ms=timeout_ms,
        )

    async def _burst(self) -> None:
        """Send several times the usual traffic of the last account."""
        await asyncio.sleep(self.generator.uniform(2, 10))
        end_at = min(time.monotonic() + BURST_SECONDS, self.end_at)
        callers = [
            self._caller(CALLER_COUNT + number, end_at, BURST_TIMEOUT_MS)
            for number in range(BURST_CALLER_COUNT)
        ]
        for caller in callers:
            caller.client = CLIENTS[-1]
        await asyncio.gather(*map(self._call_repeatedly, callers))

    async def _await_report(self) -> None:
        """Wait for a first usage report; a slow store may have prevented it."""
        deadline = time.monotonic() + FIRST_REPORT_SECONDS
        while not self.api.reported_windows() and time.monotonic() < deadline:
            await asyncio.sleep(0.1)

    async def _call_repeatedly(self, caller: Caller) -> None:
        await asyncio.sleep(self.generator.random())
        while time.monotonic() < caller.end_at:
            caller.turn += 1
            await self._send_request(caller)

    async def _send_request(self, caller: Caller) -> None:
        """Send a request, and send it again if it was refused."""
        count = self.generator.randint(10, 50)
        deadline = time.monotonic() + caller.timeout_ms / 1000
        for _ in range(1 + (HASTY_RETRY_COUNT if caller.hasty else 1)):
            timeout_ms = int((deadline - time.monotonic()) * 1000)
            if timeout_ms <= 0:
                return
            if not await self._connect(caller):
                await asyncio.sleep(0.1)
                return
            call = await self._call(caller, count, timeout_ms)
            if call.response.status == 200 or call.left:
                return
            pause = call.response.headers.get('retry-after')
            if pause is None:
                break
            if not caller.hasty:
                # A pause may exceed the 2 s after which a gateway closes an
                # idle connection; a request sent then would be lost.
                caller.close()
                await asyncio.sleep(float(pause))
        await asyncio.sleep(0.2)

    async def _connect(self, caller: Caller) -> bool:
        if caller.connection is None:
            caller.gateway = self._ready_gateway()
            if caller.gateway is None:
                return False
            try:
                caller.connection = await CallerConnection.open(caller.gateway)
            except OSError:
                return False
        return True

    def _ready_gateway(self) -> GatewayProcess | None:
        stopped = {gateway for gateway, _ in self.stops if gateway.stopping}
        ready = [each for each in self.gateways if each not in stopped]
        return self.generator.choice(ready) if ready else None

    async def _call(
        self,
        caller: Caller,
        count: int,
        timeout_ms: int,
    ) -> Call:
        connection, gateway = caller.connection, caller.gateway
        assert connection is not None and gateway is not None
        request_id = f'{caller.number}-{caller.turn}'
        call = Call(
            request_id,
            gateway,
            count,
            timeout_ms,
            self._start_count(request_id),
            time.monotonic(),
        )
        self.calls.append(call)
        connection.send_head(
            f'{caller.path}/{count}',
            request_id,
            0,
            timeout_ms,
            api_key=f'key-of-{caller.client}',
        )
        receiving = asyncio.ensure_future(connection.receive())
        size = 0
        while not receiving.done():
            gap = None if caller.patient else CALLER_GAP_SECONDS
            await asyncio.wait({receiving}, timeout=gap)
            if not receiving.done() and connection.received_bytes == size:
                call.left = True
                receiving.cancel()
                break
            size = connection.received_bytes
        call.ended_at = time.monotonic()
        if not call.left:
            call.response = receiving.result()
        if call.left or call.response.closes or not call.response.complete:
            caller.close()
        return call

    def _start_count(self, request_id: str) -> int:
        return sum(upstream.started[request_id] for upstream in self.upstreams)

    async def _silence_upstreams(self) -> None:
        while time.monotonic() < self.end_at:
            await asyncio.sleep(self.generator.uniform(0.5, 2.5))
            group = self.generator.randrange(GROUP_COUNT)
            first = group * GROUP_SIZE
            silent = self.upstreams[first : first + GROUP_SIZE]
            if self.generator.random() < 0.5:
                silent = [self.generator.choice(silent)]
            seconds = self.generator.uniform(0.2, 1.9)
            for upstream in silent:
                upstream.silent_until = time.monotonic() + seconds

    async def _slow_the_store(self) -> None:
        while time.monotonic() < self.end_at:
            await asyncio.sleep(self.generator.uniform(1, 3))
            self.store.delay = self.generator.choice((0, 0, 0.3, 1.5))
        self.store.delay = 0

    async def _reload_and_reconfigure(self) -> None:
        while time.monotonic() < self.end_at:
            await asyncio.sleep(self.generator.uniform(1, 4))
            if self.generator.random() < 0.5:
                self._publish()
                continue
            gateway = self.generator.choice(self.gateways)
            # SIGHUP ends a program that is just starting.
            if gateway.running and gateway.handles_signals:
                gateway.send_signal(signal.SIGHUP)

    async def _stop_gateways(self) -> None:
        """Stop the gateways in series; some stops overlap."""
        await asyncio.sleep(1.5)
        while time.monotonic() < self.end_at - GRACE_SECONDS:
            serving = [each for each in self.gateways if not each.stopping]
            if not serving:
                # All stops overlap.
                await asyncio.sleep(0.1)
                continue
            gateway = self.generator.choice(serving)
            restart = asyncio.ensure_future(self._restart(gateway))
            self.restarts.append(restart)
            if self.generator.random() < 0.3:
                await asyncio.sleep(self.generator.uniform(0.2, 2))
            else:
                await restart
        await asyncio.gather(*self.restarts)

    async def _restart(self, gateway: GatewayProcess) -> None:
        gateway.stopping = True
        self.stops.append((gateway, time.monotonic()))
        gateway.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + GRACE_SECONDS
        while gateway.running and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        gateway.kill()
        await gateway.start()
        gateway.stopping = False

    def _check(self, call: Call) -> str:
        """Return what is wrong with a call, '' if nothing."""
        response = call.response
        numbers = [
            int(line[3:])
            for line in response.body.splitlines()
            if line.startswith(b'id:')
        ]
        if numbers != list(range(1, len(numbers) + 1)):
            return f'{call.request_id}: events {numbers}'
        if response.status == 200 and response.complete:
            if len(numbers) != call.count:
                return f'{call.request_id}: ended after {len(numbers)} events'
        if call.left or response.complete or self._is_excused(call):
            return ''
        stops = [
            round(call.ended_at - stopped_at, 3)
            for gateway, stopped_at in self.stops
            if gateway is call.gateway
        ]
        return (
            f'{call.request_id}: stream cut at {call.gateway.address} '
            f'after {len(numbers)} of {call.count} events and '
            f'{call.ended_at - call.sent_at:.3f} s; since its stops: {stops} s'
        )

    def _is_excused(self, call: Call) -> bool:
        lasted = call.ended_at - call.sent_at
        if lasted >= call.timeout_ms / 1000:
            return True
        passed_on = self._start_count(call.request_id) > call.starts_before
        if not passed_on and lasted <= CROSSING_SECONDS:
            return True
        # Still at work in the last sixth of the grace period.
        return any(
            gateway is call.gateway
            and call.sent_at <= stopped_at + 3
            and GRACE_SECONDS * 5 / 6
            <= call.ended_at - stopped_at
            <= GRACE_SECONDS + 1
            for gateway, stopped_at in self.stops
        )


def play(seed: int, folder: pathlib.Path) -> Report:
    """Play one seed; the logs of the gateways are left in ``folder``."""
    return asyncio.run(Soak(seed, folder).play())


def main() -> None:
    """Play many seeds one after the other and print what each showed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=50)
    parser.add_argument('--first', type=int, default=0)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        report = play(seed, folder)
        failed += bool(report.broken)
        print(
            f'seed {seed}: {len(report.calls)} calls, '
            f'{report.whole_streams} whole streams, '
            f'{report.restarts} restarts, {report.refused} refused, '
            f'{report.windows} windows, {report.orders} orders, '
            f'{report.fencing_numbers} fencing numbers, '
            f'{len(report.broken)} broken'
            + (f'; logs in {folder}' if report.broken else ''),
            flush=True,
        )
        for text in report.broken:
            print(f'  {text}', flush=True)
    sys.exit(bool(failed))


if __name__ == '__main__':
    main()
