"""Choice of upstreams within what each bears."""

import random

from primroseyoke.gateway.balancer import Balancer, Demand
from primroseyoke.gateway.catalogue import (
    CallerLimits,
    Catalogue,
    Service,
)
from primroseyoke.gateway.requests import Load
from primroseyoke.gateway.upstreams import Fleet
from primroseyoke.gateway.waiting import Urgency
from tests.gateway.test_upstreams import make
from tests.standins.simulated_engines import ENGINE

STREAM = Demand(longest_gap=0.12)
LATE = Demand(urgency=Urgency.LATE, longest_gap=0.12)


def make_balancer(count: int, **changed: object) -> Balancer:
    fleet = Fleet()
    for number in range(count):
        fleet.put(make(f'u{number}', **changed))
    return Balancer(fleet, 'a', random.Random(1), {})


def catalogue(service: Service) -> Catalogue:
    return Catalogue(1, (), {service.name: service}, (), CallerLimits())


def make_group(ranks: int) -> Balancer:
    balancer = make_balancer(ranks)
    for name in balancer.fleet.upstreams:
        balancer.groups.learn(name, 'x')
    return balancer


MODEL = catalogue(Service('app', 100, engine=ENGINE))


def fill(
    balancer: Balancer,
    now: float = 1,
    demand: Demand = STREAM,
) -> list[str]:
    taken = []
    place = balancer.acquire(MODEL, 'app', now, demand)
    while place is not None:
        taken.append(place.upstream.name)
        place = balancer.acquire(MODEL, 'app', now, demand)
    return taken


def test_no_upstream_gets_more_than_its_slots() -> None:
    balancer = make_balancer(3)
    taken = fill(balancer)
    assert len(taken) == 18
    assert all(taken.count(name) == 6 for name in set(taken))


def test_requests_of_other_hosts_count_while_the_news_is_fresh() -> None:
    balancer = make_balancer(1)
    balancer.usage.hear('other', {'u0': 5}, now=1)
    assert len(fill(balancer, now=1.5)) == 1
    assert len(fill(balancer, now=10)) == 5


def test_late_requests_leave_places_of_a_group_to_others() -> None:
    balancer = make_group(8)
    late = len(fill(balancer, demand=LATE))
    on_time = len(fill(balancer))
    assert late > 24
    assert on_time >= 4


def test_late_requests_leave_places_of_a_plain_upstream_to_others() -> None:
    balancer = make_balancer(1)
    balancer.health.succeed('u0', Load(0, 0, 4))
    plain = catalogue(Service('app', 100))
    demands = [LATE] * 9 + [Demand()] * 9
    taken = [balancer.acquire(plain, 'app', 1, each) for each in demands]
    assert [bool(place) for place in taken] == (
        [True] * 4 + [False] * 5 + [True] * 2 + [False] * 7
    )


def test_requests_on_time_avoid_a_group_whose_pauses_are_too_long() -> None:
    """Guards against an answer that is late though another place gets free."""
    balancer = make_group(4)
    for name in ('u2', 'u3'):
        balancer.groups.members[name] = 'y'
    balancer.groups.ranks = {'x': ['u0', 'u1'], 'y': ['u2', 'u3']}
    slow = balancer.fleet.upstreams['u0']
    for _ in range(100):
        balancer.move(slow, ENGINE, 0.2, now=1)
    assert set(fill(balancer)) == {'u2', 'u3'}
    assert set(fill(balancer, demand=LATE)) == {'u0', 'u1'}


def test_if_all_groups_are_slow_requests_go_there() -> None:
    balancer = make_group(2)
    for _ in range(100):
        balancer.move(balancer.fleet.upstreams['u0'], ENGINE, 0.2, now=1)
    assert fill(balancer)


def test_ranks_that_take_no_requests_leave_no_places_to_late_ones() -> None:
    """Guards against late requests that take all places of a group.

    Of eight ranks, those of a zone that was taken out get no requests.
    """
    balancer = make_group(8)
    for number in range(4):
        balancer.fleet.put(make(f'u{number}', draining=True))
    assert len(fill(balancer, demand=LATE)) < 24


def test_a_service_whose_groups_are_broken_is_out() -> None:
    balancer = make_group(2)
    assert not balancer.is_out('app', now=1)
    balancer.groups.reject('u0', now=1)
    assert balancer.is_out('app', now=1.5)
    balancer.groups.reopen('x')
    assert not balancer.is_out('app', now=1.5)


def test_a_released_place_can_be_taken_again() -> None:
    balancer = make_balancer(1)
    place = balancer.acquire(MODEL, 'app', 1, STREAM)
    fill(balancer)
    balancer.release(place)
    assert len(fill(balancer)) == 1


def test_an_upstream_that_failed_is_avoided_for_a_while() -> None:
    balancer = make_balancer(2)
    balancer.health.fail('u0', now=1)
    assert set(fill(balancer, now=1.1)) == {'u1'}
    assert 'u0' in fill(balancer, now=3)


def test_a_zone_whose_upstreams_cannot_be_reached_is_avoided() -> None:
    balancer = make_balancer(3)
    upstreams = tuple(balancer.fleet.upstreams.values())
    balancer.health.lose(upstreams[0], now=1)
    assert len(set(fill(balancer, now=1.1))) == 2
    balancer.health.lose(upstreams[1], now=1.2)
    for name, count in tuple(balancer.usage.running.items()):
        for _ in range(count):
            balancer.usage.end(name)
    assert not fill(balancer, now=1.3)
    balancer.health.reach('a')
    assert fill(balancer, now=1.4)


def test_a_group_that_stands_still_is_avoided() -> None:
    balancer = make_balancer(4)
    for name, group in (('u0', 'x'), ('u1', 'x'), ('u2', 'y'), ('u3', 'y')):
        balancer.groups.learn(name, group)
    balancer.groups.begin('u0', now=1)
    assert set(fill(balancer, now=2)) == {'u2', 'u3'}


def test_long_passes_lower_the_limit_of_a_group() -> None:
    balancer = make_group(2)
    balancer.usage.hear('other', {'u0': 3, 'u1': 3}, now=1)
    balancer.groups.begin('u0', now=1)
    for _ in range(100):
        balancer.move(balancer.fleet.upstreams['u0'], ENGINE, 0.11, now=1)
    assert len(fill(balancer, now=1)) < 2


def test_cold_upstreams_get_an_even_share_of_what_they_bear() -> None:
    balancer = make_balancer(1, cold_until=1000)
    balancer.hosts = 3
    cold = catalogue(Service('app', 100, cold_rate=8))
    sent = 0
    for tick in range(1000):
        place = balancer.acquire(cold, 'app', tick / 100, Demand())
        if place is not None:
            sent += 1
            balancer.release(place)
    assert 18 <= sent <= 21


def test_plain_services_are_limited_by_their_reported_slots() -> None:
    balancer = make_balancer(1)
    balancer.health.succeed('u0', Load(0, 0, 2))
    plain = catalogue(Service('app', 100))
    taken = [balancer.acquire(plain, 'app', 1, Demand()) for _ in range(5)]
    assert len([place for place in taken if place]) == 3
