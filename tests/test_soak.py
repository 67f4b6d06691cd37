"""Short seeded runs of the soak; ``python -m tests.soak`` plays more."""

import random

import pytest

from tests import soak
from tests.standins.cloud_api import ApiCall, FaultyApi


@pytest.mark.parametrize('seed', [0, 1])
def test_streams_are_whole_around_planned_stops(seed, tmp_path) -> None:
    """Guards against streams that a gateway ends itself around its SIGTERM.

    Their upstreams are silent for up to 1.9 s meanwhile, one client account
    sends a burst, and the gateways report usage and order upstreams.
    """
    report = soak.play(seed, tmp_path)
    assert not report.broken
    assert report.restarts >= 2
    assert report.whole_streams >= 100
    # Guards against a play without contention.
    assert report.refused


def usage(
    holder: str, fencing_number: int, count: int, accepted: bool = True
) -> ApiCall:
    content = {'windowId': 1, 'counts': {'workshop': count}}
    return ApiCall('/usage', holder, fencing_number, content, accepted)


@pytest.mark.parametrize(
    ('calls', 'expected'),
    [
        ([usage('a', 1, 5), usage('a', 1, 5), usage('b', 2, 5)], []),
        ([usage('a', 1, 5, accepted=False), usage('a', 1, 6)], []),
        ([usage('a', 1, 5), usage('b', 2, 6)], ['different counts']),
        ([usage('a', 1, 5), usage('b', 1, 5)], ['used by']),
        (
            [usage('a', 1, 5), usage('b', 2, 5), usage('a', 1, 5)],
            ['fencing number 1 after 2'],
        ),
    ],
)
def test_broken_promises_about_api_calls_are_found(calls, expected) -> None:
    """Guards against a soak that passes over wrong calls of the API."""
    api = FaultyApi(random.Random(0), 0)
    api.calls = calls
    violations = api.violations()
    assert len(violations) == len(expected)
    for text, part in zip(violations, expected, strict=True):
        assert part in text
