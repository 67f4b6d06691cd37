"""Waits for a slot at an upstream on behalf of one request."""

import dataclasses
import math
import time
from collections.abc import Callable

from ..exceptions import RequestFailed
from ..scheduling.admission import QueuePosition, ServiceAdmission, Urgency
from ..verdicts import Verdict
from .attempt_history import AttemptHistory
from .attempts import Progress
from .authorization import AuthorizedRequest
from .balancer import Balancer, Reservation, SelectionCriteria
from .client_sharing import ClientSharing
from .configuration import Service
from .estimates import Estimate
from .response_forwarding import (
    BAD_GATEWAY,
    RETRY_AFTER_BUSY_SECONDS,
    UNAVAILABLE,
)
from .wait_queue import WaitQueue

__all__ = ('SlotAcquisition', 'SlotSource')

# Maximum queueing time of a first submission. It slightly exceeds the time in
# which the response can still meet its objective.
_INITIAL_WAIT_LIMIT_SECONDS = 0.7
# Maximum queueing time of a request that its caller submitted again after a
# refusal. It is not submitted a third time, but its caller abandons a stream
# that has not started within 2 s.
_RESUBMITTED_WAIT_LIMIT_SECONDS = 1.4
# Maximum queueing time as a share of the time left until the deadline.
_WAIT_SHARE = 0.5
# Largest share of the objective that the first event is expected to take. The
# estimate is far too high after a stall. Were requests late from the start, all
# were served first in, first out, each too late, and the estimate stayed high.
_MAX_FIRST_EVENT_SHARE = 0.6
# A queued request tries to acquire a slot at least this often.
_POLL_INTERVAL_SECONDS = 0.1
# Upper limit of Retry-After when no slot became free in time.
_RETRY_AFTER_LIMIT_SECONDS = 2.0
# Retry-After as a share of the time left until the deadline: callers wait for
# at most a third of it.
_RETRY_AFTER_SHARE = 0.33


@dataclasses.dataclass(frozen=True, slots=True)
class SlotSource:
    """Where the slots of one request come from.

    ``first_event`` estimates the time from sending a request to its first
    event, in seconds. ``check_suspect`` and ``check_time_left`` raise
    ``RequestFailed`` if the request must not be sent; the latter takes the
    deadline of the request and the time, both in monotonic seconds.
    """

    queue: WaitQueue
    admission: ServiceAdmission
    sharing: ClientSharing
    balancer: Balancer
    first_event: Estimate
    check_suspect: Callable[[], None]
    check_time_left: Callable[[float, float], None]


class SlotAcquisition:
    """Acquires the slots of one request, one for each attempt.

    Attributes:
        waited_seconds: total time spent in the queue.
    """

    def __init__(
        self,
        source: SlotSource,
        authorized: AuthorizedRequest,
        history: AttemptHistory,
        progress: Progress,
    ) -> None:
        """Acquire slots for the request of ``authorized``."""
        self.source = source
        self.authorized = authorized
        self.history = history
        self.progress = progress
        self.waited_seconds = 0.0

    async def acquire(self) -> Reservation:
        """Wait for a slot at an upstream.

        Raises:
            RequestFailed: no slot became free in time.
        """
        authorized = self.authorized
        started = time.monotonic()
        self._update_priorities()
        wait_limit = _INITIAL_WAIT_LIMIT_SECONDS
        if self._is_retried:
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
                self.source.sharing.record_wait(authorized, now)
                # Poll, since a queue position changes with time and a load
                # report of another gateway may be lost.
                await self._wait(
                    now, min(wait_until - now, _POLL_INTERVAL_SECONDS)
                )
                now = time.monotonic()
                reservation = self._try_acquire(now)
        finally:
            self._record_end(reservation is not None, started)
        return reservation

    @property
    def _is_retried(self) -> bool:
        return self.authorized.first_attempt_at < (
            self.authorized.request.arrived_at
        )

    def _record_end(self, granted: bool, started: float) -> None:
        now = time.monotonic()
        self.waited_seconds += now - started
        if not self.history.upstreams:
            self.source.admission.record_decision(
                self.authorized.priority, granted, now
            )
        self.source.queue.wake_next()

    def _update_priorities(self) -> None:
        authorized = self.authorized
        self.source.admission.priorities = authorized.configuration.priorities(
            authorized.service
        )

    async def _wait(self, now: float, timeout: float) -> None:
        """Wait in the queue, and count as waiting for other hosts."""
        admission = self.source.admission
        position = self._queue_position(now)
        admission.start_waiting(position)
        try:
            await self.source.queue.wait(position, timeout)
        finally:
            admission.stop_waiting(position)

    def _should_not_wait(self, now: float, wait_until: float) -> bool:
        """Return whether no upstream will be free in time.

        A started stream waits anyway, because its caller already has part of
        the response.
        """
        if self.history.may_have_run:
            return False
        return (
            self.source.balancer.is_unavailable(self.authorized.service, now)
            or now + self._delay(now) > wait_until
        )

    def _delay(self, now: float) -> float:
        return self.source.balancer.delay(
            self._service(), self.authorized.regions, now
        )

    def _service(self) -> Service:
        name = self.authorized.service
        services = self.authorized.configuration.services
        return services.get(name) or Service(name, 0)

    def _queue_position(self, now: float) -> QueuePosition:
        authorized = self.authorized
        objective = authorized.route.objective
        late_at = authorized.first_attempt_at + objective
        late_at -= min(
            self.source.first_event.upper_bound,
            _MAX_FIRST_EVENT_SHARE * objective,
        )
        urgency = Urgency.ON_TIME
        if self.progress.first_event_at:
            urgency = Urgency.RESUMED
        elif self.source.sharing.must_yield(authorized, now):
            urgency = Urgency.ABOVE_SHARE
        elif now > late_at:
            urgency = Urgency.LATE
        return self.source.admission.position(
            urgency,
            authorized.priority,
            authorized.first_attempt_at,
            self._is_retried,
            now,
        )

    def _try_acquire(self, now: float) -> Reservation | None:
        self.source.check_suspect()
        authorized = self.authorized
        if not self.history.may_have_run:
            self.source.check_time_left(authorized.deadline, now)
        position = self._queue_position(now)
        if not self.source.queue.is_next(position):
            return None
        criteria = SelectionCriteria(
            excluded=tuple(self.history.upstreams),
            regions=authorized.regions,
            urgency=position.urgency,
            longest_gap=authorized.route.gap_objective,
        )
        if self._is_left_to_others(position, criteria, now):
            return None
        return self.source.balancer.acquire(
            authorized.configuration, authorized.service, now, criteria
        )

    def _is_left_to_others(
        self, position: QueuePosition, criteria: SelectionCriteria, now: float
    ) -> bool:
        """Tell whether requests at other hosts go before this one."""
        contention = self.source.admission.contention(position, now)
        if not (contention.ahead or contention.beside):
            return False
        balancer = self.source.balancer
        free = balancer.free_slots(
            self._service(), now, criteria, contention.slots_to_count
        )
        return not contention.allows(free, balancer.generator.random())

    def _no_capacity(self) -> RequestFailed:
        cause = self.source.balancer.explain_no_capacity(
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
        if self.source.balancer.is_unavailable(self.authorized.service, now):
            return max_delay
        delay = self._delay(now)
        if math.isinf(delay):
            return min(RETRY_AFTER_BUSY_SECONDS, max_delay)
        if delay:
            return min(delay, max_delay)
        return min(_RETRY_AFTER_LIMIT_SECONDS, max_delay)
