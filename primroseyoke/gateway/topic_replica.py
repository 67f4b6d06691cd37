"""Copy of a keyed topic from which other gateways are brought up to date."""

import hashlib
import math
from collections.abc import Callable, Iterable

import msgspec

from .topics import KeyedRecord

__all__ = ('TopicPage', 'TopicReplica')

_DIGEST_BYTES = 8
# Removals that are kept for hosts that have not applied them. A host that needs
# older ones gets all records.
_MAX_REMOVAL_COUNT = 2048


class TopicPage(msgspec.Struct, array_like=True, frozen=True):
    """What a gateway tells another one about a topic.

    ``records`` has the key, value and offset of each record. They are all of
    the topic if ``complete``, otherwise those that changed. ``age`` is the time
    since the store confirmed them, ``recovery_age`` the time since the store
    was last found to respond again, both in seconds.
    """

    complete: bool
    records: tuple[tuple[str, bytes, int], ...]
    next_offset: int
    age: float
    recovery_age: float = math.inf

    def keyed_records(self) -> tuple[KeyedRecord, ...]:
        """Return the records."""
        return tuple(KeyedRecord(*record) for record in self.records)


class TopicReplica:
    """Latest record of each key, removals included.

    Two replicas have the same ``digest`` if the records have the same effect,
    so hosts can tell that they are up to date without exchanging records.

    Attributes:
        records: the latest record by key; an empty value is a removal.
        changed_at: offset of the record that last changed the effect, by key.
        next_offset: offset of the next record of the store; None before the
            first listing.
        digest: digest of the effects of all records.
        confirmed_at: when the store last confirmed that the replica was up to
            date, to this host or to one that told so, as returned by
            ``boot_time``.
        read_at: when the store last confirmed it to this host. Only this is
            told to others: each transit makes a confirmation look newer.
        ignored_count: number of records that were older than the known ones.
        recovered_at: when the store last responded again after an outage, as
            returned by ``boot_time``.
    """

    def __init__(self, effect: Callable[[KeyedRecord], bytes]) -> None:
        """Create an empty replica.

        ``effect`` returns the same bytes for records that make no difference.
        """
        self.effect = effect
        self.records: dict[str, KeyedRecord] = {}
        self.changed_at: dict[str, int] = {}
        self.next_offset: int | None = None
        self.digest = 0
        self.ignored_count = 0
        self.confirmed_at = -math.inf
        self.read_at = -math.inf
        self.recovered_at = -math.inf
        self.digests: dict[str, int] = {}
        # Removals of keys before this offset are not known.
        self.complete_from = 0

    def replace(self, records: Iterable[KeyedRecord], next_offset: int) -> None:
        """Apply a listing; keys that it lacks have been removed."""
        listed = {record.key: record for record in records}
        if self.next_offset is None:
            self.complete_from = next_offset
        removed = [
            KeyedRecord(key, b'', next_offset - 1)
            for key, record in self.records.items()
            if record.value and key not in listed
        ]
        self.update([*listed.values(), *removed], next_offset)

    def update(self, records: Iterable[KeyedRecord], next_offset: int) -> None:
        """Apply records in order of their offsets; ignore older ones."""
        for record in records:
            known = self.records.get(record.key)
            if known is None or record.offset >= known.offset:
                self._apply(record)
            else:
                self.ignored_count += 1
        self.next_offset = max(self.next_offset or 0, next_offset)
        self._drop_old_removals()

    def page(self, offset: int | None, now: float) -> TopicPage:
        """Return what a host lacks that has applied all before ``offset``.

        Args:
            offset: None if the host has nothing yet.
            now: the current time, as returned by ``boot_time``.
        """
        complete = offset is None or offset < self.complete_from
        first = 0 if offset is None or complete else offset
        records = sorted(
            (
                record
                for key, record in self.records.items()
                if self.changed_at[key] >= first
                and (record.value or not complete)
            ),
            key=lambda record: record.offset,
        )
        return TopicPage(
            complete,
            tuple(
                (record.key, record.value, record.offset) for record in records
            ),
            self.next_offset or 0,
            max(now - self.confirmed_at, 0),
            max(now - self.recovered_at, 0),
        )

    def _apply(self, record: KeyedRecord) -> None:
        self.records[record.key] = record
        digest = self._digest_of(record)
        previous = self.digests.get(record.key, 0)
        if digest != previous or record.key not in self.changed_at:
            self.changed_at[record.key] = record.offset
        self.digests[record.key] = digest
        self.digest ^= previous ^ digest

    def _drop_old_removals(self) -> None:
        removed = [key for key, digest in self.digests.items() if not digest]
        if len(removed) <= _MAX_REMOVAL_COUNT:
            return
        removed.sort(key=self.changed_at.__getitem__)
        for key in removed[: _MAX_REMOVAL_COUNT // 2]:
            self.complete_from = max(
                self.complete_from, self.changed_at.pop(key) + 1
            )
            self.records.pop(key)
            self.digests.pop(key)

    def _digest_of(self, record: KeyedRecord) -> int:
        if not record.value:
            return 0
        hashed = hashlib.blake2b(digest_size=_DIGEST_BYTES)
        hashed.update(record.key.encode())
        hashed.update(self.effect(record))
        # The sign bit is left out, so that the digest fits all integer types.
        return int.from_bytes(hashed.digest()) >> 1
