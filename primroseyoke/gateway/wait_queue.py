"""Requests that wait for a place at an upstream, those first in need first."""

import asyncio
import bisect
import dataclasses
import enum

__all__ = ('QueuePosition', 'Urgency', 'WaitQueue')


class Urgency(enum.IntEnum):
    """What a place is worth to a waiting request, most first."""

    #: Its answer can still be on time.
    ON_TIME = 0
    #: Its caller has part of the answer and leaves soon.
    RESUMED = 1
    #: Its answer will be late.
    LATE = 2


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class QueuePosition:
    """The rank of a waiting request; the lowest is served first.

    Requests that can be answered on time go first, then the more urgent. Of
    those on time the newest goes first: under overload a queue in order of
    arrival would answer each just too late. Of the others the oldest does,
    which may have come back after a refusal.
    """

    urgency: Urgency
    priority: int
    #: Monotonic seconds, negated where the newest goes first.
    order: float

    @classmethod
    def of(
        cls, urgency: Urgency, priority: int, first_attempt_at: float
    ) -> 'QueuePosition':
        """Return the position of a request made at ``first_attempt_at``."""
        newest_first = urgency is Urgency.ON_TIME
        return cls(
            urgency,
            priority,
            -first_attempt_at if newest_first else first_attempt_at,
        )


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _Waiter:
    position: QueuePosition
    arrival_number: int
    woken: asyncio.Event = dataclasses.field(compare=False)


class WaitQueue:
    """The waiting requests of one service on this host."""

    def __init__(self) -> None:
        """Start empty."""
        self.waiters: list[_Waiter] = []
        self.last_arrival_number = 0

    def is_next(self, position: QueuePosition) -> bool:
        """Tell whether nobody who waits goes before ``position``."""
        return not self.waiters or position < self.waiters[0].position

    def wake_next(self) -> None:
        """Let the first in the line look for a place."""
        if self.waiters:
            self.waiters[0].woken.set()

    async def wait(self, position: QueuePosition, timeout: float) -> None:
        """Wait for a call, for ``timeout`` seconds at most."""
        self.last_arrival_number += 1
        waiter = _Waiter(position, self.last_arrival_number, asyncio.Event())
        bisect.insort(self.waiters, waiter)
        try:
            async with asyncio.timeout(timeout):
                await waiter.woken.wait()
        except TimeoutError:
            return
        finally:
            self.waiters.remove(waiter)
