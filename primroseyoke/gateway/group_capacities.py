"""How many more requests each rank group accepts."""

import dataclasses
import math

from ..scheduling.admission import Urgency
from .candidates import Candidates
from .capacity import DEFAULT_PASS_SECONDS
from .configuration import Engine, Service
from .in_flight import InFlightRequests
from .rank_groups import RankGroupMonitor
from .selection import GroupCapacity, SelectionCriteria

__all__ = ('GroupCapacities',)

# Share of the limit of a rank group that is kept free of late requests: a slot is
# occupied for seconds, and a response on time is worth four late ones.
_RESERVED_SLOT_SHARE = 0.2


class GroupCapacities:
    """Capacities of rank groups, from their passes and requests."""

    def __init__(
        self, groups: RankGroupMonitor, in_flight: InFlightRequests
    ) -> None:
        """Use the passes seen by ``groups`` and the requests in progress."""
        self.groups = groups
        self.in_flight = in_flight

    def find(
        self,
        candidates: Candidates,
        service: Service,
        criteria: SelectionCriteria,
        now: float,
    ) -> dict[str, GroupCapacity]:
        """Return the capacity of each rank group; the key '' is for no group.

        Stalled and broken groups are left out. A request that can be on time is
        not sent to a slow group, where it would be late, unless all groups are
        slow.
        """
        engine = service.engine
        capacities = {
            group: self._capacity(group, count, engine, criteria, now)
            for group, count in candidates.ranks.items()
            if not self.groups.is_group_avoided(group, now)
        }
        all_slow = all(
            capacity.slow for group, capacity in capacities.items() if group
        )
        if criteria.urgency is Urgency.ON_TIME and not all_slow:
            capacities = {
                group: dataclasses.replace(
                    capacity,
                    room=0 if capacity.slow else capacity.room,
                )
                for group, capacity in capacities.items()
            }
        return capacities

    def _capacity(
        self,
        group: str,
        ranks: int,
        engine: Engine | None,
        criteria: SelectionCriteria,
        now: float,
    ) -> GroupCapacity:
        """Return the capacity of a group with ``ranks`` accepting requests."""
        members = self.groups.ranks_by_group.get(group)
        if engine is None or not members:
            return GroupCapacity(
                room=math.inf, slow=False, pass_time=DEFAULT_PASS_SECONDS
            )
        estimator = self.groups.group_estimator(group)
        limit = estimator.max_requests(
            engine, len(members), criteria.longest_gap, now
        )
        # Other ranks may be draining or in a zone taken out of service.
        limit = min(limit, engine.slots * ranks)
        if criteria.urgency >= Urgency.LATE:
            limit *= 1 - _RESERVED_SLOT_SHARE
        pass_time = estimator.pass_time(now)
        return GroupCapacity(
            room=limit - self.in_flight.total_of(members),
            slow=pass_time > criteria.longest_gap,
            pass_time=pass_time,
        )
