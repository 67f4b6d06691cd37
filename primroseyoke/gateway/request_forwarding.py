"""One request on its way to upstreams, until it is answered."""

import logging
import time
from typing import TYPE_CHECKING, Any

from ..exceptions import RequestFailed
from ..verdicts import Verdict
from .balancer import Demand, Place
from .catalogue import Service
from .listeners import Answer
from .response_forwarding import (
    BAD_GATEWAY,
    GATEWAY_TIMEOUT,
    RETRY_BUSY,
    SHORTEST,
    UNAVAILABLE,
    Progress,
    Transfer,
)
from .waiting import Turn, Urgency

if TYPE_CHECKING:
    from .authorization import Ticket
    from .proxy import Relay

__all__ = ('Exchange',)

log = logging.getLogger(__name__)

# How long a request waits for a place at most, in seconds: a little longer than
# it can be on time. One that has come back after a refusal has no further try,
# but its caller leaves a stream that has not begun after 2 s.
_LONGEST_WAIT = 0.7
_LAST_WAIT = 1.4
# ... and as a share of the time that it has left.
_WAIT_SHARE = 0.5
# A waiting request looks for a place at least this often, in seconds.
_LOOK_AGAIN = 0.1
# When a request that waited in vain may come back, in seconds, and as a share
# of the time that its caller has left: callers wait a third of it at most.
_RETRY_LATE = 2.0
_RETRY_SHARE = 0.33
# Further sends that upstreams may turn away, beyond those that may run.
_MAX_REJECTED = 3


class Exchange:
    """Sends one request to one upstream after another until it is answered.

    Attributes:
        may_have_run: number of sends that may have run.
        rejected: number of sends that upstreams turned away.
        tried: the upstreams that it was sent to.
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
        self.may_have_run = 0
        self.rejected = 0
        self.tried: list[str] = []
        self.waited = 0.0
        self.progress = Progress(ticket.request.resume_after)
        self.transfer = Transfer(relay, ticket, answer, self.progress)

    async def run(self) -> None:
        """Answer the caller.

        Raises:
            RequestFailed: it cannot be answered.
            ConnectionError: the caller has closed.
        """
        self.relay.budget.count(self.ticket.service, time.monotonic())
        failure = await self._attempt()
        while failure is not None:
            self._check_retry(failure)
            failure = await self._attempt()

    def timed_out(self) -> RequestFailed:
        """Return the failure of a request whose deadline has passed."""
        if self.tried:
            return RequestFailed(
                'no upstream answered in time',
                Verdict.MAY_HAVE_RUN,
                GATEWAY_TIMEOUT,
            )
        return RequestFailed(
            'no upstream was free in time',
            Verdict.NOT_RUN,
            UNAVAILABLE,
            RETRY_BUSY,
        )

    def summary(self) -> dict[str, Any]:
        """Return the inputs of the decisions, for the log."""
        ticket = self.ticket
        first = self.progress.first_event_at
        begun = first - ticket.request.arrived_at if first else None
        return {
            'route': ticket.route.name,
            'service': ticket.service,
            'client': ticket.client.name if ticket.client else '',
            'configuration': ticket.catalogue.version,
            'upstreams': self.tried,
            'rejected': self.rejected,
            'may_have_run': self.may_have_run,
            'waited_ms': _milliseconds(self.waited),
            'first_ms': _milliseconds(begun),
            'longest_gap_ms': _milliseconds(self.progress.longest_gap),
        }

    async def _attempt(self) -> RequestFailed | None:
        """Send the request once; return what went wrong, if anything."""
        place = await self._acquire()
        self.tried.append(place.upstream.name)
        try:
            await self.transfer.run(place, self._is_last())
        except RequestFailed as failure:
            self._count_send(failure.verdict.value)
            return failure
        finally:
            self.relay.balancer.release(place)
            self.relay.line(self.ticket.service).call()
        self._count_send('answered')
        return None

    def _count_send(self, outcome: str) -> None:
        sends = self.relay.measures.sends
        sends.labels(self.ticket.service, outcome).inc()

    def _is_last(self) -> bool:
        """Tell whether a failure of the next upstream is final."""
        route = self.ticket.route
        if not route.repeatable or self.may_have_run + 1 >= route.attempts:
            return True
        return self.ticket.deadline - time.monotonic() <= SHORTEST

    async def _acquire(self) -> Place:
        """Wait for a place at an upstream.

        Raises:
            RequestFailed: none became free in time.
        """
        ticket = self.ticket
        started = time.monotonic()
        line = self.relay.line(ticket.service)
        longest = _LONGEST_WAIT
        if ticket.made_at < ticket.request.arrived_at:
            longest = _LAST_WAIT
        limit = started + min(
            longest, _WAIT_SHARE * (ticket.deadline - started)
        )
        now = started
        place = self._take_place(now)
        try:
            while place is None:
                if now >= limit or self._is_hopeless(now):
                    raise self._no_place()
                # A turn changes with time, and news of others may be lost.
                await line.wait(self._turn(now), min(limit - now, _LOOK_AGAIN))
                now = time.monotonic()
                place = self._take_place(now)
        finally:
            self.waited += time.monotonic() - started
            line.call()
        return place

    def _is_hopeless(self, now: float) -> bool:
        """Tell whether waiting here leads to nothing.

        A stream in progress waits all the same: its caller has part of it.
        """
        if self.may_have_run:
            return False
        return self.relay.balancer.is_out(self.ticket.service, now)

    def _turn(self, now: float) -> Turn:
        ticket = self.ticket
        late_at = ticket.made_at + ticket.route.objective
        late_at -= self.relay.first_event(ticket.service).upper
        urgency = Urgency.ON_TIME
        if self.progress.first_event_at:
            urgency = Urgency.RESUMED
        elif now > late_at:
            urgency = Urgency.LATE
        return Turn.of(urgency, ticket.priority, ticket.made_at)

    def _take_place(self, now: float) -> Place | None:
        ticket = self.ticket
        turn = self._turn(now)
        if not self.relay.line(ticket.service).may_go(turn):
            return None
        return self.relay.balancer.acquire(
            ticket.catalogue,
            ticket.service,
            now,
            Demand(
                excluded=tuple(self.tried),
                regions=ticket.regions,
                urgency=turn.urgency,
                longest_gap=ticket.route.gap_objective,
            ),
        )

    def _no_place(self) -> RequestFailed:
        service = self.ticket.service
        why = self.relay.balancer.explain(
            self.ticket.catalogue.services.get(service) or Service(service, 0),
            time.monotonic(),
        )
        if self.may_have_run:
            return RequestFailed(
                f'no other upstream is free: {why}',
                Verdict.MAY_HAVE_RUN,
                BAD_GATEWAY,
            )
        return RequestFailed(
            f'no upstream is free: {why}',
            Verdict.NOT_RUN,
            UNAVAILABLE,
            self._return_time(),
        )

    def _return_time(self) -> float:
        """Return when a request that waited in vain may come back, in seconds.

        It will be late anyway. What filled the upstreams takes some seconds
        to pass, and what cut them off takes longer.
        """
        now = time.monotonic()
        longest = (self.ticket.deadline - now) * _RETRY_SHARE
        if self.relay.balancer.is_out(self.ticket.service, now):
            return longest
        return min(_RETRY_LATE, longest)

    def _check_retry(self, failure: RequestFailed) -> None:
        """Raise the failure unless the request may be sent once more."""
        if failure.verdict is Verdict.NOT_RUN:
            self.rejected += 1
        else:
            self.may_have_run += 1
        again = self._may_retry(time.monotonic())
        log.info(
            'send failed',
            extra={
                'request': self.ticket.request.request_id,
                'upstream': self.tried[-1],
                'reason': str(failure),
                'verdict': failure.verdict.value,
                'sent_again': again,
            },
        )
        if again:
            return
        if self.may_have_run and failure.verdict is Verdict.NOT_RUN:
            raise RequestFailed(
                str(failure),
                Verdict.MAY_HAVE_RUN,
                BAD_GATEWAY,
            )
        raise failure

    def _may_retry(self, now: float) -> bool:
        ticket = self.ticket
        if self.may_have_run and not ticket.route.repeatable:
            return False
        if self.may_have_run >= ticket.route.attempts:
            return False
        if self.rejected > _MAX_REJECTED or ticket.deadline - now <= SHORTEST:
            return False
        return self.relay.budget.spend(ticket.service, now)


def _milliseconds(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds * 1000, 1)
