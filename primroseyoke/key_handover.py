"""Handover of key rows between successive processes of one upstream.

Each process appends ``started`` to the stream ``keys/<upstream>`` before it
accepts a key. When it has drained, it appends its rows, in numbered pages, and
``stopped``. Two processes cannot listen at one address, so they served in the
order of their ``started`` records; a ``stopped`` may arrive late.
"""

import dataclasses
import logging
import math
import threading
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

import msgspec

from .exceptions import ServiceUnavailable
from .idempotency_keys import Row, RowState, StoredAnswer, start_floor
from .log_service import LogRecord, LogService

__all__ = ('Handover', 'KeysOpened', 'inherited_keys')

log = logging.getLogger(__name__)

_RETRY_INTERVAL = 2.0
# A record of this size stays below 1 MiB with its last row.
_PAGE_BYTES = 2**19
# Answers beyond this are left out, so that the next process reads the rows
# within its memory. Their keys are then answered ``ran``.
_ANSWER_BYTES = 2**22
# What a record of another version or a damaged one raises.
_ROW_ERRORS = (ValueError, TypeError, LookupError)

Identity = tuple[str, str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class KeysOpened:
    """Keys may be accepted; see ``KeyTable.open`` for the fields."""

    rows: Mapping[Identity, Row]
    floor: float


class Handover:
    """The stream of one upstream as one of its processes uses it."""

    def __init__(
        self,
        service: LogService,
        upstream: str,
        incarnation: str,
    ) -> None:
        """Use the stream of ``upstream`` as process ``incarnation``."""
        self.service = service
        self.stream = f'keys/{upstream}'
        self.incarnation = incarnation

    def open(
        self,
        listening_since: float,
        stopped: threading.Event,
    ) -> KeysOpened | None:
        """Register this process; retries until it is known or ``stopped``.

        Args:
            listening_since: when this process could listen (Unix seconds).
            stopped: ends the retries.
        """
        while not stopped.is_set():
            try:
                return self._register(listening_since)
            except ServiceUnavailable as error:
                log.warning('keys stay closed: %s', error)
            stopped.wait(_RETRY_INTERVAL)
        return None

    def renew(self) -> None:
        """Repeat ``started``, so that it outlives the retention time."""
        try:
            self._append('started')
        except ServiceUnavailable as error:
            log.warning('the start was not repeated in the log: %s', error)

    def close(
        self,
        rows: Mapping[Identity, Row],
        floor: float,
        now: float,
    ) -> None:
        """Leave rows and floor of a sealed table; a failure loses them."""
        if floor == math.inf:
            # Keys were never accepted: what came before is still unknown.
            return
        pages = list(_pages(rows, now))
        try:
            for number, page in enumerate(pages):
                self._append('rows', number=number, rows=page)
            # JSON has no infinity; no floor is null.
            known = floor if math.isfinite(floor) else None
            self._append('stopped', pages=len(pages), floor=known)
        except ServiceUnavailable as error:
            log.warning('keys were not handed over: %s', error)

    def _append(self, kind: str, **content: Any) -> LogRecord:
        named = {'kind': kind, 'incarnation': self.incarnation, **content}
        return self.service.append(self.stream, named)

    def _register(self, listening_since: float) -> KeysOpened:
        own = self._append('started')
        first = 0
        offset = 0
        contents: list[Any] = []
        while offset <= own.offset:
            page = self.service.read(self.stream, offset)
            if not page.records:
                raise ServiceUnavailable('the own record cannot be read yet')
            first = max(first, page.first)
            offset = page.records[-1].offset + 1
            contents.extend(entry.content for entry in page.records)
        earlier = [
            content
            for content in contents
            if content.get('incarnation') != self.incarnation
        ]
        if not earlier and not first:
            return KeysOpened({}, -math.inf)
        inherited = inherited_keys(earlier)
        return inherited or KeysOpened({}, start_floor(listening_since))


def inherited_keys(contents: Sequence[Mapping[str, Any]]) -> KeysOpened | None:
    """Return what the last process left, None if it left nothing whole.

    Args:
        contents: the records of earlier processes, in the order of the log.
    """
    started = [entry for entry in contents if entry['kind'] == 'started']
    if not started:
        return None
    last = started[-1]['incarnation']
    left = [entry for entry in contents if entry['incarnation'] == last]
    pages = {
        entry['number']: entry['rows']
        for entry in left
        if entry['kind'] == 'rows'
    }
    for entry in left:
        # A ``stopped`` of an earlier process may have arrived late; only
        # that of the last one tells how the last one ended.
        if entry['kind'] == 'stopped':
            return _parse_left(entry, pages)
    return None


def _parse_left(
    stopped: Mapping[str, Any],
    pages: Mapping[int, Iterable[Any]],
) -> KeysOpened | None:
    try:
        rows = dict(
            _parse_row(plain)
            for number in range(stopped['pages'])
            for plain in pages[number]
        )
        floor = stopped['floor']
    except _ROW_ERRORS as error:
        log.warning('the rows left cannot be used: %r', error)
        return None
    return KeysOpened(rows, -math.inf if floor is None else floor)


def _pages(rows: Mapping[Identity, Row], now: float) -> Iterator[list[Any]]:
    page: list[Any] = []
    size = 0
    answer_bytes = 0
    for identity, row in rows.items():
        if row.expires_at <= now:
            continue
        plain = [*identity, *_plain_row(row, answer_bytes < _ANSWER_BYTES)]
        row_bytes = len(msgspec.json.encode(plain))
        if row.answer is not None:
            answer_bytes += row_bytes
        page.append(plain)
        size += row_bytes
        if size > _PAGE_BYTES:
            yield page
            page = []
            size = 0
    if page:
        yield page


def _plain_row(row: Row, with_answer: bool) -> list[Any]:
    answer = None
    if row.answer is not None and with_answer:
        body = row.answer.body.decode('latin-1')
        answer = [row.answer.status, row.answer.headers, body]
    return [str(row.fingerprint), row.state.value, row.expires_at, answer]


def _parse_row(plain: list[Any]) -> tuple[Identity, Row]:
    service, client, key, fingerprint, state, expires_at, kept = plain
    answer = None
    if kept is not None:
        headers = tuple((name, text) for name, text in kept[1])
        answer = StoredAnswer(kept[0], headers, kept[2].encode('latin-1'))
    row = Row(int(fingerprint), RowState(state), expires_at, answer)
    return (service, client, key), row
