"""Reads HTTP/1.1 events from a connection with h11."""

from typing import Any

import h11

from .connections import Connection

__all__ = ('next_event',)


async def next_event(parser: h11.Connection, connection: Connection) -> Any:
    """Return the next event of an HTTP message.

    Other tasks run in between, also while there is much to parse.

    Raises:
        ConnectionError: the connection was lost.
        h11.RemoteProtocolError: the peer sent invalid HTTP, or closed the
            connection within a message.
    """
    await connection.turns.count_part()
    event = parser.next_event()
    while event is h11.NEED_DATA:
        parser.receive_data(await connection.read())
        event = parser.next_event()
    return event
