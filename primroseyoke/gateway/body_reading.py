"""Reads the bodies of callers' requests."""

import asyncio
import functools
from typing import Any

import h11

from ..exceptions import RequestInvalid
from .configuration import CallerLimits
from .connections import Connection
from .memory import SMALL_BODY_BYTES, RequestMemory
from .parsing import next_event
from .requests import BLOCK_BYTES, Body

__all__ = ('BodyReader', 'declared_length', 'next_request_event')

_TOO_LARGE = 413


class BodyReader:
    """Reads the body of one request within limits of size, time and memory."""

    def __init__(
        self,
        connection: Connection,
        parser: h11.Connection,
        limits: CallerLimits,
        memory: RequestMemory,
    ) -> None:
        """Read from ``connection``; hold ``memory`` for what was read."""
        self.connection = connection
        self.parser = parser
        self.limits = limits
        self.memory = memory
        self.blocks: list[bytes] = []
        self.last_block = bytearray()
        self.size = 0

    async def read(self, declared: int | None, timeout: float) -> Body:
        """Return the body.

        Args:
            declared: its length as the head states it, None if unknown.
            timeout: how long the caller waits for the response, in seconds.

        Raises:
            RequestInvalid: the body exceeds a limit or is not valid HTTP.
            RequestFailed: there is too little memory for it.
            ConnectionError: the connection was lost.
        """
        limit = self.limits.body_bytes
        expected = limit if declared is None else declared
        if expected > limit:
            raise RequestInvalid('the body is too large', _TOO_LARGE)
        if self.parser.they_are_waiting_for_100_continue:
            if expected > SMALL_BODY_BYTES:
                await self._reserve(expected, timeout)
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self.connection.write(self.parser.send(interim) or b'')
        event = await self._next_event()
        while isinstance(event, h11.Data):
            self._add(event.data)
            if self.size > SMALL_BODY_BYTES:
                await self._reserve(expected, timeout)
            event = await self._next_event()
        self.memory.finish_body(self.size)
        if self.last_block:
            self.blocks.append(bytes(self.last_block))
        return Body(tuple(self.blocks))

    def _add(self, content: bytes) -> None:
        self.last_block += content
        while len(self.last_block) >= BLOCK_BYTES:
            self.blocks.append(bytes(self.last_block[:BLOCK_BYTES]))
            del self.last_block[:BLOCK_BYTES]  # noqa: WPS420 - keeps the rest
        self.size += len(content)
        self.memory.record_received(len(content))
        if self.size > self.limits.body_bytes:
            raise RequestInvalid('the body is too large', _TOO_LARGE)

    async def _reserve(self, expected: int, timeout: float) -> None:
        """Reserve memory for the whole body, once."""
        if not self.memory.has_body:
            await self.memory.reserve_body(expected, self.size, timeout)

    async def _next_event(self) -> Any:
        if self.memory.revoked:
            raise self.memory.revoked_error()
        try:
            async with asyncio.timeout(self.limits.idle_timeout) as timer:
                self.memory.on_revoke = functools.partial(
                    timer.reschedule, asyncio.get_running_loop().time()
                )
                return await next_request_event(self.connection, self.parser)
        except TimeoutError:
            if self.memory.revoked:
                raise self.memory.revoked_error() from None
            raise RequestInvalid('the body took too long', 408) from None
        finally:
            self.memory.on_revoke = None


async def next_request_event(
    connection: Connection, parser: h11.Connection
) -> Any:
    """Return the next event of a request.

    Raises:
        RequestInvalid: it is not valid HTTP.
        ConnectionError: the connection was lost.
    """
    try:
        return await next_event(parser, connection)
    except h11.RemoteProtocolError as error:
        raise RequestInvalid(str(error), error.error_status_hint) from error


def declared_length(head: h11.Request) -> int | None:
    """Return the Content-Length of a request, None for a chunked body."""
    for name, text in head.headers:
        if name == b'transfer-encoding':
            return None
        if name == b'content-length':
            return int(text)
    return 0
