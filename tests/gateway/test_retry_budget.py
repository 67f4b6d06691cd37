"""Retry budget, split among hosts."""

from hypothesis import given
from hypothesis import strategies as st

from primroseyoke.gateway.retry_budget import RetryBudget

WINDOW = 10.0


@given(
    st.lists(
        st.tuples(st.booleans(), st.floats(0, 2)),
        max_size=300,
    ),
    st.integers(1, 12),
)
def test_retries_in_any_window_stay_within_the_share_of_a_host(
    steps: list[tuple[bool, float]],
    hosts: int,
) -> None:
    budget = RetryBudget(0.2, 90, WINDOW)
    budget.host_count = hosts
    now = 0.0
    requests: list[float] = []
    retries: list[float] = []
    for is_request, pause in steps:
        now += pause
        if is_request:
            budget.record_request('app', now)
            requests.append(now)
        elif budget.try_spend('app', now):
            retries.append(now)
    for end in retries:
        sent = sum(end - WINDOW < at <= end for at in retries)
        # A window can start just after the requests that its budget stems from.
        earned = sum(end - 2 * WINDOW <= at <= end for at in requests)
        assert sent <= 0.2 * earned + 90 / hosts


def test_services_have_separate_budgets() -> None:
    budget = RetryBudget(0, 2, WINDOW)
    budget.host_count = 1
    assert budget.try_spend('app', 1)
    assert not budget.try_spend('app', 1)
    assert budget.try_spend('model', 1)


def test_host_that_does_not_know_the_others_spends_no_slack() -> None:
    """Guards against hosts that each spend half of the slack as they start."""
    budget = RetryBudget(ratio=0.2, slack=92, window=10)
    assert not budget.try_spend('app', now=0)
    for _ in range(5):
        budget.record_request('app', now=0)
    assert budget.try_spend('app', now=0)
    assert not budget.try_spend('app', now=0)
