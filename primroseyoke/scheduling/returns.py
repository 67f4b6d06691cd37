"""Share of the slots for requests that were refused and came back."""

import collections

__all__ = ('ReturnShare',)

# Share of the slots that returned requests get before new ones. With returned
# requests always first, all answers are late.
RETURN_SHARE = 0.1
# Slots that are saved for returned requests while none waits.
_MAX_CREDIT = 3.0
# Promised returns that are remembered.
_MAX_PROMISES = 1000


class ReturnShare:
    """Slots of this host that returned requests may take before new ones.

    Attributes:
        credit: number of slots that they may take now.
        promises: when refused callers were told to return, in monotonic
            seconds.
    """

    def __init__(self) -> None:
        """Start without credit, so that a restart favours nobody."""
        self.credit = 0.0
        self.promises: collections.deque[float] = collections.deque(
            maxlen=_MAX_PROMISES
        )

    @property
    def has_credit(self) -> bool:
        """Tell whether a returned request goes before new ones."""
        return self.credit >= 1

    def record_grant(self, preferred: bool) -> None:
        """Record a slot; ``preferred`` if it went to a returned request."""
        self.credit = min(self.credit + RETURN_SHARE, _MAX_CREDIT)
        if preferred:
            self.credit -= 1

    def delay(self, waiting: int, grant_rate: float, now: float) -> float:
        """Return the time until one more return is likely to get a slot.

        Args:
            waiting: returned requests that wait on this host.
            grant_rate: slots that this host gets per second.
            now: monotonic seconds.

        Returns:
            Seconds; a return after that finds those before it served.
        """
        while self.promises and self.promises[0] <= now:
            self.promises.popleft()
        ahead = len(self.promises) + waiting + 1 - self.credit
        return max(ahead, 0) / max(RETURN_SHARE * grant_rate, 0.01)

    def promise(self, returns_at: float) -> None:
        """Record that a caller was told to return at a monotonic time."""
        self.promises.append(returns_at)
