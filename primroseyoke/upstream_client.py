"""HTTP client of an upstream: a model engine or a plain service.

The load report is the answer to ``GET /load``: ``{"incarnation", "uptime",
"running"}`` with the uptime in seconds.
"""

import dataclasses
from collections.abc import Iterator
from typing import Any

import msgspec
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from .admission import UpstreamLoad
from .exceptions import (
    ConnectionBroken,
    RequestFailed,
    ServiceRefused,
    ServiceUnavailable,
)
from .hop_by_hop_headers import HOP_BY_HOP_HEADERS
from .limited_responses import LimitedConnectionPool
from .verdicts import Verdict

__all__ = ('UpstreamAnswer', 'UpstreamClient', 'UpstreamRequest')

_CHUNK_BYTES = 16384
# Ends of an event (WHATWG HTML, section 9.2).
_EVENT_ENDS = (b'\n\n', b'\r\n\r\n', b'\r\r')
_EVENT_END_BYTES = 4
_LOAD_TIMEOUT_SECONDS = 2.0
# A report has a few numbers.
_MAX_LOAD_BYTES = 65536
_CONNECT_TIMEOUT_SECONDS = 2.0
# RFC 9110, section 15: others are invalid, interim or a switch of protocols.
_FINAL_STATUSES = range(200, 600)

# Raised on the shutdown of a connection that is already closed or released.
_SHUTDOWN_ERRORS = (HTTPError, OSError, ValueError, RuntimeError)


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request to the upstream; ``timeout`` in seconds.

    A request that is not idempotent is sent over a new connection: if the
    upstream had just closed a reused one, it would be unknown whether it ran.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout: float
    idempotent: bool = True


class UpstreamAnswer:
    """Status, headers and body of a response that is being received."""

    def __init__(self, response: urllib3.BaseHTTPResponse) -> None:
        """Read the status and the headers from ``response``."""
        self.response = response
        self.status = response.status
        self.headers = tuple(
            (name, text)
            for name, text in response.headers.items()
            if name.lower() not in HOP_BY_HOP_HEADERS
        )

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it arrives.

        Raises:
            RequestFailed: reading the body timed out.
            ConnectionBroken: the connection ended before the body, or an event
                stream within an event.
        """
        tail = b''
        try:
            for chunk in self.response.stream(
                _CHUNK_BYTES, decode_content=False
            ):
                tail = (tail + chunk)[-_EVENT_END_BYTES:]
                yield chunk
        except (HTTPError, OSError) as error:
            raise _broken_answer_error(
                f'the upstream broke off its answer: {error}',
                error,
            ) from error
        if tail and self._has_events() and not tail.endswith(_EVENT_ENDS):
            raise ConnectionBroken(
                'the upstream ended its answer within an event',
                Verdict.MAY_HAVE_RUN,
                502,
            )

    def is_unsized_event_stream(self) -> bool:
        """Tell whether the body is server-sent events that may be rewritten.

        Rewriting would break an announced length or a content encoding.
        """
        names = {name.lower() for name, _ in self.headers}
        return self._has_events() and 'content-length' not in names

    def release(self) -> None:
        """Close the connection unless the body was read completely."""
        self.response.close()

    def close(self) -> None:
        """Stop receiving; can be called from any thread."""
        try:
            self.response.shutdown()
        except _SHUTDOWN_ERRORS:
            # The response is complete or the connection is already closed.
            return

    def _has_events(self) -> bool:
        """Tell whether the body is a sequence of events that can be read."""
        names = {name.lower(): text for name, text in self.headers}
        content_type = names.get('content-type', '')
        return (
            content_type.startswith('text/event-stream')
            and 'content-encoding' not in names
        )


class UpstreamClient:
    """Sends requests to one upstream."""

    def __init__(self, address: str, connections: int) -> None:
        """Reuse connections to ``address``; keep up to ``connections`` idle."""
        self.address = address
        self.pool = self._new_pool(connections)

    def send_request(self, request: UpstreamRequest) -> UpstreamAnswer:
        """Send a request and return when the response headers have arrived.

        Raises:
            RequestFailed: no response; ``not_run`` if no connection was made,
                otherwise ``may_have_run``.
            ConnectionBroken: the upstream closed the connection, or answered
                with a status that is not valid.
        """
        pool = self.pool if request.idempotent else self._new_pool(1)
        try:
            response = pool.urlopen(
                request.method,
                request.path,
                body=request.body or None,
                headers=dict(request.headers),
                timeout=urllib3.Timeout(
                    connect=_CONNECT_TIMEOUT_SECONDS,
                    read=request.timeout,
                ),
                preload_content=False,
                redirect=False,
                retries=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise RequestFailed(
                'the upstream refused the connection',
                Verdict.NOT_RUN,
            ) from error
        except (HTTPError, OSError) as error:
            raise _broken_answer_error(
                f'the upstream gave no answer: {error}',
                error,
            ) from error
        if response.status not in _FINAL_STATUSES:
            response.close()
            raise ConnectionBroken(
                f'the upstream answered with status {response.status}',
                Verdict.MAY_HAVE_RUN,
                502,
            )
        return UpstreamAnswer(response)

    def fetch_load(self) -> UpstreamLoad:
        """Request the load report of the upstream.

        Raises:
            ServiceUnavailable: no response, or an invalid one.
            ServiceRefused: the upstream refused the connection.
        """
        try:
            response = self.pool.request(
                'GET',
                '/load',
                timeout=_LOAD_TIMEOUT_SECONDS,
                preload_content=False,
            )
            return _parse_load(_read_report(response))
        except NewConnectionError as error:
            raise ServiceRefused(
                f'load report: connection refused: {error}'
            ) from error
        except (HTTPError, OSError, msgspec.MsgspecError) as error:
            raise ServiceUnavailable(
                f'load report: no valid response: {error}'
            ) from error

    def _new_pool(self, connections: int) -> urllib3.HTTPConnectionPool:
        host, _, port = self.address.rpartition(':')
        return LimitedConnectionPool(
            host,
            int(port),
            maxsize=connections,
            retries=False,
        )


def _broken_answer_error(text: str, error: Exception) -> RequestFailed:
    if isinstance(error, ReadTimeoutError | TimeoutError):
        return RequestFailed(text, Verdict.MAY_HAVE_RUN, 502)
    return ConnectionBroken(text, Verdict.MAY_HAVE_RUN, 502)


def _read_report(response: urllib3.BaseHTTPResponse) -> bytes:
    """Return the body of a report; the connection is kept if it has ended."""
    content = response.read(_MAX_LOAD_BYTES + 1)
    if len(content) > _MAX_LOAD_BYTES:
        response.close()
        raise HTTPError(f'body over {_MAX_LOAD_BYTES} bytes')
    response.release_conn()
    return content


def _parse_load(content: bytes) -> UpstreamLoad:
    decoded: Any = msgspec.json.decode(content)
    return msgspec.convert(decoded, UpstreamLoad)
