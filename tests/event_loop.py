"""Event loop in virtual time: its clock advances to the next timer at once."""

import asyncio
import selectors
import time
from collections.abc import Coroutine
from typing import Any, TypeVar
from unittest import mock

Result = TypeVar('Result')


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances the clock of its loop instead of waiting."""

    loop: 'VirtualTimeLoop'

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout:
            self.loop.now += timeout
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting for them."""

    def __init__(self) -> None:
        self.now = 1000.0
        selector = _VirtualTimeSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        return self.now


def run(coroutine: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)


def run_with_clock(coroutine: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine in virtual time, which ``time.monotonic`` shows, too."""

    def now() -> float:
        return asyncio.get_running_loop().time()

    with mock.patch.object(time, 'monotonic', now):
        return run(coroutine)
