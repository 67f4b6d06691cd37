"""Queue of requests that wait for a free slot at an upstream."""

import asyncio
import bisect
import dataclasses
import enum

__all__ = ('QueuePosition', 'Urgency', 'WaitQueue')


class Urgency(enum.IntEnum):
    """How much a waiting request gains from a slot, most first."""

    #: The response can still be on time.
    ON_TIME = 0
    #: The caller has part of the response and will soon give up.
    RESUMED = 1
    #: The response will be late.
    LATE = 2
    #: The client account is above its share, and others wait.
    ABOVE_SHARE = 3


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class QueuePosition:
    """Sort key of a waiting request; the lowest is served first.

    Requests are sorted by urgency, then by priority. On-time requests are
    served last in, first out: under overload, a first-in, first-out queue would
    answer each of them just too late. So are those of accounts above their
    share. All others are served first in, first out; their callers may be
    retrying after a rejection.
    """

    urgency: Urgency
    priority: int
    #: Time of the first attempt in monotonic seconds, negated for LIFO order.
    order: float

    @classmethod
    def of(
        cls, urgency: Urgency, priority: int, first_attempt_at: float
    ) -> 'QueuePosition':
        """Return the position of a request first made at a monotonic time."""
        newest_first = urgency in {Urgency.ON_TIME, Urgency.ABOVE_SHARE}
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
    """Waiting requests of one service on this host."""

    def __init__(self) -> None:
        """Start empty."""
        self.waiters: list[_Waiter] = []
        self.last_arrival_number = 0
        self.scheduled_wake: asyncio.TimerHandle | None = None

    def is_next(self, position: QueuePosition) -> bool:
        """Tell whether ``position`` precedes all waiting requests."""
        return not self.waiters or position < self.waiters[0].position

    def wake_next(self) -> None:
        """Wake the first waiting request to try to reserve a slot."""
        if self.waiters:
            self.waiters[0].woken.set()

    def wake_next_within(self, delay: float) -> None:
        """Wake the first waiting request after ``delay`` seconds.

        While a wake is scheduled, further ones have no effect.
        """
        if self.waiters and self.scheduled_wake is None:
            loop = asyncio.get_running_loop()
            self.scheduled_wake = loop.call_later(delay, self._wake_scheduled)

    async def wait(self, position: QueuePosition, timeout: float) -> None:
        """Wait to be woken, for at most ``timeout`` seconds."""
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

    def _wake_scheduled(self) -> None:
        self.scheduled_wake = None
        self.wake_next()
