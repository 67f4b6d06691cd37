"""Configuration snapshots in the log.

Snapshots have a separate stream. Readers that are up to date never download
one, duplicates cost readers nothing, and a reader that starts before the first
retained record finds the newest snapshot without reading the others. The
content is ``{"offset", "content"}``: the last offset that the snapshot covers,
and the state as base64 of zlib-compressed CBOR.
"""

import base64
import dataclasses
import logging
import zlib
from collections.abc import Callable, Iterator

import msgspec

from .configuration import ConfigurationStateMachine
from .exceptions import ConfigurationInvalid
from .log_service import LogPage, LogRecord, LogService

__all__ = (
    'CONFIGURATION_STREAM',
    'SNAPSHOT_STREAM',
    'SnapshotWriter',
    'StoredSnapshot',
    'compress_state',
    'decompress_state',
    'read_configuration_stream',
    'read_newest_snapshot',
)

log = logging.getLogger(__name__)

CONFIGURATION_STREAM = 'configuration'
SNAPSHOT_STREAM = 'configuration-snapshots'
# Without configuration changes, a snapshot is written again at this interval,
# so that one is always retained: the log keeps records for much longer.
RENEWAL_INTERVAL_SECONDS = 3600.0
# A snapshot is due when at least one part in this many of the retained records
# is not covered by the last one.
_UNCOVERED_WINDOW_FACTOR = 4
# Larger than any offset: reading from it returns only the bounds of a stream.
_BEYOND_END_OFFSET = 2**53
# Number of latest records that are searched for a valid snapshot.
_LOOK_BACK_RECORD_COUNT = 8
_MAX_STATE_BYTES = 2**24


@dataclasses.dataclass(frozen=True, slots=True)
class StoredSnapshot:
    """A snapshot in the log; ``content`` is the uncompressed state."""

    offset: int
    appended_at: float
    content: bytes
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _SnapshotDocument:
    offset: int
    content: bytes


def compress_state(state: bytes) -> bytes:
    """Return the compressed form of a state, for messages and the log."""
    return zlib.compress(state)


def decompress_state(content: bytes) -> bytes:
    """Return the state from its compressed form.

    Raises:
        ConfigurationInvalid: the content cannot be decompressed.
    """
    try:
        # The size limit keeps corrupt content from exhausting the memory.
        return zlib.decompressobj().decompress(content, _MAX_STATE_BYTES)
    except zlib.error as error:
        raise ConfigurationInvalid(
            f'cannot decompress snapshot: {error}'
        ) from error


def read_newest_snapshot(service: LogService) -> StoredSnapshot | None:
    """Return the newest valid snapshot that the log retains.

    Raises:
        ServiceUnavailable: the log did not answer.
    """
    bounds = service.read(SNAPSHOT_STREAM, _BEYOND_END_OFFSET, 1)
    earliest = max(bounds.first, bounds.next - _LOOK_BACK_RECORD_COUNT)
    for offset in range(bounds.next - 1, earliest - 1, -1):
        for entry in service.read(SNAPSHOT_STREAM, offset, 1).records:
            try:
                return _parse_snapshot(entry)
            except ConfigurationInvalid as error:
                log.warning(
                    'configuration: snapshot record %d skipped: %s',
                    offset,
                    error,
                )
    return None


def read_configuration_stream(
    service: LogService,
    offset: int,
) -> Iterator[LogPage | StoredSnapshot]:
    """Yield pages and snapshots from ``offset`` to the end of the log.

    A snapshot replaces records that are no longer retained. If there is none, a
    single page is returned, which begins after ``offset``.

    Raises:
        ServiceUnavailable: the log did not answer.
    """
    more = True
    while more:
        page = service.read(CONFIGURATION_STREAM, offset)
        found = (
            _replacement_snapshot(service, page)
            if page.first > offset
            else page
        )
        yield found or page
        following = _next_offset(found)
        more = following is not None and following < page.next
        offset = following or offset


def _next_offset(found: LogPage | StoredSnapshot | None) -> int | None:
    """Return the offset after the last one found, None if there is none."""
    if isinstance(found, StoredSnapshot):
        return found.offset + 1
    if found is None or not found.records:
        return None
    return found.records[-1].offset + 1


def _replacement_snapshot(
    service: LogService, page: LogPage
) -> StoredSnapshot | None:
    """Return a snapshot that covers everything before a page, if any."""
    newest = read_newest_snapshot(service)
    if newest is None or not page.first <= newest.offset + 1 <= page.next:
        return None
    return dataclasses.replace(newest, era=page.era)


class SnapshotWriter:
    """Appends snapshots when the retained ones cover too few records.

    Any number of processes may do so at the same time: a snapshot names the
    offset that it covers, and equal offsets have equal states.
    """

    def __init__(
        self,
        service: LogService,
        take_snapshot: Callable[[], tuple[int, bytes]],
    ) -> None:
        """Get the offset and the compressed state from ``take_snapshot``."""
        self.service = service
        self.take_snapshot = take_snapshot
        self.covered_offset = -1
        self.appended_at = 0.0

    def write_if_due(self, page: LogPage) -> None:
        """Append a snapshot if one is due at the end of the stream.

        Raises:
            ServiceUnavailable: the log did not answer.
        """
        if not self._is_due(page):
            return
        # Another process may have appended a snapshot in the meantime.
        newest = read_newest_snapshot(self.service)
        self.covered_offset = -1 if newest is None else newest.offset
        self.appended_at = 0.0 if newest is None else newest.appended_at
        offset, packed = self.take_snapshot()
        # A process that has not applied all records cannot cover them.
        if self._is_due(page) and offset >= page.next - 1:
            self._append(offset, packed)

    def _is_due(self, page: LogPage) -> bool:
        ends_stream = not page.records or _next_offset(page) == page.next
        if not page.next or not ends_stream:
            return False
        uncovered = page.next - 1 - self.covered_offset
        if page.now - self.appended_at > RENEWAL_INTERVAL_SECONDS:
            return True
        window = page.next - page.first
        return uncovered > 0 and uncovered * _UNCOVERED_WINDOW_FACTOR >= window

    def _append(self, offset: int, packed: bytes) -> None:
        content = base64.b64encode(packed).decode()
        document = {'offset': offset, 'content': content}
        appended = self.service.append(SNAPSHOT_STREAM, document)
        self.covered_offset = offset
        self.appended_at = appended.appended_at
        log.info(
            'configuration: snapshot of offset %d appended to the log', offset
        )


def _parse_snapshot(entry: LogRecord) -> StoredSnapshot:
    try:
        document = msgspec.convert(entry.content, _SnapshotDocument)
    except msgspec.ValidationError as error:
        raise ConfigurationInvalid(f'not a snapshot record: {error}') from error
    unpacked = decompress_state(document.content)
    state_machine = ConfigurationStateMachine()
    state_machine.restore(unpacked)
    if state_machine.offset != document.offset:
        raise ConfigurationInvalid(
            f'snapshot record names offset {document.offset}, but contains the'
            f' state of offset {state_machine.offset}'
        )
    return StoredSnapshot(document.offset, entry.appended_at, unpacked)
