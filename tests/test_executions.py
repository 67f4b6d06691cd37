"""Response relay at the agent and end to end, including failures."""

import http.client
import json
import socket
import struct
import threading
import time

import pytest

from primroseyoke.exceptions import ConnectionBroken
from primroseyoke.executions import Execution, SharedBuffers
from primroseyoke.messages import Body, Load, Start
from primroseyoke.response_buffering import BufferLimits
from primroseyoke.upstream_client import UpstreamClient, UpstreamRequest
from tests.fleet import Fleet, chat, chat_text, wait_for

WINDOW = 100
REQUEST = json.dumps({'stream': True, 'messages': [{'content': 'end'}]})


class ScriptedUpstream:
    """Upstream that responds in chunks and counts those that were read."""

    status = 200
    headers = ()

    def __init__(self, chunks_to_send):
        self.chunks_to_send = chunks_to_send
        self.chunks_read = 0
        self.closed = False
        self.opening = threading.Event()

    def send_request(self, _request):
        self.opening.wait()
        return self

    def chunks(self):
        for chunk in self.chunks_to_send:
            self.chunks_read += 1
            yield chunk

    def is_unsized_event_stream(self):
        return False

    def close(self):
        self.closed = True

    release = close


class RunningExecution:
    """Execution in a thread of its own that records what it sent."""

    def __init__(self, upstream, limits):
        self.sent = []
        self.ended = []
        start = Start(
            1, 's', 'GET', '/', (), b'', 'c', '', 0, 9, True, WINDOW, 0, 0
        )
        self.limits = limits
        self.execution = Execution(
            1,
            start,
            upstream,
            self.sent.append,
            self.ended.append,
            Load,
            SharedBuffers(limits),
        )
        self.thread = threading.Thread(target=self.execution.run, args=(9,))
        self.thread.start()

    def sent_bytes(self):
        bodies = [part for part in self.sent if isinstance(part, Body)]
        return sum(len(part.content) for part in bodies)


def test_upstream_is_read_ahead_of_the_reader():
    """Guards against an upstream that is kept busy by a slow reader."""
    upstream = ScriptedUpstream([b'x' * WINDOW] * 5)
    upstream.opening.set()
    running = RunningExecution(upstream, BufferLimits(1000, 1000, 1000))
    running.thread.join(5)
    assert running.ended[0].failure is None
    assert (running.sent_bytes(), running.limits.held_bytes) == (
        WINDOW,
        4 * WINDOW,
    )
    running.execution.grant(4 * WINDOW)
    assert (running.sent_bytes(), running.limits.held_bytes) == (5 * WINDOW, 0)


def test_reading_stops_at_the_limit_and_cancel_releases_bytes():
    """Guards against unbounded buffering of a response."""
    upstream = ScriptedUpstream([b'x' * WINDOW] * 50)
    upstream.opening.set()
    running = RunningExecution(upstream, BufferLimits(2 * WINDOW, 1000, 1000))
    wait_for(lambda: running.limits.held_bytes == 2 * WINDOW)
    time.sleep(0.05)
    assert upstream.chunks_read == 3
    running.execution.cancel()
    running.thread.join(5)
    assert (upstream.chunks_read, upstream.closed) == (3, True)
    assert (running.limits.held_bytes, running.limits.held_bytes_by_client) == (
        0,
        {},
    )


def test_cancel_before_the_head_closes_the_upstream():
    """Guards against an upstream that keeps working for a lost caller."""
    upstream = ScriptedUpstream([b'x'] * 50)
    running = RunningExecution(upstream, BufferLimits(1000, 1000, 1000))
    running.execution.cancel()
    upstream.opening.set()
    running.thread.join(5)
    assert (upstream.chunks_read, upstream.closed) == (0, True)


def test_response_without_framing_that_breaks_is_a_failure():
    """Guards against a broken connection taken for the end of a response."""
    listening = socket.create_server(('127.0.0.1', 0))

    def serve():
        connection, _ = listening.accept()
        connection.recv(4096)
        connection.sendall(b'HTTP/1.1 200 OK\r\n\r\npart of an answer')
        time.sleep(0.05)
        # Closes the connection with a reset.
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        connection.close()

    threading.Thread(target=serve, daemon=True).start()
    client = UpstreamClient('127.0.0.1:%d' % listening.getsockname()[1], 1)
    response = client.send_request(UpstreamRequest('GET', '/', (), b'', 2))
    with pytest.raises(ConnectionBroken):
        list(response.chunks())
    listening.close()


@pytest.fixture(scope='module')
def draft_fleet():
    with Fleet({'cold_limit': 8}) as started:
        started.add_service('draft', 'model', ['zone-a'], tokens=400)
        started.entries = [
            started.start_entry('entry-1', 'zone-a', reader_timeout=2)
        ]
        assert started.publish().returncode == 0
        # A linked agent refuses requests until it has a configuration.
        wait_for(lambda: is_ready(started.entries[0]), 10, 'a draft')
        yield started


@pytest.fixture
def draft(draft_fleet):
    """Return entry, agent and engine; reset the engine faults afterwards."""
    processes = draft_fleet.processes
    engine = processes['draft-1-upstream']
    yield draft_fleet.entries[0], processes['draft-1'], engine
    engine.set_faults(crash_after_tokens=None, token_delay=0, tokens=400)


def is_ready(entry):
    return chat(entry, 'draft', 'end').status == 200


def open_stream(entry, receive_buffer=4096):
    """Start a stream on a connection with a small receive buffer."""
    host, _, port = entry.address.partition(':')
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    caller.connect((host, int(port)))
    document = json.loads(REQUEST) | {'model': 'draft'}
    body = json.dumps(document)
    caller.sendall(
        f'POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n'
        f'Content-Length: {len(body)}\r\n\r\n{body}'.encode()
    )
    response = http.client.HTTPResponse(caller)
    response.begin()
    assert response.status == 200, response.read()
    return caller, response


def is_idle(entry, agent, engine):
    answers = [process.state()['answers'] for process in (entry, agent)]
    counts = [(found['open'], found['held_bytes']) for found in answers]
    return counts == [(0, 0)] * 2 and engine.get('/load')['running'] == 0


def test_slow_reader_gets_the_complete_text(draft):
    """Guards against text lost by merging or by limits, end to end."""
    entry, agent, engine = draft
    engine.set_faults(tokens=3000)
    caller, response = open_stream(entry)
    # The engine is free long before the caller has read the response.
    wait_for(lambda: engine.get('/load')['running'] == 0, 5, 'the engine')
    assert agent.state()['answers']['read_to_the_end'] == 1
    response.data = response.read()
    expected = ''.join(f'{word} ' for word in range(3000))
    assert chat_text(response) == f'{expected}end'
    assert len(response.data) < 3000 * 100
    caller.close()
    wait_for(lambda: is_idle(*draft), 5, 'the memory')


@pytest.mark.parametrize('timeout', [0, 2], ids=['leaves', 'takes nothing'])
def test_lost_caller_leaves_no_buffered_bytes(draft, timeout):
    """Guards against buffering a response that no caller will read."""
    draft[2].set_faults(tokens=10**6)
    caller, response = open_stream(draft[0])
    if not timeout:
        caller.close()
        response.close()
    wait_for(lambda: is_idle(*draft), timeout + 5, 'the memory')
    caller.close()


def test_engine_crash_truncates_the_stream(draft):
    """Guards against a truncated stream that looks complete."""
    draft[2].set_faults(crash_after_tokens=20, token_delay=0.01)
    with pytest.raises(http.client.IncompleteRead):
        open_stream(draft[0])[1].read()
    wait_for(lambda: is_idle(*draft), 5, 'the memory')


def test_agent_crash_truncates_the_stream(draft_fleet, draft):
    """Guards against a truncated stream that looks complete."""
    entry, agent, engine = draft
    engine.set_faults(token_delay=0.05)
    _, response = open_stream(entry)
    response.read(500)
    agent.kill()
    with pytest.raises(http.client.IncompleteRead):
        response.read()
    wait_for(lambda: entry.state()['answers']['open'] == 0)
    draft_fleet.restart_agent('draft-1')
    engine.set_faults(token_delay=0)
    wait_for(lambda: is_ready(entry), 10, 'a draft')
