"""Configuration as a deterministic state machine over the log records."""

import collections
import dataclasses
import enum
import functools
import logging
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
from .positions import Position

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

log = logging.getLogger(__name__)

_RawPart = dict[str, Any]

# Change ids and the versions of removed parts are kept for this many offsets,
# about two days at 500 changes a day. A record whose author has not read that
# far is stale, so that a change whose id was discarded cannot be applied
# again.
REMEMBERED_OFFSET_COUNT = 1024
_SNAPSHOT_FORMAT_VERSION = 1
# Raised for undecodable CBOR, a wrong array length and wrong field types.
_DECODE_ERRORS = (ValueError, TypeError, LookupError, cbor2.CBORError)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationRecord:
    """One record of the configuration stream.

    ``against`` gives, for each part changed in ``parts``, the version on which
    the change is based (0 for a new part). The value ``None`` removes a part.
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
    """Result of applying a record."""

    ACCEPTED = 'accepted'
    #: A part was changed after the author had read it.
    STALE = 'stale'
    #: The result would violate a validation rule.
    INVALID = 'invalid'
    #: The change id was already used.
    REPEATED = 'repeated'
    #: An earlier record was not read; the state is unchanged.
    MISSING = 'missing'


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Outcome of one record and the reason if it was not accepted."""

    outcome: Outcome
    detail: str = ''


@dataclasses.dataclass(frozen=True)
class Configuration:
    """Read-only view of the parts in effect at one position in the log."""

    offset: int
    defaults: Defaults
    parts: Mapping[str, Any]
    era: int = 0

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
        """Tell whether an upstream may receive new requests."""
        upstream = self.upstream(name)
        if upstream is None or upstream.state != 'in':
            return False
        zone = self.parts.get(f'zone/{upstream.availability_zone}', Zone())
        host = self.parts.get(
            f'host/{host_from_address(upstream.agent)}', Host()
        )
        return bool(zone.state == 'in' and host.state == 'in')

    def defaults_for(self, *targets: str) -> Defaults:
        """Return the defaults with the overrides of the targets applied.

        Later targets take precedence, for example in
        ``defaults_for('service/a', 'upstream/a-1')``.
        """
        return apply_overrides(self.defaults, self._overrides, *targets)

    @functools.cached_property
    def _overrides(self) -> Mapping[str, Mapping[str, Any]]:
        return overrides_by_target(self.parts)


@dataclasses.dataclass(frozen=True, slots=True)
class _SnapshotFields:
    """Fields of a snapshot, in the order in which they are stored."""

    format: int
    offset: int
    accepted: int
    raw: dict[str, dict[str, Any]]
    versions: dict[str, int]
    removed: list[tuple[str, int]]
    changes: list[tuple[str, int]]


class ConfigurationStateMachine:
    """Derives the configuration from the log records.

    The result depends on the records alone, so hosts that have read the same
    records have the same configuration without further coordination.

    A record that passes the version check but violates a validation rule does
    not change the versions against which later records are checked; see
    "Integrity Dangers in Certification-Based Replication Protocols", technical
    report ITI-ITE-08/13. If it did, about 1.8 % of the correct records would be
    refused with 10 % invalid records from concurrent operators
    (bench/configuration.py).
    """

    def __init__(self) -> None:
        """Create the state before the first record."""
        self.offset = -1
        #: Offset of the last accepted record, -1 if there is none.
        self.accepted_offset = -1
        self.raw: dict[str, dict[str, Any]] = {}
        self.parts: dict[str, Any] = {}
        self.versions: dict[str, int] = {}
        #: Versions of removed parts, so that a change based on the removed
        #: value does not restore the part.
        self.removed: dict[str, int] = {}
        self.changes: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        #: Era of the log that the offsets belong to.
        self.era = 0
        #: Values of the parts that were in effect when the log lost them, None
        #: for a removed part. They are no part of the state that other records
        #: are checked against.
        self.retained: dict[str, dict[str, Any] | None] = {}

    @property
    def position(self) -> Position:
        """Return the position of the last record."""
        return Position(self.era, self.offset)

    @property
    def current(self) -> Configuration | None:
        """Return the current view, None before the first accepted record."""
        if self.accepted_offset < 0 and not self.retained:
            return None
        parts = _with_retained(self.parts, self.retained)
        return Configuration(
            self.offset,
            parts.get('defaults', Defaults()),
            types.MappingProxyType(parts),
            self.era,
        )

    def retain_lost(self, previous: 'ConfigurationStateMachine') -> None:
        """Keep in effect what ``previous`` had and the log has lost since.

        A part whose latest record was known before is that of the copy. It
        does not replace what came after it, until the part is changed again.
        """
        before: dict[str, dict[str, Any] | None] = {
            name: None for name in previous.removed
        }
        before |= previous.raw | previous.retained
        copied = {
            offset + 1
            for change, offset in self.changes.items()
            if previous.changes.get(change) == offset
        }
        for name, raw in before.items():
            version = self.version(name)
            is_superseded = bool(version) and version not in copied
            if raw != self.raw.get(name) and not is_superseded:
                self.retained[name] = raw
        try:
            check_parts(_with_retained(self.parts, self.retained))
        except ConfigurationInvalid as error:
            log.warning(
                'configuration: parts that the log has lost do not fit its'
                ' records and are not kept: %s',
                error,
            )
            self.retained = {}

    def version(self, name: str) -> int:
        """Return the version on which a change of a part must be based."""
        return self.versions.get(name) or self.removed.get(name, 0)

    def apply(self, record: ConfigurationRecord) -> Decision:
        """Apply the next record; skip it if its offset was applied before."""
        if record.offset <= self.offset:
            return Decision(Outcome.REPEATED, 'the offset was already applied')
        if record.offset > self.offset + 1:
            detail = f'the record after offset {self.offset} is missing'
            return Decision(Outcome.MISSING, detail)
        self._advance_offset()
        if record.seen < record.offset - REMEMBERED_OFFSET_COUNT:
            detail = (
                f'the author had read the log only up to offset {record.seen}'
            )
            return Decision(Outcome.STALE, detail)
        if record.change in self.changes:
            return Decision(Outcome.REPEATED, 'the change id was already used')
        self.changes[record.change] = record.offset
        return self._decide(record)

    def apply_log_entry(
        self, offset: int, appended_at: float, content: Any
    ) -> Decision:
        """Apply the next log entry, whose content may not be a valid record."""
        try:
            return self.apply(parse_record(offset, appended_at, content))
        except ConfigurationInvalid as error:
            if offset == self.offset + 1:
                self._advance_offset()
            return Decision(Outcome.INVALID, str(error))

    def snapshot(self) -> bytes:
        """Return the state as canonical CBOR: equal states, equal bytes."""
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
        """Restore a snapshot if it is newer; tell whether it was.

        Raises:
            ConfigurationInvalid: the content is not a snapshot.
        """
        state = _parse_snapshot(content)
        if state.offset <= self.offset:
            return False
        parts = {name: parse_part(name, raw) for name, raw in state.raw.items()}
        self.offset = state.offset
        self.accepted_offset = state.accepted
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
            # Both are ordered by offset. The versions in ``removed`` are one
            # higher than the offset of their record.
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
            # The change may be based on the version of a removed part that is
            # no longer kept.
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
                raise ConfigurationInvalid(
                    f'{name}: cannot be removed, there is no such part'
                )
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
        # Existing views refer to the old dict, so it is replaced, not modified.
        self.parts = parts
        for name, raw in record.parts.items():
            self.removed.pop(name, None)
            self.versions.pop(name, None)
            self.retained.pop(name, None)
            if raw is None:
                self.raw.pop(name)
                self.removed[name] = record.offset + 1
            else:
                self.raw[name] = raw
                self.versions[name] = record.offset + 1


def _with_retained(
    parts: dict[str, Any], retained: Mapping[str, _RawPart | None]
) -> dict[str, Any]:
    """Return the parts with those that the log has lost."""
    if not retained:
        return parts
    merged = {
        name: part for name, part in parts.items() if name not in retained
    }
    for name, raw in retained.items():
        if raw is not None:
            merged[name] = parse_part(name, raw)
    return merged


def parse_record(
    offset: int, appended_at: float, content: Any
) -> ConfigurationRecord:
    """Return the record in the content of one log entry.

    Raises:
        ConfigurationInvalid: the content is not a configuration record.
    """
    try:
        return msgspec.convert(
            {**content, 'offset': offset, 'appended_at': appended_at},
            ConfigurationRecord,
        )
    except (msgspec.ValidationError, TypeError) as error:
        raise ConfigurationInvalid(
            f'not a configuration record: {error}'
        ) from error


def _parse_snapshot(content: bytes) -> _SnapshotFields:
    try:
        fields = cbor2.loads(content)
        if fields[0] != _SNAPSHOT_FORMAT_VERSION:
            raise ConfigurationInvalid(
                f'snapshot has format {fields[0]!r}, expected'
                f' {_SNAPSHOT_FORMAT_VERSION}'
            )
        names = [field.name for field in dataclasses.fields(_SnapshotFields)]
        named = dict(zip(names, fields, strict=True))
        return msgspec.convert(named, _SnapshotFields)
    except _DECODE_ERRORS as error:
        raise ConfigurationInvalid(
            f'cannot decode snapshot: {error}'
        ) from error
