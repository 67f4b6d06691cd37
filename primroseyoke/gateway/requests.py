"""A caller's request and an upstream's reply, decoded from their headers."""

import dataclasses
import math
from collections.abc import Iterable
from typing import Protocol

__all__ = (
    'CallerRequest',
    'Codec',
    'Headers',
    'Load',
    'ForwardingInfo',
    'ResponseHead',
)

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as the caller sent it; times in seconds.

    ``timeout`` is how long the caller waits, counted from ``arrived_at``
    (monotonic). ``headers`` has those that are passed on. ``last_event_id`` is
    the last event that the caller has of an earlier answer.
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
    body: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardingInfo:
    """What the load balancer adds to a request; ``timeout`` in seconds."""

    upstream: str
    timeout: float
    client: str = ''
    last_event_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The load that an upstream reports with a reply."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """The head of an upstream's answer.

    ``executed`` is False if the upstream states that it did not run the
    request. ``failed_upstream`` names the upstream that made it fail, if stated.
    ``keep_alive`` is for how many seconds the connection may be idle.
    """

    status: int
    headers: Headers
    request_id: str = ''
    signed: bool = False
    executed: bool = True
    load: Load | None = None
    failed_upstream: str = ''
    keep_alive: float = math.inf


class Codec(Protocol):
    """Translates headers between the wire and the types of this module."""

    def decode_request(
        self,
        method: str,
        target: str,
        headers: Iterable[tuple[bytes, bytes]],
        now: float,
    ) -> CallerRequest:
        """Return a request without its body."""

    def encode_request(
        self,
        request: CallerRequest,
        forwarding: ForwardingInfo,
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers that the upstream gets."""

    def decode_response(
        self,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
    ) -> ResponseHead:
        """Return the head of an answer."""
