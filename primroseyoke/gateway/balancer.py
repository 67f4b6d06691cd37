"""Choice of an upstream for a request, within what each bears.

The places of an upstream are shared by all hosts, and those of a rank group
by all its ranks; see ``usage`` and ``capacity``.
"""

import dataclasses
import math
import random
from collections.abc import Callable, Collection, Iterator, Mapping

from .capacity import USUAL_PASS
from .catalogue import Catalogue, Engine, Service
from .groups import GroupWatch
from .health import HealthTable
from .upstreams import Fleet, Upstream
from .usage import Usage
from .waiting import Urgency

__all__ = ('Balancer', 'Demand', 'Place')

# A plain service without a reported number of slots.
_DEFAULT_SLOTS = 8
# A plain service queues a few requests; more than these per slot wait too long.
_QUEUE_SHARE = 1.5
# The advantage of an upstream in the own availability zone, in requests.
_LOCAL_ADVANTAGE = 0.25
# Hosts that see the same load must not all choose alike, in requests.
_SPREAD = 0.4
# A group whose pauses are too long is used only if no other has a place.
_SLOW = 100
# Places that late requests leave to others, at an upstream of a plain service
# and as a share of those of a rank group: a place is taken for seconds, and an
# answer on time is worth four late ones.
_SPARE_PLACES = 2
_SPARE_SHARE = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a request asks of an upstream.

    ``excluded`` are those that it was sent to before, ``regions`` those that
    it is bound to (empty for any). Requests that are late leave some places
    to others; all but those on time put up with long pauses. ``longest_gap``
    is the pause between events that is still on time, in seconds.
    """

    excluded: Collection[str] = ()
    regions: frozenset[str] = frozenset()
    urgency: Urgency = Urgency.ON_TIME
    longest_gap: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """A request's place at an upstream."""

    upstream: Upstream


@dataclasses.dataclass(frozen=True, slots=True)
class _Room:
    """Whether a rank group takes a request, and how long its passes take."""

    free: bool
    slow: bool
    pass_time: float


class Balancer:
    """Tracks the use of upstreams and chooses among them.

    Attributes:
        usage: requests in progress, of this host and of the others.
        hosts: number of hosts that share the upstreams, this one included.
        health: upstreams and zones that are avoided.
        groups: rank groups and how they move.
        on_begin: called when a place was taken.
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
        self.usage = Usage()
        self.on_begin: Callable[[], None] = _ignore_begin
        self.hosts = 1
        self.health = HealthTable(generator)
        self.groups = GroupWatch()

    def acquire(
        self,
        catalogue: Catalogue,
        service: str,
        now: float,
        demand: Demand,
    ) -> Place | None:
        """Take a place at the least loaded upstream, None if all are full."""
        self.usage.expire(now)
        details = catalogue.services.get(service) or Service(service, 0)
        best = min(
            self._scored(details, now, demand),
            key=lambda scored: scored[0],
            default=None,
        )
        if best is None:
            return None
        upstream = best[1]
        self.usage.begin(upstream.name)
        self.on_begin()
        if details.cold_rate and now < upstream.cold_until:
            self.health.take_cold(upstream.name)
        return Place(upstream)

    def release(self, place: Place) -> None:
        """Give a place back."""
        self.usage.end(place.upstream.name)

    def move(
        self,
        upstream: Upstream,
        engine: Engine | None,
        pause: float,
        now: float,
    ) -> None:
        """Note an event of a stream, ``pause`` seconds after the one before."""
        self.groups.move(upstream.name, now)
        meter = self.groups.meter(upstream.name)
        if meter is not None:
            members = self.groups.group_of(upstream.name)
            used = self.usage.sum(members)
            meter.observe(engine, len(members), used, pause, now)

    def limit(self, upstream: Upstream, service: Service) -> float:
        """Return how many requests an upstream is to have at most."""
        if service.engine is not None:
            return max(service.engine.slots, 1)
        load = self.health.load(upstream.name)
        slots = load.slots if load else 0
        return (slots or _DEFAULT_SLOTS) * _QUEUE_SHARE

    def is_out(self, service: str, now: float) -> bool:
        """Tell whether no upstream of a service works, full or not."""
        accepting = self.fleet.accepting(service)
        return all(
            self.groups.is_broken(upstream.name, now)
            or self.health.is_zone_paused(upstream, now)
            for upstream in accepting
        )

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
        taken = self.usage.sum(upstream.name for upstream in accepting)
        return (
            f'{len(known)} upstreams known, {len(accepting)} in service, '
            f'{len(paused)} paused, {len(still)} standing still, '
            f'{taken} requests there, {len(self.usage.news)} other hosts heard'
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
        usable = [
            upstream
            for upstream in self.fleet.accepting(
                service.name,
                demand.regions,
                self.region_of,
            )
            if upstream.name not in demand.excluded
            and self._bears(upstream, service, now)
        ]
        rooms = self._rooms(usable, service, demand, now)
        for upstream in usable:
            room = rooms[self.groups.members.get(upstream.name, '')]
            taken = self.usage.total(upstream.name)
            limit = math.floor(self.limit(upstream, service))
            if service.engine is None and demand.urgency is Urgency.LATE:
                limit -= _SPARE_PLACES
            if room.free and taken < limit:
                yield self._score(upstream, taken, room), upstream

    def _rooms(
        self,
        usable: list[Upstream],
        service: Service,
        demand: Demand,
        now: float,
    ) -> dict[str, _Room]:
        """Return which groups take a request; '' stands for no group.

        A request that can be on time is not sent where it would be late,
        unless all groups are slow.
        """
        ungrouped = {'': _Room(free=True, slow=False, pass_time=USUAL_PASS)}
        engine = service.engine
        if engine is None:
            return ungrouped
        ranks: dict[str, list[Upstream]] = {}
        for upstream in usable:
            group = self.groups.members.get(upstream.name)
            if group is not None:
                ranks.setdefault(group, []).append(upstream)
        rooms = {
            group: self._room(members, engine, demand, now)
            for group, members in ranks.items()
        }
        all_slow = all(room.slow for room in rooms.values())
        if demand.urgency is Urgency.ON_TIME and not all_slow:
            rooms = {
                group: dataclasses.replace(
                    room,
                    free=room.free and not room.slow,
                )
                for group, room in rooms.items()
            }
        return ungrouped | rooms

    def _room(
        self,
        ranks: list[Upstream],
        engine: Engine,
        demand: Demand,
        now: float,
    ) -> _Room:
        """Return whether a group takes a request at one of some ranks."""
        meter = self.groups.meter(ranks[0].name)
        if meter is None:
            return _Room(free=True, slow=False, pass_time=USUAL_PASS)
        members = self.groups.group_of(ranks[0].name)
        limit = meter.limit(engine, len(members), demand.longest_gap, now)
        # Others may be paused, draining or in a zone that was taken out.
        limit = min(limit, engine.slots * len(ranks))
        if demand.urgency is Urgency.LATE:
            limit *= 1 - _SPARE_SHARE
        pass_time = meter.pass_time(now)
        return _Room(
            free=self.usage.sum(members) < limit,
            slow=pass_time > demand.longest_gap,
            pass_time=pass_time,
        )

    def _score(self, upstream: Upstream, taken: int, room: _Room) -> float:
        """Return how long a pass with one more request is expected to take."""
        score = (taken + 1) * room.pass_time / USUAL_PASS
        if room.slow:
            score += _SLOW
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


def _ignore_begin() -> None:
    """Do nothing until somebody wants to know."""
