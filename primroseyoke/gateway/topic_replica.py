"""Copy of a keyed topic from which other gateways are brought up to date."""

import hashlib
import math
from collections.abc import Callable, Iterable, Mapping
from typing import Annotated

import msgspec

from ..positions import Position
from .topics import KeyedRecord

__all__ = ('Era', 'TopicPage', 'TopicReplica')

Era = Annotated[int, msgspec.Meta(ge=0, lt=2**60)]

_DIGEST_BYTES = 8
# Removals that are kept for hosts that have not applied them. A host that needs
# older ones gets all records.
_MAX_REMOVAL_COUNT = 2048
# Records of each key by which a copy of the store is recognised.
_HISTORY_LENGTH = 16
_START = Position(0, 0)


class TopicPage(msgspec.Struct, array_like=True, frozen=True):
    """What a gateway tells another one about a topic.

    ``records`` has the key, value and offset of each record. They are all of
    the topic if ``complete``, otherwise those that changed. ``age`` is the time
    since the store confirmed them, ``recovery_age`` the time since the store
    was last found to respond again, both in seconds. All offsets are of
    ``era``. The values of the keys in ``retained`` were lost by the store.
    """

    complete: bool
    records: tuple[tuple[str, bytes, int], ...]
    next_offset: int
    age: float
    recovery_age: float = math.inf
    era: Era = 0
    retained: tuple[str, ...] = ()

    @property
    def next_position(self) -> Position:
        """Return the place of the next record of the store."""
        return Position(self.era, self.next_offset)

    def keyed_records(self) -> tuple[KeyedRecord, ...]:
        """Return the records."""
        return tuple(KeyedRecord(*record, self.era) for record in self.records)


class TopicReplica:
    """Latest record of each key, removals included.

    Two replicas have the same ``digest`` if the records have the same effect,
    so hosts can tell that they are up to date without exchanging records.

    Attributes:
        records: the latest record by key; an empty value is a removal.
        changed_at: position of the record that last changed the effect, by
            key.
        next_position: position of the next record of the store; None before
            the first listing.
        retained: keys whose values the store lost and has not got again.
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

    def __init__(
        self,
        effect: Callable[[KeyedRecord], bytes],
        keeps_lost: bool = False,
    ) -> None:
        """Create an empty replica.

        Args:
            effect: returns the same bytes for records that make no difference.
            keeps_lost: whether a record stays in effect although the store has
                lost it, until its key is written again.
        """
        self.effect = effect
        self.keeps_lost = keeps_lost
        self.records: dict[str, KeyedRecord] = {}
        self.changed_at: dict[str, Position] = {}
        self.next_position: Position | None = None
        self.retained: set[str] = set()
        self.digest = 0
        self.ignored_count = 0
        self.confirmed_at = -math.inf
        self.read_at = -math.inf
        self.recovered_at = -math.inf
        self.digests: dict[str, int] = {}
        # Removals of keys before this position are not known.
        self.complete_from = _START
        self.known_records: dict[str, tuple[int, ...]] = {}

    def replace(
        self, records: Iterable[KeyedRecord], next_position: Position
    ) -> None:
        """Apply a listing; keys that it lacks have been removed.

        A listing of a later era than the known one may be of an older copy. A
        record that was known before does not replace what came after it.
        """
        listed = {record.key: record for record in records}
        known = self.next_position
        retained: dict[str, KeyedRecord] = {}
        if known is None:
            self.complete_from = next_position
        elif next_position.era > known.era:
            self.complete_from = next_position
            retained = self._newer_than_copy(listed, next_position)
        removed = [
            KeyedRecord(key, b'', next_position.offset - 1, next_position.era)
            for key, record in self.records.items()
            if record.value and key not in listed
        ]
        effective = {
            record.key: record for record in (*listed.values(), *removed)
        }
        self.update((effective | retained).values(), next_position)
        self.mark_retained(retained)

    def confirm(self, next_position: Position) -> None:
        """Record that the store has nothing later before ``next_position``."""
        known = self.next_position
        if known is None or next_position <= known:
            return
        if next_position.era > known.era:
            # Offsets of an earlier era say nothing about those of this one.
            self.records = {
                key: _as_of(next_position, record)
                for key, record in self.records.items()
            }
        self.next_position = next_position

    def mark_retained(self, keys: Iterable[str]) -> None:
        """Record that the store lost the values of some keys."""
        for key in keys:
            record = self.records.get(key)
            if record is not None:
                self.retained.add(key)
                self.changed_at[key] = record.position

    def update(
        self, records: Iterable[KeyedRecord], next_position: Position
    ) -> tuple[KeyedRecord, ...]:
        """Apply records in order; return those not older than the known."""
        applied = []
        for record in records:
            known = self.records.get(record.key)
            if known is None or record.position >= known.position:
                self._apply(record)
                applied.append(record)
            else:
                self.ignored_count += 1
        self.next_position = max(self.next_position or _START, next_position)
        self._drop_old_removals()
        return tuple(applied)

    def present(self) -> tuple[KeyedRecord, ...]:
        """Return the latest records, without removals."""
        return tuple(record for record in self.records.values() if record.value)

    def page(self, position: Position | None, now: float) -> TopicPage:
        """Return what a host lacks that has applied all before ``position``.

        Args:
            position: None if the host has nothing yet.
            now: the current time, as returned by ``boot_time``.
        """
        next_position = self.next_position or _START
        complete = (
            position is None
            or position < self.complete_from
            or position.era != next_position.era
        )
        first = _START if position is None or complete else position
        records = sorted(
            (
                record
                for key, record in self.records.items()
                if self.changed_at[key] >= first
                and (record.value or not complete)
            ),
            key=lambda record: record.position,
        )
        return TopicPage(
            complete,
            tuple(
                (record.key, record.value, record.offset) for record in records
            ),
            next_position.offset,
            max(now - self.confirmed_at, 0),
            max(now - self.recovered_at, 0),
            next_position.era,
            tuple(sorted(self.retained)),
        )

    def _newer_than_copy(
        self, listed: Mapping[str, KeyedRecord], next_position: Position
    ) -> dict[str, KeyedRecord]:
        """Return the known records that stay in effect after a loss.

        They count as of the listing, so hosts that know only the copy take
        them, and what is written later replaces them.
        """
        return {
            key: _as_of(next_position, known)
            for key, known in self.records.items()
            if self._is_lost(known, listed.get(key), next_position)
        }

    def _is_lost(
        self,
        known: KeyedRecord,
        listed: KeyedRecord | None,
        next_position: Position,
    ) -> bool:
        """Tell whether a listing of a new era has nothing later for a key."""
        if listed is not None:
            is_from_copy = _fingerprint(listed) in self.known_records[known.key]
            return is_from_copy and listed.value != known.value
        if not known.value or not self.keeps_lost:
            return False
        return (
            known.key in self.retained or known.offset >= next_position.offset
        )

    def _apply(self, record: KeyedRecord) -> None:
        self.records[record.key] = record
        self.retained.discard(record.key)
        self.known_records[record.key] = (
            *self.known_records.get(record.key, ())[1 - _HISTORY_LENGTH :],
            _fingerprint(record),
        )
        digest = self._digest_of(record)
        previous = self.digests.get(record.key, 0)
        if digest != previous or record.key not in self.changed_at:
            self.changed_at[record.key] = record.position
        self.digests[record.key] = digest
        self.digest ^= previous ^ digest

    def _drop_old_removals(self) -> None:
        removed = [key for key, digest in self.digests.items() if not digest]
        if len(removed) <= _MAX_REMOVAL_COUNT:
            return
        removed.sort(key=self.changed_at.__getitem__)
        for key in removed[: _MAX_REMOVAL_COUNT // 2]:
            changed_at = self.changed_at.pop(key)
            self.complete_from = max(
                self.complete_from,
                Position(changed_at.era, changed_at.offset + 1),
            )
            self.records.pop(key)
            self.known_records.pop(key)
            self.digests.pop(key)

    def _digest_of(self, record: KeyedRecord) -> int:
        if not record.value:
            return 0
        hashed = hashlib.blake2b(digest_size=_DIGEST_BYTES)
        hashed.update(record.key.encode())
        hashed.update(self.effect(record))
        # The sign bit is left out, so that the digest fits all integer types.
        return int.from_bytes(hashed.digest()) >> 1


def _as_of(position: Position, record: KeyedRecord) -> KeyedRecord:
    return KeyedRecord(record.key, record.value, position.offset, position.era)


def _fingerprint(record: KeyedRecord) -> int:
    """Identify a record by its offset and value, in any era."""
    return hash((record.offset, record.value))
