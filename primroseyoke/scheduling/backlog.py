"""On-time requests that wait at other hosts, from their reports."""

import collections
import dataclasses
from collections.abc import Mapping

__all__ = ('Backlog',)

# A report that is older does not count: its host may have stopped, or may be on
# the other side of a partition. Heartbeats are sent every 0.35 s.
REPORT_LIFETIME_SECONDS = 0.5

_Waiting = Mapping[str, Mapping[int, int]]


@dataclasses.dataclass(frozen=True, slots=True)
class _HostReport:
    """Waiting requests of a host by service and priority."""

    waiting: _Waiting
    sent_at: float


class Backlog:
    """Sums the waiting requests of all other hosts.

    Sums are kept up to date, so a look-up costs the same for any number of
    hosts.

    Attributes:
        reports: last report of each host where requests wait, oldest first.
        totals: waiting requests by service and priority.
    """

    def __init__(self) -> None:
        """Start without reports."""
        self.reports: collections.OrderedDict[str, _HostReport] = (
            collections.OrderedDict()
        )
        self.totals: dict[str, collections.Counter[int]] = {}

    def apply_report(
        self, host: str, waiting: _Waiting, sent_at: float
    ) -> None:
        """Replace the report of a host.

        Args:
            host: name of the host.
            waiting: its waiting on-time requests by service and priority.
            sent_at: when it was sent, in monotonic seconds of this host.
        """
        self.drop_report(host)
        if any(waiting.values()):
            self.reports[host] = _HostReport(waiting, sent_at)
            self._add(waiting, 1)

    def drop_report(self, host: str) -> None:
        """Discard the report of a host, if there is one."""
        report = self.reports.pop(host, None)
        if report is not None:
            self._add(report.waiting, -1)

    def by_priority(self, service: str, now: float) -> Mapping[int, int]:
        """Return the requests that wait for a service, by priority."""
        while self.reports:
            host, report = next(iter(self.reports.items()))
            if now - report.sent_at < REPORT_LIFETIME_SECONDS:
                break
            self.drop_report(host)
        return self.totals.get(service, {})

    def _add(self, waiting: _Waiting, sign: int) -> None:
        for service, counts in waiting.items():
            totals = self.totals.setdefault(service, collections.Counter())
            for priority, count in counts.items():
                totals[priority] += sign * count
                if not totals[priority]:
                    totals.pop(priority)
            if not totals:
                self.totals.pop(service)
