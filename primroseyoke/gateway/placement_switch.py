"""Switches all ranks of a group to another expert map in the same pass.

A pass must never begin while two ranks have different maps, whatever becomes of
an order: its answer can be lost, it can be carried out seconds later, the host
that gives the orders can die or pause, and another can take over meanwhile.

1. Every rank prepares the new version. Nothing has changed if this fails.
2. One pass is held at the first rank, which takes one hold at a time. A second
   host that tries meanwhile gets a conflict, so holds exclude each other.
3. Every rank is armed for the held pass. The pass cannot begin, however long
   that takes, so the ranks cannot differ.
4. Once every rank has confirmed, the pass is released.

If a rank cannot be armed, all are disarmed and prepare one more version with
the map in use: a delayed order to arm the old version then conflicts. Only
after that is the pass released. Orders name the epoch of the group, so none
outlives a restart of a rank.
"""

import asyncio
import enum
import logging
from collections.abc import Sequence

from .engines import (
    Arm,
    Disarm,
    EngineClient,
    Hold,
    Order,
    OrderResult,
    Prepare,
    Release,
)
from .placement import Placement
from .upstreams import Upstream

__all__ = ('PlacementSwitch', 'SwitchOutcome')

log = logging.getLogger(__name__)

# How long the first try of an order may take, in seconds: a round trip between
# zones takes 3 ms, and a pass may be held meanwhile. It doubles with each try
# up to the limit, since a slow host needs longer.
_FIRST_ORDER_TIMEOUT_SECONDS = 0.04
_MAX_ORDER_TIMEOUT_SECONDS = 0.4
# How often an order is repeated before a change is given up.
_ORDER_ATTEMPTS = 6
# Ranks are armed this often before the change is undone; in between they may
# still be loading weights. The pass may be held meanwhile.
_ARM_ATTEMPTS = 12
# Undoing goes on until each rank confirms or is gone: the group stands still.
_UNDO_ATTEMPTS = 30
_CONFLICT_RETRY_SECONDS = 0.04
# Versions of different hosts must differ: their lower part names the host.
VERSION_STRIDE = 1024


class SwitchOutcome(enum.Enum):
    """How far a change came."""

    SWITCHED = 'switched'
    #: Some rank did not prepare; nothing has changed.
    NOT_PREPARED = 'not prepared'
    #: No pass was held; nothing has changed.
    NOT_HELD = 'not held'
    #: It is not known whether a pass is held, now or soon.
    MAYBE_HELD = 'maybe held'
    #: Some rank was not armed; the others were disarmed.
    UNDONE = 'undone'
    #: Some rank did not confirm that it is disarmed: the pass stays held.
    STUCK = 'stuck'


class PlacementSwitch:
    """One change of the map of one group.

    Attributes:
        held: the pass that may be held, None if none can be.
        lost: number of orders that were not answered.
    """

    def __init__(
        self,
        engines: EngineClient,
        ranks: Sequence[Upstream],
        epoch: int,
    ) -> None:
        """Give orders to ``ranks``, in the order of their ranks."""
        self.engines = engines
        self.ranks = ranks
        self.epoch = epoch
        self.held_step: int | None = None
        self.unanswered_count = 0

    async def prepare(self, version: int, placement: Placement) -> bool:
        """Make every rank load the weights; tell whether all confirmed."""
        order = Prepare(self.epoch, version, placement)
        return await self._send_to_all(order, _ORDER_ATTEMPTS)

    async def switch(
        self,
        version: int,
        current: Placement,
        step: int,
    ) -> SwitchOutcome:
        """Switch to a prepared version.

        Args:
            version: the version that every rank has prepared.
            current: the placement in use, to undo with.
            step: a pass that has not begun, to switch at.
        """
        hold_result = await self._send_with_retries(
            self.ranks[0],
            Hold(self.epoch, step),
            _ORDER_ATTEMPTS,
        )
        if hold_result is OrderResult.UNKNOWN:
            # It may be held now, or soon: no rank is armed, so let it begin.
            self.held_step = step
            await self.release(step)
            return SwitchOutcome.MAYBE_HELD
        if hold_result is not OrderResult.ACCEPTED:
            return SwitchOutcome.NOT_HELD
        self.held_step = step
        return await self._arm_and_release(version, current, step)

    async def finish(self, version: int, step: int) -> bool:
        """Arm the remaining ranks for a pass that is held, and release it."""
        self.held_step = step
        if not await self._send_to_all(
            Arm(self.epoch, version, step),
            _ARM_ATTEMPTS,
        ):
            return False
        await self.release(step)
        return True

    async def undo(self, version: int, current: Placement) -> bool:
        """Disarm every rank, and make delayed orders to arm conflict.

        Returns:
            Whether every rank has confirmed, so that the pass may begin.
        """
        log.warning(
            'map change undone',
            extra={'version': version, 'epoch': self.epoch},
        )
        undone = await asyncio.gather(
            *(self._undo_rank(rank, version, current) for rank in self.ranks),
        )
        return all(undone)

    async def release(self, step: int) -> None:
        """Let the held pass begin."""
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
        newer_version = version
        for _ in range(_UNDO_ATTEMPTS):
            disarm = Disarm(self.epoch, version)
            result = await self._send_with_retries(
                rank,
                disarm,
                _ORDER_ATTEMPTS,
            )
            if result is OrderResult.REFUSED:
                return True
            newer_version += VERSION_STRIDE
            prepare = Prepare(self.epoch, newer_version, current)
            result = await self._send_with_retries(
                rank,
                prepare,
                _ORDER_ATTEMPTS,
            )
            if result in {OrderResult.ACCEPTED, OrderResult.REFUSED}:
                return True
        return False

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
        """Repeat an order until it is accepted or can't be.

        A conflict after an answer was lost may mean that the lost order was
        carried out; orders are repeated unchanged, and a rank that is in the
        state asked for accepts them.
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
