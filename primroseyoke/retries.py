"""Retry budget: one token bucket per client."""

import dataclasses

import cachetools

__all__ = ('RetryBudget',)

_MAX_CLIENT_COUNT = 8192
# Cap of the tokens earned by requests. It covers the requests that a large
# client has in progress at one entry when an availability zone fails.
_MAX_EARNED_TOKEN_COUNT = 100.0


@dataclasses.dataclass(slots=True)
class _Bucket:
    tokens: float
    updated_at: float


class RetryBudget:
    """Limits the retries of each client.

    Without a budget, retries multiply the load of a slow availability zone and
    keep it overloaded. Each request adds a fraction of a token, so that the
    budget of a large client covers the loss of a zone as that of a small one.
    """

    def __init__(
        self,
        rate: float = 1,
        burst: float = 10,
        retry_ratio: float = 0.2,
    ) -> None:
        """Set the refill rate, the bucket size and the tokens per request.

        Args:
            rate: tokens added per second and client.
            burst: bucket size; it limits the tokens added by ``rate``.
            retry_ratio: tokens added by each request that is not a retry.
        """
        self.rate = rate
        self.burst = burst
        self.retry_ratio = retry_ratio
        self.buckets: cachetools.LRUCache[str, _Bucket] = cachetools.LRUCache(
            _MAX_CLIENT_COUNT,
        )

    def spend(self, client: str, now: float) -> bool:
        """Take one token of a client; return False if its bucket is empty."""
        bucket = self._refill(client, now)
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

    def earn(self, client: str, now: float) -> None:
        """Add the tokens of one request of a client that is not a retry."""
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
