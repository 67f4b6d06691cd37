"""Switches all ranks of a group to another expert placement in the same pass.

A forward pass must never begin while two ranks use different placements. This
has to hold although the response to an order can be lost, an order can be
executed seconds late, and the host that sends the orders can crash or pause
while another host takes over. The protocol is a variant of two-phase commit:

1. Every rank prepares the new version. If this fails, nothing has changed.
2. One pass is held at the first rank, which accepts one hold at a time. The
   hold acts as a mutex: a second host that tries meanwhile gets a conflict.
3. Every rank is armed for the held pass. However long this takes, the pass
   cannot begin, so the ranks never run with different placements.
4. When every rank has confirmed, the pass is released.

If a rank cannot be armed, every rank is disarmed, whichever version it is armed
with, and prepares one more version that contains the placement in use, so that
a delayed order to arm the old version conflicts. Only then is the pass
released. Each order carries the epoch of the group, so a delayed order has no
effect after a rank has restarted.
"""

import asyncio
import enum
import logging
from collections.abc import Sequence

from ..exceptions import ServiceUnavailable
from .engines import (
    Arm,
    Disarm,
    EngineClient,
    Hold,
    Order,
    OrderResult,
    Prepare,
    RankReport,
    Release,
)
from .placement import Placement
from .upstreams import Upstream

__all__ = ('PlacementSwitch', 'SwitchOutcome')

log = logging.getLogger(__name__)

# Time-out of the first attempt of an order. It is short because a pass may be
# held meanwhile and a round trip between zones takes only 3 ms. It doubles with
# each unanswered attempt up to the maximum, since a slow host needs longer.
_FIRST_ORDER_TIMEOUT_SECONDS = 0.04
_MAX_ORDER_TIMEOUT_SECONDS = 0.4
# Attempts to send an order before the change is abandoned.
_ORDER_ATTEMPTS = 6
# Attempts to arm a rank before the change is undone. Arming conflicts while a
# rank is still loading weights, so it takes more attempts than other orders.
# The pass may be held meanwhile.
_ARM_ATTEMPTS = 12
# Attempts to undo a change or release a pass. They end once each rank confirms
# or is gone; there are many because the group is stalled until then.
_UNDO_ATTEMPTS = 30
# Delay before an order that conflicted is sent again.
_CONFLICT_RETRY_SECONDS = 0.04
# The remainder of a version modulo this number identifies the host that chose
# it, so that different hosts never choose the same version.
VERSION_STRIDE = 1024


class SwitchOutcome(enum.Enum):
    """Result of a placement change."""

    SWITCHED = 'switched'
    #: At least one rank did not prepare; nothing has changed.
    NOT_PREPARED = 'not prepared'
    #: No pass could be held; nothing has changed.
    NOT_HELD = 'not held'
    #: A pass may be held now, or later by a delayed order.
    MAYBE_HELD = 'maybe held'
    #: At least one rank could not be armed; every rank was disarmed.
    UNDONE = 'undone'
    #: At least one rank did not confirm the undo; the pass stays held.
    STUCK = 'stuck'


class PlacementSwitch:
    """A single placement change of a rank group.

    Attributes:
        held_step: the pass that may be held, None if there is none.
        unanswered_count: number of order attempts without a response.
    """

    def __init__(
        self,
        engines: EngineClient,
        ranks: Sequence[Upstream],
        epoch: int,
    ) -> None:
        """Send orders to ``ranks``, which are sorted by rank number."""
        self.engines = engines
        self.ranks = ranks
        self.epoch = epoch
        self.held_step: int | None = None
        self.unanswered_count = 0

    async def prepare(self, version: int, placement: Placement) -> bool:
        """Make every rank load the weights; return whether all confirmed."""
        order = Prepare(self.epoch, version, placement)
        return await self._send_to_all(order, _ORDER_ATTEMPTS)

    async def switch(
        self,
        version: int,
        current: Placement,
        step: int,
    ) -> SwitchOutcome:
        """Switch every rank to a prepared version.

        Args:
            version: the version that every rank has prepared.
            current: the placement in use, restored by an undo.
            step: a future pass at which to switch.
        """
        hold_result = await self._send_with_retries(
            self.ranks[0],
            Hold(self.epoch, step),
            _ORDER_ATTEMPTS,
        )
        if hold_result is OrderResult.UNKNOWN:
            # The pass may be held now or later. No rank is armed, so it is
            # safe to release it.
            self.held_step = step
            await self.release(step)
            return SwitchOutcome.MAYBE_HELD
        if hold_result is not OrderResult.ACCEPTED:
            return SwitchOutcome.NOT_HELD
        self.held_step = step
        return await self._arm_and_release(version, current, step)

    async def finish(self, version: int, step: int) -> bool:
        """Arm every rank for a held pass, then release it."""
        self.held_step = step
        if not await self._send_to_all(
            Arm(self.epoch, version, step),
            _ARM_ATTEMPTS,
        ):
            return False
        await self.release(step)
        return True

    async def undo(self, version: int, current: Placement) -> bool:
        """Disarm every rank and invalidate delayed orders to arm.

        Returns:
            Whether every rank has confirmed, so that the pass may be released.
        """
        log.warning(
            'undoing expert placement change: disarming all ranks',
            extra={'version': version, 'epoch': self.epoch},
        )
        undone = await asyncio.gather(
            *(self._undo_rank(rank, version, current) for rank in self.ranks),
        )
        return all(undone)

    async def release(self, step: int) -> None:
        """Allow the held pass to begin."""
        result = await self._send_with_retries(
            self.ranks[0],
            Release(self.epoch, step),
            _UNDO_ATTEMPTS,
        )
        if result is not OrderResult.UNKNOWN:
            self.held_step = None

    async def _arm_and_release(
        self,
        version: int,
        current: Placement,
        step: int,
    ) -> SwitchOutcome:
        outcome = SwitchOutcome.SWITCHED
        order = Arm(self.epoch, version, step)
        if not await self._send_to_all(order, _ARM_ATTEMPTS):
            if not await self.undo(version, current):
                return SwitchOutcome.STUCK
            outcome = SwitchOutcome.UNDONE
        await self.release(step)
        return outcome

    async def _undo_rank(
        self,
        rank: Upstream,
        version: int,
        current: Placement,
    ) -> bool:
        """Disarm a rank; return whether it is certain that it cannot switch.

        It is certain once the rank has prepared a newer version, which it
        refuses while it is armed. It may be armed with a version other than
        ``version``, after an undo that ended early or an order that was
        executed late, so it is asked after each conflict.
        """
        armed_version = version
        newest_version = version
        for _ in range(_UNDO_ATTEMPTS):
            newest_version += VERSION_STRIDE
            orders = (
                Disarm(self.epoch, armed_version),
                Prepare(self.epoch, newest_version, current),
            )
            for order in orders:
                result = await self._send_with_retries(
                    rank, order, _ORDER_ATTEMPTS
                )
                if result is OrderResult.REFUSED:
                    return True
            if result is OrderResult.ACCEPTED:
                return True
            await asyncio.sleep(_CONFLICT_RETRY_SECONDS)
            report = await self._report(rank)
            if report is not None:
                armed_version = report.armed_version or armed_version
                newest_version = max(newest_version, report.highest_version)
        log.warning(
            'rank did not confirm the undo; the pass stays held',
            extra={
                'upstream': rank.name,
                'armed_version': armed_version,
                'newest_version': newest_version,
                'last_result': result.value,
            },
        )
        return False

    async def _report(self, rank: Upstream) -> RankReport | None:
        try:
            return await self.engines.report(rank)
        except ServiceUnavailable as error:
            log.info(
                'rank did not report which version it is armed with',
                extra={'upstream': rank.name, 'reason': str(error)},
            )
            return None

    async def _send_to_all(self, order: Order, attempts: int) -> bool:
        results = await asyncio.gather(
            *(
                self._send_with_retries(rank, order, attempts)
                for rank in self.ranks
            ),
        )
        return all(result is OrderResult.ACCEPTED for result in results)

    async def _send_with_retries(
        self,
        rank: Upstream,
        order: Order,
        attempts: int,
    ) -> OrderResult:
        """Send an order until it is accepted or refused.

        A conflict ends the attempts, except for orders to arm. Retries are
        safe because orders are idempotent: they are sent unchanged, and a rank
        that is in the requested state already, because it executed an order
        whose response was lost, accepts them.
        """
        result = OrderResult.UNKNOWN
        timeout = _FIRST_ORDER_TIMEOUT_SECONDS
        for _ in range(attempts):
            if result is OrderResult.CONFLICT:
                await asyncio.sleep(_CONFLICT_RETRY_SECONDS)
            result = await self.engines.order(rank, order, timeout)
            if result is OrderResult.UNKNOWN:
                self.unanswered_count += 1
                timeout = min(timeout * 2, _MAX_ORDER_TIMEOUT_SECONDS)
            if result in {OrderResult.ACCEPTED, OrderResult.REFUSED}:
                return result
            retries_conflicts = isinstance(order, Arm)
            if result is OrderResult.CONFLICT and not retries_conflicts:
                return result
        return result
