"""Waits for a slot at an upstream on behalf of one request."""

import math
import time
from typing import TYPE_CHECKING

from ..exceptions import RequestFailed
from ..verdicts import Verdict
from .attempt_history import AttemptHistory
from .balancer import Reservation, SelectionCriteria
from .configuration import Service
from .response_forwarding import (
    BAD_GATEWAY,
    RETRY_AFTER_BUSY_SECONDS,
    UNAVAILABLE,
    ResponseForwarder,
)
from .wait_queue import QueuePosition, Urgency

if TYPE_CHECKING:
    from .authorization import AuthorizedRequest
    from .proxy import Proxy

__all__ = ('SlotAcquisition',)

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


class SlotAcquisition:
    """Acquires the slots of one request, one for each attempt.

    Attributes:
        waited_seconds: total time spent in the queue.
    """

    def __init__(
        self,
        proxy: 'Proxy',
        authorized: 'AuthorizedRequest',
        history: AttemptHistory,
        response_forwarder: ResponseForwarder,
    ) -> None:
        """Acquire slots for the request of ``authorized``."""
        self.proxy = proxy
        self.authorized = authorized
        self.history = history
        self.response_forwarder = response_forwarder
        self.waited_seconds = 0.0

    async def acquire(self) -> Reservation:
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
        if self.response_forwarder.progress.first_event_at:
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
                stated_work=authorized.stated_work,
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
