"""Limit on the rate of calls."""

__all__ = ('TokenBucket',)

# With one token, n calls take (n - 1) / rate seconds at least. The rate of the
# bucket is this share of the accepted one, so that one second has no more calls
# than are accepted.
_RATE_SHARE = 0.8


class TokenBucket:
    """Bucket for one token, which is filled at 0.8 of the accepted rate.

    Attributes:
        interval: time between two tokens in seconds.
        full_at: when there is a token, in seconds of the caller's clock.
    """

    def __init__(self, accepted_per_second: float) -> None:
        """Stay below ``accepted_per_second`` calls; start with a token."""
        self.interval = 1 / (accepted_per_second * _RATE_SHARE)
        self.full_at = 0.0

    def try_take(self, now: float) -> bool:
        """Take the token; return False if there is none at ``now``."""
        if now < self.full_at:
            return False
        self.full_at = now + self.interval
        return True

    def empty(self, now: float) -> None:
        """Remove the token: another host may just have made a call."""
        self.full_at = max(self.full_at, now + self.interval)
