"""Access to the platform's log service over HTTP.

Bodies are JSON. ``POST /streams/<stream>`` appends the body and returns
``{"offset", "appended_at"}``. ``GET
/streams/<stream>?from=<offset>&limit=<count>`` returns ``{"records":
[{"offset", "appended_at", "content"}], "first", "next", "now", "era"}``. The
offsets of a stream are consecutive. Times are those of the log, in Unix
seconds, and do not decrease with the offset. ``era`` rises each time the log
comes back from an older copy; it is 0 if it is missing.
"""

import dataclasses
import json
import re
import types
from collections.abc import Iterator
from typing import Any, TypeVar
from urllib.parse import quote

import msgspec
import urllib3

from .exceptions import ServiceUnavailable

__all__ = (
    'LogPage',
    'LogRecord',
    'LogService',
    'decode_response',
)

_PAGE_RECORD_LIMIT = 500
# Deeper values are null: whether a host can decode more depends on its stack.
_MAX_DEPTH = 64
_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]')
_DEPTH_CHANGES = types.MappingProxyType({b'[': 1, b'{': 1, b']': -1, b'}': -1})

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
    All offsets are of ``era``.
    """

    records: tuple[LogRecord, ...]
    first: int
    next: int
    now: float
    era: int = 0


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
                decode_response(response.data), response_class
            )
        except (ValueError, RecursionError) as error:
            raise ServiceUnavailable(
                f'log service: invalid response to {method} {url}: {error}'
            ) from error


def decode_response(body: bytes) -> Any:
    """Decode a response of the log service.

    Every host reads the same from it: the content of a record that not all
    could decode is None.

    Raises:
        ValueError: it is not valid JSON.
    """
    if body.count(b'[') + body.count(b'{') > _MAX_DEPTH:
        body = _without_deep_values(body)
    try:
        return msgspec.json.decode(body)
    except msgspec.MsgspecError:
        # A record with a lone surrogate or an out-of-range number must not
        # make the rest of its page unreadable. Every host reads such content
        # as None.
        return _decode_records(json.loads(body))


def _without_deep_values(body: bytes) -> bytes:
    """Replace arrays and objects that are nested too deeply by null."""
    kept: list[bytes] = []
    kept_until = 0
    for start, end in _deep_spans(body):
        kept.extend((body[kept_until:start], b'null'))
        kept_until = end
    return b''.join((*kept, body[kept_until:]))


def _deep_spans(body: bytes) -> Iterator[tuple[int, int]]:
    depth = 0
    start = 0
    for token in _TOKENS.finditer(body):
        before = depth
        depth += _DEPTH_CHANGES.get(token[0], 0)
        if (before, depth) == (_MAX_DEPTH, _MAX_DEPTH + 1):
            start = token.start()
        elif (before, depth) == (_MAX_DEPTH + 1, _MAX_DEPTH):
            yield start, token.end()
    if depth > _MAX_DEPTH:
        # It never ends, so the rest is no JSON, and the decoder will say so.
        yield start, len(body)


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
