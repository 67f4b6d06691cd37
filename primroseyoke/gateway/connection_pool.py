"""HTTP connections to upstreams, kept open and reused."""

import asyncio
import logging
import math
import time
from collections.abc import AsyncIterator, Sequence
from typing import Any

import h11

from ..exceptions import ConnectionBroken, RequestFailed
from ..verdicts import Verdict
from .connections import Connection, connect
from .parsing import next_event
from .requests import CallerRequest, Codec, ForwardingInfo, ResponseHead
from .upstreams import Upstream

__all__ = ('UpstreamConnection', 'ConnectionPool')

log = logging.getLogger(__name__)

# A new connection within a zone takes 1 ms and between zones 3 ms; a lost
# opening packet is sent again after 1 s, which is too late for most requests.
CONNECT_TIMEOUT_SECONDS = 0.4
# An upstream may close an idle connection while a request is on its way. One
# that must run once at most takes a connection that was just in use, in seconds.
_NON_REPEATABLE_IDLE_LIMIT_SECONDS = 1.0
# Others take any that was used within this time, in seconds, or within what
# the upstream promised less a margin for the way.
_IDLE_LIMIT_SECONDS = 8.0
_KEEP_ALIVE_MARGIN_SECONDS = 0.5
_BAD_GATEWAY = 502


class UpstreamConnection:
    """One connection to an upstream, for one request at a time.

    Attributes:
        sent: whether any byte of the request was handed to the connection.
        reused: whether the connection has served a request before.
    """

    def __init__(self, upstream: Upstream, connection: Connection) -> None:
        """Use a connection that was just opened."""
        self.upstream = upstream
        self.connection = connection
        self.parser = h11.Connection(h11.CLIENT)
        self.request_events: tuple[h11.Event, ...] = ()
        self.sent = False
        self.reused = False
        self.last_used_at = time.monotonic()
        self.keep_alive = math.inf
        self.body_sent = True

    async def send(
        self,
        request: CallerRequest,
        headers: Sequence[tuple[bytes, bytes]],
    ) -> None:
        """Send a request.

        Raises:
            RequestFailed: the connection broke; ``not_run`` if nothing was
                sent.
        """
        self.request_events = (
            h11.Request(
                method=request.method,
                target=request.target,
                headers=list(headers),
            ),
            h11.Data(data=request.body),
            h11.EndOfMessage(),
        )
        content = b''.join(self._encode(event) for event in self.request_events)
        if not self.connection.idle:
            raise self._failure('the connection was closed while idle', False)
        try:
            self.connection.write(content)
        except ConnectionError as error:
            raise self._failure(str(error), False) from error
        self.sent = True

    async def receive_head(self, codec: Codec, request_id: str) -> ResponseHead:
        """Return the head of the answer to the request that was sent.

        An answer to an earlier request that was repeated by the upstream is
        read and dropped.

        Raises:
            RequestFailed: no answer, or one that is not HTTP.
        """
        while True:
            head = await self._next_event()
            if isinstance(head, h11.InformationalResponse):
                continue
            response_head = codec.decode_response(
                head.status_code, head.headers
            )
            if (
                not response_head.request_id
                or response_head.request_id == request_id
            ):
                self.keep_alive = response_head.keep_alive
                return response_head
            await self._discard_response()

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises:
            ConnectionBroken: it ended early.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return
            yield bytes(event.data)

    def prepare_reuse(self) -> bool:
        """Get ready for another request; tell whether that is possible."""
        self.last_used_at = time.monotonic()
        self.reused = True
        self.sent = False
        if self.parser.our_state is not h11.DONE:
            return False
        if self.parser.their_state is not h11.DONE:
            return False
        if self.parser.trailing_data[0] or not self.connection.idle:
            return False
        self.parser.start_next_cycle()
        return True

    def is_usable(self, repeatable: bool) -> bool:
        """Tell whether a request can be sent on the kept connection."""
        if not self.connection.idle:
            return False
        limit = min(
            _IDLE_LIMIT_SECONDS, self.keep_alive - _KEEP_ALIVE_MARGIN_SECONDS
        )
        if not repeatable:
            limit = min(limit, _NON_REPEATABLE_IDLE_LIMIT_SECONDS)
        return time.monotonic() - self.last_used_at < limit

    def close(self) -> None:
        """Close the connection; a request in progress is cancelled."""
        self.connection.abort()

    def _encode(self, event: h11.Event) -> bytes:
        return self.parser.send(event) or b''

    async def _next_event(self) -> Any:
        try:
            event = await next_event(self.parser, self.connection)
        except (ConnectionError, h11.RemoteProtocolError) as error:
            raise self._failure(str(error) or repr(error), self.sent) from error
        if isinstance(event, h11.ConnectionClosed):
            raise self._failure('the upstream closed the connection', self.sent)
        return event

    async def _discard_response(self) -> None:
        part_sizes = [len(part) async for part in self.body()]
        log.info('answer dropped', extra={'parts': len(part_sizes)})
        unparsed, _ = self.parser.trailing_data
        self.parser = h11.Connection(h11.CLIENT)
        for event in self.request_events:
            self._encode(event)
        if unparsed:
            self.parser.receive_data(unparsed)

    def _failure(self, detail: str, sent: bool) -> RequestFailed:
        verdict = Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN
        name = self.upstream.name
        return ConnectionBroken(f'{name}: {detail}', verdict, _BAD_GATEWAY)


class ConnectionPool:
    """Kept connections by upstream."""

    def __init__(self, codec: Codec) -> None:
        """Translate headers with ``codec``."""
        self.codec = codec
        self.idle_connections: dict[str, list[UpstreamConnection]] = {}

    async def send_request(
        self,
        upstream: Upstream,
        request: CallerRequest,
        forwarding: ForwardingInfo,
        repeatable: bool,
    ) -> UpstreamConnection:
        """Send a request; return the channel on which the answer comes.

        Raises:
            RequestFailed: with what is known of the request.
        """
        connection = await self._acquire(upstream, repeatable)
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
        """Keep a channel whose answer was read to its end, or close it."""
        if connection.prepare_reuse():
            self.idle_connections.setdefault(
                connection.upstream.name, []
            ).append(connection)
        else:
            connection.close()

    def close_idle(self, known_names: frozenset[str]) -> None:
        """Close kept channels that are too old, or not to ``known_names``."""
        for name, connections in tuple(self.idle_connections.items()):
            usable = [
                connection
                for connection in connections
                if name in known_names and connection.is_usable(repeatable=True)
            ]
            for connection in connections:
                if connection not in usable:
                    connection.close()
            self.idle_connections[name] = usable
            if not usable:
                self.idle_connections.pop(name)

    async def _acquire(
        self, upstream: Upstream, repeatable: bool
    ) -> UpstreamConnection:
        idle_connections = self.idle_connections.get(upstream.name, [])
        while idle_connections:
            connection = idle_connections.pop()
            same_process = connection.upstream.started_at == upstream.started_at
            if same_process and connection.is_usable(repeatable):
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
        return UpstreamConnection(upstream, connection)
