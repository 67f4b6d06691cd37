"""Waits for a slot at an upstream on behalf of one request."""

import time

from ..exceptions import RequestFailed
from ..scheduling.admission import (
    REFUSAL_SHARE,
    QueuePosition,
    Urgency,
    WaitLimits,
)
from .attempt_history import AttemptHistory
from .attempts import Progress
from .authorization import AuthorizedRequest
from .balancer import Reservation, SelectionCriteria
from .slot_refusal import RefusalReason, SlotRefusal
from .slot_source import SlotSource

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
# Largest share of the objective that the first event is expected to take. The
# estimate is far too high after a stall. Were requests late from the start, all
# were served first in, first out, each too late, and the estimate stayed high.
_MAX_FIRST_EVENT_SHARE = 0.6
# A queued request tries to acquire a slot at least this often.
_POLL_INTERVAL_SECONDS = 0.1


class SlotAcquisition:
    """Acquires the slots of one request, one for each attempt.

    Attributes:
        waited_seconds: total time spent in the queue.
        refusal: refuses the request if it gets no slot.
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
        self.refusal = SlotRefusal(source, authorized, history)

    async def acquire(self) -> Reservation:
        """Wait for a slot at an upstream.

        Raises:
            RequestFailed: no slot became free in time.
        """
        started = time.monotonic()
        self._update_priorities()
        limits = self._wait_limits(started)
        admission = self.source.admission
        admission.returns_waiting += limits.is_retried
        try:
            reservation = await self._acquire(started, limits)
        except RequestFailed:
            self._record_decision(granted=False)
            raise
        finally:
            admission.returns_waiting -= limits.is_retried
            self.waited_seconds += time.monotonic() - started
            self.source.queue.wake_next()
        self._record_decision(granted=True)
        return reservation

    async def _acquire(self, started: float, limits: WaitLimits) -> Reservation:
        now = started
        reservation = self._try_acquire(now)
        while reservation is None:
            reason = self._refusal_reason(limits, now)
            if reason is not None:
                raise self.refusal.failure(
                    reason, self._queue_position(now), now
                )
            self.source.sharing.record_wait(self.authorized, now)
            await self._wait(now, self._poll_interval(limits, now))
            now = time.monotonic()
            reservation = self._try_acquire(now)
        return reservation

    def _poll_interval(self, limits: WaitLimits, now: float) -> float:
        """Return when to try again at the latest, in seconds.

        A queue position changes with time and a load report of another gateway
        may be lost.
        """
        interval = min(limits.wait_until - now, _POLL_INTERVAL_SECONDS)
        left = limits.refused_until - now
        if self.source.admission.enabled and left > 0:
            return min(interval, left)
        return interval

    @property
    def _is_retried(self) -> bool:
        return self.authorized.first_attempt_at < (
            self.authorized.request.arrived_at
        )

    def _record_decision(self, granted: bool) -> None:
        """Record whether the request got its first slot.

        A caller that has left is no refusal.
        """
        if not self.history.upstreams:
            self.source.admission.record_decision(
                self.authorized.priority, granted, time.monotonic()
            )

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

    def _refusal_reason(
        self, limits: WaitLimits, now: float
    ) -> RefusalReason | None:
        """Return why the request is refused now, None if it goes on waiting.

        A started stream waits for an upstream in any case, because its caller
        already has part of the response.
        """
        if now >= limits.wait_until:
            return RefusalReason.WAITED
        if self.history.may_have_run:
            return None
        if (
            self.source.balancer.is_unavailable(self.authorized.service, now)
            or now + self.refusal.delay(now) > limits.wait_until
        ):
            return RefusalReason.UNAVAILABLE
        position = self._queue_position(now)
        admission = self.source.admission
        if admission.may_refuse(
            position, limits, now
        ) and not admission.has_prospect(
            position, self.refusal.prospect(position, now), limits, now
        ):
            return RefusalReason.NO_PROSPECT
        return None

    def _wait_limits(self, started: float) -> WaitLimits:
        authorized = self.authorized
        wait_limit = _INITIAL_WAIT_LIMIT_SECONDS
        if self._is_retried:
            wait_limit = _RESUBMITTED_WAIT_LIMIT_SECONDS
        time_left = authorized.deadline - started
        return WaitLimits(
            self._late_at(),
            started + min(wait_limit, _WAIT_SHARE * time_left),
            started + REFUSAL_SHARE * authorized.route.objective,
            self._is_retried,
        )

    def _late_at(self) -> float:
        """Return when a slot comes too late for an answer on time."""
        objective = self.authorized.route.objective
        estimate = min(
            self.source.first_event.upper_bound,
            _MAX_FIRST_EVENT_SHARE * objective,
        )
        return self.authorized.first_attempt_at + objective - estimate

    def _queue_position(self, now: float) -> QueuePosition:
        authorized = self.authorized
        urgency = Urgency.ON_TIME
        if self.progress.first_event_at:
            urgency = Urgency.RESUMED
        elif self.source.sharing.must_yield(authorized, now):
            urgency = Urgency.ABOVE_SHARE
        elif now > self._late_at():
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
            stated_work=authorized.stated_work,
        )
        if self._is_left_to_others(position, criteria, now):
            return None
        reservation = self.source.balancer.acquire(
            authorized.configuration, authorized.service, now, criteria
        )
        if reservation is not None:
            self.source.admission.record_slot(position)
            metrics = self.source.metrics.admission
            metrics.grants.labels(authorized.service, authorized.priority).inc()
        return reservation

    def _is_left_to_others(
        self, position: QueuePosition, criteria: SelectionCriteria, now: float
    ) -> bool:
        """Tell whether requests at other hosts go before this one."""
        contention = self.source.admission.contention(position, now)
        if not (contention.ahead or contention.rivals):
            return False
        balancer = self.source.balancer
        free = balancer.free_slots(
            self.refusal.service(), now, criteria, contention.slots_to_count
        )
        return not contention.allows(free, balancer.generator.random())
