"""The line of requests that wait for a place."""

import asyncio

from primroseyoke.gateway.waiting import Turn, WaitingLine
from tests.clock import run


def test_the_first_in_need_is_called_first() -> None:
    async def scenario() -> list[str]:
        line = WaitingLine()
        served: list[str] = []

        async def wait(name: str, turn: Turn) -> None:
            await line.wait(turn, 60)
            served.append(name)

        turns = {
            'late': Turn(late=True, priority=0, made_at=1),
            'young': Turn(late=False, priority=1, made_at=3),
            'old': Turn(late=False, priority=1, made_at=2),
            'urgent': Turn(late=False, priority=0, made_at=4),
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

    assert run(scenario()) == ['urgent', 'old', 'young', 'late']


def test_nobody_overtakes_who_goes_first() -> None:
    async def scenario() -> None:
        line = WaitingLine()
        old = Turn(late=False, priority=1, made_at=1)
        waiting = asyncio.ensure_future(line.wait(old, 60))
        await asyncio.sleep(0)
        assert not line.may_go(Turn(late=False, priority=1, made_at=2))
        assert line.may_go(Turn(late=False, priority=0, made_at=2))
        line.call()
        await waiting
        assert line.may_go(Turn(late=True, priority=9, made_at=9))

    run(scenario())
