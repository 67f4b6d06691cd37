"""Requests that wait for a place at an upstream, those first in need first."""

import asyncio
import bisect
import dataclasses

__all__ = ('Turn', 'WaitingLine')


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Turn:
    """The rank of a waiting request; the lowest is served first.

    A request that can still be answered on time goes before one that can't,
    then the more urgent, then the one that was made first (monotonic seconds).
    """

    late: bool
    priority: int
    made_at: float


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _Waiter:
    turn: Turn
    number: int
    called: asyncio.Event = dataclasses.field(compare=False)


class WaitingLine:
    """The waiting requests of one service on this host."""

    def __init__(self) -> None:
        """Start empty."""
        self.waiters: list[_Waiter] = []
        self.number = 0

    def may_go(self, turn: Turn) -> bool:
        """Tell whether nobody who waits goes before ``turn``."""
        return not self.waiters or turn < self.waiters[0].turn

    def call(self) -> None:
        """Let the first in the line look for a place."""
        if self.waiters:
            self.waiters[0].called.set()

    async def wait(self, turn: Turn, timeout: float) -> None:
        """Wait for a call, for ``timeout`` seconds at most."""
        self.number += 1
        waiter = _Waiter(turn, self.number, asyncio.Event())
        bisect.insort(self.waiters, waiter)
        try:
            async with asyncio.timeout(timeout):
                await waiter.called.wait()
        except TimeoutError:
            return
        finally:
            self.waiters.remove(waiter)
