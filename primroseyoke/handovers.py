"""Handover of key rows between successive processes of one upstream.

Each process appends ``started`` to the stream ``keys/<upstream>`` before it
accepts a key, and ``stopped`` with its rows when it has drained. Two processes
cannot listen at one address, so the order of the stream is the order in which
they served.
"""

import dataclasses
import logging
import threading
from collections.abc import Mapping
from typing import Any

from .exceptions import ServiceUnavailable
from .keys import Row, RowState, StoredAnswer
from .records import LogRecord, LogService

__all__ = ('Handover', 'KeysOpened')

log = logging.getLogger(__name__)

_RETRY_INTERVAL = 2.0
# Rows of a longer list are not handed over: one record stays below 1 MiB.
_MAX_ROWS = 8000

Identity = tuple[str, str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class KeysOpened:
    """Keys may be accepted; see ``KeyTable.open`` for the rows."""

    rows: Mapping[Identity, Row] | None


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

    def open(self, stopped: threading.Event) -> KeysOpened | None:
        """Register this process; retries until it is known or ``stopped``."""
        while not stopped.is_set():
            try:
                return KeysOpened(self._register())
            except ServiceUnavailable as error:
                log.warning('keys stay closed: %s', error)
            stopped.wait(_RETRY_INTERVAL)
        return None

    def close(self, rows: Mapping[Identity, Row], now: float) -> None:
        """Leave the rows for the next process; a failure loses them."""
        listed = [
            [*identity, *_plain_row(row)]
            for identity, row in rows.items()
            if row.expires_at > now
        ]
        if len(listed) > _MAX_ROWS:
            log.warning('%d keys are too many to hand over', len(listed))
            return
        content = {
            'kind': 'stopped',
            'incarnation': self.incarnation,
            'rows': listed,
        }
        try:
            self.service.append(self.stream, content)
        except ServiceUnavailable as error:
            log.warning('keys were not handed over: %s', error)

    def _register(self) -> Mapping[Identity, Row] | None:
        content = {'kind': 'started', 'incarnation': self.incarnation}
        own = self.service.append(self.stream, content)
        before = [
            entry
            for entry in self._entries(own.offset)
            if entry.content.get('incarnation') != self.incarnation
        ]
        if not before:
            return {}
        last = before[-1].content
        if last.get('kind') != 'stopped':
            return None
        return dict(_parse_row(plain) for plain in last['rows'])

    def _entries(self, end: int) -> list[LogRecord]:
        entries: list[LogRecord] = []
        offset = 0
        while offset < end:
            page = self.service.read(self.stream, offset)
            if not page.records:
                break
            entries.extend(page.records)
            offset = page.records[-1].offset + 1
        return [entry for entry in entries if entry.offset < end]


def _plain_row(row: Row) -> list[Any]:
    answer = None
    if row.answer is not None:
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
