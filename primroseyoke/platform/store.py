"""Client of the platform's store."""

import base64
import struct
from typing import Any
from urllib.parse import urlencode

import msgspec

from ..exceptions import ServiceUnavailable
from ..gateway.clients import HttpAnswer, HttpClient
from ..gateway.topics import KeyedPage, KeyedRecord, RecordsExpired

__all__ = ('HttpKeyedTopic', 'decode_records')

# An answer takes 4 ms, and up to 0.4 s when the store is slow. A connection that
# went silent must be noticed well before a host counts as in touch again, which
# is 3 s after an outage.
_TIMEOUT_SECONDS = 0.8
# The two offsets before the records of a read, and the length of a record.
_READ_HEADER = struct.Struct('>QQ')
_RECORD_LENGTH = struct.Struct('>I')
_STATUS_OK = 200
_STATUS_GONE = 410


class _ListedRecord(msgspec.Struct):
    key: str
    offset: int
    value: str = ''


class _ListingPage(msgspec.Struct, rename='camel'):
    entries: tuple[_ListedRecord, ...]
    end_offset: int
    has_more: bool = False


_listing_page_decoder = msgspec.json.Decoder(_ListingPage)


class HttpKeyedTopic:
    """One keyed topic of the store, which has a single partition."""

    def __init__(self, connection: HttpClient, topic: str) -> None:
        """Call the store with ``client``."""
        self.connection = connection
        self.topic = topic

    async def newest(self) -> KeyedPage:
        """Return the newest record of each key.

        Raises:
            ServiceUnavailable: the store did not answer.
        """
        records: list[KeyedRecord] = []
        query: dict[str, Any] = {'topic': self.topic, 'part': 0}
        end_offset = None
        while True:
            page = self._decode_listing(await self._get('log-newest', query))
            # Pages are no snapshot: reading goes on from the first page's end.
            end_offset = page.end_offset if end_offset is None else end_offset
            records += [
                KeyedRecord(entry.key, _decode_value(entry.value), entry.offset)
                for entry in page.entries
            ]
            if not page.has_more or not page.entries:
                return KeyedPage(tuple(records), end_offset)
            query['after'] = page.entries[-1].key

    async def read(self, offset: int, wait: float) -> KeyedPage:
        """Return the records from ``offset`` on; ``wait`` in seconds.

        Raises:
            RecordsExpired: they are no longer kept.
            ServiceUnavailable: the store did not answer.
        """
        query = {
            'topic': self.topic,
            'part': 0,
            'from': offset,
            'waitMs': int(wait * 1000),
        }
        answer = await self._get('log-read', query, wait)
        if len(answer.body) < _READ_HEADER.size:
            raise ServiceUnavailable('log-read: the answer is too short')
        records = decode_records(answer.body[_READ_HEADER.size :], offset)
        end_offset = offset + len(records)
        return KeyedPage(
            tuple(record for record in records if record is not None),
            end_offset,
        )

    async def append(self, key: str, content: bytes) -> None:
        """Set the value of a key; an empty one removes the key.

        Raises:
            ServiceUnavailable: no answer; it may have been carried out.
        """
        encoded_key = key.encode()
        record = bytes((len(encoded_key),)) + encoded_key + content
        query = urlencode({'topic': self.topic, 'part': 0})
        answer = await self.connection.call(
            'POST',
            f'/log-append?{query}',
            _RECORD_LENGTH.pack(len(record)) + record,
            _TIMEOUT_SECONDS,
        )
        _raise_for_status(answer, 'log-append')

    async def _get(
        self,
        endpoint: str,
        query: dict[str, Any],
        wait: float = 0,
    ) -> HttpAnswer:
        answer = await self.connection.call(
            'GET',
            f'/{endpoint}?{urlencode(query)}',
            timeout=_TIMEOUT_SECONDS + wait,
        )
        if answer.status == _STATUS_GONE:
            raise RecordsExpired(endpoint)
        _raise_for_status(answer, endpoint)
        return answer

    def _decode_listing(self, answer: HttpAnswer) -> _ListingPage:
        try:
            return _listing_page_decoder.decode(answer.body)
        except msgspec.MsgspecError as error:
            raise ServiceUnavailable(f'log-newest: {error}') from error


def decode_records(
    content: bytes,
    first_offset: int,
) -> list[KeyedRecord | None]:
    """Return the whole records in an answer, the first at offset ``first``.

    A record whose key cannot be read is None, so that offsets stay right.
    """
    records: list[KeyedRecord | None] = []
    position = 0
    while position + _RECORD_LENGTH.size <= len(content):
        length = _RECORD_LENGTH.unpack_from(content, position)[0]
        position += _RECORD_LENGTH.size
        if position + length > len(content):
            break
        record = content[position : position + length]
        records.append(_decode_record(record, first_offset + len(records)))
        position += length
    return records


def _decode_record(record: bytes, offset: int) -> KeyedRecord | None:
    if not record or len(record) < 1 + record[0]:
        return None
    key_length = record[0]
    try:
        key = record[1 : 1 + key_length].decode()
    except UnicodeDecodeError:
        return None
    return KeyedRecord(key, record[1 + key_length :], offset)


def _decode_value(value: str) -> bytes:
    try:
        return base64.b64decode(value, validate=True)
    except ValueError:
        # Not what the store writes; the entry's decoder rejects it.
        return value.encode()


def _raise_for_status(answer: HttpAnswer, endpoint: str) -> None:
    if answer.status != _STATUS_OK:
        raise ServiceUnavailable(f'{endpoint}: status {answer.status}')
