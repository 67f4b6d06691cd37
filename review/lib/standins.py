"""Stand-ins for the platform's store, workers and clients (stdlib only).

All addresses are loopback. The gateways are the project's own program, started
with the command of the deploy file, each at a loopback address of its own.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
STARTED = time.monotonic()
KEY = 'key-of-workshop'
HOST = 'shop.example'


class Record:
    """Writes ``record.txt`` beside the script."""

    def __init__(self, folder):
        self.stream = open(os.path.join(folder, 'record.txt'), 'w')

    def __call__(self, text):
        line = f'{time.monotonic() - STARTED:8.3f} {text}'
        self.stream.write(line + '\n')
        self.stream.flush()
        print(line, flush=True)


def free_port(ip='127.0.0.1'):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


# Gateways use the same port for each other, at addresses of their own.
PEER_PORT = free_port() - 16


async def read_head(reader):
    """Return the start line and the headers (lower case), None at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return body
            body += part[:-2]
    return await reader.readexactly(int(headers.get('content-length', '0')))


class Server:
    """HTTP/1.1 server; ``handle`` gets method, target, headers, body, writer."""

    def __init__(self, ip='127.0.0.1'):
        self.ip = ip
        self.port = free_port(ip)
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=2**16
        )

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(' ', 2)
                body = await read_body(reader, head[1])
                if await self.handle(method, target, head[1], body, writer) is False:
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def reply(self, writer, status, headers, body):
        fields = ''.join(f'{name}: {value}\r\n' for name, value in headers)
        writer.write(
            f'HTTP/1.1 {status} X\r\n{fields}Content-Length: {len(body)}\r\n\r\n'.encode()
            + body
        )
        await writer.drain()


class Store(Server):
    """The keyed topics of the platform's store."""

    def __init__(self):
        super().__init__()
        self.topics = {}

    def put(self, topic, key, content):
        value = content if isinstance(content, bytes) else json.dumps(content).encode()
        self.topics.setdefault(topic, []).append((key, value))

    async def handle(self, method, target, headers, body, writer):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        records = self.topics.setdefault(query['topic'], [])
        await asyncio.sleep(0.004)
        json_type = [('Content-Type', 'application/json')]
        if url.path == '/log-append':
            offset = len(records)
            while body:
                (size,) = struct.unpack('>I', body[:4])
                record, body = body[4 : 4 + size], body[4 + size :]
                records.append((record[1 : 1 + record[0]].decode(), record[1 + record[0] :]))
            answer = {'offset': offset, 'endOffset': len(records)}
            await self.reply(writer, 200, json_type, json.dumps(answer).encode())
        elif url.path == '/log-newest':
            newest = {key: (i, value) for i, (key, value) in enumerate(records)}
            entries = [
                {'key': key, 'value': base64.b64encode(value).decode(), 'offset': i}
                for key, (i, value) in sorted(newest.items())
                if value
            ]
            answer = {'entries': entries, 'hasMore': False, 'endOffset': len(records)}
            await self.reply(writer, 200, json_type, json.dumps(answer).encode())
        else:
            start = int(query['from'])
            until = time.monotonic() + int(query.get('waitMs', '0')) / 1000
            while len(records) <= start and time.monotonic() < until:
                await asyncio.sleep(0.01)
            content = struct.pack('>QQ', len(records), 0)
            for key, value in records[start:]:
                record = bytes((len(key.encode()),)) + key.encode() + value
                content += struct.pack('>I', len(record)) + record
            await self.reply(writer, 200, [], content)


class Worker(Server):
    """A worker; tells a sound answer from a run by ``runs`` (request ids)."""

    def __init__(self, name, service, zone='zone-a', ip='127.0.0.1'):
        super().__init__(ip)
        self.name, self.service, self.zone = name, service, zone
        self.runs = []

    def entry(self, **changes):
        return {
            'service': self.service, 'address': f'{self.ip}:{self.port}',
            'zone': self.zone, 'version': 'v1', 'slots': 6, 'state': 'ready',
            'coldLeftMs': 0, 'seq': 1, 'born': 1790000000000, **changes,
        }

    def signed(self, headers):
        request_id = headers['x-primroseyoke-request-id']
        return [
            ('X-Primroseyoke-Request-Id', request_id),
            ('X-Primroseyoke-Response-Signature', f'{self.name}.{request_id}'),
        ]

    async def handle(self, method, target, headers, body, writer):
        if headers.get('x-primroseyoke-expect-instance', self.name) != self.name:
            await self.reply(writer, 421, [('X-Primroseyoke-Instance-Id', self.name)], b'')
            return True
        return await self.run(method, target, headers, body, writer)


def route(prefix, kind, service, **changes):
    return {
        'name': prefix.strip('/'), 'host': HOST, 'pathPrefix': prefix, 'kind': kind,
        'timeoutMs': 8000, 'aimMs': 500, 'priority': 1, 'service': service,
        'attempts': 2, 'public': False, **changes,
    }


def service(name, **changes):
    return {
        'name': name, 'healthPath': '/healthz', 'maxConns': 298, 'protocol': 'h1',
        'tls': False, 'coldS': 0.0, 'coldPerS': 0.0, **changes,
    }


def configuration(routes, services, **limits):
    return {
        'version': 7, 'routes': routes, 'services': services,
        'limits': {
            'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000, **limits,
        },
        'tenants': [{'name': 'workshop', 'apiKeys': [KEY], 'priority': 1}],
    }


class Gateway:
    """One gateway, started as the deploy file says."""

    def __init__(self, number, store, folder, zone='zone-a', seeds=(), **limits):
        self.ip = f'127.0.0.{10 + number}'
        self.front, self.ready, control = (free_port(self.ip) for _ in range(3))
        self.settings = {
            'node': f'edge-{number}', 'role': 'gateway', 'class': 'edge',
            'serves': ['edge', 'control'], 'ip': self.ip, 'zone': zone,
            'region': 'r', 'zones': {'zone-a': 'r', 'zone-b': 'r', 'zone-c': 'r'},
            'listen': {
                'front': f'{self.ip}:{self.front}', 'ready': f'{self.ip}:{self.ready}',
                'control': f'{self.ip}:{control}',
            },
            'internalPorts': [PEER_PORT, PEER_PORT + 15], 'seeds': [f'{seed}:1' for seed in seeds],
            'bootstrap': True, 'heartbeatMs': 1200, 'dataDir': None,
            'limits': {
                'cpuShare': 0.537, 'cores': 2, 'memoryMb': 300, 'maxFds': 4100,
                'linkMbps': 1000.0, 'diskMb': 0, **limits,
            },
            'tolerate': {'machines': 1, 'zones': 1, 'regions': 0},
            'bounds': {
                'contactMs': 3000, 'drainMs': 2000, 'graceS': 8, 'lossSlackMs': 200,
                'configMs': 2000, 'budgetRatio': 0.2, 'budgetWindowS': 10,
                'budgetSlack': 94, 'stall_ms': 1500,
            },
            'provider': {'address': f'{store.ip}:{store.port}', 'form': 'log'},
        }
        self.path = os.path.join(folder, f'gateway-{number}.yaml')
        self.log_path = os.path.join(folder, f'gateway-{number}.log')
        self.process = None

    def start(self):
        with open(self.path, 'w') as stream:
            json.dump(self.settings, stream)
        environment = {
            'PATH': os.environ.get('PATH', ''), 'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': os.path.join(ROOT, 'target', 'deps'),
            'PRIMROSEYOKE_CONFIG': self.path,
        }
        self.process = subprocess.Popen(
            ['python3', '-m', 'primroseyoke.platform'], cwd=ROOT, env=environment,
            stdout=open(self.log_path, 'w'), stderr=subprocess.STDOUT,
        )

    async def wait_ready(self, seconds=20):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                if await self.is_ready():
                    return
            except (OSError, EOFError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CouldNotRun('a gateway does not become ready')

    async def is_ready(self):
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
            writer.write(b'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')
            head = await read_head(reader)
            writer.close()
        return head is not None and head[0].split()[1] == '200'

    def resident_mb(self):
        with open(f'/proc/{self.process.pid}/status') as stream:
            for line in stream:
                if line.startswith('VmRSS'):
                    return int(line.split()[1]) / 1024
        return 0.0

    def socket_count(self):
        folder = f'/proc/{self.process.pid}/fd'
        count = 0
        for name in os.listdir(folder):
            try:
                count += os.readlink(os.path.join(folder, name)).startswith('socket')
            except OSError:
                continue
        return count

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class CouldNotRun(Exception):
    """The case could not run."""


def request_head(method, path, request_id, timeout_ms, length=0, key=KEY, extra=''):
    return (
        f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'X-Primroseyoke-Request-Id: {request_id}\r\n'
        f'X-Primroseyoke-Request-Timeout-Ms: {timeout_ms}\r\n'
        f'Authorization: Bearer {key}\r\n{extra}'
        f'Content-Length: {length}\r\n\r\n'
    ).encode()


def main(folder, play):
    """Run ``play(record, temporary folder, gateways)``; exit with its verdict."""
    record = Record(folder)
    gateways = []
    status = 2
    with tempfile.TemporaryDirectory() as temporary:
        try:
            async def bounded():
                async with asyncio.timeout(115):
                    return await play(record, temporary, gateways)

            status = 1 if asyncio.run(bounded()) else 0
        except Exception as error:  # Nothing is known of the rule then.
            record(f'could not run: {error!r}')
        finally:
            for gateway in gateways:
                gateway.kill()
    record(f'exit status {status}')
    sys.exit(status)
