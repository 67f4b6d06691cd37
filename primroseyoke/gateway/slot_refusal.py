"""Refuses a request that gets no slot, and tells why and when to return."""

import enum
import logging
import math

from ..exceptions import RequestFailed
from ..scheduling.admission import QueuePosition
from ..scheduling.forecast import Prospect
from ..verdicts import Verdict
from .attempt_history import AttemptHistory
from .authorization import AuthorizedRequest
from .balancer import SelectionCriteria
from .configuration import Service
from .response_forwarding import (
    BAD_GATEWAY,
    RETRY_AFTER_BUSY_SECONDS,
    UNAVAILABLE,
)
from .slot_source import SlotSource

__all__ = ('RefusalReason', 'SlotRefusal')

log = logging.getLogger(__name__)

# Upper limit of Retry-After when no slot became free in time, for services with
# one priority.
_RETRY_AFTER_LIMIT_SECONDS = 2.0
# Retry-After as a share of the time left until the deadline: callers wait for
# at most a third of it.
_RETRY_AFTER_SHARE = 0.33
_MS_PER_SECOND = 1000
# Free slots are counted up to this number for the log.
_MAX_LOGGED_SLOTS = 100


class RefusalReason(enum.Enum):
    """Why a request got no slot."""

    #: It waited for as long as it may.
    WAITED = 'waited'
    #: It could not be on time, nor be served late.
    NO_PROSPECT = 'no_prospect'
    #: All upstreams are down, or limited for longer than it may wait.
    UNAVAILABLE = 'unavailable'


class SlotRefusal:
    """Refuses one request."""

    def __init__(
        self,
        source: SlotSource,
        authorized: AuthorizedRequest,
        history: AttemptHistory,
    ) -> None:
        """Refuse the request of ``authorized``."""
        self.source = source
        self.authorized = authorized
        self.history = history

    def service(self) -> Service:
        """Return the settings of the service."""
        name = self.authorized.service
        services = self.authorized.configuration.services
        return services.get(name) or Service(name, 0)

    def delay(self, now: float) -> float:
        """Return the time until the upstreams accept requests, in seconds."""
        return self.source.balancer.delay(
            self.service(), self.authorized.regions, now
        )

    def failure(
        self, reason: RefusalReason, position: QueuePosition, now: float
    ) -> RequestFailed:
        """Record a refusal, and return the failure for the caller."""
        metrics = self.source.metrics.admission
        metrics.refusals.labels(
            self.authorized.service, self.authorized.priority, reason.value
        ).inc()
        cause = self.source.balancer.explain_no_capacity(self.service(), now)
        if self.history.may_have_run:
            return RequestFailed(
                f'no other upstream is free: {cause}',
                Verdict.MAY_HAVE_RUN,
                BAD_GATEWAY,
            )
        retry_after = self._retry_after(position, now)
        if self.source.admission.enabled:
            self._log(reason, position, retry_after, now)
        return RequestFailed(
            f'no upstream is free: {cause}',
            Verdict.NOT_RUN,
            UNAVAILABLE,
            retry_after,
        )

    def prospect(self, position: QueuePosition, now: float) -> Prospect:
        """Return what the request competes with over all hosts."""
        balancer = self.source.balancer
        authorized = self.authorized
        return self.source.admission.prospect(
            position,
            balancer.used_slots(authorized.service, authorized.regions),
            len(balancer.in_flight.reports) + 1,
            now,
        )

    def _retry_after(self, position: QueuePosition, now: float) -> float:
        """Return the Retry-After of a request that got no slot, in seconds.

        Its response will miss the objective in any case. An overload takes
        some seconds to clear; an outage of all upstreams takes longer. Where
        only other hosts may send, the caller reaches one of them by chance.
        """
        time_left = self.authorized.deadline - now
        max_delay = time_left * _RETRY_AFTER_SHARE
        balancer = self.source.balancer
        if balancer.is_unavailable(self.authorized.service, now):
            return max_delay
        delay = self.delay(now)
        if math.isinf(delay):
            return min(RETRY_AFTER_BUSY_SECONDS, max_delay)
        if delay:
            return min(delay, max_delay)
        admission = self.source.admission
        if not admission.enabled:
            return min(_RETRY_AFTER_LIMIT_SECONDS, max_delay)
        elapsed = now - self.authorized.first_attempt_at
        return admission.retry_after(
            self.prospect(position, now).backlog_delay(),
            elapsed + time_left,
            time_left,
            balancer.generator.random(),
            now,
        )

    def _log(
        self,
        reason: RefusalReason,
        position: QueuePosition,
        retry_after: float,
        now: float,
    ) -> None:
        contention = self.source.admission.contention(position, now)
        free = self.source.balancer.free_slots(
            self.service(),
            now,
            SelectionCriteria(
                regions=self.authorized.regions,
                urgency=position.urgency,
                longest_gap=self.authorized.route.gap_objective,
            ),
            _MAX_LOGGED_SLOTS,
        )
        log.info(
            'request refused for lack of a slot',
            extra={
                'request': self.authorized.request.request_id,
                'service': self.authorized.service,
                'priority': self.authorized.priority,
                'reason': reason.value,
                'urgency': position.urgency.name.lower(),
                'position': self.source.queue.count_before(position),
                'free_slots': free,
                'urgent_elsewhere': contention.ahead,
                'rival_hosts': contention.rivals,
                'retry_after_ms': round(retry_after * _MS_PER_SECOND),
            },
        )
