"""Simulates rank groups of model engines in virtual time.

A pass takes the time of the slowest rank for the work outside of the experts,
plus the time of the most loaded rank for the experts. The figures are those of
user deployments.
"""

import asyncio
import dataclasses

from primroseyoke.gateway.configuration import Engine

# The model engines of user deployments.
ENGINE = Engine(
    slots=6,
    memory_tokens=140000,
    step_time=0.00455,
    sequence_time=0.00181,
    steps_per_pass=4,
    prompt_time=0.0136,
    layers=6,
    experts=64,
    expert_share=0.85,
)
# Load skew of the experts after a placement change, and after popularity shifts
# until the placement has been changed accordingly.
BALANCED_SKEW_RANGE = (1.3, 1.9)
SHIFTED_SKEW_RANGE = (2.5, 3.2)
# Time that an engine takes for a first event in addition to its passes.
FIRST_EVENT_SECONDS = 0.06
PROMPT_CHUNK_TOKENS = 512


@dataclasses.dataclass(eq=False)
class Job:
    """A request at a rank.

    ``queue`` gets the number of remaining events with each event.
    """

    prompt_tokens: int
    remaining_events: int
    pending_prompt_tokens: int = 0
    queue: asyncio.Queue = dataclasses.field(default_factory=asyncio.Queue)
    is_cancelled: bool = False


class SimulatedRankGroup:
    """Ranks that run each pass together."""

    def __init__(
        self,
        engine: Engine,
        ranks: int,
        prefill_rate: float,
        generator,
    ):
        self.engine = engine
        self.generator = generator
        self.waiting = [[] for _ in range(ranks)]
        self.active = [[] for _ in range(ranks)]
        self.slowdowns = [1.0 for _ in range(ranks)]
        self.prefill_rate = prefill_rate
        self.skew = BALANCED_SKEW_RANGE[0]
        self.is_up = True
        self.work_available = asyncio.Event()

    def submit(self, rank: int, job: Job) -> None:
        job.pending_prompt_tokens = job.prompt_tokens
        self.waiting[rank].append(job)
        self.work_available.set()

    async def run(self) -> None:
        while True:
            while not self.is_up or not self._admit():
                self.work_available.clear()
                await self.work_available.wait()
            duration, generating = self._plan_pass()
            await asyncio.sleep(duration)
            for job in generating:
                job.remaining_events -= 1
                job.queue.put_nowait(job.remaining_events)

    async def shift_popularity(self, period: float, reaction: float) -> None:
        """Shift popularity every ``period`` seconds.

        Rebalancing reduces the skew ``reaction`` seconds later.
        """
        while True:
            self.skew = self.generator.uniform(*SHIFTED_SKEW_RANGE)
            await asyncio.sleep(reaction)
            self.skew = self.generator.uniform(*BALANCED_SKEW_RANGE)
            await asyncio.sleep(period - reaction)

    def _admit(self) -> bool:
        for waiting, active in zip(self.waiting, self.active):
            active[:] = [
                job
                for job in active
                if job.remaining_events and not job.is_cancelled
            ]
            waiting[:] = [job for job in waiting if not job.is_cancelled]
            while waiting and len(active) < self.engine.slots:
                active.append(waiting.pop(0))
        return any(self.active)

    def _plan_pass(self):
        """Return the duration of the next pass and the jobs that get events."""
        engine = self.engine
        generating = []
        rank_times = []
        expert_time = 0.0
        for active, slowdown in zip(self.active, self.slowdowns):
            generating_here = [
                job for job in active if not job.pending_prompt_tokens
            ]
            prefill_time = self._prefill(active)
            work = (
                engine.steps_per_pass
                * engine.sequence_time
                * len(generating_here)
                + prefill_time
            )
            fixed_time = engine.steps_per_pass * engine.step_time
            rank_times.append(
                slowdown * (fixed_time + (1 - engine.expert_share) * work),
            )
            expert_time += engine.expert_share * work
            generating += generating_here
        busiest_share = max(self.skew, *self.slowdowns) / len(rank_times)
        return max(rank_times) + expert_time * busiest_share, generating

    def _prefill(self, active) -> float:
        """Process prompts of one pass; return the time in seconds."""
        budget = PROMPT_CHUNK_TOKENS * self.engine.steps_per_pass
        for job in active:
            chunk = min(job.pending_prompt_tokens, budget)
            job.pending_prompt_tokens -= chunk
            budget -= chunk
        return (
            PROMPT_CHUNK_TOKENS * self.engine.steps_per_pass - budget
        ) / self.prefill_rate
