"""Stand-ins for the users' platform: its store and upstreams, on loopback."""

import asyncio
import base64
import dataclasses
import json
import struct
import time
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs, urlsplit

from primroseyoke.gateway.catalogue import CallerLimits
from primroseyoke.gateway.listeners import Answer, CallerListener
from primroseyoke.gateway.requests import CallerRequest
from primroseyoke.platform.headers import HeaderCodec

Behaviour = Callable[
    ['StandInUpstream', CallerRequest, Answer], Awaitable[None]
]
LENGTH = struct.Struct('>I')
OFFSETS = struct.Struct('>QQ')


class _Server:
    """An HTTP server on a free port of loopback."""

    def __init__(self) -> None:
        self.listener = CallerListener(
            HeaderCodec(),
            self.handle,
            CallerLimits,
        )
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self.listener.accept,
            '127.0.0.1',
            self.port,
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for connection in tuple(self.listener.connections):
            connection.abort()

    async def handle(self, request: CallerRequest, answer: Answer) -> None:
        raise NotImplementedError


class StandInStore(_Server):
    """The keyed topics of the platform's store."""

    def __init__(self) -> None:
        super().__init__()
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.first: dict[str, int] = {}
        self.down = False
        #: Requests that wait now never get an answer; later ones do.
        self.silenced = 0
        self.calls = 0

    def put(self, topic: str, key: str, content: object) -> None:
        value = content if isinstance(content, bytes) else _json(content)
        self.topics.setdefault(topic, []).append((key, value))

    def forget(self, topic: str) -> None:
        self.first[topic] = len(self.topics.get(topic, ()))

    async def handle(self, request: CallerRequest, answer: Answer) -> None:
        self.calls += 1
        if self.down:
            answer.abort()
            return
        found = parse_qs(urlsplit(request.target).query)
        query = {name: texts[0] for name, texts in found.items()}
        if request.path == '/log-newest':
            answer.whole(200, (), self._newest(query))
        elif request.path == '/log-read':
            await self._read(query, answer)
        else:
            self._append(query, request.body)
            answer.whole(200, (), b'{}')

    def _newest(self, query: dict[str, str]) -> bytes:
        records = self.topics.get(query['topic'], [])
        newest = {
            key: (offset, value) for offset, (key, value) in enumerate(records)
        }
        return _json(
            {
                'entries': [
                    {
                        'key': key,
                        'value': base64.b64encode(value).decode(),
                        'offset': offset,
                    }
                    for key, (offset, value) in newest.items()
                    if value
                ],
                'hasMore': False,
                'endOffset': len(records),
            }
        )

    async def _read(self, query: dict[str, str], answer: Answer) -> None:
        topic = query['topic']
        start = int(query['from'])
        if start < self.first.get(topic, 0):
            answer.whole(410, (), b'{}')
            return
        deadline = time.monotonic() + int(query.get('waitMs', '0')) / 1000
        silenced = self.silenced
        while len(self.topics.get(topic, ())) <= start:
            if silenced != self.silenced:
                await asyncio.sleep(60)
            if time.monotonic() >= deadline:
                break
            await asyncio.sleep(0.01)
        records = self.topics.get(topic, [])
        content = OFFSETS.pack(len(records), self.first.get(topic, 0))
        for key, value in records[start:]:
            name = key.encode()
            record = bytes((len(name),)) + name + value
            content += LENGTH.pack(len(record)) + record
        answer.whole(200, (), content)

    def _append(self, query: dict[str, str], body: bytes) -> None:
        (length,) = LENGTH.unpack_from(body)
        record = body[LENGTH.size : LENGTH.size + length]
        size = record[0]
        self.put(
            query['topic'], record[1 : 1 + size].decode(), record[1 + size :]
        )


@dataclasses.dataclass
class Seen:
    """A request that an upstream got."""

    request: CallerRequest
    headers: dict[bytes, bytes]
    cancelled: bool = False


class StandInUpstream(_Server):
    """An upstream that behaves as a test tells it to."""

    def __init__(self, name: str, behave: Behaviour) -> None:
        super().__init__()
        self.name = name
        self.behave = behave
        self.seen: list[Seen] = []

    async def handle(self, request: CallerRequest, answer: Answer) -> None:
        headers = dict(request.headers)
        seen = Seen(request, headers)
        self.seen.append(seen)
        try:
            await self.behave(self, request, answer)
        except asyncio.CancelledError:
            seen.cancelled = True
            raise

    def entry(self, service: str, **changed: object) -> dict[str, object]:
        return {
            'service': service,
            'address': f'127.0.0.1:{self.port}',
            'zone': 'zone-a',
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'coldLeftMs': 0,
            'seq': 1,
            **changed,
        }

    def signed(self, request: CallerRequest) -> list[tuple[bytes, bytes]]:
        return [
            (b'x-primroseyoke-request-id', request.request_id.encode()),
            (b'x-primroseyoke-response-signature', self.name.encode()),
        ]


async def answer_ok(
    upstream: StandInUpstream,
    request: CallerRequest,
    answer: Answer,
) -> None:
    answer.whole(
        200, upstream.signed(request), b'done by ' + upstream.name.encode()
    )


def _json(content: object) -> bytes:
    return json.dumps(content).encode()
