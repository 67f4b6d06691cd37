"""Headers of requests and replies on the platform."""

import math
from collections.abc import Iterable

from ..gateway.requests import (
    CallerRequest,
    Headers,
    Load,
    Outgoing,
    Reply,
)
from ..hops import HOP_HEADERS

__all__ = ('HeaderCodec',)

_REQUEST_ID_HEADER = b'x-primroseyoke-request-id'
# Milliseconds that the caller, or the upstream, has left.
_TIMEOUT_MS_HEADER = b'x-primroseyoke-request-timeout-ms'
# Name of the client account, whatever the caller sent in it.
_CLIENT_HEADER = b'x-primroseyoke-tenant'
_PRIORITY_HEADER = b'x-primroseyoke-request-priority'
# Another upstream at the address answers 421 and does not run the request.
_EXPECTED_UPSTREAM_HEADER = b'x-primroseyoke-expect-instance'
# Present on every answer that an upstream made.
_SIGNATURE_HEADER = b'x-primroseyoke-response-signature'
# The upstream states that it did not run the request.
_NOT_EXECUTED_HEADER = b'x-primroseyoke-not-executed'
# Running, waiting and slots, separated by commas.
_LOAD_HEADER = b'x-primroseyoke-instance-load'
# The upstream at fault for a failure.
_FAULTY_UPSTREAM_HEADER = b'at-server'
_LAST_EVENT_ID_HEADER = b'last-event-id'

_HOP_BY_HOP_HEADERS = frozenset(name.encode() for name in HOP_HEADERS)
# Headers that the load balancer sets or that the upstream must not get.
_DROPPED_REQUEST_HEADERS = _HOP_BY_HOP_HEADERS | {
    b'authorization',
    b'content-length',
    b'expect',
    _TIMEOUT_MS_HEADER,
    _CLIENT_HEADER,
    _PRIORITY_HEADER,
    _EXPECTED_UPSTREAM_HEADER,
    _LAST_EVENT_ID_HEADER,
}
_AUTHORIZATION_SCHEME = 'bearer'


class HeaderCodec:
    """Translates headers between the platform and the product."""

    def decode_request(
        self,
        method: str,
        target: str,
        headers: Iterable[tuple[bytes, bytes]],
        now: float,
    ) -> CallerRequest:
        """Return a request without its body; ``now`` in monotonic seconds."""
        fields = dict(headers)
        return CallerRequest(
            method=method,
            path=target.partition('?')[0],
            target=target,
            host=_decode_text(fields.get(b'host', b'')).rpartition('@')[2],
            headers=_without_headers(headers, _DROPPED_REQUEST_HEADERS),
            request_id=_decode_text(fields.get(_REQUEST_ID_HEADER, b'')),
            key=_parse_bearer_key(
                _decode_text(fields.get(b'authorization', b''))
            ),
            timeout=_parse_timeout_seconds(
                fields.get(_TIMEOUT_MS_HEADER), math.inf
            ),
            resume_after=_decode_text(fields.get(_LAST_EVENT_ID_HEADER, b'')),
            arrived_at=now,
        )

    def encode_request(
        self,
        request: CallerRequest,
        outgoing: Outgoing,
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers that the upstream gets."""
        headers = list(request.headers)
        headers.append((_EXPECTED_UPSTREAM_HEADER, outgoing.upstream.encode()))
        if outgoing.timeout < math.inf:
            timeout_ms = str(max(int(outgoing.timeout * 1000), 1))
            headers.append((_TIMEOUT_MS_HEADER, timeout_ms.encode()))
        if outgoing.client:
            headers.append((_CLIENT_HEADER, outgoing.client.encode()))
        if outgoing.resume_after:
            headers.append(
                (_LAST_EVENT_ID_HEADER, outgoing.resume_after.encode())
            )
        if request.body or request.method not in {'GET', 'HEAD'}:
            length = str(len(request.body))
            headers.append((b'content-length', length.encode()))
        return headers

    def decode_reply(
        self,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
    ) -> Reply:
        """Return the head of an answer."""
        fields = dict(headers)
        return Reply(
            status=status,
            headers=_without_headers(headers, _HOP_BY_HOP_HEADERS),
            request_id=_decode_text(fields.get(_REQUEST_ID_HEADER, b'')),
            signed=_SIGNATURE_HEADER in fields,
            executed=status != 421 and _NOT_EXECUTED_HEADER not in fields,
            load=_parse_load(fields.get(_LOAD_HEADER, b'')),
            culprit=_decode_text(fields.get(_FAULTY_UPSTREAM_HEADER, b'')),
            keep_alive=_parse_keep_alive_seconds(
                _decode_text(fields.get(b'keep-alive', b''))
            ),
        )


def _without_headers(
    headers: Iterable[tuple[bytes, bytes]],
    excluded: frozenset[bytes],
) -> Headers:
    return tuple(
        (name, text) for name, text in headers if name.lower() not in excluded
    )


def _decode_text(content: bytes) -> str:
    return content.decode('latin-1')


def _parse_bearer_key(text: str) -> str:
    scheme, _, key = text.partition(' ')
    return key.strip() if scheme.lower() == _AUTHORIZATION_SCHEME else ''


def _parse_timeout_seconds(content: bytes | None, default: float) -> float:
    if content is None or not content.strip().isdigit():
        return default
    return int(content) / 1000


def _parse_integers(content: bytes, count: int) -> tuple[int, ...]:
    parts = [part.strip() for part in content.split(b',')]
    if len(parts) != count or not all(part.isdigit() for part in parts):
        return (0,) * count
    return tuple(int(part) for part in parts)


def _parse_load(content: bytes) -> Load | None:
    if not content:
        return None
    return Load(*_parse_integers(content, 3))


def _parse_keep_alive_seconds(text: str) -> float:
    for parameter in text.split(','):
        name, _, seconds = parameter.strip().partition('=')
        if name.lower() == 'timeout' and seconds.isdigit():
            return float(seconds)
    return math.inf
