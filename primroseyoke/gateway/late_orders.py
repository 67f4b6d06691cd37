"""Remembers the ranks that may still execute an order late.

An order that got no response can be executed seconds after the change that it
belongs to has ended, and then hold a pass of a group that is idle.
"""

import logging
import math
import time

from .engines import Order
from .upstreams import Upstream

__all__ = ('LateOrders',)

log = logging.getLogger(__name__)

# An order is executed up to 12 s after it was sent, and the reports of a rank
# show it a few hundred ms later.
_MAX_LATENESS_SECONDS = 15.0


class LateOrders:
    """Orders without a response; times in monotonic seconds.

    Attributes:
        unanswered_at: when an order last got no response, by upstream. It is
            kept while the entry of the upstream is missing.
        assumed_at: until when other hosts may have sent orders of which this
            host does not know.
    """

    def __init__(self) -> None:
        """Start without orders."""
        self.unanswered_at: dict[str, float] = {}
        self.assumed_at = -math.inf

    def record(self, upstream: Upstream, order: Order) -> None:
        """Record that an order got no response."""
        now = time.monotonic()
        for name, sent_at in tuple(self.unanswered_at.items()):
            if now - sent_at >= _MAX_LATENESS_SECONDS:
                self.unanswered_at.pop(name)
        self.unanswered_at[upstream.name] = now
        log.info(
            'order got no response; it may be executed late',
            extra={
                'upstream': upstream.name,
                'order': type(order).__name__.lower(),
                'epoch': order.epoch,
            },
        )

    def assume(self) -> None:
        """Assume that other hosts have sent orders until now."""
        self.assumed_at = time.monotonic()

    def may_execute(self, upstream: Upstream) -> bool:
        """Tell whether an upstream may still execute an order late."""
        sent_at = self.unanswered_at.get(upstream.name, -math.inf)
        latest = max(sent_at, self.assumed_at)
        return time.monotonic() - latest < _MAX_LATENESS_SECONDS
