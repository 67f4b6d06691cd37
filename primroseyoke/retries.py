"""Retry budget: a token bucket for each client."""

import dataclasses

import cachetools

__all__ = ('RetryBudget',)

_MAX_CLIENT_COUNT = 8192
# Retries that requests can earn, enough for what a large account has in
# progress at one entry when a zone is lost.
_MAX_EARNED_TOKEN_COUNT = 100.0


@dataclasses.dataclass(slots=True)
class _Bucket:
    tokens: float
    updated_at: float


class RetryBudget:
    """Limits the retries of each client.

    Without a budget, a slow availability zone turns each request into several
    and keeps itself slow. A client earns retries with its requests, so a large
    account survives the loss of a zone as a small one does.
    """

    def __init__(
        self,
        rate: float = 1,
        burst: float = 10,
        retry_ratio: float = 0.2,
    ) -> None:
        """Allow some retries, and more to a client with many requests.

        Args:
            rate: retries a second for each client.
            burst: retries at once for each client.
            retry_ratio: retries earned by each request.
        """
        self.rate = rate
        self.burst = burst
        self.retry_ratio = retry_ratio
        self.buckets: cachetools.LRUCache[str, _Bucket] = cachetools.LRUCache(
            _MAX_CLIENT_COUNT,
        )

    def spend(self, client: str, now: float) -> bool:
        """Take one token of a client; return False if there is none."""
        bucket = self._refill(client, now)
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

    def earn(self, client: str, now: float) -> None:
        """Count one request of a client, which is not a retry."""
        bucket = self._refill(client, now)
        earned = min(bucket.tokens + self.retry_ratio, _MAX_EARNED_TOKEN_COUNT)
        bucket.tokens = max(bucket.tokens, earned)

    def _refill(self, client: str, now: float) -> _Bucket:
        bucket = self.buckets.get(client)
        if bucket is None:
            bucket = _Bucket(self.burst, now)
            self.buckets[client] = bucket
        elapsed = max(now - bucket.updated_at, 0)
        refilled = min(bucket.tokens + elapsed * self.rate, self.burst)
        bucket.tokens = max(bucket.tokens, refilled)
        bucket.updated_at = now
        return bucket
