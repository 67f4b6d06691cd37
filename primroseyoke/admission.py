"""Admission control of one upstream: slow start, limits and waiting queue.

Only the agent of the upstream admits requests, so the limits hold regardless of
how many entries send requests and how stale their load information is.
"""

import dataclasses
import enum
import math
from typing import Annotated

import msgspec

from .queues import Ticket, WaitingQueue
from .shared_rates import RateSharing, SharedRate

__all__ = ('Admission', 'Limits', 'RequestOutcome', 'Ticket', 'UpstreamLoad')

# After crashes, slow start takes at most this many times its usual duration.
_MAX_RAMP_SLOWDOWN_FACTOR = 64
# Time over which the requests are counted that an upstream takes.
_LIMIT_WINDOW_SECONDS = 4.0
# The agent alone sends requests to its upstream.
_AGENT = 'agent'


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Admission limits of one upstream.

    ``cold_limit`` is the concurrency limit of a cold upstream, ``max_running``
    that of a warm one. ``max_held`` is the total size in bytes that running
    requests may reserve, ``max_waiting`` the capacity of the waiting queue.
    """

    cold_limit: int = 1
    max_running: int = 32
    max_held: int = 2**28
    max_waiting: int = 256


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Load report of an upstream; ``uptime`` is in seconds.

    ``incarnation`` changes whenever the upstream restarts. ``rate_limit`` is the
    number of requests per second that it takes, None for any number.
    """

    incarnation: str
    uptime: float
    running: int
    rate_limit: Annotated[float, msgspec.Meta(ge=0)] | None = None


class RequestOutcome(enum.Enum):
    """Outcome of a running request, as far as the limits are concerned."""

    #: The upstream processed the request.
    COMPLETED = 'completed'
    #: The request was not completed and no longer occupies the upstream.
    FAILED = 'failed'
    #: The request was given up, but the upstream may still be processing it.
    ABANDONED = 'abandoned'


class _RunningCountRange:
    """Range of the number of running requests between two load reports."""

    def __init__(self, count: int) -> None:
        self.lowest = count
        self.highest = count

    def include(self, count: int) -> None:
        self.lowest = min(self.lowest, count)
        self.highest = max(self.highest, count)


class Admission:
    """Decides when each request may run.

    The concurrency limit of a cold upstream is ``cold_limit``. It rises by one
    after each round of completed requests (slow start), up to ``max_running``.
    """

    def __init__(self, limits: Limits) -> None:
        """Start with limit 0: nothing runs before the first load report."""
        self.limits = limits
        self.current_limit = 0
        self.completed_in_step = 0
        # Rounds of completed requests that raise the limit by one.
        self.ramp_slowdown = 1
        self.untracked_running = 0
        self.reserved_bytes = 0
        self.last_report: UpstreamLoad | None = None
        self.suspended_at: float | None = None
        self.restart_count = 0
        self.running: dict[int, Ticket] = {}
        self.queue = WaitingQueue()
        # Attempts started during the current slow start. Completion of an
        # earlier one does not show what the upstream can handle now.
        self.ramp_attempts: set[int] = set()
        # Reserved bytes of abandoned requests in descending order.
        self.abandoned_sizes: list[int] = []
        self.running_ranges = (_RunningCountRange(0), _RunningCountRange(0))
        self.rates = RateSharing(_AGENT, [_AGENT])
        # When the last report was processed, in monotonic seconds.
        self.last_report_at = -math.inf

    @property
    def waiting(self) -> dict[int, Ticket]:
        """Waiting tickets by attempt."""
        return self.queue.tickets

    def enqueue(self, ticket: Ticket) -> tuple[Ticket, ...]:
        """Queue a request.

        Returns:
            The tickets to refuse: the new one if it exceeds ``max_held`` or
            the queue is full, or the waiting one that it displaces.
        """
        if ticket.reserved_bytes > self.limits.max_held:
            return (ticket,)
        refused: tuple[Ticket, ...] = ()
        if len(self.waiting) >= self.limits.max_waiting:
            displaced = self.queue.displaced_by(ticket)
            if displaced is None:
                return (ticket,)
            self.queue.remove(displaced.attempt)
            refused = (displaced,)
        self.queue.put(ticket)
        return refused

    def advance(self, now: float) -> tuple[list[Ticket], list[Ticket]]:
        """Admit what the limits allow and expire tickets past their deadline.

        Returns:
            The admitted tickets, which now count as running, and the expired
            ones. Both have been removed from the queue.
        """
        expired = self.queue.expire(now)
        admitted = []
        ticket = self.queue.peek()
        while ticket is not None and self._can_start(ticket, now):
            self._start(ticket, now)
            admitted.append(ticket)
            ticket = self.queue.peek()
        return admitted, expired

    def withdraw(self, attempt: int) -> bool:
        """Remove a request from the queue; return False if it is not there."""
        if attempt not in self.waiting:
            return False
        self.queue.remove(attempt)
        return True

    def set_exclusive(self, attempt: int, exclusive: bool) -> None:
        """Change whether a waiting or running request must run alone."""
        if attempt in self.running:
            ticket = self.running[attempt]
            self.running[attempt] = dataclasses.replace(
                ticket, exclusive=exclusive
            )
        elif attempt in self.waiting:
            ticket = self.waiting[attempt]
            self.queue.replace(dataclasses.replace(ticket, exclusive=exclusive))

    def change_limits(self, limits: Limits) -> list[Ticket]:
        """Change the limits; return the waiting tickets that are now too large.

        Running requests continue; nothing is admitted while they exceed the
        new limits.
        """
        self.limits = limits
        if self.last_report is not None:
            self.current_limit = max(self.current_limit, limits.cold_limit)
        too_large = [
            ticket
            for ticket in self.waiting.values()
            if ticket.reserved_bytes > limits.max_held
        ]
        for ticket in too_large:
            self.queue.remove(ticket.attempt)
        return too_large

    def finish(self, attempt: int, outcome: RequestOutcome) -> None:
        """Remove a running request; completed ones raise the limit."""
        ticket = self.running.pop(attempt)
        self.reserved_bytes -= ticket.reserved_bytes
        self.queue.finish(ticket.client)
        self.running_ranges[0].include(len(self.running))
        in_ramp = attempt in self.ramp_attempts
        self.ramp_attempts.discard(attempt)
        if outcome is RequestOutcome.ABANDONED:
            self.untracked_running += 1
            self.abandoned_sizes.append(ticket.reserved_bytes)
            self.abandoned_sizes.sort(reverse=True)
        elif outcome is RequestOutcome.COMPLETED and in_ramp:
            self._count_completed()

    def observe_load(
        self,
        report: UpstreamLoad,
        requested_at: float,
        received_at: float | None = None,
    ) -> None:
        """Process a load report; restart slow start if the upstream restarted.

        ``requested_at`` and ``received_at`` are monotonic seconds; the latter
        is the same as the former if it is not given. Reports requested before
        admission was suspended are ignored.
        """
        if self.suspended_at is not None:
            if requested_at < self.suspended_at:
                return
            self.suspended_at = None
        previous = self.last_report
        self.last_report = report
        # Two reports may be requested at about the same time. The second one
        # then describes a moment before the first one was processed.
        overlaps_previous = requested_at < self.last_report_at
        self.last_report_at = (
            requested_at if received_at is None else received_at
        )
        self._estimate_untracked(report.running, overlaps_previous)
        if previous is None:
            self.current_limit = max(self.limits.cold_limit, report.running)
        elif (
            report.incarnation != previous.incarnation
            or report.uptime < previous.uptime
        ):
            self.restart_count += 1
            self.restart_ramp()

    def suspend(self, now: float) -> None:
        """Admit nothing until a load report that is requested from now on.

        Used after a broken connection: the report shows whether the upstream
        has restarted and is cold.
        """
        self.suspended_at = now

    def restart_ramp(self, *, crashed: bool = True) -> None:
        """Treat the upstream as cold, for example after a refused connection.

        A crash in the middle of slow start doubles the duration of the next
        one: an upstream that warms up slowly would otherwise crash at the same
        limit again and again.
        """
        if (
            crashed
            and self.limits.cold_limit
            < self.current_limit
            < self.limits.max_running
        ):
            self.ramp_slowdown = min(
                2 * self.ramp_slowdown, _MAX_RAMP_SLOWDOWN_FACTOR
            )
        if self.last_report is not None:
            self.current_limit = self.limits.cold_limit
        self.completed_in_step = 0
        self.ramp_attempts.clear()

    def total_running(self) -> int:
        """Return how many requests run on the upstream, tracked or not."""
        return len(self.running) + self.untracked_running

    def _start(self, ticket: Ticket, now: float) -> None:
        self.rates.record_send(_AGENT, self._rates(), now)
        self.queue.start(ticket.attempt)
        self.running[ticket.attempt] = ticket
        self.ramp_attempts.add(ticket.attempt)
        self.reserved_bytes += ticket.reserved_bytes
        self.running_ranges[0].include(len(self.running))

    def _rates(self) -> tuple[SharedRate, ...]:
        """Return the rate that the upstream states, if any."""
        report = self.last_report
        if report is None or report.rate_limit is None:
            return ()
        return (SharedRate(report.rate_limit, _LIMIT_WINDOW_SECONDS),)

    def _can_start(self, ticket: Ticket, now: float) -> bool:
        occupied = self.total_running()
        if self.suspended_at is not None:
            return False
        if self.rates.delay(_AGENT, self._rates(), now):
            return False
        if occupied >= min(self.current_limit, self.limits.max_running):
            return False
        if occupied and (ticket.exclusive or self._runs_exclusive()):
            return False
        reserved = self.reserved_bytes + self._untracked_reserved_bytes()
        return reserved + ticket.reserved_bytes <= self.limits.max_held

    def _runs_exclusive(self) -> bool:
        return any(ticket.exclusive for ticket in self.running.values())

    def _count_completed(self) -> None:
        self.completed_in_step += 1
        if self.completed_in_step >= self.current_limit * self.ramp_slowdown:
            self.completed_in_step = 0
            self.current_limit = min(
                self.current_limit + 1, self.limits.max_running
            )
        if self.current_limit >= self.limits.max_running:
            self.ramp_slowdown = 1

    def _estimate_untracked(
        self, reported: int, overlaps_previous: bool
    ) -> None:
        """Estimate how many running requests this process does not track.

        A report describes some moment since it was requested, so the requests
        tracked since the previous report can explain a difference, and those of
        the interval before if the report was requested in it. The estimate
        changes only by what they cannot explain, so that a report does not
        block requests needlessly.
        """
        ranges = (
            self.running_ranges
            if overlaps_previous
            else self.running_ranges[:1]
        )
        lowest = min(counts.lowest for counts in ranges)
        highest = max(counts.highest for counts in ranges)
        at_least = reported - highest
        at_most = max(reported - lowest, 0)
        self.untracked_running = min(
            max(self.untracked_running, at_least), at_most
        )
        self.abandoned_sizes = self.abandoned_sizes[: self.untracked_running]
        self.running_ranges = (
            _RunningCountRange(len(self.running)),
            self.running_ranges[0],
        )

    def _untracked_reserved_bytes(self) -> int:
        """Return the bytes reserved by running requests that are not tracked.

        The size of requests admitted before this process started is unknown;
        each counts as ``max_held / max_running``.
        """
        unknown = self.untracked_running - len(self.abandoned_sizes)
        share = self.limits.max_held // self.limits.max_running
        return sum(self.abandoned_sizes) + max(unknown, 0) * share
