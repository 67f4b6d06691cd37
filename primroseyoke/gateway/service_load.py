"""Demand for the slots of a service, over all hosts."""

import collections
import dataclasses
import math
import statistics
from collections.abc import Callable, Mapping

from .balancer import Balancer
from .wait_queue import WaitQueue

__all__ = ('DemandTrend', 'ServiceLoad', 'ServiceLoadReader')

# Time constant of the smoothed demand. Requests start and end many times a
# second, so single samples vary by several slots.
_SMOOTHING_SECONDS = 1.0
# Time constant of the rates of arrivals and refusals.
_RATE_SECONDS = 2.0
# Period over which the slope is measured, one value per second. Demand counts
# as rising if it grew by the given share in most of these seconds: a step shows
# in about nine of them, noise in half.
_SLOPE_SECONDS = 15
_MIN_RISING_COUNT = 13
_MIN_RISING_SHARE = 0.002
# The end of a rise shows in the last seconds first.
_LATEST_SECONDS = 5
# Longest period for which demand is kept, in seconds.
_MAX_HISTORY_SECONDS = 900
# The history starts anew after a pause such as a change of the lease holder.
_MAX_PAUSE_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Load of a service over all hosts; rates in requests per second."""

    slots_in_use: int
    waiting: float = 0
    arrival_rate: float = 0
    refused_rate: float = 0

    @property
    def offered_slots(self) -> float:
        """Return the slots that would be in use if none were refused.

        A refused request needs a slot for as long as a served one. Most refused
        requests are retried, so refusals count at most as much as what is
        served.
        """
        served_rate = max(self.arrival_rate - self.refused_rate, 0)
        refused_share = 1.0
        if self.refused_rate < served_rate:
            refused_share = self.refused_rate / served_rate
        elif not self.refused_rate:
            refused_share = 0
        has_demand = bool(self.waiting or self.refused_rate)
        return max(
            self.slots_in_use * (1 + refused_share) + self.waiting,
            float(has_demand),
        )


class DemandTrend:
    """Demand of one service in the last minutes, one value per second.

    Attributes:
        current: the smoothed demand, in slots.
    """

    def __init__(self) -> None:
        """Start without demand."""
        self.current = 0.0
        self.recorded_at = -math.inf
        self.started_at = -math.inf
        self.history: collections.deque[float] = collections.deque(
            maxlen=_MAX_HISTORY_SECONDS
        )

    def record(self, offered: float, now: float) -> None:
        """Record the demand at a time, in slots and seconds."""
        elapsed = now - self.recorded_at
        if 0 <= elapsed <= _MAX_PAUSE_SECONDS:
            weight = 1 - math.exp(-elapsed / _SMOOTHING_SECONDS)
            self.current += weight * (offered - self.current)
        else:
            self.current = offered
            self.started_at = now
            self.history.clear()
        self.recorded_at = now
        while self.started_at + len(self.history) <= now:
            self.history.append(self.current)
            if len(self.history) == self.history.maxlen:
                self.started_at += 1
                self.history.popleft()

    def slope(self) -> float:
        """Return how fast the demand rises, in slots per second.

        It is 0 if the demand does not rise steadily.
        """
        recent = list(self.history)[-_SLOPE_SECONDS - 1 :]
        if len(recent) <= _SLOPE_SECONDS:
            return 0
        differences = [
            after - before for before, after in zip(recent, recent[1:])
        ]
        least = _MIN_RISING_SHARE * self.current
        rising_count = sum(difference > least for difference in differences)
        if rising_count < _MIN_RISING_COUNT:
            return 0
        latest = statistics.median(differences[-_LATEST_SECONDS:])
        return max(min(statistics.median(differences), latest), 0)

    def lowest(self, seconds: float) -> float:
        """Return the lowest demand of a period; 0 if it is not recorded."""
        count = math.ceil(seconds)
        if len(self.history) < count:
            return 0
        return min([self.current, *list(self.history)[-count:]])

    def highest(self, seconds: float) -> float:
        """Return the highest demand of a period.

        It is infinite if the period is not recorded.
        """
        count = min(math.ceil(seconds), _MAX_HISTORY_SECONDS - 1)
        if len(self.history) < count:
            return math.inf
        return max([self.current, *list(self.history)[-count:]])


@dataclasses.dataclass(slots=True)
class _Rates:
    """Counts of one service at the last reading, and their rates."""

    arrivals: int
    refusals: int
    read_at: float
    arrival_rate: float = 0
    refused_rate: float = 0

    def update(self, arrivals: int, refusals: int, now: float) -> None:
        elapsed = now - self.read_at
        if elapsed <= 0:
            return
        weight = 1 - math.exp(-elapsed / _RATE_SECONDS)
        arrival_rate = (arrivals - self.arrivals) / elapsed
        refused_rate = (refusals - self.refusals) / elapsed
        self.arrival_rate += weight * (arrival_rate - self.arrival_rate)
        self.refused_rate += weight * (refused_rate - self.refused_rate)
        self.arrivals = arrivals
        self.refusals = refusals
        self.read_at = now


class ServiceLoadReader:
    """Reads the load of services.

    Requests in progress are known of all hosts. What waits, arrives and is
    refused is known of this host; the balancer in front spreads requests
    evenly, so the other hosts have about the same.
    """

    def __init__(
        self,
        balancer: Balancer,
        queues: Mapping[str, WaitQueue],
        arrivals: Mapping[str, int],
        refusals: Mapping[str, int],
        host_count: Callable[[], int],
    ) -> None:
        """Read from the components of this host.

        Args:
            balancer: has the requests in progress.
            queues: waiting requests of this host, by service.
            arrivals: requests of this host since its start, by service.
            refusals: refused requests of this host, by service.
            host_count: returns the number of active hosts.
        """
        self.balancer = balancer
        self.queues = queues
        self.arrivals = arrivals
        self.refusals = refusals
        self.host_count = host_count
        self.rates: dict[str, _Rates] = {}

    def read(self, service: str, now: float) -> ServiceLoad:
        """Return the load of a service; ``now`` in seconds."""
        arrivals = self.arrivals.get(service, 0)
        refusals = self.refusals.get(service, 0)
        rates = self.rates.setdefault(service, _Rates(arrivals, refusals, now))
        rates.update(arrivals, refusals, now)
        queue = self.queues.get(service)
        waiting = len(queue.waiters) if queue else 0
        hosts = max(self.host_count(), 1)
        return ServiceLoad(
            slots_in_use=self.balancer.in_flight.total_of(
                upstream.name
                for upstream in self.balancer.registry.upstreams.values()
                if upstream.service == service
            ),
            waiting=waiting * hosts,
            arrival_rate=rates.arrival_rate * hosts,
            refused_rate=rates.refused_rate * hosts,
        )
