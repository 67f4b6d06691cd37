"""Requests of callers and responses of upstreams, with decoded headers."""

import dataclasses
import math
from collections.abc import Iterable
from typing import Protocol

__all__ = (
    'BLOCK_BYTES',
    'Body',
    'CallerRequest',
    'Codec',
    'ForwardingInfo',
    'Headers',
    'Load',
    'ResponseHead',
)

Headers = tuple[tuple[bytes, bytes], ...]

_SUCCESS_STATUSES = range(200, 300)
# Callers repeat a request after these, whether it may run twice or not.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Size of the blocks of a body.
BLOCK_BYTES = 65536


@dataclasses.dataclass(frozen=True, slots=True)
class Body:
    """Content of a request in blocks of ``BLOCK_BYTES``; the last is shorter.

    Blocks of one size can take each other's place in memory. Buffers that grow
    with long bodies fragment it: the process then takes far more than it holds.
    """

    blocks: tuple[bytes, ...] = ()

    def __len__(self) -> int:
        """Return the size in bytes."""
        return sum(map(len, self.blocks))

    def __bytes__(self) -> bytes:
        """Return the content in one piece."""
        return b''.join(self.blocks)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as the caller sent it; times in seconds.

    ``timeout`` is how long the caller waits, counted from ``arrived_at``
    (monotonic). ``headers`` holds the headers that are forwarded.
    ``last_event_id`` identifies the last event that the caller received of an
    earlier response. ``prompt_parts`` identifies the parts of the prompt that
    other requests may share, in order. ``prompt_tokens`` and
    ``max_output_tokens`` are what the caller states of the request,
    ``output_hint`` is its estimate of the output in tokens; None if not stated.
    """

    method: str
    path: str
    target: str
    host: str
    headers: Headers
    request_id: str = ''
    api_key: str = ''
    timeout: float = math.inf
    last_event_id: str = ''
    arrived_at: float = 0
    body: Body = Body()
    prompt_parts: tuple[str, ...] = ()
    prompt_tokens: int | None = None
    max_output_tokens: int | None = None
    output_hint: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardingInfo:
    """Metadata that the gateway adds to a forwarded request.

    ``timeout`` is the time left for the upstream, in seconds. ``client`` is
    the name of the client account, if known.
    """

    upstream: str
    timeout: float
    client: str = ''
    last_event_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The load that an upstream reports in the headers of a response."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of an upstream's response.

    ``signed`` is whether it has the signature header of an upstream.
    ``executed`` is False if the upstream states that it did not run the
    request. ``failed_upstream`` names the upstream that caused a failure, if
    stated. ``keep_alive`` is the idle timeout of the connection in seconds.
    ``rate_limit`` is the number of requests per second that the upstream takes
    from all hosts together, None if it states none. ``leaving`` is whether it
    states that it is about to stop. ``pause`` is the time in seconds for which
    it wants no requests of this host, as it states with a rejection.
    """

    status: int
    headers: Headers
    request_id: str = ''
    signed: bool = False
    executed: bool = True
    load: Load | None = None
    failed_upstream: str = ''
    keep_alive: float = math.inf
    rate_limit: float | None = None
    leaving: bool = False
    pause: float = 0

    @property
    def is_success(self) -> bool:
        """Tell whether the status is 2xx."""
        return self.status in _SUCCESS_STATUSES

    @property
    def claims_not_run(self) -> bool:
        """Tell whether callers take the status for a promise not to run.

        It is true only if the upstream states so: see ``executed``.
        """
        return self.status in _NOT_RUN_STATUSES

    @property
    def content_type(self) -> bytes:
        """Return the content type in lower case, b'' if there is none."""
        fields = {name.lower(): text for name, text in self.headers}
        return fields.get(b'content-type', b'').lower()

    @property
    def stream_headers(self) -> Headers:
        """Return the headers without Content-Length: events are chunked."""
        return tuple(
            (name, text)
            for name, text in self.headers
            if name.lower() != b'content-length'
        )


class Codec(Protocol):
    """Translates between HTTP headers and the types of this module."""

    def decode_request(
        self,
        method: str,
        target: str,
        headers: Iterable[tuple[bytes, bytes]],
        now: float,
    ) -> CallerRequest:
        """Return the request without its body; ``now`` in monotonic seconds."""

    def encode_request(
        self,
        request: CallerRequest,
        forwarding: ForwardingInfo,
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers to send to the upstream."""

    def decode_response(
        self,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
    ) -> ResponseHead:
        """Return the decoded head of a response."""
