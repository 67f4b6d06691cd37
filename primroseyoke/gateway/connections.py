"""TCP connections on top of asyncio transports."""

import asyncio
import collections
import contextlib
import socket
import struct
from collections.abc import Callable, Iterable
from typing import Any

from .turns import TurnCounter

__all__ = ('WRITE_BUFFER_LIMIT_BYTES', 'Connection', 'connect')

# Reading from the socket pauses above this amount of unread data.
_READ_BUFFER_LIMIT_BYTES = 65536
# ``drain`` waits above this amount of data that the peer has not read, unless
# the limit of the connection is raised.
WRITE_BUFFER_LIMIT_BYTES = 65536
# Kernel buffers. The kernel would let those of each connection grow to
# megabytes, and what it has received counts as memory of the process.
_RECEIVE_BUFFER_BYTES = 65536
_SEND_BUFFER_BYTES = 262144
# Interval at which ``flush`` checks whether the send buffer is empty.
_FLUSH_POLL_SECONDS = 0.05
# How long sent data may stay unacknowledged before the connection is closed.
# Without it, a network partition is detected only after minutes.
_TCP_USER_TIMEOUT_MS = 4000
# Idle time before the first TCP keep-alive probe and interval between probes,
# in seconds.
_KEEP_ALIVE_OPTIONS = ((socket.TCP_KEEPIDLE, 2), (socket.TCP_KEEPINTVL, 1))
# Unanswered probes after which the connection is closed.
_KEEP_ALIVE_PROBE_COUNT = 3
# SO_LINGER on, with 0 s.
_LINGER_RESET = struct.pack('ii', 1, 0)


class Connection(asyncio.Protocol):
    """A TCP connection with buffered reads and backpressure on writes.

    Attributes:
        received: received bytes that have not been read yet.
        ended: whether the peer has closed its side or the connection is lost.
        closed: whether the connection is closed or lost.
        error: the error that broke the connection, if any.
        state_changed: set when data arrives or the connection ends.
        writable: cleared while the send buffer is full.
        write_limit: size in bytes above which the send buffer is full.
        unsent: what ``write_gradually`` has not moved to the send buffer yet.
        turns: counts the parts of messages that are read.
    """

    def __init__(
        self,
        on_open: Callable[['Connection'], None] | None = None,
    ) -> None:
        """Call ``on_open`` once the connection is established."""
        self.on_open = on_open
        self.transport: Any = None
        self.received = bytearray()
        self.ended = False
        self.closed = False
        self.error: Exception | None = None
        self.state_changed = asyncio.Event()
        self.writable = asyncio.Event()
        self.writable.set()
        self.write_limit = WRITE_BUFFER_LIMIT_BYTES
        self.unsent: collections.deque[bytes] = collections.deque()
        self.turns = TurnCounter()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the socket options."""
        self.transport = transport
        self.transport.set_write_buffer_limits(high=self.write_limit)
        _set_socket_options(self.transport.get_extra_info('socket'))
        if self.on_open is not None:
            self.on_open(self)

    def data_received(self, content: bytes) -> None:
        """Buffer received data; pause reading if the buffer is full."""
        self.received += content
        if len(self.received) > _READ_BUFFER_LIMIT_BYTES:
            self.transport.pause_reading()
        self.state_changed.set()

    def eof_received(self) -> bool:
        """Record that the peer closed its side; keep the transport open."""
        self.ended = True
        self.state_changed.set()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Record the loss and wake all waiting readers and writers."""
        self.ended = True
        self.closed = True
        self.error = self.error or error
        self.state_changed.set()
        self.writable.set()
        self.unsent.clear()

    def pause_writing(self) -> None:
        """Block ``drain``: the send buffer is full."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Unblock ``drain``: the send buffer has room again."""
        self.writable.set()
        self._write_unsent()

    @property
    def idle(self) -> bool:
        """Return whether the connection is open without unread data."""
        return not (self.ended or self.received)

    async def read(self) -> bytes:
        """Return the data received, b'' at the end of the stream.

        Raises:
            ConnectionError: the connection was lost with an error.
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
        """Wait until the peer has closed its side or the connection is lost."""
        while not self.ended:
            self.state_changed.clear()
            await self.state_changed.wait()

    def write(self, content: bytes) -> None:
        """Write ``content`` to the send buffer.

        Raises:
            ConnectionError: the connection is lost.
        """
        if self.closed:
            raise ConnectionResetError('the connection is closed')
        self.transport.write(content)

    def write_gradually(self, blocks: Iterable[bytes]) -> None:
        """Write ``blocks``, each when the send buffer has room for it.

        Nothing else may be written before ``unsent`` is empty.

        Raises:
            ConnectionError: the connection is lost.
        """
        if self.closed:
            raise ConnectionResetError('the connection is closed')
        self.unsent.extend(blocks)
        self._write_unsent()

    @property
    def write_buffer_size(self) -> int:
        """Return the size of the send buffer in bytes."""
        if self.closed:
            return 0
        return int(self.transport.get_write_buffer_size())

    def limit_write_buffer(self, size: int) -> None:
        """Let ``drain`` wait above ``size`` bytes in the send buffer."""
        self.write_limit = size
        if not self.closed:
            self.transport.set_write_buffer_limits(high=size)

    async def drain(self) -> None:
        """Wait until the send buffer has room.

        Raises:
            ConnectionError: the connection is lost.
        """
        await self.writable.wait()
        if self.closed:
            raise ConnectionResetError('the connection is closed')

    async def flush(self) -> None:
        """Wait until the send buffer is empty or the connection ends."""
        while not self.ended and self.transport.get_write_buffer_size():
            await asyncio.sleep(_FLUSH_POLL_SECONDS)

    async def linger(
        self, idle_seconds: float, seconds: float, max_bytes: int
    ) -> None:
        """Close the sending side; discard what the peer still sends.

        Ends when the peer closes its side or sends nothing for
        ``idle_seconds``, after ``seconds`` or after ``max_bytes``.

        Raises:
            ConnectionError: the connection was lost with an error.
        """
        if self.closed:
            return
        self.transport.write_eof()
        size = 0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while not self.ended and size <= max_bytes:
                    async with asyncio.timeout(idle_seconds):
                        size += len(await self.read())

    def close(self) -> None:
        """Close the connection after the send buffer has been sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection immediately, discarding the send buffer."""
        if self.transport is not None:
            self.transport.abort()

    def reset_on_close(self) -> None:
        """Let a close send a reset and discard what was not yet delivered."""
        if self.transport is not None:
            self.transport.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
            )

    def _write_unsent(self) -> None:
        while self.unsent and self.writable.is_set() and not self.closed:
            self.transport.write(self.unsent.popleft())


async def connect(host: str, port: int, timeout: float) -> Connection:
    """Connect to an address; ``timeout`` in seconds.

    Raises:
        OSError: the connection failed, or timed out (``TimeoutError``).
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout):
        transport, connection = await loop.create_connection(
            Connection, host, port
        )
    # Only for outgoing connections: TCP_USER_TIMEOUT also closes a connection
    # whose peer keeps its receive window at zero, as a slow caller does.
    transport.get_extra_info('socket').setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        _TCP_USER_TIMEOUT_MS,
    )
    return connection


def _set_socket_options(sock: Any) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES)
    for option, seconds in _KEEP_ALIVE_OPTIONS:
        sock.setsockopt(socket.IPPROTO_TCP, option, seconds)
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_KEEPCNT,
        _KEEP_ALIVE_PROBE_COUNT,
    )
