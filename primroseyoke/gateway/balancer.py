"""Choice of an upstream for a request, within what each bears.

The places of an upstream are shared by all hosts, and those of a rank group
by all its ranks; see ``usage`` and ``capacity``.
"""

import dataclasses
import math
import random
from collections.abc import Callable, Collection, Iterator, Mapping

from .capacity import DEFAULT_PASS_SECONDS
from .configuration import Configuration, Engine, Service
from .health import HealthTracker
from .in_flight import InFlightRequests
from .rank_groups import RankGroupMonitor
from .upstreams import Upstream, UpstreamRegistry
from .wait_queue import Urgency

__all__ = ('Balancer', 'Reservation', 'SelectionCriteria')

# A plain service without a reported number of slots.
_DEFAULT_SLOT_COUNT = 8
# A plain service queues a few requests; more than these per slot wait too long.
_QUEUE_FACTOR = 1.5
# The advantage of an upstream in the own availability zone, in requests.
_LOCAL_ZONE_BONUS_REQUESTS = 0.25
# Hosts that see the same load must not all choose alike, in requests.
_SCORE_JITTER_REQUESTS = 0.4
# A group whose pauses are too long is used only if no other has a place.
_SLOW_GROUP_PENALTY_REQUESTS = 100
# Places that late requests leave to others, at an upstream of a plain service
# and as a share of those of a rank group: a place is taken for seconds, and an
# answer on time is worth four late ones.
_RESERVED_SLOT_COUNT = 2
_RESERVED_SLOT_SHARE = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class SelectionCriteria:
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
class Reservation:
    """A request's place at an upstream."""

    upstream: Upstream


@dataclasses.dataclass(frozen=True, slots=True)
class _GroupCapacity:
    """Whether a rank group takes a request, and how long its passes take."""

    has_room: bool
    slow: bool
    pass_time: float


class Balancer:
    """Tracks the use of upstreams and chooses among them.

    Attributes:
        in_flight: requests in progress, of this host and of the others.
        host_count: number of hosts that share the upstreams, this one included.
        health: upstreams and zones that are avoided.
        groups: rank groups and how they move.
        on_acquire: called when a place was taken.
    """

    def __init__(
        self,
        registry: UpstreamRegistry,
        availability_zone: str,
        generator: random.Random,
        region_of: Mapping[str, str],
    ) -> None:
        """Choose from ``registry``, with a preference for the own zone."""
        self.registry = registry
        self.availability_zone = availability_zone
        self.generator = generator
        self.region_of = region_of
        self.in_flight = InFlightRequests()
        self.on_acquire: Callable[[], None] = _do_nothing
        self.host_count = 1
        self.health = HealthTracker(generator)
        self.groups = RankGroupMonitor()

    def acquire(
        self,
        configuration: Configuration,
        service: str,
        now: float,
        criteria: SelectionCriteria,
    ) -> Reservation | None:
        """Take a place at the least loaded upstream, None if all are full."""
        self.in_flight.expire(now)
        service_settings = configuration.services.get(service) or Service(
            service, 0
        )
        best = min(
            self._scored_candidates(service_settings, now, criteria),
            key=lambda scored: scored[0],
            default=None,
        )
        if best is None:
            return None
        upstream = best[1]
        self.in_flight.record_start(upstream.name)
        self.on_acquire()
        if service_settings.cold_rate and now < upstream.cold_until:
            self.health.take_cold_token(upstream.name)
        return Reservation(upstream)

    def release(self, reservation: Reservation) -> None:
        """Give a place back."""
        self.in_flight.record_end(reservation.upstream.name)

    def record_event(
        self,
        upstream: Upstream,
        engine: Engine | None,
        pause: float,
        now: float,
    ) -> None:
        """Note an event of a stream, ``pause`` seconds after the one before."""
        self.groups.record_event(upstream.name, now)
        estimator = self.groups.pass_estimator(upstream.name)
        if estimator is not None:
            members = self.groups.ranks_of_group(upstream.name)
            used = self.in_flight.total_of(members)
            estimator.observe(engine, len(members), used, pause, now)

    def max_in_flight(self, upstream: Upstream, service: Service) -> float:
        """Return how many requests an upstream is to have at most."""
        if service.engine is not None:
            return max(service.engine.slots, 1)
        load = self.health.load(upstream.name)
        slots = load.slots if load else 0
        return (slots or _DEFAULT_SLOT_COUNT) * _QUEUE_FACTOR

    def is_unavailable(self, service: str, now: float) -> bool:
        """Tell whether no upstream of a service works, full or not."""
        accepting = self.registry.accepting(service)
        return all(
            self.groups.is_broken(upstream.name, now)
            or self.health.is_zone_paused(upstream, now)
            for upstream in accepting
        )

    def explain_no_capacity(self, service: Service, now: float) -> str:
        """Return why the upstreams of a service have no place."""
        accepting = self.registry.accepting(service.name)
        known = [
            upstream
            for upstream in self.registry.upstreams.values()
            if upstream.service == service.name
        ]
        paused = [
            upstream.name
            for upstream in accepting
            if self.health.is_paused(upstream, now)
        ]
        avoided = [
            upstream.name
            for upstream in accepting
            if self.groups.is_avoided(upstream.name, now)
        ]
        taken = self.in_flight.total_of(upstream.name for upstream in accepting)
        return (
            f'{len(known)} upstreams known, {len(accepting)} in service, '
            f'{len(paused)} paused, {len(avoided)} standing still, '
            f'{taken} requests there, {len(self.in_flight.reports)} other hosts heard'
        )

    def prune(self) -> None:
        """Drop what is known of upstreams that are gone."""
        self.health.retain(frozenset(self.registry.upstreams))

    def _scored_candidates(
        self,
        service: Service,
        now: float,
        criteria: SelectionCriteria,
    ) -> Iterator[tuple[float, Upstream]]:
        """Yield the upstreams that have a place, with their scores."""
        usable = [
            upstream
            for upstream in self.registry.accepting(
                service.name,
                criteria.regions,
                self.region_of,
            )
            if upstream.name not in criteria.excluded
            and self._is_usable(upstream, service, now)
        ]
        capacities = self._group_capacities(usable, service, criteria, now)
        for upstream in usable:
            capacity = capacities[
                self.groups.group_by_upstream.get(upstream.name, '')
            ]
            taken = self.in_flight.total(upstream.name)
            limit = math.floor(self.max_in_flight(upstream, service))
            if service.engine is None and criteria.urgency is Urgency.LATE:
                limit -= _RESERVED_SLOT_COUNT
            if capacity.has_room and taken < limit:
                yield self._score(upstream, taken, capacity), upstream

    def _group_capacities(
        self,
        usable: list[Upstream],
        service: Service,
        criteria: SelectionCriteria,
        now: float,
    ) -> dict[str, _GroupCapacity]:
        """Return which groups take a request; '' stands for no group.

        A request that can be on time is not sent where it would be late,
        unless all groups are slow.
        """
        ungrouped = {
            '': _GroupCapacity(
                has_room=True, slow=False, pass_time=DEFAULT_PASS_SECONDS
            )
        }
        engine = service.engine
        if engine is None:
            return ungrouped
        ranks: dict[str, list[Upstream]] = {}
        for upstream in usable:
            group = self.groups.group_by_upstream.get(upstream.name)
            if group is not None:
                ranks.setdefault(group, []).append(upstream)
        capacities = {
            group: self._group_capacity(members, engine, criteria, now)
            for group, members in ranks.items()
        }
        all_slow = all(capacity.slow for capacity in capacities.values())
        if criteria.urgency is Urgency.ON_TIME and not all_slow:
            capacities = {
                group: dataclasses.replace(
                    capacity,
                    has_room=capacity.has_room and not capacity.slow,
                )
                for group, capacity in capacities.items()
            }
        return ungrouped | capacities

    def _group_capacity(
        self,
        ranks: list[Upstream],
        engine: Engine,
        criteria: SelectionCriteria,
        now: float,
    ) -> _GroupCapacity:
        """Return whether a group takes a request at one of some ranks."""
        estimator = self.groups.pass_estimator(ranks[0].name)
        if estimator is None:
            return _GroupCapacity(
                has_room=True, slow=False, pass_time=DEFAULT_PASS_SECONDS
            )
        members = self.groups.ranks_of_group(ranks[0].name)
        limit = estimator.max_requests(
            engine, len(members), criteria.longest_gap, now
        )
        # Others may be paused, draining or in a zone that was taken out.
        limit = min(limit, engine.slots * len(ranks))
        if criteria.urgency is Urgency.LATE:
            limit *= 1 - _RESERVED_SLOT_SHARE
        pass_time = estimator.pass_time(now)
        return _GroupCapacity(
            has_room=self.in_flight.total_of(members) < limit,
            slow=pass_time > criteria.longest_gap,
            pass_time=pass_time,
        )

    def _score(
        self, upstream: Upstream, taken: int, capacity: _GroupCapacity
    ) -> float:
        """Return how long a pass with one more request is expected to take."""
        score = (taken + 1) * capacity.pass_time / DEFAULT_PASS_SECONDS
        if capacity.slow:
            score += _SLOW_GROUP_PENALTY_REQUESTS
        if upstream.availability_zone == self.availability_zone:
            score -= _LOCAL_ZONE_BONUS_REQUESTS
        return score + self.generator.random() * _SCORE_JITTER_REQUESTS

    def _is_usable(
        self, upstream: Upstream, service: Service, now: float
    ) -> bool:
        if self.health.is_paused(upstream, now):
            return False
        if self.groups.is_avoided(upstream.name, now):
            return False
        if not service.cold_rate or now >= upstream.cold_until:
            return True
        # Each host takes an even share of what the cold upstream bears.
        rate = service.cold_rate / (self.host_count + 1)
        return self.health.has_cold_token(upstream.name, rate, now)


def _do_nothing() -> None:
    """Do nothing until somebody wants to know."""
