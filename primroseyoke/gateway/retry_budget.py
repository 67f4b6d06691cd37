"""Retry budget, split evenly among the hosts of a deployment."""

import collections
import math

__all__ = ('RetryBudget',)


class RetryBudget:
    """Limits the retries of each service in a sliding window.

    The limit holds over all hosts together without coordination: each host
    limits itself to ``ratio`` of its own requests and an even part of
    ``slack``.

    Attributes:
        host_count: number of hosts that share ``slack``; infinite while it is
            not known.
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        """Allow ``ratio * requests + slack`` retries in ``window`` seconds."""
        self.ratio = ratio
        self.slack = slack
        self.window = window
        self.host_count = math.inf
        self.requests: dict[str, collections.deque[float]] = {}
        self.retries: dict[str, collections.deque[float]] = {}

    def record_request(self, service: str, now: float) -> None:
        """Record a request of a caller, which adds to the budget."""
        self._within_window(self.requests, service, now).append(now)

    def try_spend(self, service: str, now: float) -> bool:
        """Spend one retry; return False if the budget is exhausted."""
        retries = self._within_window(self.retries, service, now)
        requests = self._within_window(self.requests, service, now)
        allowed = self.ratio * len(requests) + self.slack / (
            self.host_count + 1
        )
        if len(retries) + 1 > allowed:
            return False
        retries.append(now)
        return True

    def _within_window(
        self,
        times: dict[str, collections.deque[float]],
        service: str,
        now: float,
    ) -> collections.deque[float]:
        recent = times.setdefault(service, collections.deque())
        while recent and recent[0] < now - self.window:
            recent.popleft()
        return recent
