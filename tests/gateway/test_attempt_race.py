"""Attempts of one request that run side by side."""

import asyncio

import pytest

from primroseyoke.exceptions import RequestFailed
from primroseyoke.gateway.attempt_race import AttemptRace
from primroseyoke.verdicts import Verdict
from tests.event_loop import run

FAILURE = RequestFailed('broken', Verdict.MAY_HAVE_RUN)
LAST_FAILURE = RequestFailed('broken, too', Verdict.MAY_HAVE_RUN)


async def end_after(seconds: float, failure: RequestFailed | None):
    await asyncio.sleep(seconds)
    return failure


def make_race() -> tuple[AttemptRace, list[RequestFailed]]:
    logged: list[RequestFailed] = []
    return AttemptRace(lambda failure, _: logged.append(failure)), logged


def test_a_success_ends_the_other_attempts() -> None:
    async def scenario() -> None:
        race, logged = make_race()
        race.add(end_after(1, FAILURE))
        race.add(end_after(2, None))
        race.add(end_after(60, None))
        tasks = tuple(race.tasks)
        assert await race.run() is None
        assert logged == [FAILURE]
        assert all(task.done() for task in tasks)
        assert sum(task.cancelled() for task in tasks) == 1
        assert asyncio.get_running_loop().time() < 1010

    run(scenario())


def test_the_last_failure_is_returned_and_those_before_are_logged() -> None:
    async def scenario() -> None:
        race, logged = make_race()
        race.add(end_after(2, LAST_FAILURE))
        race.add(end_after(1, FAILURE))
        assert await race.run() is LAST_FAILURE
        assert logged == [FAILURE]
        assert race.failure_seen.is_set()

    run(scenario())


def test_an_attempt_with_progress_goes_on_alone() -> None:
    async def scenario() -> None:
        race, _ = make_race()

        async def progress() -> RequestFailed | None:
            await asyncio.sleep(1)
            race.end_others()
            await asyncio.sleep(5)
            return LAST_FAILURE

        race.add(end_after(2, None))
        race.add(progress())
        assert await race.run() is LAST_FAILURE

    run(scenario())


def test_an_error_of_an_attempt_ends_all() -> None:
    async def scenario() -> None:
        race, _ = make_race()

        async def fail() -> RequestFailed | None:
            raise ConnectionResetError('the caller left')

        race.add(fail())
        race.add(end_after(60, None))
        tasks = tuple(race.tasks)
        with pytest.raises(ConnectionResetError):
            await race.run()
        assert all(task.done() for task in tasks)
        assert not race.tasks

    run(scenario())
