"""Keeps a copy of a topic current, from the store or from another gateway.

Each read of the store costs the platform, so a few gateways read it and tell
the others how far they are (``topic_sharing``). The others fetch changes from
them, and read the store themselves when no one has confirmed their copy.
"""

import asyncio
import logging
import math
import random
import time
from collections.abc import Callable
from typing import Any, Protocol

from ..exceptions import ServiceUnavailable
from ..positions import Position
from .clocks import boot_time
from .topic_replica import TopicPage, TopicReplica
from .topics import (
    KeyedPage,
    KeyedRecord,
    KeyedTopic,
    RecordsExpired,
    StoreReconnected,
    TopicChanges,
    TopicListing,
    TopicUpdate,
)

__all__ = ('TopicConsumer', 'TopicSource')

log = logging.getLogger(__name__)

# Base and limit of the delay after a failed read, which doubles with each
# consecutive failure. The store handles thousands of reads a second.
_BACKOFF_BASE_SECONDS = 0.1
_MAX_BACKOFF_SECONDS = 0.4
# Limit of that delay for hosts that read only if no other host does. While the
# store is away, the first hosts find out soon enough that it is back.
_MAX_FOLLOWER_BACKOFF_SECONDS = 1.5
# How long the store holds a read while there is no new record. A dead
# connection is detected shortly afterwards.
_LONG_POLL_SECONDS = 1.0
# A read that is due within this time is made at once.
_MIN_WAIT_SECONDS = 0.001
# Minimum time between two fetches from other gateways, so that changes in quick
# succession are fetched together.
_MIN_FETCH_INTERVAL_SECONDS = 0.2
# Records of a page that are applied before other tasks run. Each time takes some
# ms more where the topic has many keys.
_RECORDS_PER_TURN = 1024


class TopicSource(Protocol):
    """Other gateways with copies of a topic; ``topic_sharing`` implements it.

    Attributes:
        changed: set when another gateway may have news.
    """

    changed: asyncio.Event

    @property
    def is_reader(self) -> bool:
        """Tell whether this host reads the store for others."""

    @property
    def read_interval(self) -> float:
        """Return the time between reads of a reader, in seconds."""

    @property
    def takeover_delay(self) -> float:
        """Return the age of the last confirmation, in seconds, to act on.

        A host that is no reader reads the store from then on.
        """

    @property
    def max_takeover_delay(self) -> float:
        """Return the age, in seconds, at which all such hosts read the store.

        Copies are younger as long as the store serves one of the hosts.
        """

    def newer_host(self, replica: TopicReplica) -> str | None:
        """Return the address of a gateway that has newer records, if any."""

    async def fetch(self, address: str, replica: TopicReplica) -> TopicPage:
        """Fetch the records that ``replica`` lacks.

        Raises:
            ServiceUnavailable: the gateway gave no valid response.
        """

    def announce_changes(self) -> None:
        """Tell the other gateways that this host has newer records."""


class TopicConsumer:
    """Keeps a replica of a topic current and reports updates to a callback.

    Attributes:
        reachable: whether the last read of the store succeeded.
        listing_count: number of listings of the topic that were read.
        expired_count: number of reads of records that the store does not have.
        replica: the records, from which other gateways are served.
    """

    def __init__(
        self,
        name: str,
        topic: KeyedTopic,
        on_update: Callable[[TopicUpdate], None],
        interval: float,
        generator: random.Random,
        effect: Callable[[KeyedRecord], bytes] | None = None,
        keeps_lost: bool = False,
    ) -> None:
        """Consume ``topic``.

        Args:
            name: name of the topic.
            topic: the topic to read.
            on_update: called with each update.
            interval: time between two reads, in seconds; 0 for long polling,
                which suits a topic that changes rarely.
            generator: source of the random jitter that spreads the retries of
                many hosts.
            effect: returns the same bytes for records that make no difference;
                without it, all do.
            keeps_lost: whether a record stays in effect although the store has
                lost it, until its key is written again.
        """
        self.name = name
        self.log_fields: dict[str, Any] = {'topic': name}
        self.topic = topic
        self.on_update = on_update
        self.interval = interval
        self.generator = generator
        self.replica = TopicReplica(effect or _value_of, keeps_lost)
        self.source: TopicSource | None = None
        self.needs_listing = True
        self.reachable = True
        self.listing_count = 0
        self.expired_count = 0
        self.consecutive_failures = 0
        self.last_read_at = -math.inf
        self.last_fetch_at = -math.inf

    async def run(self) -> None:
        """Consume the topic until cancelled."""
        while True:
            try:
                await self._update()
            except RecordsExpired as error:
                log.warning(
                    'topic records expired; reading the topic anew',
                    extra=self.log_fields
                    | self.state()
                    | {'reason': str(error)},
                )
                self.expired_count += 1
                self.needs_listing = True
            except ServiceUnavailable as error:
                await self._back_off(error)

    def confirm(self, next_position: Position, confirmed_at: float) -> None:
        """Record that another gateway found the replica to be up to date.

        Args:
            next_position: the position up to which it has read the topic.
            confirmed_at: when the store confirmed that, as returned by
                ``boot_time``.
        """
        replica = self.replica
        if (
            replica.next_position is None
            or confirmed_at <= replica.confirmed_at
        ):
            return
        self.topic.eras.learn(next_position.era, boot_time())
        self._record_success(confirmed_at)
        if next_position.era > replica.next_position.era:
            self._record_recovery(confirmed_at)
        replica.confirm(next_position)
        replica.confirmed_at = confirmed_at
        self.on_update(TopicChanges((), _monotonic(confirmed_at)))

    def state(self) -> dict[str, float]:
        """Return numbers that tell how far this host has read the topic."""
        replica = self.replica
        position = replica.next_position or Position(0, -1)
        return {
            'era': position.era,
            'next_offset': position.offset,
            'retained_records': len(replica.retained),
            'listings': self.listing_count,
            'expired_reads': self.expired_count,
            'ignored_records': replica.ignored_count,
            'age': boot_time() - replica.confirmed_at,
        }

    async def _update(self) -> None:
        """Fetch or read news once, or wait until that is due."""
        source = self.source
        address = source.newer_host(self.replica) if source else None
        if source is not None and address is not None:
            await self._fetch(source, address)
            return
        delay = self._read_delay()
        if delay <= _MIN_WAIT_SECONDS:
            await self._read()
        elif source is None:
            await asyncio.sleep(delay)
        else:
            source.changed.clear()
            try:
                async with asyncio.timeout(delay):
                    await source.changed.wait()
            except TimeoutError:
                return

    def _read_delay(self) -> float:
        """Return the time until this host has to read the store, in seconds."""
        source = self.source
        if self.replica.next_position is None:
            return 0
        if source is not None and not source.is_reader:
            # In a new era the readers list the topic, and the others get it
            # from them.
            since = max(self.replica.confirmed_at, self.topic.eras.risen_at)
            return source.takeover_delay - (boot_time() - since)
        if self.needs_listing or not self.interval:
            return 0
        interval = source.read_interval if source else self.interval
        return self.last_read_at + interval - boot_time()

    async def _read(self) -> None:
        sent_at = boot_time()
        self.last_read_at = sent_at
        known = self.replica.next_position
        if self.needs_listing or known is None or self._is_outdated(known):
            await self._read_listing(sent_at)
            return
        wait = self._long_poll()
        digest = self.replica.digest
        page = await self.topic.read(known.offset, wait)
        self._record_success(boot_time())
        if page.era != known.era:
            # The offset was of another era: what it returned proves nothing.
            self.needs_listing = True
            return
        records = await self._apply(page)
        # A read without records was answered after the wait.
        confirmed_at = sent_at if page.records else sent_at + wait
        self.replica.read_at = confirmed_at
        self._report(records, complete=False, confirmed_at=confirmed_at)
        if self.source is not None and self.replica.digest != digest:
            self.source.announce_changes()

    async def _apply(self, page: KeyedPage) -> tuple[KeyedRecord, ...]:
        """Apply the records of a page; return those that are not outdated.

        Other tasks run in between. The replica is as if pages had ended there.
        """
        applied: list[KeyedRecord] = []
        for first in range(0, len(page.records), _RECORDS_PER_TURN):
            if first:
                await asyncio.sleep(0)
            part = page.records[first : first + _RECORDS_PER_TURN]
            end = Position(page.era, part[-1].offset + 1)
            applied += self.replica.update(part, end)
        self.replica.update((), page.next_position)
        return tuple(applied)

    def _is_outdated(self, position: Position) -> bool:
        """Tell whether the store has named a later era than that of a copy."""
        return position.era < self.topic.eras.era

    async def _read_listing(self, sent_at: float) -> None:
        page = await self.topic.read_latest()
        self._record_success(boot_time())
        replica = self.replica
        known = replica.next_position
        self.listing_count += 1
        if known is not None and page.next_position < known:
            # Without a later era, this is no order that records can follow.
            raise ServiceUnavailable(
                f'{self.name}: listing ends before the known position {known}',
            )
        self.needs_listing = False
        replica.replace(page.records, page.next_position)
        replica.read_at = sent_at
        log.info('topic listed', extra=self.log_fields | self.state())
        if known is not None and known.era < page.era:
            self._record_recovery(boot_time())
        self._report(replica.present(), complete=True, confirmed_at=sent_at)
        if self.source is not None and known != replica.next_position:
            self.source.announce_changes()

    def _long_poll(self) -> float:
        """Return how long the store may hold the next read, in seconds."""
        if self.interval:
            return 0
        if self.source is None:
            return _LONG_POLL_SECONDS
        return self.source.read_interval if self.source.is_reader else 0

    async def _fetch(self, source: TopicSource, address: str) -> None:
        delay = self.last_fetch_at + _MIN_FETCH_INTERVAL_SECONDS - boot_time()
        if delay > 0:
            await asyncio.sleep(delay)
        self.last_fetch_at = boot_time()
        try:
            page = await source.fetch(address, self.replica)
        except ServiceUnavailable as error:
            log.info(
                'gateway did not send its records; reading the store',
                extra={
                    'topic': self.name,
                    'peer': address,
                    'reason': str(error),
                },
            )
            await self._read()
            return
        replica = self.replica
        known = replica.next_position
        if known is not None and page.next_position < known:
            return
        self.topic.eras.learn(page.era, boot_time())
        received_at = boot_time()
        recovered_at = received_at - page.recovery_age
        is_later_era = known is not None and known.era < page.era
        if recovered_at > replica.recovered_at and (
            is_later_era or not self._was_served_before(recovered_at)
        ):
            self._record_recovery(recovered_at)
        records = page.keyed_records()
        if page.complete:
            replica.replace(records, page.next_position)
            records = replica.present()
        else:
            records = replica.update(records, page.next_position)
        replica.mark_retained(page.retained)
        self.needs_listing = False
        self._report(
            records,
            complete=page.complete,
            confirmed_at=received_at - page.age,
        )

    def _report(
        self,
        records: tuple[KeyedRecord, ...],
        complete: bool,
        confirmed_at: float,
    ) -> None:
        replica = self.replica
        replica.confirmed_at = max(replica.confirmed_at, confirmed_at)
        read_at = _monotonic(replica.confirmed_at)
        retained = frozenset(replica.retained)
        if complete:
            self.on_update(TopicListing(records, read_at, retained))
        else:
            self.on_update(TopicChanges(records, read_at, retained))

    async def _back_off(self, error: ServiceUnavailable) -> None:
        self.consecutive_failures += 1
        if self.reachable:
            self.reachable = False
            log.warning(
                'store unreachable; retrying',
                extra={'topic': self.name, 'reason': str(error)},
            )
        reads_for_others = self.source is None or self.source.is_reader
        limit = (
            _MAX_BACKOFF_SECONDS
            if reads_for_others
            else _MAX_FOLLOWER_BACKOFF_SECONDS
        )
        delay = min(_BACKOFF_BASE_SECONDS * 2**self.consecutive_failures, limit)
        await self._wait_for_news(delay * (0.5 + self.generator.random()))

    async def _wait_for_news(self, delay: float) -> None:
        """Wait ``delay`` seconds, or until another gateway has newer records."""
        source = self.source
        if source is None:
            await asyncio.sleep(delay)
            return
        try:
            async with asyncio.timeout(delay):
                while source.newer_host(self.replica) is None:
                    source.changed.clear()
                    await source.changed.wait()
        except TimeoutError:
            return

    def _record_success(self, recovered_at: float) -> None:
        if not self.reachable:
            log.warning(
                'store reachable again',
                extra={
                    'topic': self.name,
                    'failures': self.consecutive_failures,
                },
            )
            if not self._was_served_before(recovered_at):
                self._record_recovery(recovered_at)
        self.reachable = True
        self.consecutive_failures = 0

    def _was_served_before(self, recovered_at: float) -> bool:
        """Tell whether the store served any gateway shortly before a recovery.

        It may turn this host away and serve the others. What it removed
        meanwhile has not expired because it was away.
        """
        return (
            self.source is not None
            and recovered_at - self.replica.confirmed_at
            < self.source.max_takeover_delay
        )

    def _record_recovery(self, recovered_at: float) -> None:
        self.replica.recovered_at = recovered_at
        self.on_update(StoreReconnected(_monotonic(recovered_at)))


def _monotonic(boot: float) -> float:
    """Convert a reading of ``boot_time`` to the monotonic clock."""
    return time.monotonic() - (boot_time() - boot)


def _value_of(record: KeyedRecord) -> bytes:
    return record.value
