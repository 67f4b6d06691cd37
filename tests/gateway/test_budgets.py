"""The shared budget of second sends."""

from hypothesis import given
from hypothesis import strategies as st

from primroseyoke.gateway.budgets import SendBudget

WINDOW = 10.0


@given(
    st.lists(
        st.tuples(st.booleans(), st.floats(0, 2)),
        max_size=300,
    ),
    st.integers(1, 12),
)
def test_no_window_has_more_than_the_share_of_a_host(
    steps: list[tuple[bool, float]],
    hosts: int,
) -> None:
    budget = SendBudget(0.2, 90, WINDOW)
    budget.hosts = hosts
    now = 0.0
    requests: list[float] = []
    repeats: list[float] = []
    for is_request, pause in steps:
        now += pause
        if is_request:
            budget.count('app', now)
            requests.append(now)
        elif budget.spend('app', now):
            repeats.append(now)
    for end in repeats:
        sent = sum(end - WINDOW < at <= end for at in repeats)
        # A window may begin just after the requests that earned its repeats.
        earned = sum(end - 2 * WINDOW <= at <= end for at in requests)
        assert sent <= 0.2 * earned + 90 / hosts


def test_services_have_budgets_of_their_own() -> None:
    budget = SendBudget(0, 2, WINDOW)
    assert budget.spend('app', 1)
    assert not budget.spend('app', 1)
    assert budget.spend('model', 1)
