"""Client of the platform's log service.

The service speaks HTTP with JSON bodies: ``POST /streams/<stream>`` appends the
body and answers ``{"offset", "appended_at"}``; ``GET
/streams/<stream>?from=<offset>&limit=<count>`` answers ``{"records": [{"offset",
"appended_at", "content"}], "first", "next", "now"}``. Times are the log's own,
in Unix seconds, and do not decrease with the offset.
"""

import dataclasses
from typing import Any
from urllib.parse import quote

import msgspec
import urllib3

from .exceptions import ServiceUnavailable

__all__ = ('LogPage', 'LogRecord', 'LogService')

_PAGE_SIZE = 500


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
        answer = self._call('POST', stream, '', msgspec.json.encode(content))
        return LogRecord(answer['offset'], answer['appended_at'], content)

    def read(self, stream: str, offset: int) -> LogPage:
        """Read records from ``offset`` on, at most 500.

        Raises:
            ServiceUnavailable: no answer, or one that cannot be understood.
        """
        query = f'?from={offset}&limit={_PAGE_SIZE}'
        return msgspec.convert(self._call('GET', stream, query, b''), LogPage)

    def _call(self, method: str, stream: str, query: str, body: bytes) -> Any:
        path = quote(stream, safe='')
        url = f'http://{self.address}/streams/{path}{query}'
        try:
            response = self.pool.request(method, url, body=body or None)
            if response.status != 200:
                raise ServiceUnavailable(f'log service: {response.status}')
            return msgspec.json.decode(response.data)
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as error:
            raise ServiceUnavailable(f'log service: {error}') from error
