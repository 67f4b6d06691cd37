"""Score by which an upstream is selected."""

import random

from .capacity import DEFAULT_PASS_SECONDS

__all__ = ('selection_score',)

# Score bonus of an upstream in the gateway's own availability zone.
_LOCAL_ZONE_BONUS_REQUESTS = 0.25
# Random part of the score, so that hosts that see the same load do not all
# select the same upstream.
_SCORE_JITTER_REQUESTS = 0.4
# A group whose gaps between events exceed the objective is used only if no
# other group has a free slot.
_SLOW_GROUP_PENALTY_REQUESTS = 100


def selection_score(
    load: float,
    pass_time: float,
    slow: bool,
    is_local: bool,
    generator: random.Random,
) -> float:
    """Return the score of an upstream; the lowest is selected.

    It is the load with one more request, weighted with the time per pass.

    Args:
        load: load of the upstream, in requests.
        pass_time: time per pass of its group, in seconds.
        slow: whether its group exceeds the objective of the request.
        is_local: whether it is in the gateway's own availability zone.
        generator: source of the random part.
    """
    score = (load + 1) * pass_time / DEFAULT_PASS_SECONDS
    if slow:
        score += _SLOW_GROUP_PENALTY_REQUESTS
    if is_local:
        score -= _LOCAL_ZONE_BONUS_REQUESTS
    return score + generator.random() * _SCORE_JITTER_REQUESTS
