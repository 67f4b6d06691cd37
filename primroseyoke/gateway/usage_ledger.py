"""Merges the counts of all hosts and decides which windows can be reported."""

import collections
import dataclasses
import statistics
from collections.abc import Callable, Collection, Iterator, Mapping
from typing import TypeVar

from .clocks import boot_time
from .peer_reports import UsageMessage
from .usage_counts import UsageCounter, WindowCounts, Windows
from .usage_marks import is_mark, repeated_client

__all__ = ('RunCounts', 'UsageLedger')

Key = TypeVar('Key')

_MS_PER_SECOND = 1000
# A window is reported this long before its report is due, even if counts of some
# host are missing. The time is enough for a slow store (0.4 s for each call) and
# several calls to the API.
_REPORT_MARGIN_SECONDS = 3.0
# Windows ahead of the own true time are counted up to this number: clocks of
# hosts step by seconds.
_MAX_WINDOWS_AHEAD = 3
# The true time told by a process is used for this time after it was heard.
_TOLD_TIME_LIFETIME_SECONDS = 2.0
# More processes are not recorded: hosts that restart again and again.
_MAX_RUN_COUNT = 4000


@dataclasses.dataclass(slots=True)
class RunCounts:
    """What one process has told of its counts.

    ``heard_at`` is the boot time at which it was heard last, ``offset`` its true
    time minus the boot time of this host, in seconds. Its counts are final up
    to the window ``completed``. ``totals`` has the sum of its counts by window.
    ``told_window`` is the window at its true time when it was heard.
    """

    address: str
    heard_at: float = 0
    offset: float = 0
    completed: int = 0
    told_window: int = 0
    totals: dict[int, int] = dataclasses.field(default_factory=dict)
    counts: WindowCounts = dataclasses.field(default_factory=dict)

    def is_whole(self, window: int) -> bool:
        """Return whether the counts of a window have all arrived."""
        count = sum(self.counts.get(window, {}).values())
        return count >= self.totals.get(window, 0)

    def is_final(self, window: int) -> bool:
        """Return whether no more counts of a window are to be expected."""
        if self.completed >= window:
            return self.is_whole(window)
        # A process that ends completes the window in which it does so.
        return self.completed >= self.told_window

    def missing(self) -> tuple[int, ...]:
        """Return the windows of which counts have not arrived."""
        return tuple(
            window
            for window in sorted(self.totals)
            if not self.is_whole(window)
        )

    def drop_before(self, oldest: int) -> None:
        """Drop the windows before ``oldest``."""
        for windows in (self.counts, self.totals):
            for window in tuple(windows):
                if window < oldest:
                    windows.pop(window)


class UsageLedger:
    """Counts of all processes that were heard, by process and window.

    Counts are cumulative, so datagrams that are lost, repeated or reordered
    have no effect: the maximum is kept.

    Attributes:
        runs: what the processes have told, by the identity of the process.
    """

    def __init__(
        self,
        windows: Windows,
        counter: UsageCounter,
        run: str,
        boot: Callable[[], float] = boot_time,
    ) -> None:
        """Merge into the counts of ``counter``, which are those of ``run``."""
        self.windows = windows
        self.counter = counter
        self.run = run
        self.boot = boot
        self.runs: dict[str, RunCounts] = {}
        self.offset = counter.clock.now() - boot()

    def true_time(self) -> float:
        """Return the true time in seconds since 1970.

        It is the median of what this host and those heard lately consider the
        true time, so it is right while the clocks of a few hosts are wrong.
        """
        return self.boot() + self.offset

    def update(self) -> None:
        """Compute the true time anew and drop overdue windows."""
        now = self.boot()
        offsets = [
            told.offset
            for told in self.runs.values()
            if now - told.heard_at < _TOLD_TIME_LIFETIME_SECONDS
        ]
        own = self.counter.clock.now() - now
        self.offset = statistics.median([own, *offsets])
        self._expire(self.windows.oldest_kept(now + self.offset))

    def merge(self, message: UsageMessage, address: str) -> None:
        """Merge counts of another process, received from ``address``."""
        if message.run == self.run or not message.time:
            return
        told = self.runs.get(message.run)
        if told is None:
            if len(self.runs) >= _MAX_RUN_COUNT:
                return
            told = RunCounts(address)
            self.runs[message.run] = told
        told_time = message.time / _MS_PER_SECOND
        told.heard_at = self.boot()
        told.offset = told_time - told.heard_at
        told.told_window = max(told.told_window, self.windows.at(told_time))
        self._merge_counts(told, message)

    def counts(self, window: int) -> dict[str, int]:
        """Return the merged counts of a window by client, sorted.

        A request that one process counted without a response, and another one
        when it was sent again, counts where it was sent first.
        """
        merged: collections.Counter[str] = collections.Counter()
        for counts in self._all_counts():
            for entry, count in counts.get(window, {}).items():
                if not is_mark(entry):
                    merged[entry] += count
        merged.subtract(self._counted_twice(window))
        return dict(sorted((+merged).items()))

    def missing(self) -> Iterator[tuple[str, tuple[int, ...]]]:
        """Return the addresses that told more than arrived, with windows."""
        now = self.boot()
        for told in self.runs.values():
            missing = told.missing()
            if missing and now - told.heard_at < _TOLD_TIME_LIFETIME_SECONDS:
                yield told.address, missing

    def is_ready(
        self, window: int, active: Collection[str], now: float
    ) -> bool:
        """Return whether the report of a window can be made.

        A process that is not heard any more may be on the other side of a
        network partition and serve requests there. It is waited for, as long
        as there is time.

        Args:
            window: the window.
            active: addresses of the other hosts that run.
            now: true time in seconds since 1970.
        """
        if now <= self.windows.end(window):
            return False
        if now >= self.windows.due(window) - _REPORT_MARGIN_SECONDS:
            return True
        if self.counter.completed() < window:
            return False
        return not self.awaited(window, active)

    def awaited(self, window: int, active: Collection[str]) -> set[str]:
        """Return the addresses of hosts that may have more counts.

        ``active`` has the addresses of the other hosts that run.
        """
        heard = {
            told.address
            for told in self.runs.values()
            if told.told_window >= window
        }
        oldest = self.windows.oldest(self.true_time())
        unfinished = {
            told.address
            for told in self.runs.values()
            if told.told_window >= oldest and not told.is_final(window)
        }
        return unfinished.union(set(active) - heard)

    def _all_counts(self) -> list[WindowCounts]:
        return [
            self.counter.counts,
            *(told.counts for told in self.runs.values()),
        ]

    def _counted_twice(self, window: int) -> Iterator[str]:
        """Return the client of each request of a window counted before."""
        repeated = [
            (process, *identity)
            for process, counts in enumerate(self._all_counts())
            for entry in counts.get(window, ())
            if (identity := repeated_client(entry))
        ]
        marks = {mark for _, _, mark in repeated}
        lost_by = self._processes_with(marks, window)
        for process, client, mark in repeated:
            if lost_by[mark] - {process}:
                yield client

    def _processes_with(
        self, marks: set[str], window: int
    ) -> Mapping[str, set[int]]:
        """Return which processes have each of some marks up to ``window``.

        Looking for each mark at each process took seconds with 390 hosts.
        """
        found: collections.defaultdict[str, set[int]] = collections.defaultdict(
            set
        )
        for process, counts in enumerate(self._all_counts()):
            for mark in _marks_until(counts, marks, window):
                found[mark].add(process)
        return found

    def _expire(self, oldest: int) -> None:
        for run, told in tuple(self.runs.items()):
            told.drop_before(oldest)
            if told.told_window < oldest:
                self.runs.pop(run)

    def _merge_counts(self, told: RunCounts, message: UsageMessage) -> None:
        now = self.true_time()
        accepted = range(
            self.windows.oldest_kept(now),
            self.windows.at(now) + _MAX_WINDOWS_AHEAD + 1,
        )
        for window, clients in message.usage.items():
            if window in accepted:
                _keep_maximum(told.counts.setdefault(window, {}), clients)
        if message.totals is None:
            return
        told.completed = max(told.completed, message.completed)
        for number, total in message.totals.items():
            if number in accepted:
                _keep_maximum(told.totals, {number: total})


def _marks_until(
    counts: WindowCounts, marks: set[str], window: int
) -> Iterator[str]:
    """Return those of some marks that are in windows up to ``window``."""
    for earlier, entries in counts.items():
        if earlier <= window:
            yield from marks.intersection(entries)


def _keep_maximum(known: dict[Key, int], told: Mapping[Key, int]) -> None:
    for key, count in told.items():
        known[key] = max(known.get(key, 0), count)
