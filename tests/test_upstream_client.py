"""Responses without end from an upstream, read by an agent's client."""

import socket
import struct
import threading
import time

import pytest

from primroseyoke.exceptions import (
    ConnectionBroken,
    RequestFailed,
    ServiceUnavailable,
)
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


@pytest.mark.parametrize(
    'endless', [ENDLESS['informational responses'], (OK + b'\r\n', b'[1, 2]')]
)
def test_an_endless_load_report_is_no_report(endless):
    """Guards against an agent that keeps all bytes of a report without end."""
    server = EndlessServer(*endless)
    with pytest.raises(ServiceUnavailable):
        UpstreamClient(server.address, 1).fetch_load()
    assert server.sent_bytes < MAX_SENT_BYTES


class ScriptedServer:
    """Answers each request with the next of some bytes, and then closes."""

    def __init__(self, *answers, is_reset=False):
        self.answers = iter(answers)
        self.is_reset = is_reset
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.address = '127.0.0.1:{0}'.format(self.listener.getsockname()[1])
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self):
        for content in self.answers:
            connection, _ = self.listener.accept()
            connection.recv(65536)
            connection.sendall(content)
            if self.is_reset:
                time.sleep(0.05)
                connection.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    struct.pack('ii', 1, 0),
                )
            connection.close()


def receive(server):
    """Return the body of a response to a request that may not be repeated."""
    client = UpstreamClient(server.address, 1)
    request = UpstreamRequest('POST', '/', (), b'', 3, idempotent=False)
    return b''.join(client.send_request(request).chunks())


@pytest.mark.parametrize('status', [b'000', b'099', b'101', b'600', b'999'])
def test_invalid_status_is_a_failure_that_may_have_run(status):
    """Guards against a status that no caller understands, as an answer."""
    head = b'HTTP/1.1 %s Odd\r\nContent-Length: 0\r\n\r\n' % status
    with pytest.raises(RequestFailed) as failure:
        receive(ScriptedServer(head))
    assert failure.value.verdict is Verdict.MAY_HAVE_RUN


HEADS = {
    'length': OK + b'X-A: b\r\nContent-Length: 0\r\nX-B: c\r\n\r\n',
    'no body': b'HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n',
    'chunks': CHUNKED + b'0\r\n\r\n',
    'neither': OK + b'X-A: b\r\n\r\n',
}


@pytest.mark.parametrize('kind', HEADS)
def test_head_that_is_cut_is_a_failure(kind):
    """Guards against a complete, empty success for a head that was cut."""
    cuts = [HEADS[kind][:place] for place in range(1, len(HEADS[kind]))]
    server = ScriptedServer(*cuts)
    for _ in cuts:
        with pytest.raises(RequestFailed) as failure:
            receive(server)
        assert failure.value.verdict is Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize('body', [b'', b'all of it'])
def test_body_may_end_with_the_connection(body):
    """Guards against answers that are lost because nothing frames them."""
    assert receive(ScriptedServer(OK + b'\r\n' + body)) == body


def test_body_that_ends_with_a_reset_is_a_failure():
    """Guards against part of a body that passes for a complete one."""
    server = ScriptedServer(OK + b'\r\nhalf', is_reset=True)
    with pytest.raises(ConnectionBroken):
        receive(server)


EVENT_STREAM = OK + b'Content-Type: text/event-stream\r\n'
EVENTS = b'data: one\n\ndata: two\n\n'


@pytest.mark.parametrize('framing', ['chunks', 'connection'])
@pytest.mark.parametrize('end', [b'data: th', b'data: three\n', b'\r'])
def test_stream_that_ends_within_an_event_is_a_failure(framing, end):
    """Guards against a stream that broke off and passes for a complete one."""
    content = EVENTS + end
    if framing == 'chunks':
        answer = (
            b'%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n'
            % (
                EVENT_STREAM,
                len(content),
                content,
            )
        )
    else:
        answer = EVENT_STREAM + b'\r\n' + content
    with pytest.raises(ConnectionBroken):
        receive(ScriptedServer(answer))


@pytest.mark.parametrize(
    'content', [EVENTS, b'', b'data: x\r\n\r\n', b'data: x\r\r']
)
def test_stream_that_ends_after_an_event_is_complete(content):
    """Guards against sound streams that count as broken."""
    answer = EVENT_STREAM + b'\r\n' + content
    assert receive(ScriptedServer(answer)) == content
