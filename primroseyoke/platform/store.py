"""HTTP access to the keyed topics of the platform's store."""

import base64
import logging
import struct
from collections.abc import Iterator
from typing import Any
from urllib.parse import urlencode

import msgspec

from ..exceptions import ServiceUnavailable
from ..gateway.clocks import boot_time
from ..gateway.http_client import HttpClient, HttpResponse
from ..gateway.topics import (
    AppendConflict,
    KeyedPage,
    KeyedRecord,
    RecordsExpired,
    TopicMissing,
)
from ..gateway.turns import TurnCounter
from ..positions import EraTracker, Position

__all__ = ('HttpKeyedTopic', 'decode_records')

log = logging.getLogger(__name__)

# The store answers in 4 ms, and in up to 0.4 s when it is slow. A stalled
# connection must be detected well within 3 s after an outage of the store: from
# then on, a host counts as connected and must use what operators publish.
_TIMEOUT_SECONDS = 0.8
# Header of a ``log-read`` response, which holds two offsets.
_READ_HEADER = struct.Struct('>QQ')
# Length prefix of each record.
_RECORD_LENGTH = struct.Struct('>I')
# Rises by one each time the store comes back from an older copy.
_ERA_HEADER = 'store-era'
# Larger numbers do not fit the integers of messages between gateways.
_MAX_ERA_DIGITS = 18
_STATUS_OK = 200
_STATUS_NOT_FOUND = 404
_STATUS_GONE = 410
_STATUS_CONDITION_FAILED = 412


class _ListedRecord(msgspec.Struct):
    key: str
    offset: int
    value: str = ''


class _ListingPage(msgspec.Struct, rename='camel'):
    entries: tuple[_ListedRecord, ...]
    end_offset: int
    has_more: bool = False


class _AppendResponse(msgspec.Struct, rename='camel'):
    end_offset: int
    offset: int = -1


_append_decoder = msgspec.json.Decoder(_AppendResponse)
_listing_page_decoder = msgspec.json.Decoder(_ListingPage)


class HttpKeyedTopic:
    """Keyed topic of the store, with a single partition.

    Implements ``topics.KeyedTopic``.
    """

    def __init__(
        self,
        connection: HttpClient,
        topic: str,
        eras: EraTracker | None = None,
    ) -> None:
        """Access ``topic`` through ``connection``; tell ``eras`` each era."""
        self.connection = connection
        self.topic = topic
        self.eras = eras or EraTracker('store')

    async def read_latest(self) -> KeyedPage:
        """Return the newest record of each key.

        Raises:
            TopicMissing: nothing was written to the topic yet.
            ServiceUnavailable: the store gave no valid response.
        """
        listing = None
        while listing is None:
            listing = await self._read_listing()
        return listing

    async def read(self, offset: int, wait: float) -> KeyedPage:
        """Return the records from ``offset`` on.

        Waits up to ``wait`` seconds for the first of them.

        Raises:
            RecordsExpired: the store no longer has the records at ``offset``.
            ServiceUnavailable: the store gave no valid response.
        """
        query = {
            'topic': self.topic,
            'part': 0,
            'from': offset,
            'waitMs': int(wait * 1000),
        }
        answer = await self._get('log-read', query, wait)
        if len(answer.body) < _READ_HEADER.size:
            raise ServiceUnavailable(
                f'log-read: expected a header of {_READ_HEADER.size} bytes, '
                f'got {len(answer.body)} bytes',
            )
        era = self.eras.era
        content = answer.body[_READ_HEADER.size :]
        records: list[KeyedRecord] = []
        turns = TurnCounter()
        for record in decode_records(content, offset, era):
            await turns.count_part()
            if record is not None:
                records.append(record)
        return KeyedPage(tuple(records), offset + turns.part_count, era)

    async def append(self, key: str, content: bytes) -> None:
        """Set the value of a key; an empty value removes the key.

        Raises:
            ServiceUnavailable: the store gave no valid response; the record may
                have been appended.
        """
        answer = await self._append(key, content, {})
        _raise_for_status(answer, 'log-append')

    async def append_at(
        self, key: str, content: bytes, offset: int
    ) -> Position:
        """Set the value of a key if the topic ends at ``offset``.

        Returns:
            The place of the record, in the era of the response.

        Raises:
            AppendConflict: the topic ends elsewhere; nothing was appended.
            ServiceUnavailable: the store gave no valid response; the record may
                have been appended, or may be later while the topic ends there.
        """
        answer = await self._append(key, content, {'at': offset})
        if answer.status == _STATUS_CONDITION_FAILED:
            raise AppendConflict(_decode_append(answer).end_offset)
        _raise_for_status(answer, 'log-append')
        found = _decode_append(answer).offset
        if found != offset:
            raise ServiceUnavailable(
                f'log-append: expected offset {offset}, got {found}'
            )
        return Position(self.eras.era, offset)

    async def _append(
        self, key: str, content: bytes, condition: dict[str, int]
    ) -> HttpResponse:
        encoded_key = key.encode()
        record = bytes((len(encoded_key),)) + encoded_key + content
        query = urlencode({'topic': self.topic, 'part': 0, **condition})
        answer = await self.connection.call(
            'POST',
            f'/log-append?{query}',
            _RECORD_LENGTH.pack(len(record)) + record,
            _TIMEOUT_SECONDS,
        )
        self._learn_era(answer)
        return answer

    async def _read_listing(self) -> KeyedPage | None:
        """Return the newest records; None if their pages are of two eras."""
        records: list[KeyedRecord] = []
        query: dict[str, Any] = {'topic': self.topic, 'part': 0}
        first = None
        while True:
            answer = await self._get('log-newest', query)
            page = self._decode_listing(answer)
            # Pages are not a consistent snapshot. Reading goes on from the end
            # offset of the first page, so that no later change is missed.
            first = first or Position(self.eras.era, page.end_offset)
            if first.era != self.eras.era:
                return None
            records += [
                KeyedRecord(
                    entry.key,
                    _decode_value(entry.value),
                    entry.offset,
                    first.era,
                )
                for entry in page.entries
            ]
            if not page.has_more or not page.entries:
                return KeyedPage(tuple(records), first.offset, first.era)
            query['after'] = page.entries[-1].key

    async def _get(
        self,
        endpoint: str,
        query: dict[str, Any],
        wait: float = 0,
    ) -> HttpResponse:
        answer = await self.connection.call(
            'GET',
            f'/{endpoint}?{urlencode(query)}',
            timeout=_TIMEOUT_SECONDS + wait,
        )
        self._learn_era(answer)
        if answer.status == _STATUS_GONE:
            raise RecordsExpired(f'{endpoint}: status 410, records expired')
        if answer.status == _STATUS_NOT_FOUND:
            raise TopicMissing(f'{endpoint}: status 404, no such topic')
        _raise_for_status(answer, endpoint)
        return answer

    def _learn_era(self, answer: HttpResponse) -> None:
        """Learn the era from a response, also from one that is refused.

        A response without an era is of the one that is known.

        Raises:
            ServiceUnavailable: the response is of an earlier era.
        """
        text = answer.headers.get(_ERA_HEADER)
        if text is None:
            return
        if text.isascii() and text.isdecimal() and len(text) <= _MAX_ERA_DIGITS:
            era = int(text)
            self.eras.learn(era, boot_time())
            if era < self.eras.era:
                raise ServiceUnavailable(
                    f'{self.topic}: response of era {era} after a later one'
                )
        else:
            log.warning(
                'era of the store invalid; header ignored',
                extra={'topic': self.topic, 'era': text},
            )

    def _decode_listing(self, answer: HttpResponse) -> _ListingPage:
        try:
            return _listing_page_decoder.decode(answer.body)
        except msgspec.MsgspecError as error:
            raise ServiceUnavailable(
                f'log-newest: invalid response: {error}'
            ) from error


def decode_records(
    content: bytes,
    first_offset: int,
    era: int = 0,
) -> Iterator[KeyedRecord | None]:
    """Yield the complete records in ``content``, from ``first_offset`` on.

    A malformed record is None, so that the offsets of the others stay correct.
    """
    offset = first_offset
    position = 0
    while position + _RECORD_LENGTH.size <= len(content):
        length = _RECORD_LENGTH.unpack_from(content, position)[0]
        position += _RECORD_LENGTH.size
        if position + length > len(content):
            break
        record = content[position : position + length]
        yield _decode_record(record, Position(era, offset))
        offset += 1
        position += length


def _decode_record(record: bytes, position: Position) -> KeyedRecord | None:
    if not record or len(record) < 1 + record[0]:
        return None
    key_length = record[0]
    try:
        key = record[1 : 1 + key_length].decode()
    except UnicodeDecodeError:
        return None
    value = record[1 + key_length :]
    return KeyedRecord(key, value, position.offset, position.era)


def _decode_value(value: str) -> bytes:
    try:
        return base64.b64decode(value, validate=True)
    except ValueError:
        # The store writes valid Base64 only. The decoder of the entry rejects
        # this value.
        return value.encode()


def _decode_append(answer: HttpResponse) -> _AppendResponse:
    try:
        return _append_decoder.decode(answer.body)
    except msgspec.MsgspecError as error:
        raise ServiceUnavailable(
            f'log-append: invalid response: {error}'
        ) from error


def _raise_for_status(answer: HttpResponse, endpoint: str) -> None:
    if answer.status != _STATUS_OK:
        raise ServiceUnavailable(
            f'{endpoint}: expected status 200, got {answer.status}'
        )
