"""Undoes a placement change of a rank group, one rank at a time.

A rank is certain not to switch once it has prepared a newer version, which it
refuses while it is armed, or once it has ended or its group has another epoch.
A rank that is merely unreachable may run, and may be armed. Another host may end
the undo meanwhile, and begin the next change.
"""

import asyncio
import logging
from collections.abc import Sequence

from ..exceptions import ServiceUnavailable
from .engines import (
    Disarm,
    EngineClient,
    Order,
    OrderResult,
    Prepare,
    RankReport,
)
from .order_sending import RETRY_SECONDS, OrderSender
from .placement import Placement
from .upstreams import Upstream

__all__ = ('UNDO_ATTEMPTS', 'VERSION_STRIDE', 'RankUndo')

log = logging.getLogger(__name__)

# Attempts to undo a change or release a pass. They end once each rank confirms
# or is gone; there are many because the group is stalled until then.
UNDO_ATTEMPTS = 30
# The remainder of a version modulo this number identifies the host that chose
# it, so that different hosts never choose the same version.
VERSION_STRIDE = 1024


class RankUndo:
    """Disarms one rank of a group and makes it refuse delayed orders to arm.

    Attributes:
        armed_version: the version that the rank may be armed with.
        newest_version: the highest version that the rank may have had.
    """

    def __init__(
        self,
        sender: OrderSender,
        ranks: Sequence[Upstream],
        rank: Upstream,
        epoch: int,
        version: int,
        step: int | None,
    ) -> None:
        """Undo a change of ``rank`` in the given epoch.

        Args:
            sender: sends the orders.
            ranks: all ranks of the group.
            rank: the rank to disarm.
            epoch: epoch of the group.
            version: the highest version that any rank of the group has had.
            step: the held pass, None if there is none.
        """
        self.sender = sender
        self.engines: EngineClient = sender.engines
        self.ranks = ranks
        self.rank = rank
        self.epoch = epoch
        self.version = version
        self.step = step
        self.armed_version = version
        self.newest_version = version

    async def run(self, current: Placement) -> bool:
        """Make the rank prepare ``current``, the placement in use, anew.

        Returns:
            Whether it is certain that the rank cannot switch.
        """
        result = OrderResult.UNKNOWN
        for attempt in range(UNDO_ATTEMPTS):
            result = await self._disarm(current)
            if result in {OrderResult.ACCEPTED, OrderResult.GONE}:
                return True
            await asyncio.sleep(RETRY_SECONDS)
            if await self._has_ended(attempt):
                return True
        log.warning(
            'rank did not confirm the undo; the pass stays held',
            extra={
                'upstream': self.rank.name,
                'armed_version': self.armed_version,
                'newest_version': self.newest_version,
                'last_result': result.value,
            },
        )
        return False

    async def _disarm(self, current: Placement) -> OrderResult:
        """Return the result of the order to prepare a newer version."""
        self.newest_version += VERSION_STRIDE
        orders: tuple[Order, ...] = (
            Disarm(self.epoch, self.armed_version),
            Prepare(self.epoch, self.newest_version, current),
        )
        result = OrderResult.UNKNOWN
        for order in orders:
            result = await self.sender.send(self.rank, order)
            if result is OrderResult.GONE:
                break
        return result

    async def _has_ended(self, attempt: int) -> bool:
        """Ask the rank for its state; tell whether the change is over.

        The rank may be armed with a version other than the one that was
        disarmed, after an undo that ended early or an order that was executed
        late. A version that is later than all of them belongs to the next
        change: another host has ended this one.
        """
        report = await self._report(self.rank)
        if report is None:
            # Any other rank can tell the epoch.
            report = await self._report(self.ranks[attempt % len(self.ranks)])
        else:
            if report.armed_version and report.armed_version <= self.version:
                self.armed_version = report.armed_version
            self.newest_version = max(
                self.newest_version, report.highest_version
            )
        return report is not None and (
            report.epoch != self.epoch or self._has_begun(report)
        )

    def _has_begun(self, report: RankReport) -> bool:
        """Tell whether another host has let the held pass begin."""
        return self.step is not None and report.step >= self.step

    async def _report(self, rank: Upstream) -> RankReport | None:
        try:
            return await self.engines.report(rank)
        except ServiceUnavailable as error:
            log.info(
                'rank did not report its state during an undo',
                extra={'upstream': rank.name, 'reason': str(error)},
            )
            return None
