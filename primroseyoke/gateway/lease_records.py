"""Records of the duty lease in the store."""

import dataclasses
from collections.abc import Mapping

import msgspec

from ..exceptions import MessageInvalid
from ..leases import MAX_DURATION_SECONDS, Lease
from ..positions import Position

__all__ = (
    'LeaseRecord',
    'decode_lease_record',
    'encode_lease_record',
    'fencing_number_at',
    'host_of',
)

# Fencing numbers must fit the integers of a JSON number (2**53). Eras and
# offsets beyond these bits can't be represented.
_OFFSET_BITS = 32
_FENCING_BITS = 53
_RUN_SEPARATOR = '/'


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Complete state of the lease after one append.

    ``log_time`` is the log's time in seconds when the record was written, and
    ``era`` the era in which its writer appended it. ``payload_known`` is False
    if the payload of an earlier holder may have been lost. ``ended`` has the
    hosts that held the lease lately, with the log time at which they stopped
    acting at the latest.
    """

    lease: Lease
    log_time: float
    era: int
    payload: bytes = b''
    payload_known: bool = False
    ended: Mapping[str, float] = dataclasses.field(default_factory=dict)

    def __post_init__(self) -> None:
        """Reject a lease that would block other hosts for too long."""
        lease = self.lease
        if not 0 < lease.duration <= MAX_DURATION_SECONDS:
            raise ValueError(f'lease duration {lease.duration} s')
        if lease.expires_at > self.log_time + lease.duration:
            raise ValueError('the lease expires after more than its duration')
        if not 0 < lease.fencing_number < 2**_FENCING_BITS:
            raise ValueError(f'fencing number {lease.fencing_number}')


_decoder = msgspec.json.Decoder(LeaseRecord)


def encode_lease_record(record: LeaseRecord) -> bytes:
    """Encode a record as JSON; the payload becomes Base64."""
    return msgspec.json.encode(record)


def decode_lease_record(content: bytes) -> LeaseRecord:
    """Decode a record.

    Raises:
        MessageInvalid: it is not a valid record.
    """
    try:
        return _decoder.decode(content)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise MessageInvalid(str(error)) from error


def fencing_number_at(position: Position) -> int | None:
    """Return the fencing number of a claim at ``position``.

    It rises with the position. None if the position is too high for one.
    """
    number = (position.era << _OFFSET_BITS) + position.offset + 1
    if position.offset >= 2**_OFFSET_BITS or number >= 2**_FENCING_BITS:
        return None
    return number


def host_of(holder: str) -> str:
    """Return the name of the host in the name of a run, ``host/run``."""
    return holder.rpartition(_RUN_SEPARATOR)[0]
