"""Splitting of server-sent events, whatever the chunk boundaries are."""

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from primroseyoke.exceptions import ResponseInvalid
from primroseyoke.gateway.events import EventSplitter

STREAM = b'id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid:3\r\ndata: d\r\n\r\n'


@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_events_do_not_depend_on_chunk_boundaries(
    boundaries: list[int],
) -> None:
    splitter = EventSplitter(2**20)
    events = []
    position = 0
    for boundary in [*sorted(boundaries), len(STREAM)]:
        events += splitter.feed(STREAM[position:boundary])
        position = boundary
    assert b''.join(event.content for event in events) == STREAM
    assert [event.event_id for event in events] == ['1', '2', '3']
    assert not splitter.pending


def test_an_incomplete_event_is_kept_back() -> None:
    splitter = EventSplitter(2**20)
    assert not splitter.feed(b'id: 1\ndata: hal')
    assert splitter.pending


def test_an_event_without_end_is_an_error() -> None:
    splitter = EventSplitter(max_event_bytes=1000)
    with pytest.raises(ResponseInvalid):
        for _ in range(1001):
            splitter.feed(b'x')


def test_bytes_are_searched_once() -> None:
    """Guards against quadratic time for a long event in many parts."""
    splitter = EventSplitter(2**24)
    started = time.process_time()
    for _ in range(4096):
        splitter.feed(b'x' * 1024)
    assert time.process_time() - started < 1
    assert len(splitter.feed(b'\n\n')) == 1
