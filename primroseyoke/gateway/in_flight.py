"""Number of requests in progress at each upstream, over all hosts."""

import dataclasses
from collections.abc import Iterable, Mapping

__all__ = ('InFlightRequests',)

# A report of another host expires after this time, in which a host sends about
# ten reports.
_REPORT_LIFETIME_SECONDS = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class _HostReport:
    """Requests in progress of another host, by upstream."""

    counts: Mapping[str, int]
    received_at: float


class InFlightRequests:
    """Requests in progress of this host and as last reported by the others.

    Attributes:
        running: requests of this host in progress, by upstream.
        reports: the last report of each other host.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self.running: dict[str, int] = {}
        self.reports: dict[str, _HostReport] = {}
        self.totals: dict[str, int] = {}

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
        self, host: str, counts: Mapping[str, int], now: float
    ) -> None:
        """Replace the report of another host."""
        self.drop_report(host)
        self.reports[host] = _HostReport(counts, now)
        for name, count in counts.items():
            self._add(name, count)

    def drop_report(self, host: str) -> None:
        """Discard the report of a host, if there is one."""
        previous = self.reports.pop(host, None)
        if previous is not None:
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
