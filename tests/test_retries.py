"""Tests of the retry budget."""

import time

import freezegun

from primroseyoke.retries import RetryBudget


def test_budget_bounds_retries():
    """Guards against retry storms and a budget shared between clients."""
    budget = RetryBudget(rate=1, burst=10, retry_ratio=0.2)
    with freezegun.freeze_time('2026-01-01') as clock:
        spent = [budget.spend('a', time.monotonic()) for _ in range(20)]
        assert spent == [True] * 10 + [False] * 10
        assert budget.spend('b', time.monotonic())
        clock.tick(3)
        assert [budget.spend('a', time.monotonic()) for _ in range(4)] == [
            True,
            True,
            True,
            False,
        ]


def test_requests_earn_retries():
    """Guards against a large client without retries when a zone fails."""
    budget = RetryBudget(rate=0, burst=10, retry_ratio=0.2)
    for _ in range(200):
        budget.earn('large', 0)
    assert sum(budget.spend('large', 0) for _ in range(100)) == 50
