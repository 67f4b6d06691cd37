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

_REQUEST_ID = b'x-primroseyoke-request-id'
# Milliseconds that the caller, or the upstream, has left.
_TIMEOUT = b'x-primroseyoke-request-timeout-ms'
# Name of the client account, whatever the caller sent in it.
_CLIENT = b'x-primroseyoke-tenant'
_PRIORITY = b'x-primroseyoke-request-priority'
# Another upstream at the address answers 421 and does not run the request.
_EXPECTED_UPSTREAM = b'x-primroseyoke-expect-instance'
# Present on every answer that an upstream made.
_SIGNATURE = b'x-primroseyoke-response-signature'
# The upstream states that it did not run the request.
_NOT_EXECUTED = b'x-primroseyoke-not-executed'
# Running, waiting and slots, separated by commas.
_LOAD = b'x-primroseyoke-instance-load'
# The upstream at fault for a failure.
_CULPRIT = b'at-server'
_LAST_EVENT = b'last-event-id'

_HOP_HEADERS = frozenset(name.encode() for name in HOP_HEADERS)
# Headers that the load balancer sets or that the upstream must not get.
_REPLACED = _HOP_HEADERS | {
    b'authorization',
    b'content-length',
    b'expect',
    _TIMEOUT,
    _CLIENT,
    _PRIORITY,
    _EXPECTED_UPSTREAM,
    _LAST_EVENT,
}
_SCHEME = 'bearer'


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
        found = dict(headers)
        return CallerRequest(
            method=method,
            path=target.partition('?')[0],
            target=target,
            host=_text(found.get(b'host', b'')).rpartition('@')[2],
            headers=_kept(headers, _REPLACED),
            request_id=_text(found.get(_REQUEST_ID, b'')),
            key=_credential(_text(found.get(b'authorization', b''))),
            timeout=_seconds(found.get(_TIMEOUT), math.inf),
            resume_after=_text(found.get(_LAST_EVENT, b'')),
            arrived_at=now,
        )

    def encode_request(
        self,
        request: CallerRequest,
        outgoing: Outgoing,
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers that the upstream gets."""
        headers = list(request.headers)
        headers.append((_EXPECTED_UPSTREAM, outgoing.upstream.encode()))
        if outgoing.timeout < math.inf:
            left = str(max(int(outgoing.timeout * 1000), 1))
            headers.append((_TIMEOUT, left.encode()))
        if outgoing.client:
            headers.append((_CLIENT, outgoing.client.encode()))
        if outgoing.resume_after:
            headers.append((_LAST_EVENT, outgoing.resume_after.encode()))
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
        found = dict(headers)
        return Reply(
            status=status,
            headers=_kept(headers, _HOP_HEADERS),
            request_id=_text(found.get(_REQUEST_ID, b'')),
            signed=_SIGNATURE in found,
            executed=status != 421 and _NOT_EXECUTED not in found,
            load=_load(found.get(_LOAD, b'')),
            culprit=_text(found.get(_CULPRIT, b'')),
            keep_alive=_keep_alive(_text(found.get(b'keep-alive', b''))),
        )


def _kept(
    headers: Iterable[tuple[bytes, bytes]],
    dropped: frozenset[bytes],
) -> Headers:
    return tuple(
        (name, text) for name, text in headers if name.lower() not in dropped
    )


def _text(content: bytes) -> str:
    return content.decode('latin-1')


def _credential(text: str) -> str:
    scheme, _, key = text.partition(' ')
    return key.strip() if scheme.lower() == _SCHEME else ''


def _seconds(content: bytes | None, default: float) -> float:
    if content is None or not content.strip().isdigit():
        return default
    return int(content) / 1000


def _numbers(content: bytes, count: int) -> tuple[int, ...]:
    parts = [part.strip() for part in content.split(b',')]
    if len(parts) != count or not all(part.isdigit() for part in parts):
        return (0,) * count
    return tuple(int(part) for part in parts)


def _load(content: bytes) -> Load | None:
    if not content:
        return None
    return Load(*_numbers(content, 3))


def _keep_alive(text: str) -> float:
    for parameter in text.split(','):
        name, _, seconds = parameter.strip().partition('=')
        if name.lower() == 'timeout' and seconds.isdigit():
            return float(seconds)
    return math.inf
