"""The HTTP server towards callers, when an answer or a caller fails."""

import contextlib
import http.client
import socket
import threading

import pytest

from primroseyoke.servers import caller_server, prepare
from primroseyoke.settings import Address
from tests.fleet import free_port


class Body:
    """Answer that breaks off, or goes on until the caller is cut."""

    def __init__(self, pieces):
        self.pieces = pieces
        self.closed = threading.Event()

    def __iter__(self):
        yield from self.pieces
        raise ValueError('the answer broke off')

    def close(self):
        self.closed.set()


@contextlib.contextmanager
def serving(body, headers=()):
    def answer(_environ, start_response):
        start_response('200 OK', list(headers))
        return body

    address = Address('127.0.0.1', free_port())
    server = caller_server(address, answer, 2, 1)
    prepare(server)
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
def test_broken_answer_never_ends_like_a_whole_one(version, headers):
    """Guards against callers who take a part of an answer for the whole."""
    with serving(Body([b'first ', b'second']), headers) as address:
        caller = socket.create_connection((address.host, address.port))
        caller.sendall(f'GET / {version}\r\nHost: h\r\n\r\n'.encode())
        response = http.client.HTTPResponse(caller)
        with pytest.raises((http.client.HTTPException, ConnectionError)):
            response.begin()
            response.read()


def test_caller_who_takes_nothing_is_cut():
    """Guards against kernel buffers and threads that a stalled caller holds."""
    sent = []

    def pieces():
        while True:
            yield b'x' * 4096
            sent.append(4096)

    body = Body(pieces())
    with serving(body) as address:
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.connect((address.host, address.port))
        caller.sendall(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
        assert body.closed.wait(5)
    assert sum(sent) < 100_000
