"""Registry of upstreams: draining, removal and store outages."""

from primroseyoke.gateway.upstreams import (
    STORE_RECOVERY_GRACE_SECONDS,
    Upstream,
    UpstreamRegistry,
)


def make_upstream(name: str, **overrides: object) -> Upstream:
    fields: dict[str, object] = {
        'name': name,
        'service': 'app',
        'host': '10.0.0.1',
        'port': 80,
        'availability_zone': 'a',
    }
    return Upstream(**{**fields, **overrides})


def accepting_names(registry: UpstreamRegistry) -> set[str]:
    return {upstream.name for upstream in registry.accepting('app')}


def test_draining_and_removed_upstreams_are_not_accepting() -> None:
    registry = UpstreamRegistry()
    for name in ('one', 'two', 'three'):
        registry.put(make_upstream(name))
    registry.put(make_upstream('two', draining=True))
    registry.remove('three', now=100)
    assert accepting_names(registry) == {'one'}


def test_upstreams_in_a_zone_taken_out_are_not_accepting() -> None:
    registry = UpstreamRegistry()
    registry.put(make_upstream('one'))
    registry.put(make_upstream('two', availability_zone='b'))
    registry.zones_out = frozenset({'b'})
    assert accepting_names(registry) == {'one'}


def test_entry_that_lapsed_during_a_store_outage_may_return() -> None:
    registry = UpstreamRegistry()
    registry.put(make_upstream('one'))
    registry.put(make_upstream('two'))
    registry.record_store_recovery(100)
    registry.replace_all([], now=100.1)
    assert accepting_names(registry) == {'one', 'two'}
    registry.put(make_upstream('one'))
    registry.expire(100 + STORE_RECOVERY_GRACE_SECONDS)
    assert accepting_names(registry) == {'one'}


def test_listing_removes_upstreams_it_does_not_contain() -> None:
    registry = UpstreamRegistry()
    registry.put(make_upstream('one'))
    registry.replace_all([make_upstream('two')], now=100)
    assert accepting_names(registry) == {'two'}


def test_only_upstreams_in_allowed_regions_are_accepting() -> None:
    registry = UpstreamRegistry()
    registry.put(make_upstream('one'))
    registry.put(make_upstream('two', availability_zone='b'))
    regions = {'a': 'north', 'b': 'south'}
    found = registry.accepting('app', frozenset({'south'}), regions)
    assert [upstream.name for upstream in found] == ['two']
    assert not registry.accepting('app', frozenset(), regions)
    assert len(registry.accepting('app', None, regions)) == 2
