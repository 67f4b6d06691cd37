"""Order of what a source of records has said."""

import dataclasses
import logging
import math

__all__ = ('EraTracker', 'Position')

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """Place of a record among all that its source has ever given out.

    A source that comes back from an older copy of itself has lost records and
    gives their offsets out again, in a higher era. Positions are ordered by
    era, then by offset, so the order never falls back.
    """

    era: int
    offset: int


class EraTracker:
    """Highest era that a source has named, to this host or to another one.

    Attributes:
        era: the highest era; 0 until the source has named one.
        risen_at: when that era became known, in seconds of the clock that
            ``learn`` is given.
    """

    def __init__(self, source: str) -> None:
        """Track the era of ``source``, whose name is used in log lines."""
        self.source = source
        self.era = 0
        self.risen_at = -math.inf

    def learn(self, era: int, now: float) -> bool:
        """Record an era that the source named; return whether it is new."""
        if era <= self.era:
            return False
        log.warning(
            'source names a new era; it may have lost records',
            extra={'source': self.source, 'era': era, 'previous': self.era},
        )
        self.era = era
        self.risen_at = now
        return True
