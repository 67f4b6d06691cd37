"""Requests that wait for a place at an upstream, those first in need first."""

import asyncio
import bisect
import dataclasses
import enum

__all__ = ('Turn', 'Urgency', 'WaitingLine')


class Urgency(enum.IntEnum):
    """What a place is worth to a waiting request, most first."""

    #: Its answer can still be on time.
    ON_TIME = 0
    #: Its caller has part of the answer and leaves soon.
    RESUMED = 1
    #: Its answer will be late.
    LATE = 2


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Turn:
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
    def of(cls, urgency: Urgency, priority: int, made_at: float) -> 'Turn':
        """Return the turn of a request made at ``made_at``."""
        newest_first = urgency is Urgency.ON_TIME
        return cls(urgency, priority, -made_at if newest_first else made_at)


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
