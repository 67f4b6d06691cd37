"""Forwards one request to upstreams, with queueing and retries."""

import asyncio
import contextlib
import logging
import math
import time
from typing import TYPE_CHECKING, Any

from ..exceptions import RequestFailed, UpstreamSilent, UpstreamWithdrawn
from ..verdicts import Verdict
from .attempt_history import AttemptHistory
from .attempt_race import AttemptRace
from .attempts import Attempt
from .balancer import Reservation, SelectionCriteria
from .configuration import Service
from .listeners import ResponseWriter
from .response_forwarding import (
    BAD_GATEWAY,
    GATEWAY_TIMEOUT,
    MIN_REMAINING_SECONDS,
    RETRY_AFTER_BUSY_SECONDS,
    UNAVAILABLE,
    Progress,
    ResponseForwarder,
)
from .silence import silence_limit
from .wait_queue import QueuePosition, Urgency

if TYPE_CHECKING:
    from .authorization import AuthorizedRequest
    from .proxy import Proxy

__all__ = ('RequestForwarder',)

log = logging.getLogger(__name__)

# Maximum queueing time of a first submission. It slightly exceeds the time in
# which the response can still meet its objective.
_INITIAL_WAIT_LIMIT_SECONDS = 0.7
# Maximum queueing time of a request that its caller submitted again after a
# refusal. It is not submitted a third time, but its caller abandons a stream
# that has not started within 2 s.
_RESUBMITTED_WAIT_LIMIT_SECONDS = 1.4
# Maximum queueing time as a share of the time left until the deadline.
_WAIT_SHARE = 0.5
# A queued request tries to acquire a slot at least this often.
_POLL_INTERVAL_SECONDS = 0.1
# Upper limit of Retry-After when no slot became free in time.
_RETRY_AFTER_LIMIT_SECONDS = 2.0
# Retry-After as a share of the time left until the deadline: callers wait for
# at most a third of it.
_RETRY_AFTER_SHARE = 0.33
# Attempts that upstreams may reject without running them, in addition to the
# attempts that the route allows to run.
_REJECTED_ATTEMPTS_LIMIT = 3


class RequestForwarder:
    """Sends one request to one upstream after another until one responds.

    Attributes:
        history: what has become of the attempts.
        race: attempts that run side by side while an upstream is silent.
        waited_seconds: total time spent in the queue.
    """

    def __init__(
        self,
        proxy: 'Proxy',
        authorized: 'AuthorizedRequest',
        response: ResponseWriter,
    ) -> None:
        """Prepare to forward the request of ``authorized``."""
        self.proxy = proxy
        self.authorized = authorized
        self.history = AttemptHistory(authorized.request)
        self.race = AttemptRace(self.history.log_failure)
        self.waited_seconds = 0.0
        self.progress = Progress(authorized.request.last_event_id)
        self.response_forwarder = ResponseForwarder(
            proxy, authorized, response, self.progress, self.race.end_others
        )

    async def run(self) -> None:
        """Forward the request and its response, retrying where allowed.

        Raises:
            RequestFailed: no upstream response can be forwarded.
            ConnectionError: the caller closed the connection.
        """
        self.proxy.retry_budget.record_request(
            self.authorized.service, time.monotonic()
        )
        try:
            failure = await self._attempt()
            while failure is not None:
                failure = await self._recover(failure)
        finally:
            self.response_forwarder.close()

    def timed_out(self) -> RequestFailed:
        """Return the failure to report when the deadline has passed."""
        if self.history.upstreams:
            return RequestFailed(
                'no upstream answered in time',
                Verdict.MAY_HAVE_RUN,
                GATEWAY_TIMEOUT,
            )
        return RequestFailed(
            'no upstream was free in time',
            Verdict.NOT_RUN,
            UNAVAILABLE,
            RETRY_AFTER_BUSY_SECONDS,
        )

    def log_fields(self) -> dict[str, Any]:
        """Return the fields that explain the routing decisions in the log."""
        authorized = self.authorized
        first_event_at = self.progress.first_event_at
        first_event_delay = (
            first_event_at - authorized.request.arrived_at
            if first_event_at
            else None
        )
        return {
            'route': authorized.route.name,
            'service': authorized.service,
            'client': authorized.client.name if authorized.client else '',
            'configuration': authorized.configuration.version,
            'upstreams': self.history.upstreams,
            'rejected': self.history.rejected,
            'may_have_run': self.history.may_have_run,
            'waited_ms': _to_milliseconds(self.waited_seconds),
            'first_ms': _to_milliseconds(first_event_delay),
            'longest_gap_ms': _to_milliseconds(self.progress.longest_gap),
        }

    async def _attempt(self) -> RequestFailed | None:
        """Send the request once; return the failure, or None on success."""
        reservation = await self._acquire()
        self.history.upstreams.append(reservation.upstream.name)
        if reservation.rates:
            self._log_limited_send(reservation)
        try:
            attempt = await self.response_forwarder.send(reservation)
        except RequestFailed as failure:
            self._count_attempt(failure.verdict.value)
            self.history.record_failure(failure)
            return failure
        return await self._forward(attempt, limited=True)

    async def _forward(
        self, attempt: Attempt, limited: bool
    ) -> RequestFailed | None:
        """Forward the answer to an attempt; return the failure, if any."""
        try:
            await self.response_forwarder.forward(
                attempt, self._is_last_attempt(attempt), limited
            )
        except UpstreamSilent as silence:
            self.history.record_possible_run(attempt)
            if len(self.response_forwarder.attempts) > 1:
                return await self._forward(attempt, limited=False)
            return silence
        except RequestFailed as failure:
            self._count_attempt(failure.verdict.value)
            self.history.record_failure(failure, attempt)
            return failure
        except asyncio.CancelledError:
            self.history.record_possible_run(attempt)
            raise
        self._count_attempt('answered')
        return None

    async def _recover(self, failure: RequestFailed) -> RequestFailed | None:
        """Go on after a failure; return the next one, or None on success.

        Raises:
            RequestFailed: the request must not be sent again.
        """
        if self.response_forwarder.attempts:
            self.history.log_silence(failure, self.progress.last_event_id)
            return await self._wait_for_silent()
        self._raise_unless_retryable(failure)
        return await self._attempt()

    async def _wait_for_silent(self) -> RequestFailed | None:
        """Wait until a silent upstream goes on, or another one takes over.

        A silent upstream is given up only for one that has answered: until
        then it may be the first to go on.
        """
        for attempt in tuple(self.response_forwarder.attempts):
            self.race.add(self._forward(attempt, limited=False))
        if self._may_retry(time.monotonic()):
            self.race.add(self._replace())
        return await self.race.run()

    async def _replace(self) -> RequestFailed | None:
        """Send the request to another upstream beside a silent one.

        Raises:
            RequestFailed: no other upstream is free, and the silent one has
                failed.
        """
        failure = await self._attempt_beside_silent()
        while failure is not None and failure.verdict is Verdict.NOT_RUN:
            if not self._may_retry(time.monotonic()):
                return failure
            self.history.log_failure(failure, sent_again=True)
            failure = await self._attempt_beside_silent()
        return failure

    async def _attempt_beside_silent(self) -> RequestFailed | None:
        """Send the request as soon as an upstream is free."""
        while True:
            try:
                return await self._attempt()
            except RequestFailed as failure:
                if not self.response_forwarder.attempts:
                    raise
                self.history.log_not_replaced(failure)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    silence_limit(self.authorized.route)
                ):
                    await self.race.failure_seen.wait()

    def _log_limited_send(self, reservation: Reservation) -> None:
        service = self.authorized.service
        self.proxy.metrics.limited_sends.labels(service).inc()
        log.info(
            'request sent to an upstream with a shared rate',
            extra={
                'request': self.authorized.request.request_id,
                'upstream': reservation.upstream.name,
                'rates': [rate.per_second for rate in reservation.rates],
                'hosts': reservation.host_count,
            },
        )

    def _count_attempt(self, outcome: str) -> None:
        attempts_metric = self.proxy.metrics.upstream_attempts
        attempts_metric.labels(self.authorized.service, outcome).inc()

    def _is_last_attempt(self, attempt: Attempt) -> bool:
        """Return whether a failure of an attempt is final."""
        if len(self.response_forwarder.attempts) > 1:
            return False
        route = self.authorized.route
        runs = self.history.may_have_run + (not attempt.may_have_run)
        if not route.retryable or runs >= route.attempts:
            return True
        return (
            self.authorized.deadline - time.monotonic() <= MIN_REMAINING_SECONDS
        )

    async def _acquire(self) -> Reservation:
        """Wait for a slot at an upstream.

        Raises:
            RequestFailed: no slot became free in time.
        """
        authorized = self.authorized
        started = time.monotonic()
        queue = self.proxy.queue(authorized.service)
        wait_limit = _INITIAL_WAIT_LIMIT_SECONDS
        if authorized.first_attempt_at < authorized.request.arrived_at:
            wait_limit = _RESUBMITTED_WAIT_LIMIT_SECONDS
        wait_until = started + min(
            wait_limit, _WAIT_SHARE * (authorized.deadline - started)
        )
        now = started
        reservation = self._try_acquire(now)
        try:
            while reservation is None:
                if now >= wait_until or self._should_not_wait(now, wait_until):
                    raise self._no_capacity()
                # Poll, since a queue position changes with time and a load
                # report of another gateway may be lost.
                await queue.wait(
                    self._queue_position(now),
                    min(wait_until - now, _POLL_INTERVAL_SECONDS),
                )
                now = time.monotonic()
                reservation = self._try_acquire(now)
        finally:
            self.waited_seconds += time.monotonic() - started
            queue.wake_next()
        return reservation

    def _refuse_suspect(self) -> None:
        """Refuse a request that is blamed for crashes of upstreams.

        Raises:
            RequestFailed: it is not sent to an upstream, or to no other one.
        """
        if self.response_forwarder.blamed:
            raise RequestFailed(
                'the request may have crashed an upstream',
                Verdict.MAY_HAVE_RUN,
                BAD_GATEWAY,
            )
        authorized = self.authorized
        delay = self.proxy.crash_detector.refusal_delay(
            authorized.request,
            authorized.service,
            authorized.client.name if authorized.client else '',
        )
        if delay is None:
            return
        self.proxy.metrics.refused_suspects.labels(authorized.service).inc()
        reason = 'requests like this one have crashed upstreams'
        if self.history.may_have_run:
            raise RequestFailed(reason, Verdict.MAY_HAVE_RUN, BAD_GATEWAY)
        raise RequestFailed(reason, Verdict.NOT_RUN, UNAVAILABLE, delay)

    def _should_not_wait(self, now: float, wait_until: float) -> bool:
        """Return whether no upstream will be free in time.

        A started stream waits anyway, because its caller already has part of
        the response.
        """
        if self.history.may_have_run:
            return False
        return (
            self.proxy.balancer.is_unavailable(self.authorized.service, now)
            or now + self._delay(now) > wait_until
        )

    def _delay(self, now: float) -> float:
        return self.proxy.balancer.delay(
            self._service(), self.authorized.regions, now
        )

    def _service(self) -> Service:
        name = self.authorized.service
        services = self.authorized.configuration.services
        return services.get(name) or Service(name, 0)

    def _queue_position(self, now: float) -> QueuePosition:
        authorized = self.authorized
        late_at = authorized.first_attempt_at + authorized.route.objective
        late_at -= self.proxy.first_event_estimate(
            authorized.service
        ).upper_bound
        urgency = Urgency.ON_TIME
        if self.progress.first_event_at:
            urgency = Urgency.RESUMED
        elif now > late_at:
            urgency = Urgency.LATE
        return QueuePosition.of(
            urgency, authorized.priority, authorized.first_attempt_at
        )

    def _try_acquire(self, now: float) -> Reservation | None:
        self._refuse_suspect()
        authorized = self.authorized
        if not self.history.may_have_run:
            self.proxy.authorizer.check_time_left(authorized.deadline, now)
        position = self._queue_position(now)
        if not self.proxy.queue(authorized.service).is_next(position):
            return None
        return self.proxy.balancer.acquire(
            authorized.configuration,
            authorized.service,
            now,
            SelectionCriteria(
                excluded=tuple(self.history.upstreams),
                regions=authorized.regions,
                urgency=position.urgency,
                longest_gap=authorized.route.gap_objective,
            ),
        )

    def _no_capacity(self) -> RequestFailed:
        cause = self.proxy.balancer.explain_no_capacity(
            self._service(), time.monotonic()
        )
        if self.history.may_have_run:
            return RequestFailed(
                f'no other upstream is free: {cause}',
                Verdict.MAY_HAVE_RUN,
                BAD_GATEWAY,
            )
        return RequestFailed(
            f'no upstream is free: {cause}',
            Verdict.NOT_RUN,
            UNAVAILABLE,
            self._retry_after(),
        )

    def _retry_after(self) -> float:
        """Return the Retry-After of a request that got no slot, in seconds.

        Its response will miss the objective in any case. An overload takes
        some seconds to clear; an outage of all upstreams takes longer. Where
        only other hosts may send, the caller reaches one of them by chance.
        """
        now = time.monotonic()
        max_delay = (self.authorized.deadline - now) * _RETRY_AFTER_SHARE
        if self.proxy.balancer.is_unavailable(self.authorized.service, now):
            return max_delay
        delay = self._delay(now)
        if math.isinf(delay):
            return min(RETRY_AFTER_BUSY_SECONDS, max_delay)
        if delay:
            return min(delay, max_delay)
        return min(_RETRY_AFTER_LIMIT_SECONDS, max_delay)

    def _raise_unless_retryable(self, failure: RequestFailed) -> None:
        """Raise the failure unless the request may be sent again."""
        if isinstance(failure, UpstreamWithdrawn):
            return
        retry = self._may_retry(time.monotonic())
        self.history.log_failure(failure, sent_again=retry)
        if retry:
            return
        if self.history.may_have_run and failure.verdict is Verdict.NOT_RUN:
            raise RequestFailed(
                str(failure),
                Verdict.MAY_HAVE_RUN,
                BAD_GATEWAY,
            )
        raise failure

    def _may_retry(self, now: float) -> bool:
        authorized = self.authorized
        if self.history.may_have_run and not authorized.route.retryable:
            return False
        if self.response_forwarder.unbuffered:
            # Part of a body was sent, which another response cannot continue.
            return False
        if self.response_forwarder.blamed:
            # It would crash the next upstream if it is the cause. Its caller
            # may send it again, which shows whether it is.
            return False
        if self.history.may_have_run >= authorized.route.attempts:
            return False
        if (
            self.history.rejected > _REJECTED_ATTEMPTS_LIMIT
            or authorized.deadline - now <= MIN_REMAINING_SECONDS
        ):
            return False
        return self.proxy.retry_budget.try_spend(authorized.service, now)


def _to_milliseconds(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds * 1000, 1)
