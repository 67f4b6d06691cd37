"""Divides the reads of the store's topics among gateways.

Each gateway announces with its heartbeats how far it has read each topic and a
digest of what it has. A gateway with the same digest is up to date and need not
read the store; one that is behind fetches the changes from a gateway that is
ahead, preferably of its own availability zone.
"""

import asyncio
import dataclasses
import math
import random
import zlib
from collections.abc import Iterable, Mapping, Sequence
from typing import Annotated, Any, Protocol
from urllib.parse import parse_qs, urlsplit

import cbor2
import msgspec

from ..exceptions import ServiceUnavailable
from ..positions import Position
from .clocks import boot_time
from .http_client import HttpClient
from .listeners import ResponseWriter
from .requests import CallerRequest
from .topic_consumers import TopicConsumer
from .topic_replica import Era, TopicPage, TopicReplica

__all__ = ('Announcement', 'TopicSharing', 'decode_page')

# Hosts that read the store, besides one more for each ``_HOSTS_PER_READER``.
# The second one keeps the others up to date while the first is silent.
_MIN_READER_COUNT = 2
# Readers are added so that a change is fetched from each by a bounded number
# of hosts.
_HOSTS_PER_READER = 64
# Time between the reads of a reader as a share of the time within which a
# published change must be in force.
_READ_INTERVAL_SHARE = 0.25
# Age of the last confirmation at which the first host that is no reader reads
# the store itself, as a share of the same time.
_TAKEOVER_SHARE = 0.45
# Each further host waits this much longer, up to the maximum, so that they do
# not all read the store at once.
_TAKEOVER_STEP_SECONDS = 0.1
_MAX_TAKEOVER_STEPS = 4
# An announcement that is older is not followed.
_ANNOUNCEMENT_LIFETIME_SECONDS = 2.0
_FETCH_TIMEOUT_SECONDS = 0.5
_MAX_PAGE_BYTES = 2**25
# The fastest level: most of a configuration repeats itself.
_COMPRESSION_LEVEL = 1
_PAGE_ERRORS = (
    cbor2.CBORError,
    msgspec.ValidationError,
    zlib.error,
    TypeError,
    ValueError,
)
_MAX_POSITION_DIGITS = 40
_PATH_PREFIX = '/topics/'
_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503


class Announcement(msgspec.Struct, array_like=True, frozen=True):
    """How far a gateway has read a topic.

    ``age`` is the time since the store confirmed the state with ``digest`` to
    that gateway, in seconds; infinite if it never did. ``retained`` is the
    number of keys whose values the store has lost and that gateway still has.
    """

    next_offset: int
    digest: int
    age: Annotated[float, msgspec.Meta(ge=0)]
    era: Era = 0
    retained: Annotated[int, msgspec.Meta(ge=0)] = 0

    @property
    def next_position(self) -> Position:
        """Return the position up to which the gateway has read the topic."""
        return Position(self.era, self.next_offset)

    def is_ahead_of(self, replica: TopicReplica) -> bool:
        """Tell whether the gateway has records that ``replica`` may lack."""
        known = replica.next_position
        if known is None:
            return True
        if self.digest == replica.digest:
            return False
        if self.next_position == known:
            return self.retained > len(replica.retained)
        return self.next_position > known


class Hosts(Protocol):
    """The gateways that this host hears; ``peers`` implements it."""

    @property
    def reader_rank(self) -> int:
        """Return the position of this host in the order of readers."""

    @property
    def active_count(self) -> int:
        """Return the number of hosts that are heard, with this one."""

    def zone_of(self, address: str) -> str:
        """Return the availability zone of a host, '' if it is unknown."""

    def send_heartbeat(self) -> None:
        """Send a heartbeat, with announcements, to all hosts."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Ahead:
    """A gateway that is ahead of this one."""

    announcement: Announcement
    announced_at: float


class _SharedTopic:
    """Implements ``TopicSource`` for one topic."""

    def __init__(
        self, sharing: 'TopicSharing', consumer: TopicConsumer
    ) -> None:
        self.sharing = sharing
        self.consumer = consumer
        self.changed = asyncio.Event()
        self.ahead: dict[str, _Ahead] = {}

    @property
    def is_reader(self) -> bool:
        return self.sharing.hosts.reader_rank < self.sharing.reader_count

    @property
    def read_interval(self) -> float:
        return self.sharing.max_update_delay * _READ_INTERVAL_SHARE

    @property
    def takeover_delay(self) -> float:
        sharing = self.sharing
        steps = sharing.hosts.reader_rank - sharing.reader_count
        return (
            sharing.max_update_delay * _TAKEOVER_SHARE
            + min(steps, _MAX_TAKEOVER_STEPS) * _TAKEOVER_STEP_SECONDS
        )

    @property
    def max_takeover_delay(self) -> float:
        return (
            self.sharing.max_update_delay * _TAKEOVER_SHARE
            + _MAX_TAKEOVER_STEPS * _TAKEOVER_STEP_SECONDS
        )

    def newer_host(self, replica: TopicReplica) -> str | None:
        now = boot_time()
        self.ahead = {
            address: state
            for address, state in self.ahead.items()
            if state.announcement.is_ahead_of(replica)
            and now - state.announced_at < _ANNOUNCEMENT_LIFETIME_SECONDS
        }
        if not self.ahead:
            return None
        sharing = self.sharing
        local = [
            address
            for address in self.ahead
            if sharing.hosts.zone_of(address) == sharing.availability_zone
        ]
        return sharing.generator.choice(local or list(self.ahead))

    async def fetch(self, address: str, replica: TopicReplica) -> TopicPage:
        self.ahead.pop(address, None)
        return await self.sharing.fetch(
            address, self.consumer.name, replica.next_position
        )

    def announce_changes(self) -> None:
        self.sharing.hosts.send_heartbeat()

    def receive(
        self, address: str, announcement: Announcement, now: float
    ) -> None:
        replica = self.consumer.replica
        known = replica.next_position
        told = announcement.next_position
        if announcement.is_ahead_of(replica):
            self.ahead[address] = _Ahead(announcement, now)
            self.changed.set()
        elif announcement.digest == replica.digest or (
            # The end of another era says nothing about the end of this one.
            known is not None and told < known and told.era == known.era
        ):
            self.consumer.confirm(told, now - announcement.age)


class TopicSharing:
    """Announces the topics of this gateway and follows those of the others.

    Attributes:
        consumers: the consumers of all topics of this host.
        topics: the shared topics by name.
        fetches: number of pages fetched from other gateways.
    """

    def __init__(
        self,
        hosts: Hosts,
        port: int,
        availability_zone: str,
        max_update_delay: float,
        generator: random.Random,
    ) -> None:
        """Share the topics with ``hosts``.

        Args:
            hosts: the gateways that this one hears.
            port: the port at which gateways serve their records.
            availability_zone: the zone of this host.
            max_update_delay: time within which a published change must be in
                force, in seconds.
            generator: selects among gateways that are ahead.
        """
        self.hosts = hosts
        self.port = port
        self.availability_zone = availability_zone
        self.max_update_delay = max_update_delay
        self.generator = generator
        self.consumers: Sequence[TopicConsumer] = ()
        self.topics: dict[str, _SharedTopic] = {}
        self.fetches = 0
        self.encoded_pages: dict[
            tuple[str, Position, bool, int, int], bytes
        ] = {}

    @property
    def reader_count(self) -> int:
        """Return the number of hosts that read the store."""
        return _MIN_READER_COUNT + self.hosts.active_count // _HOSTS_PER_READER

    @property
    def is_announcing(self) -> bool:
        """Tell whether other hosts rely on the reads of this host."""
        oldest = boot_time() - self.max_update_delay
        return self.hosts.reader_rank < self.reader_count or any(
            replica.read_at > oldest for _, replica in self._replicas()
        )

    def add_all(self, consumers: Iterable[TopicConsumer]) -> None:
        """Share the topics of some consumers."""
        for consumer in consumers:
            topic = _SharedTopic(self, consumer)
            self.topics[consumer.name] = topic
            consumer.source = topic

    def announcements(self) -> dict[str, Announcement]:
        """Return how far this host has read each topic."""
        now = boot_time()
        return {
            name: Announcement(
                replica.next_position.offset,
                replica.digest,
                max(now - replica.read_at, 0),
                replica.next_position.era,
                len(replica.retained),
            )
            for name, replica in self._replicas()
            if replica.next_position is not None
        }

    def receive(
        self, address: str, announcements: Mapping[str, Announcement]
    ) -> None:
        """Follow the announcements of another gateway."""
        for name, announcement in announcements.items():
            topic = self.topics.get(name)
            if topic is not None:
                topic.receive(address, announcement, boot_time())

    async def fetch(
        self, address: str, name: str, position: Position | None
    ) -> TopicPage:
        """Fetch from a gateway the records from ``position`` on; None for all.

        Raises:
            ServiceUnavailable: the gateway gave no valid response.
        """
        target = f'{_PATH_PREFIX}{name}'
        if position is not None:
            target = f'{target}?from={position.offset}&era={position.era}'
        client = HttpClient(address, self.port, max_body_bytes=_MAX_PAGE_BYTES)
        try:
            answer = await client.call(
                'GET', target, timeout=_FETCH_TIMEOUT_SECONDS
            )
        finally:
            client.close()
        if answer.status != _OK:
            raise ServiceUnavailable(
                f'{target}: expected status 200, got {answer.status}'
            )
        self.fetches += 1
        return decode_page(target, answer.body)

    async def serve(
        self, request: CallerRequest, response: ResponseWriter
    ) -> None:
        """Respond to a request of another gateway for records."""
        name = request.path.removeprefix(_PATH_PREFIX)
        replica = dict(self._replicas()).get(name)
        if replica is None or not request.path.startswith(_PATH_PREFIX):
            response.send_error(_NOT_FOUND, 'no such topic', 'not_run')
            return
        if replica.next_position is None:
            response.send_error(_UNAVAILABLE, 'topic not read yet', 'not_run')
            return
        query = parse_qs(urlsplit(request.target).query)
        page = replica.page(_parse_position(query), boot_time())
        response.respond(_OK, (), self._encode(name, page, replica.digest))

    def _replicas(self) -> Iterable[tuple[str, TopicReplica]]:
        for name, topic in self.topics.items():
            yield name, topic.consumer.replica

    def _encode(self, name: str, page: TopicPage, digest: int) -> bytes:
        """Encode a page; many hosts ask for the same one after a change."""
        key = (
            name,
            page.next_position,
            page.complete,
            len(page.records),
            digest,
        )
        records = self.encoded_pages.get(key)
        if records is None:
            self.encoded_pages = {
                known: content
                for known, content in self.encoded_pages.items()
                if known[0] != name or known[1] == page.next_position
            }
            records = zlib.compress(
                cbor2.dumps(page.records), _COMPRESSION_LEVEL
            )
            self.encoded_pages[key] = records
        return cbor2.dumps(
            (
                page.complete,
                records,
                page.next_offset,
                page.age,
                page.recovery_age,
                page.era,
                page.retained,
            )
        )


def _parse_position(query: Mapping[str, list[str]]) -> Position | None:
    """Return the position that a gateway asks from; None for all records."""
    offset = query.get('from', [''])[0]
    # Gateways of an earlier build name no era.
    era = query.get('era', ['0'])[0]
    if not (offset + era).isdecimal() or not offset or not era:
        return None
    if len(offset + era) > _MAX_POSITION_DIGITS:
        return None
    return Position(int(era), int(offset))


def decode_page(target: str, content: bytes) -> TopicPage:
    """Decode the response to ``target``.

    Raises:
        ServiceUnavailable: it is not a valid page.
    """
    try:
        complete, compressed, *rest = cbor2.loads(content)
        records = _decompress(compressed)
        page = msgspec.convert(
            (complete, cbor2.loads(records), *rest), TopicPage
        )
    except _PAGE_ERRORS as error:
        raise ServiceUnavailable(f'{target}: invalid page: {error}') from error
    if not 0 <= page.age < math.inf or not page.recovery_age >= 0:
        raise ServiceUnavailable(f'{target}: invalid age {page.age}')
    return page


def _decompress(content: Any) -> bytes:
    decompressor = zlib.decompressobj()
    records = decompressor.decompress(content, _MAX_PAGE_BYTES)
    if not decompressor.eof:
        raise ValueError(f'page incomplete or over {_MAX_PAGE_BYTES} bytes')
    return records
