"""Concurrency limit of a rank group."""

import math

import pytest

from primroseyoke.gateway.capacity import PassTimeEstimator
from tests.standins.simulated_engines import ENGINE

RANKS = 8
MAX_GAP_SECONDS = 0.12


def make_estimator(used: int, gap: float, now: float = 1) -> PassTimeEstimator:
    estimator = PassTimeEstimator()
    estimator.observe(ENGINE, RANKS, used, gap, now)
    return estimator


def max_requests(estimator: PassTimeEstimator, now: float = 1) -> float:
    return estimator.max_requests(ENGINE, RANKS, MAX_GAP_SECONDS, now)


def test_short_passes_allow_all_slots() -> None:
    estimator = make_estimator(used=40, gap=0.06, now=1)
    estimator.observe(ENGINE, RANKS, 40, 0.06, now=100)
    assert max_requests(estimator, now=100) == ENGINE.slots * RANKS


@pytest.mark.parametrize('used', [20, 30, 40])
@pytest.mark.parametrize('gap', [0.09, 0.11, 0.14, 0.2])
def test_the_limit_keeps_the_longest_pass_on_time(
    used: int,
    gap: float,
) -> None:
    """Assumes that each request adds the same time, as users specify it."""
    max_request_count = max_requests(make_estimator(used, gap))
    fixed_time = ENGINE.step_time * ENGINE.steps_per_pass + ENGINE.prompt_time
    expected_pass = fixed_time + (gap - fixed_time) / used * max_request_count
    assert expected_pass <= MAX_GAP_SECONDS


def test_limit_stays_low_between_jumps_of_expert_popularity() -> None:
    """Guards against a limit that rises before the next jump of popularity.

    The popularity of experts jumps every few seconds and can double the cost of
    a request, so a limit that rose meanwhile would be too high at once.
    """
    estimator = make_estimator(used=40, gap=0.13)
    before = max_requests(estimator)
    for tick in range(40):
        estimator.observe(ENGINE, RANKS, 40, 0.06, 1 + tick / 10)
    assert max_requests(estimator, now=5) < before * 1.1


def test_limit_recovers_soon_after_a_slow_rank() -> None:
    """Guards against a group that stays unused after its slow rank recovers."""
    estimator = make_estimator(used=20, gap=0.2)
    assert max_requests(estimator) < 12
    estimator.observe(ENGINE, RANKS, 20, 0.06, 1.1)
    assert max_requests(estimator, now=5) > 25


def test_a_single_long_pass_does_not_close_the_group() -> None:
    """Guards against refusals after a pass that was held for 0.2 s.

    All hosts then admitted a third of the requests for a second or two.
    """
    estimator = make_estimator(used=40, gap=0.1)
    before = max_requests(estimator)
    estimator.observe(ENGINE, RANKS, 40, 0.24, now=1.2)
    assert max_requests(estimator, now=1.2) < before / 2
    # Another stream receives the event of the held pass a little later.
    estimator.observe(ENGINE, RANKS, 40, 0.06, now=1.21)
    assert max_requests(estimator, now=1.21) < before / 2
    estimator.observe(ENGINE, RANKS, 40, 0.1, now=1.3)
    assert max_requests(estimator, now=1.3) > 0.75 * before


def test_host_without_measurements_uses_the_cost_of_another_one() -> None:
    """Guards against a restarted host that fills slots beyond the limit."""
    measured = make_estimator(used=40, gap=0.13)
    restarted = PassTimeEstimator()
    assert measured.peak_cost is not None
    restarted.adopt(measured.peak_cost, now=1)
    assert max_requests(restarted) == max_requests(measured)
    restarted.adopt(0, now=1)
    assert max_requests(restarted) == max_requests(measured)


def test_passes_of_nearly_idle_groups_do_not_change_the_limit() -> None:
    estimator = make_estimator(used=2, gap=0.1)
    assert max_requests(estimator) == max_requests(PassTimeEstimator())


def test_stall_is_not_measured_as_a_pass() -> None:
    estimator = make_estimator(used=40, gap=1.5)
    assert max_requests(estimator) == max_requests(PassTimeEstimator())


def test_pass_time_is_measured_and_expires() -> None:
    estimator = PassTimeEstimator()
    usual = estimator.pass_time(now=1)
    for _ in range(100):
        estimator.observe(ENGINE, RANKS, 8, 0.1, now=1)
    assert math.isclose(estimator.pass_time(now=1.5), 0.1, rel_tol=0.01)
    assert estimator.pass_time(now=9) == usual
