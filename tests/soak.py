"""Randomized soak: streams through gateways that are stopped and restarted.

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
from tests.gateway.deployment import configuration, free_port
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
    """A request as its caller saw it; times in monotonic seconds."""

    request_id: str
    gateway: GatewayProcess
    count: int
    sent_at: float
    ended_at: float = 0
    left: bool = False
    response: ReceivedResponse = dataclasses.field(
        default_factory=ReceivedResponse
    )


@dataclasses.dataclass
class Report:
    """What a play showed."""

    calls: list[Call]
    broken: list[str]
    restarts: int

    @property
    def whole_streams(self) -> int:
        return sum(
            call.response.complete and call.response.status == 200
            for call in self.calls
        )


class Soak:
    """One play of a seed."""

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        self.generator = random.Random(seed)
        self.folder = folder
        self.store = SlowStore()
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
                *(self._call_repeatedly(n) for n in range(CALLER_COUNT)),
                self._silence_upstreams(),
                self._slow_the_store(),
                self._reload_and_reconfigure(),
                self._stop_gateways(),
            )
        ]
        try:
            await asyncio.gather(*tasks)
        finally:
            for task in (*tasks, *self.restarts):
                task.cancel()
            await asyncio.gather(*tasks, *self.restarts, return_exceptions=True)
            for gateway in self.gateways:
                gateway.kill()
            for server in (self.store, *self.upstreams):
                server.stop()
        broken = [text for call in self.calls if (text := self._check(call))]
        return Report(self.calls, broken, len(self.stops))

    async def _start(self) -> None:
        await self.store.start()
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
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))
        await asyncio.sleep(1)

    def _publish(self) -> None:
        document = configuration(self.version)
        for route in document['routes']:  # type: ignore[attr-defined]
            route['timeoutMs'] = TIMEOUT_MS
        self.store.put('keyed.op', 'config', document)
        self.version += 1

    async def _call_repeatedly(self, number: int) -> None:
        await asyncio.sleep(self.generator.random())
        patient = self.generator.random() < PATIENT_SHARE
        connection = gateway = None
        for turn in range(1000):
            if time.monotonic() > self.end_at:
                break
            if connection is None or gateway is None:
                gateway = self._ready_gateway()
                if gateway is None:
                    await asyncio.sleep(0.1)
                    continue
                try:
                    connection = await CallerConnection.open(gateway)
                except OSError:
                    continue
            call = await self._call(
                connection, gateway, f'{number}-{turn}', patient
            )
            if call.left or call.response.closes or not call.response.complete:
                connection.close()
                connection = None
            if call.response.status != 200:
                await asyncio.sleep(0.2)

    def _ready_gateway(self) -> GatewayProcess | None:
        stopped = {gateway for gateway, _ in self.stops if gateway.stopping}
        ready = [each for each in self.gateways if each not in stopped]
        return self.generator.choice(ready) if ready else None

    async def _call(
        self,
        connection: CallerConnection,
        gateway: GatewayProcess,
        request_id: str,
        patient: bool,
    ) -> Call:
        count = self.generator.randint(10, 50)
        call = Call(request_id, gateway, count, time.monotonic())
        self.calls.append(call)
        connection.send_head(f'/draft/{count}', request_id, 0, TIMEOUT_MS)
        receiving = asyncio.ensure_future(connection.receive())
        size = 0
        while not receiving.done():
            gap = None if patient else CALLER_GAP_SECONDS
            await asyncio.wait({receiving}, timeout=gap)
            if not receiving.done() and connection.received_bytes == size:
                call.left = True
                receiving.cancel()
                break
            size = connection.received_bytes
        call.ended_at = time.monotonic()
        if not call.left:
            call.response = receiving.result()
        return call

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
        if lasted >= TIMEOUT_MS / 1000:
            return True
        passed_on = any(
            upstream.started[call.request_id] for upstream in self.upstreams
        )
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
            f'{report.restarts} restarts, {len(report.broken)} broken'
            + (f'; logs in {folder}' if report.broken else ''),
            flush=True,
        )
        for text in report.broken:
            print(f'  {text}', flush=True)
    sys.exit(bool(failed))


if __name__ == '__main__':
    main()
