"""Reads HTTP events from a connection."""

from typing import Any

import h11

from .connections import Connection

__all__ = ('next_event',)


async def next_event(parser: h11.Connection, connection: Connection) -> Any:
    """Return the next event of a message.

    Raises:
        ConnectionError: the connection broke.
        h11.RemoteProtocolError: the peer does not keep to HTTP, or ended
            within a message.
    """
    event = parser.next_event()
    while event is h11.NEED_DATA:
        parser.receive_data(await connection.read())
        event = parser.next_event()
    return event
