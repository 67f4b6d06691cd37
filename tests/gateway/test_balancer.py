"""Choice of upstreams within what each bears."""

import random

from primroseyoke.gateway.balancer import Balancer, Demand
from primroseyoke.gateway.catalogue import (
    CallerLimits,
    Catalogue,
    Engine,
    Service,
)
from primroseyoke.gateway.requests import Load
from primroseyoke.gateway.upstreams import Fleet
from tests.gateway.test_upstreams import make

ENGINE = Engine(
    slots=6,
    memory_tokens=140000,
    step=0.00455,
    per_sequence=0.00181,
    stride=4,
    tokens_per_second=61400,
    layers=6,
    experts=64,
)
STREAM = Demand(longest_gap=0.12)


def make_balancer(count: int, **changed: object) -> Balancer:
    fleet = Fleet()
    for number in range(count):
        fleet.put(make(f'u{number}', **changed))
    return Balancer(fleet, 'a', random.Random(1), {})


def catalogue(service: Service) -> Catalogue:
    return Catalogue(1, (), {service.name: service}, (), CallerLimits())


MODEL = catalogue(Service('app', 100, engine=ENGINE))


def fill(
    balancer: Balancer, now: float = 1, demand: Demand = STREAM
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
    balancer.hear('other', {'u0': 5}, now=1)
    assert len(fill(balancer, now=1.5)) == 1
    assert len(fill(balancer, now=10)) == 5


def test_late_requests_leave_places_to_others() -> None:
    balancer = make_balancer(1)
    assert len(fill(balancer, demand=Demand(spare=2))) == 4
    assert len(fill(balancer)) == 2


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
    balancer.running.clear()
    assert not fill(balancer, now=1.3)
    balancer.health.reach('a')
    assert fill(balancer, now=1.4)


def test_a_group_that_stands_still_is_avoided() -> None:
    balancer = make_balancer(4)
    for name, group in (('u0', 'x'), ('u1', 'x'), ('u2', 'y'), ('u3', 'y')):
        balancer.groups.learn(name, group)
    balancer.groups.begin('u0', now=1)
    assert set(fill(balancer, now=2)) == {'u2', 'u3'}


def test_long_passes_lower_the_limit_but_not_below_its_floor() -> None:
    balancer = make_balancer(2)
    for name in ('u0', 'u1'):
        balancer.groups.learn(name, 'x')
    balancer.groups.begin('u0', now=1)
    for _ in range(100):
        balancer.groups.move('u0', now=1, gap=0.2)
    balancer.hear('other', {'u0': 3, 'u1': 3}, now=1)
    assert len(fill(balancer, now=1)) == 2


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
