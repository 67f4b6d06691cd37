"""HTTP responses whose heads, chunk headers and trailers are limited."""

import io
from http.client import HTTPException, HTTPResponse, LineTooLong
from typing import Any

from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool

__all__ = ('LimitedConnectionPool',)

_MAX_LINE_BYTES = 65536
# Lines without any bytes of a body between them: informational responses,
# headers or trailers.
_MAX_LINE_COUNT = 512


class _LimitedReader(io.BufferedReader):
    """Raises an error for lines without end and for lines that are cut.

    The standard library reads any number of informational responses, and
    ``urllib3`` chunk headers and trailers of any size. Both take the end of the
    connection for the end of a head or of trailers.
    """

    def __init__(self, raw: Any) -> None:
        """Read from the unbuffered stream ``raw``."""
        super().__init__(raw)
        self.line_count = 0

    def readline(self, size: int | None = -1, /) -> bytes:
        """Read a line.

        Raises:
            HTTPException: the line is too long or cut, or there are too many
                lines in a row.
        """
        self.line_count += 1
        if self.line_count > _MAX_LINE_COUNT:
            raise HTTPException(f'over {_MAX_LINE_COUNT} lines')
        limit = _MAX_LINE_BYTES + 1 if size is None or size < 0 else size
        line = super().readline(limit)
        if len(line) > _MAX_LINE_BYTES:
            raise LineTooLong('line')
        # The library itself reports a connection without any response.
        if not line.endswith(b'\n') and (line or self.line_count > 1):
            raise HTTPException('the connection ended within a head')
        return line

    def read(self, size: int | None = -1, /) -> bytes:
        """Read part of a body."""
        self.line_count = 0
        return super().read(size)

    def read1(self, size: int = -1, /) -> bytes:
        """Read part of a body with at most one call of the system."""
        self.line_count = 0
        return super().read1(size)

    def readinto(self, buffer: Any, /) -> int:
        """Read part of a body into a buffer."""
        self.line_count = 0
        return super().readinto(buffer)


class _LimitedResponse(HTTPResponse):
    def __init__(self, sock: Any, *args: Any, **options: Any) -> None:
        super().__init__(sock, *args, **options)
        self.fp.close()
        self.fp = _LimitedReader(sock.makefile('rb', buffering=0))


class _LimitedConnection(HTTPConnection):
    response_class = _LimitedResponse


class LimitedConnectionPool(HTTPConnectionPool):
    """Connection pool that limits the responses that it reads."""

    ConnectionCls = _LimitedConnection  # noqa: WPS115 - name of urllib3
