"""Detects priorities that get far less than their share of the slots."""

import collections
import dataclasses

__all__ = ('GrantHistory',)

_WINDOW_SECONDS = 10
# Least share that a priority gets, as a part of the share of all requests.
_LEAST_SHARE = 0.3
# With fewer decisions in the window, a low share may be chance: one refusal
# alone would make a priority the most urgent.
_MIN_DECISIONS = 5


@dataclasses.dataclass(slots=True)
class _Tally:
    """Decided requests, and those of them that got a slot."""

    decided: int = 0
    granted: int = 0


class GrantHistory:
    """Grants and refusals by priority over the last 10 s on this host.

    Each host sees a random part of the requests, so the shares on one host are
    those of all hosts, apart from chance.
    """

    def __init__(self) -> None:
        """Start without decisions."""
        self.decisions: collections.deque[tuple[int, int, bool]] = (
            collections.deque()
        )
        self.tallies: dict[int, _Tally] = {}
        self.total = _Tally()

    def record(self, priority: int, granted: bool, now: float) -> None:
        """Record that a request got a slot, or was refused.

        Args:
            priority: its configured priority.
            granted: whether it got a slot.
            now: monotonic seconds.
        """
        self.decisions.append((int(now), priority, granted))
        self._add(priority, granted, 1)

    def is_starved(self, priority: int, now: float) -> bool:
        """Tell whether a priority gets less than its least share."""
        while self.decisions and self.decisions[0][0] <= now - _WINDOW_SECONDS:
            _, expired, granted = self.decisions.popleft()
            self._add(expired, granted, -1)
        tally = self.tallies.get(priority)
        if tally is None or tally.decided < _MIN_DECISIONS:
            return False
        share = tally.granted / tally.decided
        return share < _LEAST_SHARE * self.total.granted / self.total.decided

    def _add(self, priority: int, granted: bool, sign: int) -> None:
        tally = self.tallies.setdefault(priority, _Tally())
        for changed in (tally, self.total):
            changed.decided += sign
            changed.granted += sign * granted
        if not tally.decided:
            self.tallies.pop(priority)
