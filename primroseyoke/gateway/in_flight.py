"""Number of requests in progress at each upstream, over all hosts."""

import dataclasses
import types
from collections.abc import Iterable, Mapping

from ..scheduling.work import ToldWork

__all__ = ('InFlightRequests',)

# A report of another host expires after this time, in which a host sends about
# ten reports.
_REPORT_LIFETIME_SECONDS = 1.5
_NO_WORK: Mapping[str, int] = types.MappingProxyType({})


@dataclasses.dataclass(frozen=True, slots=True)
class _HostReport:
    """Requests in progress of another host and their work, by upstream."""

    counts: Mapping[str, int]
    received_at: float
    work: Mapping[str, int]


class InFlightRequests:
    """Requests in progress of this host and as last reported by the others.

    Attributes:
        running: requests of this host in progress, by upstream.
        reports: the last report of each other host.
        told_work: work left of the requests of the other hosts.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self.running: dict[str, int] = {}
        self.reports: dict[str, _HostReport] = {}
        self.totals: dict[str, int] = {}
        self.told_work = ToldWork()

    def record_start(self, name: str) -> None:
        """Record the start of a request of this host at an upstream."""
        self.running[name] = self.running.get(name, 0) + 1
        self._add(name, 1)

    def record_end(self, name: str) -> None:
        """Record the end of a request of this host at an upstream."""
        remaining = self.running.pop(name, 0) - 1
        if remaining > 0:
            self.running[name] = remaining
        self._add(name, -1)

    def apply_report(
        self,
        host: str,
        counts: Mapping[str, int],
        now: float,
        work: Mapping[str, int] = _NO_WORK,
    ) -> None:
        """Replace the report of another host.

        Args:
            host: name of the host.
            counts: its requests in progress by upstream.
            now: monotonic seconds.
            work: their work left by upstream, in milliseconds.
        """
        self.drop_report(host)
        self.reports[host] = _HostReport(counts, now, work)
        self.told_work.add(counts, work, 1)
        for name, count in counts.items():
            self._add(name, count)

    def drop_report(self, host: str) -> None:
        """Discard the report of a host, if there is one."""
        previous = self.reports.pop(host, None)
        if previous is not None:
            self.told_work.add(previous.counts, previous.work, -1)
            for name, count in previous.counts.items():
                self._add(name, -count)

    def expire(self, now: float) -> None:
        """Discard expired reports."""
        for host, report in tuple(self.reports.items()):
            if now - report.received_at >= _REPORT_LIFETIME_SECONDS:
                self.drop_report(host)

    def total(self, name: str) -> int:
        """Return the requests of all hosts in progress at an upstream."""
        return self.totals.get(name, 0)

    def total_of(self, names: Iterable[str]) -> int:
        """Return the requests of all hosts in progress at some upstreams."""
        return sum(self.totals.get(name, 0) for name in names)

    def _add(self, name: str, count: int) -> None:
        total = self.totals.pop(name, 0) + count
        if total > 0:
            self.totals[name] = total
