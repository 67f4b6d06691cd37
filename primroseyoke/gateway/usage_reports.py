"""The parts of the usage reports of one gateway, connected."""

import secrets
from typing import Any

from .membership import LEADERSHIP_TIMEOUT_SECONDS
from .peers import PeerReporter
from .usage import CallLimit, DutyLease, UsageApi, UsageReporter
from .usage_counts import UsageCounter, Windows
from .usage_ledger import UsageLedger
from .usage_sharing import UsageSharing
from .wall_clock import WallClock

__all__ = ('UsageReports',)

_RUN_BYTES = 4


class UsageReports:
    """Counts requests, exchanges the counts and reports them.

    Attributes:
        counter: counts of this process.
        ledger: counts of all processes that were heard.
        sharing: sends counts to the host that reports; its ``run`` is a
            background task.
        reporter: reports windows while this host holds the duty lease.
    """

    def __init__(
        self,
        host: str,
        windows: Windows,
        peers: PeerReporter,
        lease: DutyLease,
        api: UsageApi,
        limit: CallLimit,
    ) -> None:
        """Report as ``host`` while ``lease`` is held."""
        self.counter = UsageCounter(windows, WallClock())
        self.ledger = UsageLedger(
            windows, self.counter, f'{host}/{secrets.token_hex(_RUN_BYTES)}'
        )
        self.sharing = UsageSharing(
            self.counter,
            self.ledger,
            peers,
            lambda: lease.held() is not None,
        )
        self.reporter = UsageReporter(
            host,
            lease,
            api,
            limit,
            self.ledger,
            lambda: peers.reported_within(LEADERSHIP_TIMEOUT_SECONDS),
        )

    def state(self) -> dict[str, Any]:
        """Return the state for operators."""
        return {
            'counted': self.counter.request_counts(),
            'completed': self.counter.completed(),
            'unsettled': len(self.counter.unsettled),
            'receivers': sorted(self.sharing.pending),
            'processes_heard': len(self.ledger.runs),
            'reporter': self.reporter.state(),
        }
