"""Sends placement orders to ranks, repeatedly until their outcome is known."""

import asyncio
from collections.abc import Iterable

from .engines import Arm, EngineClient, Order, OrderResult
from .late_orders import LateOrders
from .upstreams import Upstream

__all__ = ('RETRY_SECONDS', 'OrderSender')

# Time-out of the first attempt of an order. It is short because a pass may be
# held meanwhile and a round trip between zones takes only 3 ms. It doubles with
# each unanswered attempt up to the maximum, since a slow host needs longer.
_FIRST_ORDER_TIMEOUT_SECONDS = 0.04
_MAX_ORDER_TIMEOUT_SECONDS = 0.4
# Attempts to send an order before it is given up.
_ORDER_ATTEMPTS = 6
# Delay before an order that conflicted or could not be sent is sent again.
RETRY_SECONDS = 0.04


class OrderSender:
    """Sends orders to the ranks of a group.

    Attributes:
        unanswered_count: number of order attempts without a response.
    """

    def __init__(
        self,
        engines: EngineClient,
        late_orders: LateOrders | None = None,
    ) -> None:
        """Send orders through ``engines``.

        ``late_orders`` records those that get no response.
        """
        self.engines = engines
        self.late_orders = late_orders or LateOrders()
        self.unanswered_count = 0

    async def send(
        self,
        rank: Upstream,
        order: Order,
        attempts: int = _ORDER_ATTEMPTS,
    ) -> OrderResult:
        """Send an order until it is accepted or the rank is found to be gone.

        A conflict ends the attempts, except for orders to arm. Retries are
        safe because orders are idempotent: they are sent unchanged, and a rank
        that is in the requested state already, because it executed an order
        whose response was lost, accepts them.
        """
        result = OrderResult.UNKNOWN
        timeout = _FIRST_ORDER_TIMEOUT_SECONDS
        is_unanswered = False
        for _ in range(attempts):
            if result in {OrderResult.CONFLICT, OrderResult.UNREACHABLE}:
                await asyncio.sleep(RETRY_SECONDS)
            result = await self.engines.order(rank, order, timeout)
            if result is OrderResult.UNKNOWN:
                is_unanswered = True
                self.unanswered_count += 1
                self.late_orders.record(rank, order)
                timeout = min(timeout * 2, _MAX_ORDER_TIMEOUT_SECONDS)
            elif _is_final(order, result):
                return result
        if is_unanswered and result is OrderResult.UNREACHABLE:
            # An earlier attempt may still be executed.
            return OrderResult.UNKNOWN
        return result

    async def send_to_all(
        self,
        ranks: Iterable[Upstream],
        order: Order,
        attempts: int = _ORDER_ATTEMPTS,
    ) -> bool:
        """Send an order to some ranks; return whether all accepted it."""
        results = await asyncio.gather(
            *(self.send(rank, order, attempts) for rank in ranks),
        )
        return all(result is OrderResult.ACCEPTED for result in results)


def _is_final(order: Order, result: OrderResult) -> bool:
    if result is OrderResult.CONFLICT:
        return not isinstance(order, Arm)
    return result in {OrderResult.ACCEPTED, OrderResult.GONE}
