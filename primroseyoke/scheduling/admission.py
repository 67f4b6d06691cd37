"""Decides which waiting request gets the next free slot.

Each host decides by itself: the order of its own queue is a ``QueuePosition``,
and the requests at other hosts count as reported by them; see
docs/design/admission.md.
"""

import collections
import dataclasses
import enum
import math
from collections.abc import Callable, Collection

from .backlog import Backlog
from .forecast import HoldTime, Prospect
from .returns import ReturnShare
from .starvation import GrantHistory

__all__ = (
    'Contention',
    'QueuePosition',
    'ServiceAdmission',
    'Urgency',
    'WaitLimits',
    'precedes_all',
)


# Share of the objective within which a request is refused that has no prospect
# of a slot; a caller that knows early can return early.
REFUSAL_SHARE = 0.125
# Share of the slots that must be free before a late request gets one.
_RESERVED_SLOT_SHARE = 0.2
# Longest Retry-After as a share of the time left: callers wait no longer.
_RETRY_AFTER_SHARE = 0.33
# A refused request returns after at least this share of its timeout. A request
# that returns earlier looks like a new one: the time that callers state differs
# by up to 0.2.
_MIN_RETURN_SHARE = 0.22
# For this time after a release, a host need not share the slot by chance: the
# others don't know of it yet.
_OWN_RELEASE_SECONDS = 0.01
# Random part of Retry-After, so that callers refused together return apart.
_RETRY_AFTER_JITTER_SHARE = 0.2


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

    ``ahead`` is the number of those that go before it, ``rivals`` the number of
    hosts where requests of the same priority wait.
    """

    ahead: int = 0
    rivals: int = 0

    @property
    def slots_to_count(self) -> int:
        """Return up to how many free slots make a difference."""
        return self.ahead + self.rivals + 1

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
        return spare > 0 and draw * (self.rivals + 1) < spare


@dataclasses.dataclass(frozen=True, slots=True)
class WaitLimits:
    """How long a request may wait; times in monotonic seconds.

    ``on_time_until`` is when a slot comes too late for an answer on time,
    ``wait_until`` when it is refused, ``refused_until`` the end of the time in
    which it is refused for lack of a prospect.
    """

    on_time_until: float
    wait_until: float
    refused_until: float
    is_retried: bool


class ServiceAdmission:
    """Decides on the requests of one service on this host.

    Attributes:
        waiting: on-time requests that wait on this host, by the priority that
            counts.
        history: grants and refusals by configured priority.
        on_waiting: called when ``waiting`` has grown.
        hold_time: how long requests of this host hold a slot.
        returns: share of the slots for requests that were refused before.
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
        self.hold_time = HoldTime()
        self.returns = ReturnShare()
        self.returns_waiting = 0
        self.released_at = -math.inf

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
        if retried and urgency is Urgency.LATE and self.returns.has_credit:
            return QueuePosition(Urgency.ON_TIME, False, priority, -math.inf)
        return QueuePosition.of(urgency, priority, first_attempt_at, retried)

    def contention(self, position: QueuePosition, now: float) -> Contention:
        """Return what waits at other hosts before and beside a request.

        Late requests, and those of accounts above their share, leave slots to
        all on-time ones, any other to those of a more urgent priority. A slot
        that this host has just released is shared with no others of its
        priority.
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
        if now - self.released_at < _OWN_RELEASE_SECONDS:
            return Contention(ahead)
        rivals = self.backlog.host_count(self.service, position.priority, now)
        return Contention(ahead, rivals)

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

    def prospect(
        self,
        position: QueuePosition,
        in_progress: int,
        host_count: int,
        now: float,
    ) -> Prospect:
        """Return what a request competes with.

        Args:
            position: its position.
            in_progress: requests of all hosts that hold a slot.
            host_count: number of hosts.
            now: monotonic seconds.
        """
        elsewhere = self.backlog.by_priority(self.service, now)
        ahead = sum(
            count
            for waiting in (elsewhere, self.waiting)
            for priority, count in waiting.items()
            if position.urgency is Urgency.LATE or priority <= position.priority
        )
        return Prospect(
            rate=self.hold_time.release_rate(in_progress),
            ahead=ahead,
            urgent_share=self.history.urgent_share(position.priority, now),
            demand=self.history.decision_rate(now) * host_count,
            reserved=_RESERVED_SLOT_SHARE * in_progress,
        )

    def has_prospect(
        self,
        position: QueuePosition,
        prospect: Prospect,
        limits: WaitLimits,
        now: float,
    ) -> bool:
        """Tell whether a request is worth waiting for a slot.

        It is if it can be on time or, failing that, can be served late.
        """
        if position.urgency is Urgency.ON_TIME:
            left = limits.on_time_until - now
            if prospect.on_time_delay() <= left:
                return True
        return now + prospect.late_delay() <= limits.wait_until

    def may_refuse(
        self, position: QueuePosition, limits: WaitLimits, now: float
    ) -> bool:
        """Tell whether a request is refused now if it has no prospect.

        An on-time request is refused within a share of its objective, or else
        waits: the newest first may not be those of the forecast. A request that
        was refused before waits, as its caller does not return again.
        """
        if not self.enabled or limits.is_retried:
            return False
        if position.urgency is Urgency.ON_TIME:
            return now <= limits.refused_until
        return position.urgency is Urgency.LATE

    def retry_after(
        self,
        backlog_delay: float,
        timeout: float,
        time_left: float,
        draw: float,
        now: float,
    ) -> float:
        """Return when a refused request is to return, in seconds.

        Callers are told times at which what waits now is served, and the
        returns before them have got their share of the slots.

        Args:
            backlog_delay: time in which as many slots become free as requests
                wait, in seconds.
            timeout: longest time that callers wait for a response.
            time_left: what is left of it for this request.
            draw: random number, evenly distributed between 0 and 1.
            now: monotonic seconds.
        """
        longest = time_left * _RETRY_AFTER_SHARE
        waited = timeout - time_left
        earliest = timeout * _MIN_RETURN_SHARE - waited
        delay = self.returns.delay(
            self.returns_waiting, self.history.grant_rate(now), now
        )
        delay = max(delay, earliest, backlog_delay)
        delay *= 1 + _RETRY_AFTER_JITTER_SHARE * draw
        if delay > longest:
            spread = min(longest, max(longest - earliest, 0)) / 2
            delay = longest - spread * draw
        self.returns.promise(now + delay)
        return delay

    def record_decision(self, priority: int, granted: bool, now: float) -> None:
        """Record that a request got a slot, or was refused."""
        if self.enabled:
            self.history.record(priority, granted, now)

    def record_release(self, held: float, now: float) -> None:
        """Record that a request of this host held a slot for ``held`` s."""
        self.hold_time.observe(held)
        self.released_at = now

    def record_slot(self, position: QueuePosition) -> None:
        """Record the position at which a request got a slot."""
        self.released_at = -math.inf
        if self.enabled:
            self.returns.record_grant(position.order == -math.inf)
