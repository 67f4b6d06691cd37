"""Responses without end from an upstream, read by an agent's client."""

import socket
import threading
import time

import pytest

from primroseyoke.exceptions import RequestFailed, ServiceUnavailable
from primroseyoke.upstream_client import UpstreamClient, UpstreamRequest
from primroseyoke.verdicts import Verdict

OK = b'HTTP/1.1 200 OK\r\n'
CHUNKED = OK + b'Transfer-Encoding: chunked\r\n\r\n'
ENDLESS = {
    'header lines': (OK, b'x-a: b\r\n'),
    'one header': (OK + b'x-a: ', b'aaaaaaaa'),
    'informational responses': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'no HTTP': (b'', b'\x00\xffnonsense'),
    'chunk extension': (CHUNKED + b'5;a=', b'aaaaaaaa'),
    'trailers': (CHUNKED + b'2\r\nok\r\n0\r\n', b'x-a: b\r\n'),
}
MAX_SENT_BYTES = 16 * 2**20
MAX_SECONDS = 5


class EndlessServer:
    """Sends bytes on each connection until the client closes it."""

    def __init__(self, beginning, repeated):
        self.beginning = beginning
        self.block = repeated * (65536 // len(repeated))
        self.sent_bytes = 0
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.address = '127.0.0.1:{0}'.format(self.listener.getsockname()[1])
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self):
        connection, _ = self.listener.accept()
        with connection:
            connection.recv(65536)
            try:
                connection.sendall(self.beginning)
                while self.sent_bytes <= MAX_SENT_BYTES:
                    connection.sendall(self.block)
                    self.sent_bytes += len(self.block)
            except OSError:
                return


@pytest.mark.parametrize('kind', ENDLESS)
def test_an_endless_response_is_a_failure_that_may_have_run(kind):
    """Guards against threads and memory held by bytes that are no response."""
    server = EndlessServer(*ENDLESS[kind])
    client = UpstreamClient(server.address, 1)
    request = UpstreamRequest('GET', '/', (), b'', 3)
    started = time.monotonic()
    with pytest.raises(RequestFailed) as failure:
        for _ in client.send_request(request).chunks():
            pass
    assert failure.value.verdict is Verdict.MAY_HAVE_RUN
    assert time.monotonic() - started < MAX_SECONDS
    assert server.sent_bytes < MAX_SENT_BYTES


def test_an_endless_load_report_is_no_report():
    server = EndlessServer(*ENDLESS['informational responses'])
    with pytest.raises(ServiceUnavailable):
        UpstreamClient(server.address, 1).fetch_load()
    assert server.sent_bytes < MAX_SENT_BYTES
