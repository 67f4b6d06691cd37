"""A TCP connection as an asyncio protocol."""

import asyncio
import socket
from collections.abc import Callable
from typing import Any

__all__ = ('Connection', 'connect')

# Reading pauses while this many received bytes wait, in bytes.
_READ_BUFFER_LIMIT_BYTES = 65536
# A peer that does not read may leave this many bytes waiting to be sent.
_WRITE_BUFFER_LIMIT_BYTES = 262144
# How often it is checked whether a slow reader has taken its answer, in seconds.
_FLUSH_POLL_SECONDS = 0.05
# How long sent data may stay unacknowledged before the connection counts as
# lost, in milliseconds: a silent partition is otherwise noticed after minutes.
_TCP_USER_TIMEOUT_MS = 4000
# Idle time before keep-alive probes, their interval (seconds) and number.
_KEEP_ALIVE_OPTIONS = ((socket.TCP_KEEPIDLE, 2), (socket.TCP_KEEPINTVL, 1))
_KEEP_ALIVE_PROBE_COUNT = 3


class Connection(asyncio.Protocol):
    """One end of a TCP connection.

    Attributes:
        received: bytes that nobody has read yet.
        ended: whether the peer has closed or the connection is lost.
        error: what broke the connection, if anything did.
    """

    def __init__(
        self,
        on_open: Callable[['Connection'], None] | None = None,
    ) -> None:
        """Call ``on_open`` once the connection is made."""
        self.on_open = on_open
        self.transport: Any = None
        self.received = bytearray()
        self.ended = False
        self.closed = False
        self.error: Exception | None = None
        self.state_changed = asyncio.Event()
        self.writable = asyncio.Event()
        self.writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport
        self.transport.set_write_buffer_limits(high=_WRITE_BUFFER_LIMIT_BYTES)
        _set_socket_options(self.transport.get_extra_info('socket'))
        if self.on_open is not None:
            self.on_open(self)

    def data_received(self, content: bytes) -> None:
        """Buffer what arrived."""
        self.received += content
        if len(self.received) > _READ_BUFFER_LIMIT_BYTES:
            self.transport.pause_reading()
        self.state_changed.set()

    def eof_received(self) -> bool:
        """Note that the peer sends nothing more; keep the connection."""
        self.ended = True
        self.state_changed.set()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Wake all waiters."""
        self.ended = True
        self.closed = True
        self.error = self.error or error
        self.state_changed.set()
        self.writable.set()

    def pause_writing(self) -> None:
        """Make ``drain`` wait."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Let ``drain`` go on."""
        self.writable.set()

    @property
    def idle(self) -> bool:
        """Tell whether the peer has neither sent nor closed anything."""
        return not (self.ended or self.received)

    async def read(self) -> bytes:
        """Return what has arrived, b'' at the end.

        Raises:
            ConnectionError: the connection broke.
        """
        while not self.received and not self.ended:
            self.state_changed.clear()
            await self.state_changed.wait()
        if not self.received and self.error is not None:
            raise ConnectionResetError(str(self.error)) from self.error
        content = bytes(self.received)
        self.received.clear()
        if not self.closed:
            self.transport.resume_reading()
        return content

    async def wait_until_ended(self) -> None:
        """Return when the peer has closed or the connection is lost."""
        while not self.ended:
            self.state_changed.clear()
            await self.state_changed.wait()

    def write(self, content: bytes) -> None:
        """Send bytes, or buffer them.

        Raises:
            ConnectionError: the connection is lost.
        """
        if self.closed:
            raise ConnectionResetError('the connection is closed')
        self.transport.write(content)

    async def drain(self) -> None:
        """Wait until the peer has read enough.

        Raises:
            ConnectionError: the connection is lost.
        """
        await self.writable.wait()
        if self.closed:
            raise ConnectionResetError('the connection is closed')

    async def flush(self) -> None:
        """Wait until all that was written is handed to the network."""
        while not self.ended and self.transport.get_write_buffer_size():
            await asyncio.sleep(_FLUSH_POLL_SECONDS)

    def close(self) -> None:
        """Close after what was written is sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Reset the connection at once."""
        if self.transport is not None:
            self.transport.abort()


async def connect(host: str, port: int, timeout: float) -> Connection:
    """Return a connection to an address; ``timeout`` in seconds.

    Raises:
        OSError: there is none, or not in time (``TimeoutError``).
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout):
        transport, connection = await loop.create_connection(
            Connection, host, port
        )
    # Not for accepted connections: the timeout also ends a connection whose
    # peer keeps its window closed, as a slow reader does.
    transport.get_extra_info('socket').setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        _TCP_USER_TIMEOUT_MS,
    )
    return connection


def _set_socket_options(sock: Any) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, seconds in _KEEP_ALIVE_OPTIONS:
        sock.setsockopt(socket.IPPROTO_TCP, option, seconds)
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_KEEPCNT,
        _KEEP_ALIVE_PROBE_COUNT,
    )
