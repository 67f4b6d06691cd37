"""Replicas of a topic against a model that applies every record."""

import math

from hypothesis import given, strategies as st

from primroseyoke.gateway.topic_replica import TopicReplica
from primroseyoke.gateway.topics import KeyedRecord
from primroseyoke.positions import Position

KEYS = st.sampled_from('abc')
# Values of the same effect differ in their second byte.
VALUES = st.sampled_from([b'', b'x1', b'x2', b'y1'])
CHANGES = st.lists(st.tuples(KEYS, VALUES), max_size=12)


def at(offset, era=0):
    return Position(era, offset)


def make_replica() -> TopicReplica:
    return TopicReplica(lambda record: record.value[:1])


def records_of(changes, first_offset=0):
    return [
        KeyedRecord(key, value, first_offset + number)
        for number, (key, value) in enumerate(changes)
    ]


def effects(replica):
    return {
        key: record.value[:1]
        for key, record in replica.records.items()
        if record.value
    }


@given(CHANGES, CHANGES, st.booleans())
def test_a_page_brings_another_replica_up_to_date(before, after, listed):
    """Guards against removals and changes that a page leaves out."""
    ahead, behind = make_replica(), make_replica()
    for replica in (ahead, behind):
        replica.replace([], at(0))
        replica.update(records_of(before), at(len(before)))
    if not listed:
        behind = make_replica()
    end = len(before) + len(after)
    ahead.update(records_of(after, len(before)), at(end))
    page = ahead.page(behind.next_position, 0)
    if page.complete:
        behind.replace(page.keyed_records(), page.next_position)
    else:
        behind.update(page.keyed_records(), page.next_position)
    assert effects(behind) == effects(ahead)
    assert (behind.digest, behind.next_position) == (ahead.digest, at(end))


@given(CHANGES, CHANGES)
def test_digests_are_equal_if_and_only_if_the_effects_are(first, second):
    replicas = []
    for changes in (first, second):
        replica = make_replica()
        replica.replace([], at(0))
        replica.update(records_of(changes), at(len(changes)))
        replicas.append(replica)
    same_digest = replicas[0].digest == replicas[1].digest
    assert same_digest == (effects(replicas[0]) == effects(replicas[1]))


def test_a_host_from_before_the_first_listing_gets_all_records():
    """Guards against a host that keeps what was removed before a listing."""
    replica = make_replica()
    replica.replace([KeyedRecord('a', b'x', 5)], at(9))
    assert replica.page(at(7), 0).complete
    assert not replica.page(at(9), 0).complete
    replica.replace([], at(20))
    page = replica.page(at(9), 0)
    assert [record[:2] for record in page.records] == [('a', b'')]


def test_older_records_do_not_replace_newer_ones():
    replica = make_replica()
    replica.replace([KeyedRecord('a', b'y', 5)], at(9))
    replica.update([KeyedRecord('a', b'x', 4)], at(5))
    assert effects(replica) == {'a': b'y'}
    assert replica.next_position == at(9)


def test_records_of_the_same_effect_are_not_sent():
    replica = make_replica()
    replica.replace([KeyedRecord('a', b'x1', 5)], at(9))
    replica.update([KeyedRecord('a', b'x2', 10)], at(11))
    assert not replica.page(at(9), 0).records
    assert replica.page(None, 0).records == (('a', b'x2', 10),)


def test_removals_are_kept_for_a_bounded_number_of_keys():
    replica = make_replica()
    replica.replace([], at(0))
    for number in range(5000):
        replica.update(
            [
                KeyedRecord(str(number), b'x', 2 * number),
                KeyedRecord(str(number), b'', 2 * number + 1),
            ],
            at(2 * number + 2),
        )
    assert len(replica.records) <= 2048
    assert replica.page(at(0), 0).complete
    assert not replica.page(at(10000), 0).complete


def test_a_page_tells_its_age():
    replica = make_replica()
    replica.replace([], at(1))
    replica.confirmed_at = 10
    page = replica.page(None, 12.5)
    assert (page.age, page.recovery_age) == (2.5, math.inf)


def test_a_copy_listed_later_does_not_undo_what_was_confirmed():
    """Guards against records of two eras that are compared by their offsets.

    A host whose copy another one confirmed in a later era has not listed it.
    """
    replica = make_replica()
    replica.replace([KeyedRecord('a', b'y', 3)], at(4))
    replica.confirm(at(6, 1))
    replica.replace([KeyedRecord('a', b'x', 1, 1)], at(6, 1))
    assert effects(replica) == {'a': b'y'}
    replica.update([KeyedRecord('a', b'z', 6, 1)], at(7, 1))
    assert effects(replica) == {'a': b'z'}
