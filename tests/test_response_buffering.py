"""Response buffering: merging of chat events and byte limits."""

import json
import re

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from primroseyoke.response_buffering import BufferLimits, ResponseBuffer

MODEL = {'id': 'c1', 'object': 'chat.completion.chunk', 'model': 'm'}


def delta(text, choice=(), top=(), **fields):
    choices = [
        {'index': 0, 'delta': {'content': text, **fields}, **dict(choice)}
    ]
    return {**MODEL, 'choices': choices, **dict(top)}


def event(document, end=b'\n\n', ascii_only=True):
    text = json.dumps(document, ensure_ascii=ascii_only)
    return b'data: %b%b' % (text.encode(), end)


CHUNK_TEXTS = st.text(
    st.characters(codec='utf-8') | st.sampled_from('"\\\n🜚é'), max_size=4
)
MERGEABLE_EVENTS = st.builds(
    event,
    st.builds(delta, CHUNK_TEXTS),
    st.sampled_from([b'\n\n', b'\n\n', b'\r\n\r\n']),
    st.booleans(),
)
TOOL_CALL = {'index': 0, 'function': {'arguments': '{'}}
UNMERGEABLE_EVENTS = st.sampled_from(
    [
        event(delta('x', {'finish_reason': 'stop'})),
        event(delta('x', {'logprobs': {'content': []}})),
        event(delta('x', role='assistant')),
        event(delta('x', tool_calls=[TOOL_CALL])),
        event(delta('x', reasoning_content='r')),
        event(delta('x', top={'usage': {'total_tokens': 1}})),
        event(delta('x', top={'unknown': [1]})),
        event(delta('x', top={'model': 'content'})),
        event({**MODEL, 'choices': delta('x')['choices'] * 2}),
        event({**MODEL, 'choices': []}),
        event(delta('\ud83d')),
        event(delta('\ude00')),
        event(delta('x')).replace(b'"x"', b'"\xff"'),
        event(delta('')).replace(b'""', b'"'),
        event(delta('x')).replace(b'"x"', b'"x", "content": "y"'),
        event(delta('x')).replace(b'"x"', b'"x", "cont\\u0065nt": "y"'),
        event(delta('x')).replace(b'data: ', b'id: 7\ndata: '),
        event(delta('x')).replace(b', "model"', b',\rdata: "model"'),
        event(delta('x'), b'\r\r'),
        event(delta('x'), b'\n\r\n'),
        event(delta('x'), b'\n'),
        b'data: [DONE]\n\n',
        b': ping\n\n',
        b'\n\n',
        b'\r',
        b'data: {"choices"',
    ]
)
REPEATED_EVENTS = st.builds(
    lambda other, count: other * count, UNMERGEABLE_EVENTS, st.integers(1, 3)
)
STREAMS = st.lists(
    MERGEABLE_EVENTS | MERGEABLE_EVENTS | REPEATED_EVENTS, max_size=12
).map(b''.join)
#: Number of bytes received, and number of bytes then taken.
STEPS = st.lists(st.tuples(st.integers(1, 300), st.integers(0, 300)))


def is_mergeable(document):
    if not isinstance(document, dict) or set(document) != {*MODEL, 'choices'}:
        return False
    choice = document['choices'][0] if len(document['choices']) == 1 else {}
    return set(choice) == {'index', 'delta'} and set(choice['delta']) == {
        'content'
    }


def joined_events(stream):
    """Return the events of a stream, joining adjacent mergeable texts."""
    events = []
    for raw, end in re.findall(
        rb'(?s)(.*?)((?:\r\n|\n|\r(?!\n)){2}|\Z)', stream
    ):
        try:
            document = json.loads(raw.removeprefix(b'data: ').decode())
            text = document['choices'][0]['delta']['content']
            text.encode()  # Fails for an unpaired surrogate.
            assert is_mergeable(document) and raw.count(b'ontent"') == 1
        except (ValueError, LookupError, TypeError, AssertionError):
            events.append((raw, end))
            continue
        if events and events[-1][0] is None and events[-1][2] == end:
            text = events.pop()[1] + text
        events.append((None, text, end))
    return events


@given(STREAMS, STEPS)
@example(event(delta('a')) + event(delta('')).replace(b'""', b'"'), [])
@example(b'id: 7\n' + event(delta('a')) * 2, [(6, 6)])
@settings(max_examples=400)
def test_merging_preserves_text_and_fields(stream, steps):
    """Guards against lost, added or reordered text or fields."""
    buffer = ResponseBuffer(merging=True)
    sent = b''
    rest = stream
    for arriving, credit in steps:
        buffer.put(rest[:arriving])
        rest = rest[arriving:]
        held = buffer.size
        taken = buffer.take(credit)
        assert len(taken) == min(credit, held)
        sent += taken
    buffer.put(rest)
    sent += buffer.take(buffer.size)
    assert buffer.size == 0
    assert joined_events(sent) == joined_events(stream)


@given(st.lists(MERGEABLE_EVENTS | UNMERGEABLE_EVENTS, max_size=12))
def test_fast_reader_gets_each_token_at_once(events):
    """Guards against tokens that are delayed until later ones arrive."""
    buffer = ResponseBuffer(merging=True)
    for arrived in events:
        buffer.put(arrived)
        assert buffer.take(10**6) == arrived


@pytest.mark.parametrize('end', [b'\n\n', b'\r\n\r\n'])
@pytest.mark.parametrize('size', [1, 7, 10**6])
def test_buffered_tokens_become_one_event(size, end):
    """Guards against buffered events that are not merged."""
    buffer = ResponseBuffer(merging=True)
    stream = event(delta('token '), end) * 250
    for start in range(0, len(stream), size):
        buffer.put(stream[start : start + size])
    assert buffer.take(10**6) == event(delta('token ' * 250), end)


@pytest.mark.parametrize(
    ('client', 'held', 'expected'),
    [
        ('large', 0, True),
        ('large', 1, False),
        ('small', 9, True),
        ('small', 10, False),
    ],
)
def test_client_at_its_limit_leaves_capacity_for_others(client, held, expected):
    """Guards against one client that uses up the memory of the others."""
    limits = BufferLimits(response_limit=10, client_limit=20, process_limit=30)
    limits.adjust('large', 20)
    limits.adjust('small', 9)
    assert limits.may_read(client, held) is expected
    limits.adjust('small', 1)
    assert not limits.may_read(client, 1)
    assert limits.may_read(client, 0)
