"""Caller HTTP requests: parsing, new idempotency keys, problem documents."""

import dataclasses
import re
import time
import types
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgspec
import xxhash

from .exceptions import RequestFailed, RequestInvalid
from .hop_by_hop_headers import HOP_BY_HOP_HEADERS
from .idempotency_keys import key_creation_time
from .evidence import Traits, trait
from .verdicts import Verdict

__all__ = (
    'CallerRequest',
    'issue_key_response',
    'parse_request',
    'problem_response',
)

CHAT_PATH = '/v1/chat/completions'
SERVICES_PREFIX = '/services/'
KEYS_PREFIX = '/keys/'
MAX_BODY_BYTES = 2**20
ANONYMOUS_CLIENT = 'anonymous'
# Engines cache prompts in blocks. A shorter prefix would give the same hash to
# prompts that share no cached block.
_PROMPT_PREFIX_BYTES = 512
# Further messages of a prompt are ignored as a cause of crashes, to bound what
# a request costs.
_MAX_PROMPT_PARTS = 32

_DECIMAL = re.compile('[0-9]+')
_KEY_PATTERN = re.compile('[!-~]{1,128}')
_NAME_PATTERN = re.compile('[a-zA-Z0-9._-]{1,64}')
# Headers that this process reads or sets itself are not forwarded to upstreams.
_UNFORWARDED_HEADERS = HOP_BY_HOP_HEADERS | frozenset(
    (
        'content-length',
        'expect',
        'host',
        'request-timeout',
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A parsed request of a caller.

    ``timeout`` is the requested timeout in seconds, 0 for the default. ``key``
    is the idempotency key, empty if there is none. ``prompt_prefix_hash`` is
    the hash of the first bytes of a prompt, 0 for other requests.
    ``received_at`` is when the request headers were complete (Unix seconds).
    ``prompt_parts`` has a trait for each message but the last.
    """

    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    client: str
    key: str
    key_time: float
    timeout: float
    fingerprint: int
    chat: bool
    prompt_prefix_hash: int
    received_at: float
    prompt_parts: tuple[int, ...] = ()

    @property
    def traits(self) -> Traits:
        """Return the traits that crash evidence is kept by."""
        return frozenset((self.fingerprint, *self.prompt_parts))


def issue_key_response(
    environ: Mapping[str, Any],
    start_response: Callable[..., Any],
    issue_key: Callable[[str, str], str],
) -> Iterable[bytes]:
    """Answer ``POST /keys/<service>`` with a new idempotency key."""
    if environ['REQUEST_METHOD'] != 'POST':
        raise RequestInvalid('keys are issued on POST', 405)
    service = environ['PATH_INFO'].removeprefix(KEYS_PREFIX)
    key = issue_key(service, _client_account(environ))
    body = msgspec.json.encode({'key': key})
    start_response(
        '201 Created',
        [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
        ],
    )
    return [body]


_PROBLEM_TITLES = types.MappingProxyType(
    {
        400: 'Bad request',
        404: 'Not found',
        409: 'Conflict',
        413: 'Request too large',
        422: 'Key used for another request',
        502: 'Upstream failed',
        503: 'Service unavailable',
        504: 'Deadline passed',
    }
)


def parse_request(environ: Mapping[str, Any]) -> CallerRequest:
    """Parse the request in a WSGI environment.

    Raises:
        RequestInvalid: the request violates the protocol.
    """
    received_at = time.time()
    method = environ['REQUEST_METHOD']
    path = environ['PATH_INFO']
    body = _read_body(environ)
    chat = path == CHAT_PATH
    prompt_prefix_hash = 0
    prompt_parts: tuple[int, ...] = ()
    if chat:
        document = _parse_chat_body(method, body)
        service, upstream_path = document['model'], path
        prompt_prefix_hash = _prompt_prefix_hash(document)
        prompt_parts = _prompt_parts(service, document)
    else:
        service, upstream_path = _split_service_path(path)
    if environ.get('QUERY_STRING'):
        query = environ['QUERY_STRING']
        upstream_path = f'{upstream_path}?{query}'
    key = _idempotency_key(environ)
    return CallerRequest(
        service=service,
        method=method,
        path=upstream_path,
        headers=_forwarded_headers(environ),
        body=body,
        client=_client_account(environ),
        key=key,
        key_time=key_creation_time(key),
        timeout=_requested_timeout(environ),
        fingerprint=_fingerprint(service, method, upstream_path, body),
        chat=chat,
        prompt_prefix_hash=prompt_prefix_hash,
        received_at=received_at,
        prompt_parts=prompt_parts,
    )


def problem_response(
    environ: Mapping[str, Any],
    start_response: Callable[..., Any],
    error: RequestInvalid | RequestFailed,
) -> Iterable[bytes]:
    """Answer with a problem document (RFC 9457) that carries the verdict.

    An invalid request was not executed, but an earlier request with the same
    idempotency key may have been, and the verdict applies to the key.
    """
    verdict = Verdict.NOT_RUN
    if _KEY_PATTERN.fullmatch(_unquoted_key(environ)):
        verdict = Verdict.MAY_HAVE_RUN
    headers = [('Content-Type', 'application/problem+json')]
    if isinstance(error, RequestFailed):
        verdict = error.verdict
        if error.retry_after:
            seconds = max(round(error.retry_after), 1)
            headers.append(('Retry-After', str(seconds)))
    body = msgspec.json.encode(
        {
            'title': _PROBLEM_TITLES.get(error.status, 'Request failed'),
            'status': error.status,
            'detail': str(error),
            'verdict': verdict.value,
        }
    )
    headers.append(('Content-Length', str(len(body))))
    start_response(f'{error.status} Problem', headers)
    return [body]


def _read_body(environ: Mapping[str, Any]) -> bytes:
    declared_length = _declared_length(environ.get('CONTENT_LENGTH') or '0')
    body: bytes = b''
    if declared_length <= MAX_BODY_BYTES:
        body = environ['wsgi.input'].read(MAX_BODY_BYTES + 1)
    if max(declared_length, len(body)) > MAX_BODY_BYTES:
        raise RequestInvalid(f'body over {MAX_BODY_BYTES} bytes', 413)
    if len(body) < declared_length:
        raise RequestInvalid('the body is shorter than Content-Length')
    return body


def _declared_length(text: str) -> int:
    if not _DECIMAL.fullmatch(text):
        raise RequestInvalid(f'invalid Content-Length {text!r}')
    return int(text)


def _parse_chat_body(method: str, body: bytes) -> dict[str, Any]:
    if method != 'POST':
        raise RequestInvalid('chat completions take POST', 405)
    try:
        document = msgspec.json.decode(body, type=dict[str, Any])
    except (msgspec.MsgspecError, RecursionError) as error:
        raise RequestInvalid(
            f'the body is not a JSON object: {error}'
        ) from error
    model = document.get('model')
    if not isinstance(model, str) or not _NAME_PATTERN.fullmatch(model):
        raise RequestInvalid('"model" must name a model service')
    return document


def _prompt_prefix_hash(document: Mapping[str, Any]) -> int:
    """Return the hash of the first message, which many prompts share."""
    messages = document.get('messages')
    if not isinstance(messages, list) or not messages:
        return 0
    start = msgspec.json.encode(messages[0])[:_PROMPT_PREFIX_BYTES]
    return xxhash.xxh3_64_intdigest(start)


def _prompt_parts(service: str, document: Mapping[str, Any]) -> tuple[int, ...]:
    """Return a trait for each message that other prompts may share."""
    messages = document.get('messages')
    if not isinstance(messages, list):
        return ()
    return tuple(
        trait(service.encode(), msgspec.json.encode(message))
        for message in messages[: min(len(messages) - 1, _MAX_PROMPT_PARTS)]
    )


def _split_service_path(path: str) -> tuple[str, str]:
    if not path.startswith(SERVICES_PREFIX):
        raise RequestInvalid(f'no such path: {path}', 404)
    name, _, remainder = path.removeprefix(SERVICES_PREFIX).partition('/')
    if not _NAME_PATTERN.fullmatch(name):
        raise RequestInvalid('the path must name a service', 404)
    return name, f'/{remainder}'


def _idempotency_key(environ: Mapping[str, Any]) -> str:
    key = _unquoted_key(environ)
    if 'HTTP_IDEMPOTENCY_KEY' in environ and not _KEY_PATTERN.fullmatch(key):
        raise RequestInvalid('Idempotency-Key: 1 to 128 visible characters')
    return key


def _unquoted_key(environ: Mapping[str, Any]) -> str:
    header: str = environ.get('HTTP_IDEMPOTENCY_KEY', '')
    return header.strip().strip('"')


def _client_account(environ: Mapping[str, Any]) -> str:
    client: str = environ.get('HTTP_CLIENT_ACCOUNT', ANONYMOUS_CLIENT)
    if not _NAME_PATTERN.fullmatch(client):
        raise RequestInvalid('Client-Account: 1 to 64 of a-z A-Z 0-9 . _ -')
    return client


def _requested_timeout(environ: Mapping[str, Any]) -> float:
    text = environ.get('HTTP_REQUEST_TIMEOUT', '0')
    try:
        seconds = float(text)
    except ValueError as error:
        raise RequestInvalid('Request-Timeout: a number of seconds') from error
    if not 0 <= seconds <= 3600:
        raise RequestInvalid('Request-Timeout: 0 to 3600 seconds')
    return seconds


def _forwarded_headers(
    environ: Mapping[str, Any],
) -> tuple[tuple[str, str], ...]:
    headers = [
        (name.removeprefix('HTTP_').replace('_', '-').title(), text)
        for name, text in environ.items()
        if name.startswith('HTTP_')
    ]
    if environ.get('CONTENT_TYPE'):
        headers.append(('Content-Type', environ['CONTENT_TYPE']))
    return tuple(
        (name, text)
        for name, text in headers
        if name.lower() not in _UNFORWARDED_HEADERS
    )


def _fingerprint(service: str, method: str, path: str, body: bytes) -> int:
    hasher = xxhash.xxh3_64(f'{service}\0{method}\0{path}\0'.encode())
    hasher.update(body)
    return hasher.intdigest()
