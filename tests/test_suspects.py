"""Tests of crash evidence: its classification and convergence of peers."""

import pytest
from hypothesis import given, strategies as st

from primroseyoke.evidence import (
    Crash,
    Evidence,
    UNKNOWN_REQUEST,
    start_key,
)
from primroseyoke.suspects import (
    Classification,
    EVIDENCE_LIFETIME_SECONDS,
    SuspectTable,
)

# Candidates for the cause of a crash: the request with the trait 7 alone, or
# beside one without it.
SHARED = (frozenset({7}), frozenset({8}))
ALONE = (frozenset({7}),)
CRASH_A_SHARED = ('a', SHARED)
CRASH_A_ALONE = ('a', ALONE)
CRASH_B_ALONE = ('b', ALONE)
CRASH_B_SHARED = ('b', SHARED)
CRASH_C_SHARED = ('c', SHARED)
CRASH_A_UNKNOWN = ('a', (frozenset({7}), UNKNOWN_REQUEST))
CLEAR = ('', (frozenset({7, 8}),))

CRASH_A_AGAIN = (start_key('a', 1), ALONE)
REQUESTS = st.frozensets(st.integers(1, 3), max_size=3)
EVENTS = st.tuples(
    st.tuples(
        st.sampled_from(['a', 'b', 'c', '']),
        st.lists(REQUESTS, min_size=1, max_size=3),
    ),
    st.integers(0, 3),
    st.floats(0.1, 400),
)


def apply_event(table, event, now):
    upstream, requests = event
    if upstream:
        return table.record_crash(upstream, requests, now)
    return table.clear(requests[0], now)


@pytest.mark.parametrize(
    ('events', 'classification'),
    [
        ([], Classification.CLEAR),
        ([CRASH_A_ALONE], Classification.SUSPECT),
        ([CRASH_A_ALONE, CRASH_A_ALONE], Classification.SUSPECT),
        ([CRASH_A_ALONE, CRASH_A_AGAIN], Classification.SUSPECT),
        ([CRASH_A_SHARED, CRASH_B_SHARED], Classification.SUSPECT),
        ([CRASH_A_UNKNOWN, CRASH_B_SHARED], Classification.SUSPECT),
        (
            [CRASH_A_SHARED, CRASH_B_SHARED, CRASH_C_SHARED],
            Classification.REFUSED,
        ),
        ([CRASH_A_SHARED, CRASH_B_ALONE], Classification.REFUSED),
        ([CRASH_A_ALONE, CRASH_B_SHARED], Classification.REFUSED),
        ([CRASH_A_SHARED, CLEAR, CRASH_B_ALONE], Classification.SUSPECT),
        ([CRASH_A_SHARED, CRASH_B_ALONE, CLEAR], Classification.CLEAR),
    ],
)
def test_classification_by_evidence(events, classification):
    """Guards against refusal without proof, and crashing requests that run."""
    table = SuspectTable()
    for now, event in enumerate(events):
        apply_event(table, event, now)
    # The other request is not at hand as an explanation.
    traits = frozenset({7, 8})
    assert table.classify(traits, 10) is classification
    assert (
        table.classify(traits, 10 + EVIDENCE_LIFETIME_SECONDS)
        is Classification.CLEAR
    )


def test_old_evidence_does_not_outlive_a_clearance():
    """Guards against stale evidence of a peer that was partitioned.

    It must not restore what a completed request has cleared.
    """
    table = SuspectTable()
    apply_event(table, CRASH_A_ALONE, 0)
    stale = table.snapshot(0)
    apply_event(table, CLEAR, 5)
    assert not table.merge(stale, 5 - 1)
    assert table.classify(frozenset({7}), 6) is Classification.CLEAR


@given(st.lists(EVENTS, max_size=12))
def test_peers_agree(events):
    """Guards against evidence that is broadcast forever or not at all.

    Four processes form a ring, each with its own clock; a fifth joins last.
    """
    tables = [SuspectTable() for _ in range(4)]
    clock = 0.0
    for event, index, elapsed in events:
        clock += elapsed
        evidence = apply_event(tables[index], event, clock + index)
        messages = [(index, evidence)]
        for _ in range(9):
            messages = [
                (neighbour, tables[neighbour].merge(changed, clock + neighbour))
                for sender, changed in messages
                if changed
                for neighbour in ((sender + 1) % 4, (sender - 1) % 4)
            ]
        assert not messages
    joined = SuspectTable()
    # The clock of the fifth process is four seconds ahead.
    joined.merge(tables[0].snapshot(clock), clock + 4)
    for traits in ({1}, {2}, {1, 2}, {1, 2, 3}):
        classifications = {
            table.classify(frozenset(traits), clock + index)
            for index, table in enumerate([*tables, joined])
        }
        assert len(classifications) == 1


def test_table_is_bounded():
    """Guards against memory that grows with the number of crashes."""
    table = SuspectTable(max_requests=10)
    for number in range(30):
        table.record_crash(f'u-{number}', [frozenset({number})], now=number)
    assert set(table.blame) == set(range(20, 30))


def test_eviction_keeps_the_strongest_evidence():
    """Guards against crashes that push out what shows the cause of others."""
    table = SuspectTable(max_requests=10)
    for name in ('a', 'b'):
        table.record_crash(name, [frozenset({7})], now=0)
    for number in range(30):
        table.record_crash(f'u-{number}', [frozenset({100 + number})], now=1)
    assert table.classify(frozenset({7}), 2) is Classification.REFUSED


STYLE, BAD, SHEET, OTHER = 1, 2, 3, 4


def crash_of_both_groups(table, *others):
    """Record crashes by requests with the bad part, beside ``others``."""
    for upstream in ('a', 'b'):
        table.record_crash(upstream, [frozenset({STYLE, BAD}), *others], 0)


def test_sound_requests_share_parts_with_crashing_ones():
    """Guards against refusal of all requests that begin like crashing ones."""
    table = SuspectTable()
    crash_of_both_groups(table)
    refused = frozenset({STYLE, BAD, SHEET})
    assert table.classify(refused, 1) is Classification.REFUSED
    sound = frozenset({STYLE, SHEET})
    assert table.classify(sound, 1) is Classification.SUSPECT
    table.clear(sound, 2)
    assert table.classify(sound, 3) is Classification.CLEAR
    assert table.classify(refused, 3) is Classification.REFUSED


def test_cause_is_the_part_that_is_at_all_crashes():
    """Guards against crashing requests that vary their other parts.

    A popular part may be at each crash as well, until it is answered.
    """
    table = SuspectTable()
    for upstream, part in (('a', SHEET), ('b', OTHER), ('c', STYLE)):
        crashing = frozenset({part, BAD})
        table.record_crash(upstream, [crashing, frozenset({STYLE})], 0)
    table.clear(frozenset({STYLE}), 0.5)
    assert table.classify(frozenset({BAD, 9}), 1) is Classification.REFUSED
    for part in (SHEET, OTHER):
        sound = table.classify(frozenset({part, 9}), 1)
        assert sound is Classification.SUSPECT


def test_sound_requests_at_many_crashes_are_served_again():
    """Guards against a popular part that is blamed when many upstreams end.

    A whole zone ends while each of its upstreams begins to answer requests
    with this part. One answer elsewhere shows that it is not the cause.
    """
    table = SuspectTable()
    for number in range(8):
        requests = [frozenset({STYLE, 100 + number}), frozenset({STYLE})]
        table.record_crash(f'u-{number}', requests, 0)
    table.clear(frozenset({STYLE, 500}), 0.2)
    assert table.classify(frozenset({STYLE, 9}), 1) is Classification.CLEAR


def test_false_crash_is_refuted():
    """Guards against evidence of a host that was cut off itself.

    It saw all its connections break. The upstreams are known to live later on,
    and the same report that comes once more counts for nothing.
    """
    table = SuspectTable()
    crash_of_both_groups(table)
    stale = table.snapshot(1)
    for upstream in ('a', 'b'):
        table.refute(upstream, 2)
    traits = frozenset({STYLE, BAD})
    assert table.classify(traits, 3) is Classification.CLEAR
    assert not table.merge(stale, 2)
    # A crash after that counts.
    crash = Crash('a', ((STYLE, BAD),), 0)
    assert table.merge(Evidence((crash,)), 20)
    assert table.classify(traits, 20) is Classification.SUSPECT


def test_refused_request_is_tried_again_ever_more_rarely():
    """Guards against a trait that stays refused after its fault was mended."""
    table = SuspectTable()
    delays = []
    for number in range(4):
        crashed_at = 1000 + 10 * number
        table.record_crash(f'u-{number}', ALONE, crashed_at)
        delays.append(table.next_trial_at(frozenset({7, 9})) - crashed_at)
    assert delays == [-1000, 60, 120, 240]


def test_part_that_was_answered_before_is_soon_tried_again():
    """Guards against callers who put the parts of others in crashing prompts.

    All upstreams crash at once, so that no answer clears the popular part.
    """
    table = SuspectTable()
    table.record_answer({STYLE}, 990)
    for number in range(8):
        table.record_crash(
            f'u-{number}', [frozenset({STYLE, 50 + number})], 1000
        )
    sound = frozenset({STYLE, 9})
    assert table.classify(sound, 1000) is Classification.REFUSED
    assert table.next_trial_at(sound) == 1001
    for number in range(3):
        crashed_at = 1010 + 10 * number
        table.record_crash(f'v-{number}', [frozenset({STYLE})], crashed_at)
    assert table.next_trial_at(sound) == 1030 + 8


def test_memory_of_answers_is_bounded():
    """Guards against memory that grows with the parts of prompts."""
    table = SuspectTable()
    for number in range(10000):
        table.record_answer({number}, number)
    assert list(table.answered_at) == list(range(10000 - 4096, 10000))


def test_part_of_a_snapshot_has_the_strongest_evidence():
    """Guards against messages that grow with the crashes of a deployment."""
    table = SuspectTable()
    crash_of_both_groups(table)
    for number in range(50):
        table.record_crash(f'u-{number}', [frozenset({100 + number})], 1)
    part = table.snapshot(2, max_requests=5)
    assert len(part.crashes) == 5
    assert {crash.upstream for crash in part.crashes} >= {'a', 'b'}
    joined = SuspectTable()
    joined.merge(part, 2)
    traits = frozenset({STYLE, BAD})
    assert joined.classify(traits, 2) is Classification.REFUSED


def test_evidence_that_is_cleared_already_leaves_nothing():
    """Guards against crashed upstreams without any request that may be it."""
    table = SuspectTable()
    table.record_crash('a', [frozenset({STYLE})], 0)
    table.clear(frozenset({STYLE}), 20)
    stale = Evidence((Crash('b', ((STYLE,),), 25),))
    assert not table.merge(stale, 30)
    assert 'b' not in table.crashes


def test_expired_evidence_is_dropped():
    """Guards against requests that are compared with old evidence forever."""
    table = SuspectTable()
    crash_of_both_groups(table)
    table.expire(EVIDENCE_LIFETIME_SECONDS - 1)
    assert table.blame
    table.expire(EVIDENCE_LIFETIME_SECONDS)
    assert (table.blame, table.crashes) == ({}, {})


@pytest.mark.parametrize('again', ['abc', 'bca', 'cab'])
def test_another_request_does_not_explain_crashes_that_it_was_not_at(again):
    """Guards against a cause that is excused where upstreams are few.

    The second request crashed all three upstreams, so its own trait was at as
    many of them as the common one, but not at the crashes of the first.
    """
    table = SuspectTable()
    common, first, second, third = range(1, 5)
    for now, upstream in enumerate('ab'):
        table.record_crash(upstream, [frozenset({common, first})], now * 5)
    for now, upstream in enumerate(again):
        table.record_crash(
            upstream, [frozenset({common, second})], 20 + now * 5
        )
    classified = table.classify(frozenset({common, third}), 40)
    assert classified is Classification.REFUSED


@pytest.mark.parametrize('seconds', [0.1, 2])
def test_requests_that_crash_upstreams_in_quick_succession_are_told_apart(
    seconds,
):
    """Guards against a common cause that each further request excuses.

    The upstreams are back at once. Crashes of the first request were taken for
    crashes of the second one, too, so their own parts excused the common one.
    """
    table = SuspectTable()
    common, now = 1, 100.0
    for own in (2, 3):
        for upstream in ('a', 'b'):
            key = start_key(upstream, own)
            table.record_crash(key, [frozenset({common, own})], now)
            now += seconds
    third = frozenset({common, 4})
    assert table.classify(third, now) is Classification.REFUSED
