"""Configuration as a deterministic fold over the records of the log."""

import collections
import dataclasses
import enum
import fnmatch
import types
from collections.abc import Mapping
from typing import Annotated, Any, Literal, TypeVar

import cbor2
import msgspec

from .exceptions import ConfigurationInvalid

__all__ = (
    'Configuration',
    'Decision',
    'Defaults',
    'Exemption',
    'Fold',
    'Homes',
    'Host',
    'Outcome',
    'Record',
    'Service',
    'Upstream',
    'Zone',
    'parse_record',
)

# A change id is remembered for this many records, so that a resent append
# counts once; at 500 changes a day this is more than a week.
REMEMBERED_CHANGES = 4096

# Covers the bounds on clocks and delays of keys (SKEW, AHEAD and DELAY of
# ``keys``, which imports this module), in seconds.
_KEY_DELAYS = 15.0

_Name = Annotated[str, msgspec.Meta(pattern='^[a-zA-Z0-9._-]{1,64}$')]
_Address = Annotated[
    str, msgspec.Meta(pattern=r'^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$')
]
_Reason = Annotated[str, msgspec.Meta(min_length=3, max_length=500)]
_State = Literal['in', 'out']
_Seconds = Annotated[float, msgspec.Meta(ge=0, le=86400)]
_Count = Annotated[int, msgspec.Meta(ge=1, le=65536)]
_Bytes = Annotated[int, msgspec.Meta(ge=1024, le=2**40)]

_Part = TypeVar('_Part')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """One record of the configuration stream.

    ``against`` gives, for each part that ``parts`` changes, the version that
    the author saw (0 for a new part). A part value of ``None`` removes it.
    ``appended_at`` is the log's own time in Unix seconds.
    """

    offset: int
    appended_at: float
    change: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    author: str
    reason: str
    parts: Annotated[
        dict[str, dict[str, Any] | None], msgspec.Meta(min_length=1)
    ]
    against: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Defaults:
    """Fleet-wide defaults; times in seconds, sizes in bytes."""

    key_lifetime: Annotated[float, msgspec.Meta(ge=1, le=86400)] = 600
    freshness: Annotated[float, msgspec.Meta(ge=1, le=86400)] = 3600
    settle: Annotated[float, msgspec.Meta(ge=2, le=172800)] = 7200
    cold_limit: _Count = 1
    max_running: _Count = 32
    max_held: _Bytes = 2**28
    max_waiting: _Count = 256
    retry_rate: Annotated[float, msgspec.Meta(ge=0)] = 2
    retry_burst: Annotated[float, msgspec.Meta(ge=0)] = 10
    deadline: Annotated[float, msgspec.Meta(ge=0.1, le=3600)] = 60


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A model service or a plain service.

    ``non_idempotent`` lists calls that must not repeat, each as a method (or
    ``*``) and a path pattern, for example ``POST /invoices``.
    """

    kind: Literal['model', 'plain']
    non_idempotent: tuple[
        Annotated[str, msgspec.Meta(pattern=r'^[A-Z*]+ /\S*$')],
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
    agent: _Address
    state: Literal['in', 'leaving'] = 'in'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Homes:
    """Upstreams that execute keyed calls of one service.

    ``members`` hold from ``since`` (Unix seconds), ``previous`` before.
    ``stopped`` names removed members whose hosts have stopped.
    """

    members: Annotated[tuple[_Name, ...], msgspec.Meta(min_length=1)]
    previous: tuple[_Name, ...] = ()
    since: float = 0
    stopped: tuple[_Name, ...] = ()
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Zone:
    """Whether an availability zone takes new work."""

    state: _State = 'in'
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Host:
    """Whether the upstreams on a host take new work."""

    state: _State = 'in'
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Exemption:
    """Defaults that do not hold for one target, with the written reason."""

    target: Annotated[
        str, msgspec.Meta(pattern='^(service|upstream|client)/.+$')
    ]
    override: Annotated[dict[str, Any], msgspec.Meta(min_length=1)]
    reason: _Reason


class Outcome(enum.Enum):
    """What the fold made of a record."""

    ACCEPTED = 'accepted'
    #: A part has changed since the author read it.
    STALE = 'stale'
    #: The result would break a validity rule.
    INVALID = 'invalid'
    #: The change id was seen before.
    REPEATED = 'repeated'


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Outcome of one record and the reason for a refusal."""

    outcome: Outcome
    detail: str = ''


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


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """Read view of the parts in force at one offset."""

    offset: int
    defaults: Defaults
    parts: Mapping[str, Any]

    def group(self, kind: str) -> dict[str, Any]:
        """Return the parts of one kind by name."""
        prefix = f'{kind}/'
        return {
            name.removeprefix(prefix): part
            for name, part in self.parts.items()
            if name.startswith(prefix)
        }

    def service(self, name: str) -> Service | None:
        """Return a service, or None if it is unknown."""
        return self.parts.get(f'service/{name}')

    def upstream(self, name: str) -> Upstream | None:
        """Return an upstream, or None if it is unknown."""
        return self.parts.get(f'upstream/{name}')

    def homes(self, service: str) -> Homes | None:
        """Return the homes of a service, or None if it has none."""
        return self.parts.get(f'homes/{service}')

    def takes_work(self, name: str) -> bool:
        """Tell whether an upstream may be given new work."""
        upstream = self.upstream(name)
        if upstream is None or upstream.state != 'in':
            return False
        zone = self.parts.get(f'zone/{upstream.availability_zone}', Zone())
        host = self.parts.get(f'host/{_host_of(upstream.agent)}', Host())
        return bool(zone.state == 'in' and host.state == 'in')

    def defaults_for(self, *targets: str) -> Defaults:
        """Return the defaults with the exceptions of the targets applied.

        Later targets win over earlier ones, for example
        ``defaults_for('service/a', 'upstream/a-1')``.
        """
        overrides: dict[str, Any] = {}
        exceptions = self.group('exception')
        for target in targets:
            for name in sorted(exceptions):
                if exceptions[name].target == target:
                    overrides.update(exceptions[name].override)
        if not overrides:
            return self.defaults
        return dataclasses.replace(self.defaults, **overrides)


class Fold:
    """Decides, record by record, what the configuration is.

    The result depends on the records alone, so hosts that read the same
    records hold the same configuration without talking to each other.
    """

    def __init__(self) -> None:
        """Start before the first record."""
        self.offset = -1
        self.raw: dict[str, dict[str, Any]] = {}
        self.versions: dict[str, int] = {}
        self.changes: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.current: Configuration | None = None

    def apply(self, record: Record) -> Decision:
        """Fold in the next record; offsets that were folded are skipped."""
        if record.offset <= self.offset:
            return Decision(Outcome.REPEATED, 'offset was folded before')
        self.offset = record.offset
        decision = self._decide(record)
        if decision.outcome is not Outcome.REPEATED:
            self._remember(record)
        return decision

    def skip(self, offset: int) -> None:
        """Pass over an entry that is not a record."""
        self.offset = max(self.offset, offset)

    def snapshot(self) -> bytes:
        """Return the state as CBOR; equal states give equal bytes."""
        return cbor2.dumps(
            [
                self.offset,
                sorted(self.raw.items()),
                sorted(self.versions.items()),
                list(self.changes.items()),
            ],
            canonical=True,
        )

    def restore(self, content: bytes) -> bool:
        """Take over a snapshot if it is newer; tell whether it was.

        Raises:
            ConfigurationInvalid: the content is not a snapshot.
        """
        try:
            offset, raw, versions, changes = cbor2.loads(content)
            if offset <= self.offset:
                return False
            parts = _build_parts(dict(raw))
        except (ValueError, TypeError, cbor2.CBORError) as error:
            raise ConfigurationInvalid(f'bad snapshot: {error}') from error
        self.offset = offset
        self.raw = dict(raw)
        self.versions = dict(versions)
        self.changes = collections.OrderedDict(changes)
        self.current = _view(offset, parts) if parts else None
        return True

    def _decide(self, record: Record) -> Decision:
        if record.change in self.changes:
            return Decision(Outcome.REPEATED, 'change id was seen before')
        stale = _stale_part(record, self.versions)
        if stale:
            return Decision(Outcome.STALE, stale)
        raw = {**self.raw, **record.parts}
        raw = {name: part for name, part in raw.items() if part is not None}
        try:
            parts = _build_parts(raw)
            _check_rules(parts, record, self.current)
        except ConfigurationInvalid as error:
            return Decision(Outcome.INVALID, str(error))
        self._accept(record, raw, parts)
        return Decision(Outcome.ACCEPTED)

    def _accept(
        self,
        record: Record,
        raw: dict[str, Any],
        parts: dict[str, Any],
    ) -> None:
        self.raw = raw
        # A removed part keeps its version, so that a change written against
        # the removed value cannot bring it back.
        self.versions.update(dict.fromkeys(record.parts, record.offset + 1))
        self.current = _view(record.offset, parts)

    def _remember(self, record: Record) -> None:
        self.changes[record.change] = record.offset
        while len(self.changes) > REMEMBERED_CHANGES:
            self.changes.popitem(last=False)


def parse_record(offset: int, appended_at: float, content: Any) -> Record:
    """Return the record in the content of one log entry.

    Raises:
        ConfigurationInvalid: the content does not have the shape of a record.
    """
    try:
        return msgspec.convert(
            {**content, 'offset': offset, 'appended_at': appended_at},
            Record,
        )
    except (msgspec.ValidationError, TypeError) as error:
        raise ConfigurationInvalid(f'not a record: {error}') from error


def _call_matches(pattern: str, method: str, path: str) -> bool:
    pattern_method, _, pattern_path = pattern.partition(' ')
    if pattern_method not in {'*', method}:
        return False
    return fnmatch.fnmatchcase(path, pattern_path)


def _host_of(address: str) -> str:
    return address.rpartition(':')[0]


def _view(offset: int, parts: dict[str, Any]) -> Configuration:
    return Configuration(
        offset,
        parts.get('defaults', Defaults()),
        types.MappingProxyType(parts),
    )


def _stale_part(record: Record, versions: Mapping[str, int]) -> str:
    for name in record.parts:
        current = versions.get(name, 0)
        seen = record.against.get(name, 0)
        if seen != current:
            return f'{name} is at version {current}, not {seen}'
    return ''


def _build_parts(raw: Mapping[str, Any]) -> dict[str, Any]:
    parts = {name: _build_part(name, part) for name, part in raw.items()}
    for name, part in parts.items():
        if isinstance(part, Exemption):
            _check_override(name, part)
    return parts


def _build_part(name: str, raw: Any) -> Any:
    kind, _, rest = name.partition('/')
    part_class = _PART_CLASSES.get(kind)
    if part_class is None or bool(rest) == (kind == 'defaults'):
        raise ConfigurationInvalid(f'{name}: unknown part')
    return _convert(name, raw, part_class)


def _convert(name: str, raw: Any, part_class: type[_Part]) -> _Part:
    known = {
        field.name
        for field in dataclasses.fields(part_class)  # type: ignore[arg-type]
    }
    unknown = sorted(set(raw) - known)
    if unknown:
        raise ConfigurationInvalid(f'{name}: unknown field {unknown[0]}')
    try:
        return msgspec.convert(raw, part_class)
    except msgspec.ValidationError as error:
        raise ConfigurationInvalid(f'{name}: {error}') from error


def _check_override(name: str, exemption: Exemption) -> None:
    _convert(name, exemption.override, Defaults)


def _check_rules(
    parts: Mapping[str, Any],
    record: Record,
    before: Configuration | None,
) -> None:
    _check_references(parts)
    _check_zones(parts)
    defaults = parts.get('defaults', Defaults())
    if defaults.settle < 2 * defaults.freshness:
        raise ConfigurationInvalid('defaults: settle is below 2 * freshness')
    if before is None:
        return
    for name, homes in before.group('homes').items():
        _check_key_rules(homes, f'homes/{name}', parts, record, before)
    for name in record.parts:
        changed = parts.get(name)
        if isinstance(changed, Homes):
            _check_homes(name, changed, record, before)


def _check_references(parts: Mapping[str, Any]) -> None:
    for name, part in parts.items():
        if (
            isinstance(part, Upstream)
            and f'service/{part.service}' not in parts
        ):
            raise ConfigurationInvalid(f'{name}: unknown service')
        if isinstance(part, Homes):
            _check_members(name, part, parts)


def _check_members(name: str, homes: Homes, parts: Mapping[str, Any]) -> None:
    for member in homes.members:
        if f'upstream/{member}' not in parts:
            raise ConfigurationInvalid(f'{name}: unknown upstream {member}')


def _check_zones(parts: Mapping[str, Any]) -> None:
    zones = {
        part.availability_zone
        for part in parts.values()
        if isinstance(part, Upstream)
    }
    states = [parts.get(f'zone/{zone}', Zone()).state for zone in zones]
    if states and 'in' not in states:
        raise ConfigurationInvalid('no availability zone would stay in')


def _check_key_rules(
    homes: Homes,
    name: str,
    parts: Mapping[str, Any],
    record: Record,
    before: Configuration,
) -> None:
    """Check what the at-most-once rules take for fixed.

    Hosts that have not received a change act on the old values for up to
    ``freshness``, and callers resend for the ``key_lifetime`` they know.
    """
    if name not in parts:
        raise ConfigurationInvalid(f'{name}: homes cannot be removed')
    defaults = parts.get('defaults', Defaults())
    for field in ('key_lifetime', 'freshness'):
        if getattr(defaults, field) != getattr(before.defaults, field):
            raise ConfigurationInvalid(f'defaults: {field} is fixed by {name}')
    held = set(homes.members)
    if record.appended_at < _settled_at(homes, before):
        held.update(homes.previous)
    for member in held - set(parts[name].stopped):
        _check_address(member, parts, before)


def _check_address(
    member: str,
    parts: Mapping[str, Any],
    before: Configuration,
) -> None:
    # Agents of one name at two addresses would both be the home.
    old = before.upstream(member)
    new = parts.get(f'upstream/{member}')
    if old is not None and (new is None or new.agent != old.agent):
        raise ConfigurationInvalid(
            f'upstream/{member}: the address of a home cannot change',
        )


def _settled_at(homes: Homes, before: Configuration) -> float:
    """Return when no key of the homes before ``since`` is accepted."""
    return homes.since + before.defaults.key_lifetime + _KEY_DELAYS


def _check_homes(
    name: str,
    homes: Homes,
    record: Record,
    before: Configuration,
) -> None:
    current = before.parts.get(name)
    if current is None:
        return
    if record.appended_at < _settled_at(current, before):
        raise ConfigurationInvalid(f'{name}: the last change is not settled')
    if homes.previous != current.members:
        raise ConfigurationInvalid(f'{name}: previous differs from members')
    removed = set(current.members) - set(homes.members)
    added = set(homes.members) - set(current.members)
    settle = before.defaults.settle
    if not added and removed == set(homes.stopped) and homes.reason:
        settle = _KEY_DELAYS
    if homes.since < record.appended_at + settle:
        raise ConfigurationInvalid(f'{name}: since is too early')
