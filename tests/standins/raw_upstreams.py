"""Upstreams that answer with bytes that a test wrote."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable

RawHandler = Callable[
    ['RawUpstream', asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[None],
]


class RawUpstream:
    """Passes each connection to a handler, which reads and writes bytes."""

    def __init__(self, name: str, handler: RawHandler) -> None:
        self.name = name
        self.handler = handler
        self.request_ids: list[str] = []
        #: Set by a test to let the handler go on.
        self.proceed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()

    async def read_request(self, reader: asyncio.StreamReader) -> str:
        """Read a request, which must have an ID; return the ID."""
        fields = await self.read_fields(reader)
        self.request_ids.append(fields['x-primroseyoke-request-id'])
        return self.request_ids[-1]

    async def read_fields(self, reader: asyncio.StreamReader) -> dict[str, str]:
        """Read a request; return its headers by lower-case name."""
        head = await reader.readuntil(b'\r\n\r\n')
        fields = dict(
            line.lower().split(': ', 1)
            for line in head.decode().split('\r\n')[1:]
            if line
        )
        await reader.readexactly(int(fields.get('content-length', 0)))
        return fields

    def entry(self, service: str) -> dict[str, object]:
        return {
            'service': service,
            'address': f'127.0.0.1:{self.port}',
            'zone': 'zone-a',
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'coldLeftMs': 0,
            'seq': 1,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await self.handler(self, reader, writer)
        writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that the other side receives a reset."""
    sock = writer.get_extra_info('socket')
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()
