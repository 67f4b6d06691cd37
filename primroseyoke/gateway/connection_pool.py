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
from .requests import CallerRequest, Codec, Outgoing, Reply
from .upstreams import Upstream

__all__ = ('Channel', 'ChannelPool')

log = logging.getLogger(__name__)

# A new connection within a zone takes 1 ms and between zones 3 ms; a lost
# opening packet is sent again after 1 s, which is too late for most requests.
CONNECT_TIMEOUT = 0.4
# An upstream may close an idle connection while a request is on its way. One
# that must run once at most takes a connection that was just in use, in seconds.
_FRESH = 1.0
# Others take any that was used within this time, in seconds, or within what
# the upstream promised less a margin for the way.
_IDLE = 8.0
_IDLE_MARGIN = 0.5
_BAD_GATEWAY = 502


class Channel:
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
        self.head: tuple[h11.Event, ...] = ()
        self.sent = False
        self.reused = False
        self.used_at = time.monotonic()
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
        self.head = (
            h11.Request(
                method=request.method,
                target=request.target,
                headers=list(headers),
            ),
            h11.Data(data=request.body),
            h11.EndOfMessage(),
        )
        content = b''.join(self._encode(event) for event in self.head)
        if not self.connection.idle:
            raise self._failure('the connection was closed while idle', False)
        try:
            self.connection.write(content)
        except ConnectionError as error:
            raise self._failure(str(error), False) from error
        self.sent = True

    async def receive_head(self, codec: Codec, request_id: str) -> Reply:
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
            reply = codec.decode_reply(head.status_code, head.headers)
            if not reply.request_id or reply.request_id == request_id:
                self.keep_alive = reply.keep_alive
                return reply
            await self._skip_answer()

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

    def finish(self) -> bool:
        """Get ready for another request; tell whether that is possible."""
        self.used_at = time.monotonic()
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
        limit = min(_IDLE, self.keep_alive - _IDLE_MARGIN)
        if not repeatable:
            limit = min(limit, _FRESH)
        return time.monotonic() - self.used_at < limit

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

    async def _skip_answer(self) -> None:
        dropped = [len(part) async for part in self.body()]
        log.info('answer dropped', extra={'parts': len(dropped)})
        rest, _ = self.parser.trailing_data
        self.parser = h11.Connection(h11.CLIENT)
        for event in self.head:
            self._encode(event)
        if rest:
            self.parser.receive_data(rest)

    def _failure(self, text: str, sent: bool) -> RequestFailed:
        verdict = Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN
        name = self.upstream.name
        return ConnectionBroken(f'{name}: {text}', verdict, _BAD_GATEWAY)


class ChannelPool:
    """Kept connections by upstream."""

    def __init__(self, codec: Codec) -> None:
        """Translate headers with ``codec``."""
        self.codec = codec
        self.kept: dict[str, list[Channel]] = {}

    async def open_answer(
        self,
        upstream: Upstream,
        request: CallerRequest,
        outgoing: Outgoing,
        repeatable: bool,
    ) -> Channel:
        """Send a request; return the channel on which the answer comes.

        Raises:
            RequestFailed: with what is known of the request.
        """
        channel = await self._acquire(upstream, repeatable)
        try:
            await channel.send(
                request,
                self.codec.encode_request(request, outgoing),
            )
        except BaseException:
            channel.close()
            raise
        return channel

    def release(self, channel: Channel) -> None:
        """Keep a channel whose answer was read to its end, or close it."""
        if channel.finish():
            self.kept.setdefault(channel.upstream.name, []).append(channel)
        else:
            channel.close()

    def close_idle(self, names: frozenset[str]) -> None:
        """Close kept channels that are too old, or not to ``names``."""
        for name, channels in tuple(self.kept.items()):
            usable = [
                channel
                for channel in channels
                if name in names and channel.is_usable(repeatable=True)
            ]
            for channel in channels:
                if channel not in usable:
                    channel.close()
            self.kept[name] = usable
            if not usable:
                self.kept.pop(name)

    async def _acquire(self, upstream: Upstream, repeatable: bool) -> Channel:
        kept = self.kept.get(upstream.name, [])
        while kept:
            channel = kept.pop()
            same = channel.upstream.started_at == upstream.started_at
            if same and channel.is_usable(repeatable):
                return channel
            channel.close()
        return await self._open(upstream)

    async def _open(self, upstream: Upstream) -> Channel:
        try:
            connection = await connect(
                upstream.host,
                upstream.port,
                CONNECT_TIMEOUT,
            )
        except (OSError, asyncio.TimeoutError) as error:
            raise RequestFailed(
                f'{upstream.name}: no connection: {error!r}',
                Verdict.NOT_RUN,
            ) from error
        return Channel(upstream, connection)
