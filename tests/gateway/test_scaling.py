"""Orders of upstreams, against a simulated platform and demand."""

import collections
import dataclasses
import math
import random
from collections.abc import Callable

import pytest
from prometheus_client import CollectorRegistry

from primroseyoke.exceptions import ServiceRefused, ServiceUnavailable
from primroseyoke.gateway.balancer import Balancer
from primroseyoke.gateway.configuration import (
    Autoscale,
    CallerLimits,
    Configuration,
    Engine,
    Service,
)
from primroseyoke.gateway.platforms import ApiResult
from primroseyoke.gateway.routing_state import RoutingState
from primroseyoke.gateway.scaling import UpstreamScaler
from primroseyoke.gateway.scaling_metrics import ScalingMetrics
from primroseyoke.gateway.service_load import ServiceLoadReader
from primroseyoke.gateway.upstreams import Upstream
from tests.event_loop import run
from tests.standins.simulated_engines import ENGINE

ZONES = ('a', 'b', 'c')
TICK_SECONDS = 0.25
SLOTS = 6
BOOT_SECONDS = 20.0
PLAIN_MODEL = dataclasses.replace(ENGINE, slots=SLOTS, layers=0, experts=0)
# Time for which a request holds a slot.
HOLD_SECONDS = 2.0


@dataclasses.dataclass
class _Lease:
    number: int | None = 7

    def held(self) -> int | None:
        return self.number


class _Platform:
    """Boots and drains the upstreams that are ordered, and bills them.

    ``answers`` are the outcomes of the next calls; others are accepted. An
    exception with the argument ``executed`` is raised after execution.
    """

    def __init__(self, site: 'Site') -> None:
        self.site = site
        self.calls: list[tuple[float, int, str, int]] = []
        self.answers: collections.deque[ApiResult | Exception] = (
            collections.deque()
        )
        self.booting: list[tuple[float, str]] = []
        self.started = 0

    async def order_upstreams(
        self,
        holder: str,
        fencing_number: int,
        service: str,
        zone: str,
        count: int,
    ) -> ApiResult:
        assert (holder, service) == ('host-1', 'app')
        self.calls.append((self.site.now, fencing_number, zone, count))
        answer = self.answers.popleft() if self.answers else None
        executed = answer is None or 'executed' in getattr(answer, 'args', ())
        if executed:
            self._execute(zone, count)
        if isinstance(answer, Exception):
            raise answer
        return answer or ApiResult.ACCEPTED

    def _execute(self, zone: str, count: int) -> None:
        count = self.site.autoscale.clamp(count)
        there = [name for name in self.site.present if name[0] == zone]
        booting = sum(each == zone for _, each in self.booting)
        for _ in range(count - len(there) - booting):
            self.booting.append((self.site.now + BOOT_SECONDS, zone))
        for name in there[count:]:
            self.site.registry.remove(name, now=100)

    def advance(self) -> None:
        ready = [zone for at, zone in self.booting if at <= self.site.now]
        self.booting = [
            item for item in self.booting if item[0] > self.site.now
        ]
        for zone in ready:
            self.site.add(zone)


class Site:
    """A service with a scaler, in steps of virtual time."""

    def __init__(
        self,
        per_zone: tuple[int, ...],
        autoscale: Autoscale,
        engine: Engine = PLAIN_MODEL,
        cold_seconds: float = 0,
    ) -> None:
        self.now = 1000.0
        self.autoscale = autoscale
        self.cold_seconds = cold_seconds
        self.names = 0
        routing_state = RoutingState()
        self.registry = routing_state.registry
        service = Service('app', 100, engine=engine, autoscale=autoscale)
        routing_state.configuration = Configuration(
            1, (), {'app': service}, (), CallerLimits()
        )
        self.balancer = Balancer(self.registry, 'a', random.Random(1), {})
        self.arrivals: collections.Counter[str] = collections.Counter()
        self.refusals: collections.Counter[str] = collections.Counter()
        self.lease = _Lease()
        self.platform = _Platform(self)
        self.billed_seconds = 0.0
        self.refused_share = 0.0
        self.arrived = self.refused = 0.0
        self.scaler = UpstreamScaler(
            'host-1',
            self.lease,
            self.platform,
            routing_state,
            self.balancer,
            ServiceLoadReader(
                self.balancer, {}, self.arrivals, self.refusals, lambda: 1
            ),
            ScalingMetrics(CollectorRegistry()),
            lambda: self.now,
        )
        for zone, count in zip(ZONES, per_zone):
            for _ in range(count):
                self.add(zone, is_cold=False)

    @property
    def present(self) -> list[str]:
        return list(self.registry.upstreams)

    @property
    def counts(self) -> dict[str, int]:
        return dict(
            collections.Counter(
                upstream.availability_zone
                for upstream in self.registry.upstreams.values()
            )
        )

    def add(self, zone: str, is_cold: bool = True) -> str:
        self.names += 1
        name = f'{zone}{self.names}'
        cold_until = self.now + self.cold_seconds if is_cold else 0
        self.registry.put(
            Upstream(name, 'app', '10.0.0.1', 80, zone, cold_until=cold_until)
        )
        return name

    def play(self, seconds: float, demand: Callable[[float], float]) -> None:
        """Advance; ``demand`` returns the slots needed at a time from now."""

        async def scenario() -> None:
            started = self.now
            requests = refused = 0.0
            while self.now < started + seconds:
                self.now += TICK_SECONDS
                self.platform.advance()
                requested = demand(self.now - started)
                served = self._serve(requested)
                requests += requested
                refused += requested - served
                self.billed_seconds += len(self.present) * TICK_SECONDS
                await self.scaler.perform()
            self.refused_share = refused / requests if requests else 0

        run(scenario())

    def _serve(self, requested: float) -> float:
        names = [
            upstream.name
            for upstream in self.registry.accepting('app')
            if self.now >= upstream.cold_until
            and self._is_rank_or_plain(upstream.name)
        ]
        served = min(round(requested), len(names) * SLOTS)
        counts = collections.Counter(
            names[number % len(names)] for number in range(served)
        )
        self.balancer.in_flight.apply_report('other', counts, self.now)
        per_tick = TICK_SECONDS / HOLD_SECONDS
        self.arrived += requested * per_tick
        self.refused += (requested - served) * per_tick
        self.arrivals['app'] = int(self.arrived)
        self.refusals['app'] = int(self.refused)
        return served

    def _is_rank_or_plain(self, name: str) -> bool:
        group_of = self.balancer.groups.group_by_upstream
        return not group_of or name in group_of


def site(*per_zone: int, **overrides: object) -> Site:
    fields = {'min_count': 2, 'max_count': 40, 'boot_time': BOOT_SECONDS}
    autoscale = Autoscale(**{**fields, **overrides})
    return Site(per_zone, autoscale)


def rank_site(groups: int = 2, min_count: int = 26) -> Site:
    ranks = Site((22, 21, 21), Autoscale(min_count, 60, BOOT_SECONDS), ENGINE)
    for number, name in enumerate(ranks.present):
        ranks.balancer.groups.add_rank(name, f'g{number % groups}')
    return ranks


def test_a_steady_demand_is_left_alone() -> None:
    """Guards against orders that follow noise: each boot is billed."""
    steady = site(4, 4, 4)
    generator = random.Random(3)
    steady.play(300, lambda _: 52 + generator.uniform(-4, 4))
    assert not steady.platform.calls


def test_a_step_is_followed_once_and_undone_later() -> None:
    """Guards against further orders while the first ones are booting."""
    step = site(4, 4, 4)
    step.play(60, lambda _: 48)
    assert not step.platform.calls
    step.play(40, lambda _: 120)
    assert step.counts == {'a': 9, 'b': 8, 'c': 8}
    step.play(30, lambda _: 120)
    assert step.refused_share == 0
    ordered = [(zone, count) for _, _, zone, count in step.platform.calls]
    assert max(count for _, count in ordered) <= 13
    step.play(300, lambda _: 48)
    # The demand needs 12.3 upstreams at the lower utilization.
    assert sum(step.counts.values()) == 13
    calls = len(step.platform.calls)
    step.play(300, lambda _: 48)
    assert len(step.platform.calls) == calls


def test_a_short_burst_orders_nothing() -> None:
    """Guards against upstreams that are ready after the burst has ended.

    Bursts of the users' deployment last 3 to 6 s.
    """
    burst = site(8, 8, 8)
    burst.play(30, lambda _: 100)
    burst.play(6, lambda _: 180)
    burst.play(60, lambda _: 100)
    assert not burst.platform.calls


def test_a_ramp_is_served_ahead_of_the_demand() -> None:
    """Guards against orders that arrive a boot time after they are needed."""
    ramp = site(4, 4, 4)
    ramp.play(30, lambda _: 40)
    ramp.play(120, lambda at: 40 + at)
    assert ramp.refused_share < 0.01
    assert sum(ramp.counts.values()) * SLOTS < 160 * 1.7


def test_a_wave_does_not_cause_orders_in_each_period() -> None:
    """Guards against removing at each trough what the next crest needs."""
    wave = site(8, 8, 8)
    demand: Callable[[float], float] = lambda at: (
        90 + 30 * math.sin(at / 40 * math.tau)
    )
    wave.play(120, demand)
    calls = len(wave.platform.calls)
    wave.play(400, demand)
    assert wave.refused_share < 0.01
    assert len(wave.platform.calls) - calls <= 3


def test_a_zone_out_of_service_is_replaced_by_the_others() -> None:
    """Guards against orders in the zone, and against too little elsewhere."""
    zone_out = site(5, 5, 5)
    zone_out.play(90, lambda _: 66)
    zone_out.registry.zones_out = frozenset('c')
    zone_out.play(60, lambda _: 66)
    assert zone_out.counts == {'a': 7, 'b': 7, 'c': 5}
    zone_out.registry.zones_out = frozenset()
    returned_at = zone_out.now
    zone_out.play(100, lambda _: 66)
    removals = [at for at, *_ in zone_out.platform.calls if at > returned_at]
    assert min(removals) - returned_at >= 59
    # 66 slots need 16.9 upstreams at the lower utilization.
    assert zone_out.counts == {'a': 6, 'b': 6, 'c': 5}


def test_cold_upstreams_count_as_coming_capacity() -> None:
    """Guards against a second order for what cold upstreams will serve."""
    cold = Site((4, 4, 4), Autoscale(2, 40, BOOT_SECONDS), cold_seconds=30)
    cold.play(30, lambda _: 48)
    cold.play(90, lambda _: 106)
    assert sum(cold.counts.values()) == 23
    assert (
        max(
            collections.Counter(
                zone for _, _, zone, _ in cold.platform.calls
            ).values()
        )
        <= 2
    )


def test_an_order_that_is_clamped_above_the_need_is_not_sent() -> None:
    """Guards against paying for ``min`` upstreams when two are missing."""
    clamped = site(22, 21, 21, min_count=26, max_count=60)
    clamped.play(120, lambda _: 66 * SLOTS * 0.8)
    assert [call[2:] for call in clamped.platform.calls] == []


def test_needed_upstreams_go_where_the_bounds_allow_them() -> None:
    clamped = site(22, 21, 21, min_count=26, max_count=60)
    clamped.play(120, lambda _: 69 * SLOTS * 0.8 - 1)
    assert [call[2:] for call in clamped.platform.calls] == [('b', 26)]


def test_the_maximum_of_a_zone_is_not_exceeded() -> None:
    bounded = site(4, 4, 4, max_count=5)
    bounded.play(200, lambda _: 200)
    assert bounded.counts == {'a': 5, 'b': 5, 'c': 5}
    assert len(bounded.platform.calls) == 3


def test_no_upstream_is_removed_below_the_minimum() -> None:
    idle = site(4, 4, 4, min_count=3)
    idle.play(400, lambda _: 1)
    assert idle.counts == {'a': 3, 'b': 3, 'c': 3}


@pytest.mark.parametrize('share', [0, 0.5, 0.75, 0.79])
def test_no_ranks_are_ordered_while_the_groups_suffice(share: float) -> None:
    """Guards against ranks that join no group.

    With 64 ranks in 2 groups and ``min`` 26, each order resulted in 78 ranks,
    of which 14 answered 421, and the share served fell from 0.998 to 0.57.
    """
    ranks = rank_site()
    ranks.play(400, lambda _: 64 * SLOTS * share)
    assert not ranks.platform.calls


def test_ranks_are_ordered_by_whole_groups_only() -> None:
    ranks = rank_site()
    ranks.play(60, lambda _: 64 * SLOTS)
    assert sorted(call[2:] for call in ranks.platform.calls) == [
        ('a', 32),
        ('b', 32),
        ('c', 32),
    ]


def test_ranks_that_join_no_group_end_the_orders() -> None:
    """Guards against further orders when the platform forms no new groups.

    This was measured: of 96 ranks, 32 joined no group.
    """
    ranks = rank_site()
    ranks.play(600, lambda _: 64 * SLOTS)
    assert len(ranks.platform.calls) == 3
    assert sum(ranks.counts.values()) == 96


def test_a_group_that_exceeds_the_bounds_is_not_ordered_in_part() -> None:
    ranks = Site((22, 21, 21), Autoscale(2, 30, BOOT_SECONDS), ENGINE)
    for number, name in enumerate(ranks.present):
        ranks.balancer.groups.add_rank(name, f'g{number % 2}')
    ranks.play(120, lambda _: 64 * SLOTS)
    assert not ranks.platform.calls


def test_ranks_are_not_ordered_before_a_group_is_known() -> None:
    ranks = Site((8, 8, 8), Autoscale(2, 60, BOOT_SECONDS), ENGINE)
    ranks.play(120, lambda _: 24 * SLOTS)
    assert not ranks.platform.calls


def test_busy_is_followed_by_longer_and_longer_waits() -> None:
    """Guards against calls that keep the API from recovering."""
    busy = site(4, 4, 4)
    busy.play(30, lambda _: 48)
    busy.platform.answers.extend([ApiResult.BUSY] * 6)
    busy.play(80, lambda _: 100)
    times = [at for at, *_ in busy.platform.calls][:7]
    waits = [after - before for before, after in zip(times, times[1:])]
    assert waits == [1, 2, 4, 8, 8, 8]
    assert sum(busy.counts.values()) == 21


def test_an_order_with_unknown_result_is_repeated_unchanged() -> None:
    """Guards against a lost response that leaves an order undecided."""
    lost = site(4, 4, 4)
    lost.play(30, lambda _: 48)
    lost.platform.answers.append(ServiceUnavailable('executed'))
    lost.platform.answers.append(ApiResult.BUSY)
    lost.play(13, lambda _: 100)
    lost.play(60, lambda _: 116)
    orders = [call[2:] for call in lost.platform.calls]
    assert orders[0] == orders[1] == orders[2]
    assert sum(lost.counts.values()) == 25


def test_an_order_that_was_not_sent_is_decided_anew() -> None:
    refused = site(4, 4, 4)
    refused.play(30, lambda _: 48)
    refused.platform.answers.append(ServiceRefused('the lease was lost'))
    refused.play(60, lambda _: 100)
    assert not refused.scaler.states['app'].unknown
    assert sum(refused.counts.values()) == 21


def test_orders_resume_after_the_api_was_down() -> None:
    """Guards against a holder that floods an API which is down, or gives up."""
    down = site(4, 4, 4)
    down.play(30, lambda _: 48)
    down.platform.answers.extend([ServiceUnavailable('no response')] * 9)
    down.play(40, lambda _: 100)
    assert 5 <= len(down.platform.calls) <= 10
    down.play(60, lambda _: 100)
    assert sum(down.counts.values()) == 21


def test_an_invalid_order_is_not_repeated_at_once() -> None:
    invalid = site(4, 4, 4)
    invalid.play(30, lambda _: 48)
    invalid.platform.answers.extend([ApiResult.INVALID] * 3)
    invalid.play(50, lambda _: 100)
    assert len(invalid.platform.calls) == 3


def test_nothing_is_ordered_without_the_lease() -> None:
    """Guards against two hosts that order different numbers."""
    other = site(4, 4, 4)
    other.lease.number = None
    other.play(60, lambda _: 100)
    assert not other.platform.calls
    assert not other.scaler.state()
    other.lease.number = 9
    other.play(60, lambda _: 100)
    assert {call[1] for call in other.platform.calls} == {9}


def test_an_order_of_an_earlier_lease_is_not_repeated() -> None:
    """Guards against a holder that undoes what the holder before it ordered.

    The duty runner calls nothing while another host holds the lease.
    """
    lost = site(4, 4, 4)
    lost.play(30, lambda _: 48)
    lost.platform.answers.append(ServiceUnavailable('no response'))
    while not lost.platform.calls:
        lost.play(TICK_SECONDS, lambda _: 100)
    lost.lease.number = 9
    lost.play(60, lambda _: 48)
    assert len(lost.platform.calls) == 1


def test_a_new_holder_removes_nothing_before_it_knows_the_demand() -> None:
    """Guards against a reduction in a trough by a holder that just started."""
    fresh = site(8, 8, 8)
    fresh.play(58, lambda _: 20)
    assert not fresh.platform.calls
    fresh.play(30, lambda _: 20)
    assert sum(fresh.counts.values()) == 6


def test_state_names_demand_and_orders() -> None:
    shown = site(4, 4, 4)
    shown.play(30, lambda _: 48)
    shown.play(18, lambda _: 100)
    state = shown.scaler.state()['app']
    assert state['needed_upstreams'] == 21
    assert state['ordered'] == {'a': 7, 'b': 7, 'c': 7}
