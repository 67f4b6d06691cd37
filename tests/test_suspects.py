"""Tests of crash evidence: its classification and convergence of peers."""

import pytest
from hypothesis import given, strategies as st

from primroseyoke.suspects import (
    EVIDENCE_LIFETIME_SECONDS,
    Classification,
    SuspectTable,
)

CRASH_A_SHARED = ('crash', 'a', False)
CRASH_A_ALONE = ('crash', 'a', True)
CRASH_B_ALONE = ('crash', 'b', True)
CRASH_B_SHARED = ('crash', 'b', False)
CLEAR = ('clear', '', False)

EVENTS = st.tuples(
    st.sampled_from(
        [CRASH_A_SHARED, CRASH_A_ALONE, CRASH_B_ALONE, CRASH_B_SHARED, CLEAR]
    ),
    st.integers(0, 3),
    st.integers(1, 2),
    st.floats(0.1, 400),
)


def apply_event(table, event, fingerprint, now):
    kind, upstream, alone = event
    if kind == 'clear':
        return table.clear(fingerprint, now)
    return table.record_crash(fingerprint, upstream, alone, now)


@pytest.mark.parametrize(
    ('events', 'classification'),
    [
        ([], Classification.CLEAR),
        ([CRASH_A_ALONE], Classification.SUSPECT),
        ([CRASH_A_ALONE, CRASH_A_ALONE], Classification.SUSPECT),
        ([CRASH_A_SHARED, CRASH_B_SHARED], Classification.SUSPECT),
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
        apply_event(table, event, 7, now)
    assert table.classify(7, 10) is classification
    assert (
        table.classify(7, 10 + EVIDENCE_LIFETIME_SECONDS)
        is Classification.CLEAR
    )


def test_old_evidence_does_not_outlive_a_clearance():
    """Guards against stale evidence of a peer that was partitioned.

    It must not restore what a completed request has cleared.
    """
    table = SuspectTable()
    apply_event(table, CRASH_A_SHARED, 7, 0)
    stale = table.snapshot(0)
    apply_event(table, CLEAR, 7, 5)
    assert not table.merge(stale, 5 - 1)
    assert table.classify(7, 6) is Classification.CLEAR


@given(st.lists(EVENTS, max_size=12))
def test_peers_agree(events):
    """Guards against evidence that is broadcast forever or not at all.

    Four processes form a ring, each with its own clock; a fifth joins last.
    """
    tables = [SuspectTable() for _ in range(4)]
    clock = 0.0
    for event, index, fingerprint, elapsed in events:
        clock += elapsed
        rows = apply_event(tables[index], event, fingerprint, clock + index)
        messages = [(index, rows)]
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
    for fingerprint in (1, 2):
        classifications = {
            table.classify(fingerprint, clock + index)
            for index, table in enumerate([*tables, joined])
        }
        assert len(classifications) == 1


def test_table_is_bounded():
    """Guards against memory that grows with the number of crashes."""
    table = SuspectTable(max_fingerprints=10)
    for fingerprint in range(30):
        table.record_crash(fingerprint, 'a', alone=False, now=0)
    assert sorted(table.evidence) == list(range(20, 30))
