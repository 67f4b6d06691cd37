"""An event loop whose clock jumps to the next timer."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

Result = TypeVar('Result')


class _VirtualTimeSelector(selectors.SelectSelector):
    """Does not wait; it advances the clock of its loop instead."""

    loop: 'VirtualTimeLoop'

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout:
            self.loop.now += timeout
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs timers in order, without waiting."""

    def __init__(self) -> None:
        self.now = 1000.0
        selector = _VirtualTimeSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        return self.now


def run(coroutine: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine on a loop whose clock jumps."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
