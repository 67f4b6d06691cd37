"""Sends one attempt to an upstream and forwards its response."""

import asyncio
import time
from collections.abc import Callable

from ..exceptions import (
    ConnectionBroken,
    RequestFailed,
    RequestRejected,
    ResponseInvalid,
    UpstreamSilent,
    UpstreamWithdrawn,
)
from ..verdicts import Verdict
from .attempts import Attempt, Progress
from .authorization import AuthorizedRequest
from .balancer import Reservation
from .configuration import Execution
from .connection_pool import UpstreamConnection
from .events import Event, EventSplitter
from .forwarding_context import ForwardingContext
from .listeners import ResponseWriter
from .requests import ForwardingInfo, ResponseHead
from .silence import silence_limit
from .upstreams import Upstream

__all__ = (
    'RETRY_AFTER_BUSY_SECONDS',
    'ResponseForwarder',
)

# Retry-After while all upstreams are busy: about the time in which a tenth of
# the slots become free.
RETRY_AFTER_BUSY_SECONDS = 0.3
# Responses up to this size are buffered completely before any byte is sent to
# the caller, so that a truncated response can be retried.
_BUFFERED_BODY_LIMIT_BYTES = 262144
# What every request holds memory for; more of a response takes further memory.
_FREE_BYTES = 65536
# No attempt is made with less time left: an upstream could not respond.
MIN_REMAINING_SECONDS = 0.05
_FIRST_SERVER_ERROR_STATUS = 500
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


class ResponseForwarder:
    """Sends a request to an upstream and forwards the response.

    It is used for each attempt of one request. While an upstream is silent,
    another attempt may run beside its own; the first one that has something
    for the caller goes on alone.

    Attributes:
        unbuffered: whether a response without events exceeded the buffer and
            is forwarded as it arrives.
        blamed: whether the request alone may have crashed an upstream.
        stream_type: content type of the stream that was started.
        attempts: the attempts that have not ended.
        usage: counts the request once it runs.
        on_progress: called before an attempt sends something to the caller; it
            must end all others.
    """

    def __init__(
        self,
        context: ForwardingContext,
        authorized: AuthorizedRequest,
        response: ResponseWriter,
        progress: Progress,
        on_progress: Callable[[], None],
    ) -> None:
        """Write responses to the request of ``authorized`` to ``response``."""
        self.context = context
        self.authorized = authorized
        self.response = response
        self.progress = progress
        self.on_progress = on_progress
        self.unbuffered = False
        self.blamed = False
        self.stream_type = b''
        self.attempts: list[Attempt] = []
        self.usage = context.request_usage(authorized)

    async def send(self, reservation: Reservation) -> Attempt:
        """Send the request; return the attempt, whose answer is due.

        The slot of ``reservation`` is released when the attempt ends.

        Raises:
            RequestFailed: the request was not sent.
        """
        upstream = reservation.upstream
        sent_at = time.monotonic()
        self.usage.record_sent(sent_at)
        try:
            connection = await self.context.pool.send_request(
                upstream,
                self.authorized.request,
                self._forwarding_info(upstream.name),
                self.authorized.route.retryable,
                self.context.balancer.is_withdrawn,
            )
        except BaseException as error:
            self._release(reservation)
            if isinstance(error, RequestFailed) and not isinstance(
                error, UpstreamWithdrawn
            ):
                self.context.balancer.health.record_unreachable(
                    upstream, time.monotonic()
                )
            raise
        candidate = self.context.crash_detector.start(
            upstream,
            self.authorized.request,
            self.authorized.service,
            self.authorized.client.name if self.authorized.client else '',
        )
        attempt = Attempt(reservation, connection, candidate, sent_at)
        attempt.waits_in = self.context.balancer.groups.record_request(
            upstream.name, attempt, sent_at
        )
        self.attempts.append(attempt)
        return attempt

    async def forward(
        self, attempt: Attempt, last_attempt: bool, limited: bool
    ) -> None:
        """Forward the answer to an attempt.

        Args:
            attempt: the attempt.
            last_attempt: whether to forward a server error of the upstream
                instead of raising it.
            limited: whether to raise ``UpstreamSilent`` if no event comes for
                long. After an event, that is done in any case.

        Raises:
            UpstreamSilent: no event came; the attempt has not ended.
            RequestFailed: no complete response was forwarded.
            ConnectionError: the caller closed the connection.
        """
        try:
            await self._receive(attempt, last_attempt, limited)
        except UpstreamSilent:
            # It may have been lost, which says nothing of the group.
            self._untrack(attempt)
            raise
        except RequestRejected:
            self.context.pool.release(attempt.connection)
            self._end(attempt)
            raise
        except BaseException as error:
            await self._close_broken(attempt, error)
            raise
        self.context.pool.release(attempt.connection)
        self._end(attempt)

    def close(self) -> None:
        """Cancel the attempts that have not ended."""
        for attempt in tuple(self.attempts):
            attempt.connection.close()
            self._end(attempt)

    async def _close_broken(
        self, attempt: Attempt, error: BaseException
    ) -> None:
        """Close a connection and record what its end says of the upstream."""
        connection = attempt.connection
        ended_by_upstream = connection.ended
        connection.close()
        name = attempt.upstream.name
        try:
            if isinstance(error, ConnectionBroken) and not connection.reused:
                self.context.balancer.health.record_failure(
                    name, time.monotonic()
                )
            if ended_by_upstream and isinstance(error, RequestFailed):
                detector = self.context.crash_detector
                if await detector.record_break(attempt.candidate):
                    self.blamed = True
        finally:
            self._end(attempt)

    def _track(self, attempt: Attempt) -> None:
        attempt.end_waiting()
        if attempt.group is None:
            groups = self.context.balancer.groups
            attempt.group = groups.record_stream_start(
                attempt.upstream.name, time.monotonic()
            )

    def _untrack(self, attempt: Attempt) -> None:
        if attempt.group is not None:
            attempt.group.record_end()
            attempt.group = None

    def _end(self, attempt: Attempt) -> None:
        attempt.end_waiting()
        self._untrack(attempt)
        self.attempts.remove(attempt)
        self.response.memory.release_response(attempt.held_bytes)
        attempt.held_bytes = 0
        self.context.crash_detector.end(attempt.candidate)
        self._release(attempt.reservation)

    def _release(self, reservation: Reservation) -> None:
        self.context.release(self.authorized.service, reservation)

    def _forwarding_info(self, name: str) -> ForwardingInfo:
        client = self.authorized.client
        return ForwardingInfo(
            upstream=name,
            timeout=self.authorized.deadline - time.monotonic(),
            client=client.name if client else '',
            last_event_id=self.progress.last_event_id,
        )

    async def _receive(
        self, attempt: Attempt, last_attempt: bool, limited: bool
    ) -> None:
        name = attempt.upstream.name
        stream = self.authorized.route.execution is Execution.STREAM
        limit = silence_limit(self.authorized.route)
        try:
            async with asyncio.timeout(limit if limited else None) as timer:
                head = attempt.head or await self._receive_head(attempt)
                if stream and head.signed and head.is_success:
                    await self._forward_stream(attempt, head, timer)
                else:
                    await self._forward_body(attempt, head, last_attempt)
        except TimeoutError as error:
            if not attempt.connection.reused:
                self.context.balancer.health.record_failure(
                    name, time.monotonic()
                )
            raise UpstreamSilent(
                f'{name}: silent for {limit} s',
                Verdict.MAY_HAVE_RUN,
                GATEWAY_TIMEOUT,
            ) from error
        self.context.balancer.health.record_success(name)
        self.context.crash_detector.record_sound(attempt.candidate)

    async def _receive_head(self, attempt: Attempt) -> ResponseHead:
        head = await attempt.connection.receive_head(
            self.context.pool.codec,
            self.authorized.request.request_id,
        )
        attempt.head = head
        notices = self.context.balancer.limits.notices
        notices.record_response(attempt.upstream, head, time.monotonic())
        if head.pause:
            pauses = self.context.metrics.wanted_pauses
            pauses.labels(self.authorized.service).inc()
        return head

    async def _forward_stream(
        self, attempt: Attempt, head: ResponseHead, timer: asyncio.Timeout
    ) -> None:
        connection = attempt.connection
        content_type = head.content_type
        if self.response.started and content_type != self.stream_type:
            # For example an error with a success status.
            detail = f'continued with {content_type!r}'
            raise _broken_response(connection, detail)
        if attempt.splitter is None:
            self._track(attempt)
            attempt.splitter = EventSplitter(
                self.context.pool.limits.event_bytes
            )
        try:
            # Reading may have been interrupted between two events.
            await self._forward_received(attempt, head, attempt.splitter, timer)
            async for content in connection.body():
                attempt.splitter.feed(content)
                await self._forward_received(
                    attempt, head, attempt.splitter, timer
                )
        except ResponseInvalid as error:
            raise _broken_response(connection, str(error)) from error
        if attempt.splitter.pending or not attempt.event_count:
            # Without an event, what is missing may be all after the break.
            raise _broken_response(connection, 'ended within an event')
        self.on_progress()
        self.response.finish()
        self.context.balancer.costs.record_whole(attempt.reservation.job)

    def _hold(self, attempt: Attempt, size: int) -> bool:
        """Hold memory for ``size`` bytes that were received and not sent on.

        Returns:
            Whether there is enough.
        """
        missing = size - _FREE_BYTES - attempt.held_bytes
        if missing <= 0:
            return True
        # By doubling, so that tiny parts need few steps.
        extension = max(missing, attempt.held_bytes, _FREE_BYTES)
        if not self.response.memory.extend_response(extension):
            return False
        attempt.held_bytes += extension
        return True

    async def _forward_received(
        self,
        attempt: Attempt,
        head: ResponseHead,
        splitter: EventSplitter,
        timer: asyncio.Timeout,
    ) -> None:
        """Forward the complete events that were received, a few at a time.

        Raises:
            ResponseInvalid: the next event is too large, or there is too little
                memory for it.
        """
        events = splitter.take()
        # Only complete events are progress.
        while events:
            await self._forward_events(attempt, head, events, timer)
            events = splitter.take()
            if events:
                await asyncio.sleep(0)
        if not self._hold(attempt, len(splitter.pending)):
            raise ResponseInvalid('out of memory for an event')

    async def _forward_events(
        self,
        attempt: Attempt,
        head: ResponseHead,
        events: list[Event],
        timer: asyncio.Timeout,
    ) -> None:
        self.on_progress()
        self._track(attempt)
        self._record_content(attempt, len(events), time.monotonic())
        # Time spent writing to a slow caller does not count as silence of the
        # upstream.
        timer.reschedule(None)
        if not self.response.started:
            self._start_stream(attempt, head)
        await self.response.send(b''.join(event.content for event in events))
        attempt.event_count += len(events)
        self.context.crash_detector.record_event(
            attempt.candidate, attempt.event_count
        )
        for event in events:
            self.progress.last_event_id = (
                event.event_id or self.progress.last_event_id
            )
        limit = silence_limit(self.authorized.route)
        if limit is not None:
            timer.reschedule(asyncio.get_running_loop().time() + limit)

    def _start_stream(self, attempt: Attempt, head: ResponseHead) -> None:
        now = time.monotonic()
        self.progress.first_event_at = now
        self.usage.record_first_event(now)
        estimate = self.context.first_event_estimate(self.authorized.service)
        estimate.observe(now - attempt.sent_at)
        self.stream_type = head.content_type
        self.response.start(head.status, head.stream_headers)

    def _record_content(self, attempt: Attempt, count: int, now: float) -> None:
        progress = self.progress
        gap = now - progress.last_event_at if progress.last_event_at else 0
        balancer = self.context.balancer
        engine = self.authorized.engine
        balancer.record_event(attempt.upstream, attempt.group, engine, gap, now)
        balancer.costs.record_events(attempt.reservation.job, engine, count)
        progress.longest_gap = max(progress.longest_gap, gap)
        progress.last_event_at = now

    async def _forward_body(
        self, attempt: Attempt, head: ResponseHead, last_attempt: bool
    ) -> None:
        body = attempt.body
        async for content in attempt.connection.body():
            body += content
            has_memory = self._hold(attempt, len(body))
            if len(body) > _BUFFERED_BODY_LIMIT_BYTES or not has_memory:
                await self._forward_part(attempt, head, last_attempt)
        if self.unbuffered:
            await self.response.send(bytes(body))
            self.response.finish()
            return
        self._check_forwardable(attempt.connection, head, last_attempt)
        self.on_progress()
        self.progress.first_event_at = time.monotonic()
        self.usage.record_response(attempt.sent_at)
        self.response.respond(head.status, head.headers, bytes(body))

    async def _forward_part(
        self, attempt: Attempt, head: ResponseHead, last_attempt: bool
    ) -> None:
        """Forward part of a response that is too large to be buffered."""
        if not self.unbuffered:
            self._check_forwardable(attempt.connection, head, last_attempt)
            self.on_progress()
            self.unbuffered = True
            self.progress.first_event_at = time.monotonic()
            self.usage.record_response(attempt.sent_at)
            self.response.start(head.status, head.headers)
        part = bytes(attempt.body)
        attempt.body.clear()
        await self.response.send(part)

    def _check_forwardable(
        self,
        connection: UpstreamConnection,
        head: ResponseHead,
        last_attempt: bool,
    ) -> None:
        """Raise the failure if a response must not be forwarded."""
        if not head.executed:
            raise self._rejection(connection, head)
        failed = head.status >= _FIRST_SERVER_ERROR_STATUS
        if (
            self.response.started
            or not head.signed
            or head.claims_not_run
            or (failed and not last_attempt)
        ):
            raise _broken_response(connection, f'answered {head.status}')

    def _rejection(
        self, connection: UpstreamConnection, head: ResponseHead
    ) -> RequestFailed:
        name = connection.upstream.name
        balancer = self.context.balancer
        if head.failed_upstream and head.failed_upstream != name:
            balancer.groups.record_rejection(name, time.monotonic())
        else:
            balancer.health.record_failure(name, time.monotonic())
        return RequestRejected(
            f'{name}: turned away with {head.status}',
            Verdict.NOT_RUN,
            UNAVAILABLE,
            RETRY_AFTER_BUSY_SECONDS,
        )


def _broken_response(
    connection: UpstreamConnection, detail: str
) -> RequestFailed:
    name = connection.upstream.name
    return RequestFailed(f'{name}: {detail}', Verdict.MAY_HAVE_RUN, BAD_GATEWAY)
