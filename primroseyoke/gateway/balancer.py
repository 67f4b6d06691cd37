"""Choice of an upstream for a request, within what each bears.

The places of an upstream are shared by all hosts. Each host tells the others
how many requests it has at each upstream; what a host knows is its own count
and the last news of the others.
"""

import dataclasses
import math
import random
from collections.abc import Collection, Iterator, Mapping

from .catalogue import Catalogue, Service
from .groups import USUAL_PASS, GroupWatch
from .health import HealthTable
from .upstreams import Fleet, Upstream

__all__ = ('Balancer', 'Demand', 'Place')

# News of another host counts for this time, in seconds: about ten reports.
_NEWS_LIFETIME = 1.5
# A plain service without a reported number of slots.
_DEFAULT_SLOTS = 8
# A plain service queues a few requests; more than these per slot wait too long.
_QUEUE_SHARE = 1.5
# The advantage of an upstream in the own availability zone, in requests.
_LOCAL_ADVANTAGE = 0.25
# Hosts that see the same load must not all choose alike, in requests.
_SPREAD = 0.4
# A group whose pauses are too long is used only if no other has a place.
_LATE = 100
# The measured limit is at least this share of the slots: with fewer, a slow
# rank would turn away more than it makes late.
_LEAST_SHARE = 0.7
# The share of the longest pause between events that a pass may take.
_GAP_SHARE = 0.85


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a request asks of an upstream.

    ``excluded`` are those that it was sent to before, ``regions`` those that
    it is bound to (empty for any). ``spare`` places are left for others.
    ``longest_gap`` is the pause between events that is still on time, in
    seconds.
    """

    excluded: Collection[str] = ()
    regions: frozenset[str] = frozenset()
    spare: int = 0
    longest_gap: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """A request's place at an upstream."""

    upstream: Upstream


@dataclasses.dataclass(frozen=True, slots=True)
class _News:
    """In-progress requests of another host, by upstream."""

    counts: Mapping[str, int]
    heard_at: float


class Balancer:
    """Tracks the use of upstreams and chooses among them.

    Attributes:
        running: requests of this host in progress, by upstream.
        hosts: number of hosts that share the upstreams, this one included.
        health: upstreams and zones that are avoided.
        groups: rank groups and how they move.
    """

    def __init__(
        self,
        fleet: Fleet,
        availability_zone: str,
        generator: random.Random,
        region_of: Mapping[str, str],
    ) -> None:
        """Choose from ``fleet``, with a preference for the own zone."""
        self.fleet = fleet
        self.availability_zone = availability_zone
        self.generator = generator
        self.region_of = region_of
        self.running: dict[str, int] = {}
        self.news: dict[str, _News] = {}
        self.hosts = 1
        self.health = HealthTable(generator)
        self.groups = GroupWatch()

    def hear(self, host: str, counts: Mapping[str, int], now: float) -> None:
        """Take another host's report of its requests in progress."""
        self.news[host] = _News(counts, now)

    def forget(self, host: str) -> None:
        """Drop the report of a host that has stopped."""
        self.news.pop(host, None)

    def acquire(
        self,
        catalogue: Catalogue,
        service: str,
        now: float,
        demand: Demand,
    ) -> Place | None:
        """Take a place at the least loaded upstream, None if all are full."""
        details = catalogue.services.get(service) or Service(service, 0)
        best = min(
            self._scored(details, now, demand),
            key=lambda scored: scored[0],
            default=None,
        )
        if best is None:
            return None
        upstream = best[1]
        self.running[upstream.name] = self.running.get(upstream.name, 0) + 1
        if details.cold_rate and now < upstream.cold_until:
            self.health.take_cold(upstream.name)
        return Place(upstream)

    def release(self, place: Place) -> None:
        """Give a place back."""
        name = place.upstream.name
        left = self.running.pop(name, 0) - 1
        if left > 0:
            self.running[name] = left

    def limit(self, upstream: Upstream, service: Service) -> float:
        """Return how many requests an upstream is to have at most."""
        if service.engine is not None:
            return max(service.engine.slots, 1)
        load = self.health.load(upstream.name)
        slots = load.slots if load else 0
        return (slots or _DEFAULT_SLOTS) * _QUEUE_SHARE

    def total(self, name: str, now: float) -> int:
        """Return the requests of all hosts in progress at an upstream."""
        return self._totals(now).get(name, 0)

    def explain(self, service: Service, now: float) -> str:
        """Return why the upstreams of a service have no place."""
        accepting = self.fleet.accepting(service.name)
        known = [
            upstream
            for upstream in self.fleet.upstreams.values()
            if upstream.service == service.name
        ]
        paused = [
            upstream.name
            for upstream in accepting
            if self.health.is_paused(upstream, now)
        ]
        still = [
            upstream.name
            for upstream in accepting
            if self.groups.is_still(upstream.name, now)
        ]
        totals = self._totals(now)
        taken = sum(totals.get(upstream.name, 0) for upstream in accepting)
        return (
            f'{len(known)} upstreams known, {len(accepting)} in service, '
            f'{len(paused)} paused, {len(still)} standing still, '
            f'{taken} requests there, {len(self.news)} other hosts heard'
        )

    def prune(self) -> None:
        """Drop what is known of upstreams that are gone."""
        self.health.keep(frozenset(self.fleet.upstreams))

    def _scored(
        self,
        service: Service,
        now: float,
        demand: Demand,
    ) -> Iterator[tuple[float, Upstream]]:
        """Yield the upstreams that have a place, with their scores."""
        totals = self._totals(now)
        for upstream in self.fleet.accepting(
            service.name,
            demand.regions,
            self.region_of,
        ):
            if upstream.name in demand.excluded:
                continue
            taken = totals.get(upstream.name, 0)
            limit = self._limit_for(upstream, service, demand, totals, now)
            if taken < limit and self._bears(upstream, service, now):
                yield self._score(upstream, taken, demand, now), upstream

    def _totals(self, now: float) -> dict[str, int]:
        totals = dict(self.running)
        for news in self.news.values():
            if now - news.heard_at < _NEWS_LIFETIME:
                for name, count in news.counts.items():
                    totals[name] = totals.get(name, 0) + count
        return totals

    def _limit_for(
        self,
        upstream: Upstream,
        service: Service,
        demand: Demand,
        totals: Mapping[str, int],
        now: float,
    ) -> float:
        """Return the limit at which the pauses of a request stay on time.

        A pass takes longer with each request in it; how much longer depends
        on the skew and is measured.
        """
        limit = self.limit(upstream, service)
        members = self.groups.group_of(upstream.name)
        if service.engine is not None and members:
            empty = service.engine.step * service.engine.stride
            used = sum(totals.get(name, 0) for name in members) / len(members)
            busy = self.groups.pass_time(upstream.name, now) - empty
            room = _GAP_SHARE * demand.longest_gap - empty
            if busy > 0 and used >= 1:
                least = math.floor(_LEAST_SHARE * limit)
                limit = min(limit, max(used * room / busy, least))
        return math.floor(limit) - demand.spare

    def _score(
        self,
        upstream: Upstream,
        taken: int,
        demand: Demand,
        now: float,
    ) -> float:
        """Return how long a pass with one more request is expected to take."""
        pass_time = self.groups.pass_time(upstream.name, now)
        score = (taken + 1) * pass_time / USUAL_PASS
        if pass_time > demand.longest_gap:
            score += _LATE
        if upstream.availability_zone == self.availability_zone:
            score -= _LOCAL_ADVANTAGE
        return score + self.generator.random() * _SPREAD

    def _bears(self, upstream: Upstream, service: Service, now: float) -> bool:
        if self.health.is_paused(upstream, now):
            return False
        if self.groups.is_still(upstream.name, now):
            return False
        if not service.cold_rate or now >= upstream.cold_until:
            return True
        # Each host takes an even share of what the cold upstream bears.
        rate = service.cold_rate / (self.hosts + 1)
        return self.health.bears_cold(upstream.name, rate, now)
