"""Stand-ins of the platform, its workers and clients, on loopback addresses.

Standard library only. They speak what PROTOCOL.md says and no more.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
LENGTH = struct.Struct('>I')
LINGER_RESET = struct.pack('ii', 1, 0)


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = (pathlib.Path(folder) / 'record.txt').open('w')

    def write(self, text):
        elapsed = time.monotonic() - self.started
        self.file.write(f'{elapsed:8.3f} {text}\n')
        self.file.flush()


def free_port(address):
    with socket.socket() as sock:
        sock.bind((address, 0))
        return sock.getsockname()[1]


class Request:
    """A request, or the head of one, with lower-case header names."""

    def __init__(self, method, target, headers, body=b''):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        parts = urllib.parse.urlsplit(target)
        self.path = parts.path
        self.query = dict(urllib.parse.parse_qsl(parts.query))


async def read_head(reader):
    """Return the first line and the headers of a message; None at its end."""
    lines = []
    while True:
        line = await reader.readline()
        if not line:
            return None
        line = line.strip()
        if line:
            lines.append(line.decode('latin-1'))
        elif lines:
            break
    headers = {}
    for text in lines[1:]:
        name, _, value = text.partition(':')
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get('content-length', 0)))


def encode_answer(status, headers, body):
    fields = {'Content-Length': len(body), **headers}
    head = ''.join(f'{name}: {value}\r\n' for name, value in fields.items())
    return f'HTTP/1.1 {status} x\r\n{head}\r\n'.encode() + body


class Server:
    """HTTP server at a loopback address; requests come one by one."""

    def __init__(self, address='127.0.0.1'):
        self.address = address
        self.port = 0
        self.server = None
        self.writers = set()

    @property
    def name(self):
        return f'{self.address}:{self.port}'

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.address, self.port, limit=2**22
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def refuse(self):
        """Reset all connections, and refuse new ones until ``start``."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in tuple(self.writers):
            reset(writer)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while head := await read_head(reader):
                line, headers = head
                method, target, _ = line.split(' ', 2)
                request = Request(method, target, headers)
                request.body = await read_body(reader, headers)
                if not await self.handle(request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def respond(self, writer, status, headers, body=b''):
        writer.write(encode_answer(status, headers, body))
        await writer.drain()
        return True

    async def handle(self, request, writer):
        """Answer; return whether the connection goes on."""
        raise NotImplementedError


def reset(writer):
    sock = writer.transport.get_extra_info('socket')
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


class Store(Server):
    """Keyed topics of the platform's store."""

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.changed = asyncio.Event()

    def put(self, topic, key, value):
        content = value if isinstance(value, bytes) else json.dumps(value)
        if isinstance(content, str):
            content = content.encode()
        self.topics.setdefault(topic, []).append((key, content))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request, writer):
        query = request.query
        topic = query.get('topic', '')
        records = self.topics.get(topic, [])
        if request.path == '/log-newest':
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest[key] = (offset, value)
            entries = [
                {
                    'key': key,
                    'value': base64.b64encode(value).decode(),
                    'offset': offset,
                }
                for key, (offset, value) in sorted(newest.items())
                if value
            ]
            content = {
                'entries': entries,
                'hasMore': False,
                'endOffset': len(records),
            }
            return await self._json(writer, 200, content)
        if request.path == '/log-read':
            return await self._read(writer, topic, query)
        if request.path == '/log-append':
            end = len(records)
            if int(query.get('at', end)) != end:
                return await self._json(writer, 412, {'endOffset': end})
            (length,) = LENGTH.unpack_from(request.body)
            record = request.body[4 : 4 + length]
            size = record[0]
            self.put(topic, record[1 : 1 + size].decode(), record[1 + size :])
            content = {'offset': end, 'endOffset': end + 1}
            return await self._json(writer, 200, content)
        return await self._json(writer, 404, {})

    async def _read(self, writer, topic, query):
        start = int(query['from'])
        until = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while len(self.topics.get(topic, ())) <= start:
            left = until - time.monotonic()
            if left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self.changed.wait()
        records = self.topics.get(topic, [])
        body = struct.pack('>QQ', len(records), 0)
        for key, value in records[start:]:
            name = key.encode()
            record = bytes((len(name),)) + name + value
            body += LENGTH.pack(len(record)) + record
        return await self.respond(writer, 200, {}, body)

    async def _json(self, writer, status, content):
        body = json.dumps(content).encode()
        headers = {'Content-Type': 'application/json'}
        return await self.respond(writer, status, headers, body)


class Gateway:
    """The project's gateway, started with the command of the deploy file."""

    def __init__(self, folder, number, store, zone, zones, peer_port, **other):
        self.address = f'127.0.0.{10 + number}'
        self.front = free_port(self.address)
        self.ready = free_port(self.address)
        self.folder = pathlib.Path(folder)
        self.number = number
        self.process = None
        self.settings = {
            'node': f'edge-{zone}-{number}',
            'role': 'gateway',
            'class': 'edge',
            'serves': ['edge', 'control'],
            'ip': self.address,
            'zone': zone,
            'region': zones[zone],
            'zones': zones,
            'listen': {
                'front': f'{self.address}:{self.front}',
                'ready': f'{self.address}:{self.ready}',
                'control': f'{self.address}:{free_port(self.address)}',
            },
            'internalPorts': [peer_port, peer_port + 15],
            'seeds': ['127.0.0.11:1'],
            'bootstrap': True,
            'limits': {
                'cpuShare': 0.537,
                'cores': 2,
                'memoryMb': 300,
                'maxFds': 4100,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'dataDir': None,
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeatMs': 1200,
            'contracts': [
                'base', 'drain', 'config', 'cost', 'retry', 'recover',
                'engine', 'stream', 'tenants', 'places', 'pressure',
                'platform', 'experts',
            ],
            'tolerate': {'machines': 1, 'zones': 1, 'regions': 0},
            'bounds': {
                'contactMs': 3000, 'ackMs': 4000, 'drainMs': 2000,
                'graceS': 8, 'lossSlackMs': 200, 'configMs': 2000,
                'budgetRatio': 0.2, 'budgetWindowS': 10, 'budgetSlack': 92,
                'coldExcess': 1.5, 'coldSlack': 5, 'evacMs': 5000,
                'eventDelayMs': 120, 'stall_ms': 1500, 'requireFence': False,
            },
            'provider': {
                'address': store.name,
                'form': 'log',
                'writesPerS': 400,
                'readsPerS': 2000,
            },
            **other,
        }

    def start(self):
        path = self.folder / f'settings-{self.number}.yaml'
        path.write_text(json.dumps(self.settings, indent=1))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PRIMROSEYOKE_CONFIG'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with (self.folder / f'gateway-{self.number}.log').open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-m', 'primroseyoke.platform'],
                cwd=ROOT, env=environment, stdout=log, stderr=log,
            )

    async def wait_ready(self, seconds=20):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            with contextlib.suppress(OSError, ValueError, IndexError):
                reader, writer = await asyncio.open_connection(
                    self.address, self.ready
                )
                writer.write(b'GET /ready HTTP/1.1\r\nHost: a\r\n\r\n')
                line = await reader.readline()
                writer.close()
                if b' 200 ' in line:
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f'gateway {self.number} did not become ready')

    def signal(self, signum):
        self.process.send_signal(signum)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(OSError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def log(self):
        return (self.folder / f'gateway-{self.number}.log').read_text()


class CannotRun(Exception):
    """The case could not be played."""


class Answer:
    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.complete = False


class Client:
    """One connection of a client."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address, port):
        return cls(*await asyncio.open_connection(address, port, limit=2**22))

    async def call(self, method, path, headers, body=b'', patience=10.0):
        """Send a request; return the answer, complete or not.

        Reading ends after a gap of ``patience`` seconds.
        """
        fields = {'Host': 'shop.example', **headers}
        if body or method == 'POST':
            fields['Content-Length'] = len(body)
        head = ''.join(f'{name}: {text}\r\n' for name, text in fields.items())
        self.writer.write(f'{method} {path} HTTP/1.1\r\n{head}\r\n'.encode())
        self.writer.write(body)
        answer = Answer()
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, ValueError,
            TimeoutError,
        ):
            await self.writer.drain()
            async with asyncio.timeout(patience):
                found = await read_head(self.reader)
            if found is None:
                return answer
            line, answer.headers = found
            answer.status = int(line.split(' ')[1])
            await self._read_body(answer, patience)
        return answer

    async def _read_body(self, answer, patience):
        if answer.headers.get('transfer-encoding', '').lower() == 'chunked':
            while True:
                async with asyncio.timeout(patience):
                    size = int(await self.reader.readline(), 16)
                    answer.body += await self.reader.readexactly(size)
                    await self.reader.readline()
                if not size:
                    break
        else:
            size = int(answer.headers.get('content-length', 0))
            async with asyncio.timeout(patience):
                answer.body = await self.reader.readexactly(size)
        answer.complete = True

    def close(self):
        self.writer.close()


def main(folder, play):
    """Run ``play(record, temporary folder)``; exit with its verdict."""
    record = Record(folder)
    code = 2
    with tempfile.TemporaryDirectory() as temporary:
        try:
            code = asyncio.run(play(record, temporary))
        except CannotRun as error:
            record.write(f'could not run: {error}')
        except Exception as error:  # noqa: BLE001 - reported as not run
            record.write(f'could not run: {error!r}')
    verdict = {0: 'the rule held', 1: 'THE RULE WAS BROKEN'}
    record.write(verdict.get(code, 'the case could not run'))
    sys.exit(code)
