"""Concurrency limit of a rank group that keeps its gaps within the objective.

All ranks execute each pass together, and each stream gets one event per pass.
The time of a pass is the sum of a fixed part, the time to read prompts, and a
cost per request in the group. The cost depends on the load skew of the experts,
which can double at once, and on slow ranks, so it is measured.
"""

import math

from .configuration import Engine

__all__ = ('DEFAULT_PASS_SECONDS', 'PassTimeEstimator')

# Time per pass that is assumed until one is measured.
DEFAULT_PASS_SECONDS = 0.05
# Weight of a new measurement in the exponential moving averages.
_SMOOTHING_FACTOR = 0.1
# Age at which measurements of the pass time are discarded.
_MEASUREMENT_LIFETIME_SECONDS = 1.0
# A longer gap between events is a stall of the group, not a pass.
_MAX_PASS_SECONDS = 0.25
# Load skew of the experts that is assumed until passes are measured.
_INITIAL_SKEW_FACTOR = 2.5
# Passes of a group with a smaller share of its slots in use are not used to
# measure the cost per request, because they show little of it.
_MIN_USED_SLOT_SHARE = 0.3
# Time constant with which the peak cost per request decays. It is long because
# the popularity of experts jumps every few seconds.
_COST_DECAY_SECONDS = 60.0
# Time constant for the part of the peak cost above what the highest skew
# explains: it comes from a slow rank, which may recover at once.
_SLOW_RANK_DECAY_SECONDS = 1.0
# Streams of one host receive the events of a pass within this time, so an event
# that comes later is of another pass.
_PASS_SPREAD_SECONDS = 0.03
# Highest load skew that is attributed to the popularity of experts.
_MAX_SKEW_FACTOR = 3.3
# Share of the gap objective that the longest pass may take.
_MAX_PASS_SHARE = 0.87


class PassTimeEstimator:
    """Measures the time per pass of one group and its cost per request."""

    def __init__(self) -> None:
        """Start without measurements."""
        self.last_event_at = -math.inf
        self.mean_pass_time = DEFAULT_PASS_SECONDS
        self.mean_cost = 0.0
        self.peak_cost: float | None = None
        self.peak_cost_at = 0.0
        self.raised_at = -math.inf

    def observe(
        self,
        engine: Engine | None,
        ranks: int,
        used: int,
        gap: float,
        now: float,
    ) -> None:
        """Record the gap between two events of a stream.

        Args:
            engine: the model engine of each rank.
            ranks: number of ranks in the group.
            used: number of requests in progress in the group.
            gap: time since the previous event, in seconds; 0 for the first.
            now: monotonic seconds.
        """
        self.last_event_at = now
        if not gap or gap > _MAX_PASS_SECONDS:
            return
        self.mean_pass_time += _SMOOTHING_FACTOR * (gap - self.mean_pass_time)
        if engine is None or used < _MIN_USED_SLOT_SHARE * engine.slots * ranks:
            return
        cost = max(gap - _fixed_time(engine), 0) / used
        self.mean_cost += _SMOOTHING_FACTOR * (cost - self.mean_cost)
        explained = _cost_per_request(engine, ranks, _MAX_SKEW_FACTOR)
        peak = self._decayed_peak_cost(engine, ranks, now)
        if cost <= explained and now - self.raised_at > _PASS_SPREAD_SECONDS:
            # A single long pass was held for a change of placement, or its
            # slow rank has recovered.
            peak = min(peak, explained)
        if cost > peak:
            self.raised_at = now
        self.peak_cost = max(cost, peak)
        self.peak_cost_at = now

    def adopt(self, cost: float, now: float) -> None:
        """Use the peak cost that another host measured, if there is none here.

        Args:
            cost: time that a request adds to a pass, in seconds.
            now: monotonic seconds.
        """
        if self.peak_cost is None:
            self.peak_cost = cost
            self.peak_cost_at = now

    def pass_time(self, now: float) -> float:
        """Return the mean time per pass, in seconds."""
        if now - self.last_event_at > _MEASUREMENT_LIFETIME_SECONDS:
            return DEFAULT_PASS_SECONDS
        return self.mean_pass_time

    def skew(self, engine: Engine, ranks: int) -> float:
        """Return the load skew of the experts implied by the mean cost."""
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
        """Return the maximum number of requests in the group.

        Args:
            engine: the model engine of each rank.
            ranks: number of ranks in the group.
            longest_gap: longest gap that meets the objective, in seconds.
            now: monotonic seconds.
        """
        slots = max(engine.slots, 1) * ranks
        time_budget = _MAX_PASS_SHARE * longest_gap - _fixed_time(engine)
        cost = self._decayed_peak_cost(engine, ranks, now)
        return min(slots, time_budget / cost) if cost > 0 else slots

    def _decayed_peak_cost(
        self, engine: Engine, ranks: int, now: float
    ) -> float:
        """Return the peak cost per request after decay, in seconds."""
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
    """Return the time that a request adds to a pass at a skew, in seconds."""
    share = 1 - engine.expert_share + engine.expert_share * skew
    return engine.steps_per_pass * engine.sequence_time * share / ranks


def _fixed_time(engine: Engine) -> float:
    """Return the time of a pass that generates nothing and reads a prompt."""
    return engine.step_time * engine.steps_per_pass + engine.prompt_time
