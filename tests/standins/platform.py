"""Stand-ins for the platform's store and upstreams, served on loopback."""

import asyncio
import base64
import dataclasses
import json
import struct
import time
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs, urlsplit

from primroseyoke.gateway.configuration import CallerLimits
from primroseyoke.gateway.listeners import HttpListener, ResponseWriter
from primroseyoke.gateway.requests import CallerRequest
from primroseyoke.platform.headers import HeaderCodec

RequestHandler = Callable[
    ['StandInUpstream', CallerRequest, ResponseWriter], Awaitable[None]
]
RECORD_LENGTH = struct.Struct('>I')
READ_HEADER = struct.Struct('>QQ')


class _LoopbackServer:
    """HTTP server on a free loopback port."""

    def __init__(self) -> None:
        self.listener = HttpListener(
            HeaderCodec(),
            self.handle,
            CallerLimits,
        )
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self.listener.create_protocol,
            '127.0.0.1',
            self.port,
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for connection in tuple(self.listener.connections):
            connection.abort()

    async def handle(
        self, request: CallerRequest, response: ResponseWriter
    ) -> None:
        raise NotImplementedError


class StandInStore(_LoopbackServer):
    """In-memory implementation of the store's keyed topics."""

    def __init__(self) -> None:
        super().__init__()
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.first_offsets: dict[str, int] = {}
        self.down = False
        #: Incrementing it stalls the reads that are waiting; later reads are
        #: answered.
        self.stall_generation = 0
        self.request_count = 0
        #: Answers 404 for a topic without records, as the platform's store.
        self.creates_topics = False
        #: Sent with each response; None for a store without eras.
        self.era: object = None

    def restore(self, counts: dict[str, int]) -> None:
        """Come back from a copy with so many records of some topics."""
        self.era = int(self.era or 0) + 1
        for topic, count in counts.items():
            del self.topics[topic][count:]

    def put(self, topic: str, key: str, content: object) -> None:
        value = content if isinstance(content, bytes) else _encode_json(content)
        self.topics.setdefault(topic, []).append((key, value))

    def expire_records(self, topic: str) -> None:
        self.first_offsets[topic] = len(self.topics.get(topic, ()))

    async def handle(
        self, request: CallerRequest, response: ResponseWriter
    ) -> None:
        self.request_count += 1
        if self.down:
            response.abort()
            return
        parameters = parse_qs(urlsplit(request.target).query)
        query = {name: texts[0] for name, texts in parameters.items()}
        if request.path != '/log-append' and (
            self.creates_topics and query['topic'] not in self.topics
        ):
            response.respond(404, self._headers(), b'{}')
        elif request.path == '/log-newest':
            response.respond(200, self._headers(), self._newest(query))
        elif request.path == '/log-read':
            await self._read(query, response)
        else:
            status, content = self._append(query, bytes(request.body))
            response.respond(status, self._headers(), _encode_json(content))

    def _headers(self) -> list[tuple[bytes, bytes]]:
        if self.era is None:
            return []
        return [(b'store-era', str(self.era).encode())]

    def _newest(self, query: dict[str, str]) -> bytes:
        records = self.topics.get(query['topic'], [])
        newest = {
            key: (offset, value) for offset, (key, value) in enumerate(records)
        }
        return _encode_json(
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

    async def _read(
        self, query: dict[str, str], response: ResponseWriter
    ) -> None:
        topic = query['topic']
        start = int(query['from'])
        end = len(self.topics.get(topic, ()))
        if not self.first_offsets.get(topic, 0) <= start <= end:
            response.respond(410, self._headers(), b'{}')
            return
        deadline = time.monotonic() + int(query.get('waitMs', '0')) / 1000
        generation = self.stall_generation
        while len(self.topics.get(topic, ())) <= start:
            if generation != self.stall_generation:
                await asyncio.sleep(60)
            if time.monotonic() >= deadline:
                break
            await asyncio.sleep(0.01)
        records = self.topics.get(topic, [])
        content = READ_HEADER.pack(
            len(records), self.first_offsets.get(topic, 0)
        )
        for key, value in records[start:]:
            name = key.encode()
            record = bytes((len(name),)) + name + value
            content += RECORD_LENGTH.pack(len(record)) + record
        response.respond(200, self._headers(), content)

    def _append(
        self, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, int]]:
        """Append a record, only at offset ``at`` if that is given."""
        end = len(self.topics.get(query['topic'], ()))
        if int(query.get('at', end)) != end:
            return 412, {'endOffset': end}
        (length,) = RECORD_LENGTH.unpack_from(body)
        record = body[RECORD_LENGTH.size : RECORD_LENGTH.size + length]
        key_length = record[0]
        self.put(
            query['topic'],
            record[1 : 1 + key_length].decode(),
            record[1 + key_length :],
        )
        return 200, {'offset': end, 'endOffset': end + 1}


@dataclasses.dataclass
class ReceivedRequest:
    """Request that an upstream received."""

    request: CallerRequest
    headers: dict[bytes, bytes]
    cancelled: bool = False


class StandInUpstream(_LoopbackServer):
    """Upstream that answers requests with the handler of a test."""

    def __init__(self, name: str, handler: RequestHandler) -> None:
        super().__init__()
        self.name = name
        self.handler = handler
        self.received_requests: list[ReceivedRequest] = []

    async def handle(
        self, request: CallerRequest, response: ResponseWriter
    ) -> None:
        headers = dict(request.headers)
        received = ReceivedRequest(request, headers)
        self.received_requests.append(received)
        try:
            await self.handler(self, request, response)
        except asyncio.CancelledError:
            received.cancelled = True
            raise

    def entry(self, service: str, **overrides: object) -> dict[str, object]:
        return {
            'service': service,
            'address': f'127.0.0.1:{self.port}',
            'zone': 'zone-a',
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'coldLeftMs': 0,
            'seq': 1,
            **overrides,
        }

    def signature_headers(
        self, request: CallerRequest
    ) -> list[tuple[bytes, bytes]]:
        return [
            (b'x-primroseyoke-request-id', request.request_id.encode()),
            (b'x-primroseyoke-response-signature', self.name.encode()),
        ]


async def answer_ok(
    upstream: StandInUpstream,
    request: CallerRequest,
    response: ResponseWriter,
) -> None:
    response.respond(
        200,
        upstream.signature_headers(request),
        b'done by ' + upstream.name.encode(),
    )


def _encode_json(content: object) -> bytes:
    return json.dumps(content).encode()
