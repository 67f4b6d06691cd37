"""Admission to one upstream: cold start ramp, limits and queue.

Only the agent of the upstream admits requests, so the limits hold however many
entries send work and whatever they believe about the upstream.
"""

import collections
import dataclasses

__all__ = ('Admission', 'Limits', 'Ticket', 'UpstreamLoad')


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of one upstream; ``max_held`` is in bytes."""

    cold_limit: int = 1
    max_running: int = 32
    max_held: int = 2**28
    max_waiting: int = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request that asks for admission.

    ``held`` is the bytes that it reserves at the upstream, ``deadline`` the
    monotonic time in seconds at which it gives up.
    """

    attempt: int
    client: str
    held: int
    deadline: float
    idempotent: bool = True
    alone: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Load report of an upstream; ``uptime`` is in seconds."""

    incarnation: str
    uptime: float
    running: int


class Admission:
    """Decides when each request may run."""

    def __init__(self, limits: Limits) -> None:
        """Start cold; nothing runs before the first load report."""
        self.limits = limits
        self.limit = 0
        self.completed = 0
        self.foreign = 0
        self.held = 0
        self.report: UpstreamLoad | None = None
        self.running: dict[int, Ticket] = {}
        self.waiting: dict[int, Ticket] = {}

    def offer(self, ticket: Ticket) -> bool:
        """Queue a request; return False if the queue is full."""
        if len(self.waiting) >= self.limits.max_waiting:
            return False
        if ticket.held > self.limits.max_held:
            return False
        self.waiting[ticket.attempt] = ticket
        return True

    def admit(self) -> list[Ticket]:
        """Return the requests that may start now and count them as running."""
        admitted = []
        while self.waiting:
            ticket = self._next_ticket()
            if not self._fits(ticket):
                break
            self.waiting.pop(ticket.attempt)
            self.running[ticket.attempt] = ticket
            self.held += ticket.held
            admitted.append(ticket)
        return admitted

    def expire(self, now: float) -> list[Ticket]:
        """Remove and return the waiting requests past their deadline."""
        expired = [
            ticket for ticket in self.waiting.values() if ticket.deadline <= now
        ]
        for ticket in expired:
            self.waiting.pop(ticket.attempt)
        return expired

    def withdraw(self, attempt: int) -> bool:
        """Remove a waiting request; tell whether it was waiting."""
        return self.waiting.pop(attempt, None) is not None

    def finish(self, attempt: int, completed: bool) -> None:
        """Count a running request as ended; completed work raises the limit."""
        ticket = self.running.pop(attempt)
        self.held -= ticket.held
        if not completed:
            return
        self.completed += 1
        if self.completed >= self.limit:
            self.completed = 0
            self.limit = min(self.limit + 1, self.limits.max_running)

    def observe(self, report: UpstreamLoad) -> None:
        """Take a load report; a restart of the upstream restarts the ramp."""
        before = self.report
        self.report = report
        self.foreign = max(report.running - len(self.running), 0)
        if before is None:
            self.limit = max(self.limits.cold_limit, report.running)
        elif (
            report.incarnation != before.incarnation
            or report.uptime < before.uptime
        ):
            self.restart_ramp()

    def restart_ramp(self) -> None:
        """Treat the upstream as cold, for example after a refused connection."""
        self.limit = self.limits.cold_limit
        self.completed = 0

    def _fits(self, ticket: Ticket) -> bool:
        occupied = len(self.running) + self.foreign
        if occupied >= min(self.limit, self.limits.max_running):
            return False
        if occupied and (ticket.alone or self._runs_alone()):
            return False
        return self.held + ticket.held <= self.limits.max_held

    def _runs_alone(self) -> bool:
        return any(ticket.alone for ticket in self.running.values())

    def _next_ticket(self) -> Ticket:
        per_client = collections.Counter(
            ticket.client for ticket in self.running.values()
        )
        return min(
            self.waiting.values(),
            key=lambda ticket: (ticket.idempotent, per_client[ticket.client]),
        )
