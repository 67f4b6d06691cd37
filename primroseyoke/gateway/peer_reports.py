"""Messages that gateways send each other as datagrams."""

import ipaddress
import types
from collections.abc import Mapping
from typing import Annotated, Any

import cbor2
import msgspec

from ..exceptions import MessageInvalid
from ..evidence import Evidence
from .topic_sharing import Announcement

__all__ = (
    'Batch',
    'PeerMessage',
    'RelayedReport',
    'Report',
    'ToldLimit',
    'UsageMessage',
    'decode_message',
    'encode_message',
    'is_ip_address',
)

_Count = Annotated[int, msgspec.Meta(ge=0)]
# Host name and a random part.
_MAX_RUN_LENGTH = 120


class ToldLimit(msgspec.Struct, array_like=True, frozen=True):
    """A limit that an upstream stated to the sender ``age`` seconds ago.

    ``per_second`` is None if it named none. ``started_at`` identifies the start
    of the upstream.
    """

    upstream: str
    started_at: _Count
    per_second: Annotated[float, msgspec.Meta(ge=0)] | None
    age: Annotated[float, msgspec.Meta(ge=0)]


class Report(msgspec.Struct, array_like=True, frozen=True):
    """Report of a gateway to its peers.

    ``running`` has its requests in progress by upstream. A ``draining`` host
    finishes them and cannot be the leader; a host that is ``gone`` has none
    left. ``topics`` tells how far it has read the topics of the store; only
    heartbeats have it. ``sequence`` is the boot time of the host in milliseconds
    when it was sent. The receiver passes the report on if ``pass_on`` is set.
    ``limits`` has what upstreams recently stated; only heartbeats have it.
    ``lease`` is the fencing number of the duty lease that the sender holds, 0
    if none. ``waiting`` has the number of on-time requests that wait at the
    sender, by service and priority. ``clients`` has the client accounts with
    the most work at the sender lately, and how much each has, in tenths of a
    request; under the empty name that of all accounts, and after a zero
    character the names of services for which requests wait. Only heartbeats
    have it. ``work`` has the
    work left of its requests in progress by upstream, in milliseconds at
    reference speed. ``pass_costs`` has the time that a request adds to a pass
    of a rank group, in microseconds; only heartbeats have it. ``silent_groups``
    has the rank groups from which the sender receives no events although its
    requests wait for some; only heartbeats have it.
    """

    host: str
    running: Mapping[str, _Count]
    draining: bool = False
    gone: bool = False
    availability_zone: str = ''
    topics: Mapping[str, Announcement] = {}
    sequence: int = 0
    pass_on: bool = False
    limits: tuple[ToldLimit, ...] = ()
    lease: _Count = 0
    waiting: Mapping[str, Mapping[int, _Count]] = {}
    clients: Mapping[str, _Count] = {}
    work: Mapping[str, _Count] = {}
    pass_costs: Mapping[str, _Count] = {}
    silent_groups: tuple[str, ...] = ()


class RelayedReport(msgspec.Struct, array_like=True, frozen=True):
    """A report of the host at ``address``, held for ``held`` seconds so far."""

    address: str
    held: Annotated[float, msgspec.Meta(ge=0)]
    report: Report

    def __post_init__(self) -> None:
        """Reject addresses that are not IP addresses."""
        if not is_ip_address(self.address):
            raise ValueError(f'{self.address!r} is not an IP address')


class Batch(msgspec.Struct, frozen=True):
    """Reports of several hosts; passed on in the zone if ``pass_on`` is set."""

    reports: tuple[RelayedReport, ...]
    pass_on: bool = False


class UsageMessage(msgspec.Struct, frozen=True, omit_defaults=True):
    """Counts of requests for the usage reports.

    ``run`` identifies the process that counted. ``usage`` has the number of its
    requests by window and client account; later numbers are never lower.
    ``time`` is the true time at the sender in milliseconds. The counts of
    windows up to ``completed`` are final. ``totals`` has the sum of the counts
    of each window; the last message of a series has it, others have None.
    ``missing`` asks the receiver to send all counts of these windows again.
    """

    run: Annotated[str, msgspec.Meta(min_length=1, max_length=_MAX_RUN_LENGTH)]
    usage: Mapping[_Count, Mapping[str, _Count]]
    time: _Count = 0
    completed: _Count = 0
    totals: Mapping[_Count, _Count] | None = None
    missing: tuple[_Count, ...] = ()


PeerMessage = Report | Batch | Evidence | UsageMessage
# Fields that only messages of one type have.
_TYPE_BY_FIELD: Mapping[str, type[PeerMessage]] = types.MappingProxyType(
    {'crashes': Evidence, 'usage': UsageMessage}
)


def is_ip_address(text: str) -> bool:
    """Return whether ``text`` is an IP address."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(message))


def decode_message(content: bytes) -> PeerMessage:
    """Decode a datagram.

    Raises:
        MessageInvalid: it is not a valid message.
    """
    try:
        decoded = cbor2.loads(content)
        return msgspec.convert(decoded, _message_type(decoded))
    except (cbor2.CBORError, msgspec.ValidationError) as error:
        raise MessageInvalid(str(error)) from error


def _message_type(decoded: Any) -> type[PeerMessage]:
    if not isinstance(decoded, dict):
        return Report
    for field, message_type in _TYPE_BY_FIELD.items():
        if field in decoded:
            return message_type
    return Batch
