"""What is stored with the duty lease before a usage report is sent."""

import dataclasses
import zlib
from typing import Annotated, Any

import cbor2
import msgspec

from ..exceptions import MessageInvalid

__all__ = ('UsageRecord', 'decode_record', 'encode_record')

# The payload of the lease is a CBOR map with one field for each duty.
_FIELD = 'usage'
# A record of the store holds at most 262,144 bytes. Decompressed counts of 4,300
# accounts take about 110 KB.
_MAX_DECOMPRESSED_BYTES = 4 * 2**20

_Count = Annotated[int, msgspec.Meta(ge=0)]


@dataclasses.dataclass(frozen=True, slots=True)
class UsageRecord:
    """State of the usage reports of all holders.

    All windows up to ``settled`` have been reported or skipped. ``counts`` is
    the report of the next window, which may have been sent; None if there is
    none.
    """

    settled: int
    counts: dict[str, int] | None = None


class _StoredRecord(msgspec.Struct):
    settled: _Count
    counts: bytes | None = None


def encode_record(record: UsageRecord, payload: bytes) -> bytes:
    """Return ``payload`` of the lease with the record in it."""
    counts = record.counts
    stored = {
        'settled': record.settled,
        'counts': None
        if counts is None
        else zlib.compress(cbor2.dumps(counts)),
    }
    return cbor2.dumps({**_decode_fields(payload), _FIELD: stored})


def decode_record(payload: bytes) -> UsageRecord | None:
    """Return the record in a payload of the lease; None if there is none.

    Raises:
        MessageInvalid: the payload has an invalid record.
    """
    if not payload:
        return None
    try:
        fields = msgspec.convert(cbor2.loads(payload), dict[str, Any])
        if _FIELD not in fields:
            return None
        stored = msgspec.convert(fields[_FIELD], _StoredRecord)
        counts = _decode_counts(stored.counts)
    except (cbor2.CBORError, msgspec.ValidationError, zlib.error) as error:
        raise MessageInvalid(f'usage record: {error}') from error
    return UsageRecord(stored.settled, counts)


def _decode_counts(content: bytes | None) -> dict[str, int] | None:
    if content is None:
        return None
    decompressed = zlib.decompressobj().decompress(
        content, _MAX_DECOMPRESSED_BYTES
    )
    return msgspec.convert(cbor2.loads(decompressed), dict[str, _Count])


def _decode_fields(payload: bytes) -> dict[str, Any]:
    """Return the fields of all duties; {} if they cannot be decoded."""
    if not payload:
        return {}
    try:
        return msgspec.convert(cbor2.loads(payload), dict[str, Any])
    except (cbor2.CBORError, msgspec.ValidationError):
        return {}
