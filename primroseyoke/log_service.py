"""Access to the platform's log service over HTTP.

Bodies are JSON. ``POST /streams/<stream>`` appends the body and returns
``{"offset", "appended_at"}``. ``GET
/streams/<stream>?from=<offset>&limit=<count>`` returns ``{"records":
[{"offset", "appended_at", "content"}], "first", "next", "now"}``. The offsets
of a stream are consecutive. Times are those of the log, in Unix seconds, and do
not decrease with the offset.
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
    """Consecutive records of a stream.

    ``first`` is the lowest retained offset of the stream, ``next`` the offset
    of the next record to be appended, ``now`` the log's time of the response.
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
        """Use the service at ``address`` (``ip:port``); timeout in seconds."""
        self.address = address
        self.pool = urllib3.PoolManager(
            maxsize=2,
            retries=False,
            timeout=timeout,
        )

    def append(self, stream: str, content: Any) -> LogRecord:
        """Append one record.

        Raises:
            ServiceUnavailable: there was no valid response; the record may
                still be in the log.
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
            ServiceUnavailable: there was no valid response.
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
            raise ServiceUnavailable(
                f'log service: {method} {url} failed: {error}'
            ) from error
        if response.status != 200:
            raise ServiceUnavailable(
                f'log service: {method} {url} returned {response.status},'
                ' expected 200'
            )
        try:
            return msgspec.convert(
                _decode_response(response.data), response_class
            )
        except (ValueError, RecursionError) as error:
            raise ServiceUnavailable(
                f'log service: invalid response to {method} {url}: {error}'
            ) from error


def _decode_response(body: bytes) -> Any:
    try:
        return msgspec.json.decode(body)
    except msgspec.MsgspecError:
        # A record with a lone surrogate or an out-of-range number must not
        # make the rest of its page unreadable. Every host reads such content
        # as None.
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
