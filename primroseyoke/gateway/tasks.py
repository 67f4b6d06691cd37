"""Background tasks of a gateway."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

__all__ = ('TaskFactory', 'run_with_restarts')

log = logging.getLogger(__name__)

# Keeps a task that fails immediately from filling the log.
_RESTART_DELAY_SECONDS = 1.0

TaskFactory = Callable[[], Coroutine[Any, Any, None]]


async def run_with_restarts(task_factory: TaskFactory) -> None:
    """Run a background task to completion; restart it if it raises."""
    while True:
        try:
            await task_factory()
        except Exception:
            log.exception('background task failed; restarting it')
            await asyncio.sleep(_RESTART_DELAY_SECONDS)
        else:
            return
