"""Share of on-time responses under load, with simulated engines."""

from tests.standins.gateways import run_simulation


def test_all_answers_are_on_time_at_normal_load() -> None:
    """Guards against limits that delay requests while there is capacity.

    The load and the objectives match those in production.
    """
    tally = run_simulation(seed=1, rate=30, seconds=12)
    assert tally.on_time == tally.total


def test_most_answers_are_on_time_under_overload() -> None:
    """Guards against a queue that serves each request just too late."""
    tally = run_simulation(seed=1, rate=48, seconds=12)
    assert tally.on_time > tally.late
