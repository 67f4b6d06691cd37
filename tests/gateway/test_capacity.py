"""How many requests a group can have."""

import math

import pytest

from primroseyoke.gateway.capacity import PassMeter
from tests.standins.simulated_engines import ENGINE

RANKS = 8
GAP = 0.12


def measured(used: int, pause: float, now: float = 1) -> PassMeter:
    meter = PassMeter()
    meter.observe(ENGINE, RANKS, used, pause, now)
    return meter


def limit(meter: PassMeter, now: float = 1) -> float:
    return meter.limit(ENGINE, RANKS, GAP, now)


def test_short_passes_allow_all_slots() -> None:
    meter = measured(used=40, pause=0.06, now=1)
    meter.observe(ENGINE, RANKS, 40, 0.06, now=100)
    assert limit(meter, now=100) == ENGINE.slots * RANKS


@pytest.mark.parametrize('used', [20, 30, 40])
@pytest.mark.parametrize('pause', [0.09, 0.11, 0.14, 0.2])
def test_the_limit_keeps_the_longest_pass_on_time(
    used: int,
    pause: float,
) -> None:
    """Takes a pass to grow with each request, as the users' pages say."""
    found = limit(measured(used, pause))
    fixed = ENGINE.step * ENGINE.stride + ENGINE.prompt_time
    expected = fixed + (pause - fixed) / used * found
    assert expected <= GAP


def test_the_limit_holds_after_a_jump_of_popularity() -> None:
    """Guards against a limit that rises between two jumps of popularity."""
    meter = measured(used=40, pause=0.13)
    before = limit(meter)
    for tick in range(40):
        meter.observe(ENGINE, RANKS, 40, 0.06, 1 + tick / 10)
    assert limit(meter, now=5) < before * 1.1


def test_what_a_slow_rank_cost_is_forgotten_soon() -> None:
    """Guards against a group that stays empty after its slow rank is well."""
    meter = measured(used=20, pause=0.2)
    assert limit(meter) < 12
    meter.observe(ENGINE, RANKS, 20, 0.06, 1.1)
    assert limit(meter, now=5) > 25


def test_almost_idle_groups_tell_nothing_of_the_limit() -> None:
    meter = measured(used=2, pause=0.1)
    assert limit(meter) == limit(PassMeter())


def test_a_group_that_stood_still_has_made_no_long_pass() -> None:
    meter = measured(used=40, pause=1.5)
    assert limit(meter) == limit(PassMeter())


def test_the_pass_time_is_measured_and_forgotten() -> None:
    meter = PassMeter()
    usual = meter.pass_time(now=1)
    for _ in range(100):
        meter.observe(ENGINE, RANKS, 8, 0.1, now=1)
    assert math.isclose(meter.pass_time(now=1.5), 0.1, rel_tol=0.01)
    assert meter.pass_time(now=9) == usual
