"""Differences between two configurations."""

import dataclasses

from primroseyoke.gateway.configuration import (
    Autoscale,
    CallerLimits,
    Client,
    Configuration,
    Service,
)
from primroseyoke.gateway.configuration_difference import (
    EntryAdded,
    EntryRemoved,
    FieldChanged,
    KeysChanged,
    Section,
    compare_configurations,
)
from tests.gateway.test_configuration_findings import ROUTE, altered

BEFORE = Configuration(
    version=1,
    routes=(ROUTE,),
    services={'app': Service('app', 100)},
    clients=(Client('a', frozenset({'key-1', 'key-2'})),),
    limits=CallerLimits(),
)


def test_equal_configurations_have_no_differences() -> None:
    """Guards against differences that are none, such as the version."""
    after = dataclasses.replace(BEFORE, version=2)
    assert compare_configurations(BEFORE, after) == ()


def test_added_and_removed_entries_are_told() -> None:
    after = dataclasses.replace(
        BEFORE,
        routes=(altered(name='new'),),
        services={},
        clients=(*BEFORE.clients, Client('b', frozenset())),
    )
    assert compare_configurations(BEFORE, after) == (
        EntryRemoved(Section.ROUTE, 'lookup'),
        EntryAdded(Section.ROUTE, 'new'),
        EntryRemoved(Section.SERVICE, 'app'),
        EntryAdded(Section.CLIENT, 'b'),
    )


def test_changed_fields_are_told_with_their_values() -> None:
    after = dataclasses.replace(
        BEFORE,
        routes=(altered(timeout=2.0, priority=1),),
        services={'app': Service('app', 100, autoscale=Autoscale(1, 2, 3))},
        limits=CallerLimits(body_bytes=1),
    )
    service = (Section.SERVICE, 'app')
    assert compare_configurations(BEFORE, after) == (
        FieldChanged(Section.ROUTE, 'lookup', 'timeout', 4.0, 2.0),
        FieldChanged(Section.ROUTE, 'lookup', 'priority', 5, 1),
        FieldChanged(*service, 'autoscale.min_count', None, 1),
        FieldChanged(*service, 'autoscale.max_count', None, 2),
        FieldChanged(*service, 'autoscale.boot_time', None, 3),
        FieldChanged(Section.LIMITS, '', 'body_bytes', 4194304, 1),
    )


def test_routes_of_one_name_are_compared_in_order() -> None:
    """Guards against a lost entry where names repeat."""
    before = dataclasses.replace(BEFORE, routes=(ROUTE, altered(prefix='/a/')))
    after = dataclasses.replace(BEFORE, routes=(ROUTE, altered(prefix='/b/')))
    expected = FieldChanged(Section.ROUTE, 'lookup', 'prefix', '/a/', '/b/')
    assert compare_configurations(before, after) == (expected,)


def test_changed_keys_are_told_by_number_only() -> None:
    """Guards against API keys in the output."""
    keys = frozenset({'key-2', 'key-3', 'key-4'})
    after = dataclasses.replace(BEFORE, clients=(Client('a', keys),))
    differences = compare_configurations(BEFORE, after)
    assert differences == (KeysChanged('a', added=2, removed=1),)
    assert 'key-' not in repr(differences)
