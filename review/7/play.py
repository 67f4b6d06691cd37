"""A faulty worker answers two streams with tiny chunks without end."""

import asyncio
import contextlib
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-2'))

from standins import (  # noqa: E402
    Client, Gateway, Server, Store, free_port, main,
)

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ZONES = {f'zone-{zone}': 'area' for zone in 'abc'}
KEY = 'n2ctnfzs989anu6wsjnb'
# Like the site's: postings of a tenant, and streams.
PLAIN_TIMEOUT_MS, PLAIN_BUDGET_MS = 800, 1520
STREAM_TIMEOUT_MS = 8000
CLIENTS = 12
REQUESTS_OF_CLIENT = 50
FAULTY_ANSWERS = 2
TINY_CHUNK = b'1\r\nx\r\n'


class Worker(Server):
    """Answers postings and streams; number 0 spoils two of its streams."""

    def __init__(self, number, record):
        super().__init__()
        self.number = number
        self.id = f'i-{number}'
        self.record = record
        self.spoils = 0

    def entry(self):
        return {
            'service': 'model' if self.number < 3 else 'app',
            'address': self.name, 'zone': f'zone-{"abc"[self.number % 3]}',
            'version': 'v1', 'slots': 6, 'state': 'ready', 'coldLeftMs': 0,
            'seq': 1,
        }

    async def handle(self, request, writer):
        expected = request.headers.get('x-primroseyoke-expect-instance')
        if expected not in {None, self.id}:
            return await self.respond(
                writer, 421, {'X-Primroseyoke-Instance-Id': self.id}
            )
        name = request.headers.get('x-primroseyoke-request-id', '')
        headers = {
            'X-Primroseyoke-Request-Id': name,
            'X-Primroseyoke-Response-Signature': self.id,
        }
        if request.path.startswith('/draft/'):
            return await self.stream(request, writer, headers)
        await asyncio.sleep(0.02)
        headers['X-Primroseyoke-Instance-Load'] = '1,0,6'
        return await self.respond(writer, 200, headers, b'posted')

    async def stream(self, request, writer, headers):
        fields = {
            **headers, 'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        head = ''.join(f'{name}: {text}\r\n' for name, text in fields.items())
        writer.write(f'HTTP/1.1 200 OK\r\n{head}\r\n'.encode())
        if TROUBLE and self.number == 0 and self.spoils < FAULTY_ANSWERS:
            self.spoils += 1
            self.record.write(
                f'{self.id} spoils its answer to '
                f'{headers["X-Primroseyoke-Request-Id"]}'
            )
            return await self.send_without_end(writer)
        first = int(request.headers.get('last-event-id') or 0) + 1
        for number in range(first, 25):
            event = f'id: {number}\ndata: abcd\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.06)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True

    async def send_without_end(self, writer):
        """Send bytes that are no answer until the caller closes."""
        block = TINY_CHUNK * 10000
        size = 0
        with contextlib.suppress(ConnectionError):
            while not writer.is_closing():
                writer.write(block)
                await writer.drain()
                size += len(block)
        self.record.write(f'{self.id}: the caller closed after {size} bytes')
        return False


def configuration():
    common = {'host': 'shop.example', 'public': False}
    return {
        'version': 7,
        'routes': [
            {
                **common, 'name': 'draft', 'pathPrefix': '/draft/',
                'kind': 'streaming', 'timeoutMs': STREAM_TIMEOUT_MS,
                'aimMs': 502, 'priority': 1, 'service': 'model',
                'attempts': 2, 'resumable': True, 'gapAimMs': 120,
            },
            {
                **common, 'name': 'posting', 'pathPrefix': '/post/',
                'kind': 'non_idempotent', 'timeoutMs': PLAIN_TIMEOUT_MS,
                'aimMs': 150, 'priority': 2, 'service': 'app', 'attempts': 1,
            },
        ],
        'services': [
            {
                'name': name, 'healthPath': '/healthz', 'maxConns': 110,
                'coldS': 0.0, 'coldPerS': 0.0,
            }
            for name in ('model', 'app')
        ],
        'limits': {
            'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': 'hule930', 'apiKeys': [KEY], 'priority': 1}],
    }


def fields(name, timeout_ms):
    return {
        'X-Primroseyoke-Request-Id': name,
        'X-Primroseyoke-Request-Timeout-Ms': timeout_ms,
        'Authorization': f'Bearer {KEY}',
    }


async def post(gateway, number, taken):
    """Send postings on a kept channel; note how long each answer took."""
    client = None
    clock = asyncio.get_running_loop().time
    for request in range(REQUESTS_OF_CLIENT):
        if client is None:
            client = await Client.open(gateway.address, gateway.front)
        name = f'p{number:02}{request:04}'
        started = clock()
        answer = await client.call(
            'POST', '/post/a', fields(name, PLAIN_BUDGET_MS), b'x' * 600, 6.0
        )
        taken.append((clock() - started, answer.status, answer.complete))
        closes = answer.headers.get('connection') == 'close'
        if closes or not answer.complete:
            client.close()
            client = None
        await asyncio.sleep(0.2)
    if client is not None:
        client.close()


async def draft(gateway, number, record):
    client = await Client.open(gateway.address, gateway.front)
    name = f's{number:02}'
    answer = await client.call(
        'POST', '/draft/a', fields(name, STREAM_TIMEOUT_MS), b'prompt', 12.0
    )
    client.close()
    record.write(
        f'stream {name}: {answer.status}, complete: {answer.complete}, '
        f'{answer.body.count(b"data:")} events'
    )


async def play(record, temporary):
    store = Store()
    await store.start()
    workers = [Worker(number, record) for number in range(6)]
    for worker in workers:
        await worker.start()
        store.put('keyed.servers', worker.id, worker.entry())
    store.put('keyed.op', 'config', configuration())
    gateway = Gateway(temporary, 1, store, 'zone-a', ZONES,
                      free_port('127.0.0.11'))
    taken = []
    try:
        gateway.start()
        await gateway.wait_ready()
        await asyncio.sleep(0.5)
        clients = [
            asyncio.ensure_future(post(gateway, number, taken))
            for number in range(CLIENTS)
        ]
        await asyncio.sleep(2)
        drafts = []
        for number in range(9):
            drafts.append(
                asyncio.ensure_future(draft(gateway, number, record))
            )
            await asyncio.sleep(0.1)
        await asyncio.gather(*clients, *drafts)
    finally:
        gateway.stop()
    timeout = PLAIN_TIMEOUT_MS / 1000
    late = [seconds for seconds, _, _ in taken if seconds > timeout]
    unanswered = [seconds for seconds in late if seconds > timeout + 0.5]
    statuses = {}
    for _, status, _ in taken:
        statuses[status] = statuses.get(status, 0) + 1
    record.write(
        f'{len(taken)} postings, answers {statuses}, longest time '
        f'{max(taken)[0]:.2f} s; unanswered at timeoutMs: {len(late)}, and '
        f'0.5 s after it: {len(unanswered)}'
    )
    if TROUBLE and not workers[0].spoils:
        record.write('no answer was spoiled')
        return 2
    broken = len(unanswered) >= 8 and 2 * len(unanswered) > len(late)
    return 1 if broken else 0


if __name__ == '__main__':
    main(HERE, play)
