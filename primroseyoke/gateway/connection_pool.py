"""Pool of persistent HTTP connections to upstreams."""

import asyncio
import logging
import math
import time
from collections.abc import AsyncIterator, Callable, Sequence
from typing import Any

import h11

from ..exceptions import ConnectionBroken, RequestFailed, UpstreamWithdrawn
from ..verdicts import Verdict
from .connections import Connection, connect
from .parsing import next_event
from .requests import CallerRequest, Codec, ForwardingInfo, ResponseHead
from .settings import ResponseLimits
from .upstreams import Upstream

__all__ = ('ConnectionPool', 'UpstreamConnection')

log = logging.getLogger(__name__)

# Connecting takes 1 ms within a zone and 3 ms between zones. A lost SYN is sent
# again after 1 s, which is too late for most requests.
CONNECT_TIMEOUT_SECONDS = 0.4
# An upstream may close an idle connection while a request is in transit. A
# request that must not run twice only uses a recently used connection.
_NON_RETRYABLE_IDLE_LIMIT_SECONDS = 1.0
# Retryable requests use connections that have been idle for less than this.
_IDLE_LIMIT_SECONDS = 8.0
# Subtracted from the Keep-Alive timeout of an upstream, for the transit time.
_KEEP_ALIVE_MARGIN_SECONDS = 0.5
_BAD_GATEWAY = 502
# RFC 9110, section 15. The parser rejects a status below 100.
_LAST_STATUS = 599
# A longer request is not copied to the send buffer at once.
_WRITE_AT_ONCE_BYTES = 65536


class UpstreamConnection:
    """A connection to an upstream that carries one request at a time.

    Attributes:
        sent: whether the request was written to the connection.
        reused: whether the connection has served a request before.
        keep_alive: how long the upstream keeps the connection open while it
            is idle, in seconds.
        request_events: the events of the request that was sent last.
        discarding: whether a response to an earlier request is being read.
    """

    def __init__(
        self,
        upstream: Upstream,
        connection: Connection,
        limits: ResponseLimits,
    ) -> None:
        """Wrap a newly opened connection to ``upstream``."""
        self.upstream = upstream
        self.connection = connection
        self.limits = limits
        self.parser = self._new_parser()
        self.request_events: tuple[h11.Event, ...] = ()
        self.sent = False
        self.discarding = False
        self.reused = False
        self.last_used_at = time.monotonic()
        self.keep_alive = math.inf

    @property
    def ended(self) -> bool:
        """Return whether the upstream has closed the connection."""
        return self.connection.ended

    async def send(
        self,
        request: CallerRequest,
        headers: Sequence[tuple[bytes, bytes]],
    ) -> None:
        """Send a request.

        Raises:
            RequestFailed: the connection was lost before the request was
                sent; the verdict is ``not_run``.
        """
        self.request_events = (
            h11.Request(
                method=request.method,
                target=request.target,
                headers=list(headers),
            ),
            *(h11.Data(data=block) for block in request.body.blocks),
            h11.EndOfMessage(),
        )
        parts = [self._encode(event) for event in self.request_events]
        if not self.connection.idle:
            raise self._failure('the connection was closed while idle', False)
        try:
            self._write(parts)
        except ConnectionError as error:
            raise self._failure(str(error), False) from error
        self.sent = True

    async def receive_head(self, codec: Codec, request_id: str) -> ResponseHead:
        """Return the head of the response to ``request_id``.

        A response with the ID of an earlier request, which an upstream may
        send twice, is read and discarded. On a connection that has served a
        request before, a response without an ID may be such a copy, too.

        Raises:
            RequestFailed: no response arrived, it cannot be told to be for this
                request, or it is not valid HTTP or exceeds the limits.
        """
        for _ in range(self.limits.discarded_count + 1):
            head = await self._next_response()
            response_head = codec.decode_response(
                head.status_code, head.headers
            )
            found_id = response_head.request_id
            if found_id == request_id or not (found_id or self.reused):
                self.keep_alive = response_head.keep_alive
                return response_head
            if not found_id:
                raise self._failure('response without a request ID', self.sent)
            await self._discard_response()
        raise self._failure('too many responses to others', self.sent)

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body as they arrive.

        Raises:
            ConnectionBroken: the connection ended within the body.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return
            yield bytes(event.data)

    def prepare_reuse(self) -> bool:
        """Prepare for another request; return whether that is possible."""
        self.last_used_at = time.monotonic()
        self.reused = True
        self.sent = False
        # An idle connection must not keep the body in memory.
        self.request_events = ()
        if self.connection.unsent:
            return False
        if self.parser.our_state is not h11.DONE:
            return False
        if self.parser.their_state is not h11.DONE:
            return False
        if self.parser.trailing_data[0] or not self.connection.idle:
            return False
        self.parser.start_next_cycle()
        return True

    def is_usable(self, retryable: bool) -> bool:
        """Return whether a request may be sent on this idle connection."""
        if not self.connection.idle:
            return False
        limit = min(
            _IDLE_LIMIT_SECONDS, self.keep_alive - _KEEP_ALIVE_MARGIN_SECONDS
        )
        if not retryable:
            limit = min(limit, _NON_RETRYABLE_IDLE_LIMIT_SECONDS)
        return time.monotonic() - self.last_used_at < limit

    def close(self) -> None:
        """Abort the connection, which cancels a request in progress."""
        self.connection.abort()

    def _write(self, parts: list[bytes]) -> None:
        if sum(map(len, parts)) <= _WRITE_AT_ONCE_BYTES:
            self.connection.write(b''.join(parts))
        else:
            self.connection.write_gradually(parts)

    def _encode(self, event: h11.Event) -> bytes:
        return self.parser.send(event) or b''

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.CLIENT, max_incomplete_event_size=self.limits.head_bytes
        )

    async def _next_response(self) -> Any:
        """Return the next head that is not informational."""
        if self.discarding:
            # Reading was interrupted within that response.
            await self._discard_response()
        for _ in range(self.limits.informational_count + 1):
            head = await self._next_event()
            if isinstance(head, h11.InformationalResponse):
                continue
            if head.status_code > _LAST_STATUS:
                detail = f'invalid status {head.status_code}'
                raise self._failure(detail, self.sent)
            return head
        raise self._failure('too many informational responses', self.sent)

    async def _next_event(self) -> Any:
        try:
            event = await next_event(self.parser, self.connection)
        except (ConnectionError, h11.RemoteProtocolError) as error:
            raise self._failure(str(error) or repr(error), self.sent) from error
        if isinstance(event, h11.ConnectionClosed):
            raise self._failure('the upstream closed the connection', self.sent)
        return event

    async def _discard_response(self) -> None:
        self.discarding = True
        size = 0
        async for part in self.body():
            size += len(part)
            if size > self.limits.discarded_bytes:
                raise self._failure('endless response to another', self.sent)
        log.info(
            'response to an earlier request discarded',
            extra={'bytes': size},
        )
        unparsed, _ = self.parser.trailing_data
        self.parser = self._new_parser()
        for event in self.request_events:
            self._encode(event)
        if unparsed:
            self.parser.receive_data(unparsed)
        self.discarding = False

    def _failure(self, detail: str, sent: bool) -> RequestFailed:
        verdict = Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN
        name = self.upstream.name
        return ConnectionBroken(f'{name}: {detail}', verdict, _BAD_GATEWAY)


def _is_never_withdrawn(upstream: Upstream) -> bool:
    return False


class ConnectionPool:
    """Idle connections by name of the upstream."""

    def __init__(
        self, codec: Codec, limits: ResponseLimits | None = None
    ) -> None:
        """Encode and decode headers with ``codec``."""
        self.codec = codec
        self.limits = limits or ResponseLimits()
        self.idle_connections: dict[str, list[UpstreamConnection]] = {}

    async def send_request(
        self,
        upstream: Upstream,
        request: CallerRequest,
        forwarding: ForwardingInfo,
        retryable: bool,
        is_withdrawn: Callable[[Upstream], bool] = _is_never_withdrawn,
    ) -> UpstreamConnection:
        """Send a request; return the connection that carries the response.

        Args:
            upstream: the upstream to send to.
            request: the request.
            forwarding: what the request is sent with.
            retryable: whether it may be sent again after any failure.
            is_withdrawn: tells, once there is a connection, whether the
                upstream has asked for no more requests meanwhile.

        Raises:
            UpstreamWithdrawn: it has; nothing was sent.
            RequestFailed: no connection was available, or it was lost before
                the request was sent; the verdict is ``not_run``.
        """
        connection = await self._acquire(upstream, retryable)
        if is_withdrawn(upstream):
            connection.close()
            raise UpstreamWithdrawn(
                f'{upstream.name}: wants no more requests', Verdict.NOT_RUN
            )
        try:
            await connection.send(
                request,
                self.codec.encode_request(request, forwarding),
            )
        except BaseException:
            connection.close()
            raise
        return connection

    def release(self, connection: UpstreamConnection) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        if connection.prepare_reuse():
            self.idle_connections.setdefault(
                connection.upstream.name, []
            ).append(connection)
        else:
            connection.close()

    def close_idle(self, known_names: frozenset[str]) -> None:
        """Close expired connections and those to unknown upstreams."""
        for name, connections in tuple(self.idle_connections.items()):
            usable = [
                connection
                for connection in connections
                if name in known_names and connection.is_usable(retryable=True)
            ]
            for connection in connections:
                if connection not in usable:
                    connection.close()
            self.idle_connections[name] = usable
            if not usable:
                self.idle_connections.pop(name)

    async def _acquire(
        self, upstream: Upstream, retryable: bool
    ) -> UpstreamConnection:
        idle_connections = self.idle_connections.get(upstream.name, [])
        while idle_connections:
            connection = idle_connections.pop()
            same_process = connection.upstream.started_at == upstream.started_at
            if same_process and connection.is_usable(retryable):
                return connection
            connection.close()
        return await self._open(upstream)

    async def _open(self, upstream: Upstream) -> UpstreamConnection:
        try:
            connection = await connect(
                upstream.host,
                upstream.port,
                CONNECT_TIMEOUT_SECONDS,
            )
        except (OSError, asyncio.TimeoutError) as error:
            raise RequestFailed(
                f'{upstream.name}: no connection: {error!r}',
                Verdict.NOT_RUN,
            ) from error
        return UpstreamConnection(upstream, connection, self.limits)
