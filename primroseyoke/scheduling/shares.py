"""Fair shares of client accounts in the slots of all hosts.

Each host counts what its heaviest accounts request and tells the others. An
account is above its share if it requests much more than it usually does, and
much more than the mean of the active accounts.
"""

import collections
import dataclasses
import heapq
import math
from collections.abc import Mapping

__all__ = ('ClientShares',)

# Accounts that are tracked on a host.
_MAX_CLIENT_COUNT = 64
# Accounts that a report names; with 24 accounts, these have most of the work.
_MAX_REPORTED_COUNT = 12
# Reports are kept of at most this many hosts.
_MAX_HOST_COUNT = 512
# A report expires after this time, in which a host sends eight heartbeats.
_REPORT_LIFETIME_SECONDS = 3.0
# Time constant of the current work. It evens out what arrives within the time
# that a request waits, and follows an account that becomes light in seconds.
_CURRENT_SECONDS = 5.0
# Time constant of the usual work, which is long so that a burst of minutes does
# not raise the share.
_USUAL_SECONDS = 600.0
# Work above this multiple of the usual work is above the share. The work of an
# account in 5 s varies by a third at 2 requests per second.
_MAX_GROWTH = 2.0
# An account is within its share up to this multiple of the mean.
_MIN_SHARE_MULTIPLE = 1.5
# Until this host has counted for this long, it does not know what is usual. Under
# contention it takes at most this multiple of the mean for usual: a few accounts
# are large, and one may be heavy just then. The largest of 24 accounts can have a
# third of all requests, which is eight times the mean.
_LEARNING_SECONDS = 60.0
_MAX_LEARNED_MULTIPLE = 6.0
# An account with less work, current and usual, is no longer tracked.
_MIN_WORK = 0.01
# Interval at which the usual work is updated.
_UPDATE_SECONDS = 1.0
# Contention lasts this long after the last request has waited. A shorter time
# lets accounts above their share take all slots again between two such requests.
_CONTENTION_SECONDS = 10.0
# Contention that another host has told lasts until several heartbeats are lost.
_TOLD_CONTENTION_SECONDS = 1.5
# Refused requests that are remembered until they may be sent again.
_MAX_REFUSAL_COUNT = 1024
# Cost of a request that is sent again too early, relative to others.
_EARLY_COST_FACTOR = 2.0
# Reports count in tenths of the cost of a request.
_REPORT_UNITS = 10
# Key of a report under which the work of all accounts of its sender is told.
_TOTAL = ''
# Start of the keys that name the services for whose slots requests wait at the
# sender, and how many of them a report names.
_CONTENDED_PREFIX = '\0'
# Start of the keys that name the accounts above their share, as the sender knows.
_ABOVE_PREFIX = '\1'
_MAX_SERVICE_COUNT = 8


@dataclasses.dataclass(slots=True)
class _DecayingSum:
    """Sum whose parts lose weight with age; in costs and seconds."""

    amount: float = 0
    updated_at: float = 0

    def at(self, now: float) -> float:
        """Return the sum at a time."""
        age = max(now - self.updated_at, 0)
        return self.amount * math.exp(-age / _CURRENT_SECONDS)

    def add(self, cost: float, now: float) -> None:
        """Add ``cost`` at a time."""
        self.amount = self.at(now) + cost
        self.updated_at = max(now, self.updated_at)


@dataclasses.dataclass(slots=True)
class _Usage:
    """Work of one account: current on this host, usual over all hosts."""

    seen_at: float
    current: _DecayingSum
    usual: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _HostReport:
    """Work at another host by account, and when it was told."""

    work: Mapping[str, int]
    received_at: float


class ClientShares:
    """Work of the heaviest accounts, and whether it is above their share.

    All times are monotonic seconds, costs in requests of mean size.

    Attributes:
        usages: the accounts that are tracked on this host.
        reports: the last report of each other host.
        reported: work at other hosts, by account, in units of reports.
        refused: when refused requests may be sent again, by account and id.
        contended_until: end of the contention on this host, by service.
        told_until: end of the contention that other hosts told, by service.
    """

    def __init__(self) -> None:
        """Start without accounts."""
        self.usages: dict[str, _Usage] = {}
        self.total = _DecayingSum()
        self.reports: dict[str, _HostReport] = {}
        self.reported: collections.Counter[str] = collections.Counter()
        self.refused: dict[tuple[str, str], float] = {}
        self.started_at = math.inf
        self.updated_at = -math.inf
        self.contended_until: dict[str, float] = {}
        self.told_until: dict[str, float] = {}
        self.told_above_until: dict[str, float] = {}

    def record(self, client: str, cost: float, now: float) -> None:
        """Record a request of an account when it arrives."""
        self.started_at = min(self.started_at, now)
        usage = self.usages.get(client)
        if usage is None:
            self._make_room(now)
            usage = _Usage(now, _DecayingSum(0, now))
            self.usages[client] = usage
        usage.current.add(cost, now)
        self.total.add(cost, now)
        if now - self.updated_at >= _UPDATE_SECONDS:
            self._update(now)

    def record_attempt(
        self, client: str, request_id: str, cost: float, now: float
    ) -> None:
        """Record a request that may have been refused before.

        It counts more if its caller did not wait as long as it was told to.
        """
        if now < self.refused.pop((client, request_id), -math.inf):
            cost *= _EARLY_COST_FACTOR
        self.record(client, cost, now)

    def record_refusal(
        self, client: str, request_id: str, retry_at: float
    ) -> None:
        """Record that a request may be sent again from ``retry_at`` on."""
        self.refused.pop((client, request_id), None)
        self.refused[client, request_id] = retry_at
        if len(self.refused) > _MAX_REFUSAL_COUNT:
            self.refused.pop(next(iter(self.refused)))

    def record_wait(self, client: str, service: str, now: float) -> None:
        """Record that a request waits; ``client`` is '' without an account.

        Contention begins with a wait of a request within its share, and lasts
        while any requests wait.
        """
        if self.is_contended(service, now) or not self.is_above_share(
            client, now
        ):
            self.contended_until[service] = now + _CONTENTION_SECONDS

    def is_contended(self, service: str, now: float) -> bool:
        """Tell whether requests for a service waited lately, at any host."""
        return now < max(
            self.contended_until.get(service, -math.inf),
            self.told_until.get(service, -math.inf),
        )

    def is_above_share(self, client: str, now: float) -> bool:
        """Tell whether an account requests more than its share.

        Shares matter only while the service is contended.
        """
        is_told = now < self.told_above_until.get(client, -math.inf)
        if is_told and self._is_learning(now):
            # Other hosts know what is usual.
            return True
        usage = self.usages.get(client)
        return usage is not None and self._work(client, now) > self._share(
            usage, now
        )

    def top_clients(self, now: float) -> dict[str, int]:
        """Return the heaviest accounts of this host, for its report."""
        amounts = {
            client: round(usage.current.at(now) * _REPORT_UNITS)
            for client, usage in self.usages.items()
        }
        heaviest = heapq.nlargest(
            _MAX_REPORTED_COUNT, amounts.items(), key=_amount
        )
        top = {client: amount for client, amount in heaviest if amount}
        contended = [
            f'{_CONTENDED_PREFIX}{service}'
            for service, until in self.contended_until.items()
            if now < until
        ]
        total = round(self.total.at(now) * _REPORT_UNITS)
        if not total and not contended:
            return {}
        above = [] if self._is_learning(now) else self.above_share(now)
        told = [
            *contended[:_MAX_SERVICE_COUNT],
            *(f'{_ABOVE_PREFIX}{client}' for client in above),
        ]
        return {
            **top,
            **dict.fromkeys(told[: 2 * _MAX_SERVICE_COUNT], 1),
            _TOTAL: total,
        }

    def apply_report(
        self, host: str, top_clients: Mapping[str, int], now: float
    ) -> None:
        """Replace the report of another host."""
        self.drop_report(host)
        if len(self.reports) >= _MAX_HOST_COUNT:
            return
        kept: dict[str, int] = {}
        for client, amount in top_clients.items():
            if client.startswith(_CONTENDED_PREFIX):
                service = client.removeprefix(_CONTENDED_PREFIX)
                self.told_until[service] = now + _TOLD_CONTENTION_SECONDS
            elif client.startswith(_ABOVE_PREFIX):
                name = client.removeprefix(_ABOVE_PREFIX)
                self.told_above_until[name] = now + _REPORT_LIFETIME_SECONDS
            elif len(kept) <= _MAX_REPORTED_COUNT:
                kept[client] = amount
                self.reported[client] += amount
        self.reports[host] = _HostReport(kept, now)

    def drop_report(self, host: str) -> None:
        """Discard the report of a host, if there is one."""
        report = self.reports.pop(host, None)
        if report is None:
            return
        for client, amount in report.work.items():
            self.reported[client] -= amount
            if not self.reported[client]:
                self.reported.pop(client)

    def above_share(self, now: float) -> list[str]:
        """Return the tracked accounts that are above their share."""
        return [
            client for client in self.usages if self.is_above_share(client, now)
        ]

    @property
    def _has_contention(self) -> bool:
        """Tell whether requests for any service waited lately."""
        return bool(self.contended_until or self.told_until)

    def _work(self, client: str, now: float) -> float:
        """Return the current work of an account over all hosts."""
        own = self.usages[client].current.at(now)
        return own + self.reported[client] / _REPORT_UNITS

    def _share(self, usage: _Usage, now: float) -> float:
        """Return the work that an account may have over all hosts."""
        mean = self._mean_work(now)
        if self._is_learning(now):
            return mean * _MAX_LEARNED_MULTIPLE * _MAX_GROWTH
        return max(usage.usual * _MAX_GROWTH, mean * _MIN_SHARE_MULTIPLE)

    def _mean_work(self, now: float) -> float:
        """Return the mean work of the active accounts over all hosts.

        With more accounts than are tracked, it is higher than the true mean.
        """
        total = self.total.at(now) + self.reported[_TOTAL] / _REPORT_UNITS
        client_count = max(len(self.usages), len(self.reported) - 1, 1)
        return total / min(client_count, _MAX_CLIENT_COUNT)

    def _is_learning(self, now: float) -> bool:
        return now - self.started_at < _LEARNING_SECONDS

    def _update(self, now: float) -> None:
        """Update the usual work, and discard expired reports."""
        for host, report in tuple(self.reports.items()):
            if now - report.received_at >= _REPORT_LIFETIME_SECONDS:
                self.drop_report(host)
        self.contended_until = _later(self.contended_until, now)
        self.told_until = _later(self.told_until, now)
        self.told_above_until = _later(self.told_above_until, now)
        elapsed = now - max(self.updated_at, self.started_at)
        for client, usage in tuple(self.usages.items()):
            work = min(
                self._work(client, now), self._countable_work(usage, now)
            )
            time_constant = self._time_constant(usage, now)
            weight = 1 - math.exp(-elapsed / time_constant)
            usage.usual += weight * (work - usage.usual)
            if usage.usual + usage.current.at(now) < _MIN_WORK:
                self.usages.pop(client)
        self.updated_at = now

    def _time_constant(self, usage: _Usage, now: float) -> float:
        """Return the time constant of the usual work, in seconds.

        While it is being learned, all values since the first request have the
        same weight. Under contention, it is not learned from a new account,
        whose first burst would become its share.
        """
        age = now - usage.seen_at
        is_new = age < _LEARNING_SECONDS and not self._has_contention
        if self._is_learning(now) or is_new:
            return max(age, _UPDATE_SECONDS)
        return _USUAL_SECONDS

    def _countable_work(self, usage: _Usage, now: float) -> float:
        """Return the work of an account that may count as usual.

        Under contention, work above the share does not, so that the share of an
        account that stays heavy grows slowly.
        """
        if not self._has_contention:
            return math.inf
        if self._is_learning(now):
            return self._mean_work(now) * _MAX_LEARNED_MULTIPLE
        return self._share(usage, now)

    def _make_room(self, now: float) -> None:
        """Discard the lightest account if as many as possible are tracked."""
        if len(self.usages) < _MAX_CLIENT_COUNT:
            return
        lightest = min(
            self.usages,
            key=lambda client: (
                self.usages[client].current.at(now) + self.usages[client].usual
            ),
        )
        self.usages.pop(lightest)


def _later(times: Mapping[str, float], now: float) -> dict[str, float]:
    """Return those of some times that are in the future."""
    return {key: at for key, at in times.items() if now < at}


def _amount(item: tuple[str, int]) -> int:
    return item[1]
