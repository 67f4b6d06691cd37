"""What the holder of the duty lease knows of a service that it scales."""

import dataclasses
import math
from collections.abc import Iterable
from typing import Any

from .configuration import Autoscale, Service
from .scaling_plan import ScalingOrder
from .service_load import DemandTrend

__all__ = ('ServiceState',)

# Demand counts once it has lasted for a share of the boot time, within bounds.
# Bursts of 3 to 6 s, which show in the smoothed demand for 9 s, end before an
# upstream ordered for them serves.
_SUSTAINED_SHARE = 0.5
_MIN_SUSTAINED_SECONDS = 1.0
_MAX_SUSTAINED_SECONDS = 10.0
# The same for a service of rank groups, whose ranks are never removed.
_GROUP_SUSTAINED_SECONDS = 30.0
# The lowest demand of the last seconds decides how many upstreams are ordered.
_LATEST_SECONDS = 3.0
# Rising demand is extrapolated to at most this multiple of itself.
_MAX_GROWTH = 1.5
# Upstreams are removed if the demand has not needed them for this time, and for
# this multiple of the time in which they could be replaced.
_REDUCTION_SECONDS = 60.0
_REDUCTION_BOOT_TIMES = 3
# Availability zones that are remembered for a service without upstreams there.
_MAX_ZONE_COUNT = 16


@dataclasses.dataclass(slots=True)
class ServiceState:
    """What the holder knows of one service; times in seconds.

    Attributes:
        trend: the demand.
        zones: availability zones that had upstreams.
        zones_out: zones out of service.
        grown_at: when ``zones_out`` last changed or more upstreams were planned.
        accepted: orders in effect, and when they should have been carried out.
        unknown: orders of which it is not known whether they took effect.
        invalid_until: zones that get no orders, and until when.
        planned: orders to be sent.
        needed: upstreams that the demand needs.
    """

    trend: DemandTrend = dataclasses.field(default_factory=DemandTrend)
    zones: dict[str, None] = dataclasses.field(default_factory=dict)
    zones_out: frozenset[str] = frozenset()
    grown_at: float = -math.inf
    accepted: dict[str, tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )
    unknown: dict[str, ScalingOrder] = dataclasses.field(default_factory=dict)
    invalid_until: dict[str, float] = dataclasses.field(default_factory=dict)
    planned: tuple[ScalingOrder, ...] = ()
    needed: int = 0

    def ordered(self, zone: str, present: int, now: float) -> int | None:
        """Return the number in effect that has not been reached yet."""
        if zone in self.unknown:
            return self.unknown[zone].count
        if zone not in self.accepted:
            return None
        count, expected_at = self.accepted[zone]
        if present == count or now >= expected_at:
            self.accepted.pop(zone)
            return None
        return count

    def record_zones(
        self,
        present: Iterable[str],
        zones_out: frozenset[str],
        now: float,
    ) -> None:
        """Record the zones with upstreams and those out of service."""
        self.zones.update(dict.fromkeys(present))
        while len(self.zones) > _MAX_ZONE_COUNT:
            self.zones.pop(next(iter(self.zones)))
        if zones_out != self.zones_out:
            self.zones_out = zones_out
            self.grown_at = now

    def sustained_slots(self, service: Service, autoscale: Autoscale) -> float:
        """Return the lasting demand when an upstream ordered now serves."""
        return self._expected(_sustained_seconds(service, autoscale), autoscale)

    def needed_slots(self, autoscale: Autoscale) -> float:
        """Return the latest demand when an upstream ordered now serves."""
        return self._expected(_LATEST_SECONDS, autoscale)

    def highest_slots(self, autoscale: Autoscale, now: float) -> float:
        """Return the highest demand of the period before a reduction.

        It is infinite until the period is over. The period begins anew when
        zones are taken out of service or come back, and when upstreams are
        ordered, so that a demand which rises and falls has no effect.
        """
        period = max(
            _REDUCTION_SECONDS, _REDUCTION_BOOT_TIMES * autoscale.boot_time
        )
        if now - self.grown_at < period:
            return math.inf
        return self.trend.highest(period)

    def describe(self) -> dict[str, Any]:
        """Return the demand and the orders, for operators."""
        return {
            'demand_slots': round(self.trend.current, 1),
            'slope_per_s': round(self.trend.slope(), 2),
            'needed_upstreams': self.needed,
            'planned': _counts(self.planned),
            'repeated': _counts(self.unknown.values()),
            'ordered': {
                zone: count for zone, (count, _) in self.accepted.items()
            },
            'invalid': sorted(self.invalid_until),
        }

    def _expected(self, seconds: float, autoscale: Autoscale) -> float:
        lowest = self.trend.lowest(seconds)
        growth = self.trend.slope() * autoscale.boot_time
        return min(lowest + growth, lowest * _MAX_GROWTH)


def _sustained_seconds(service: Service, autoscale: Autoscale) -> float:
    if service.engine is not None and service.engine.places_experts:
        return _GROUP_SUSTAINED_SECONDS
    return min(
        max(
            _SUSTAINED_SHARE * autoscale.boot_time,
            _MIN_SUSTAINED_SECONDS,
        ),
        _MAX_SUSTAINED_SECONDS,
    )


def _counts(orders: Iterable[ScalingOrder]) -> dict[str, int]:
    return {order.zone: order.count for order in orders}
