"""Handover of key rows between successive processes of one upstream.

Each process appends a ``started`` record to the stream ``keys/<upstream>``
before it accepts keys. After draining it appends its rows in numbered pages
and then a ``stopped`` record. Two processes cannot listen on the same address,
so the order of the ``started`` records is the order in which the processes
served; a ``stopped`` record may be appended late.
"""

import dataclasses
import logging
import math
import threading
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

import msgspec

from .exceptions import ServiceUnavailable
from .idempotency_keys import KeyRow, KeyState, StoredResponse, initial_floor
from .log_service import LogRecord, LogService

__all__ = (
    'InheritedKeys',
    'KeyHandover',
    'parse_inherited_keys',
)

log = logging.getLogger(__name__)

_RETRY_INTERVAL_SECONDS = 2.0
# A page ends with the row that exceeds this size, so that a record stays below
# 1 MiB.
_PAGE_THRESHOLD_BYTES = 2**19
# Responses beyond this total are left out, so that the next process can hold
# what it reads. Repeated calls with their keys are then answered ``ran``.
_HANDED_OVER_RESPONSES_LIMIT_BYTES = 2**22
# Raised when a record is corrupt or was written by another version.
_PARSE_ERRORS = (ValueError, TypeError, LookupError)

KeyIdentity = tuple[str, str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class InheritedKeys:
    """Rows and floor with which the table opens; see ``KeyTable.open``."""

    rows: Mapping[KeyIdentity, KeyRow]
    floor: float


class KeyHandover:
    """Handover stream of one upstream, as used by one of its processes."""

    def __init__(
        self,
        service: LogService,
        upstream: str,
        incarnation: str,
    ) -> None:
        """Write to the stream of ``upstream`` as process ``incarnation``."""
        self.service = service
        self.stream = f'keys/{upstream}'
        self.incarnation = incarnation

    def register(
        self,
        listening_since: float,
        stopped: threading.Event,
    ) -> InheritedKeys | None:
        """Register this process; return what it inherits.

        Retries until the log has the registration, or until ``stopped`` is set;
        then the result is None.

        Args:
            listening_since: when this process began to listen (Unix seconds).
            stopped: ends the retries.
        """
        while not stopped.is_set():
            try:
                return self._try_register(listening_since)
            except ServiceUnavailable as error:
                log.warning(
                    'key handover: not registered in the log, retrying; keys'
                    ' are rejected: %s',
                    error,
                )
            stopped.wait(_RETRY_INTERVAL_SECONDS)
        return None

    def renew_registration(self) -> None:
        """Repeat the ``started`` record before its retention time ends."""
        try:
            self._append('started')
        except ServiceUnavailable as error:
            log.warning(
                'key handover: registration not renewed in the log: %s', error
            )

    def hand_over(
        self,
        rows: Mapping[KeyIdentity, KeyRow],
        floor: float,
        now: float,
    ) -> None:
        """Append rows and floor of a sealed table; they are lost on failure."""
        if floor == math.inf:
            # The table was never opened, so the rows of earlier processes are
            # still unknown and an empty handover would be wrong.
            return
        pages = list(_encode_pages(rows, now))
        try:
            for number, page in enumerate(pages):
                self._append('rows', number=number, rows=page)
            # JSON has no infinity; null stands for no floor.
            known = floor if math.isfinite(floor) else None
            self._append('stopped', pages=len(pages), floor=known)
        except ServiceUnavailable as error:
            log.warning(
                'key handover: rows not appended; the next process rejects'
                ' earlier keys: %s',
                error,
            )

    def _append(self, kind: str, **content: Any) -> LogRecord:
        record = {'kind': kind, 'incarnation': self.incarnation, **content}
        return self.service.append(self.stream, record)

    def _try_register(self, listening_since: float) -> InheritedKeys:
        own = self._append('started')
        first = 0
        offset = 0
        contents: list[Any] = []
        while offset <= own.offset:
            page = self.service.read(self.stream, offset)
            if not page.records:
                raise ServiceUnavailable(
                    f'log stream {self.stream}: record {own.offset} was'
                    ' appended but cannot be read yet',
                )
            first = max(first, page.first)
            offset = page.records[-1].offset + 1
            contents.extend(entry.content for entry in page.records)
        earlier = [
            content
            for content in contents
            if content.get('incarnation') != self.incarnation
        ]
        if not earlier and not first:
            return InheritedKeys({}, -math.inf)
        inherited = parse_inherited_keys(earlier)
        return inherited or InheritedKeys({}, initial_floor(listening_since))


def parse_inherited_keys(
    contents: Sequence[Mapping[str, Any]],
) -> InheritedKeys | None:
    """Return what the last process handed over, None if it is incomplete.

    Args:
        contents: records of earlier processes, in log order.
    """
    started = [entry for entry in contents if entry['kind'] == 'started']
    if not started:
        return None
    last = started[-1]['incarnation']
    records_of_last = [
        entry for entry in contents if entry['incarnation'] == last
    ]
    pages = {
        entry['number']: entry['rows']
        for entry in records_of_last
        if entry['kind'] == 'rows'
    }
    for entry in records_of_last:
        # Late ``stopped`` records of earlier processes are filtered out above:
        # only the last process knows the current rows.
        if entry['kind'] == 'stopped':
            return _parse_handed_over(entry, pages)
    return None


def _parse_handed_over(
    stopped: Mapping[str, Any],
    pages: Mapping[int, Iterable[Any]],
) -> InheritedKeys | None:
    try:
        rows = dict(
            _parse_row(encoded)
            for number in range(stopped['pages'])
            for encoded in pages[number]
        )
        floor = stopped['floor']
    except _PARSE_ERRORS as error:
        log.warning(
            'key handover: rows of the previous process discarded, earlier'
            ' keys are rejected: %r',
            error,
        )
        return None
    return InheritedKeys(rows, -math.inf if floor is None else floor)


def _encode_pages(
    rows: Mapping[KeyIdentity, KeyRow], now: float
) -> Iterator[list[Any]]:
    page: list[Any] = []
    size = 0
    response_bytes = 0
    for identity, row in rows.items():
        if row.expires_at <= now:
            continue
        encoded = [
            *identity,
            *_encode_row(
                row, response_bytes < _HANDED_OVER_RESPONSES_LIMIT_BYTES
            ),
        ]
        row_bytes = len(msgspec.json.encode(encoded))
        if row.response is not None:
            response_bytes += row_bytes
        page.append(encoded)
        size += row_bytes
        if size > _PAGE_THRESHOLD_BYTES:
            yield page
            page = []
            size = 0
    if page:
        yield page


def _encode_row(row: KeyRow, with_response: bool) -> list[Any]:
    response = None
    if row.response is not None and with_response:
        body = row.response.body.decode('latin-1')
        response = [row.response.status, row.response.headers, body]
    return [str(row.fingerprint), row.state.value, row.expires_at, response]


def _parse_row(encoded: list[Any]) -> tuple[KeyIdentity, KeyRow]:
    service, client, key, fingerprint, state, expires_at, encoded_response = (
        encoded
    )
    response = None
    if encoded_response is not None:
        headers = tuple((name, text) for name, text in encoded_response[1])
        response = StoredResponse(
            encoded_response[0], headers, encoded_response[2].encode('latin-1')
        )
    row = KeyRow(int(fingerprint), KeyState(state), expires_at, response)
    return (service, client, key), row
