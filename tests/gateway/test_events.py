"""Splitting of server-sent events, whatever the chunk boundaries are."""

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from primroseyoke.exceptions import ResponseInvalid
from primroseyoke.gateway.events import Event, EventSplitter


def take_all(splitter: EventSplitter) -> list[Event]:
    events = []
    while taken := splitter.take():
        events += taken
    return events


STREAM = b'id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid:3\r\ndata: d\r\n\r\n'


@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_events_do_not_depend_on_chunk_boundaries(
    boundaries: list[int],
) -> None:
    splitter = EventSplitter(2**20)
    events = []
    position = 0
    for boundary in [*sorted(boundaries), len(STREAM)]:
        splitter.feed(STREAM[position:boundary])
        events += take_all(splitter)
        position = boundary
    assert b''.join(event.content for event in events) == STREAM
    assert [event.event_id for event in events] == ['1', '2', '3']
    assert not splitter.pending


def test_an_incomplete_event_is_kept_back() -> None:
    splitter = EventSplitter(2**20)
    splitter.feed(b'id: 1\ndata: hal')
    assert not splitter.take()
    assert splitter.pending


def test_an_event_without_end_is_an_error() -> None:
    splitter = EventSplitter(max_event_bytes=1000)
    with pytest.raises(ResponseInvalid):
        for _ in range(1001):
            splitter.feed(b'x')
            splitter.take()


def test_bytes_are_searched_once() -> None:
    """Guards against quadratic time for a long event in many parts."""
    splitter = EventSplitter(2**24)
    started = time.process_time()
    for _ in range(4096):
        splitter.feed(b'x' * 1024)
        assert not splitter.take()
    assert time.process_time() - started < 1
    splitter.feed(b'\n\n')
    assert len(splitter.take()) == 1


@pytest.mark.parametrize('event', [b'\n\n', b': c\n\n', b'data: x\r\n\r\n'])
def test_many_small_events_are_taken_a_few_at_a_time(event: bytes) -> None:
    """Guards against work without a bound for what was received at once."""
    splitter = EventSplitter(2**20)
    splitter.feed(event * 10_000)
    taken = splitter.take()
    assert 0 < len(taken) <= 64
    total = len(taken) + len(take_all(splitter))
    assert total == 10_000
    assert not splitter.pending


def test_complete_events_before_an_endless_one_are_not_lost() -> None:
    splitter = EventSplitter(max_event_bytes=1000)
    splitter.feed(b'id: 1\n\n' + b'x' * 2000)
    assert [event.event_id for event in splitter.take()] == ['1']
    with pytest.raises(ResponseInvalid):
        splitter.take()


def test_large_events_are_taken_a_few_at_a_time() -> None:
    """Guards against a turn, and a copy, as large as what was received."""
    splitter = EventSplitter(2**20)
    event = b'data: ' + b'x' * 16384 + b'\n\n'
    splitter.feed(event * 32)
    taken = splitter.take()
    assert 0 < len(taken) * len(event) < 2**17
    assert len(taken) + len(take_all(splitter)) == 32
