"""One request on its way to upstreams, and its answer on the way back."""

import asyncio
import time
from typing import TYPE_CHECKING, Any

from ..exceptions import ConnectionBroken, RequestFailed, RequestRejected
from ..verdicts import Verdict
from .balancer import Demand, Place
from .catalogue import Execution
from .channels import Channel
from .events import EventSplitter
from .listeners import Answer
from .requests import Outgoing, Reply
from .waiting import Turn

if TYPE_CHECKING:
    from .relay import Relay, Ticket

__all__ = ('Exchange',)

# How long a request waits for a place at most, in seconds: a caller leaves a
# stream that has not begun after 2 s.
_LONGEST_WAIT = 1.4
# ... and as a share of the time that it has left.
_WAIT_SHARE = 0.5
# A waiting request looks for a place at least this often, in seconds.
_LOOK_AGAIN = 0.1
# A request that will be late takes a place only if this many more are left at
# the upstream: one that is on time is worth four times as much.
_SPARE_PLACES = 1
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
        self.sent_at = 0.0
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
                self._release(place)

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
        """Wait for a place at an upstream.

        Raises:
            RequestFailed: none became free in time.
        """
        ticket = self.ticket
        started = time.monotonic()
        line = self.relay.line(ticket.service)
        limit = started + min(
            _LONGEST_WAIT,
            _WAIT_SHARE * (ticket.deadline - started),
        )
        try:
            while True:
                now = time.monotonic()
                turn = self._turn(now)
                if line.may_go(turn):
                    place = self._take_place(now, turn)
                    if place is not None:
                        return place
                if now >= limit:
                    raise self._no_place()
                # Turns to late in the line, and news of others may be lost.
                await line.wait(turn, min(limit - now, _LOOK_AGAIN))
        finally:
            self.waited += time.monotonic() - started
            line.call()

    def _turn(self, now: float) -> Turn:
        ticket = self.ticket
        late_at = ticket.made_at + ticket.route.objective
        late_at -= self.relay.first_event_time(ticket.service)
        return Turn(now > late_at, ticket.priority, ticket.made_at)

    def _take_place(self, now: float, turn: Turn) -> Place | None:
        ticket = self.ticket
        return self.relay.balancer.acquire(
            ticket.catalogue,
            ticket.service,
            now,
            Demand(
                excluded=tuple(self.tried),
                regions=ticket.regions,
                spare=_SPARE_PLACES if turn.late else 0,
                longest_gap=ticket.route.gap_objective,
            ),
        )

    def _release(self, place: Place) -> None:
        self.relay.balancer.release(place)
        self.relay.line(self.ticket.service).call()

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
        self.sent_at = time.monotonic()
        try:
            channel = await self.relay.pool.open_answer(
                place.upstream,
                ticket.request,
                self._outgoing(name),
                ticket.route.repeatable,
            )
        except RequestFailed:
            self.relay.balancer.lose(place.upstream, time.monotonic())
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
                    self._note_first_event()
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

    def _note_first_event(self) -> None:
        self.first_event_at = time.monotonic()
        self.relay.observe_first_event(
            self.ticket.service,
            self.first_event_at - self.sent_at,
        )

    def _note_event(self, upstream: str, now: float) -> None:
        gap = now - self.event_at if self.event_at else 0
        self.relay.balancer.groups.move(upstream, now, gap)
        self.longest_gap = max(self.longest_gap, gap)
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
