"""Counts the requests that began to run on this host, by window and client."""

import math
import time
from collections.abc import Iterator
from typing import TYPE_CHECKING

from .usage_marks import MARK_PREFIX, is_mark, lost_mark, repeated_mark
from .wall_clock import WallClock

if TYPE_CHECKING:
    from .authorization import AuthorizedRequest

__all__ = ('RequestUsage', 'UsageCounter', 'WindowCounts', 'Windows')

#: Number of requests by window and client account, with marks of requests.
WindowCounts = dict[int, dict[str, int]]

# Time between the first token and the arrival of its event: half a pass of an
# engine (about 0.1 s) on average, plus the delay of the network.
_FIRST_EVENT_DELAY_SECONDS = 0.052
# Added to the end of a window before it counts as complete: an event that
# arrives within ``_FIRST_EVENT_DELAY_SECONDS`` of the end belongs to it.
_COMPLETION_DELAY_SECONDS = 0.1
# Windows that are kept after their report is overdue. A report is made up to 7 s
# after the end of a window, callers give up after 8 s.
_KEPT_OVERDUE_WINDOWS = 2
# Request IDs are kept for as long as windows are. The limit bounds the memory
# under a flood of requests; 50,000 IDs use about 6 MB.
_MAX_ID_COUNT = 50000


class Windows:
    """Times of the windows of usage reports.

    Attributes:
        seconds: duration of a window.
        deadline: time from the end of a window until its report is due, in
            seconds.
    """

    def __init__(self, seconds: float, deadline: float) -> None:
        """Use windows of ``seconds``, reported within ``deadline``."""
        self.seconds = seconds
        self.deadline = deadline

    def at(self, now: float) -> int:
        """Return the window at a true time, in seconds since 1970."""
        return math.floor(now / self.seconds)

    def end(self, window: int) -> float:
        """Return the true time at which a window ends."""
        return (window + 1) * self.seconds

    def due(self, window: int) -> float:
        """Return the true time at which the report of a window is due."""
        return self.end(window) + self.deadline

    def oldest(self, now: float) -> int:
        """Return the oldest window whose report is not yet overdue."""
        return self.at(now - self.deadline)

    def oldest_kept(self, now: float) -> int:
        """Return the oldest window whose counts are kept.

        A request that was lost in a window may be sent again until its caller
        gives up, and is then not counted in that later window.
        """
        return self.oldest(now) - _KEPT_OVERDUE_WINDOWS


class UsageCounter:
    """Counts of this process; each request counts once.

    A count is a decision about one request, made when its first event or
    response has arrived or when it has ended without one. Until then, the
    windows since it was sent are not complete.

    Attributes:
        counts: number of requests by window and client account, with marks.
        changed: windows and clients whose count has changed since
            ``take_changes`` was called.
        unsettled: the requests that were sent and not yet counted, oldest
            first, with the true time at which they were sent.
    """

    def __init__(self, windows: Windows, clock: WallClock) -> None:
        """Count in ``windows`` of the true time of ``clock``."""
        self.windows = windows
        self.clock = clock
        self.counts: WindowCounts = {}
        self.changed: set[tuple[int, str]] = set()
        self.unsettled: dict[RequestUsage, float] = {}
        self.counted_ids: dict[tuple[str, str], int] = {}

    def true_time(self, monotonic: float) -> float:
        """Convert a recent monotonic time into true time."""
        return self.clock.now() - (time.monotonic() - monotonic)

    def add(
        self, client: str, request_id: str, began_at: float, *marks: str
    ) -> None:
        """Count a request that began at a true time, unless it was counted.

        A caller that sends its request again after a lost response uses the
        same ID. ``marks`` tell other hosts of such requests.
        """
        if (client, request_id) in self.counted_ids:
            return
        if client.startswith(MARK_PREFIX):
            return
        window = self.windows.at(began_at)
        if request_id:
            self.counted_ids[client, request_id] = window
        else:
            marks = ()
        entries = self.counts.setdefault(window, {})
        entries[client] = entries.get(client, 0) + 1
        entries.update(dict.fromkeys(marks, 1))
        self.changed.update((window, entry) for entry in (client, *marks))

    def take_changes(self) -> set[tuple[int, str]]:
        """Return what has changed since the last call."""
        changed = self.changed
        self.changed = set()
        return changed

    def completed(self) -> int:
        """Return the newest window whose counts are final."""
        limit = self.clock.now() - _COMPLETION_DELAY_SECONDS
        oldest = next(iter(self.unsettled.values()), limit)
        return self.windows.at(min(limit, oldest)) - 1

    def totals(self) -> dict[int, int]:
        """Return the sum of the counts of each window, with marks."""
        return {
            window: sum(entries.values())
            for window, entries in self.counts.items()
        }

    def request_counts(self) -> dict[int, int]:
        """Return the number of requests by window."""
        return {
            window: sum(
                count for entry, count in entries.items() if not is_mark(entry)
            )
            for window, entries in self.counts.items()
        }

    def expire(self) -> None:
        """Drop the windows that are not needed any more."""
        oldest = self.windows.oldest_kept(self.clock.now())
        for window in tuple(self.counts):
            if window < oldest:
                self.counts.pop(window)
        for key in tuple(self._expired_ids(oldest)):
            self.counted_ids.pop(key)

    def _expired_ids(self, oldest: int) -> Iterator[tuple[str, str]]:
        excess = len(self.counted_ids) - _MAX_ID_COUNT
        for number, (key, window) in enumerate(self.counted_ids.items()):
            if number < excess or window < oldest:
                yield key


class RequestUsage:
    """What one caller's request adds to the counts.

    Times are in monotonic seconds.

    Attributes:
        is_repeated: whether the caller has probably sent it before.
        lost_at: when the first attempt was sent whose response was lost and
            that an upstream may have run; None if there was none.
    """

    def __init__(
        self, counter: UsageCounter | None, authorized: 'AuthorizedRequest'
    ) -> None:
        """Count nothing if ``counter`` is None.

        Requests without an account are not counted, nor are those for the rest
        of a response: they were counted where it began.
        """
        client = authorized.client
        is_counted = client and not authorized.request.last_event_id
        self.counter = counter if is_counted else None
        self.client = client.name if client else ''
        self.request_id = authorized.request.request_id
        self.is_repeated = (
            authorized.first_attempt_at < authorized.request.arrived_at
        )
        self.lost_at: float | None = None

    def record_sent(self, sent_at: float) -> None:
        """Hold back the windows from ``sent_at`` until it is counted."""
        counter = self.counter
        if counter is not None and self not in counter.unsettled:
            counter.unsettled[self] = counter.true_time(sent_at)

    def record_first_event(self, now: float) -> None:
        """Count it: the first event of a stream arrived."""
        self._count(now - _FIRST_EVENT_DELAY_SECONDS)

    def record_response(self, sent_at: float) -> None:
        """Count it: the response to an attempt sent at ``sent_at`` arrived."""
        self._count(sent_at)

    def record_lost(self, sent_at: float) -> None:
        """Note an attempt that may have run and whose response was lost.

        It is counted with the response of a later attempt or at the end of the
        request, at the time of the first attempt.
        """
        if self.lost_at is None or sent_at < self.lost_at:
            self.lost_at = sent_at

    def close(self) -> None:
        """Count it if a response was lost; the request has ended."""
        if self.counter is None:
            return
        if self.lost_at is None:
            self.counter.unsettled.pop(self, None)
            self.counter = None
        else:
            mark = lost_mark(self.client, self.request_id)
            self._count(self.lost_at, mark)

    def _count(self, began_at: float, *marks: str) -> None:
        counter = self.counter
        if counter is None:
            return
        if self.lost_at is not None:
            began_at = min(began_at, self.lost_at)
        if self.is_repeated:
            marks = (*marks, repeated_mark(self.client, self.request_id))
        counter.add(
            self.client, self.request_id, counter.true_time(began_at), *marks
        )
        counter.unsettled.pop(self, None)
        self.counter = None
