"""Passes one upstream's answer on to the caller."""

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING

from ..exceptions import ConnectionBroken, RequestFailed, RequestRejected
from ..verdicts import Verdict
from .balancer import Place
from .catalogue import Execution
from .connection_pool import Channel
from .events import Event, EventSplitter
from .listeners import Answer
from .requests import Headers, Outgoing, Reply
from .upstreams import Upstream

if TYPE_CHECKING:
    from .authorization import Ticket
    from .proxy import Relay

__all__ = ('RETRY_BUSY', 'Progress', 'Transfer')

# When a request that found no place may come back, in seconds: about the time
# in which a tenth of the places become free.
RETRY_BUSY = 0.3
# Answers up to this size are received whole before the caller gets them, so
# that a broken one can be tried again; in bytes.
_BUFFERED = 262144
# An upstream whose group lost a rank is silent for 1.5 s and then fails; a
# caller leaves a stream after 2 s of silence. In between, resume elsewhere.
_SILENCE = 1.3
# With less time left, in seconds, an upstream could not answer.
SHORTEST = 0.05
_SUCCESS = range(200, 300)
_SERVER_ERROR = 500
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


@dataclasses.dataclass(slots=True)
class Progress:
    """How far the caller's answer has come; times in monotonic seconds.

    ``resume_after`` is the last event that the caller has.
    """

    resume_after: str
    sent_at: float = 0
    first_event_at: float = 0
    event_at: float = 0
    longest_gap: float = 0


class Transfer:
    """One send of a request to an upstream, and what comes back."""

    def __init__(
        self,
        relay: 'Relay',
        ticket: 'Ticket',
        answer: Answer,
        progress: Progress,
    ) -> None:
        """Prepare to answer the request of ``ticket``."""
        self.relay = relay
        self.ticket = ticket
        self.answer = answer
        self.progress = progress
        self.large = False

    async def run(self, place: Place, last: bool) -> None:
        """Send the request and pass the answer on.

        Args:
            place: the upstream to send to.
            last: whether a failure that the upstream made is passed on too.

        Raises:
            RequestFailed: the caller has no whole answer.
            ConnectionError: the caller has closed.
        """
        upstream = place.upstream
        self.progress.sent_at = time.monotonic()
        try:
            channel = await self.relay.pool.open_answer(
                upstream,
                self.ticket.request,
                self._outgoing(upstream.name),
                self.ticket.route.repeatable,
            )
        except RequestFailed:
            self.relay.balancer.health.lose(upstream, time.monotonic())
            raise
        try:
            await self._receive(channel, last)
        except RequestRejected:
            self.relay.pool.release(channel)
            raise
        except BaseException as error:
            channel.close()
            if isinstance(error, ConnectionBroken) and not channel.reused:
                self.relay.balancer.health.fail(upstream.name, time.monotonic())
            raise
        self.relay.pool.release(channel)

    def _outgoing(self, name: str) -> Outgoing:
        client = self.ticket.client
        return Outgoing(
            upstream=name,
            timeout=self.ticket.deadline - time.monotonic(),
            client=client.name if client else '',
            resume_after=self.progress.resume_after,
        )

    async def _receive(self, channel: Channel, last: bool) -> None:
        name = channel.upstream.name
        stream = self.ticket.route.execution is Execution.STREAM
        silence = _SILENCE if self.ticket.route.repeatable and stream else None
        try:
            async with asyncio.timeout(silence) as timer:
                reply = await channel.receive_head(
                    self.relay.pool.codec,
                    self.ticket.request.request_id,
                )
                if stream and reply.signed and reply.status in _SUCCESS:
                    await self._relay_events(channel, reply, timer)
                else:
                    await self._relay_whole(channel, reply, last)
        except TimeoutError as error:
            raise ConnectionBroken(
                f'{name}: silent for {silence} s',
                Verdict.MAY_HAVE_RUN,
                GATEWAY_TIMEOUT,
            ) from error
        self.relay.balancer.health.succeed(name, reply.load)

    async def _relay_events(
        self,
        channel: Channel,
        reply: Reply,
        timer: asyncio.Timeout,
    ) -> None:
        groups = self.relay.balancer.groups
        upstream = channel.upstream
        groups.begin(upstream.name, time.monotonic())
        splitter = EventSplitter()
        try:
            async for content in channel.body():
                events = splitter.feed(content)
                await self._pass_on(upstream, reply, events, timer)
        finally:
            groups.end(upstream.name)
        if splitter.rest or not self.answer.started:
            raise _broken(channel, 'ended within an event')
        self.answer.finish()

    async def _pass_on(
        self,
        upstream: Upstream,
        reply: Reply,
        events: list[Event],
        timer: asyncio.Timeout,
    ) -> None:
        self._note_content(upstream, time.monotonic())
        deadline = timer.when()
        # The time that the caller takes to read is not the upstream's.
        timer.reschedule(None)
        for event in events:
            if not self.answer.started:
                self._note_first_event()
                self.answer.start(reply.status, _unframed(reply.headers))
            await self.answer.send(event.content)
            if event.event_id:
                self.progress.resume_after = event.event_id
        if deadline is not None:
            loop = asyncio.get_running_loop()
            timer.reschedule(loop.time() + _SILENCE)

    def _note_first_event(self) -> None:
        now = time.monotonic()
        self.progress.first_event_at = now
        estimate = self.relay.first_event(self.ticket.service)
        estimate.observe(now - self.progress.sent_at)

    def _note_content(self, upstream: Upstream, now: float) -> None:
        progress = self.progress
        gap = now - progress.event_at if progress.event_at else 0
        self.relay.balancer.move(upstream, self.ticket.engine, gap, now)
        progress.longest_gap = max(progress.longest_gap, gap)
        progress.event_at = now

    async def _relay_whole(
        self,
        channel: Channel,
        reply: Reply,
        last: bool,
    ) -> None:
        body = b''
        async for content in channel.body():
            body += content
            if len(body) > _BUFFERED:
                await self._pass_part(channel, reply, last, body)
                body = b''
        if self.large:
            await self.answer.send(body)
            self.answer.finish()
            return
        self._check(channel, reply, last)
        self.progress.first_event_at = time.monotonic()
        self.answer.whole(reply.status, reply.headers, body)

    async def _pass_part(
        self,
        channel: Channel,
        reply: Reply,
        last: bool,
        part: bytes,
    ) -> None:
        """Pass on part of an answer that is too large to be held."""
        if not self.large:
            self._check(channel, reply, last)
            self.large = True
            self.progress.first_event_at = time.monotonic()
            self.answer.start(reply.status, reply.headers)
        await self.answer.send(part)

    def _check(self, channel: Channel, reply: Reply, last: bool) -> None:
        """Raise the failure if an answer is not to be passed on."""
        if not reply.executed:
            raise self._rejected(channel, reply)
        failed = reply.status >= _SERVER_ERROR
        if self.answer.started or not reply.signed or (failed and not last):
            raise _broken(channel, f'answered {reply.status}')

    def _rejected(self, channel: Channel, reply: Reply) -> RequestFailed:
        name = channel.upstream.name
        balancer = self.relay.balancer
        if reply.culprit and reply.culprit != name:
            balancer.groups.reject(name, time.monotonic())
        else:
            balancer.health.fail(name, time.monotonic())
        return RequestRejected(
            f'{name}: turned away with {reply.status}',
            Verdict.NOT_RUN,
            UNAVAILABLE,
            RETRY_BUSY,
        )


def _broken(channel: Channel, text: str) -> RequestFailed:
    name = channel.upstream.name
    return RequestFailed(f'{name}: {text}', Verdict.MAY_HAVE_RUN, BAD_GATEWAY)


def _unframed(headers: Headers) -> Headers:
    """Return headers without the length: events are passed on in chunks."""
    return tuple(
        (name, text)
        for name, text in headers
        if name.lower() != b'content-length'
    )
