"""Configuration as a deterministic fold over the records of the log."""

import collections
import dataclasses
import enum
import functools
import types
from collections.abc import Mapping
from typing import Annotated, Any

import cbor2
import msgspec

from .configuration_parts import (
    Defaults,
    Exemption,
    Homes,
    Host,
    Service,
    Upstream,
    Zone,
    apply_overrides,
    host_from_address,
    overrides_by_target,
    parse_part,
)
from .configuration_validation import Change, check_change, check_parts
from .exceptions import ConfigurationInvalid

__all__ = (
    'Configuration',
    'ConfigurationRecord',
    'ConfigurationStateMachine',
    'Decision',
    'Defaults',
    'Exemption',
    'Homes',
    'Host',
    'Outcome',
    'Service',
    'Upstream',
    'Zone',
    'parse_record',
)

# Change ids and the versions of removed parts are remembered for this many
# offsets, about two days at 500 changes a day. A record whose author has not
# read that far is stale, so nothing that was forgotten can count again.
REMEMBERED_OFFSET_COUNT = 1024
_SNAPSHOT_FORMAT_VERSION = 1
# The codec, the array shape and the field types can each be at fault.
_DECODE_ERRORS = (ValueError, TypeError, LookupError, cbor2.CBORError)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationRecord:
    """One record of the configuration stream.

    ``against`` gives, for each part that ``parts`` changes, the version that
    the author saw (0 for a new part). A part value of ``None`` removes it.
    ``seen`` is the offset of the last record that the author had read.
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
    seen: int = -1


class Outcome(enum.Enum):
    """What the fold made of a record."""

    ACCEPTED = 'accepted'
    #: A part has changed since the author read it.
    STALE = 'stale'
    #: The result would break a validity rule.
    INVALID = 'invalid'
    #: The change id was seen before.
    REPEATED = 'repeated'
    #: A record before this one is missing; the fold stays as it is.
    MISSING = 'missing'


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Outcome of one record and the reason for a refusal."""

    outcome: Outcome
    detail: str = ''


@dataclasses.dataclass(frozen=True)
class Configuration:
    """Read view of the parts in force at one offset."""

    offset: int
    defaults: Defaults
    parts: Mapping[str, Any]

    def parts_of_kind(self, kind: str) -> dict[str, Any]:
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

    def accepts_requests(self, name: str) -> bool:
        """Tell whether an upstream may be given new work."""
        upstream = self.upstream(name)
        if upstream is None or upstream.state != 'in':
            return False
        zone = self.parts.get(f'zone/{upstream.availability_zone}', Zone())
        host = self.parts.get(
            f'host/{host_from_address(upstream.agent)}', Host()
        )
        return bool(zone.state == 'in' and host.state == 'in')

    def defaults_for(self, *targets: str) -> Defaults:
        """Return the defaults with the exceptions of the targets applied.

        Later targets win over earlier ones, for example
        ``defaults_for('service/a', 'upstream/a-1')``.
        """
        return apply_overrides(self.defaults, self._overrides, *targets)

    @functools.cached_property
    def _overrides(self) -> Mapping[str, Mapping[str, Any]]:
        return overrides_by_target(self.parts)


@dataclasses.dataclass(frozen=True, slots=True)
class _SnapshotFields:
    """What a snapshot holds, in this order."""

    format: int
    offset: int
    accepted_offset: int
    raw: dict[str, dict[str, Any]]
    versions: dict[str, int]
    removed: list[tuple[str, int]]
    changes: list[tuple[str, int]]


class ConfigurationStateMachine:
    """Decides, record by record, what the configuration is.

    The result depends on the records alone, so hosts that read the same
    records hold the same configuration without talking to each other.

    A record that passes the version check and breaks a validity rule never
    becomes the version that later records are checked against; see "Integrity
    Dangers in Certification-Based Replication Protocols", technical report
    ITI-ITE-08/13. With 10 % invalid records of racing operators, the other
    way refuses about 1.8 % of the correct records (bench/configuration.py).
    """

    def __init__(self) -> None:
        """Start before the first record."""
        self.offset = -1
        #: Offset of the last accepted record, -1 if there is none.
        self.accepted_offset = -1
        self.raw: dict[str, dict[str, Any]] = {}
        self.parts: dict[str, Any] = {}
        self.versions: dict[str, int] = {}
        #: Versions of removed parts, so that a change written against the
        #: removed value cannot bring it back.
        self.removed: dict[str, int] = {}
        self.changes: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    @property
    def current(self) -> Configuration | None:
        """Return the view in force, None before the first accepted record."""
        if self.accepted_offset < 0:
            return None
        return Configuration(
            self.offset,
            self.parts.get('defaults', Defaults()),
            types.MappingProxyType(self.parts),
        )

    def version(self, name: str) -> int:
        """Return the version to write a change of a part against."""
        return self.versions.get(name) or self.removed.get(name, 0)

    def apply(self, record: ConfigurationRecord) -> Decision:
        """Fold in the next record; offsets that were folded are skipped."""
        if record.offset <= self.offset:
            return Decision(Outcome.REPEATED, 'offset was folded before')
        if record.offset > self.offset + 1:
            detail = f'no record after offset {self.offset} was read'
            return Decision(Outcome.MISSING, detail)
        self._advance_offset()
        if record.seen < record.offset - REMEMBERED_OFFSET_COUNT:
            detail = f'the author had read only up to offset {record.seen}'
            return Decision(Outcome.STALE, detail)
        if record.change in self.changes:
            return Decision(Outcome.REPEATED, 'change id was seen before')
        self.changes[record.change] = record.offset
        return self._decide(record)

    def apply_log_entry(
        self, offset: int, appended_at: float, content: Any
    ) -> Decision:
        """Fold in the next entry of the log, which may not be a record."""
        try:
            return self.apply(parse_record(offset, appended_at, content))
        except ConfigurationInvalid as error:
            if offset == self.offset + 1:
                self._advance_offset()
            return Decision(Outcome.INVALID, str(error))

    def snapshot(self) -> bytes:
        """Return the state as CBOR; equal states give equal bytes."""
        state = _SnapshotFields(
            _SNAPSHOT_FORMAT_VERSION,
            self.offset,
            self.accepted_offset,
            self.raw,
            self.versions,
            list(self.removed.items()),
            list(self.changes.items()),
        )
        fields = [
            getattr(state, field.name) for field in dataclasses.fields(state)
        ]
        return cbor2.dumps(fields, canonical=True)

    def restore(self, content: bytes) -> bool:
        """Take over a snapshot if it is newer; tell whether it was.

        Raises:
            ConfigurationInvalid: the content is not a snapshot.
        """
        state = _parse_snapshot(content)
        if state.offset <= self.offset:
            return False
        parts = {name: parse_part(name, raw) for name, raw in state.raw.items()}
        self.offset = state.offset
        self.accepted_offset = state.accepted_offset
        self.raw = state.raw
        self.parts = parts
        self.versions = state.versions
        self.removed = dict(state.removed)
        self.changes = collections.OrderedDict(state.changes)
        return True

    def _advance_offset(self) -> None:
        self.offset += 1
        forgotten = self.offset - REMEMBERED_OFFSET_COUNT
        for remembered in (self.changes, self.removed):
            # Both are in the order of the offsets; a version is one higher.
            while remembered:
                name = next(iter(remembered))
                if remembered[name] > forgotten:
                    break
                remembered.pop(name)

    def _decide(self, record: ConfigurationRecord) -> Decision:
        stale = self._stale_reason(record)
        if stale:
            return Decision(Outcome.STALE, stale)
        try:
            parts = self._changed_parts(record)
        except ConfigurationInvalid as error:
            return Decision(Outcome.INVALID, str(error))
        self._accept(record, parts)
        return Decision(Outcome.ACCEPTED)

    def _stale_reason(self, record: ConfigurationRecord) -> str:
        forgotten = record.offset - REMEMBERED_OFFSET_COUNT
        for name in sorted(record.parts.keys() | record.against.keys()):
            current = self.version(name)
            seen = record.against.get(name, 0)
            # The author may have seen the version of a removed part that is
            # forgotten by now.
            was_removed = not current and seen <= forgotten
            if seen != current and not was_removed:
                return f'{name} is at version {current}, not {seen}'
        return ''

    def _changed_parts(self, record: ConfigurationRecord) -> dict[str, Any]:
        parts = dict(self.parts)
        for name, raw in record.parts.items():
            if raw is not None:
                parts[name] = parse_part(name, raw)
            elif parts.pop(name, None) is None:
                raise ConfigurationInvalid(f'{name}: there is no such part')
        check_parts(parts)
        check_change(
            parts,
            Change(
                record.appended_at,
                self.parts,
                record.parts,
            ),
        )
        return parts

    def _accept(
        self, record: ConfigurationRecord, parts: dict[str, Any]
    ) -> None:
        self.accepted_offset = record.offset
        # Views share the old dict, so it must not change.
        self.parts = parts
        for name, raw in record.parts.items():
            self.removed.pop(name, None)
            self.versions.pop(name, None)
            if raw is None:
                self.raw.pop(name)
                self.removed[name] = record.offset + 1
            else:
                self.raw[name] = raw
                self.versions[name] = record.offset + 1


def parse_record(
    offset: int, appended_at: float, content: Any
) -> ConfigurationRecord:
    """Return the record in the content of one log entry.

    Raises:
        ConfigurationInvalid: the content does not have the shape of a record.
    """
    try:
        return msgspec.convert(
            {**content, 'offset': offset, 'appended_at': appended_at},
            ConfigurationRecord,
        )
    except (msgspec.ValidationError, TypeError) as error:
        raise ConfigurationInvalid(f'not a record: {error}') from error


def _parse_snapshot(content: bytes) -> _SnapshotFields:
    try:
        fields = cbor2.loads(content)
        if fields[0] != _SNAPSHOT_FORMAT_VERSION:
            raise ConfigurationInvalid(f'snapshot of format {fields[0]!r}')
        names = [field.name for field in dataclasses.fields(_SnapshotFields)]
        named = dict(zip(names, fields, strict=True))
        return msgspec.convert(named, _SnapshotFields)
    except _DECODE_ERRORS as error:
        raise ConfigurationInvalid(f'bad snapshot: {error}') from error
