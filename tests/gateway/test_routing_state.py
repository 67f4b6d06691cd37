"""Which of two configurations stays in force."""

import dataclasses

import pytest

from primroseyoke.gateway.configuration import CallerLimits, Configuration
from primroseyoke.gateway.routing_state import RoutingState

# (version, fingerprint, era) of each configuration that arrives, and the
# version and fingerprint that are in force after each.
HISTORIES = {
    'versions rise within an era': [
        ((7, 1, 0), (7, 1)),
        ((5, 2, 0), (7, 1)),
        ((7, 3, 0), (7, 1)),
        ((9, 4, 0), (9, 4)),
    ],
    'the copy does not restore an older version': [
        ((7, 1, 1), (7, 1)),
        ((15, 2, 1), (15, 2)),
        ((7, 1, 2), (15, 2)),
        ((17, 3, 2), (17, 3)),
    ],
    'a lower version that was never in force is taken': [
        ((7, 1, 1), (7, 1)),
        ((15, 2, 1), (15, 2)),
        ((12, 3, 2), (12, 3)),
    ],
    'a lost version is published with another content': [
        ((15, 1, 1), (15, 1)),
        ((15, 2, 2), (15, 2)),
        ((15, 1, 2), (15, 2)),
    ],
    'a lost version is published again, then versions rise': [
        ((15, 1, 1), (15, 1)),
        ((15, 1, 2), (15, 1)),
        ((13, 2, 2), (15, 1)),
        ((16, 3, 2), (16, 3)),
    ],
}


@pytest.mark.parametrize('history', HISTORIES.values(), ids=HISTORIES)
def test_a_configuration_never_goes_back_to_an_older_one(history) -> None:
    state = RoutingState()
    empty = Configuration(0, (), {}, (), CallerLimits())
    applied = None
    for (version, fingerprint, era), expected in history:
        arrived = dataclasses.replace(empty, version=version)
        if state.apply_configuration(arrived, fingerprint, era):
            applied = (version, fingerprint)
        assert applied == expected
