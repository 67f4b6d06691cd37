"""Selects an upstream for each request, within concurrency limits.

The slots of an upstream are shared by all hosts, and the limit of a rank group
by all its ranks; see ``in_flight`` and ``capacity``.
"""

import math
import random
import time
from collections.abc import (
    Callable,
    Iterable,
    Iterator,
    Mapping,
)

from ..scheduling.admission import Urgency
from ..scheduling.late_share import LateShare
from ..scheduling.shares import ClientShares
from .candidates import CandidateIndex
from .configuration import Configuration, Engine, Service
from .group_capacities import GroupCapacities
from .health import HealthTracker
from .in_flight import InFlightRequests
from .rank_groups import GroupStatus, RankGroupMonitor
from .request_costs import RequestCosts
from .selection import GroupCapacity, Reservation, SelectionCriteria
from .selection_scores import selection_score
from .upstream_limits import UpstreamLimits
from .upstreams import Upstream, UpstreamRegistry

__all__ = ('Balancer', 'Reservation', 'SelectionCriteria')

# Slots assumed for a plain service that has not reported its number.
_DEFAULT_SLOT_COUNT = 8
# Requests per slot that a plain service may have, running or in its own queue;
# more than these wait there too long.
_QUEUE_FACTOR = 1.5
# Slots of each upstream of a plain service that are kept free of late requests:
# a slot is occupied for long, and a response on time is worth four late ones.
_RESERVED_SLOT_COUNT = 2


class Balancer:
    """Tracks the load of upstreams and selects the least loaded one.

    Attributes:
        in_flight: requests in progress, of this host and of the others.
        costs: predicted work of the requests.
        limits: shared rates and pauses, from what upstreams state.
        health: failures and pauses of upstreams and zones.
        groups: membership and state of the rank groups.
        shares: work of the heaviest client accounts.
        on_acquire: called when other hosts are to be told the load at once:
            after a slot was reserved, or while requests wait.
    """

    def __init__(
        self,
        registry: UpstreamRegistry,
        availability_zone: str,
        generator: random.Random,
        region_of: Mapping[str, str],
        host: str = '',
    ) -> None:
        """Select from ``registry``, with a preference for the own zone.

        Args:
            registry: the upstreams.
            availability_zone: the zone of this host.
            generator: source of the random part of each choice.
            region_of: region of each availability zone.
            host: address of this host.
        """
        self.registry = registry
        self.availability_zone = availability_zone
        self.generator = generator
        self.in_flight = InFlightRequests()
        self.late_share = LateShare()
        self.costs = RequestCosts(self.in_flight)
        self.on_acquire: Callable[[], None] = _do_nothing
        self.limits = UpstreamLimits(host, generator, registry)
        self.health = HealthTracker(generator)
        self.groups = RankGroupMonitor()
        self.shares = ClientShares()
        self.capacities = GroupCapacities(self.groups, self.in_flight)
        self.candidates = CandidateIndex(
            registry, self.groups, availability_zone, region_of
        )

    def acquire(
        self,
        configuration: Configuration,
        service: str,
        now: float,
        criteria: SelectionCriteria,
    ) -> Reservation | None:
        """Reserve a slot at the least loaded upstream; None if all are full."""
        self.in_flight.expire(now)
        settings = configuration.services.get(service) or Service(service, 0)
        if not self._allows_late(settings, criteria, now):
            return None
        best = self._select(settings, now, criteria)
        if best is None:
            return None
        is_late = criteria.urgency >= Urgency.LATE
        if is_late:
            self.late_share.record_start(service)
        self.in_flight.record_start(best.name)
        job = self.costs.start(best.name, settings, criteria.stated_work, now)
        self.on_acquire()
        rates = self.limits.record_send(best, settings, now)
        return Reservation(
            best,
            rates,
            host_count=len(self.limits.sharing.hosts),
            late_service=service if is_late else '',
            job=job,
            acquired_at=now,
        )

    def release(self, reservation: Reservation) -> None:
        """Release the slot of a request that has ended."""
        self.in_flight.record_end(reservation.upstream.name)
        if reservation.late_service:
            self.late_share.record_end(reservation.late_service)
        self.costs.end(reservation.job, time.monotonic())

    def record_event(
        self,
        upstream: Upstream,
        group: GroupStatus | None,
        engine: Engine | None,
        gap: float,
        now: float,
    ) -> None:
        """Record an event of a stream and the gap before it.

        Args:
            upstream: the upstream that sent the event.
            group: status of the group that the stream was started in, if any.
            engine: the model engine of its service, if any.
            gap: time since the previous event, in seconds; 0 for the first.
            now: monotonic seconds.
        """
        if group is None:
            self.costs.record_gap(upstream.name, engine, gap, now)
            return
        group.record_event(now)
        if self.groups.status_of(upstream.name) is group:
            members = self.groups.ranks_of_group(upstream.name)
            used = self.in_flight.total_of(members)
            group.estimator.observe(engine, len(members), used, gap, now)

    def max_in_flight(self, upstream: Upstream, service: Service) -> float:
        """Return the maximum number of requests in progress at an upstream."""
        if service.engine is not None:
            return max(service.engine.slots, 1)
        load = self.limits.notices.loads.get(upstream.name)
        slots = load.slots if load else 0
        return (slots or _DEFAULT_SLOT_COUNT) * _QUEUE_FACTOR

    def is_withdrawn(self, upstream: Upstream) -> bool:
        """Tell whether an upstream has said that it wants no requests now."""
        known = self.registry.upstreams.get(upstream.name, upstream)
        now = time.monotonic()
        return known.draining or self.limits.notices.pause_left(known, now) > 0

    def is_unavailable(self, service: str, now: float) -> bool:
        """Tell whether all upstreams of a service are down.

        Upstreams that work but have no free slot do not count as down.
        """
        candidates = self.candidates.find(service)
        return all(
            self.groups.is_broken(upstream.name, now)
            or self.health.is_zone_paused(upstream, now)
            for upstream in candidates.upstreams
        )

    def delay(
        self, service: Service, regions: frozenset[str] | None, now: float
    ) -> float:
        """Return the time until an upstream takes a request of this host.

        Full upstreams count as taking one. ``regions`` restricts the upstreams;
        it is None for any.

        Returns:
            Seconds; infinity if only other hosts may send to them.
        """
        candidates = self.candidates.find(service.name, regions)
        return self.limits.least_delay(candidates.upstreams, service, now)

    def explain_no_capacity(self, service: Service, now: float) -> str:
        """Return a summary of why no upstream of a service has a free slot.

        Callers get it as part of an error response.
        """
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
        limited = [
            upstream.name
            for upstream in accepting
            if self.limits.delay(upstream, service, now)
        ]
        taken = self.in_flight.total_of(upstream.name for upstream in accepting)
        usable = self.candidates.find(service.name).upstreams
        outside = len(accepting) - len(usable)
        return (
            f'{len(known)} upstreams known, {len(accepting)} in service, '
            f'{outside} in no rank group, '
            f'{len(paused)} paused, {len(avoided)} standing still, '
            f'{len(limited)} limited, '
            f'{taken} requests there, '
            f'{len(self.in_flight.reports)} other hosts heard'
        )

    def prune(self) -> None:
        """Discard the records of upstreams that no longer exist."""
        names = frozenset(self.registry.upstreams)
        self.health.retain(names)
        self.limits.retain(names, time.monotonic())
        self.costs.retain(names)

    def used_slots(self, service: str, regions: frozenset[str] | None) -> int:
        """Return the requests of all hosts at the upstreams of a service."""
        upstreams = self.candidates.find(service, regions).upstreams
        return self.in_flight.total_of(upstream.name for upstream in upstreams)

    def free_slots(
        self,
        service: Service,
        now: float,
        criteria: SelectionCriteria,
        enough: int,
    ) -> int:
        """Return how many slots are free for requests with ``criteria``.

        Upstreams without a rank group are counted up to ``enough`` slots.
        """
        candidates = self.candidates.find(service.name, criteria.regions)
        capacities = self.capacities.find(candidates, service, criteria, now)
        free = 0
        unlimited = set()
        for group, capacity in capacities.items():
            if capacity.room == math.inf:
                unlimited.add(group)
            else:
                free += math.ceil(max(capacity.room, 0))
        group_of = self.groups.group_by_upstream
        for upstream in candidates.upstreams if unlimited else ():
            if free >= enough:
                break
            if group_of.get(upstream.name, '') in unlimited:
                free += self._room(upstream, service, criteria, now)
        return free

    def _room(
        self,
        upstream: Upstream,
        service: Service,
        criteria: SelectionCriteria,
        now: float,
    ) -> int:
        room = self._slot_limit(upstream, service, criteria)
        room -= self.in_flight.total(upstream.name)
        # Most are full while requests wait, and the check takes longest.
        usable = room > 0 and self._is_usable(upstream, service, now)
        return room if usable else 0

    def _select(
        self,
        service: Service,
        now: float,
        criteria: SelectionCriteria,
    ) -> Upstream | None:
        """Return the upstream with the lowest score that has a free slot."""
        candidates = self.candidates.find(service.name, criteria.regions)
        capacities = self.capacities.find(candidates, service, criteria, now)
        if not any(capacity.has_room for capacity in capacities.values()):
            return None
        size = self.costs.sample_size(service, criteria.stated_work)
        for upstreams in candidates.samples(self.generator, size):
            scored = self._scored(upstreams, capacities, service, now, criteria)
            best = min(scored, key=lambda pair: pair[0], default=None)
            if best is not None:
                return best[1]
        return None

    def _scored(
        self,
        upstreams: Iterable[Upstream],
        capacities: Mapping[str, GroupCapacity],
        service: Service,
        now: float,
        criteria: SelectionCriteria,
    ) -> Iterator[tuple[float, Upstream]]:
        """Yield the upstreams with a free slot, each after its score."""
        choice = self.costs.choice(service, criteria.stated_work, now)
        group_of = self.groups.group_by_upstream
        for upstream in upstreams:
            capacity = capacities.get(group_of.get(upstream.name, ''))
            if capacity is None or not capacity.has_room:
                continue
            taken = self.in_flight.total(upstream.name)
            if (
                taken < self._slot_limit(upstream, service, criteria)
                and upstream.name not in criteria.excluded
                and self._is_usable(upstream, service, now)
                and choice.fits(upstream.name, taken)
            ):
                yield (
                    selection_score(
                        choice.load(upstream.name, taken),
                        capacity.pass_time,
                        capacity.slow,
                        upstream.availability_zone == self.availability_zone,
                        self.generator,
                    ),
                    upstream,
                )

    def _allows_late(
        self, service: Service, criteria: SelectionCriteria, now: float
    ) -> bool:
        """Tell whether the share of late requests allows this one.

        It is limited for some time after a group has recovered. Requests of
        accounts above their share count as late: many of them are, and late
        requests of other accounts go before them.
        """
        if service.engine is None or criteria.urgency < Urgency.LATE:
            return True
        candidates = self.candidates.find(service.name, criteria.regions)
        if not self.groups.has_recovered(candidates.ranks, now):
            return True
        return self.late_share.allows(
            service.name,
            service.engine.slots * len(candidates.upstreams),
            len(self.in_flight.reports) + 1,
        )

    def _slot_limit(
        self, upstream: Upstream, service: Service, criteria: SelectionCriteria
    ) -> int:
        limit = math.floor(self.max_in_flight(upstream, service))
        if service.engine is None and criteria.urgency >= Urgency.LATE:
            # An upstream with one slot has none to keep free.
            limit = max(limit - _RESERVED_SLOT_COUNT, 1)
        return limit

    def _is_usable(
        self, upstream: Upstream, service: Service, now: float
    ) -> bool:
        return not (
            self.health.is_paused(upstream, now)
            or self.limits.delay(upstream, service, now)
        )


def _do_nothing() -> None:
    """Allow calls of ``on_acquire`` before a callback is set."""
