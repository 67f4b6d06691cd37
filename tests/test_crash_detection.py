"""Trials of refused requests by agents."""

import time

import pytest

from primroseyoke.crash_detection import (
    BrokenAttempt,
    CrashDetector,
    LoadPolled,
)
from primroseyoke.suspects import Classification

STYLE, BAD = 1, 2


@pytest.fixture
def clock(monkeypatch):
    """Monotonic time that tests advance."""
    current = [1000.0]
    monkeypatch.setattr(time, 'monotonic', lambda: current[0])
    return current


def agent(name='draft-1'):
    detector = CrashDetector(name, lambda: None)
    detector.suspects.record_crash('a', [frozenset({BAD})], 1000)
    detector.suspects.record_crash('b', [frozenset({BAD})], 1000)
    return detector


def test_refused_request_is_tried_again_alone(clock):
    """Guards against a part that stays refused after its fault was mended."""
    detector = agent()
    traits = frozenset({BAD, 9})
    assert detector.admit(traits) is Classification.REFUSED
    clock[0] += 29
    assert detector.admit(traits) is Classification.REFUSED
    clock[0] += 31
    assert detector.admit(traits) is Classification.SUSPECT
    assert detector.admit(traits) is Classification.REFUSED
    detector.clear(traits)
    assert detector.admit(traits) is Classification.CLEAR


def test_agents_do_not_try_at_the_same_time():
    """Guards against a trial that crashes all upstreams at once."""
    spreads = {agent(f'draft-{number}').trial_spread for number in range(16)}
    assert len(spreads) == 16
    assert all(0 <= spread < 1 for spread in spreads)


def test_popular_part_is_soon_tried_again(clock):
    """Guards against callers who block those whose parts they share."""
    detector = CrashDetector('draft-1', lambda: None)
    detector.clear(frozenset({STYLE, 9}))
    for name in ('a', 'b'):
        detector.suspects.record_crash(name, [frozenset({STYLE})], 1000)
    traits = frozenset({STYLE, 10})
    assert detector.admit(traits) is Classification.REFUSED
    clock[0] += 2
    assert detector.admit(traits) is Classification.SUSPECT


def test_crashes_of_different_starts_are_told_apart(clock):
    """Guards against requests that are blamed for crashes before they ran."""
    detector = CrashDetector('draft-1', lambda: None)
    for restart_count in (0, 1):
        now = time.monotonic()
        traits = frozenset({BAD, 10 + restart_count})
        detector.defer(
            BrokenAttempt(
                traits, True, restart_count, lambda crashed: None, now
            )
        )
        detector.resolve(LoadPolled(None, now), restart_count)
    assert [set(crash) for crash in detector.suspects.crashes.values()] == [
        {frozenset({BAD, 10})},
        {frozenset({BAD, 11})},
    ]
