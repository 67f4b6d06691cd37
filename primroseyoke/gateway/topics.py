"""Follows a topic of the platform's store that keeps the newest record by key."""

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

# Pause after a failed read and its upper limit, in seconds; it doubles with
# each failure in a row. The store takes thousands of reads a second.
_BACKOFF_BASE_SECONDS = 0.1
_MAX_BACKOFF_SECONDS = 0.4
# A read that waits for news ends by itself after this time, in seconds. A
# connection that went silent is noticed a little later.
_LONG_POLL_SECONDS = 1.0


class RecordsExpired(PrimroseyokeError):
    """Records from the offset on are no longer kept: list the topic anew."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """The record of a key; an empty value removes the key."""

    key: str
    value: bytes
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedPage:
    """Records of a topic and the offset that the next one gets."""

    records: tuple[KeyedRecord, ...]
    next_offset: int


class KeyedTopic(Protocol):
    """Reads a topic; the adapter of the platform implements it."""

    async def read_latest(self) -> KeyedPage:
        """Return the newest record of each key."""

    async def read(self, offset: int, wait: float) -> KeyedPage:
        """Return the records from an offset on.

        Waits up to ``wait`` seconds for the first.

        Raises:
            RecordsExpired: they are no longer kept.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class TopicListing:
    """All keys of a topic, read at ``read_at`` (monotonic seconds)."""

    records: tuple[KeyedRecord, ...]
    read_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class TopicChanges:
    """New records of a topic in order, possibly none."""

    records: tuple[KeyedRecord, ...]
    read_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReconnected:
    """The store answers again after it did not."""

    read_at: float


TopicUpdate = TopicListing | TopicChanges | StoreReconnected


class TopicConsumer:
    """Reads one topic for ever and passes on what is new.

    Attributes:
        reachable: whether the last call was answered.
    """

    def __init__(
        self,
        name: str,
        topic: KeyedTopic,
        on_update: Callable[[TopicUpdate], None],
        interval: float,
        generator: random.Random,
    ) -> None:
        """Follow ``topic``.

        Args:
            name: name of the topic, for logs.
            topic: where to read.
            receive: takes the news.
            interval: least time between two reads, in seconds; 0 for a topic
                that changes seldom.
            generator: spreads the pauses of many hosts.
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
        """Follow the topic until cancelled."""
        while True:
            try:
                await self._poll()
            except RecordsExpired as error:
                log.warning(
                    'topic is listed anew',
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
                'store lost',
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
                'store regained',
                extra={
                    'topic': self.name,
                    'failures': self.consecutive_failures,
                },
            )
            self.on_update(StoreReconnected(time.monotonic()))
        self.reachable = True
        self.consecutive_failures = 0
