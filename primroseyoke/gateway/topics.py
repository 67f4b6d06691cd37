"""Consumes topics of the store that keep the latest record of each key."""

import asyncio
import dataclasses
import logging
import random
import time
from collections.abc import Callable
from typing import Protocol

from ..exceptions import PrimroseyokeError, ServiceUnavailable

__all__ = (
    'KeyedPage',
    'KeyedRecord',
    'KeyedTopic',
    'RecordsExpired',
    'TopicConsumer',
)

log = logging.getLogger(__name__)

# Base and limit of the delay after a failed read, which doubles with each
# consecutive failure. The store handles thousands of reads a second.
_BACKOFF_BASE_SECONDS = 0.1
_MAX_BACKOFF_SECONDS = 0.4
# How long the store holds a read while there is no new record. A dead
# connection is detected shortly afterwards.
_LONG_POLL_SECONDS = 1.0


class RecordsExpired(PrimroseyokeError):
    """The store no longer has the records at an offset: read the topic anew."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """The record of a key; an empty value removes the key."""

    key: str
    value: bytes
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedPage:
    """Records of a topic and the offset of the next record to read."""

    records: tuple[KeyedRecord, ...]
    next_offset: int


class KeyedTopic(Protocol):
    """Read access to a compacted topic; the platform adapter implements it."""

    async def read_latest(self) -> KeyedPage:
        """Return the latest record of each key."""

    async def read(self, offset: int, wait: float) -> KeyedPage:
        """Return the records from an offset on.

        Waits up to ``wait`` seconds if there is none yet.

        Raises:
            RecordsExpired: the store no longer has these records.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class TopicListing:
    """Latest record of each key, read at ``read_at`` (monotonic seconds)."""

    records: tuple[KeyedRecord, ...]
    read_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class TopicChanges:
    """New records of a topic in order of their offsets, possibly none."""

    records: tuple[KeyedRecord, ...]
    read_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReconnected:
    """The store responds again after one or more failed reads."""

    read_at: float


TopicUpdate = TopicListing | TopicChanges | StoreReconnected


class TopicConsumer:
    """Polls a topic and reports each update to a callback.

    Attributes:
        reachable: whether the last read succeeded.
    """

    def __init__(
        self,
        name: str,
        topic: KeyedTopic,
        on_update: Callable[[TopicUpdate], None],
        interval: float,
        generator: random.Random,
    ) -> None:
        """Consume ``topic``.

        Args:
            name: name of the topic in log messages.
            topic: the topic to read.
            on_update: called with each update.
            interval: time between two reads, in seconds; 0 for long polling,
                which suits a topic that changes rarely.
            generator: source of the random jitter that spreads the retries of
                many hosts.
        """
        self.name = name
        self.topic = topic
        self.on_update = on_update
        self.interval = interval
        self.generator = generator
        self.offset: int | None = None
        self.reachable = True
        self.consecutive_failures = 0

    async def run(self) -> None:
        """Consume the topic until cancelled."""
        while True:
            try:
                await self._poll()
            except RecordsExpired as error:
                log.warning(
                    'topic records expired; reading the topic anew',
                    extra={'topic': self.name, 'reason': str(error)},
                )
                self.offset = None
            except ServiceUnavailable as error:
                await self._back_off(error)

    async def _poll(self) -> None:
        if self.offset is None:
            page = await self.topic.read_latest()
            self._record_success()
            self.offset = page.next_offset
            self.on_update(TopicListing(page.records, time.monotonic()))
            return
        wait = 0 if self.interval else _LONG_POLL_SECONDS
        page = await self.topic.read(self.offset, wait)
        self._record_success()
        self.offset = page.next_offset
        self.on_update(TopicChanges(page.records, time.monotonic()))
        if self.interval:
            await asyncio.sleep(self.interval)

    async def _back_off(self, error: ServiceUnavailable) -> None:
        self.consecutive_failures += 1
        if self.reachable:
            self.reachable = False
            log.warning(
                'store unreachable; retrying',
                extra={'topic': self.name, 'reason': str(error)},
            )
        delay = min(
            _BACKOFF_BASE_SECONDS * 2**self.consecutive_failures,
            _MAX_BACKOFF_SECONDS,
        )
        await asyncio.sleep(delay * (0.5 + self.generator.random()))

    def _record_success(self) -> None:
        if not self.reachable:
            log.warning(
                'store reachable again',
                extra={
                    'topic': self.name,
                    'failures': self.consecutive_failures,
                },
            )
            self.on_update(StoreReconnected(time.monotonic()))
        self.reachable = True
        self.consecutive_failures = 0
