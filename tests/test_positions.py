"""Order of positions and the eras that a source names."""

from primroseyoke.positions import EraTracker, Position


def test_a_later_era_comes_after_any_offset_of_an_earlier_one() -> None:
    """Guards against an order that falls back with the offsets of a source."""
    assert Position(0, 900) < Position(1, 0) < Position(1, 1) < Position(2, 0)


def test_the_highest_era_is_kept() -> None:
    eras = EraTracker('store')
    assert eras.learn(3, 1.0)
    assert not eras.learn(3, 1.0)
    assert not eras.learn(2, 3.0)
    assert (eras.era, eras.risen_at) == (3, 1.0)
