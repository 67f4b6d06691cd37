"""Tests of the per-client concurrency limit."""

from hypothesis import given
from hypothesis import strategies as st

from primroseyoke.concurrency import ClientConcurrencyLimiter


def test_one_client_cannot_use_all_threads():
    """Guards against slow readers of one client that occupy all threads."""
    limiter = ClientConcurrencyLimiter(16)
    acquired = sum(limiter.acquire('large') for _ in range(40))
    assert acquired == 12
    assert [limiter.acquire('small') for _ in range(4)] == [True] * 4
    limiter.release('large')
    assert not limiter.acquire('large')


@given(st.lists(st.tuples(st.booleans(), st.sampled_from('abc'))))
def test_every_acquired_slot_is_released(steps):
    """Guards against slots that leak or are counted for refused requests."""
    limiter = ClientConcurrencyLimiter(8)
    acquired = []
    for acquires, client in steps:
        if acquires and limiter.acquire(client):
            acquired.append(client)
        elif not acquires and client in acquired:
            acquired.remove(client)
            limiter.release(client)
    assert limiter.in_progress.total() == len(acquired)
    for client in acquired:
        limiter.release(client)
    assert not limiter.in_progress
