"""Rates that many hosts share at one upstream, without a coordinator.

A rate that is divided among all hosts leaves each of hundreds less than one
request in the time that matters. So each upstream has a few senders: the hosts
that come first if all hosts are ranked by a hash of host and upstream
(rendezvous hashing, Thaler and Ravishankar, 1998). Each sender has an equal part
of the rate, and the other hosts send nothing to that upstream.

A host ranks itself among the hosts that it knows. If each host knows all that
run, at most ``sender_count`` of them send. A host that has stopped but is still
known leaves its part unused. A running host that others do not know may be one
sender too many.
"""

import dataclasses
import hashlib
import heapq
import math
from collections.abc import Collection, Iterable

__all__ = ('RateSharing', 'SharedRate')

# Part of a sender within the window. Requests that senders happen to send at the
# same time then exceed the rate by half at most.
_MIN_PART_REQUESTS = 2
# Waiting requests are tried again at this interval, and later by chance. A sender
# may make up for such a delay.
_MAX_CATCH_UP_SECONDS = 0.1
# With a single sender, nothing would be sent while that host is away.
_MIN_SENDER_COUNT = 2
# An upstream gets a request of each sender at least this often, since only in a
# response can it state a higher rate.
_MAX_INTERVAL_SECONDS = 10.0
_KEY_BYTES = 8
_KEY_MASK = 2**64 - 1
_KEY_SHIFT = 32
# 2**64 divided by the golden ratio (Fibonacci hashing).
_MULTIPLIER = 0x9E3779B97F4A7C15


@dataclasses.dataclass(frozen=True, slots=True)
class SharedRate:
    """Maximum rate of the requests that all hosts send to an upstream.

    ``per_second`` is the rate, ``window`` the time in seconds over which
    requests are counted.
    """

    per_second: float
    window: float

    @property
    def sender_count(self) -> int:
        """Return how many hosts use the rate, if there are so many."""
        allowed = self.per_second * self.window
        return max(int(allowed / _MIN_PART_REQUESTS), _MIN_SENDER_COUNT)


class RateSharing:
    """The parts that one host has of the rates at upstreams.

    Attributes:
        host: address of this host.
        hosts: addresses of all hosts that may be running, with this one; empty
            while they are not known, and nothing is sent then.
    """

    def __init__(self, host: str, hosts: Collection[str] = ()) -> None:
        """Share rates with ``hosts``."""
        self.host = host
        self.hosts: frozenset[str] = frozenset()
        self.host_keys: dict[str, int] = {}
        self.places: dict[tuple[str, int], int | None] = {}
        self.used_until: dict[tuple[str, float], float] = {}
        self.update_hosts(hosts)

    def update_hosts(self, hosts: Collection[str]) -> None:
        """Replace the hosts that share the rates."""
        if self.hosts == frozenset(hosts):
            return
        self.hosts = frozenset(hosts)
        self.host_keys = {host: _key(host) for host in self.hosts}
        self.places.clear()

    def delay(
        self, upstream: str, rates: Iterable[SharedRate], now: float
    ) -> float:
        """Return the time until this host may send a request, in seconds.

        Args:
            upstream: name of the upstream.
            rates: the rates that hold there; all must allow the request.
            now: monotonic seconds.

        Returns:
            0 if it may send one now, infinity if it is no sender.
        """
        return max(
            (self._delay(upstream, rate, now) for rate in rates), default=0
        )

    def record_send(
        self, upstream: str, rates: Iterable[SharedRate], now: float
    ) -> None:
        """Record that this host sends a request, at monotonic time ``now``."""
        for rate in rates:
            key = (upstream, rate.window)
            due = self.used_until.get(key, now) + self._interval(rate)
            self.used_until[key] = max(due, now - _MAX_CATCH_UP_SECONDS)

    def retain(self, upstreams: Collection[str]) -> None:
        """Discard what is known of all upstreams but ``upstreams``."""
        self.used_until = {
            key: until
            for key, until in self.used_until.items()
            if key[0] in upstreams
        }
        self.places = {
            key: place
            for key, place in self.places.items()
            if key[0] in upstreams
        }

    def _delay(self, upstream: str, rate: SharedRate, now: float) -> float:
        place = self._place(upstream, rate)
        if place is None:
            return math.inf
        interval = self._interval(rate)
        key = (upstream, rate.window)
        if key not in self.used_until:
            # Other senders have learned of the rate at about the same time, so
            # their first requests are spread. This host may have restarted, so
            # it sends none at once.
            share = (place + 1) / self._sender_count(rate)
            self.used_until[key] = now - interval * (1 - share)
        return max(self.used_until[key] + interval - now, 0)

    def _interval(self, rate: SharedRate) -> float:
        """Return the time between two requests of a sender, in seconds."""
        if not rate.per_second:
            return _MAX_INTERVAL_SECONDS
        interval = self._sender_count(rate) / rate.per_second
        return min(interval, _MAX_INTERVAL_SECONDS)

    def _sender_count(self, rate: SharedRate) -> int:
        return min(rate.sender_count, len(self.hosts))

    def _place(self, upstream: str, rate: SharedRate) -> int | None:
        """Return the place among the senders; None if it is no sender."""
        count = self._sender_count(rate)
        key = (upstream, count)
        if key not in self.places:
            upstream_key = _key(upstream)
            senders = heapq.nlargest(
                count,
                self.hosts,
                key=lambda host: _weight(self.host_keys[host] ^ upstream_key),
            )
            self.places[key] = (
                senders.index(self.host) if self.host in senders else None
            )
        return self.places[key]


def _key(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=_KEY_BYTES)
    return int.from_bytes(digest.digest(), 'big')


def _weight(key: int) -> int:
    """Mix the bits of a key, so that hosts rank differently by upstream."""
    mixed = key * _MULTIPLIER & _KEY_MASK
    return (mixed ^ (mixed >> _KEY_SHIFT)) * _MULTIPLIER & _KEY_MASK
