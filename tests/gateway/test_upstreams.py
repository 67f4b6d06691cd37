"""Upstreams that come, drain, lapse and go."""

from primroseyoke.gateway.upstreams import RETURN_GRACE, Fleet, Upstream


def make(name: str, **changed: object) -> Upstream:
    fields: dict[str, object] = {
        'name': name,
        'service': 'app',
        'host': '10.0.0.1',
        'port': 80,
        'availability_zone': 'a',
    }
    return Upstream(**{**fields, **changed})


def names(fleet: Fleet) -> set[str]:
    return {upstream.name for upstream in fleet.accepting('app')}


def test_draining_and_removed_upstreams_get_nothing() -> None:
    fleet = Fleet()
    for name in ('one', 'two', 'three'):
        fleet.put(make(name))
    fleet.put(make('two', draining=True))
    fleet.drop('three', now=100)
    assert names(fleet) == {'one'}


def test_a_zone_that_is_out_gets_nothing() -> None:
    fleet = Fleet()
    fleet.put(make('one'))
    fleet.put(make('two', availability_zone='b'))
    fleet.zones_out = frozenset({'b'})
    assert names(fleet) == {'one'}


def test_an_entry_that_lapsed_while_the_store_was_away_may_come_back() -> None:
    fleet = Fleet()
    fleet.put(make('one'))
    fleet.put(make('two'))
    fleet.store_returned(100)
    fleet.replace([], now=100.1)
    assert names(fleet) == {'one', 'two'}
    fleet.put(make('one'))
    fleet.expire(100 + RETURN_GRACE)
    assert names(fleet) == {'one'}


def test_a_listing_removes_what_it_does_not_name() -> None:
    fleet = Fleet()
    fleet.put(make('one'))
    fleet.replace([make('two')], now=100)
    assert names(fleet) == {'two'}


def test_regions_bind_work() -> None:
    fleet = Fleet()
    fleet.put(make('one'))
    fleet.put(make('two', availability_zone='b'))
    regions = {'a': 'north', 'b': 'south'}
    found = fleet.accepting('app', frozenset({'south'}), regions)
    assert [upstream.name for upstream in found] == ['two']
