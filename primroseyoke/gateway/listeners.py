"""HTTP server side: accepts connections and writes responses."""

import asyncio
import contextlib
import dataclasses
import logging
import math
import time
from collections.abc import Awaitable, Callable, Sequence

import h11
import msgspec

from ..exceptions import RequestFailed, RequestInvalid
from ..verdicts import Verdict
from .body_reading import BodyReader, declared_length, next_request_event
from .configuration import CallerLimits
from .connections import WRITE_BUFFER_LIMIT_BYTES, Connection
from .memory import MemoryBudget, RequestMemory
from .requests import CallerRequest, Codec

__all__ = ('HttpListener', 'ResponseWriter')

log = logging.getLogger(__name__)

# After an error response, the rest of the request is read for this long, while
# it arrives without such a pause, and up to this size, or that of the largest
# body: closing with unread data could destroy the response.
_LINGER_SECONDS = 5.0
_LINGER_IDLE_SECONDS = 1.0
_LINGER_BYTES = 2**20
# Largest amount of a response that is kept for a slow caller.
_MAX_WRITE_BUFFER_BYTES = 4 * 2**20
_BAD_REQUEST = 400

Handler = Callable[[CallerRequest, 'ResponseWriter'], Awaitable[None]]


class ResponseWriter:
    """Writes the response to one request to the caller's connection.

    Attributes:
        started: whether the head was sent.
        finished: whether the response is complete.
    """

    def __init__(
        self,
        connection: Connection,
        parser: h11.Connection,
        should_close: Callable[[], bool],
        memory: RequestMemory,
    ) -> None:
        """Write to ``connection``; ``should_close`` adds Connection: close.

        ``memory`` is that of the request.
        """
        self.connection = connection
        self.memory = memory
        self.parser = parser
        self.should_close = should_close
        self.status = 0
        self.started = False
        self.finished = False

    def start(
        self,
        status: int,
        headers: Sequence[tuple[bytes, bytes]],
    ) -> None:
        """Send the head."""
        fields = list(headers)
        if self.should_close():
            fields.append((b'connection', b'close'))
        self.status = status
        self.started = True
        self._write(h11.Response(status_code=status, headers=fields))

    async def send(self, content: bytes) -> None:
        """Send part of the body; wait until the send buffer has room.

        The buffer grows for a slow caller while there is memory for it, since
        an upstream breaks off a response that is not read for some seconds.
        """
        self._extend_buffer(len(content))
        self._write(h11.Data(data=content))
        await self.connection.drain()

    def finish(self) -> None:
        """Send the end of the body."""
        self._write(h11.EndOfMessage())
        self.finished = True

    def respond(
        self,
        status: int,
        headers: Sequence[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Send a complete response."""
        fields = [
            (name, value)
            for name, value in headers
            if name.lower() != b'content-length'
        ]
        fields.append((b'content-length', str(len(body)).encode()))
        self.start(status, fields)
        if body:
            self._write(h11.Data(data=body))
        self.finish()

    def send_error(
        self,
        status: int,
        detail: str,
        verdict: str,
        retry_after: float = 0,
    ) -> None:
        """Send an error response of the gateway itself (RFC 9457).

        ``retry_after`` is in seconds; 0 sends no Retry-After header.
        """
        headers = [(b'content-type', b'application/problem+json')]
        if retry_after:
            headers.append((b'retry-after', f'{retry_after:.3f}'.encode()))
        body = msgspec.json.encode(
            {'status': status, 'detail': detail, 'verdict': verdict},
        )
        self.respond(status, headers, body)

    def abort(self) -> None:
        """Reset the connection: a partial response must not look complete."""
        self.connection.abort()

    def _extend_buffer(self, size: int) -> None:
        connection = self.connection
        needed = connection.write_buffer_size + size
        limit = connection.write_limit
        while limit < min(needed, _MAX_WRITE_BUFFER_BYTES):
            if not self.memory.extend_response(limit):
                return
            limit *= 2
            connection.limit_write_buffer(limit)

    def _write(self, event: h11.Event) -> None:
        content = self.parser.send(event)
        if content:
            self.connection.write(content)


class HttpListener:
    """Accepts connections and passes their requests to a handler.

    Attributes:
        draining: whether connections are closed after their next response.
        requests_in_progress: number of requests whose response has not been
            sent completely.
        connections: all open connections.
        idle_connections: connections without a request in progress.
    """

    def __init__(
        self,
        codec: Codec,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        memory_bytes: float = math.inf,
    ) -> None:
        """Pass each request that keeps to ``limits`` to ``handler``.

        All requests share what a process that may use ``memory_bytes`` has for
        callers.
        """
        self.codec = codec
        self.handler = handler
        self.limits = limits
        self.budget = MemoryBudget(memory_bytes)
        self.draining = False
        self.requests_in_progress = 0
        self.connections: set[Connection] = set()
        self.idle_connections: set[Connection] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def busy_count(self) -> int:
        """Return the number of connections that are not idle.

        A request is being read, handled or answered on them.
        """
        return len(self.connections) - len(self.idle_connections)

    def create_protocol(self) -> Connection:
        """Return the asyncio protocol of a new connection."""
        return Connection(self._on_connected)

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for connection in tuple(self.idle_connections):
            connection.close()

    def _on_connected(self, connection: Connection) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(connection))
        self.tasks.add(task)
        self.connections.add(connection)
        self.budget.add_connection()
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, connection: Connection) -> None:
        parser = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self.limits().header_bytes,
        )
        try:
            while await self._serve_request(connection, parser):
                parser.start_next_cycle()
        except ConnectionError as error:
            log.debug('caller connection lost', extra={'error': str(error)})
        except Exception:
            log.exception('unexpected error on a caller connection; closing it')
        finally:
            self.connections.discard(connection)
            self.idle_connections.discard(connection)
            self.budget.remove_connection()
            connection.close()

    async def _serve_request(
        self,
        connection: Connection,
        parser: h11.Connection,
    ) -> bool:
        memory = RequestMemory(self.budget)
        with contextlib.closing(memory):
            request = await self._read_valid(connection, parser, memory)
            if request is None:
                return False
            response = ResponseWriter(
                connection, parser, lambda: self.draining, memory
            )
            self.requests_in_progress += 1
            try:
                await self._handle(connection, request, response)
                await connection.flush()
            finally:
                self.requests_in_progress -= 1
        connection.limit_write_buffer(WRITE_BUFFER_LIMIT_BYTES)
        if not response.finished:
            response.abort()
            return False
        reusable = parser.our_state is h11.DONE
        return reusable and parser.their_state is h11.DONE

    async def _read_valid(
        self,
        connection: Connection,
        parser: h11.Connection,
        memory: RequestMemory,
    ) -> CallerRequest | None:
        """Return the next request, or None after the last one.

        The last one may be a request that was answered with an error.
        """
        try:
            return await self._read(connection, parser, memory)
        except RequestInvalid as error:
            failure = RequestFailed(str(error), Verdict.NOT_RUN, error.status)
        except RequestFailed as error:
            # A new one, since the traceback of ``error`` holds the body.
            failure = RequestFailed(
                str(error), error.verdict, error.status, error.retry_after
            )
        # Its caller may take long to read the error and to send the rest.
        memory.close()
        response = ResponseWriter(connection, parser, lambda: True, memory)
        response.send_error(
            failure.status,
            str(failure),
            failure.verdict.value,
            failure.retry_after,
        )
        await connection.linger(
            _LINGER_IDLE_SECONDS,
            _LINGER_SECONDS,
            max(_LINGER_BYTES, self.limits().body_bytes),
        )
        return None

    async def _handle(
        self,
        connection: Connection,
        request: CallerRequest,
        response: ResponseWriter,
    ) -> None:
        """Run the handler; cancel it if the caller closes the connection."""
        handling = asyncio.ensure_future(self.handler(request, response))
        caller_closed = asyncio.ensure_future(connection.wait_until_ended())
        try:
            await asyncio.wait(
                (handling, caller_closed),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            caller_closed.cancel()
            handling.cancel()
            await asyncio.gather(
                handling, caller_closed, return_exceptions=True
            )
        if not handling.cancelled() and handling.exception() is not None:
            log.error(
                'request handler raised an exception',
                exc_info=handling.exception(),
            )

    async def _read(
        self,
        connection: Connection,
        parser: h11.Connection,
        memory: RequestMemory,
    ) -> CallerRequest | None:
        """Return the next request, or None if the connection has ended."""
        limits = self.limits()
        if not await self._wait_first_byte(connection, parser, limits):
            return None
        try:
            async with asyncio.timeout(limits.header_timeout):
                head = await next_request_event(connection, parser)
        except TimeoutError:
            raise RequestInvalid('the head took too long', 408) from None
        if not isinstance(head, h11.Request):
            return None
        _check_framing(head)
        request = self.codec.decode_request(
            head.method.decode(),
            head.target.decode('latin-1'),
            list(head.headers),
            time.monotonic(),
        )
        try:
            memory.start()
            body = await BodyReader(connection, parser, limits, memory).read(
                declared_length(head), request.timeout
            )
        except RequestFailed as error:
            log.info(
                'request refused before it was read',
                extra={'request': request.request_id, 'reason': str(error)},
            )
            raise
        return dataclasses.replace(request, body=body)

    async def _wait_first_byte(
        self,
        connection: Connection,
        parser: h11.Connection,
        limits: CallerLimits,
    ) -> bool:
        unparsed, _ = parser.trailing_data
        if unparsed or connection.received:
            return True
        self.idle_connections.add(connection)
        try:
            async with asyncio.timeout(limits.idle_timeout):
                parser.receive_data(await connection.read())
        except TimeoutError:
            return False
        finally:
            self.idle_connections.discard(connection)
        return not (connection.ended and not parser.trailing_data[0])


def _check_framing(head: h11.Request) -> None:
    """Reject a request whose end a proxy and a server may see differently.

    RFC 9112, section 6.1.
    """
    names = {name for name, _ in head.headers}
    if {b'content-length', b'transfer-encoding'} <= names:
        raise RequestInvalid(
            'both Content-Length and Transfer-Encoding', _BAD_REQUEST
        )
