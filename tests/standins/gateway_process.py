"""Gateways as separate processes, and callers that talk to them by sockets."""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import h11

from tests.gateway.deployment import API_KEY, VIRTUAL_HOST

ROOT = pathlib.Path(__file__).parents[2]
READY_SECONDS = 20


class GatewayProcess:
    """One gateway program at a loopback address of its own."""

    def __init__(
        self,
        folder: pathlib.Path,
        store_port: int,
        number: int = 1,
        memory_mb: float = 300,
        peer_port: int = 0,
        grace_s: float = 8,
        availability_zone: str = 'zone-a',
    ) -> None:
        self.address = f'127.0.0.{10 + number}'
        self.callers_port = _free_port_at(self.address)
        self.readiness_port = _free_port_at(self.address)
        self.log_path = folder / f'gateway-{number}.log'
        self.settings_path = folder / f'gateway-{number}.yaml'
        self.process: subprocess.Popen[bytes] | None = None
        self.stopping = False
        self.handles_signals = False
        self.settings = {
            'node': f'edge-{number}',
            'ip': self.address,
            'zone': availability_zone,
            'zones': {f'zone-{zone}': 'r' for zone in 'abc'},
            'listen': {
                'front': f'{self.address}:{self.callers_port}',
                'ready': f'{self.address}:{self.readiness_port}',
            },
            'internalPorts': [peer_port, peer_port + 1] if peer_port else [],
            'seeds': [],
            'limits': {'memoryMb': memory_mb},
            'bounds': {'graceS': grace_s, 'budgetSlack': 92},
            'provider': {'address': f'127.0.0.1:{store_port}'},
        }

    async def start(self) -> None:
        """Start the program and wait until it is ready."""
        self.handles_signals = False
        self.settings_path.write_text(json.dumps(self.settings))
        environment = {
            **os.environ,
            'PRIMROSEYOKE_CONFIG': str(self.settings_path),
        }
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'primroseyoke.platform'],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        deadline = time.monotonic() + READY_SECONDS
        while not await self.is_ready():
            assert time.monotonic() < deadline, self.log_path.read_text()
            await asyncio.sleep(0.05)
        self.handles_signals = True

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    async def is_ready(self) -> bool:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(
                self.address, self.readiness_port
            )
            writer.write(b'GET /ready HTTP/1.1\r\nHost: a\r\n\r\n')
            line = await reader.readline()
            writer.close()
            return b' 200 ' in line
        return False

    def resident_mb(self) -> float:
        """Return the resident size, 0 if the process has ended."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            status = pathlib.Path(f'/proc/{self.process.pid}/status')
            for line in status.read_text().splitlines():
                if line.startswith('VmRSS'):
                    return int(line.split()[1]) / 1024
        return 0

    def send_signal(self, signum: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(signum)

    def kill(self) -> None:
        if self.running:
            self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


@dataclasses.dataclass
class ReceivedResponse:
    """A response as the caller got it; status 0 for none."""

    status: int = 0
    body: bytes = b''
    complete: bool = False
    closes: bool = False
    ended_at: float = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


class CallerConnection:
    """A connection of a caller that is kept open between its requests."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.parser = h11.Connection(h11.CLIENT)
        self.received_bytes = 0

    @classmethod
    async def open(cls, gateway: GatewayProcess) -> 'CallerConnection':
        reader, writer = await asyncio.open_connection(
            gateway.address, gateway.callers_port
        )
        return cls(reader, writer)

    def send_head(
        self,
        path: str,
        request_id: str,
        length: int | None,
        timeout_ms: int = 8000,
        method: str = 'POST',
        api_key: str = API_KEY,
    ) -> None:
        """Send the head of a request; a body without a length is chunked."""
        framing = (
            ('Transfer-Encoding', 'chunked')
            if length is None
            else ('Content-Length', str(length))
        )
        head = h11.Request(
            method=method,
            target=path,
            headers=[
                ('Host', VIRTUAL_HOST),
                ('X-Primroseyoke-Request-Id', request_id),
                ('X-Primroseyoke-Request-Timeout-Ms', str(timeout_ms)),
                ('Authorization', f'Bearer {api_key}'),
                framing,
            ],
        )
        self.writer.write(self.parser.send(head) or b'')

    async def send_part(self, content: bytes) -> None:
        self.writer.write(self.parser.send(h11.Data(data=content)) or b'')
        await self.writer.drain()

    async def receive(self) -> ReceivedResponse:
        """End the request; return the response, complete or not."""
        if self.parser.our_state is h11.SEND_BODY:
            self.writer.write(self.parser.send(h11.EndOfMessage()) or b'')
        return await self.receive_answer()

    async def receive_answer(self) -> ReceivedResponse:
        """Return the response, also to a request that is not sent fully."""
        response = ReceivedResponse()
        with contextlib.suppress(h11.RemoteProtocolError, ConnectionError):
            await self._receive(response)
        response.ended_at = time.monotonic()
        return response

    def close(self) -> None:
        self.writer.close()

    async def _receive(self, response: ReceivedResponse) -> None:
        event = await self._next_event()
        while isinstance(event, h11.Response | h11.Data):
            if isinstance(event, h11.Response):
                response.status = event.status_code
                response.headers = {
                    name.decode(): text.decode() for name, text in event.headers
                }
                response.closes = (
                    response.headers.get('connection', '') == 'close'
                )
            else:
                response.body += bytes(event.data)
            event = await self._next_event()
        response.complete = isinstance(event, h11.EndOfMessage)
        if response.complete and self.parser.our_state is h11.DONE:
            with contextlib.suppress(h11.LocalProtocolError):
                self.parser.start_next_cycle()

    async def _next_event(self) -> object:
        event = self.parser.next_event()
        while event is h11.NEED_DATA:
            content = await self.reader.read(65536)
            self.received_bytes += len(content)
            self.parser.receive_data(content)
            event = self.parser.next_event()
        return event


def _free_port_at(address: str) -> int:
    with socket.socket() as sock:
        sock.bind((address, 0))
        return int(sock.getsockname()[1])
