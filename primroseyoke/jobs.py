"""Jobs: the attempts that an agent has received and not yet ended."""

import dataclasses
import itertools
from collections.abc import Iterator

from .admission import RequestOutcome
from .exceptions import ConnectionBroken
from .executions import Execution, ExecutionEnded
from .idempotency_keys import KeyedCall
from .links import EntryConnection
from .messages import Start
from .verdicts import Verdict

__all__ = ('Job', 'JobTable', 'broken_by_upstream', 'outcome_of')

_OVERLOADED_STATUS = 429
_MIN_SERVER_ERROR_STATUS = 500


@dataclasses.dataclass(slots=True)
class Job:
    """An attempt that the agent has received and not yet ended.

    ``upstream_finished`` is set once the upstream has finished; the rest of the
    response may still wait for credit.
    """

    peer: EntryConnection
    start: Start
    keyed_call: KeyedCall | None
    deadline: float
    number: int = 0
    execution: Execution | None = None
    # Number of upstream restarts detected before the execution started.
    restarts_at_start: int = 0
    # Whether any other request ran at the upstream at the same time.
    ran_concurrently: bool = False
    upstream_finished: bool = False


class JobTable:
    """Jobs indexed by job number and by entry and attempt number."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.by_number: dict[int, Job] = {}
        self.by_attempt: dict[tuple[EntryConnection, int], Job] = {}
        self.numbers = itertools.count(1)

    def __len__(self) -> int:
        """Return the number of jobs that have not ended."""
        return len(self.by_number)

    def __iter__(self) -> Iterator[Job]:
        """Iterate over a copy, so that jobs can be removed during iteration."""
        return iter(tuple(self.by_number.values()))

    def add(self, job: Job) -> None:
        """Assign the next job number and add the job."""
        job.number = next(self.numbers)
        self.by_number[job.number] = job
        self.by_attempt[job.peer, job.start.attempt] = job

    def find(self, peer: EntryConnection, attempt: int) -> Job | None:
        """Return the job of an attempt of an entry, if any."""
        return self.by_attempt.get((peer, attempt))

    def remove(self, job: Job) -> None:
        """Remove a job if it is in the table."""
        if self.by_number.pop(job.number, None) is not None:
            self.by_attempt.pop((job.peer, job.start.attempt))


def broken_by_upstream(ended: ExecutionEnded) -> bool:
    """Return whether the upstream, not this agent, broke the connection."""
    closed_here = ended.cancelled and ended.execution.start.idempotent
    return isinstance(ended.failure, ConnectionBroken) and not closed_here


def outcome_of(ended: ExecutionEnded) -> RequestOutcome:
    """Return the outcome of an execution for admission control."""
    if ended.stored_response is not None:
        status = ended.stored_response.status
        overloaded = status == _OVERLOADED_STATUS
        if overloaded or status >= _MIN_SERVER_ERROR_STATUS:
            return RequestOutcome.FAILED
        return RequestOutcome.COMPLETED
    if ended.failure is not None:
        if (
            broken_by_upstream(ended)
            or ended.failure.verdict is Verdict.NOT_RUN
        ):
            return RequestOutcome.FAILED
    return RequestOutcome.ABANDONED
