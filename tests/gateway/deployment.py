"""Gateway on loopback with a stand-in store and stand-in upstreams."""

import asyncio
import contextlib
import dataclasses
import socket
import time
from collections.abc import AsyncIterator, Callable, Mapping

import h11

from primroseyoke.gateway.gateway import Gateway
from primroseyoke.gateway.settings import (
    DutySettings,
    GatewaySettings,
    StoreSettings,
)
from primroseyoke.platform.adapter import PlatformAdapter
from primroseyoke.settings import Address
from tests.standins.platform import (
    RequestHandler,
    StandInStore,
    StandInUpstream,
)

VIRTUAL_HOST = 'shop.example'
API_KEY = 'key-of-workshop'


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return int(sock.getsockname()[1])


def route(
    prefix: str, kind: str, service: str, **overrides: object
) -> dict[str, object]:
    return {
        'name': prefix.strip('/'),
        'host': VIRTUAL_HOST,
        'pathPrefix': prefix,
        'kind': kind,
        'timeoutMs': 4000,
        'aimMs': 500,
        'priority': 1,
        'service': service,
        'attempts': 2,
        'public': False,
        **overrides,
    }


def configuration(version: int = 1, **overrides: object) -> dict[str, object]:
    return {
        'version': version,
        'routes': [
            route('/lookup/', 'idempotent', 'app'),
            route('/book/', 'non_idempotent', 'app'),
            route('/open/', 'idempotent', 'app', public=True),
            route(
                '/draft/', 'streaming', 'model', resumable=True, gapAimMs=120
            ),
            route('/once/', 'streaming', 'model', gapAimMs=120),
        ],
        'services': [
            {'name': 'app', 'healthPath': '/healthz', 'maxConns': 100},
            {'name': 'model', 'healthPath': '/healthz', 'maxConns': 100},
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 1000000,
            'headerTimeoutMs': 1000,
            'idleTimeoutMs': 2000,
        },
        'tenants': [{'name': 'workshop', 'apiKeys': [API_KEY]}],
        **overrides,
    }


@dataclasses.dataclass
class CallerResponse:
    """Response as received; ``complete`` if its body ended properly."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


@dataclasses.dataclass
class Deployment:
    """Gateway under test with its store and upstreams."""

    store: StandInStore
    upstreams: dict[str, StandInUpstream]
    gateway: Gateway

    async def call(
        self,
        path: str,
        method: str = 'GET',
        body: bytes = b'',
        key: str = API_KEY,
        timeout_ms: int = 3000,
        request_id: str = 'r-1',
        **headers: str,
    ) -> CallerResponse:
        """Send a request over a new connection; return the response."""
        address = self.gateway.settings.callers
        reader, writer = await asyncio.open_connection(
            address.host,
            address.port,
        )
        parser = h11.Connection(h11.CLIENT)
        request_headers = [
            ('Host', VIRTUAL_HOST),
            ('Content-Length', str(len(body))),
            ('X-Primroseyoke-Request-Id', request_id),
            ('X-Primroseyoke-Request-Timeout-Ms', str(timeout_ms)),
            *((name.replace('_', '-'), text) for name, text in headers.items()),
        ]
        if key:
            request_headers.append(('Authorization', f'Bearer {key}'))
        head = h11.Request(method=method, target=path, headers=request_headers)
        writer.write(parser.send(head) or b'')
        writer.write(parser.send(h11.Data(data=body)) or b'')
        writer.write(parser.send(h11.EndOfMessage()) or b'')
        try:
            return await _receive_response(reader, parser)
        finally:
            writer.close()


async def _receive_response(
    reader: asyncio.StreamReader,
    parser: h11.Connection,
) -> CallerResponse:
    response = CallerResponse(0, {}, b'', complete=False)
    while True:
        try:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await reader.read(65536))
                continue
        except (h11.RemoteProtocolError, ConnectionError):
            return response
        if isinstance(event, h11.Response):
            response.status = event.status_code
            response.headers = {
                name.decode(): text.decode() for name, text in event.headers
            }
        elif isinstance(event, h11.Data):
            response.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            response.complete = True
            return response
        else:
            return response


@contextlib.asynccontextmanager
async def deployment(
    app: tuple[RequestHandler, ...] = (),
    model: tuple[RequestHandler, ...] = (),
    configured: bool = True,
    grace: float = 2.0,
    duties: DutySettings | None = None,
    region_of: Mapping[str, str] | None = None,
) -> AsyncIterator[Deployment]:
    """Run a gateway with one upstream per request handler."""
    store = StandInStore()
    await store.start()
    upstreams = {}
    for service, handlers in (('app', app), ('model', model)):
        for number, handler in enumerate(handlers):
            upstream = StandInUpstream(f'{service}-{number}', handler)
            await upstream.start()
            upstreams[upstream.name] = upstream
            store.put('keyed.servers', upstream.name, upstream.entry(service))
    if configured:
        store.put('keyed.op', 'config', configuration())
    settings = GatewaySettings(
        host='gateway-1',
        availability_zone='zone-a',
        address='127.0.0.1',
        callers=Address('127.0.0.1', free_port()),
        readiness=Address('127.0.0.1', free_port()),
        store=StoreSettings(Address('127.0.0.1', store.port)),
        repeat_slack=92,
        grace=grace,
        duties=duties,
        region_of=region_of or {},
    )
    gateway = Gateway(settings, PlatformAdapter(settings, 'missing.yaml'))
    running = asyncio.ensure_future(gateway.run())
    try:
        if configured:
            names = set(upstreams)
            await wait_until(
                lambda: (
                    gateway.ready
                    and gateway.peer_reporter.knows_hosts
                    and names <= set(gateway.routing_state.registry.upstreams)
                ),
            )
        else:
            await asyncio.sleep(0.2)
        yield Deployment(store, upstreams, gateway)
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        await gateway.close()
        for server in (store, *upstreams.values()):
            server.stop()


async def wait_until(
    condition: Callable[[], bool],
    seconds: float = 5,
) -> None:
    """Poll a condition until it holds.

    Raises:
        AssertionError: it does not hold within ``seconds``.
    """
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, (
            f'condition not met within {seconds} s'
        )
        await asyncio.sleep(0.01)
