"""Decides how many upstreams of a service to order in each zone."""

import dataclasses
import functools
import math
from collections.abc import Callable, Iterable

from .configuration import Autoscale

__all__ = (
    'Demand',
    'GroupCapacity',
    'PlainCapacity',
    'ScalingOrder',
    'ZoneCount',
    'needed_upstreams',
    'plan_orders',
)

# Share of the slots that the demand may use before more upstreams are ordered,
# and the share that it may use after a reduction. The distance between them
# keeps a reduction from causing the next increase.
_MAX_UTILIZATION = 0.8
_REDUCED_UTILIZATION = 0.65


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneCount:
    """Upstreams of a service in one availability zone.

    ``present`` are registered and not draining, cold ones included. ``ordered``
    is the number of the last order whose upstreams may not have arrived or left
    yet, None if there is no such order.
    """

    zone: str
    present: int
    ordered: int | None = None
    is_out: bool = False

    @property
    def count(self) -> int:
        """Return the upstreams present once the last order took effect."""
        return self.present if self.ordered is None else self.ordered


@dataclasses.dataclass(frozen=True, slots=True)
class PlainCapacity:
    """Capacity of a service whose upstreams serve on their own."""

    slots: float


@dataclasses.dataclass(frozen=True, slots=True)
class GroupCapacity:
    """Capacity of a service whose upstreams serve in rank groups.

    ``slots`` are those of one rank, ``group_size`` the ranks per group, 0 if no
    group is known. ``grouped`` ranks are in a group and ``ungrouped`` ones in
    none.
    """

    slots: float
    group_size: int
    grouped: int
    ungrouped: int


Capacity = PlainCapacity | GroupCapacity


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What the decision about a service is made on; demand in slots.

    ``sustained`` is the demand that has lasted for some time and decides
    whether upstreams are ordered, ``needed`` that of the last seconds, which
    decides how many. Both are as expected when an upstream ordered now serves.
    ``highest`` is the highest demand of the period after which a reduction is
    considered; it is infinite while that period is not recorded.
    """

    sustained: float
    needed: float
    highest: float
    capacity: Capacity
    zones: tuple[ZoneCount, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ScalingOrder:
    """An order that the number of upstreams in a zone be ``count``."""

    zone: str
    count: int
    reason: str
    is_increase: bool


def plan_orders(
    demand: Demand, autoscale: Autoscale
) -> tuple[ScalingOrder, ...]:
    """Return the orders that bring the upstreams to what the demand needs.

    No order is returned that the platform would clamp, that changes nothing, or
    whose result exceeds what the demand needs. Zones taken out of service get
    no orders and do not count as capacity.
    """
    counts = {zone.zone: zone.count for zone in demand.zones if not zone.is_out}
    target = _target(demand.capacity, demand)
    if target is None:
        return ()
    total = sum(counts.values())
    planned = _distribute(counts, target, autoscale)
    if isinstance(demand.capacity, GroupCapacity) and (
        sum(planned.values()) != target
    ):
        # A part of a group serves nothing.
        return ()
    reason = f'the demand needs {target} upstreams; {total} present or ordered'
    return tuple(
        ScalingOrder(zone, count, reason, count > counts[zone])
        for zone, count in planned.items()
        if count != counts[zone]
    )


def needed_upstreams(capacity: Capacity, slots: float) -> int:
    """Return the number of upstreams for a demand of ``slots``."""
    return math.ceil(slots / (capacity.slots * _MAX_UTILIZATION))


@functools.singledispatch
def _target(capacity: Capacity, demand: Demand) -> int | None:
    """Return the number of upstreams to have in all zones; None to keep it."""
    raise TypeError(f'no rule for the capacity {capacity!r}')


@_target.register
def _(capacity: PlainCapacity, demand: Demand) -> int | None:
    total = sum(zone.count for zone in demand.zones if not zone.is_out)
    if needed_upstreams(capacity, demand.sustained) > total:
        return needed_upstreams(capacity, demand.needed)
    highest = max(demand.highest, demand.needed)
    if math.isinf(highest):
        return None
    enough = math.ceil(highest / (capacity.slots * _REDUCED_UTILIZATION))
    return enough if enough < total else None


@_target.register
def _(capacity: GroupCapacity, demand: Demand) -> int | None:
    """Add one whole group; never remove ranks.

    The platform chooses which upstreams leave, and one lost rank stops its
    whole group. While as many ranks as a group has are in none, more of them
    would not form one either.
    """
    needed = needed_upstreams(capacity, demand.sustained)
    if (
        not capacity.group_size
        or any(zone.is_out for zone in demand.zones)
        or capacity.ungrouped >= capacity.group_size
        or needed <= capacity.grouped
    ):
        return None
    target = capacity.grouped + capacity.group_size
    total = sum(zone.count for zone in demand.zones)
    return target if target > total else None


def _distribute(
    counts: dict[str, int], target: int, autoscale: Autoscale
) -> dict[str, int]:
    """Return the number for each zone, as close to ``target`` as bounds allow.

    The sum moves towards the target and not past it; zones with the fewest
    upstreams grow first, those with the most shrink first.
    """
    planned = dict(counts)
    total = sum(planned.values())
    is_growth = target > total
    while total != target:
        step = _next_step(
            sorted(planned.items(), key=_by_count, reverse=not is_growth),
            target - total,
            _grown if is_growth else _shrunk,
            autoscale,
        )
        if step is None:
            break
        zone, count = step
        total += count - planned[zone]
        planned[zone] = count
    return planned


def _next_step(
    zones: Iterable[tuple[str, int]],
    missing: int,
    changed: Callable[[int, Autoscale], int],
    autoscale: Autoscale,
) -> tuple[str, int] | None:
    """Return the first zone that can change by at most ``missing``."""
    for zone, count in zones:
        new_count = changed(count, autoscale)
        if count != new_count and abs(new_count - count) <= abs(missing):
            return zone, new_count
    return None


def _by_count(item: tuple[str, int]) -> tuple[int, str]:
    zone, count = item
    return count, zone


def _grown(count: int, autoscale: Autoscale) -> int:
    """Return the next higher number that can be ordered, if any."""
    return max(count, autoscale.clamp(count + 1))


def _shrunk(count: int, autoscale: Autoscale) -> int:
    """Return the next lower number that can be ordered, if any."""
    return min(count, autoscale.clamp(count - 1))
