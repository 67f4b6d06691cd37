"""Types of the configuration parts, and validation of a single part."""

import dataclasses
import fnmatch
import ipaddress
import types
from collections.abc import Mapping
from typing import Annotated, Any, Literal, TypeVar

import msgspec

from .exceptions import ConfigurationInvalid
from .settings import Address

__all__ = (
    'Defaults',
    'Exemption',
    'Homes',
    'Host',
    'Service',
    'Upstream',
    'Zone',
    'apply_overrides',
    'host_from_address',
    'overrides_by_target',
    'parse_part',
)

_Name = Annotated[str, msgspec.Meta(pattern=r'^[a-zA-Z0-9._-]{1,64}\Z')]
_Reason = Annotated[str, msgspec.Meta(min_length=3, max_length=500)]
_InOrOut = Literal['in', 'out']
_Count = Annotated[int, msgspec.Meta(ge=1, le=65536)]
_Bytes = Annotated[int, msgspec.Meta(ge=1024, le=2**40)]
_Rate = Annotated[float, msgspec.Meta(ge=0, le=1000000)]

_Part = TypeVar('_Part')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Defaults:
    """Fleet-wide defaults; times are in seconds, sizes in bytes."""

    key_lifetime: Annotated[float, msgspec.Meta(ge=1, le=86400)] = 600
    freshness: Annotated[float, msgspec.Meta(ge=1, le=86400)] = 3600
    settle: Annotated[float, msgspec.Meta(ge=2, le=172800)] = 7200
    cold_limit: _Count = 1
    max_running: _Count = 32
    max_held: _Bytes = 2**28
    max_waiting: _Count = 256
    retry_rate: _Rate = 2
    retry_burst: _Rate = 10
    deadline: Annotated[float, msgspec.Meta(ge=0.1, le=3600)] = 60


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A model service or a plain service.

    ``non_idempotent`` lists calls that must not be repeated, each as a method
    (or ``*``) and a path pattern, for example ``POST /invoices``.
    """

    kind: Literal['model', 'plain']
    non_idempotent: tuple[
        Annotated[str, msgspec.Meta(pattern=r'^([A-Z]+|\*) /\S*\Z')],
        ...,
    ] = ()

    def is_idempotent(self, method: str, path: str) -> bool:
        """Tell whether a call may be repeated."""
        bare_path = path.partition('?')[0]
        return not any(
            _call_matches(pattern, method, bare_path)
            for pattern in self.non_idempotent
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """A model engine or a plain service process behind one agent."""

    service: _Name
    availability_zone: _Name
    agent: str
    state: Literal['in', 'leaving'] = 'in'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Homes:
    """Upstreams that execute keyed calls of one service.

    ``members`` applies from ``since`` (Unix seconds) on, ``previous`` before
    that. ``stopped`` names removed members whose hosts have stopped.
    """

    members: Annotated[tuple[_Name, ...], msgspec.Meta(min_length=1)]
    previous: tuple[_Name, ...] = ()
    since: float = 0
    stopped: tuple[_Name, ...] = ()
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Zone:
    """Whether an availability zone accepts new requests."""

    state: _InOrOut = 'in'
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Host:
    """Whether the upstreams on a host accept new requests."""

    state: _InOrOut = 'in'
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Exemption:
    """Overrides of defaults for one target, with the reason for them."""

    target: Annotated[
        str,
        msgspec.Meta(pattern=r'^(service|upstream|client)/\S{1,128}\Z'),
    ]
    override: Annotated[dict[str, Any], msgspec.Meta(min_length=1)]
    reason: _Reason


_PART_CLASSES: Mapping[str, type[Any]] = types.MappingProxyType(
    {
        'defaults': Defaults,
        'service': Service,
        'upstream': Upstream,
        'homes': Homes,
        'zone': Zone,
        'host': Host,
        'exception': Exemption,
    }
)

_UPSTREAM_LIMIT_FIELDS = frozenset(
    ('cold_limit', 'max_running', 'max_held', 'max_waiting'),
)
# Fields that are read per kind of target. Any other override would have no
# effect and is therefore refused.
_OVERRIDABLE_FIELDS: Mapping[str, frozenset[str]] = types.MappingProxyType(
    {
        'service': _UPSTREAM_LIMIT_FIELDS | {'deadline'},
        'upstream': _UPSTREAM_LIMIT_FIELDS,
        'client': frozenset(('retry_rate', 'retry_burst')),
    }
)


def parse_part(name: str, raw: Any) -> Any:
    """Return the typed form of one part.

    Raises:
        ConfigurationInvalid: the part is unknown or invalid in itself.
    """
    kind, _, identifier = name.partition('/')
    part_class = _PART_CLASSES.get(kind)
    if part_class is None or bool(identifier) == (kind == 'defaults'):
        raise ConfigurationInvalid(f'{name}: unknown kind of part')
    _check_name(name, kind, identifier)
    part = _convert(name, raw, part_class)
    if isinstance(part, Defaults):
        _check_defaults(name, part)
    elif isinstance(part, Upstream):
        _check_address(name, part.agent)
    elif isinstance(part, Exemption):
        _check_override(name, part)
    return part


def overrides_by_target(
    parts: Mapping[str, Any],
) -> dict[str, dict[str, Any]]:
    """Return the overridden fields by target.

    Raises:
        ConfigurationInvalid: two exceptions override the same field of one
            target.
    """
    overrides: dict[str, dict[str, Any]] = {}
    for name, part in parts.items():
        if isinstance(part, Exemption):
            known = overrides.setdefault(part.target, {})
            duplicates = sorted(known.keys() & part.override.keys())
            if duplicates:
                raise ConfigurationInvalid(
                    f'{name}: another exception overrides {duplicates[0]}'
                    f' of {part.target}',
                )
            known.update(part.override)
    return overrides


def apply_overrides(
    defaults: Defaults,
    overrides: Mapping[str, Mapping[str, Any]],
    *targets: str,
) -> Defaults:
    """Return the defaults with overrides; later targets take precedence."""
    found = [overrides[target] for target in targets if target in overrides]
    if not found:
        return defaults
    merged = {name: override[name] for override in found for name in override}
    return dataclasses.replace(defaults, **merged)


def check_dependent_limits(part_name: str, defaults: Defaults) -> None:
    """Check limits that depend on each other.

    Raises:
        ConfigurationInvalid: the message begins with ``part_name``.
    """
    if defaults.cold_limit > defaults.max_running:
        raise ConfigurationInvalid(
            f'{part_name}: cold_limit is above max_running'
        )


def host_from_address(address: str) -> str:
    """Return the IP address of an ``ip:port`` address."""
    return Address.parse(address).host


def _call_matches(pattern: str, method: str, path: str) -> bool:
    pattern_method, _, pattern_path = pattern.partition(' ')
    if pattern_method not in {'*', method}:
        return False
    return fnmatch.fnmatchcase(path, pattern_path)


def _check_name(name: str, kind: str, identifier: str) -> None:
    if kind == 'defaults':
        return
    if kind == 'host':
        # Any other spelling of the address would match no upstream.
        if not _is_usable_ip(identifier):
            raise ConfigurationInvalid(f'{name}: not the IP number of a host')
        return
    try:
        msgspec.convert(identifier, _Name)
    except msgspec.ValidationError as error:
        raise ConfigurationInvalid(f'{name}: {error}') from error


def _convert(name: str, raw: Any, part_class: type[_Part]) -> _Part:
    known = {
        field.name
        for field in dataclasses.fields(part_class)  # type: ignore[arg-type]
    }
    unknown = sorted(raw.keys() - known)
    if unknown:
        accepted = ', '.join(sorted(known))
        raise ConfigurationInvalid(
            f'{name}: unknown field {unknown[0]}; accepted: {accepted}',
        )
    try:
        return msgspec.convert(raw, part_class)
    except msgspec.ValidationError as error:
        raise ConfigurationInvalid(f'{name}: {error}') from error


def _check_defaults(name: str, defaults: Defaults) -> None:
    check_dependent_limits(name, defaults)
    if defaults.settle < 2 * defaults.freshness:
        raise ConfigurationInvalid(f'{name}: settle is below 2 * freshness')


def _check_address(name: str, address: str) -> None:
    try:
        parsed = Address.parse(address)
    except ValueError:
        parsed = Address('', 0)
    # Only the canonical spelling, so that equal addresses compare equal.
    usable = parsed.port and str(parsed) == address
    if not usable or not _is_usable_ip(parsed.host):
        raise ConfigurationInvalid(
            f'{name}: agent {address!r} is not a usable ip:port',
        )


def _is_usable_ip(text: str) -> bool:
    try:
        address = ipaddress.ip_address(text)
    except ValueError:
        return False
    unusable = address.is_unspecified or address.is_multicast
    unusable = unusable or text == '255.255.255.255'
    return address.compressed == text and not unusable


def _check_override(name: str, exemption: Exemption) -> None:
    kind = exemption.target.partition('/')[0]
    allowed = _OVERRIDABLE_FIELDS[kind]
    not_allowed = sorted(exemption.override.keys() - allowed)
    if not_allowed:
        accepted = ', '.join(sorted(allowed))
        raise ConfigurationInvalid(
            f'{name}: {not_allowed[0]} cannot be overridden for a {kind};'
            f' accepted: {accepted}',
        )
    _convert(name, exemption.override, Defaults)
