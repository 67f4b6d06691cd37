"""Crash evidence: what it proves, and that all peers come to agree on it."""

import pytest
from hypothesis import given, strategies as st

from primroseyoke.suspects import LIFETIME, Standing, SuspectTable

SHARED = ('crash', 'a', False)
ALONE = ('crash', 'a', True)
OTHER = ('crash', 'b', True)
OTHER_SHARED = ('crash', 'b', False)
CLEAR = ('clear', '', False)

EVENTS = st.tuples(
    st.sampled_from([SHARED, ALONE, OTHER, OTHER_SHARED, CLEAR]),
    st.integers(0, 3),
    st.integers(1, 2),
    st.floats(0.1, 400),
)


def happen(table, event, fingerprint, now):
    kind, upstream, alone = event
    if kind == 'clear':
        return table.clear(fingerprint, now)
    return table.record_crash(fingerprint, upstream, alone, now)


@pytest.mark.parametrize(
    ('events', 'standing'),
    [
        ([], Standing.CLEAR),
        ([ALONE], Standing.SUSPECT),
        ([ALONE, ALONE], Standing.SUSPECT),
        ([SHARED, OTHER_SHARED], Standing.SUSPECT),
        ([SHARED, OTHER], Standing.REFUSED),
        ([ALONE, OTHER_SHARED], Standing.REFUSED),
        ([SHARED, CLEAR, OTHER], Standing.SUSPECT),
        ([SHARED, OTHER, CLEAR], Standing.CLEAR),
    ],
)
def test_evidence_proves(events, standing):
    """Guards against a refusal without proof, and a cause that runs on."""
    table = SuspectTable()
    for now, event in enumerate(events):
        happen(table, event, 7, now)
    assert table.classify(7, 10) is standing
    assert table.classify(7, 10 + LIFETIME) is Standing.CLEAR


def test_old_evidence_does_not_outlive_a_clearance():
    """Guards against a peer that was cut off and brings back a suspect."""
    table = SuspectTable()
    happen(table, SHARED, 7, 0)
    stale = table.rows_at(0)
    happen(table, CLEAR, 7, 5)
    assert not table.merge(stale, 5 - 1)
    assert table.classify(7, 6) is Standing.CLEAR


@given(st.lists(EVENTS, max_size=12))
def test_peers_agree(events):
    """Guards against evidence that circles for ever or is not passed on.

    Four processes in a ring, each with its own clock; a new one joins last.
    """
    tables = [SuspectTable() for _ in range(4)]
    clock = 0.0
    for event, place, fingerprint, elapsed in events:
        clock += elapsed
        rows = happen(tables[place], event, fingerprint, clock + place)
        messages = [(place, rows)]
        for _ in range(9):
            messages = [
                (near, tables[near].merge(changed, clock + near))
                for sender, changed in messages
                if changed
                for near in ((sender + 1) % 4, (sender - 1) % 4)
            ]
        assert not messages
    joined = SuspectTable()
    # The fifth process has its own clock too, four seconds ahead.
    joined.merge(tables[0].rows_at(clock), clock + 4)
    for fingerprint in (1, 2):
        standings = {
            table.classify(fingerprint, clock + place)
            for place, table in enumerate([*tables, joined])
        }
        assert len(standings) == 1


def test_table_is_bounded():
    """Guards against memory that grows with crashes."""
    table = SuspectTable(max_rows=10)
    for fingerprint in range(30):
        table.record_crash(fingerprint, 'a', alone=False, now=0)
    assert sorted(table.rows) == list(range(20, 30))
