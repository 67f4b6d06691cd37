"""How many requests a rank group can have so that its pauses are on time.

All ranks run each pass together, and each stream gets one event a pass. A pass
takes a fixed time, time for the prompts that are read, and more with each
request in the group. How much more depends on the skew of the experts, which
can double at once, and on slow ranks, so it is measured.
"""

import math

from .catalogue import Engine

__all__ = ('USUAL_PASS', 'PassMeter')

# A pass until it is measured, in seconds, and the weight of a measurement.
USUAL_PASS = 0.05
_SMOOTHING = 0.1
# A measurement of the pass tells nothing after this time, in seconds.
_MEASURED = 1.0
# A longer pause is no pass but a group that stands still, in seconds.
_LONGEST_PASS = 0.25
# The skew of experts that is assumed until passes are measured.
_FIRST_SKEW = 2.5
# With a smaller share of its slots taken, a group's passes tell little of what
# a request adds.
_TELLING_SHARE = 0.3
# The highest cost that was seen is forgotten with this time constant, in
# seconds: popularity jumps every few seconds. What no skew explains comes from
# a slow rank and may be over at once.
_MEMORY = 60.0
_SHORT_MEMORY = 1.0
_HIGHEST_SKEW = 3.3
# Share of the longest pause on time that the longest pass may take.
_PASS_SHARE = 0.87


class PassMeter:
    """Measures the passes of one group and what a request adds to them."""

    def __init__(self) -> None:
        """Start without measurements."""
        self.moved_at = -math.inf
        self.smoothed = USUAL_PASS
        self.cost = 0.0
        self.highest_cost: float | None = None
        self.cost_at = 0.0

    def observe(
        self,
        engine: Engine | None,
        ranks: int,
        used: int,
        pause: float,
        now: float,
    ) -> None:
        """Take the pause between two events of a stream.

        Args:
            engine: the model engine of each rank.
            ranks: number of ranks in the group.
            used: requests in the group.
            pause: time since the event before, in seconds; 0 for the first.
            now: monotonic seconds.
        """
        self.moved_at = now
        if not pause or pause > _LONGEST_PASS:
            return
        self.smoothed += _SMOOTHING * (pause - self.smoothed)
        if engine is None or used < _TELLING_SHARE * engine.slots * ranks:
            return
        cost = max(pause - _fixed_time(engine), 0) / used
        self.cost += _SMOOTHING * (cost - self.cost)
        self.highest_cost = max(cost, self._remembered(engine, ranks, now))
        self.cost_at = now

    def pass_time(self, now: float) -> float:
        """Return how long a pass takes on average, in seconds."""
        if now - self.moved_at > _MEASURED:
            return USUAL_PASS
        return self.smoothed

    def skew(self, engine: Engine, ranks: int) -> float:
        """Return the skew of experts that would explain the passes."""
        usual = engine.stride * engine.per_sequence / ranks
        share = engine.expert_share
        if not usual or not share:
            return 1
        return (self.cost / usual - 1 + share) / share

    def limit(
        self,
        engine: Engine,
        ranks: int,
        longest_gap: float,
        now: float,
    ) -> float:
        """Return how many requests the group may have at most.

        Args:
            engine: the model engine of each rank.
            ranks: number of ranks in the group.
            longest_gap: the longest pause on time, in seconds.
            now: monotonic seconds.
        """
        slots = max(engine.slots, 1) * ranks
        room = _PASS_SHARE * longest_gap - _fixed_time(engine)
        cost = self._remembered(engine, ranks, now)
        return min(slots, room / cost) if cost > 0 else slots

    def _remembered(self, engine: Engine, ranks: int, now: float) -> float:
        """Return what a request adds to a pass at most, in seconds."""
        if self.highest_cost is None:
            return _cost(engine, ranks, _FIRST_SKEW)
        age = now - self.cost_at
        usual = min(self.highest_cost, _cost(engine, ranks, _HIGHEST_SKEW))
        excess = self.highest_cost - usual
        return usual * math.exp(-age / _MEMORY) + excess * math.exp(
            -age / _SHORT_MEMORY,
        )


def _cost(engine: Engine, ranks: int, skew: float) -> float:
    """Return what a request adds to a pass with a skew, in seconds."""
    share = 1 - engine.expert_share + engine.expert_share * skew
    return engine.stride * engine.per_sequence * share / ranks


def _fixed_time(engine: Engine) -> float:
    """Return how long a pass takes without writers, reading a prompt."""
    return engine.step * engine.stride + engine.prompt_time
