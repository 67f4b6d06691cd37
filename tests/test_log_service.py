"""Responses of the log service with odd records."""

import json

import pytest
from hypothesis import given, strategies as st

from primroseyoke.log_service import decode_response

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**53), 2**53) | st.text(),
    lambda inner: (
        st.lists(inner, max_size=5)
        | st.dictionaries(st.text(max_size=5), inner, max_size=5)
    ),
    max_leaves=100,
)


def page(*contents: bytes) -> bytes:
    records = b','.join(
        b'{"offset":%d,"appended_at":0,"content":%s}' % pair
        for pair in enumerate(contents)
    )
    return b'{"records":[%s],"first":0,"next":9,"now":1}' % records


@pytest.mark.parametrize('depth', [70, 900, 1100, 100_000])
def test_too_deeply_nested_record_hides_no_other(depth):
    """Guards against hosts that stop following the log because of a record."""
    deep = b'[' * depth + b'"]"' + b']' * depth
    decoded = decode_response(page(b'1', deep, b'{"a":"[[["}'))
    contents = [record['content'] for record in decoded['records']]
    assert (contents[0], contents[2]) == (1, {'a': '[[['})
    assert decoded['next'] == 9
    assert b'"]"' not in json.dumps(contents[1]).encode()


@given(VALUES)
def test_values_that_are_not_deep_are_kept(content):
    body = page(json.dumps(content).encode(), b'[[[[]]]]' + b' ' * 9)
    padding = json.dumps([[]] * 70).encode()
    decoded = decode_response(page(padding, json.dumps(content).encode()))
    assert decoded['records'][1]['content'] == content
    assert decode_response(body)['records'][0]['content'] == content


def test_body_that_is_no_json_is_refused():
    for body in (b'', b'[' * 100_000, b']' * 100, b'{"a":' * 100):
        with pytest.raises(ValueError):
            decode_response(body)
