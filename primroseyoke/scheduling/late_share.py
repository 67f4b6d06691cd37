"""Share of the slots that late requests may hold at the same time."""

import collections
import math

__all__ = ('LateShare',)

# After an outage, callers that were refused return together. A slot is held for
# seconds, so requests that can be on time would find none while late ones hold
# all that were free.
_MAX_SHARE = 0.4


class LateShare:
    """Late requests in progress of this host, by service.

    Each host keeps to an even part of the share, so none has to be asked.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self.counts: collections.Counter[str] = collections.Counter()

    def allows(self, service: str, slots: int, host_count: int) -> bool:
        """Tell whether one more late request may start.

        Args:
            service: name of the service.
            slots: number of its slots, over all upstreams.
            host_count: number of hosts that share them, this one included.
        """
        limit = math.ceil(_MAX_SHARE * slots / max(host_count, 1))
        return self.counts[service] < limit

    def record_start(self, service: str) -> None:
        """Record the start of a late request."""
        self.counts[service] += 1

    def record_end(self, service: str) -> None:
        """Record the end of a late request."""
        self.counts[service] -= 1
