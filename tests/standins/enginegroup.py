"""A stand-in for rank groups of model engines, in virtual time.

A pass lasts as long as the slowest rank's own part and, for the experts, the
part of the most loaded rank; the figures are those of the users' deployments.
"""

import asyncio
import dataclasses

from primroseyoke.gateway.catalogue import Engine

# The users' model engines, as they are played.
ENGINE = Engine(
    slots=6,
    memory_tokens=140000,
    step=0.00455,
    per_sequence=0.00181,
    stride=4,
    prompt_time=0.0136,
    layers=6,
    experts=64,
    expert_share=0.85,
)
# Experts are almost level after a change of the map, and far from it after a
# jump of popularity until the map has followed.
LEVEL_SKEW = (1.3, 1.9)
JUMPED_SKEW = (2.5, 3.2)
# An engine takes this long for a first event beside its passes, in seconds.
FIRST_EVENT = 0.06
CHUNK = 512


@dataclasses.dataclass(eq=False)
class Job:
    """A request at a rank."""

    prompt: int
    events: int
    unread: int = 0
    queue: asyncio.Queue = dataclasses.field(default_factory=asyncio.Queue)
    left: bool = False


class EngineGroup:
    """Ranks that run their passes together."""

    def __init__(self, engine: Engine, ranks: int, read_rate: float, generator):
        self.engine = engine
        self.generator = generator
        self.waiting = [[] for _ in range(ranks)]
        self.active = [[] for _ in range(ranks)]
        self.paces = [1.0 for _ in range(ranks)]
        self.read_rate = read_rate
        self.skew = LEVEL_SKEW[0]
        self.up = True
        self.work = asyncio.Event()

    def submit(self, rank: int, job: Job) -> None:
        job.unread = job.prompt
        self.waiting[rank].append(job)
        self.work.set()

    async def run(self) -> None:
        while True:
            while not self.up or not self._admit():
                self.work.clear()
                await self.work.wait()
            duration, writing = self._plan()
            await asyncio.sleep(duration)
            for job in writing:
                job.events -= 1
                job.queue.put_nowait(job.events)

    async def follow_popularity(self, period: float, reaction: float) -> None:
        """Let popularity jump each ``period`` seconds."""
        while True:
            self.skew = self.generator.uniform(*JUMPED_SKEW)
            await asyncio.sleep(reaction)
            self.skew = self.generator.uniform(*LEVEL_SKEW)
            await asyncio.sleep(period - reaction)

    def _admit(self) -> bool:
        for waiting, active in zip(self.waiting, self.active):
            active[:] = [job for job in active if job.events and not job.left]
            waiting[:] = [job for job in waiting if not job.left]
            while waiting and len(active) < self.engine.slots:
                active.append(waiting.pop(0))
        return any(self.active)

    def _plan(self):
        """Return how long the next pass takes, and whose events it makes."""
        engine = self.engine
        writing = []
        own = []
        shared = 0.0
        for active, pace in zip(self.active, self.paces):
            writers = [job for job in active if not job.unread]
            read = self._read(active)
            work = engine.stride * engine.per_sequence * len(writers) + read
            base = engine.stride * engine.step
            own.append(pace * (base + (1 - engine.expert_share) * work))
            shared += engine.expert_share * work
            writing += writers
        most = max(self.skew, *self.paces) / len(own)
        return max(own) + shared * most, writing

    def _read(self, active) -> float:
        """Read prompts for a pass; return the seconds that it takes."""
        budget = CHUNK * self.engine.stride
        for job in active:
            part = min(job.unread, budget)
            job.unread -= part
            budget -= part
        return (CHUNK * self.engine.stride - budget) / self.read_rate
