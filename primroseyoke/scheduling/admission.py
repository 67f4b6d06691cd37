"""Decides which waiting request gets the next free slot."""

import dataclasses
import enum

__all__ = ('QueuePosition', 'Urgency', 'precedes_all')


class Urgency(enum.IntEnum):
    """How much a waiting request gains from a slot, most first."""

    #: The response can still be on time.
    ON_TIME = 0
    #: The caller has part of the response and will soon give up.
    RESUMED = 1
    #: The response will be late.
    LATE = 2


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class QueuePosition:
    """Sort key of a waiting request; the lowest is served first.

    Requests are sorted by urgency, then by priority. On-time requests are
    served last in, first out: under overload, a first-in, first-out queue would
    answer each of them just too late. All others are served first in, first
    out; their callers may be retrying after a rejection.
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
        newest_first = urgency is Urgency.ON_TIME
        return cls(
            urgency,
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
