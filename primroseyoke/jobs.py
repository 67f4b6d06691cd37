"""Jobs of an agent: attempts between their arrival and their end."""

import dataclasses
import itertools
from collections.abc import Iterator

from .admission import RequestOutcome
from .exceptions import ConnectionBroken
from .executions import Execution, ExecutionEnded
from .idempotency_keys import KeyedCall
from .links import Peer
from .messages import Start
from .verdicts import Verdict

__all__ = ('Job', 'JobTable', 'ending_of', 'is_broken')

_OVERLOADED_STATUS = 429
_LOWEST_SERVER_ERROR = 500


@dataclasses.dataclass(slots=True)
class Job:
    """An attempt between its arrival and its end.

    ``ended`` is set when the upstream has finished and the rest of the answer
    waits for credit.
    """

    peer: Peer
    start: Start
    call: KeyedCall | None
    deadline: float
    number: int = 0
    execution: Execution | None = None
    # Restarts of the upstream that had been seen when the execution started.
    restarts: int = 0
    # Whether another request ran beside this one at any time.
    shared: bool = False
    ended: bool = False


class JobTable:
    """Jobs by the number that admission knows, and by entry and attempt."""

    def __init__(self) -> None:
        """Start empty."""
        self.by_number: dict[int, Job] = {}
        self.by_attempt: dict[tuple[Peer, int], Job] = {}
        self.numbers = itertools.count(1)

    def __len__(self) -> int:
        """Return how many jobs have not ended."""
        return len(self.by_number)

    def __iter__(self) -> Iterator[Job]:
        """Iterate over a copy, so that jobs can be removed meanwhile."""
        return iter(tuple(self.by_number.values()))

    def add(self, job: Job) -> None:
        """Add a job under the next number."""
        job.number = next(self.numbers)
        self.by_number[job.number] = job
        self.by_attempt[job.peer, job.start.attempt] = job

    def find(self, peer: Peer, attempt: int) -> Job | None:
        """Return the job of an entry's attempt."""
        return self.by_attempt.get((peer, attempt))

    def remove(self, job: Job) -> None:
        """Remove a job, if it is there."""
        if self.by_number.pop(job.number, None) is not None:
            self.by_attempt.pop((job.peer, job.start.attempt))


def is_broken(ended: ExecutionEnded) -> bool:
    """Tell whether the upstream, not this agent, broke the connection."""
    closed_here = ended.cancelled and ended.execution.start.idempotent
    return isinstance(ended.failure, ConnectionBroken) and not closed_here


def ending_of(ended: ExecutionEnded) -> RequestOutcome:
    """Return how an execution ended, as far as the limits are concerned."""
    if ended.answer is not None:
        status = ended.answer.status
        overloaded = status == _OVERLOADED_STATUS
        if overloaded or status >= _LOWEST_SERVER_ERROR:
            return RequestOutcome.FAILED
        return RequestOutcome.COMPLETED
    if ended.failure is not None:
        if is_broken(ended) or ended.failure.verdict is Verdict.NOT_RUN:
            return RequestOutcome.FAILED
    return RequestOutcome.ABANDONED
