"""Answers at the entry, with replies of a scripted agent."""

import queue
import threading
import time

import pytest
import xxhash

from primroseyoke.dispatch import Answer
from primroseyoke.entry import AnswerBody
from primroseyoke.exceptions import RequestFailed
from primroseyoke.messages import Body, End, Failed, Head, Load, Start
from primroseyoke.verdicts import Verdict

CONTENT = b'0123456789'
WINDOW = 8
END = End(1, len(CONTENT), xxhash.xxh3_64_intdigest(CONTENT), Load())
FAILED = Failed(1, Verdict.MAY_HAVE_RUN, 'cut', 502, False, Load())


class Attempt:
    """Replies in order; remembers what the entry sent."""

    def __init__(self, *replies):
        self.replies = queue.SimpleQueue()
        self.received = 0
        self.granted = []
        self.cancelled = False
        for reply in replies:
            self.received += len(getattr(reply, 'content', b''))
            self.replies.put(reply)

    def next_reply(self, timeout):
        return self.replies.get(timeout=min(timeout, 0.05))

    def grant(self, size):
        self.granted.append(size)

    def cancel(self):
        self.cancelled = True


def answer_of(attempt, *headers, method='GET', seconds=9):
    start = Start(
        1, 's', method, '/', (), b'', 'c', '', 0, 9, True, WINDOW, 0, 0
    )
    head = Head(1, 200, headers, False, Load())
    deadline = time.monotonic() + seconds
    return Answer(attempt, head, start, deadline, lambda _: None)


def body(position, content):
    return Body(1, position, content)


@pytest.mark.parametrize(
    'replies',
    [
        [body(0, CONTENT), FAILED],
        [body(0, CONTENT[:4]), END],
        [body(0, CONTENT[:4]), body(5, CONTENT[5:]), END],
        [body(0, CONTENT[:4]), body(3, CONTENT[4:]), END],
        [body(0, CONTENT[::-1]), END],
        [body(0, CONTENT), body(10, b'more'), END],
        [body(0, CONTENT), Head(1, 200, (), False, Load())],
        [body(0, CONTENT)],
    ],
)
@pytest.mark.parametrize('headers', [(), [('Content-Length', '10')]])
def test_broken_answer_never_looks_whole(replies, headers):
    """Guards against a last byte that is sent before the answer is checked."""
    attempt = Attempt(*replies)
    answer = answer_of(attempt, *headers)
    delivered = b''
    with pytest.raises(RequestFailed):
        for chunk in answer.chunks():
            delivered += chunk
    assert not headers or len(delivered) < len(CONTENT)
    answer.close()
    assert attempt.cancelled or answer.ended


def test_entry_holds_at_most_a_window():
    """Guards against credit for bytes that the caller has not taken."""
    attempt = Attempt(body(0, CONTENT[:WINDOW]), body(WINDOW, CONTENT[WINDOW:]))
    answer = answer_of(attempt, ('Content-Length', '10'))
    answer.prefetch()
    assert (attempt.granted, answer.held_bytes()) == ([], len(CONTENT))
    chunks = answer.chunks()
    assert next(chunks) == CONTENT[:WINDOW]
    assert attempt.granted == []
    attempt.replies.put(END)
    assert next(chunks) == CONTENT[WINDOW:]
    assert attempt.granted == [WINDOW]
    assert list(chunks) == []
    assert answer.held_bytes() == 0


def test_answer_without_body_is_whole():
    """Guards against a HEAD answer that waits for its Content-Length."""
    attempt = Attempt(End(1, 0, xxhash.xxh3_64_intdigest(b''), Load()))
    headers = ('Content-Length', '10')
    assert list(answer_of(attempt, headers, method='HEAD').chunks()) == []


def test_answer_that_fails_before_its_head_is_closed():
    """Guards against attempts that stay held when the caller has left, too."""
    answer = answer_of(Attempt(FAILED))
    with pytest.raises(RequestFailed):
        list(AnswerBody(answer))
    assert answer.closed


def test_slow_reader_gets_its_answer_after_the_deadline():
    """Guards against an answer cut because its caller reads slowly."""
    attempt = Attempt(body(0, CONTENT))
    answer = answer_of(attempt, seconds=-1)
    later = threading.Timer(0.02, attempt.replies.put, [END])
    later.start()
    assert b''.join(answer.chunks()) == CONTENT
