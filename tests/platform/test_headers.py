"""Conversion between HTTP headers and request types."""

import math

import pytest

from primroseyoke.gateway.requests import ForwardingInfo, Load
from primroseyoke.platform.headers import HeaderCodec

CODEC = HeaderCodec()
HEADERS = [
    (b'host', b'shop.example'),
    (b'authorization', b'Bearer secret'),
    (b'x-primroseyoke-request-id', b'9c41'),
    (b'x-primroseyoke-request-timeout-ms', b'8040'),
    (b'x-primroseyoke-tenant', b'forged'),
    (b'x-primroseyoke-token-usage', b'1460,80'),
    (b'x-primroseyoke-model', b'm'),
    (b'x-primroseyoke-prompt-prefix', b'5c:800,91:410'),
    (b'last-event-id', b'12'),
    (b'connection', b'keep-alive'),
    (b'transfer-encoding', b'chunked'),
    (b'x-own', b'kept'),
]


def test_request_headers_are_decoded() -> None:
    request = CODEC.decode_request('POST', '/a/b?c=1', HEADERS, 50)
    assert (request.path, request.target) == ('/a/b', '/a/b?c=1')
    assert (request.api_key, request.request_id) == ('secret', '9c41')
    assert request.timeout == 8.04
    assert request.last_event_id == '12'


def test_upstream_gets_caller_and_balancer_headers() -> None:
    request = CODEC.decode_request('POST', '/a/', HEADERS, 50)
    forwarding = ForwardingInfo(
        'i-7', 7.5, client='workshop', last_event_id='14'
    )
    encoded = dict(CODEC.encode_request(request, forwarding))
    assert encoded[b'x-primroseyoke-expect-instance'] == b'i-7'
    assert encoded[b'x-primroseyoke-request-timeout-ms'] == b'7500'
    assert encoded[b'x-primroseyoke-tenant'] == b'workshop'
    assert encoded[b'last-event-id'] == b'14'
    assert encoded[b'x-primroseyoke-prompt-prefix'] == b'5c:800,91:410'
    assert encoded[b'x-own'] == b'kept'
    assert encoded[b'content-length'] == b'0'
    for name in (b'authorization', b'connection', b'transfer-encoding'):
        assert name not in encoded


def test_client_account_header_from_caller_is_dropped() -> None:
    request = CODEC.decode_request('GET', '/a/', HEADERS, 50)
    encoded = dict(
        CODEC.encode_request(request, ForwardingInfo('i-7', math.inf))
    )
    assert b'x-primroseyoke-tenant' not in encoded


def test_reply_headers_are_decoded() -> None:
    reply = CODEC.decode_response(
        200,
        [
            (b'x-primroseyoke-request-id', b'9c41'),
            (b'x-primroseyoke-response-signature', b'3e1b'),
            (b'x-primroseyoke-instance-load', b'3,0,8'),
            (b'keep-alive', b'timeout=5, max=100'),
            (b'connection', b'keep-alive'),
        ],
    )
    assert reply.signed
    assert reply.executed
    assert reply.load == Load(3, 0, 8)
    assert reply.keep_alive == 5
    assert b'connection' not in dict(reply.headers)


def test_not_executed_requires_upstream_statement() -> None:
    not_executed = [(b'x-primroseyoke-not-executed', b'1')]
    assert not CODEC.decode_response(503, not_executed).executed
    assert not CODEC.decode_response(421, []).executed
    assert CODEC.decode_response(503, []).executed
    assert CODEC.decode_response(500, []).executed


def test_malformed_header_values_count_as_missing() -> None:
    malformed = [
        (b'x-primroseyoke-request-timeout-ms', b'soon'),
        (b'x-primroseyoke-token-usage', b'1,2,3'),
        (b'authorization', b'Basic abc'),
    ]
    request = CODEC.decode_request('GET', '/', malformed, 50)
    assert request.timeout == math.inf
    assert not request.api_key


@pytest.mark.parametrize(
    ('text', 'parts'),
    [
        (b'', ()),
        (b'5c:800', ()),
        (b'5c:800,91:410', ('5c',)),
        (b'5c:800, 91 ,,e4:1,last', ('5c', '91', 'e4')),
        (b','.join(b'%x:1' % part for part in range(99)), None),
    ],
)
def test_shared_parts_of_the_prompt_are_decoded(text, parts) -> None:
    headers = [*HEADERS, (b'x-primroseyoke-prompt-prefix', text)]
    request = CODEC.decode_request('POST', '/', headers, 50)
    if parts is None:
        parts = tuple(f'{part:x}' for part in range(32))
    assert request.prompt_parts == parts
    assert (b'x-primroseyoke-prompt-prefix', text) in request.headers


@pytest.mark.parametrize(
    ('contents', 'limit'),
    [
        ([b'1.3'], 1.3),
        ([b' 2 '], 2),
        ([b'0'], 0),
        ([], None),
        ([b'x'], None),
        ([b'-1'], None),
        ([b'1e9'], None),
        ([b'nan'], None),
        ([b'9' * 400], None),
        ([b'1', b'2'], None),
    ],
)
def test_limits_that_upstreams_state_are_decoded(contents, limit) -> None:
    headers = [(b'server-limit', content) for content in contents]
    assert CODEC.decode_response(200, headers).rate_limit == limit
    assert CODEC.decode_response(503, headers).rate_limit == limit


def test_limit_that_another_upstream_states_is_ignored() -> None:
    """Guards against a limit of an upstream that took over the address."""
    headers = [(b'server-limit', b'1')]
    assert CODEC.decode_response(421, headers).rate_limit is None


@pytest.mark.parametrize(
    ('status', 'contents', 'pause'),
    [
        (503, [b'1.5'], 1.5),
        (503, [b'2'], 2),
        (429, [b'1'], 1),
        (503, [b'999999999'], 60),
        (200, [b'2'], 0),
        (421, [b'2'], 0),
        (503, [], 0),
        (503, [b'-1'], 0),
        (503, [b'1e9'], 0),
        (503, [b'soon'], 0),
        (503, [b'Fri, 31 Dec 1999 23:59:59 GMT'], 0),
        (503, [b'1', b'2'], 0),
    ],
)
def test_pauses_that_upstreams_want_are_decoded(
    status, contents, pause
) -> None:
    """Only a rejection asks for a pause, and none is endless."""
    headers = [(b'retry-after', content) for content in contents]
    assert CODEC.decode_response(status, headers).pause == pause


@pytest.mark.parametrize(
    ('status', 'contents', 'leaving'),
    [
        (200, [b'1'], True),
        (503, [b' 1 '], True),
        (421, [b'1'], False),
        (200, [b'0'], False),
        (200, [b'yes'], False),
        (200, [b'1', b'1'], False),
        (200, [], False),
    ],
)
def test_upstreams_that_leave_are_recognized(status, contents, leaving) -> None:
    headers = [(b'server-leaving', content) for content in contents]
    assert CODEC.decode_response(status, headers).leaving is leaving


@pytest.mark.parametrize(
    ('usage', 'hint', 'decoded'),
    [
        (b'1460,80', b'64', (1460, 80, 64)),
        (b' 1460 , 80 ', b'', (1460, 80, None)),
        (b'0,0', b'0', (0, 0, 0)),
        (b'1460', b'-3', (None, None, None)),
        (b'1460,80,1', b'6.5', (None, None, None)),
        (b'1460,', b'many', (None, None, None)),
        ('١٤,80'.encode(), b'1_000', (None, None, None)),
        (b'1460,999999999', b'99999999999', (None, None, None)),
    ],
)
def test_stated_tokens_are_decoded_and_forwarded_unchanged(
    usage, hint, decoded
) -> None:
    """Guards against predictions from malformed or absurd values."""
    headers = [
        (b'x-primroseyoke-token-usage', usage),
        (b'x-primroseyoke-length-hint', hint),
    ]
    request = CODEC.decode_request('POST', '/a/', headers, 50)
    assert decoded == (
        request.prompt_tokens,
        request.max_output_tokens,
        request.output_hint,
    )
    encoded = CODEC.encode_request(request, ForwardingInfo('i-7', math.inf))
    assert set(headers) <= set(encoded)
