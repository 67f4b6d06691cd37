"""Forwards one request to upstreams, with queueing and retries."""

import asyncio
import contextlib
import logging
import time
from typing import Any

from ..exceptions import RequestFailed, UpstreamSilent, UpstreamWithdrawn
from ..scheduling.work import Job
from ..verdicts import Verdict
from .attempt_history import AttemptHistory
from .attempt_race import AttemptRace
from .attempts import Attempt, Progress
from .authorization import AuthorizedRequest
from .balancer import Reservation
from .forwarding_context import ForwardingContext
from .listeners import ResponseWriter
from .response_forwarding import (
    BAD_GATEWAY,
    GATEWAY_TIMEOUT,
    MIN_REMAINING_SECONDS,
    RETRY_AFTER_BUSY_SECONDS,
    UNAVAILABLE,
    ResponseForwarder,
)
from .silence import silence_limit
from .slot_acquisition import SlotAcquisition
from .slot_source import SlotSource
from .suspect_refusal import SuspectRefusal

__all__ = ('RequestForwarder',)

log = logging.getLogger(__name__)

# Attempts that upstreams may reject without running them, in addition to the
# attempts that the route allows to run.
_REJECTED_ATTEMPTS_LIMIT = 3


class RequestForwarder:
    """Sends one request to one upstream after another until one responds.

    Attributes:
        history: what has become of the attempts.
        race: attempts that run side by side while an upstream is silent.
        slots: acquires the slots of the attempts.
        job: work of the last attempt, None if it is not tracked.
    """

    def __init__(
        self,
        context: ForwardingContext,
        authorized: AuthorizedRequest,
        response: ResponseWriter,
    ) -> None:
        """Prepare to forward the request of ``authorized``."""
        self.context = context
        self.authorized = authorized
        self.history = AttemptHistory(authorized.request)
        self.race = AttemptRace(self.history.log_failure)
        self.progress = Progress(authorized.request.last_event_id)
        self.response_forwarder = ResponseForwarder(
            context, authorized, response, self.progress, self.race.end_others
        )
        suspects = SuspectRefusal(
            context.crash_detector,
            context.metrics,
            authorized,
            self.history,
            self.response_forwarder,
        )
        self.slots = SlotAcquisition(
            SlotSource(
                context.queue(authorized.service),
                context.admission(authorized.service),
                context.client_sharing,
                context.balancer,
                context.metrics,
                context.first_event_estimate(authorized.service),
                suspects.check,
                context.authorizer.check_time_left,
            ),
            authorized,
            self.history,
            self.progress,
        )
        self.job: Job | None = None

    async def run(self) -> None:
        """Forward the request and its response, retrying where allowed.

        Raises:
            RequestFailed: no upstream response can be forwarded.
            ConnectionError: the caller closed the connection.
        """
        self.context.retry_budget.record_request(
            self.authorized.service, time.monotonic()
        )
        try:
            failure = await self._attempt()
            while failure is not None:
                failure = await self._recover(failure)
        finally:
            self.response_forwarder.close()
            self.response_forwarder.usage.close()

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
        job = self.job
        return {
            'route': authorized.route.name,
            'service': authorized.service,
            'client': authorized.client.name if authorized.client else '',
            'configuration': authorized.configuration.version,
            'upstreams': self.history.upstreams,
            'rejected': self.history.rejected,
            'may_have_run': self.history.may_have_run,
            'waited_ms': _to_milliseconds(self.slots.waited_seconds),
            'first_ms': _to_milliseconds(first_event_delay),
            'longest_gap_ms': _to_milliseconds(self.progress.longest_gap),
            'predicted_work_ms': _to_milliseconds(
                job.prediction.work if job else None
            ),
            'work_ahead_ms': _to_milliseconds(job.work_ahead if job else None),
        }

    async def _attempt(self) -> RequestFailed | None:
        """Send the request once; return the failure, or None on success."""
        reservation = await self.slots.acquire()
        self.job = reservation.job
        if self.job is not None:
            self.job.is_first = not self.history.upstreams
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
            if failure.verdict is not Verdict.NOT_RUN:
                self.response_forwarder.usage.record_lost(attempt.sent_at)
            return failure
        except asyncio.CancelledError:
            self.history.record_possible_run(attempt)
            self.response_forwarder.usage.record_lost(attempt.sent_at)
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
            self.race.failure_seen.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    silence_limit(self.authorized.route)
                ):
                    await self.race.failure_seen.wait()

    def _log_limited_send(self, reservation: Reservation) -> None:
        service = self.authorized.service
        self.context.metrics.limited_sends.labels(service).inc()
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
        attempts_metric = self.context.metrics.upstream_attempts
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
        return self.context.retry_budget.try_spend(authorized.service, now)


def _to_milliseconds(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds * 1000, 1)
