"""Sends one attempt to an upstream and forwards its response."""

import asyncio
import dataclasses
import math
import time
from typing import TYPE_CHECKING

from ..exceptions import (
    ConnectionBroken,
    RequestFailed,
    RequestRejected,
    ResponseInvalid,
    UpstreamWithdrawn,
)
from ..verdicts import Verdict
from .balancer import Reservation
from .configuration import Execution, Route
from .connection_pool import UpstreamConnection
from .crash_detection import Candidate
from .events import Event, EventSplitter
from .listeners import ResponseWriter
from .requests import ForwardingInfo, Headers, ResponseHead
from .upstreams import Upstream

if TYPE_CHECKING:
    from .authorization import AuthorizedRequest
    from .proxy import Proxy

__all__ = ('RETRY_AFTER_BUSY_SECONDS', 'Progress', 'ResponseForwarder')

# Retry-After while all upstreams are busy: about the time in which a tenth of
# the slots become free.
RETRY_AFTER_BUSY_SECONDS = 0.3
# Responses up to this size are buffered completely before any byte is sent to
# the caller, so that a truncated response can be retried.
_BUFFERED_BODY_LIMIT_BYTES = 262144
# A resumable stream without a complete event for this share of the time after
# which its caller abandons it continues at another upstream.
_SILENCE_SHARE = 0.65
# Callers abandon a stream after a gap of this time, or of these multiples of
# the objectives for the first event and for gaps, whichever is longest.
_MIN_PATIENCE_SECONDS = 2.0
_OBJECTIVE_PATIENCE_FACTOR = 4
_GAP_PATIENCE_FACTOR = 8
# No attempt is made with less time left: an upstream could not respond.
MIN_REMAINING_SECONDS = 0.05
_SUCCESS_STATUSES = range(200, 300)
_FIRST_SERVER_ERROR_STATUS = 500
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


@dataclasses.dataclass(slots=True)
class Progress:
    """How much of the response the caller has; times in monotonic seconds.

    ``last_event_id`` is the ID of the last event that was sent to the caller.
    ``sent_at`` is the start of the current attempt. ``longest_gap`` is the
    longest time between two parts of a stream, in seconds. ``attempt_events``
    is the number of events that the current attempt has delivered.
    """

    last_event_id: str
    sent_at: float = 0
    first_event_at: float = 0
    last_event_at: float = 0
    longest_gap: float = 0
    attempt_events: int = 0


class ResponseForwarder:
    """Sends a request to an upstream and forwards the response.

    It is used for each attempt of one request.

    Attributes:
        unbuffered: whether a response without events exceeded the buffer and
            is forwarded as it arrives.
        candidate: the current attempt, until it is known not to crash the upstream.
        blamed: whether the request alone may have crashed an upstream.
        stream_type: content type of the stream that was started.
    """

    candidate: Candidate

    def __init__(
        self,
        proxy: 'Proxy',
        authorized: 'AuthorizedRequest',
        response: ResponseWriter,
        progress: Progress,
    ) -> None:
        """Write responses to the request of ``authorized`` to ``response``."""
        self.proxy = proxy
        self.authorized = authorized
        self.response = response
        self.progress = progress
        self.unbuffered = False
        self.blamed = False
        self.stream_type = b''

    async def run(self, reservation: Reservation, last_attempt: bool) -> None:
        """Send the request and forward the response.

        Args:
            reservation: the slot at the upstream to send to.
            last_attempt: whether to forward a server error of the upstream
                instead of raising it.

        Raises:
            RequestFailed: no complete response was forwarded.
            ConnectionError: the caller closed the connection.
        """
        upstream = reservation.upstream
        self.progress.sent_at = time.monotonic()
        self.progress.attempt_events = 0
        try:
            connection = await self.proxy.pool.send_request(
                upstream,
                self.authorized.request,
                self._forwarding_info(upstream.name),
                self.authorized.route.retryable,
                self.proxy.balancer.is_withdrawn,
            )
        except RequestFailed as failure:
            if not isinstance(failure, UpstreamWithdrawn):
                self.proxy.balancer.health.record_unreachable(
                    upstream, time.monotonic()
                )
            raise
        self.candidate = self.proxy.crash_detector.start(
            upstream,
            self.authorized.request,
            self.authorized.service,
            self.authorized.client.name if self.authorized.client else '',
        )
        try:
            await self._receive(connection, last_attempt)
        except RequestRejected:
            self.proxy.pool.release(connection)
            raise
        except BaseException as error:
            await self._close_broken(connection, error)
            raise
        finally:
            self.proxy.crash_detector.end(self.candidate)
        self.proxy.pool.release(connection)

    async def _close_broken(
        self, connection: UpstreamConnection, error: BaseException
    ) -> None:
        """Close a connection and record what its end says of the upstream."""
        ended_by_upstream = connection.ended
        connection.close()
        name = connection.upstream.name
        if isinstance(error, ConnectionBroken) and not connection.reused:
            self.proxy.balancer.health.record_failure(name, time.monotonic())
        if ended_by_upstream and isinstance(error, RequestFailed):
            detector = self.proxy.crash_detector
            self.blamed = await detector.record_break(self.candidate)

    def _forwarding_info(self, name: str) -> ForwardingInfo:
        client = self.authorized.client
        return ForwardingInfo(
            upstream=name,
            timeout=self.authorized.deadline - time.monotonic(),
            client=client.name if client else '',
            last_event_id=self.progress.last_event_id,
        )

    async def _receive(
        self, connection: UpstreamConnection, last_attempt: bool
    ) -> None:
        name = connection.upstream.name
        stream = self.authorized.route.execution is Execution.STREAM
        silence_timeout = (
            _silence_timeout(self.authorized.route)
            if self.authorized.route.retryable and stream
            else None
        )
        try:
            async with asyncio.timeout(silence_timeout) as timer:
                head = await connection.receive_head(
                    self.proxy.pool.codec,
                    self.authorized.request.request_id,
                )
                self._record_statements(connection.upstream, head)
                if stream and head.signed and head.status in _SUCCESS_STATUSES:
                    await self._forward_stream(connection, head, timer)
                else:
                    await self._forward_body(connection, head, last_attempt)
        except TimeoutError as error:
            raise ConnectionBroken(
                f'{name}: silent for {silence_timeout} s',
                Verdict.MAY_HAVE_RUN,
                GATEWAY_TIMEOUT,
            ) from error
        self.proxy.balancer.health.record_success(name)
        self.proxy.crash_detector.record_sound(self.candidate)

    def _record_statements(
        self, upstream: Upstream, head: ResponseHead
    ) -> None:
        notices = self.proxy.balancer.limits.notices
        notices.record_response(upstream, head, time.monotonic())
        if head.pause:
            pauses = self.proxy.metrics.wanted_pauses
            pauses.labels(self.authorized.service).inc()

    async def _forward_stream(
        self,
        connection: UpstreamConnection,
        head: ResponseHead,
        timer: asyncio.Timeout,
    ) -> None:
        groups = self.proxy.balancer.groups
        upstream = connection.upstream
        content_type = _content_type(head.headers)
        if self.response.started and content_type != self.stream_type:
            # For example an error with a success status.
            raise _broken_response(
                connection, f'continued with {content_type!r}'
            )
        self.stream_type = content_type
        groups.record_stream_start(upstream.name, time.monotonic())
        splitter = EventSplitter(self.proxy.pool.limits.event_bytes)
        try:
            async for content in connection.body():
                events = splitter.feed(content)
                await self._forward_events(upstream, head, events, timer)
        except ResponseInvalid as error:
            raise _broken_response(connection, str(error)) from error
        finally:
            groups.record_stream_end(upstream.name)
        if splitter.pending or not self.progress.attempt_events:
            # Without an event, what is missing may be all after the break.
            raise _broken_response(connection, 'ended within an event')
        self.response.finish()

    async def _forward_events(
        self,
        upstream: Upstream,
        head: ResponseHead,
        events: list[Event],
        timer: asyncio.Timeout,
    ) -> None:
        if not events:
            # Only complete events are progress.
            return
        self._record_content(upstream, time.monotonic())
        deadline = timer.when()
        # Time spent writing to a slow caller does not count as silence of the
        # upstream.
        timer.reschedule(None)
        for event in events:
            if not self.response.started:
                self._record_first_event()
                self.response.start(
                    head.status, _without_content_length(head.headers)
                )
            await self.response.send(event.content)
            self.progress.attempt_events += 1
            self.proxy.crash_detector.record_event(
                self.candidate, self.progress.attempt_events
            )
            if event.event_id:
                self.progress.last_event_id = event.event_id
        if deadline is not None:
            loop = asyncio.get_running_loop()
            timer.reschedule(
                loop.time() + _silence_timeout(self.authorized.route)
            )

    def _record_first_event(self) -> None:
        now = time.monotonic()
        self.progress.first_event_at = now
        estimate = self.proxy.first_event_estimate(self.authorized.service)
        estimate.observe(now - self.progress.sent_at)

    def _record_content(self, upstream: Upstream, now: float) -> None:
        progress = self.progress
        gap = now - progress.last_event_at if progress.last_event_at else 0
        self.proxy.balancer.record_event(
            upstream, self.authorized.engine, gap, now
        )
        progress.longest_gap = max(progress.longest_gap, gap)
        progress.last_event_at = now

    async def _forward_body(
        self,
        connection: UpstreamConnection,
        head: ResponseHead,
        last_attempt: bool,
    ) -> None:
        body = b''
        async for content in connection.body():
            body += content
            if len(body) > _BUFFERED_BODY_LIMIT_BYTES:
                await self._forward_part(connection, head, last_attempt, body)
                body = b''
        if self.unbuffered:
            await self.response.send(body)
            self.response.finish()
            return
        self._check_forwardable(connection, head, last_attempt)
        self.progress.first_event_at = time.monotonic()
        self.response.respond(head.status, head.headers, body)

    async def _forward_part(
        self,
        connection: UpstreamConnection,
        head: ResponseHead,
        last_attempt: bool,
        part: bytes,
    ) -> None:
        """Forward part of a response that is too large to be buffered."""
        if not self.unbuffered:
            self._check_forwardable(connection, head, last_attempt)
            self.unbuffered = True
            self.progress.first_event_at = time.monotonic()
            self.response.start(head.status, head.headers)
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
            or (failed and not last_attempt)
        ):
            raise _broken_response(connection, f'answered {head.status}')

    def _rejection(
        self, connection: UpstreamConnection, head: ResponseHead
    ) -> RequestFailed:
        name = connection.upstream.name
        balancer = self.proxy.balancer
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


def _silence_timeout(route: Route) -> float:
    """Return the time after which a stream continues elsewhere, in seconds."""
    patience = max(
        _MIN_PATIENCE_SECONDS,
        _OBJECTIVE_PATIENCE_FACTOR * route.objective,
        _GAP_PATIENCE_FACTOR * _finite(route.gap_objective),
    )
    return _SILENCE_SHARE * patience


def _finite(seconds: float) -> float:
    return seconds if math.isfinite(seconds) else 0


def _broken_response(
    connection: UpstreamConnection, detail: str
) -> RequestFailed:
    name = connection.upstream.name
    return RequestFailed(f'{name}: {detail}', Verdict.MAY_HAVE_RUN, BAD_GATEWAY)


def _content_type(headers: Headers) -> bytes:
    fields = {name.lower(): text for name, text in headers}
    return fields.get(b'content-type', b'').lower()


def _without_content_length(headers: Headers) -> Headers:
    """Drop Content-Length: events are forwarded in chunked encoding."""
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() != b'content-length'
    )
