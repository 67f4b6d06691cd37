"""Predicts whether a waiting request gets a slot in time."""

import dataclasses
import math

__all__ = ('HoldTime', 'Prospect')

# Weight of a new measurement in the mean.
_SMOOTHING_FACTOR = 0.05
# Share of the slots that on-time requests never use up in a forecast. The
# demand is measured on one host, with an error of about a sixth.
_MIN_SPARE_SHARE = 0.05


class HoldTime:
    """Mean time for which a request holds its slot.

    Attributes:
        mean: in seconds; 0 until a slot was released.
    """

    def __init__(self) -> None:
        """Start without measurements."""
        self.mean = 0.0

    def observe(self, held: float) -> None:
        """Record that a slot was held for ``held`` seconds."""
        if not self.mean:
            self.mean = held
        self.mean += _SMOOTHING_FACTOR * (held - self.mean)

    def release_rate(self, in_progress: int) -> float:
        """Return how many slots become free per second.

        Args:
            in_progress: requests of all hosts that hold a slot.

        Returns:
            Slots per second; infinity while it is unknown.
        """
        if not (self.mean and in_progress):
            return math.inf
        return in_progress / self.mean


@dataclasses.dataclass(frozen=True, slots=True)
class Prospect:
    """What a waiting request competes with, over all hosts.

    ``rate`` is the number of slots that become free per second, ``ahead`` the
    number of on-time requests that go before it or are of its own priority.
    ``urgent_share`` is the share of the slots that go to more urgent
    priorities, ``demand`` the number of requests per second. ``reserved`` is
    the number of slots that must be free before a late request gets one.
    """

    rate: float
    ahead: int
    urgent_share: float
    demand: float
    reserved: float

    def on_time_delay(self) -> float:
        """Return the expected time until a slot for an on-time request."""
        share = max(1 - self.urgent_share, _MIN_SPARE_SHARE)
        return (self.ahead + 1) / (self.rate * share)

    def backlog_delay(self) -> float:
        """Return the time in which the requests ahead get slots."""
        return self.ahead / self.rate

    def late_delay(self) -> float:
        """Return the expected time until a slot for a late request."""
        spare = max(self.rate - self.demand, _MIN_SPARE_SHARE * self.rate)
        return (self.ahead + self.reserved + 1) / spare
