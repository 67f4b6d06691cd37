"""How long an upstream may be silent before another one is tried, too."""

import math

from .configuration import Execution, Route

__all__ = ('silence_limit',)

# A resumable stream without a complete event for this share of the time after
# which its caller abandons it may continue at another upstream.
_SILENCE_SHARE = 0.65
# Callers abandon a stream after a gap of this time, or of these multiples of
# the objectives for the first event and for gaps, whichever is longest.
_MIN_PATIENCE_SECONDS = 2.0
_OBJECTIVE_PATIENCE_FACTOR = 4
_GAP_PATIENCE_FACTOR = 8


def silence_limit(route: Route) -> float | None:
    """Return the time after which a stream continues elsewhere, in seconds.

    None for a route whose requests must not be sent to another upstream.
    """
    if route.execution is not Execution.STREAM or not route.retryable:
        return None
    patience = max(
        _MIN_PATIENCE_SECONDS,
        _OBJECTIVE_PATIENCE_FACTOR * route.objective,
        _GAP_PATIENCE_FACTOR * _finite(route.gap_objective),
    )
    return _SILENCE_SHARE * patience


def _finite(seconds: float) -> float:
    return seconds if math.isfinite(seconds) else 0
