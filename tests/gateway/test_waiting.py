"""The line of requests that wait for a place."""

import asyncio

from primroseyoke.gateway.waiting import Turn, Urgency, WaitingLine
from tests.clock import run


def test_the_first_in_need_is_called_first() -> None:
    async def scenario() -> list[str]:
        line = WaitingLine()
        served: list[str] = []

        async def wait(name: str, turn: Turn) -> None:
            await line.wait(turn, 60)
            served.append(name)

        turns = {
            'late': Turn.of(Urgency.LATE, 0, 2),
            'later': Turn.of(Urgency.LATE, 0, 1),
            'resumed': Turn.of(Urgency.RESUMED, 0, 1),
            'young': Turn.of(Urgency.ON_TIME, 1, 4),
            'old': Turn.of(Urgency.ON_TIME, 1, 3),
            'urgent': Turn.of(Urgency.ON_TIME, 0, 2),
        }
        waiting = [
            asyncio.ensure_future(wait(name, turn))
            for name, turn in turns.items()
        ]
        for _ in turns:
            await asyncio.sleep(1)
            line.call()
        await asyncio.gather(*waiting)
        return served

    assert run(scenario()) == [
        'urgent',
        'young',
        'old',
        'resumed',
        'later',
        'late',
    ]


def test_nobody_overtakes_who_goes_first() -> None:
    async def scenario() -> None:
        line = WaitingLine()
        young = Turn.of(Urgency.ON_TIME, 1, 2)
        waiting = asyncio.ensure_future(line.wait(young, 60))
        await asyncio.sleep(0)
        assert not line.may_go(Turn.of(Urgency.ON_TIME, 1, 1))
        assert line.may_go(Turn.of(Urgency.ON_TIME, 0, 1))
        line.call()
        await waiting
        assert line.may_go(Turn.of(Urgency.LATE, 9, 9))

    run(scenario())
