"""Differences of configurations in the terms of the platform's operators."""

import dataclasses
import functools
import math
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

from ..gateway.configuration import Execution, Target
from ..gateway.configuration_difference import (
    EntryAdded,
    EntryRemoved,
    FieldChanged,
    KeysChanged,
    Section,
)

__all__ = ('DifferenceText', 'describe_difference', 'format_number')

_MS_PER_SECOND = 1000
# Digits kept after conversion of seconds to milliseconds, which is inexact.
_DIGITS = 6

_SECTIONS: Mapping[Section, str] = MappingProxyType(
    {
        Section.ROUTE: 'routes',
        Section.SERVICE: 'services',
        Section.CLIENT: 'tenants',
        Section.LIMITS: 'limits',
    }
)
_KINDS: Mapping[Execution, str] = MappingProxyType(
    {
        Execution.IDEMPOTENT: 'idempotent',
        Execution.NON_IDEMPOTENT: 'non_idempotent',
        Execution.STREAM: 'streaming',
    }
)
# Fields in seconds that the file has in milliseconds.
_MS_FIELDS: Mapping[str, str] = MappingProxyType(
    {
        'timeout': 'timeoutMs',
        'objective': 'aimMs',
        'gap_objective': 'gapAimMs',
        'engine.step_time': 'engine.step_ms',
        'engine.sequence_time': 'engine.per_seq_ms',
        'engine.report_age': 'engine.report_lag_ms',
        'header_timeout': 'headerTimeoutMs',
        'idle_timeout': 'idleTimeoutMs',
    }
)
# Other fields whose names differ. Two are quotients of fields of the file.
_FIELDS: Mapping[str, str] = MappingProxyType(
    {
        'prefix': 'pathPrefix',
        'execution': 'kind',
        'targets': 'service/split',
        'regions': 'allowedRegions',
        'max_connections': 'maxConns',
        'cold_rate': 'coldPerS',
        'engine.memory_tokens': 'engine.kvCapacity',
        'engine.steps_per_pass': 'engine.stride',
        'engine.prompt_time': 'engine.usual.prompt/read_per_s',
        'engine.layers': 'engine.layerSets',
        'engine.placement_slots': 'engine.locations',
        'engine.spare_slots': 'engine.spares',
        'engine.expert_share': 'engine.expertRatio',
        'engine.expert_load_time': 'engine.expertMb/linkMbps',
        'autoscale.min_count': 'autoscale.min',
        'autoscale.max_count': 'autoscale.max',
        'autoscale.boot_time': 'autoscale.bootS',
        'header_bytes': 'maxHeaderBytes',
        'body_bytes': 'maxBodyBytes',
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class DifferenceText:
    """A difference as printed; ``path`` is that of the field in the file.

    ``kind`` is ``added``, ``removed`` or ``changed``.
    """

    kind: str
    path: str
    detail: str = ''


@functools.singledispatch
def describe_difference(difference: object) -> DifferenceText:
    """Return the text of a difference."""
    raise TypeError(f'not a difference: {type(difference).__name__}')


@describe_difference.register
def _describe_added(difference: EntryAdded) -> DifferenceText:
    return DifferenceText('added', _path(difference.section, difference.name))


@describe_difference.register
def _describe_removed(difference: EntryRemoved) -> DifferenceText:
    return DifferenceText('removed', _path(difference.section, difference.name))


@describe_difference.register
def _describe_field(difference: FieldChanged) -> DifferenceText:
    field = difference.field
    before, after = difference.before, difference.after
    if field in _MS_FIELDS:
        before, after = _to_ms(before), _to_ms(after)
    name = _MS_FIELDS.get(field) or _FIELDS.get(field, field)
    return DifferenceText(
        'changed',
        f'{_path(difference.section, difference.name)}.{name}',
        f'{_format(before)} -> {_format(after)}',
    )


@describe_difference.register
def _describe_keys(difference: KeysChanged) -> DifferenceText:
    return DifferenceText(
        'changed',
        f'{_path(Section.CLIENT, difference.name)}.apiKeys',
        f'{difference.added} added, {difference.removed} removed',
    )


def format_number(number: float) -> str:
    """Return a number without needless digits; 'none' if it is infinite."""
    if math.isinf(number):
        return 'none'
    rounded = round(number, _DIGITS)
    return str(int(rounded) if rounded == int(rounded) else rounded)


def _path(section: Section, name: str) -> str:
    if section is Section.LIMITS:
        return _SECTIONS[section]
    return f'{_SECTIONS[section]}[{name!r}]'


def _to_ms(seconds: float | None) -> float | None:
    return None if seconds is None else seconds * _MS_PER_SECOND


@functools.singledispatch
def _format(content: Any) -> str:
    return repr(content)


@_format.register
def _format_none(content: None) -> str:
    return 'none'


@_format.register
def _format_float(content: float) -> str:
    return format_number(content)


@_format.register
def _format_integer(content: int) -> str:
    # Not format_number: an integer may be too large for a float.
    return str(content)


@_format.register
def _format_flag(content: bool) -> str:  # noqa: FBT001
    return 'true' if content else 'false'


@_format.register
def _format_execution(content: Execution) -> str:
    return _KINDS[content]


@_format.register
def _format_target(content: Target) -> str:
    return f'{content.service!r}:{format_number(content.weight)}'


@_format.register(tuple)
def _format_targets(content: tuple[Target, ...]) -> str:
    return ', '.join(_format(target) for target in content) or 'none'


@_format.register(frozenset)
def _format_names(content: frozenset[str]) -> str:
    return ', '.join(repr(name) for name in sorted(content)) or 'none'
