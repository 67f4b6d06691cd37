"""The HTTP server that callers connect to."""

import logging
import socket
import struct
from collections.abc import Callable
from typing import Any

from cheroot import wsgi
from cheroot.server import HTTPConnection

from .settings import Address

__all__ = ('make_caller_server', 'start_listening')

log = logging.getLogger(__name__)

# The kernel would buffer megabytes for a slow caller. Linux doubles the figure
# to account for its own overhead.
_SEND_BUFFER_BYTES = 4096
_LINGER_RESET = struct.pack('ii', 1, 0)


class _CallerConnection(HTTPConnection):
    """Connection of a caller, which can be reset instead of closed."""

    reset = False

    def _close_kernel_socket(self) -> None:
        if self.reset:
            # Without the shutdown, the close that follows sends a reset.
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
            )
        else:
            super()._close_kernel_socket()  # type: ignore[misc]  # not in stubs


class _WsgiGateway(wsgi.Gateway_10):
    """Passes a request to the application."""

    def respond(self) -> None:
        """Answer; a body that fails is never closed like a whole one.

        The server closes the connection after a failure. A caller sees that
        the last chunk or a part of Content-Length is missing; a body without
        either (HTTP/1.0) would look whole unless the connection is reset.
        """
        try:
            super().respond()
        except Exception:
            self.req.conn.reset = not self.req.chunked_write
            raise


def make_caller_server(
    listen: Address,
    application: Callable[..., Any],
    threads: int,
    reader_timeout: int,
) -> wsgi.Server:
    """Return a server that cuts off callers who stop reading.

    Args:
        listen: where callers connect.
        application: the WSGI application.
        threads: number of requests in progress.
        reader_timeout: seconds for which a caller may take nothing.
    """
    server = wsgi.Server(
        (listen.host, listen.port),
        application,
        numthreads=threads,
        request_queue_size=128,
        timeout=reader_timeout,
        server_name='primroseyoke',
    )
    server.gateway = _WsgiGateway
    server.ConnectionClass = _CallerConnection
    server.error_log = _log_server_error  # type: ignore[method-assign]
    return server


def start_listening(server: wsgi.Server) -> None:
    """Listen, with bounded send buffers.

    Raises:
        OSError: the address cannot be used.
    """
    server.prepare()
    # Accepted sockets inherit the size from the listening socket.
    server.socket.setsockopt(
        socket.SOL_SOCKET,
        socket.SO_SNDBUF,
        _SEND_BUFFER_BYTES,
    )


def _log_server_error(
    msg: str = '',
    level: int = logging.INFO,
    traceback: bool = False,
) -> None:
    """Log a fault of the HTTP server, such as a caller that went away."""
    log.log(level, 'HTTP server: %s', msg.strip(), exc_info=traceback)
