"""Queue of requests that wait for a free slot at an upstream."""

import asyncio
import bisect
import dataclasses

from ..scheduling.admission import QueuePosition, precedes_all

__all__ = ('WaitQueue',)


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
        first = self.waiters[0].position if self.waiters else None
        return precedes_all(position, first)

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
