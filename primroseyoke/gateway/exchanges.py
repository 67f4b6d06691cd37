"""One request on its way to upstreams, and its answer on the way back."""

import asyncio
import time
from typing import TYPE_CHECKING, Any

from ..exceptions import ConnectionBroken, RequestFailed, RequestRejected
from ..verdicts import Verdict
from .balancer import Place
from .catalogue import Execution
from .channels import Channel
from .events import EventSplitter
from .listeners import Answer
from .requests import Outgoing, Reply

if TYPE_CHECKING:
    from .relay import Relay, Ticket

__all__ = ('Exchange',)

# A refusal costs nothing up to an eighth of the objective: so long a request
# may wait for a place.
_WAIT_SHARE = 0.125
# When a request that found no place may come back, in seconds: about the time
# in which a tenth of the places become free.
_RETRY_BUSY = 0.3
# Answers up to this size are received whole before the caller gets them, so
# that a broken one can be tried again; in bytes.
_BUFFERED = 262144
# An upstream whose group lost a rank is silent for 1.5 s and then fails; a
# caller leaves a stream after 2 s of silence. In between, resume elsewhere.
_SILENCE = 1.3
# Further sends that upstreams may turn away, beyond those that may run.
_MAX_REJECTED = 3
# With less time left, in seconds, an upstream could not answer.
_SHORTEST = 0.05
_SUCCESS = range(200, 300)
_SERVER_ERROR = 500
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504


class Exchange:
    """Sends one request to one upstream after another until it is answered.

    Attributes:
        may_have_run: number of sends that may have run.
        rejected: number of sends that upstreams turned away.
    """

    def __init__(
        self,
        relay: 'Relay',
        ticket: 'Ticket',
        answer: Answer,
    ) -> None:
        """Prepare to serve a ticket."""
        self.relay = relay
        self.ticket = ticket
        self.answer = answer
        self.may_have_run = 0
        self.rejected = 0
        self.tried: list[str] = []
        self.resume_after = ticket.request.resume_after
        self.waited = 0.0
        self.first_event_at = 0.0
        self.event_at = 0.0
        self.longest_gap = 0.0

    async def run(self) -> None:
        """Answer the caller.

        Raises:
            RequestFailed: it cannot be answered.
            ConnectionError: the caller has closed.
        """
        self.relay.budget.count(self.ticket.service, time.monotonic())
        while True:
            place = await self._acquire()
            self.tried.append(place.upstream.name)
            try:
                await self._attempt(place)
                return
            except RequestFailed as failure:
                self._note_failure(place, failure)
                self._check_retry(failure)
            finally:
                await self._release(place)

    def timed_out(self) -> RequestFailed:
        """Return the failure of a request whose deadline has passed."""
        if self.may_have_run or self.tried:
            return RequestFailed(
                'no upstream answered in time',
                Verdict.MAY_HAVE_RUN,
                _GATEWAY_TIMEOUT,
            )
        return RequestFailed(
            'no upstream was free in time',
            Verdict.NOT_RUN,
            _UNAVAILABLE,
            _RETRY_BUSY,
        )

    def summary(self) -> dict[str, Any]:
        """Return the inputs of the decisions, for the log."""
        ticket = self.ticket
        first = self.first_event_at
        return {
            'route': ticket.route.name,
            'service': ticket.service,
            'client': ticket.client.name if ticket.client else '',
            'configuration': ticket.catalogue.version,
            'upstreams': self.tried,
            'rejected': self.rejected,
            'may_have_run': self.may_have_run,
            'waited_ms': round(self.waited * 1000, 1),
            'first_ms': round((first - ticket.request.arrived_at) * 1000, 1)
            if first
            else None,
            'longest_gap_ms': round(self.longest_gap * 1000, 1),
        }

    async def _acquire(self) -> Place:
        ticket = self.ticket
        started = time.monotonic()
        limit = started + ticket.route.objective * _WAIT_SHARE
        while True:
            now = time.monotonic()
            place = self.relay.balancer.acquire(
                ticket.catalogue,
                ticket.service,
                now,
                self.tried,
                ticket.regions,
            )
            self.waited += now - started
            started = now
            if place is not None:
                return place
            if now >= limit:
                raise self._no_place()
            await self._wait_freed(limit - now)

    async def _wait_freed(self, timeout: float) -> None:
        try:
            async with asyncio.timeout(timeout), self.relay.freed:
                await self.relay.freed.wait()
        except TimeoutError:
            return

    async def _release(self, place: Place) -> None:
        self.relay.balancer.release(place)
        async with self.relay.freed:
            self.relay.freed.notify()

    def _no_place(self) -> RequestFailed:
        if self.may_have_run:
            return RequestFailed(
                'no other upstream is free',
                Verdict.MAY_HAVE_RUN,
                _BAD_GATEWAY,
            )
        return RequestFailed(
            'no upstream is free',
            Verdict.NOT_RUN,
            _UNAVAILABLE,
            _RETRY_BUSY,
        )

    def _note_failure(self, place: Place, failure: RequestFailed) -> None:
        if failure.verdict is Verdict.NOT_RUN:
            self.rejected += 1
        else:
            self.may_have_run += 1

    def _check_retry(self, failure: RequestFailed) -> None:
        """Raise the failure unless the request may be sent once more."""
        ticket = self.ticket
        now = time.monotonic()
        if self.may_have_run and not ticket.route.repeatable:
            raise failure
        allowed = (
            self.may_have_run < ticket.route.attempts
            and self.rejected <= _MAX_REJECTED
            and ticket.deadline - now > _SHORTEST
            and self.relay.budget.spend(ticket.service, now)
        )
        if allowed:
            return
        if self.may_have_run and failure.verdict is Verdict.NOT_RUN:
            raise RequestFailed(
                str(failure),
                Verdict.MAY_HAVE_RUN,
                _BAD_GATEWAY,
            )
        raise failure

    async def _attempt(self, place: Place) -> None:
        ticket = self.ticket
        name = place.upstream.name
        try:
            channel = await self.relay.pool.open_answer(
                place.upstream,
                ticket.request,
                self._outgoing(name),
                ticket.route.repeatable,
            )
        except RequestFailed:
            self.relay.balancer.fail(name, time.monotonic())
            raise
        try:
            await self._relay_answer(channel)
        except RequestRejected:
            self.relay.pool.release(channel)
            raise
        except ConnectionBroken:
            channel.close()
            if not channel.reused:
                self.relay.balancer.fail(name, time.monotonic())
            raise
        except BaseException:
            channel.close()
            raise
        self.relay.pool.release(channel)

    def _outgoing(self, name: str) -> Outgoing:
        ticket = self.ticket
        return Outgoing(
            upstream=name,
            timeout=ticket.deadline - time.monotonic(),
            client=ticket.client.name if ticket.client else '',
            resume_after=self.resume_after,
        )

    async def _relay_answer(self, channel: Channel) -> None:
        request_id = self.ticket.request.request_id
        stream = self.ticket.route.execution is Execution.STREAM
        silence = _SILENCE if self.ticket.route.repeatable and stream else None
        try:
            async with asyncio.timeout(silence) as timer:
                reply = await channel.receive_head(
                    self.relay.pool.codec,
                    request_id,
                )
                if stream and reply.signed and reply.status in _SUCCESS:
                    await self._relay_events(channel, reply, timer, silence)
                else:
                    await self._relay_whole(channel, reply)
        except TimeoutError as error:
            raise ConnectionBroken(
                f'{channel.upstream.name}: silent for {silence} s',
                Verdict.MAY_HAVE_RUN,
                _GATEWAY_TIMEOUT,
            ) from error
        self.relay.balancer.succeed(channel.upstream.name, reply.load)

    async def _relay_events(
        self,
        channel: Channel,
        reply: Reply,
        timer: asyncio.Timeout,
        silence: float | None,
    ) -> None:
        groups = self.relay.balancer.groups
        name = channel.upstream.name
        groups.begin(name, time.monotonic())
        try:
            await self._forward_events(channel, reply, timer, silence)
        finally:
            groups.end(name)

    async def _forward_events(
        self,
        channel: Channel,
        reply: Reply,
        timer: asyncio.Timeout,
        silence: float | None,
    ) -> None:
        splitter = EventSplitter()
        loop = asyncio.get_running_loop()
        async for content in channel.body():
            self._note_event(channel.upstream.name, time.monotonic())
            # The time that the caller takes to read is not the upstream's.
            timer.reschedule(None)
            for event in splitter.feed(content):
                if not self.answer.started:
                    self.first_event_at = time.monotonic()
                    self.answer.start(reply.status, _unframed(reply))
                await self.answer.send(event.content)
                self.resume_after = event.event_id or self.resume_after
            if silence:
                timer.reschedule(loop.time() + silence)
        if splitter.rest or not self.answer.started:
            raise ConnectionBroken(
                f'{channel.upstream.name}: ended within an event',
                Verdict.MAY_HAVE_RUN,
                _BAD_GATEWAY,
            )
        self.answer.finish()

    def _note_event(self, upstream: str, now: float) -> None:
        self.relay.balancer.groups.move(upstream, now)
        if self.event_at:
            self.longest_gap = max(self.longest_gap, now - self.event_at)
        self.event_at = now

    async def _relay_whole(self, channel: Channel, reply: Reply) -> None:
        chunks: list[bytes] = []
        async for content in channel.body():
            chunks.append(content)
        body = b''.join(chunks)
        if not reply.executed:
            raise self._rejected(channel, reply)
        if self.answer.started:
            raise _broken(channel, f'answered {reply.status} to a resumption')
        if not reply.signed:
            raise _broken(channel, f'unsigned answer {reply.status}')
        last = self.may_have_run + 1 >= self.ticket.route.attempts
        if reply.status >= _SERVER_ERROR and self.ticket.route.repeatable:
            if not last and self._can_repeat():
                raise _broken(channel, f'answered {reply.status}')
        self.first_event_at = time.monotonic()
        self.answer.whole(reply.status, reply.headers, body)

    def _can_repeat(self) -> bool:
        return self.ticket.deadline - time.monotonic() > _SHORTEST

    def _rejected(self, channel: Channel, reply: Reply) -> RequestFailed:
        now = time.monotonic()
        if reply.culprit and reply.culprit != channel.upstream.name:
            self.relay.balancer.groups.reject(channel.upstream.name, now)
        else:
            self.relay.balancer.fail(channel.upstream.name, now)
        return RequestRejected(
            f'{channel.upstream.name}: turned away with {reply.status}',
            Verdict.NOT_RUN,
            _UNAVAILABLE,
            _RETRY_BUSY,
        )


def _broken(channel: Channel, text: str) -> RequestFailed:
    return RequestFailed(
        f'{channel.upstream.name}: {text}',
        Verdict.MAY_HAVE_RUN,
        _BAD_GATEWAY,
    )


def _unframed(reply: Reply) -> list[tuple[bytes, bytes]]:
    return [
        (name, text)
        for name, text in reply.headers
        if name.lower() != b'content-length'
    ]
