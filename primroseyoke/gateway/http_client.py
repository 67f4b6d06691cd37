"""HTTP client for services of the platform, such as the store."""

import asyncio
import dataclasses
import uuid
from collections.abc import Callable, Mapping

import h11

from ..exceptions import ServiceRefused, ServiceUnavailable
from .connections import Connection, connect
from .parsing import next_event

__all__ = ('HttpResponse', 'HttpClient')

# A round trip between zones takes 3 ms.
_CONNECT_TIMEOUT_SECONDS = 0.5
# The store answers with 1 MB of records at most, a third more in Base64.
_MAX_BODY_BYTES = 4 * 2**20


def _allow() -> None:
    """Allow each call."""


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """Status, body and headers (by lower-case name) of a response."""

    status: int
    body: bytes
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


class HttpClient:
    """Calls one address over a persistent connection, one call at a time.

    Attributes:
        id_header: name of the header that identifies a call and its response;
            empty if there is none.
        echoes_ids: whether a response on this connection had that header.
    """

    def __init__(
        self,
        host: str,
        port: int,
        resets: bool = False,
        max_body_bytes: int = _MAX_BODY_BYTES,
        id_header: str = '',
    ) -> None:
        """Call the service at ``host`` and ``port``; connect on first use.

        With ``resets``, closing the connection discards what the kernel has not
        yet sent, so that a call that timed out is not delivered later. A
        response with a body over ``max_body_bytes`` is a failure. With
        ``id_header``, each call has an ID of its own, and so must its response;
        responses without an ID are accepted from a service that sends none.
        """
        self.id_header = id_header
        self.echoes_ids = False
        self.host = host
        self.max_body_bytes = max_body_bytes
        self.resets = resets
        self.port = port
        self.connection: Connection | None = None
        self.parser = h11.Connection(h11.CLIENT)
        self.lock = asyncio.Lock()

    @property
    def busy(self) -> bool:
        """Return whether a call is in progress."""
        return self.lock.locked()

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        timeout: float = 2,
        headers: Mapping[str, str] | None = None,
        before_send: Callable[[], None] = _allow,
    ) -> HttpResponse:
        """Return the response to a call; ``timeout`` in seconds.

        ``before_send`` is called immediately before the call is sent, and may
        raise ``ServiceRefused`` to prevent that.

        Raises:
            ServiceRefused: no connection; the call was not sent.
            ServiceUnavailable: no complete response arrived; the service may
                have executed the call.
        """
        try:
            async with asyncio.timeout(timeout), self.lock:
                return await self._call(
                    method, target, body, headers or {}, before_send
                )
        except TimeoutError as error:
            raise ServiceUnavailable(
                f'{target}: no response within {timeout} s',
            ) from error

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self.connection is not None:
            self.connection.abort()
            self.connection = None

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: Mapping[str, str],
        before_send: Callable[[], None],
    ) -> HttpResponse:
        """Make a call while holding the lock of the connection."""
        complete = False
        if self.id_header:
            headers = {**headers, self.id_header: uuid.uuid4().hex}
        try:
            await self._open()
            response = await self._send_and_receive(
                method, target, body, headers, before_send
            )
            self._check_id(response, headers)
            complete = True
        except (ConnectionError, h11.ProtocolError) as error:
            raise ServiceUnavailable(f'{target}: {error!r}') from error
        finally:
            # A late response must not be taken for that of the next call.
            if not complete:
                self.close()
        return response

    def _check_id(
        self, response: HttpResponse, sent: Mapping[str, str]
    ) -> None:
        """Raise ConnectionResetError for the response to another call."""
        found = response.headers.get(self.id_header.lower())
        if found is None and not self.echoes_ids:
            return
        if found != sent.get(self.id_header):
            raise ConnectionResetError(f'response to another call: {found}')
        self.echoes_ids = True

    async def _open(self) -> None:
        if self.connection is not None and self.connection.idle:
            return
        self.close()
        try:
            self.connection = await connect(
                self.host,
                self.port,
                _CONNECT_TIMEOUT_SECONDS,
            )
        except OSError as error:
            raise ServiceRefused(
                f'{self.host}:{self.port}: connection failed: {error!r}',
            ) from error
        if self.resets:
            self.connection.reset_on_close()
        self.parser = h11.Connection(h11.CLIENT)
        self.echoes_ids = False

    async def _send_and_receive(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: Mapping[str, str],
        before_send: Callable[[], None],
    ) -> HttpResponse:
        fields = [
            ('Host', f'{self.host}:{self.port}'),
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
            *headers.items(),
        ]
        head = h11.Request(method=method, target=target, headers=fields)
        connection = self.connection
        if connection is None:
            raise ServiceRefused(f'{target}: not connected')
        before_send()
        content = self.parser.send(head) or b''
        content += self.parser.send(h11.Data(data=body)) or b''
        content += self.parser.send(h11.EndOfMessage()) or b''
        connection.write(content)
        response = await self._receive(connection)
        if self.parser.our_state is h11.DONE:
            self.parser.start_next_cycle()
        else:
            self.close()
        return response

    async def _receive(self, connection: Connection) -> HttpResponse:
        status = 0
        headers: dict[str, str] = {}
        body = bytearray()
        event = await next_event(self.parser, connection)
        while isinstance(event, h11.Response | h11.Data):
            if isinstance(event, h11.Response):
                status = event.status_code
                headers = {
                    name.decode(): text.decode('latin-1')
                    for name, text in event.headers
                }
            else:
                body += event.data
            if len(body) > self.max_body_bytes:
                raise ConnectionResetError(
                    f'body over {self.max_body_bytes} bytes'
                )
            event = await next_event(self.parser, connection)
        if not isinstance(event, h11.EndOfMessage):
            raise ConnectionResetError(
                'connection closed before the response was complete',
            )
        return HttpResponse(status, bytes(body), headers)
