"""Admission to one upstream: cold start ramp, limits and queue.

Only the agent of the upstream admits requests, so the limits hold however many
entries send work and whatever they believe about the upstream.
"""

import dataclasses
import enum

from .queues import Ticket, WaitingQueue

__all__ = ('Admission', 'Ending', 'Limits', 'Ticket', 'UpstreamLoad')

# The ramp is at most this many times slower than the first one.
_SLOWEST_PACE = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of one upstream; ``max_held`` is in bytes."""

    cold_limit: int = 1
    max_running: int = 32
    max_held: int = 2**28
    max_waiting: int = 256


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Load report of an upstream; ``uptime`` is in seconds."""

    incarnation: str
    uptime: float
    running: int


class Ending(enum.Enum):
    """How a running request ended, as far as the limits are concerned."""

    #: The upstream did the work.
    COMPLETED = 'completed'
    #: The upstream has ended it without doing the work.
    FAILED = 'failed'
    #: Nobody waits for it any more, but the upstream may still work on it.
    ABANDONED = 'abandoned'


class _RunningRange:
    """Lowest and highest number of running requests since the last report."""

    def __init__(self, number: int) -> None:
        self.lowest = number
        self.highest = number

    def include(self, number: int) -> None:
        self.lowest = min(self.lowest, number)
        self.highest = max(self.highest, number)


class Admission:
    """Decides when each request may run."""

    def __init__(self, limits: Limits) -> None:
        """Start cold; nothing runs before the first load report."""
        self.limits = limits
        self.limit = 0
        self.completed = 0
        # Rounds of completed work for each step of the limit.
        self.pace = 1
        self.foreign = 0
        self.held = 0
        self.report: UpstreamLoad | None = None
        self.suspended_at: float | None = None
        self.restarts = 0
        self.running: dict[int, Ticket] = {}
        self.queue = WaitingQueue()
        # Requests that have run within the current ramp. The end of an older
        # one says nothing about what the upstream bears since it became cold.
        self.ramp: set[int] = set()
        # Sizes of abandoned requests, the largest first.
        self.abandoned: list[int] = []
        self.ranges = (_RunningRange(0), _RunningRange(0))

    @property
    def waiting(self) -> dict[int, Ticket]:
        """Return the waiting tickets by attempt."""
        return self.queue.tickets

    def offer(self, ticket: Ticket) -> tuple[Ticket, ...]:
        """Queue a request.

        Returns:
            The tickets to be refused: the new one if it can never run or the
            queue is full, or a waiting one of a client that fills the queue.
        """
        if ticket.held > self.limits.max_held:
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
        """Return the tickets that start now and those past their deadline.

        The first are counted as running, the others have left the queue.
        """
        expired = self.queue.expire(now)
        admitted = []
        ticket = self.queue.first()
        while ticket is not None and self._fits(ticket):
            self._start(ticket)
            admitted.append(ticket)
            ticket = self.queue.first()
        return admitted, expired

    def withdraw(self, attempt: int) -> bool:
        """Remove a waiting request; tell whether it was waiting."""
        if attempt not in self.waiting:
            return False
        self.queue.remove(attempt)
        return True

    def set_alone(self, attempt: int, alone: bool) -> None:
        """Change whether a waiting or running request must run alone."""
        if attempt in self.running:
            ticket = self.running[attempt]
            self.running[attempt] = dataclasses.replace(ticket, alone=alone)
        elif attempt in self.waiting:
            ticket = self.waiting[attempt]
            self.queue.replace(dataclasses.replace(ticket, alone=alone))

    def change_limits(self, limits: Limits) -> list[Ticket]:
        """Change the limits; return the tickets that can no longer run.

        Running requests go on, and nothing starts until they fit again.
        """
        self.limits = limits
        if self.report is not None:
            self.limit = max(self.limit, limits.cold_limit)
        too_large = [
            ticket
            for ticket in self.waiting.values()
            if ticket.held > limits.max_held
        ]
        for ticket in too_large:
            self.queue.remove(ticket.attempt)
        return too_large

    def finish(self, attempt: int, ending: Ending) -> None:
        """Count a running request as ended; completed work raises the limit."""
        ticket = self.running.pop(attempt)
        self.held -= ticket.held
        self.queue.end(ticket.client)
        self.ranges[0].include(len(self.running))
        counts = attempt in self.ramp
        self.ramp.discard(attempt)
        if ending is Ending.ABANDONED:
            self.foreign += 1
            self.abandoned.append(ticket.held)
            self.abandoned.sort(reverse=True)
        elif ending is Ending.COMPLETED and counts:
            self._count_completed()

    def observe_load(self, report: UpstreamLoad, asked_at: float) -> None:
        """Take a load report; a restart of the upstream restarts the ramp.

        ``asked_at`` is when the report was asked for (monotonic seconds). A
        report from before the upstream was suspended says nothing about it.
        """
        if self.suspended_at is not None:
            if asked_at < self.suspended_at:
                return
            self.suspended_at = None
        before = self.report
        self.report = report
        self._count_foreign(report.running)
        if before is None:
            self.limit = max(self.limits.cold_limit, report.running)
        elif (
            report.incarnation != before.incarnation
            or report.uptime < before.uptime
        ):
            self.restarts += 1
            self.restart_ramp()

    def suspend(self, now: float) -> None:
        """Start nothing until a load report that is asked for from now on.

        For a broken connection: the report shows whether the upstream is cold.
        """
        self.suspended_at = now

    def restart_ramp(self, *, crashed: bool = True) -> None:
        """Treat the upstream as cold, for example after a refused connection.

        After a crash in the middle of the ramp the next ramp takes twice as
        long: an upstream that warms up slowly would crash at the same step
        again and again.
        """
        if (
            crashed
            and self.limits.cold_limit < self.limit < self.limits.max_running
        ):
            self.pace = min(2 * self.pace, _SLOWEST_PACE)
        if self.report is not None:
            self.limit = self.limits.cold_limit
        self.completed = 0
        self.ramp.clear()

    def occupied(self) -> int:
        """Return how many requests the upstream works on."""
        return len(self.running) + self.foreign

    def _start(self, ticket: Ticket) -> None:
        self.queue.start(ticket.attempt)
        self.running[ticket.attempt] = ticket
        self.ramp.add(ticket.attempt)
        self.held += ticket.held
        self.ranges[0].include(len(self.running))

    def _fits(self, ticket: Ticket) -> bool:
        occupied = self.occupied()
        if self.suspended_at is not None:
            return False
        if occupied >= min(self.limit, self.limits.max_running):
            return False
        if occupied and (ticket.alone or self._runs_alone()):
            return False
        held = self.held + self._foreign_held()
        return held + ticket.held <= self.limits.max_held

    def _runs_alone(self) -> bool:
        return any(ticket.alone for ticket in self.running.values())

    def _count_completed(self) -> None:
        self.completed += 1
        if self.completed >= self.limit * self.pace:
            self.completed = 0
            self.limit = min(self.limit + 1, self.limits.max_running)
        if self.limit >= self.limits.max_running:
            self.pace = 1

    def _count_foreign(self, reported: int) -> None:
        """Estimate what the upstream runs beside the requests of this process.

        The report is as old as one interval between reports. Only what cannot
        be explained by the own requests of that time changes the estimate, so
        a late report does not hold back requests without need.
        """
        lowest = min(each.lowest for each in self.ranges)
        highest = max(each.highest for each in self.ranges)
        at_least = reported - highest
        at_most = max(reported - lowest, 0)
        self.foreign = min(max(self.foreign, at_least), at_most)
        self.abandoned = self.abandoned[: self.foreign]
        self.ranges = (_RunningRange(len(self.running)), self.ranges[0])

    def _foreign_held(self) -> int:
        """Return the bytes held by requests that this process does not run.

        Nothing tells the size of requests from before this process started;
        each counts as an equal share of ``max_held``.
        """
        unknown = self.foreign - len(self.abandoned)
        share = self.limits.max_held // self.limits.max_running
        return sum(self.abandoned) + max(unknown, 0) * share
