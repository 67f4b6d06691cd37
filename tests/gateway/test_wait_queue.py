"""Order of the requests that wait for a free slot."""

import asyncio

from primroseyoke.gateway.wait_queue import WaitQueue
from primroseyoke.scheduling.admission import QueuePosition, Urgency
from tests.event_loop import run


def test_waiters_are_woken_in_queue_order() -> None:
    async def scenario() -> list[str]:
        queue = WaitQueue()
        served: list[str] = []

        async def wait(name: str, position: QueuePosition) -> None:
            await queue.wait(position, 60)
            served.append(name)

        positions = {
            'late_last': QueuePosition.of(Urgency.LATE, 0, 2),
            'late_first': QueuePosition.of(Urgency.LATE, 0, 1),
            'resumed': QueuePosition.of(Urgency.RESUMED, 0, 1),
            'newest': QueuePosition.of(Urgency.ON_TIME, 1, 4),
            'oldest': QueuePosition.of(Urgency.ON_TIME, 1, 3),
            'highest_priority': QueuePosition.of(Urgency.ON_TIME, 0, 2),
        }
        waiting = [
            asyncio.ensure_future(wait(name, position))
            for name, position in positions.items()
        ]
        for _ in positions:
            await asyncio.sleep(1)
            queue.wake_next()
        await asyncio.gather(*waiting)
        return served

    assert run(scenario()) == [
        'highest_priority',
        'newest',
        'oldest',
        'resumed',
        'late_first',
        'late_last',
    ]


def test_is_next_only_before_all_waiters() -> None:
    async def scenario() -> None:
        queue = WaitQueue()
        newest = QueuePosition.of(Urgency.ON_TIME, 1, 2)
        waiting = asyncio.ensure_future(queue.wait(newest, 60))
        await asyncio.sleep(0)
        assert not queue.is_next(QueuePosition.of(Urgency.ON_TIME, 1, 1))
        assert queue.is_next(QueuePosition.of(Urgency.ON_TIME, 0, 1))
        queue.wake_next()
        await waiting
        assert queue.is_next(QueuePosition.of(Urgency.LATE, 9, 9))

    run(scenario())


def test_many_reports_wake_a_waiting_request_once() -> None:
    """Guards against hosts x waiters choices: each report once woke a waiter.

    Pattern: thundering herd.
    """

    async def scenario() -> int:
        queue = WaitQueue()
        wakes = 0
        position = QueuePosition.of(Urgency.ON_TIME, 1, 0)

        async def wait_repeatedly() -> None:
            nonlocal wakes
            while True:
                await queue.wait(position, 60)
                wakes += 1

        waiting = asyncio.ensure_future(wait_repeatedly())
        for _ in range(990):
            await asyncio.sleep(0.001)
            queue.wake_next_within(0.03)
        waiting.cancel()
        return wakes

    assert 20 <= run(scenario()) <= 34
