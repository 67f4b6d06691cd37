"""Decides which waiting request gets the next free slot.

Each host decides by itself: the order of its own queue is a ``QueuePosition``,
and the requests at other hosts count as reported by them; see
docs/design/admission.md.
"""

import collections
import dataclasses
import enum
from collections.abc import Callable, Collection

from .backlog import Backlog
from .starvation import GrantHistory

__all__ = (
    'Contention',
    'QueuePosition',
    'ServiceAdmission',
    'Urgency',
    'precedes_all',
)


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
    retrying after a rejection. ``is_new`` is False
    for late requests that go before other late ones, as they were refused
    before and are not sent a third time.
    """

    urgency: Urgency
    is_new: bool
    priority: int
    #: Time of the first attempt in monotonic seconds, negated for LIFO order.
    order: float

    @classmethod
    def of(
        cls,
        urgency: Urgency,
        priority: int,
        first_attempt_at: float,
        retried: bool = False,
    ) -> 'QueuePosition':
        """Return the position of a request first made at a monotonic time."""
        newest_first = urgency in {Urgency.ON_TIME, Urgency.ABOVE_SHARE}
        return cls(
            urgency,
            urgency is Urgency.LATE and not retried,
            priority,
            -first_attempt_at if newest_first else first_attempt_at,
        )


def precedes_all(
    position: QueuePosition, first_waiting: QueuePosition | None
) -> bool:
    """Tell whether a request goes before all that wait on this host.

    Args:
        position: position of the request.
        first_waiting: position of the first waiting request, None if no
            request waits.
    """
    return first_waiting is None or position < first_waiting


@dataclasses.dataclass(frozen=True, slots=True)
class Contention:
    """Requests at other hosts that compete with one for free slots.

    ``ahead`` is the number of those that go before it, ``beside`` of those of
    the same priority.
    """

    ahead: int = 0
    beside: int = 0

    @property
    def slots_to_count(self) -> int:
        """Return up to how many free slots make a difference."""
        return self.ahead + self.beside + 1

    def allows(self, free: int, draw: float) -> bool:
        """Tell whether the request may take one of ``free`` slots.

        Hosts that see the same spare slots decide at the same time. Each takes
        one with a probability such that they take as many as there are. When
        all took one, up to 40 more requests were sent than there were slots,
        and urgent ones waited behind them.

        Args:
            free: number of free slots, counted up to ``slots_to_count``.
            draw: random number, evenly distributed between 0 and 1.
        """
        spare = free - self.ahead
        return spare > 0 and draw * (self.beside + 1) < spare


class ServiceAdmission:
    """Decides on the requests of one service on this host.

    Attributes:
        waiting: on-time requests that wait on this host, by the priority that
            counts.
        history: grants and refusals by configured priority.
        on_waiting: called when ``waiting`` has grown.
    """

    def __init__(
        self,
        service: str,
        backlog: Backlog,
        on_waiting: Callable[[], None],
    ) -> None:
        """Decide for ``service``, knowing the requests in ``backlog``."""
        self.service = service
        self.backlog = backlog
        self.on_waiting = on_waiting
        self.priorities: Collection[int] = ()
        self.waiting: collections.Counter[int] = collections.Counter()
        self.history = GrantHistory()

    @property
    def enabled(self) -> bool:
        """Tell whether the service has more than one priority."""
        return len(self.priorities) > 1

    def position(
        self,
        urgency: Urgency,
        priority: int,
        first_attempt_at: float,
        retried: bool,
        now: float,
    ) -> QueuePosition:
        """Return the position of a request.

        Args:
            urgency: what the request gains from a slot.
            priority: its configured priority; 0 is the most urgent.
            first_attempt_at: when the caller first made it.
            retried: whether it was refused before.
            now: the time; both times are in monotonic seconds.
        """
        if not self.enabled:
            return QueuePosition.of(urgency, priority, first_attempt_at)
        if self.history.is_starved(priority, now):
            priority = min(self.priorities)
        return QueuePosition.of(urgency, priority, first_attempt_at, retried)

    def contention(self, position: QueuePosition, now: float) -> Contention:
        """Return what waits at other hosts before and beside a request.

        Late requests, and those of accounts above their share, leave slots to
        all on-time ones, any other to those of a more urgent priority.
        """
        if not self.enabled:
            return Contention()
        waiting = self.backlog.by_priority(self.service, now)
        if position.urgency >= Urgency.LATE:
            return Contention(ahead=sum(waiting.values()))
        ahead = sum(
            count
            for priority, count in waiting.items()
            if priority < position.priority
        )
        return Contention(ahead, waiting.get(position.priority, 0))

    def start_waiting(self, position: QueuePosition) -> None:
        """Count a request that waits from now on."""
        if position.urgency is Urgency.ON_TIME:
            self.waiting[position.priority] += 1
            if self.enabled:
                self.on_waiting()

    def stop_waiting(self, position: QueuePosition) -> None:
        """Stop counting a request, which waited at ``position``."""
        if position.urgency is Urgency.ON_TIME:
            self.waiting[position.priority] -= 1

    def record_decision(self, priority: int, granted: bool, now: float) -> None:
        """Record that a request got a slot, or was refused."""
        if self.enabled:
            self.history.record(priority, granted, now)
