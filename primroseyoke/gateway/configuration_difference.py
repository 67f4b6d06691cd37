"""Difference between two configurations."""

import dataclasses
import enum
from collections.abc import Iterable, Mapping
from typing import Any

from .configuration import Client, Configuration

__all__ = (
    'Difference',
    'EntryAdded',
    'EntryRemoved',
    'FieldChanged',
    'KeysChanged',
    'Section',
    'compare_configurations',
)

# API keys are secret; ``KeysChanged`` tells only how many of them changed.
_SECRET_FIELD = 'keys'


class Section(enum.Enum):
    """Part of a configuration that an entry belongs to."""

    ROUTE = 'route'
    SERVICE = 'service'
    CLIENT = 'client'
    LIMITS = 'limits'


@dataclasses.dataclass(frozen=True, slots=True)
class EntryAdded:
    """An entry that only the new configuration has."""

    section: Section
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class EntryRemoved:
    """An entry that only the old configuration has."""

    section: Section
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class FieldChanged:
    """A field of an entry that both configurations have.

    ``field`` is the attribute in ``configuration``, that of a nested object
    after a dot (``engine.slots``). Values are in the units of that module;
    None if one of the configurations has no such object.
    """

    section: Section
    name: str
    field: str
    before: Any
    after: Any


@dataclasses.dataclass(frozen=True, slots=True)
class KeysChanged:
    """Numbers of API keys that were added to and removed from an account."""

    name: str
    added: int
    removed: int


Difference = EntryAdded | EntryRemoved | FieldChanged | KeysChanged


def compare_configurations(
    before: Configuration, after: Configuration
) -> tuple[Difference, ...]:
    """Return the differences: routes, services, accounts, then limits.

    Entries are compared by name; of several with one name, the first with the
    first, and so on. The version is not compared.
    """
    return (
        *_compare_entries(Section.ROUTE, before.routes, after.routes),
        *_compare_entries(
            Section.SERVICE, before.services.values(), after.services.values()
        ),
        *_compare_entries(Section.CLIENT, before.clients, after.clients),
        *_compare_fields(Section.LIMITS, '', before.limits, after.limits),
    )


def _compare_entries(
    section: Section, before: Iterable[Any], after: Iterable[Any]
) -> Iterable[Difference]:
    old = _entries_by_name(before)
    new = _entries_by_name(after)
    for identity in old:
        if identity not in new:
            yield EntryRemoved(section, identity[0])
    for identity, entry in new.items():
        if identity not in old:
            yield EntryAdded(section, identity[0])
        elif entry != old[identity]:
            yield from _compare_fields(
                section, identity[0], old[identity], entry
            )


def _entries_by_name(entries: Iterable[Any]) -> dict[tuple[str, int], Any]:
    """Return entries by name and number among those of the same name."""
    counts: dict[str, int] = {}
    by_name = {}
    for entry in entries:
        number = counts.get(entry.name, 0)
        counts[entry.name] = number + 1
        by_name[(entry.name, number)] = entry
    return by_name


def _compare_fields(
    section: Section, name: str, before: Any, after: Any
) -> Iterable[Difference]:
    old = _flatten(before)
    new = _flatten(after)
    # A dictionary and not a set, so that the order is that of the fields.
    fields = {**old, **new}
    for field in fields:
        if old.get(field) != new.get(field):
            yield FieldChanged(
                section, name, field, old.get(field), new.get(field)
            )
    if isinstance(before, Client) and before.keys != after.keys:
        yield KeysChanged(
            name,
            added=len(after.keys - before.keys),
            removed=len(before.keys - after.keys),
        )


def _flatten(entry: Any) -> Mapping[str, Any]:
    values: dict[str, Any] = {}
    for field in dataclasses.fields(entry):
        if field.name == _SECRET_FIELD:
            continue
        content = getattr(entry, field.name)
        if dataclasses.is_dataclass(content):
            for inner, inner_value in _flatten(content).items():
                values[f'{field.name}.{inner}'] = inner_value
        else:
            values[field.name] = content
    return values
