"""Responses at the entry, with the replies of a scripted agent."""

import queue
import threading
import time

import pytest
import xxhash

from primroseyoke.dispatch import Response
from primroseyoke.entry import ResponseBody
from primroseyoke.exceptions import RequestFailed
from primroseyoke.messages import Body, End, Failed, Head, Load, Start
from primroseyoke.verdicts import Verdict

CONTENT = b'0123456789'
WINDOW = 8
END = End(1, len(CONTENT), xxhash.xxh3_64_intdigest(CONTENT), Load())
FAILED = Failed(1, Verdict.MAY_HAVE_RUN, 'cut', 502, False, Load())


class ScriptedAttempt:
    """Attempt with scripted replies that records what the entry sent."""

    def __init__(self, *replies):
        self.replies = queue.SimpleQueue()
        self.received_bytes = 0
        self.granted = []
        self.cancelled = False
        for reply in replies:
            self.received_bytes += len(getattr(reply, 'content', b''))
            self.replies.put(reply)

    def next_reply(self, timeout):
        return self.replies.get(timeout=min(timeout, 0.05))

    def grant_credit(self, size):
        self.granted.append(size)

    def cancel(self):
        self.cancelled = True


def make_response(attempt, *headers, method='GET', seconds=9):
    start = Start(
        1, 's', method, '/', (), b'', 'c', '', 0, 9, True, WINDOW, 0, 0
    )
    head = Head(1, 200, headers, False, Load())
    deadline = time.monotonic() + seconds
    return Response(attempt, head, start, deadline, lambda _: None)


def make_body(position, content):
    return Body(1, position, content)


@pytest.mark.parametrize(
    'replies',
    [
        [make_body(0, CONTENT), FAILED],
        [make_body(0, CONTENT[:4]), END],
        [make_body(0, CONTENT[:4]), make_body(5, CONTENT[5:]), END],
        [make_body(0, CONTENT[:4]), make_body(3, CONTENT[4:]), END],
        [make_body(0, CONTENT[::-1]), END],
        [make_body(0, CONTENT), make_body(10, b'more'), END],
        [make_body(0, CONTENT), Head(1, 200, (), False, Load())],
        [make_body(0, CONTENT)],
    ],
)
@pytest.mark.parametrize('headers', [(), [('Content-Length', '10')]])
def test_corrupt_response_never_looks_complete(replies, headers):
    """Guards against a last byte that is sent before verification."""
    attempt = ScriptedAttempt(*replies)
    response = make_response(attempt, *headers)
    delivered = b''
    with pytest.raises(RequestFailed):
        for chunk in response.chunks():
            delivered += chunk
    assert not headers or len(delivered) < len(CONTENT)
    response.close()
    assert attempt.cancelled or response.ended


def test_entry_holds_at_most_a_window():
    """Guards against credit for bytes that the caller has not read."""
    attempt = ScriptedAttempt(
        make_body(0, CONTENT[:WINDOW]), make_body(WINDOW, CONTENT[WINDOW:])
    )
    response = make_response(attempt, ('Content-Length', '10'))
    response.prefetch()
    assert (attempt.granted, response.held_bytes()) == ([], len(CONTENT))
    chunks = response.chunks()
    assert next(chunks) == CONTENT[:WINDOW]
    assert attempt.granted == []
    attempt.replies.put(END)
    assert next(chunks) == CONTENT[WINDOW:]
    assert attempt.granted == [WINDOW]
    assert list(chunks) == []
    assert response.held_bytes() == 0


def test_response_without_body_is_complete():
    """Guards against a HEAD response that waits for its Content-Length."""
    attempt = ScriptedAttempt(End(1, 0, xxhash.xxh3_64_intdigest(b''), Load()))
    headers = ('Content-Length', '10')
    assert list(make_response(attempt, headers, method='HEAD').chunks()) == []


def test_response_that_fails_before_its_head_is_closed():
    """Guards against a leaked attempt if the caller has disconnected, too."""
    response = make_response(ScriptedAttempt(FAILED))
    with pytest.raises(RequestFailed):
        list(ResponseBody(response))
    assert response.closed


def test_slow_reader_gets_its_response_after_the_deadline():
    """Guards against a response cut off because its caller reads slowly."""
    attempt = ScriptedAttempt(make_body(0, CONTENT))
    response = make_response(attempt, seconds=-1)
    later = threading.Timer(0.02, attempt.replies.put, [END])
    later.start()
    assert b''.join(response.chunks()) == CONTENT
