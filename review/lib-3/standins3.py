"""Stand-ins of the platform's store, workers and clients, on loopback."""

import asyncio
import base64
import contextlib
import json
import os
import signal
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(
    os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
)
HOST = 'ficu95.example'
KEY = 'n2ctnfzs989anu6wsjnb'
SIGNATURE = '3e1b.07.5a2.600.0.c9f2a4d1'
BEAT_SECONDS = 1.2


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, 'w', encoding='utf-8')
        self.started = time.monotonic()

    def add(self, who, text):
        passed = time.monotonic() - self.started
        self.file.write(f'{passed:9.3f} {who}: {text}\n')
        self.file.flush()


class Message:
    """A request or response: first line, headers by lower-case name, body."""

    def __init__(self, first, headers, body=b''):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.first.split()[1])


async def read_head(reader):
    lines = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *fields = lines.rstrip('\r\n').split('\r\n')
    headers = {}
    for field in fields:
        name, _, text = field.partition(':')
        headers[name.strip().lower()] = text.strip()
    return Message(first, headers)


async def read_chunks(reader):
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        if not size:
            await reader.readuntil(b'\r\n')
            return
        part = await reader.readexactly(size)
        await reader.readexactly(2)
        yield part


async def read_message(reader):
    message = await read_head(reader)
    if message.headers.get('transfer-encoding', '') == 'chunked':
        message.body = b''.join([part async for part in read_chunks(reader)])
    elif 'content-length' in message.headers:
        message.body = await reader.readexactly(
            int(message.headers['content-length'])
        )
    return message


def encode(first, headers, body=b'', length=True):
    lines = [first, *(f'{name}: {text}' for name, text in headers)]
    if length:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


def free_port(address):
    import socket

    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Store:
    """The keyed topics of the platform's store."""

    def __init__(self):
        self.topics = {}
        self.port = 0
        self.changed = asyncio.Condition()
        self.era = 1
        self.is_away = False
        self.writers = set()

    async def start(self):
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.server = server
        self.port = server.sockets[0].getsockname()[1]

    async def restore(self, counts, away_seconds):
        """Be away for a moment; come back from a copy with fewer records."""
        self.is_away = True
        for writer in tuple(self.writers):
            writer.transport.abort()
        await asyncio.sleep(away_seconds)
        for topic, count in counts.items():
            del self.topics[topic][count:]
        self.era += 1
        self.is_away = False

    async def put(self, topic, key, value):
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        await self.append(topic, [(key, content)])

    async def append(self, topic, records):
        async with self.changed:
            self.topics.setdefault(topic, []).extend(records)
            self.changed.notify_all()

    async def serve(self, reader, writer):
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            self.writers.add(writer)
            while not self.is_away:
                request = await read_message(reader)
                status, body = await self.answer(request)
                writer.write(
                    encode(
                        f'HTTP/1.1 {status} Status',
                        [('Store-Era', str(self.era))],
                        body,
                    )
                )
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def answer(self, request):
        target = urllib.parse.urlsplit(request.first.split()[1])
        query = {
            name: texts[0]
            for name, texts in urllib.parse.parse_qs(target.query).items()
        }
        topic = query.get('topic', '')
        records = self.topics.get(topic, [])
        if target.path == '/log-newest':
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest[key] = (offset, value)
            entries = [
                {
                    'key': key,
                    'value': base64.b64encode(value).decode(),
                    'offset': offset,
                }
                for key, (offset, value) in newest.items()
                if value
            ]
            body = {
                'entries': entries,
                'hasMore': False,
                'endOffset': len(records),
            }
            return 200, json.dumps(body).encode()
        if target.path == '/log-read':
            return await self.read(topic, query)
        if target.path == '/log-append':
            size = struct.unpack('>I', request.body[:4])[0]
            content = request.body[4 : 4 + size]
            key = content[1 : 1 + content[0]].decode()
            end = len(records)
            if 'at' in query and int(query['at']) != end:
                return 412, json.dumps({'endOffset': end}).encode()
            await self.append(topic, [(key, content[1 + content[0] :])])
            return 200, json.dumps(
                {'offset': end, 'endOffset': end + 1}
            ).encode()
        return 404, b'{}'

    async def read(self, topic, query):
        start = int(query['from'])
        wait = int(query.get('waitMs', 0)) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait), self.changed:
                await self.changed.wait_for(
                    lambda: len(self.topics.get(topic, [])) > start
                )
        records = self.topics.get(topic, [])
        body = struct.pack('>QQ', len(records), 0)
        for key, value in records[start:]:
            name = key.encode()
            content = bytes((len(name),)) + name + value
            body += struct.pack('>I', len(content)) + content
        return 200, body


class Worker:
    """A worker; ``handle(worker, request, reader, writer)`` answers requests.

    It returns whether the channel may be used for another request.
    """

    def __init__(self, record, name, service, zone, handle, slots=6):
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.handle = handle
        self.slots = slots
        self.state = 'ready'
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.port = 0
        self.arrivals = []
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, '127.0.0.1', self.port, limit=2**20
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self):
        self.seq += 1
        return {
            'service': self.service,
            'address': f'127.0.0.1:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'coldLeftMs': 0,
            'seq': self.seq,
            'born': self.born,
        }

    async def beat(self, store):
        while True:
            if not store.is_away:
                await store.put('keyed.servers', self.name, self.entry())
            await asyncio.sleep(BEAT_SECONDS)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_head(reader)
                if not await self.handle(self, request, reader, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # The scenario has ended.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset_all(self):
        for writer in tuple(self.writers):
            writer.transport.abort()


async def read_body(request, reader):
    if 'content-length' in request.headers:
        request.body = await reader.readexactly(
            int(request.headers['content-length'])
        )
    return request.body


def signed(request, status=200, extra=()):
    return [
        ('X-Primroseyoke-Request-Id', request.headers['x-primroseyoke-request-id']),
        ('X-Primroseyoke-Response-Signature', SIGNATURE),
        *extra,
    ]


class Gateway:
    """One gateway process, started with the command of the deploy file."""

    def __init__(self, record, folder, store, number=1, peer_port=0, zone='za', limits=None, seeds=()):
        self.record = record
        self.address = f'127.0.0.{10 + number}'
        self.front = free_port(self.address)
        self.ready = free_port(self.address)
        self.path = os.path.join(folder, f'settings-{number}.yaml')
        self.log_path = os.path.join(folder, f'gateway-{number}.log')
        self.process = None
        self.name = f'edge-{zone}-{number}'
        self.settings = {
            'node': self.name,
            'role': 'gateway',
            'class': 'edge',
            'serves': ['edge', 'control'],
            'ip': self.address,
            'zone': zone,
            'region': 'r',
            'zones': {'za': 'r', 'zb': 'r', 'zc': 'r'},
            'listen': {
                'front': f'{self.address}:{self.front}',
                'ready': f'{self.address}:{self.ready}',
            },
            'internalPorts': [peer_port, peer_port + 15] if peer_port else [],
            'seeds': list(seeds),
            'bootstrap': True,
            'limits': limits or {'memoryMb': 300, 'maxFds': 4100},
            'heartbeatMs': 1200,
            'bounds': {
                'contactMs': 3000,
                'drainMs': 2000,
                'graceS': 8,
                'configMs': 2000,
                'budgetRatio': 0.2,
                'budgetWindowS': 10,
                'budgetSlack': 92,
            },
            'provider': {'address': f'127.0.0.1:{store.port}', 'form': 'log'},
        }

    def write_settings(self):
        with open(self.path, 'w', encoding='utf-8') as file:
            json.dump(self.settings, file)

    def spawn(self):
        self.write_settings()
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PRIMROSEYOKE_CONFIG'] = self.path
        environment['PYTHONPATH'] = os.path.join(ROOT, 'target', 'deps')
        with open(self.log_path, 'ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-m', 'primroseyoke.platform'],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record.add(self.name, f'started as process {self.process.pid}')

    async def start(self, seconds=20):
        self.spawn()
        deadline = time.monotonic() + seconds
        while not await self.is_ready():
            if time.monotonic() > deadline or self.process.poll() is not None:
                raise RuntimeError('the gateway did not become ready')
            await asyncio.sleep(0.1)

    async def is_ready(self):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(
                self.address, self.ready
            )
            writer.write(b'GET /ready HTTP/1.1\r\nHost: a\r\n\r\n')
            line = await reader.readline()
            writer.close()
            return b' 200 ' in line
        return False

    def send_signal(self, number):
        self.record.add(self.name, f'gets {signal.Signals(number).name}')
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Client:
    """A channel of a client."""

    def __init__(self, record, gateway):
        self.record = record
        self.gateway = gateway

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.gateway.address, self.gateway.front, limit=2**22
        )

    def send(self, identity, method, path, body=b'', timeout_ms=1500, extra=(), key=True):
        self.record.add('client', f'sends {identity} {method} {path}')
        self.writer.write(
            encode(
                f'{method} {path} HTTP/1.1',
                [
                    ('Host', HOST),
                    ('X-Primroseyoke-Request-Id', identity),
                    ('X-Primroseyoke-Request-Timeout-Ms', str(timeout_ms)),
                    *([('Authorization', f'Bearer {KEY}')] if key else ()),
                    *extra,
                ],
                body,
                length=bool(body) or method != 'GET',
            )
        )

    async def receive(self):
        return await read_message(self.reader)

    def close(self):
        self.writer.close()


def model_report(worker, **state):
    """Return the body of a worker's ``/report``."""
    return {
        'phase': 'mixed',
        'models': [{'name': 'm', 'version': 1, 'adapters': []}],
        'busy': False,
        'seq': 0,
        'queued': 0,
        'active': 0,
        'kvUsed': 0,
        'kvTotal': 140000,
        'handles': 0,
        'pace': 1,
        'born': worker.born,
        **state,
    }


def json_answer(status, body, request=None):
    headers = [('Content-Type', 'application/json')]
    name = 'x-primroseyoke-request-id'
    if request is not None and name in request.headers:
        headers.append(('X-Primroseyoke-Request-Id', request.headers[name]))
    return encode(
        f'HTTP/1.1 {status}',
        headers,
        json.dumps(body).encode(),
    )


def run_case(folder, scenario):
    """Run a scenario and exit with 0, 1 or 2; see the issue."""
    record = Record(os.path.join(folder, 'record.txt'))
    with tempfile.TemporaryDirectory() as temporary:
        try:
            status = asyncio.run(scenario(record, temporary))
        except Exception as error:
            record.add('result', f'the case could not run: {error!r}')
            status = 2
        kept = os.environ.get('KEEP_LOGS')
        for name in os.listdir(temporary) if kept else ():
            with open(os.path.join(temporary, name)) as source:
                with open(os.path.join(kept, name), 'w') as target:
                    target.write(source.read())
    sys.exit(status)


def configuration(routes, services, version=7):
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': 'hule930', 'apiKeys': [KEY]}],
    }


def plain_route(name, prefix, service, kind, timeout_ms=2000, **more):
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': prefix,
        'kind': kind,
        'timeoutMs': timeout_ms,
        'aimMs': 150,
        'priority': 2,
        'service': service,
        'attempts': 2 if kind == 'idempotent' else 1,
        **more,
    }
