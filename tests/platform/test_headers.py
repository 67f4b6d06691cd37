"""Headers on the wire and the types of the product."""

import math

from primroseyoke.gateway.requests import Load, Outgoing
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


def test_a_request_is_decoded_once() -> None:
    request = CODEC.decode_request('POST', '/a/b?c=1', HEADERS, 50)
    assert (request.path, request.target) == ('/a/b', '/a/b?c=1')
    assert (request.key, request.request_id) == ('secret', '9c41')
    assert request.timeout == 8.04
    assert request.resume_after == '12'


def test_the_upstream_gets_what_is_the_callers_and_what_is_ours() -> None:
    request = CODEC.decode_request('POST', '/a/', HEADERS, 50)
    outgoing = Outgoing('i-7', 7.5, client='workshop', resume_after='14')
    found = dict(CODEC.encode_request(request, outgoing))
    assert found[b'x-primroseyoke-expect-instance'] == b'i-7'
    assert found[b'x-primroseyoke-request-timeout-ms'] == b'7500'
    assert found[b'x-primroseyoke-tenant'] == b'workshop'
    assert found[b'last-event-id'] == b'14'
    assert found[b'x-primroseyoke-prompt-prefix'] == b'5c:800,91:410'
    assert found[b'x-own'] == b'kept'
    assert found[b'content-length'] == b'0'
    for name in (b'authorization', b'connection', b'transfer-encoding'):
        assert name not in found


def test_a_client_account_is_never_the_callers_word() -> None:
    request = CODEC.decode_request('GET', '/a/', HEADERS, 50)
    found = dict(CODEC.encode_request(request, Outgoing('i-7', math.inf)))
    assert b'x-primroseyoke-tenant' not in found


def test_a_reply_is_decoded_once() -> None:
    reply = CODEC.decode_reply(
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


def test_not_executed_is_only_what_the_upstream_states() -> None:
    stated = [(b'x-primroseyoke-not-executed', b'1')]
    assert not CODEC.decode_reply(503, stated).executed
    assert not CODEC.decode_reply(421, []).executed
    assert CODEC.decode_reply(503, []).executed
    assert CODEC.decode_reply(500, []).executed


def test_odd_numbers_count_as_missing() -> None:
    odd = [
        (b'x-primroseyoke-request-timeout-ms', b'soon'),
        (b'x-primroseyoke-token-usage', b'1,2,3'),
        (b'authorization', b'Basic abc'),
    ]
    request = CODEC.decode_request('GET', '/', odd, 50)
    assert request.timeout == math.inf
    assert not request.key
