"""Retry budget: a token bucket for each client."""

import dataclasses

import cachetools

__all__ = ('RetryBudget',)

_MAX_CLIENTS = 8192


@dataclasses.dataclass(slots=True)
class _Bucket:
    tokens: float
    updated_at: float


class RetryBudget:
    """Limits the retries of each client.

    Without a budget, a slow availability zone turns each request into several
    and keeps itself slow.
    """

    def __init__(self, rate: float = 2, burst: float = 10) -> None:
        """Allow ``rate`` retries a second and ``burst`` at once."""
        self.rate = rate
        self.burst = burst
        self.buckets: cachetools.LRUCache[str, _Bucket] = cachetools.LRUCache(
            _MAX_CLIENTS,
        )

    def spend(self, client: str, now: float) -> bool:
        """Take one token of a client; return False if there is none."""
        bucket = self.buckets.get(client)
        if bucket is None:
            bucket = _Bucket(self.burst, now)
            self.buckets[client] = bucket
        elapsed = max(now - bucket.updated_at, 0)
        bucket.tokens = min(bucket.tokens + elapsed * self.rate, self.burst)
        bucket.updated_at = now
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True
