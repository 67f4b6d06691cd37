"""Budget of second sends, shared evenly by the hosts of a deployment."""

import collections

__all__ = ('SendBudget',)


class SendBudget:
    """Bounds the sends beyond the first of each request in a sliding window.

    The bound holds over all hosts together: a host that cannot ask the others
    keeps to ``ratio`` of its own requests and an even part of ``slack``.
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        """Allow ``ratio * requests + slack`` in ``window`` seconds."""
        self.ratio = ratio
        self.slack = slack
        self.window = window
        self.hosts = 1
        self.requests: dict[str, collections.deque[float]] = {}
        self.repeats: dict[str, collections.deque[float]] = {}

    def count(self, service: str, now: float) -> None:
        """Count a caller's request."""
        self._recent(self.requests, service, now).append(now)

    def spend(self, service: str, now: float) -> bool:
        """Take one further send; return False if there is none left."""
        repeats = self._recent(self.repeats, service, now)
        requests = self._recent(self.requests, service, now)
        allowed = self.ratio * len(requests) + self.slack / (self.hosts + 1)
        if len(repeats) + 1 > allowed:
            return False
        repeats.append(now)
        return True

    def _recent(
        self,
        times: dict[str, collections.deque[float]],
        service: str,
        now: float,
    ) -> collections.deque[float]:
        recent = times.setdefault(service, collections.deque())
        while recent and recent[0] < now - self.window:
            recent.popleft()
        return recent
