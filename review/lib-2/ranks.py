"""A group of model workers that change their map, and its clients.

They do what PROTOCOL.md says of ranks, passes and orders.
"""

import asyncio
import contextlib
import json
import random

from standins import Client, Server

RANKS = 8
LAYERS, EXPERTS, LOCATIONS, SPARES = 2, 16, 4, 2
EPOCH = 1
PASS_SECONDS = 0.06
COPY_SECONDS = 0.015
REPORT_LAG_SECONDS = 0.2
# Further orders are not written to the record.
MAX_NOTES = 800
# A client abandons a stream after a gap of so long.
PATIENCE_SECONDS = 2.01
KEY = 'n2ctnfzs989anu6wsjnb'
ZONES = {f'zone-{zone}': 'area' for zone in 'abc'}


def initial_map():
    """Return map 0: the experts in turn, by set and rank."""
    return [
        [[e for e in range(EXPERTS) if e % RANKS == r] for r in range(RANKS)]
        for _ in range(LAYERS)
    ]


class Group:
    """Ranks that begin each pass together, as PROTOCOL.md says."""

    def __init__(self, record, unanswered_share=0.0):
        self.record = record
        # The share of orders that workers leave unanswered.
        self.unanswered_share = unanswered_share
        # Called with a rank and an order that it left unanswered.
        self.on_unanswered = None
        self.step = 0
        self.notes = 0
        self.ranks = []
        self.generator = random.Random(46)
        self.popularity = [1.0] * (LAYERS * EXPERTS)
        self.broken_steps = []
        self.changes = 0
        self.maps = {0: initial_map()}

    async def run(self):
        loop = asyncio.get_running_loop()
        shift_at = 0.0
        while True:
            await asyncio.sleep(PASS_SECONDS)
            if loop.time() >= shift_at:
                shift_at = loop.time() + 3.0
                weights = [
                    (place + 1) ** -0.9 for place in range(LAYERS * EXPERTS)
                ]
                self.generator.shuffle(weights)
                self.popularity = weights
            if not any(rank.streams for rank in self.ranks):
                continue
            step = self.step + 1
            if any(rank.held == step for rank in self.ranks):
                continue
            self.begin(step)

    def begin(self, step):
        self.step = step
        for rank in self.ranks:
            if rank.armed and rank.armed[1] == step:
                rank.version = rank.armed[0]
                rank.armed = None
        versions = [rank.version for rank in self.ranks]
        if len(set(versions)) > 1:
            if not self.broken_steps:
                self.record.write(
                    f'pass {step} BEGINS WITH DIFFERENT MAPS: {versions}'
                )
            self.broken_steps.append(step)
        total = sum(self.popularity)
        for rank in self.ranks:
            busy = len(rank.streams)
            rank.counts = [
                count + round(2500 * busy * weight / total)
                for count, weight in zip(rank.counts, self.popularity)
            ]
            for queue in tuple(rank.streams):
                queue.put_nowait(step)


class Rank(Server):
    """One worker, which is a rank of the group."""

    def __init__(self, group, number):
        super().__init__()
        self.group = group
        self.number = number
        self.id = f'i-{number:08x}'
        self.version = 0
        self.highest = 0
        self.prepared = None
        self.ready_at = 0.0
        self.armed = None
        self.held = None
        self.seq = 0
        self.counts = [0] * (LAYERS * EXPERTS)
        self.streams = set()
        self.late = set()
        # Whether the path to all machines of the system drops everything.
        self.silent = False
        self.snapshot = self.report()

    def entry(self):
        return {
            'service': 'model', 'address': self.name,
            'zone': f'zone-{"abc"[self.number % 3]}', 'version': 'v1',
            'slots': 6, 'state': 'ready', 'coldLeftMs': 0,
            'phase': 'mixed', 'seq': 1,
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
        }

    def report(self):
        """Return what the rank reports of itself."""
        copied = self.prepared is not None and self.now() >= self.ready_at
        return {
            'phase': 'mixed', 'models': [], 'busy': False, 'seq': self.seq,
            'queued': 0, 'active': len(self.streams), 'kvUsed': 0,
            'kvTotal': 140000, 'handles': 0, 'pace': 1,
            'group': {
                'name': 'g', 'epoch': EPOCH, 'rank': self.number,
                'state': 'open',
            },
            'size': RANKS, 'step': self.group.step, 'placement': self.version,
            'prepared': self.prepared if copied else None,
            'enabled': (
                {'version': self.armed[0], 'step': self.armed[1]}
                if self.armed
                else None
            ),
            'held': self.held,
        }

    def now(self):
        try:
            return asyncio.get_running_loop().time()
        except RuntimeError:
            return 0.0

    async def refresh(self):
        while True:
            self.snapshot = self.report()
            await asyncio.sleep(REPORT_LAG_SECONDS)

    async def handle(self, request, writer):
        if self.silent:
            return await self.keep_silent(writer)
        expected = request.headers.get('x-primroseyoke-expect-instance')
        if expected not in {None, self.id}:
            return await self.respond(
                writer, 421, {'X-Primroseyoke-Instance-Id': self.id}
            )
        if request.path == '/report':
            return await self.json(writer, 200, self.snapshot)
        if request.path == '/picked':
            content = {
                'step': self.group.step, 'epoch': EPOCH, 'counts': self.counts
            }
            if request.query:
                current = self.group.maps[self.version]
                lists = [layer[self.number] for layer in current]
                content['placement'] = {
                    'version': self.version, 'experts': lists
                }
            return await self.json(writer, 200, content)
        if request.path == '/order':
            return await self.take_order(json.loads(request.body), writer)
        return await self.stream(request, writer)

    async def json(self, writer, status, content):
        return await self.respond(
            writer, status, {'Content-Type': 'application/json'},
            json.dumps(content).encode(),
        )

    async def take_order(self, order, writer):
        if self.group.generator.random() < self.group.unanswered_share:
            # Carried out 2 to 6 s later, and not answered.
            delay = self.group.generator.uniform(2, 6)
            task = asyncio.ensure_future(self.execute_late(order, delay))
            self.late.add(task)
            task.add_done_callback(self.late.discard)
            self.note(order, f'unanswered, carried out {delay:.1f} s later')
            if self.group.on_unanswered:
                self.group.on_unanswered(self, order)
            return await self.keep_silent(writer)
        status = self.execute(order)
        self.note(order, status)
        return await self.json(writer, status, {})

    async def keep_silent(self, writer):
        """A channel on which an answer is missing returns nothing further."""
        await writer.wait_closed()
        return False

    async def execute_late(self, order, delay):
        await asyncio.sleep(delay)
        self.note(order, f'{self.execute(order)} (late)')

    def note(self, order, outcome):
        self.group.notes += 1
        if self.group.notes > MAX_NOTES:
            return
        text = {k: v for k, v in order.items() if k != 'placement'}
        self.group.record.write(
            f'rank {self.number} {json.dumps(text)} -> {outcome}'
        )

    def execute(self, order):
        if order.get('epoch', EPOCH) != EPOCH:
            return 409
        handler = getattr(self, 'do_' + order['op'], None)
        status = handler(order) if handler else 400
        self.seq += status == 202
        return status

    def do_prepare(self, order):
        version = order['version']
        if version == self.prepared:
            return 200
        if version <= self.highest or self.armed:
            return 409
        held = self.group.maps[self.version]
        new = [
            len(set(wanted[self.number]) - set(have[self.number]))
            for wanted, have in zip(order['placement'], held)
        ]
        if max(new) > SPARES:
            return 409
        self.group.maps[version] = order['placement']
        self.highest = self.prepared = version
        self.ready_at = self.now() + COPY_SECONDS * sum(new)
        return 202

    def do_arm(self, order):
        wanted = (order['version'], order['step'])
        if self.armed == wanted:
            return 200
        if (
            self.prepared != order['version']
            or self.now() < self.ready_at
            or order['step'] <= self.group.step
        ):
            return 409
        self.armed = wanted
        return 202

    def do_disarm(self, order):
        if self.version == order['version']:
            return 409
        if self.armed and self.armed[0] == order['version']:
            self.armed = None
            return 202
        return 200

    def do_retain(self, order):
        if self.held == order['step']:
            return 200
        if self.held is not None or order['step'] <= self.group.step:
            return 409
        self.held = order['step']
        return 202

    def do_go(self, order):
        if self.held == order['step']:
            self.held = None
            return 202
        return 200

    async def stream(self, request, writer):
        """Answer with one event in each pass."""
        name = request.headers.get('x-primroseyoke-request-id', '')
        first = int(request.headers.get('last-event-id') or 0) + 1
        queue = asyncio.Queue()
        self.streams.add(queue)
        try:
            head = (
                'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
                f'X-Primroseyoke-Request-Id: {name}\r\n'
                f'X-Primroseyoke-Response-Signature: {self.id}\r\n'
                'Transfer-Encoding: chunked\r\n\r\n'
            )
            writer.write(head.encode())
            for number in range(first, 25):
                while not writer.is_closing():
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(0.5):
                            await queue.get()
                            break
                if self.silent:
                    return await self.keep_silent(writer)
                event = f'id: {number}\ndata: abcd\n\n'.encode()
                writer.write(b'%x\r\n%s\r\n' % (len(event), event))
                await writer.drain()
            writer.write(b'0\r\n\r\n')
            await writer.drain()
        finally:
            self.streams.discard(queue)
        return True


def configuration():
    return {
        'version': 7,
        'routes': [
            {
                'name': 'draft', 'host': 'shop.example',
                'pathPrefix': '/draft/', 'kind': 'streaming',
                'timeoutMs': 8000, 'aimMs': 502, 'priority': 1,
                'service': 'model', 'attempts': 2, 'public': False,
                'sticky': True, 'resumable': True, 'gapAimMs': 120,
            }
        ],
        'services': [
            {
                'name': 'model', 'healthPath': '/healthz', 'maxConns': 418,
                'coldS': 3.0, 'coldPerS': 36.0,
                'engine': {
                    'slots': 6, 'kvCapacity': 140000, 'linkMbps': 92000.0,
                    'stride': 4, 'step_ms': 4.55, 'per_seq_ms': 1.81,
                    'read_per_s': 61400.0, 'report_lag_ms': 200.0,
                    'usual': {'prompt': 835, 'answer': 97},
                    'layerSets': LAYERS, 'experts': EXPERTS,
                    'locations': LOCATIONS, 'spares': SPARES,
                    'expertMb': 172.5, 'expertRatio': 0.85, 'form_ms': 600.0,
                },
            }
        ],
        'limits': {
            'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': 'hule930', 'apiKeys': [KEY], 'priority': 1}],
    }


async def ask(gateway, client_number, on_answer):
    """Send one stream after another."""
    number = 0
    while True:
        number += 1
        headers = {
            'X-Primroseyoke-Request-Id': f'{client_number:04x}{number:08x}',
            'X-Primroseyoke-Request-Timeout-Ms': 8000,
            'X-Primroseyoke-Model': 'm',
            'X-Primroseyoke-Token-Usage': '600,96',
            'X-Primroseyoke-Prompt-Prefix': f'{number:x}:600',
            'Authorization': f'Bearer {KEY}',
        }
        sent_at = asyncio.get_running_loop().time()
        served = False
        outcome = 'no channel'
        with contextlib.suppress(OSError):
            client = await Client.open(gateway.address, gateway.front)
            answer = await client.call(
                'POST', '/draft/a', headers, b'prompt', PATIENCE_SECONDS
            )
            client.close()
            served = (
                answer.status == 200
                and answer.complete
                and 'x-primroseyoke-response-signature' in answer.headers
                and answer.body.count(b'data:') == 24
            )
            outcome = str(answer.status) if answer.status else 'no answer'
            if answer.status == 200 and not served:
                outcome = 'cut in the answer'
        on_answer(sent_at, served, outcome)
        await asyncio.sleep(0.02 if served else 0.3)


