"""Responses on connections to upstreams."""

import asyncio
from unittest import mock

from primroseyoke.gateway.connection_pool import UpstreamConnection
from primroseyoke.gateway.connections import Connection
from primroseyoke.gateway.requests import Body, CallerRequest
from primroseyoke.gateway.settings import ResponseLimits
from primroseyoke.platform.headers import HeaderCodec

LATE_COPY = (
    b'HTTP/1.1 200 OK\r\nx-primroseyoke-request-id: before\r\n'
    b'content-length: 6\r\n\r\n'
)
RESPONSE = (
    b'HTTP/1.1 200 OK\r\nx-primroseyoke-request-id: now\r\n'
    b'content-length: 2\r\n\r\nok'
)


def test_reading_may_be_interrupted_within_a_late_copy_of_a_response() -> None:
    """Guards against the rest of a late copy that is taken for the response.

    Reading is interrupted when an upstream has been silent for long, and goes
    on when it does.
    """

    async def scenario() -> None:
        connection = Connection()
        connection.connection_made(mock.MagicMock())
        upstream = UpstreamConnection(mock.Mock(), connection, ResponseLimits())
        request = CallerRequest(
            'POST', '/', '/', 'h', (), body=Body((b'question',))
        )
        await upstream.send(
            request, [(b'host', b'h'), (b'content-length', b'8')]
        )
        receiving = asyncio.ensure_future(
            upstream.receive_head(HeaderCodec(), 'now')
        )
        await asyncio.sleep(0)
        connection.data_received(LATE_COPY + b'abc')
        await asyncio.sleep(0.01)
        receiving.cancel()
        await asyncio.gather(receiving, return_exceptions=True)
        connection.data_received(b'def' + RESPONSE)
        head = await upstream.receive_head(HeaderCodec(), 'now')
        assert head.request_id == 'now'
        assert [part async for part in upstream.body()] == [b'ok']

    asyncio.run(scenario())


def test_an_idle_connection_keeps_no_body() -> None:
    """Guards against memory held by connections that carry no request."""

    async def scenario() -> None:
        connection = Connection()
        connection.connection_made(mock.MagicMock())
        upstream = UpstreamConnection(mock.Mock(), connection, ResponseLimits())
        request = CallerRequest(
            'POST', '/', '/', 'h', (), body=Body((b'question',))
        )
        await upstream.send(
            request, [(b'host', b'h'), (b'content-length', b'8')]
        )
        connection.data_received(RESPONSE)
        await upstream.receive_head(HeaderCodec(), 'now')
        assert [part async for part in upstream.body()] == [b'ok']
        assert upstream.prepare_reuse()
        assert not upstream.request_events

    asyncio.run(scenario())
