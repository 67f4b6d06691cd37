"""Client of the platform's log service.

The service speaks HTTP with JSON bodies: ``POST /streams/<stream>`` appends the
body and answers ``{"offset", "appended_at"}``; ``GET
/streams/<stream>?from=<offset>&limit=<count>`` answers ``{"records": [{"offset",
"appended_at", "content"}], "first", "next", "now"}``. The offsets of a stream
are consecutive. Times are the log's own, in Unix seconds, and do not decrease
with the offset.
"""

import dataclasses
import json
from typing import Any, TypeVar
from urllib.parse import quote

import msgspec
import urllib3

from .exceptions import ServiceUnavailable

__all__ = (
    'LogPage',
    'LogRecord',
    'LogService',
)

_PAGE_RECORD_LIMIT = 500

_Response = TypeVar('_Response')


@dataclasses.dataclass(frozen=True, slots=True)
class LogRecord:
    """One record with its offset and append time (Unix seconds)."""

    offset: int
    appended_at: float
    content: Any


@dataclasses.dataclass(frozen=True, slots=True)
class LogPage:
    """Part of a stream.

    ``first`` is the lowest retained offset, ``next`` the offset that the next
    append gets, ``now`` the log's time when it answered.
    """

    records: tuple[LogRecord, ...]
    first: int
    next: int
    now: float


@dataclasses.dataclass(frozen=True, slots=True)
class _AppendResult:
    offset: int
    appended_at: float


class LogService:
    """Appends to and reads from streams of the log service."""

    def __init__(self, address: str, timeout: float = 2) -> None:
        """Use the service at ``address`` (``ip:port``), timeout in seconds."""
        self.address = address
        self.pool = urllib3.PoolManager(
            maxsize=2,
            retries=False,
            timeout=timeout,
        )

    def append(self, stream: str, content: Any) -> LogRecord:
        """Append one record.

        Raises:
            ServiceUnavailable: no answer came; the record may be in the log.
        """
        body = msgspec.json.encode(content)
        result = self._call('POST', stream, '', body, _AppendResult)
        return LogRecord(result.offset, result.appended_at, content)

    def read(
        self,
        stream: str,
        offset: int,
        limit: int = _PAGE_RECORD_LIMIT,
    ) -> LogPage:
        """Read at most ``limit`` records from ``offset`` on.

        Raises:
            ServiceUnavailable: no answer, or one that cannot be understood.
        """
        query = f'?from={offset}&limit={limit}'
        return self._call('GET', stream, query, b'', LogPage)

    def _call(
        self,
        method: str,
        stream: str,
        query: str,
        body: bytes,
        response_class: type[_Response],
    ) -> _Response:
        path = quote(stream, safe='')
        url = f'http://{self.address}/streams/{path}{query}'
        try:
            response = self.pool.request(method, url, body=body or None)
        except urllib3.exceptions.HTTPError as error:
            raise ServiceUnavailable(f'log service: {error}') from error
        if response.status != 200:
            raise ServiceUnavailable(f'log service: {response.status}')
        try:
            return msgspec.convert(
                _decode_response(response.data), response_class
            )
        except (ValueError, RecursionError) as error:
            raise ServiceUnavailable(f'log service: {error}') from error


def _decode_response(body: bytes) -> Any:
    try:
        return msgspec.json.decode(body)
    except msgspec.MsgspecError:
        # One record with a lone surrogate or a number out of range must not
        # hide the others on its page: such content becomes None, everywhere.
        return _decode_records(json.loads(body))


def _decode_records(page: Any) -> Any:
    if isinstance(page, dict):
        for entry in page.get('records', ()):
            entry['content'] = _content_or_none(entry['content'])
    return page


def _content_or_none(content: Any) -> Any:
    text = json.dumps(content)
    try:
        return msgspec.json.decode(text)
    except msgspec.MsgspecError:
        return None
