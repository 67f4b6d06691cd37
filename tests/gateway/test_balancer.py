"""Selection of upstreams within their concurrency limits."""

import math
import random
import sys

import pytest

from primroseyoke.gateway.balancer import Balancer, SelectionCriteria
from primroseyoke.gateway.configuration import (
    CallerLimits,
    Configuration,
    Service,
)
from primroseyoke.gateway.requests import Load
from primroseyoke.gateway.upstreams import UpstreamRegistry
from primroseyoke.scheduling.admission import Urgency
from tests.gateway.test_upstreams import make_upstream
from tests.standins.simulated_engines import ENGINE

STREAM = SelectionCriteria(longest_gap=0.12)
LATE = SelectionCriteria(urgency=Urgency.LATE, longest_gap=0.12)


def make_balancer(count: int, host: str = '', **overrides: object) -> Balancer:
    registry = UpstreamRegistry()
    for number in range(count):
        registry.put(make_upstream(f'u{number}', **overrides))
    return Balancer(registry, 'a', random.Random(1), {}, host)


def make_configuration(service: Service) -> Configuration:
    return Configuration(1, (), {service.name: service}, (), CallerLimits())


def make_rank_group(ranks: int) -> Balancer:
    balancer = make_balancer(ranks)
    for name in balancer.registry.upstreams:
        balancer.groups.add_rank(name, 'x')
    return balancer


MODEL = make_configuration(Service('app', 100, engine=ENGINE))


def fill_slots(
    balancer: Balancer,
    now: float = 1,
    criteria: SelectionCriteria = STREAM,
) -> list[str]:
    reserved = []
    reservation = balancer.acquire(MODEL, 'app', now, criteria)
    while reservation is not None:
        reserved.append(reservation.upstream.name)
        reservation = balancer.acquire(MODEL, 'app', now, criteria)
    return reserved


def test_upstream_gets_no_more_requests_than_slots() -> None:
    balancer = make_balancer(3)
    reserved = fill_slots(balancer)
    assert len(reserved) == 18
    assert all(reserved.count(name) == 6 for name in set(reserved))


def test_requests_of_other_hosts_count_until_their_report_expires() -> None:
    balancer = make_balancer(1)
    balancer.in_flight.apply_report('other', {'u0': 5}, now=1)
    assert len(fill_slots(balancer, now=1.5)) == 1
    assert len(fill_slots(balancer, now=10)) == 5


def test_late_requests_leave_reserved_slots_of_a_group_free() -> None:
    balancer = make_rank_group(8)
    late = len(fill_slots(balancer, criteria=LATE))
    on_time = len(fill_slots(balancer))
    assert late > 24
    assert on_time >= 4


def test_late_requests_leave_reserved_slots_of_a_plain_upstream_free() -> None:
    balancer = make_balancer(1)
    balancer.limits.notices.loads['u0'] = Load(0, 0, 4)
    plain = make_configuration(Service('app', 100))
    criteria_list = [LATE] * 9 + [SelectionCriteria()] * 9
    reserved = [
        balancer.acquire(plain, 'app', 1, each) for each in criteria_list
    ]
    assert [bool(reservation) for reservation in reserved] == (
        [True] * 4 + [False] * 5 + [True] * 2 + [False] * 7
    )


@pytest.mark.parametrize('urgency', [Urgency.LATE, Urgency.ABOVE_SHARE])
def test_an_idle_upstream_with_one_slot_takes_requests_of_all_urgencies(
    urgency: Urgency,
) -> None:
    """Guards against requests that are refused while nothing else runs.

    Those of an account above its share never got a slot, and as their waits
    count as contention, the account stayed behind.
    """
    balancer = make_balancer(1)
    balancer.limits.notices.loads['u0'] = Load(0, 0, 1)
    plain = make_configuration(Service('app', 100))
    criteria = SelectionCriteria(urgency=urgency)
    assert balancer.acquire(plain, 'app', 1, criteria) is not None
    assert balancer.acquire(plain, 'app', 1, criteria) is None


def test_accounts_above_their_share_count_as_late_after_a_recovery() -> None:
    """Guards against a recovery whose slots all go to a heavy account."""
    above = SelectionCriteria(urgency=Urgency.ABOVE_SHARE, longest_gap=0.12)
    balancer = make_rank_group(8)
    stream = balancer.groups.record_stream_start('u0', 1)
    # Events resume after a stall.
    for now in (1.1, 3):
        stream.record_event(now)
    late = len(fill_slots(balancer, 3, LATE))
    assert late == math.ceil(0.4 * 8 * ENGINE.slots)
    assert not fill_slots(balancer, 3, above)
    assert fill_slots(balancer, 3)


def test_on_time_requests_avoid_slow_groups() -> None:
    """Guards against late responses while another group is fast enough."""
    balancer = make_rank_group(4)
    for name in ('u2', 'u3'):
        balancer.groups.group_by_upstream[name] = 'y'
    balancer.groups.ranks_by_group = {'x': ['u0', 'u1'], 'y': ['u2', 'u3']}
    slow = balancer.registry.upstreams['u0']
    group = balancer.groups.status_of('u0')
    for _ in range(100):
        balancer.record_event(slow, group, ENGINE, 0.2, now=1)
    assert set(fill_slots(balancer)) == {'u2', 'u3'}
    assert set(fill_slots(balancer, criteria=LATE)) == {'u0', 'u1'}


def test_slow_groups_are_used_if_all_groups_are_slow() -> None:
    balancer = make_rank_group(2)
    upstream = balancer.registry.upstreams['u0']
    group = balancer.groups.status_of('u0')
    for _ in range(100):
        balancer.record_event(upstream, group, ENGINE, 0.2, now=1)
    assert fill_slots(balancer)


def test_draining_ranks_do_not_raise_the_limit_for_late_requests() -> None:
    """Guards against late requests that occupy all slots of a group.

    Half of the eight ranks drain, as when their zone is taken out of service,
    so that the group has fewer slots than its ranks suggest.
    """
    balancer = make_rank_group(8)
    for number in range(4):
        balancer.registry.put(make_upstream(f'u{number}', draining=True))
    assert len(fill_slots(balancer, criteria=LATE)) < 24


def test_service_is_unavailable_if_all_its_groups_are_broken() -> None:
    balancer = make_rank_group(2)
    assert not balancer.is_unavailable('app', now=1)
    balancer.groups.record_rejection('u0', now=1)
    assert balancer.is_unavailable('app', now=1.5)
    balancer.groups.mark_open('x')
    assert not balancer.is_unavailable('app', now=1.5)


def test_released_reservation_frees_a_slot() -> None:
    balancer = make_balancer(1)
    reservation = balancer.acquire(MODEL, 'app', 1, STREAM)
    fill_slots(balancer)
    balancer.release(reservation)
    assert len(fill_slots(balancer)) == 1


def test_failed_upstream_is_paused() -> None:
    balancer = make_balancer(2)
    balancer.health.record_failure('u0', now=1)
    assert set(fill_slots(balancer, now=1.1)) == {'u1'}
    assert 'u0' in fill_slots(balancer, now=3)


def test_unreachable_zone_is_paused() -> None:
    balancer = make_balancer(3)
    upstreams = tuple(balancer.registry.upstreams.values())
    balancer.health.record_unreachable(upstreams[0], now=1)
    assert len(set(fill_slots(balancer, now=1.1))) == 2
    balancer.health.record_unreachable(upstreams[1], now=1.2)
    for name, count in tuple(balancer.in_flight.running.items()):
        for _ in range(count):
            balancer.in_flight.record_end(name)
    assert not fill_slots(balancer, now=1.3)
    balancer.health.record_zone_reachable('a')
    assert fill_slots(balancer, now=1.4)


def test_stalled_group_is_avoided() -> None:
    balancer = make_balancer(4)
    for name, group in (('u0', 'x'), ('u1', 'x'), ('u2', 'y'), ('u3', 'y')):
        balancer.groups.add_rank(name, group)
    balancer.groups.record_stream_start('u0', now=1)
    assert set(fill_slots(balancer, now=2)) == {'u2', 'u3'}


def test_long_passes_lower_the_limit_of_a_group() -> None:
    balancer = make_rank_group(2)
    balancer.in_flight.apply_report('other', {'u0': 3, 'u1': 3}, now=1)
    upstream = balancer.registry.upstreams['u0']
    stream = balancer.groups.record_stream_start('u0', now=1)
    for _ in range(100):
        balancer.record_event(upstream, stream, ENGINE, 0.11, now=1)
    assert len(fill_slots(balancer, now=1)) < 2


def test_cold_rate_is_shared_evenly_by_the_hosts() -> None:
    cold = make_configuration(Service('app', 100, cold_rate=8))
    hosts = ('a', 'b', 'c')
    sent = dict.fromkeys(hosts, 0)
    for host in hosts:
        balancer = make_balancer(1, cold_until=1000, host=host)
        balancer.limits.sharing.update_hosts(hosts)
        for tick in range(1000):
            reservation = balancer.acquire(
                cold, 'app', tick / 100, SelectionCriteria()
            )
            if reservation is not None:
                sent[host] += 1
                balancer.release(reservation)
    assert 72 <= sum(sent.values()) <= 80
    assert max(sent.values()) - min(sent.values()) <= 1


def test_plain_services_are_limited_by_their_reported_slots() -> None:
    balancer = make_balancer(1)
    balancer.limits.notices.loads['u0'] = Load(0, 0, 2)
    plain = make_configuration(Service('app', 100))
    reserved = [
        balancer.acquire(plain, 'app', 1, SelectionCriteria()) for _ in range(5)
    ]
    assert len([reservation for reservation in reserved if reservation]) == 3


def steps_of(work) -> int:
    """Return the number of Python calls and lines, which no load changes."""
    count = 0

    def trace(*_event):
        nonlocal count
        count += 1
        return trace

    sys.settrace(trace)
    try:
        work()
    finally:
        sys.settrace(None)
    return count


@pytest.mark.parametrize('is_full', [True, False])
def test_a_choice_costs_the_same_with_many_upstreams(is_full: bool) -> None:
    """Guards against choices that look at each upstream of the deployment.

    When all slots are taken, each waiting request chooses again and again.
    """
    costs = []
    for count in (48, 600):
        balancer = make_rank_group(count)
        taken = 6 if is_full else 1
        balancer.in_flight.apply_report(
            'other', dict.fromkeys(balancer.registry.upstreams, taken), 1
        )
        balancer.acquire(MODEL, 'app', 1, STREAM)
        costs.append(
            steps_of(lambda: balancer.acquire(MODEL, 'app', 1, STREAM))
        )
    # One line for each rank of a group sums up its requests.
    assert costs[1] < costs[0] + 3 * 600


def test_a_free_upstream_outside_the_sample_is_found() -> None:
    balancer = make_balancer(200)
    names = list(balancer.registry.upstreams)
    balancer.in_flight.apply_report('other', dict.fromkeys(names[1:], 6), 1)
    reservation = balancer.acquire(MODEL, 'app', 1, STREAM)
    assert reservation.upstream.name == names[0]


def test_changes_of_upstreams_and_zones_apply_to_the_next_choice() -> None:
    """Guards against an index that outlives the upstreams it was made of."""
    balancer = make_balancer(3)
    assert balancer.acquire(MODEL, 'app', 1, STREAM)
    for number in range(3):
        balancer.registry.put(make_upstream(f'u{number}', draining=True))
    assert balancer.acquire(MODEL, 'app', 1, STREAM) is None
    balancer.registry.put(make_upstream('new', availability_zone='b'))
    assert balancer.acquire(MODEL, 'app', 1, STREAM).upstream.name == 'new'
    balancer.registry.zones_out = frozenset('b')
    assert balancer.acquire(MODEL, 'app', 1, STREAM) is None


def make_group_with_ungrouped(ranks: int, ungrouped: int) -> Balancer:
    balancer = make_balancer(ranks + ungrouped)
    for name in list(balancer.registry.upstreams)[:ranks]:
        balancer.groups.add_rank(name, 'x' if name < 'u4' else 'y')
    return balancer


def test_upstreams_in_no_rank_group_get_no_requests() -> None:
    """Guards against requests to ranks that have joined no group.

    When 78 upstreams of a service with groups of 32 were ordered, 14 joined
    no group. They answered 421 to every request, looked idle for that reason
    and got most of them: the share served fell from 0.998 to 0.57.
    """
    balancer = make_group_with_ungrouped(ranks=64, ungrouped=14)
    ranks = set(balancer.groups.group_by_upstream)
    assert len(ranks) == 64
    assert set(fill_slots(balancer)) == ranks
    other_region = SelectionCriteria(regions=frozenset({'elsewhere'}))
    assert balancer.acquire(MODEL, 'app', 1, other_region) is None
    assert '14 in no rank group' in balancer.explain_no_capacity(
        MODEL.services['app'], now=1
    )


def test_upstreams_serve_before_any_group_is_known() -> None:
    """Guards against a start that waits for the first reports of the ranks."""
    balancer = make_group_with_ungrouped(ranks=0, ungrouped=4)
    assert set(fill_slots(balancer)) == set(balancer.registry.upstreams)


def test_upstreams_without_group_serve_if_no_rank_accepts_requests() -> None:
    """Guards against an outage while a whole group drains and is replaced."""
    balancer = make_group_with_ungrouped(ranks=2, ungrouped=2)
    assert set(fill_slots(balancer)) == {'u0', 'u1'}
    for name in ('u0', 'u1'):
        balancer.registry.put(make_upstream(name, draining=True))
    assert set(fill_slots(balancer)) == {'u2', 'u3'}


def test_upstreams_without_group_do_not_hide_an_outage_of_all_groups() -> None:
    """Guards against waiting callers when only unusable upstreams are left."""
    balancer = make_group_with_ungrouped(ranks=2, ungrouped=2)
    balancer.groups.record_rejection('u0', now=1)
    assert balancer.is_unavailable('app', now=1.5)
