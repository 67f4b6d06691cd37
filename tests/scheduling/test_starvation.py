"""Least share of each priority over the last 10 s."""

from primroseyoke.scheduling.starvation import GrantHistory


def record(history, priority, granted, refused, now):
    for _ in range(granted):
        history.record(priority, True, now)
    for _ in range(refused):
        history.record(priority, False, now)


def test_a_priority_is_starved_below_its_share():
    """Guards against a kind of requests that gets nothing for seconds."""
    history = GrantHistory()
    record(history, 0, 80, 0, 1)
    record(history, 2, 3, 17, 1)
    # 0.15 of them were granted; all requests have 0.83, and 0.3 of it is 0.25.
    assert history.is_starved(2, 2)
    assert not history.is_starved(0, 2)
    record(history, 2, 5, 0, 2)
    assert not history.is_starved(2, 2)


def test_decisions_expire():
    """Guards against a share that is kept after a burst, and state that grows."""
    history = GrantHistory()
    record(history, 0, 80, 0, 1)
    record(history, 2, 0, 20, 1)
    assert history.is_starved(2, 10.5)
    assert not history.is_starved(2, 11.5)
    assert not history.decisions
    assert not history.tallies


def test_few_decisions_are_chance():
    """Guards against one refusal that makes a priority the most urgent."""
    history = GrantHistory()
    record(history, 0, 80, 0, 1)
    record(history, 2, 0, 2, 1)
    assert not history.is_starved(2, 2)
