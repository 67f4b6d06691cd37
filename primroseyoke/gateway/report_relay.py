"""Passes reports on between the hosts of large deployments.

If every host reported to every other one, the datagrams would grow with the
square of the hosts. Above some size, a host reports to one host of its
availability zone, the relay. It sends the reports of its zone in batches to the
hosts of the zone and to one host in each other zone, which passes them on there.
"""

import dataclasses
from collections.abc import Callable, Iterable, Iterator, Mapping

from .clocks import boot_time
from .peer_reports import Batch, RelayedReport, Report

__all__ = ('ReportRelay',)

# Minimum time between two batches.
_BATCH_INTERVAL_SECONDS = 0.02
# Keep a datagram below the usual size of a packet on loopback and the maximum
# size of a datagram. Reports are not encoded to learn their size: a report has
# about as many bytes as these constants say.
_MAX_BATCH_LENGTH = 32
_MAX_BATCH_BYTES = 8000
_REPORT_BYTES = 100
_ENTRY_BYTES = 28

Send = Callable[[Batch, Iterable[str]], None]


@dataclasses.dataclass(frozen=True, slots=True)
class _Queued:
    report: Report
    held: float
    queued_at: float
    is_local: bool


class ReportRelay:
    """Reports that this host passes on.

    Attributes:
        queued: the newest report that was not passed on yet, by address.
    """

    def __init__(self, send: Send) -> None:
        """Send batches with ``send``."""
        self.send = send
        self.queued: dict[str, _Queued] = {}
        self.last_batch_at = 0.0

    def add(
        self,
        address: str,
        report: Report,
        is_local: bool,
        held: float = 0,
    ) -> None:
        """Queue a report.

        Args:
            address: the host that the report is from.
            report: the report.
            is_local: whether that host is in the own availability zone, so that
                the report also has to reach the other zones.
            held: time for which other hosts have held it, in seconds.
        """
        self.queued[address] = _Queued(report, held, boot_time(), is_local)

    def flush(self, zones: Mapping[str, list[str]], own_zone: str) -> None:
        """Send the queued reports, unless the last batch was just sent.

        Args:
            zones: addresses of the other hosts by zone, in ascending order.
            own_zone: the availability zone of this host.
        """
        now = boot_time()
        if not self.queued or now - self.last_batch_at < (
            _BATCH_INTERVAL_SECONDS
        ):
            return
        self.last_batch_at = now
        entries = [
            (
                queued.is_local,
                RelayedReport(
                    address, queued.held + now - queued.queued_at, queued.report
                ),
            )
            for address, queued in self.queued.items()
        ]
        self.queued = {}
        self._send_batches(
            [entry for _, entry in entries], False, zones.get(own_zone, [])
        )
        self._send_batches(
            [entry for is_local, entry in entries if is_local],
            True,
            [
                addresses[0]
                for zone, addresses in zones.items()
                if zone != own_zone
            ],
        )

    def _send_batches(
        self,
        entries: list[RelayedReport],
        pass_on: bool,
        addresses: list[str],
    ) -> None:
        for part in _parts(entries):
            self.send(Batch(tuple(part), pass_on), addresses)


def _parts(entries: Iterable[RelayedReport]) -> Iterator[list[RelayedReport]]:
    """Divide reports so that each part fits in a datagram."""
    part: list[RelayedReport] = []
    size = 0
    for entry in entries:
        entry_size = _size_of(entry.report)
        is_full = size + entry_size > _MAX_BATCH_BYTES
        if part and (is_full or len(part) == _MAX_BATCH_LENGTH):
            yield part
            part = []
            size = 0
        part.append(entry)
        size += entry_size
    if part:
        yield part


def _size_of(report: Report) -> int:
    """Return about how many bytes a report takes."""
    mappings = (
        report.running,
        report.clients,
        report.work,
        report.waiting,
        report.pass_costs,
    )
    entry_count = len(report.limits) + len(report.silent_groups)
    entry_count += sum(map(len, mappings))
    return _REPORT_BYTES + _ENTRY_BYTES * entry_count
