"""Attempts of one request that run side by side until one of them answers."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from ..exceptions import RequestFailed

__all__ = ('AttemptRace',)


class AttemptRace:
    """Runs attempts side by side; each returns its failure, None on success.

    Attributes:
        tasks: the attempts that are running.
        failure_seen: set when an attempt has failed.
    """

    def __init__(
        self, log_failure: Callable[[RequestFailed, bool], None]
    ) -> None:
        """Report failures that are not the last one to ``log_failure``.

        Its second argument is whether the request is sent again: False.
        """
        self.log_failure = log_failure
        self.tasks: set[asyncio.Task[RequestFailed | None]] = set()
        self.failure_seen = asyncio.Event()

    def add(self, attempt: Coroutine[Any, Any, RequestFailed | None]) -> None:
        """Start an attempt."""
        self.tasks.add(asyncio.get_running_loop().create_task(attempt))

    def end_others(self) -> None:
        """Cancel all attempts but the one that calls this, if any."""
        current = asyncio.current_task()
        for task in self.tasks:
            if task is not current:
                task.cancel()

    async def run(self) -> RequestFailed | None:
        """Return None once an attempt succeeds, or else the last failure.

        No attempt is running any more then.

        Raises:
            RequestFailed: an attempt raised it: there is nothing to wait for.
        """
        self.failure_seen.clear()
        try:
            return await self._first_success()
        finally:
            tasks = tuple(self.tasks)
            self.tasks.clear()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _first_success(self) -> RequestFailed | None:
        failure: RequestFailed | None = None
        while self.tasks:
            done, _ = await asyncio.wait(
                self.tasks, return_when=asyncio.FIRST_COMPLETED
            )
            task = done.pop()
            self.tasks.remove(task)
            if task.cancelled():
                continue
            if failure is not None:
                self.log_failure(failure, False)
            failure = task.result()
            if failure is None:
                return None
            self.failure_seen.set()
        return failure
