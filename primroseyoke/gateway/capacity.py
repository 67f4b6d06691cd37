"""How many requests a rank group can have so that its pauses are on time.

All ranks run each pass together, and each stream gets one event a pass. A pass
takes a fixed time, time for the prompts that are read, and more with each
request in the group. How much more depends on the skew of the experts, which
can double at once, and on slow ranks, so it is measured.
"""

import math

from .configuration import Engine

__all__ = ('DEFAULT_PASS_SECONDS', 'PassTimeEstimator')

# A pass until it is measured, in seconds, and the weight of a measurement.
DEFAULT_PASS_SECONDS = 0.05
_SMOOTHING_FACTOR = 0.1
# A measurement of the pass tells nothing after this time, in seconds.
_MEASUREMENT_LIFETIME_SECONDS = 1.0
# A longer pause is no pass but a group that stands still, in seconds.
_MAX_PASS_SECONDS = 0.25
# The skew of experts that is assumed until passes are measured.
_INITIAL_SKEW_FACTOR = 2.5
# With a smaller share of its slots taken, a group's passes tell little of what
# a request adds.
_MIN_USED_SLOT_SHARE = 0.3
# The highest cost that was seen is forgotten with this time constant, in
# seconds: popularity jumps every few seconds. What no skew explains comes from
# a slow rank and may be over at once.
_COST_DECAY_SECONDS = 60.0
_SLOW_RANK_DECAY_SECONDS = 1.0
_MAX_SKEW_FACTOR = 3.3
# Share of the longest pause on time that the longest pass may take.
_MAX_PASS_SHARE = 0.87


class PassTimeEstimator:
    """Measures the passes of one group and what a request adds to them."""

    def __init__(self) -> None:
        """Start without measurements."""
        self.last_event_at = -math.inf
        self.mean_pass_time = DEFAULT_PASS_SECONDS
        self.mean_cost = 0.0
        self.peak_cost: float | None = None
        self.peak_cost_at = 0.0

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
        self.last_event_at = now
        if not pause or pause > _MAX_PASS_SECONDS:
            return
        self.mean_pass_time += _SMOOTHING_FACTOR * (pause - self.mean_pass_time)
        if engine is None or used < _MIN_USED_SLOT_SHARE * engine.slots * ranks:
            return
        cost = max(pause - _fixed_time(engine), 0) / used
        self.mean_cost += _SMOOTHING_FACTOR * (cost - self.mean_cost)
        self.peak_cost = max(cost, self._decayed_peak_cost(engine, ranks, now))
        self.peak_cost_at = now

    def pass_time(self, now: float) -> float:
        """Return how long a pass takes on average, in seconds."""
        if now - self.last_event_at > _MEASUREMENT_LIFETIME_SECONDS:
            return DEFAULT_PASS_SECONDS
        return self.mean_pass_time

    def skew(self, engine: Engine, ranks: int) -> float:
        """Return the skew of experts that would explain the passes."""
        unskewed_cost = engine.steps_per_pass * engine.sequence_time / ranks
        share = engine.expert_share
        if not unskewed_cost or not share:
            return 1
        return (self.mean_cost / unskewed_cost - 1 + share) / share

    def max_requests(
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
        time_budget = _MAX_PASS_SHARE * longest_gap - _fixed_time(engine)
        cost = self._decayed_peak_cost(engine, ranks, now)
        return min(slots, time_budget / cost) if cost > 0 else slots

    def _decayed_peak_cost(
        self, engine: Engine, ranks: int, now: float
    ) -> float:
        """Return what a request adds to a pass at most, in seconds."""
        if self.peak_cost is None:
            return _cost_per_request(engine, ranks, _INITIAL_SKEW_FACTOR)
        age = now - self.peak_cost_at
        explained = min(
            self.peak_cost, _cost_per_request(engine, ranks, _MAX_SKEW_FACTOR)
        )
        unexplained = self.peak_cost - explained
        return explained * math.exp(
            -age / _COST_DECAY_SECONDS
        ) + unexplained * math.exp(
            -age / _SLOW_RANK_DECAY_SECONDS,
        )


def _cost_per_request(engine: Engine, ranks: int, skew: float) -> float:
    """Return what a request adds to a pass with a skew, in seconds."""
    share = 1 - engine.expert_share + engine.expert_share * skew
    return engine.steps_per_pass * engine.sequence_time * share / ranks


def _fixed_time(engine: Engine) -> float:
    """Return how long a pass takes without writers, reading a prompt."""
    return engine.step_time * engine.steps_per_pass + engine.prompt_time
