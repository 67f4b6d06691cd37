"""Short seeded runs of the soak; ``python -m tests.soak`` plays more."""

import pytest

from tests import soak


@pytest.mark.parametrize('seed', [0, 1])
def test_streams_are_whole_around_planned_stops(seed, tmp_path) -> None:
    """Guards against streams that a gateway ends itself around its SIGTERM.

    Their upstreams are silent for up to 1.9 s meanwhile.
    """
    report = soak.play(seed, tmp_path)
    assert not report.broken
    assert report.restarts >= 2
    assert report.whole_streams >= 100
