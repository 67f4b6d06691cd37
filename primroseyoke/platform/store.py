"""Client of the platform's store."""

import base64
import struct
from typing import Any
from urllib.parse import urlencode

import msgspec

from ..exceptions import ServiceUnavailable
from ..gateway.clients import HttpAnswer, HttpClient
from ..gateway.topics import KeyedPage, KeyedRecord, RecordsExpired

__all__ = ('KeyedLog', 'decode_records')

# An answer takes 4 ms, and up to 0.4 s when the store is slow. A connection that
# went silent must be noticed well before a host counts as in touch again, which
# is 3 s after an outage.
_TIMEOUT = 0.8
# The two offsets before the records of a read, and the length of a record.
_OFFSETS = struct.Struct('>QQ')
_LENGTH = struct.Struct('>I')
_OK = 200
_GONE = 410


class _Listed(msgspec.Struct):
    key: str
    offset: int
    value: str = ''


class _Listing(msgspec.Struct, rename='camel'):
    entries: tuple[_Listed, ...]
    end_offset: int
    has_more: bool = False


_listing_decoder = msgspec.json.Decoder(_Listing)


class KeyedLog:
    """One keyed topic of the store, which has a single partition."""

    def __init__(self, client: HttpClient, topic: str) -> None:
        """Call the store with ``client``."""
        self.client = client
        self.topic = topic

    async def newest(self) -> KeyedPage:
        """Return the newest record of each key.

        Raises:
            ServiceUnavailable: the store did not answer.
        """
        records: list[KeyedRecord] = []
        query: dict[str, Any] = {'topic': self.topic, 'part': 0}
        end = None
        while True:
            page = self._listing(await self._get('log-newest', query))
            # Pages are no snapshot: reading goes on from the first page's end.
            end = page.end_offset if end is None else end
            records += [
                KeyedRecord(entry.key, _decoded(entry.value), entry.offset)
                for entry in page.entries
            ]
            if not page.has_more or not page.entries:
                return KeyedPage(tuple(records), end)
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
        if len(answer.body) < _OFFSETS.size:
            raise ServiceUnavailable('log-read: the answer is too short')
        records = decode_records(answer.body[_OFFSETS.size :], offset)
        end = offset + len(records)
        return KeyedPage(
            tuple(record for record in records if record is not None),
            end,
        )

    async def append(self, key: str, content: bytes) -> None:
        """Set the value of a key; an empty one removes the key.

        Raises:
            ServiceUnavailable: no answer; it may have been carried out.
        """
        name = key.encode()
        record = bytes((len(name),)) + name + content
        query = urlencode({'topic': self.topic, 'part': 0})
        answer = await self.client.call(
            'POST',
            f'/log-append?{query}',
            _LENGTH.pack(len(record)) + record,
            _TIMEOUT,
        )
        _check(answer, 'log-append')

    async def _get(
        self,
        call: str,
        query: dict[str, Any],
        wait: float = 0,
    ) -> HttpAnswer:
        answer = await self.client.call(
            'GET',
            f'/{call}?{urlencode(query)}',
            timeout=_TIMEOUT + wait,
        )
        if answer.status == _GONE:
            raise RecordsExpired(call)
        _check(answer, call)
        return answer

    def _listing(self, answer: HttpAnswer) -> _Listing:
        try:
            return _listing_decoder.decode(answer.body)
        except msgspec.MsgspecError as error:
            raise ServiceUnavailable(f'log-newest: {error}') from error


def decode_records(
    content: bytes,
    first: int,
) -> list[KeyedRecord | None]:
    """Return the whole records in an answer, the first at offset ``first``.

    A record whose key cannot be read is None, so that offsets stay right.
    """
    records: list[KeyedRecord | None] = []
    position = 0
    while position + _LENGTH.size <= len(content):
        length = _LENGTH.unpack_from(content, position)[0]
        position += _LENGTH.size
        if position + length > len(content):
            break
        record = content[position : position + length]
        records.append(_decode_record(record, first + len(records)))
        position += length
    return records


def _decode_record(record: bytes, offset: int) -> KeyedRecord | None:
    if not record or len(record) < 1 + record[0]:
        return None
    size = record[0]
    try:
        key = record[1 : 1 + size].decode()
    except UnicodeDecodeError:
        return None
    return KeyedRecord(key, record[1 + size :], offset)


def _decoded(value: str) -> bytes:
    try:
        return base64.b64decode(value, validate=True)
    except ValueError:
        # Not what the store writes; the entry's decoder rejects it.
        return value.encode()


def _check(answer: HttpAnswer, call: str) -> None:
    if answer.status != _OK:
        raise ServiceUnavailable(f'{call}: status {answer.status}')
