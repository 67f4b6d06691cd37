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

A host that armed every rank, was suspended, and resumes releases the pass at
the first rank. Before an undo disarms any rank, it therefore holds the pass at
another rank too. Whoever finds the pass held at such a rank may only undo.
"""

import asyncio
import enum
import logging
from collections.abc import Sequence

from .engines import Arm, EngineClient, Hold, OrderResult, Prepare, Release
from .late_orders import LateOrders
from .order_sending import OrderSender
from .placement import Placement
from .placement_undo import UNDO_ATTEMPTS, RankUndo
from .upstreams import Upstream

__all__ = ('PlacementSwitch', 'SwitchOutcome')

log = logging.getLogger(__name__)

# Attempts to arm a rank before the change is undone. Arming conflicts while a
# rank is still loading weights, so it takes more attempts than other orders.
# The pass may be held meanwhile.
_ARM_ATTEMPTS = 12
_UNCONFIRMED_RESULTS = frozenset(
    (OrderResult.UNKNOWN, OrderResult.UNREACHABLE),
)


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
        holders: the ranks at which it may be held; ``release`` applies to them.
        sender: sends the orders.
    """

    def __init__(
        self,
        engines: EngineClient,
        ranks: Sequence[Upstream],
        epoch: int,
        late_orders: LateOrders | None = None,
    ) -> None:
        """Send orders to ``ranks``, which are sorted by rank number."""
        self.sender = OrderSender(engines, late_orders)
        self.ranks = ranks
        self.epoch = epoch
        self.held_step: int | None = None
        self.holders = [ranks[0]]

    async def prepare(self, version: int, placement: Placement) -> bool:
        """Make every rank load the weights; return whether all confirmed."""
        order = Prepare(self.epoch, version, placement)
        return await self.sender.send_to_all(self.ranks, order)

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
        hold_result = await self.sender.send(
            self.ranks[0],
            Hold(self.epoch, step),
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
        if not await self.sender.send_to_all(
            self.ranks,
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
        if self.held_step is not None and not await self._hold_for_undo(
            self.held_step
        ):
            log.warning(
                'no other rank holds the pass; no rank is disarmed',
                extra={'version': version, 'epoch': self.epoch},
            )
            return False
        log.warning(
            'undoing expert placement change: disarming all ranks',
            extra={'version': version, 'epoch': self.epoch},
        )
        undone = await asyncio.gather(
            *(
                RankUndo(
                    self.sender,
                    self.ranks,
                    rank,
                    self.epoch,
                    version,
                    self.held_step,
                ).run(current)
                for rank in self.ranks
            ),
        )
        return all(undone)

    async def release(self, step: int) -> None:
        """Allow the held pass to begin."""
        order = Release(self.epoch, step)
        results = await asyncio.gather(
            *(
                self.sender.send(rank, order, UNDO_ATTEMPTS)
                for rank in self.holders
            ),
        )
        if _UNCONFIRMED_RESULTS.isdisjoint(results):
            self.held_step = None

    async def _hold_for_undo(self, step: int) -> bool:
        """Hold the pass at a rank other than the first, if there is one.

        Returns:
            Whether the pass cannot begin before ``release``. If not, it may
            have begun, or no other rank responds.
        """
        for rank in self.ranks[1:]:
            if rank not in self.holders:
                self.holders.append(rank)
            result = await self.sender.send(rank, Hold(self.epoch, step))
            if result is OrderResult.ACCEPTED:
                return True
        return len(self.ranks) == 1

    async def _arm_and_release(
        self,
        version: int,
        current: Placement,
        step: int,
    ) -> SwitchOutcome:
        outcome = SwitchOutcome.SWITCHED
        order = Arm(self.epoch, version, step)
        if not await self.sender.send_to_all(self.ranks, order, _ARM_ATTEMPTS):
            if not await self.undo(version, current):
                return SwitchOutcome.STUCK
            outcome = SwitchOutcome.UNDONE
        await self.release(step)
        return outcome
