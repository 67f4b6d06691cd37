"""Topics of the store that keep the latest record of each key."""

import dataclasses
from typing import Protocol

from ..exceptions import PrimroseyokeError, ServiceUnavailable
from ..positions import EraTracker, Position

__all__ = (
    'AppendConflict',
    'ConditionalTopic',
    'KeyedPage',
    'KeyedRecord',
    'KeyedTopic',
    'RecordsExpired',
    'StoreReconnected',
    'TopicChanges',
    'TopicListing',
    'TopicMissing',
    'TopicUpdate',
)


class RecordsExpired(PrimroseyokeError):
    """The store no longer has the records at an offset: read the topic anew."""


class AppendConflict(PrimroseyokeError):
    """The topic does not end at the offset that a record was meant for."""

    def __init__(self, end_offset: int) -> None:
        """Store the offset at which the topic ends."""
        super().__init__(f'the topic ends at offset {end_offset}')
        self.end_offset = end_offset


class TopicMissing(ServiceUnavailable):
    """The store has no such topic; it is created by the first append."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """The record of a key; an empty value removes the key."""

    key: str
    value: bytes
    offset: int
    era: int = 0

    @property
    def position(self) -> Position:
        """Return the place of the record in its topic."""
        return Position(self.era, self.offset)


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedPage:
    """Records of a topic and the offset of the next record to read."""

    records: tuple[KeyedRecord, ...]
    next_offset: int
    era: int = 0

    @property
    def next_position(self) -> Position:
        """Return the place of the next record to read."""
        return Position(self.era, self.next_offset)


class KeyedTopic(Protocol):
    """Read access to a compacted topic; the platform adapter implements it.

    Attributes:
        eras: the eras that the store has named.
    """

    eras: EraTracker

    async def read_latest(self) -> KeyedPage:
        """Return the latest record of each key."""

    async def read(self, offset: int, wait: float) -> KeyedPage:
        """Return the records from an offset on.

        Waits up to ``wait`` seconds if there is none yet.

        Raises:
            RecordsExpired: the store no longer has these records.
        """


class ConditionalTopic(KeyedTopic, Protocol):
    """Keyed topic with appends that depend on its end."""

    async def append_at(
        self, key: str, content: bytes, offset: int
    ) -> Position:
        """Set the value of a key if the topic ends at ``offset``.

        Returns:
            The place of the record, in the era of the response.

        Raises:
            AppendConflict: the topic ends elsewhere; nothing was appended.
            ServiceUnavailable: no valid response; the record may have been
                appended, or may be later while the topic ends there.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class TopicListing:
    """Latest record of each key, read at ``read_at`` (monotonic seconds).

    The store has lost the values of the keys in ``retained``.
    """

    records: tuple[KeyedRecord, ...]
    read_at: float
    retained: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class TopicChanges:
    """New records of a topic in order of their offsets, possibly none.

    The store has lost the values of the keys in ``retained``.
    """

    records: tuple[KeyedRecord, ...]
    read_at: float
    retained: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReconnected:
    """The store responds again after one or more failed reads."""

    read_at: float


TopicUpdate = TopicListing | TopicChanges | StoreReconnected
