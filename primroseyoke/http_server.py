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

# By default the kernel would buffer megabytes for a slow caller. Linux doubles
# the value to account for its own overhead.
_SEND_BUFFER_BYTES = 4096
_MAX_REQUEST_HEAD_BYTES = 65536
# Above the limit of requests that are accepted, which get an error with a
# verdict; this bounds what a caller can send without end.
_MAX_REQUEST_BODY_BYTES = 2**21
_LINGER_RESET = struct.pack('ii', 1, 0)


class _CallerConnection(HTTPConnection):
    """Connection of a caller that can be reset instead of closed."""

    reset = False

    def _close_kernel_socket(self) -> None:
        if self.reset:
            # With SO_LINGER at zero and without a shutdown, close sends a
            # reset.
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
            )
        else:
            super()._close_kernel_socket()  # type: ignore[misc]  # not in stubs


class _WsgiGateway(wsgi.Gateway_10):
    """Passes requests to the WSGI application."""

    def respond(self) -> None:
        """Send the response, and make a failed body recognizable as incomplete.

        The server closes the connection after a failure. The caller notices a
        missing last chunk, or fewer bytes than Content-Length. A body without
        either (HTTP/1.0) would look complete unless the connection is reset.
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
    """Create a server that disconnects callers that stop reading.

    Args:
        listen: address to listen on.
        application: the WSGI application.
        threads: number of threads, and so of concurrent requests.
        reader_timeout: seconds without progress before a caller is
            disconnected.
    """
    server = wsgi.Server(
        (listen.host, listen.port),
        application,
        numthreads=threads,
        request_queue_size=128,
        timeout=reader_timeout,
        server_name='primroseyoke',
    )
    server.max_request_header_size = _MAX_REQUEST_HEAD_BYTES
    server.max_request_body_size = _MAX_REQUEST_BODY_BYTES
    server.gateway = _WsgiGateway
    server.ConnectionClass = _CallerConnection
    server.error_log = _log_server_error  # type: ignore[method-assign]
    return server


def start_listening(server: wsgi.Server) -> None:
    """Start to listen, with a limited send buffer for each connection.

    Raises:
        OSError: the address is in use or not available.
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
    """Log an error of the HTTP server, such as a caller that disconnected."""
    log.log(level, 'HTTP server: %s', msg.strip(), exc_info=traceback)
