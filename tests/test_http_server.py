"""The HTTP server for callers, when a response or a caller fails."""

import contextlib
import http.client
import socket
import threading

import pytest

from primroseyoke.http_server import make_caller_server, start_listening
from primroseyoke.settings import Address
from tests.fleet import free_port


class FailingBody:
    """Response body that raises an error after its last piece."""

    def __init__(self, pieces):
        self.pieces = pieces
        self.closed = threading.Event()

    def __iter__(self):
        yield from self.pieces
        raise ValueError('the response body failed')

    def close(self):
        self.closed.set()


@contextlib.contextmanager
def run_server(body, headers=()):
    def answer(_environ, start_response):
        start_response('200 OK', list(headers))
        return body

    address = Address('127.0.0.1', free_port())
    server = make_caller_server(address, answer, 2, 1)
    start_listening(server)
    threading.Thread(target=server.serve, daemon=True).start()
    try:
        yield address
    finally:
        server.stop()


@pytest.mark.parametrize(
    ('version', 'headers'),
    [
        ('HTTP/1.1', []),
        ('HTTP/1.1', [('Content-Length', '99')]),
        ('HTTP/1.0', []),
        ('HTTP/1.0', [('Content-Length', '99')]),
    ],
)
def test_incomplete_response_is_reported_to_the_caller(version, headers):
    """Guards against callers taking a partial response for a complete one."""
    with run_server(FailingBody([b'first ', b'second']), headers) as address:
        caller = socket.create_connection((address.host, address.port))
        caller.sendall(f'GET / {version}\r\nHost: h\r\n\r\n'.encode())
        response = http.client.HTTPResponse(caller)
        with pytest.raises((http.client.HTTPException, ConnectionError)):
            response.begin()
            response.read()


def test_caller_that_stops_reading_is_disconnected():
    """Guards against stalled callers that occupy kernel buffers and threads."""
    sent = []

    def pieces():
        while True:
            yield b'x' * 4096
            sent.append(4096)

    body = FailingBody(pieces())
    with run_server(body) as address:
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.connect((address.host, address.port))
        caller.sendall(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
        assert body.closed.wait(5)
    assert sum(sent) < 100_000


@pytest.mark.parametrize(
    ('beginning', 'repeated'),
    [
        (b'GET / HTTP/1.1\r\nHost: h\r\n', b'x-a: b\r\n'),
        (b'GET / HTTP/1.1\r\nHost: h\r\nx-a: ', b'aaaaaaaa'),
        (b'GET /', b'aaaaaaaa'),
    ],
)
def test_a_head_without_end_is_refused(beginning, repeated):
    """Guards against memory taken by a caller whose head does not end."""
    with run_server([b'answer']) as address:
        caller = socket.create_connection((address.host, address.port))
        caller.sendall(beginning)
        sent = 0
        with contextlib.suppress(ConnectionError):
            while sent < 2**24:
                caller.sendall(repeated * 8192)
                sent += 8192 * len(repeated)
        assert sent < 2**24
        caller.close()
