"""True time while the wall clock of a host steps and steps back."""

import pytest

from primroseyoke.gateway.wall_clock import WallClock


class Clocks:
    """A clock that counts from boot and a wall clock that can be set."""

    def __init__(self) -> None:
        self.boot = 50.0
        self.error = 0.0

    def wall_time(self) -> float:
        return 1_800_000_000 + self.boot + self.error

    def true_time(self) -> float:
        return 1_800_000_000 + self.boot


def run(clocks: Clocks, clock: WallClock, seconds: int) -> list[float]:
    """Return the errors of ``clock`` at each second."""
    errors = []
    for _ in range(seconds):
        clocks.boot += 1
        errors.append(clock.now() - clocks.true_time())
    return errors


@pytest.mark.parametrize('step', [-7.0, -0.4, 0.4, 3.0, 30.0])
def test_step_that_is_taken_back_is_ignored(step: float) -> None:
    """Guards against counts in the wrong window while a clock is wrong."""
    clocks = Clocks()
    clock = WallClock(clocks.wall_time, lambda: clocks.boot)
    clocks.error = step
    errors = run(clocks, clock, 40)
    clocks.error = 0
    errors += run(clocks, clock, 100)
    assert max(map(abs, errors)) < 0.001


def test_steps_there_and_back_again_and_again_are_ignored() -> None:
    """Guards against short steps that add up to a long one."""
    clocks = Clocks()
    clock = WallClock(clocks.wall_time, lambda: clocks.boot)
    errors = []
    for _ in range(20):
        clocks.error = 4.0
        errors += run(clocks, clock, 10)
        clocks.error = 0.0
        errors += run(clocks, clock, 2)
    assert max(map(abs, errors)) < 0.001


def test_step_that_lasts_is_followed(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a clock that stays wrong after it has been set right."""
    clocks = Clocks()
    clock = WallClock(clocks.wall_time, lambda: clocks.boot)
    clocks.error = 5.0
    assert run(clocks, clock, 120)[-1] == pytest.approx(5.0)
    assert [record.message for record in caplog.records] == [
        'wall clock differs from true time; not followed',
        'wall clock followed after a step',
    ]


def test_drift_is_followed() -> None:
    """Guards against a boot clock that runs 50 ppm fast, over 10 days."""
    clocks = Clocks()
    clock = WallClock(clocks.wall_time, lambda: clocks.boot)
    for _ in range(10 * 24):
        clocks.error -= 3600 * 50e-6 / 2
        run(clocks, clock, 1)
        clocks.error -= 3600 * 50e-6 / 2
        run(clocks, clock, 1)
    assert clock.now() == pytest.approx(clocks.wall_time(), abs=0.001)


def test_suspended_host_knows_the_time_at_once() -> None:
    """Guards against windows that move when a host was suspended."""
    clocks = Clocks()
    clock = WallClock(clocks.wall_time, lambda: clocks.boot)
    clocks.boot += 9
    assert clock.now() == pytest.approx(clocks.true_time())
